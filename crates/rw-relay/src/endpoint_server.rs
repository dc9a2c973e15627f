//! HTTP server for the node's own endpoints: readiness, metrics and calls from peers.

use crate::{
    Connection, Dialect, Relay, RequestHead, ResponseWriter, body::BodyReader,
    caller_stream::CallerStream, timeout::timeout,
};
use rw_gate::WorkKind;
use smol::Async;
use std::{
    net::{TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

/// Timeout for reading one request, and for an idle connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Response of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// Handles the requests to one endpoint.
pub(crate) trait EndpointHandler<D>: 'static {
    /// Returns the response to a request.
    fn handle(&self, relay: &Relay<D>, head: &RequestHead, body: &[u8]) -> EndpointResponse;
}

impl<D: Dialect> Relay<D> {
    /// Serves `handler` on `listener` until the future is dropped.
    pub(crate) async fn serve_endpoint<H: EndpointHandler<D>>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        handler: H,
    ) {
        let handler = Rc::new(handler);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            };
            let (relay, handler) = (self.clone(), handler.clone());
            let serving = async move {
                relay
                    .serve_endpoint_connection(stream, handler.as_ref())
                    .await
            };
            self.executor.spawn(serving).detach();
        }
    }

    async fn serve_endpoint_connection<H: EndpointHandler<D>>(
        &self,
        stream: Async<TcpStream>,
        handler: &H,
    ) {
        let Ok(mut conn) = Connection::accepted(stream) else {
            return;
        };
        while let Some(Ok(true)) = timeout(REQUEST_TIMEOUT, conn.wait_readable()).await {
            let Some(Some((head, body))) = timeout(REQUEST_TIMEOUT, read(&mut conn)).await else {
                return;
            };
            let response = handler.handle(self, &head, &body);
            let mut writer = ResponseWriter::new(
                CallerStream::new(conn.stream(), REQUEST_TIMEOUT),
                &head.method,
                !head.keep_alive,
            );
            let written = writer.write_endpoint(response.status, &response.body).await;
            if written.is_err() || !head.keep_alive {
                return;
            }
        }
    }
}

async fn read(conn: &mut Connection) -> Option<(RequestHead, Vec<u8>)> {
    let bytes = conn.read_head(MAX_HEAD_BYTES).await.ok()?.ok()?;
    let head = RequestHead::parse(&bytes).ok()?;
    let body = BodyReader::new(head.framing)
        .read_all(conn, MAX_BODY_BYTES)
        .await
        .ok()?;
    Some((head, body))
}

/// Readiness endpoint: 200 if this node accepts calls, 503 if it doesn't.
#[derive(Debug)]
pub(crate) struct Readiness;

impl<D: Dialect> EndpointHandler<D> for Readiness {
    fn handle(&self, relay: &Relay<D>, head: &RequestHead, _body: &[u8]) -> EndpointResponse {
        let status = match head.path() == relay.dialect.readiness_path() {
            false => 404,
            true if relay.is_ready() => 200,
            true => 503,
        };
        EndpointResponse {
            status,
            body: Vec::new(),
        }
    }
}

/// Metrics endpoint in the Prometheus text format.
#[derive(Debug)]
pub(crate) struct MetricsText;

impl<D: Dialect> EndpointHandler<D> for MetricsText {
    fn handle(&self, relay: &Relay<D>, _head: &RequestHead, _body: &[u8]) -> EndpointResponse {
        let gate = relay.gate.borrow();
        let now = relay.clock.now();
        let targets = gate.targets().all().iter();
        let states = targets.map(|t| t.availability(now).as_str());
        relay.metrics.set_target_states(states);
        let sizes = gate.size_status(now);
        relay.metrics.set_sizes(&sizes);
        let targets = gate.targets().all().iter();
        let factors = targets.flat_map(|t| {
            let name = t.spec.name.as_str();
            WorkKind::ALL.map(|kind| (name, kind.as_str(), t.speed.factor(kind)))
        });
        let factors = factors.filter(|(_, _, factor)| (factor - 1.0).abs() > f64::EPSILON);
        relay.metrics.set_target_speeds(factors);
        let targets = gate.targets().all().iter();
        let limits =
            targets.filter_map(|t| Some((t.spec.name.as_str(), t.speed.saturation(t.spec.slots)?)));
        relay.metrics.set_saturation(limits);
        let unreachable = gate.unreachable_services();
        relay.metrics.set_unreachable(unreachable.len());
        let bodies = &relay.bodies;
        relay.metrics.set_bodies(bodies.held(), bodies.waiting());
        relay.metrics.set_answers(relay.answers.held());
        let body = relay
            .metrics
            .encode(relay.pool.opened(), relay.log.dropped());
        EndpointResponse { status: 200, body }
    }
}
