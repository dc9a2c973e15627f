//! Small answers at addresses of the node's own: readiness, metrics and calls of other nodes.

use crate::{
    Connection, Dialect, Relay, RequestHead, answer_out::AnswerOut, body::Body, within::within,
};
use smol::Async;
use std::{
    net::{TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

/// Longest time for one request, and longest idle time.
const LIMIT: Duration = Duration::from_secs(10);
/// Largest head, in bytes.
const MAX_HEAD: usize = 16 << 10;
/// Largest body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// A small answer.
#[derive(Debug)]
pub(crate) struct Small {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// Answers one kind of small requests.
pub(crate) trait Answers<D>: 'static {
    /// The answer to a request.
    fn small(&self, relay: &Relay<D>, head: &RequestHead, body: &[u8]) -> Small;
}

impl<D: Dialect> Relay<D> {
    /// Answers at `listener` until the future is dropped.
    pub(crate) async fn serve_small<A: Answers<D>>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        answers: A,
    ) {
        let answers = Rc::new(answers);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            };
            let (relay, answers) = (self.clone(), answers.clone());
            let serving = async move { relay.serve_link(stream, answers.as_ref()).await };
            self.executor.spawn(serving).detach();
        }
    }

    async fn serve_link<A: Answers<D>>(&self, stream: Async<TcpStream>, answers: &A) {
        let Ok(mut link) = Connection::new(stream) else {
            return;
        };
        while let Some(Ok(true)) = within(LIMIT, link.wait()).await {
            let Some(Some((head, body))) = within(LIMIT, read(&mut link)).await else {
                return;
            };
            let small = answers.small(self, &head, &body);
            let mut out = AnswerOut::new(link.stream(), &head.method, !head.keep_alive);
            let sent = out.small(small.status, &small.body).await;
            if sent.is_err() || !head.keep_alive {
                return;
            }
        }
    }
}

async fn read(link: &mut Connection) -> Option<(RequestHead, Vec<u8>)> {
    let bytes = link.head(MAX_HEAD).await.ok()?.ok()?;
    let head = RequestHead::parse(&bytes).ok()?;
    let body = Body::new(head.framing).whole(link, MAX_BODY).await.ok()?;
    Some((head, body))
}

/// Whether this node takes calls.
#[derive(Debug)]
pub(crate) struct Readiness;

impl<D: Dialect> Answers<D> for Readiness {
    fn small(&self, relay: &Relay<D>, head: &RequestHead, _body: &[u8]) -> Small {
        let status = match head.path() == relay.dialect.readiness_path() {
            false => 404,
            true if relay.is_ready() => 200,
            true => 503,
        };
        Small {
            status,
            body: Vec::new(),
        }
    }
}

/// Counters and histograms as text.
#[derive(Debug)]
pub(crate) struct MetricsText;

impl<D: Dialect> Answers<D> for MetricsText {
    fn small(&self, relay: &Relay<D>, _head: &RequestHead, _body: &[u8]) -> Small {
        let body = relay.metrics.text(relay.pool.opened(), relay.log.dropped());
        Small { status: 200, body }
    }
}
