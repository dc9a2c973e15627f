//! Sends orders to targets.

use crate::{
    Connection, Dialect, Relay, RoleOrder, TargetReport,
    body::BodyReader,
    head::ResponseHead,
    io_error::malformed,
    notices::Addressee,
    timeout::{running_timeout, timeout},
};
use async_channel::Receiver;
use rw_gate::{Effect, Event, OrderOutcome, Role};
use rw_types::Millis;
use std::{io, net::SocketAddr, rc::Rc, time::Duration};

/// Timeout for a target's report, for the connection of an order, and for the response to it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a response head, and of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// An order taken from the queue, with the target's address parsed.
struct QueuedOrder {
    target: String,
    incarnation: u64,
    addr: SocketAddr,
    role: Role,
    token: u64,
    until: Millis,
}

impl QueuedOrder {
    fn addressee(&self) -> Addressee<'_> {
        Addressee {
            name: &self.target,
            incarnation: self.incarnation,
            addr: self.addr,
            // A report may come from another target at the same address.
            asked_at: None,
        }
    }
}

impl<D: Dialect> Relay<D> {
    /// Sends one order after another, so that this node never has two in flight.
    pub(crate) async fn send_orders(self: Rc<Self>, orders: Receiver<Effect>) {
        while let Ok(effect) = orders.recv().await {
            let Effect::Order {
                target,
                incarnation,
                addr,
                role,
                token,
                until,
            } = effect
            else {
                continue;
            };
            let Ok(addr) = addr.parse() else {
                continue;
            };
            let queued = QueuedOrder {
                target,
                incarnation,
                addr,
                role,
                token,
                until,
            };
            let outcome = self.send_order(&queued).await;
            log::info!(target = queued.target.as_str(), role:? = queued.role, token, end:? = outcome; "order");
            let target = queued.target;
            self.step(Event::OrderEnded { target, outcome });
        }
    }

    async fn send_order(&self, queued: &QueuedOrder) -> OrderOutcome {
        let report = match timeout(REQUEST_TIMEOUT, self.fetch_report(queued)).await {
            Some(Ok(report)) => report,
            Some(Err(error)) => {
                log::info!(target = queued.target.as_str(), error:%; "target report could not be fetched; order not sent");
                return OrderOutcome::Refused;
            }
            None => {
                log::info!(target = queued.target.as_str(); "target report timed out; order not sent");
                return OrderOutcome::Refused;
            }
        };
        if !self.takes_requests(&queued.addr.to_string()) {
            return OrderOutcome::Refused;
        }
        if report.role == queued.role {
            return OrderOutcome::Accepted;
        }
        if report.busy {
            return OrderOutcome::Refused;
        }
        let order = RoleOrder {
            target: &queued.target,
            holder: &self.settings.gate.vm,
            token: queued.token,
            role: queued.role,
            expected_orders: report.accepted_orders,
        };
        let request = self.dialect.order_request(&order);
        self.record_request(queued.addr);
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n{}content-length: {}\r\nconnection: close\r\n\r\n",
            request.path,
            queued.addr,
            request.headers,
            request.body.len()
        );
        let bytes = [head.as_bytes(), &request.body].concat();
        let opened = running_timeout(REQUEST_TIMEOUT, Connection::open(queued.addr)).await;
        let Some(Ok(conn)) = opened else {
            return OrderOutcome::Refused;
        };
        // Checked directly before sending, because a process that was suspended past `until` must
        // not send an order.
        let is_refused = self.gate.borrow().is_token_refused(queued.token);
        if self.clock.now() >= queued.until || is_refused {
            return OrderOutcome::Refused;
        }
        match timeout(REQUEST_TIMEOUT, exchange(conn, &bytes)).await {
            Some(Ok((head, _))) => {
                self.notice_in_head(queued.addressee(), &head);
                self.dialect.order_outcome(head.status)
            }
            Some(Err(_)) | None => OrderOutcome::Unknown,
        }
    }

    /// Counts a request that belongs to no call towards the rate limit of the target at `addr`.
    pub(crate) fn record_request(&self, addr: SocketAddr) {
        let addr = addr.to_string();
        self.step(Event::RequestSent { addr });
    }

    async fn fetch_report(&self, queued: &QueuedOrder) -> io::Result<TargetReport> {
        let addr = queued.addr;
        let path = self.dialect.report_path();
        self.record_request(addr);
        let bytes = format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
        let conn = Connection::open(addr).await?;
        let (head, body) = exchange(conn, bytes.as_bytes()).await?;
        self.notice_in_head(queued.addressee(), &head);
        let report = self.dialect.parse_report(&body);
        report.filter(|_| head.status == 200).ok_or_else(malformed)
    }
}

/// Sends `bytes` and reads the whole response.
pub(crate) async fn exchange(
    mut conn: Connection,
    bytes: &[u8],
) -> io::Result<(ResponseHead, Vec<u8>)> {
    conn.begin_message(bytes.len());
    conn.write_all(bytes).await?;
    let head = conn
        .read_head(MAX_RESPONSE_BYTES)
        .await?
        .map_err(|_| malformed())?;
    let head = ResponseHead::parse(&head, "").map_err(|_| malformed())?;
    let body = BodyReader::new(head.framing)
        .read_all(&mut conn, MAX_RESPONSE_BYTES)
        .await?;
    Ok((head, body))
}
