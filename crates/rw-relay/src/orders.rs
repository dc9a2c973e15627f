//! Orders to targets.

use crate::{
    Connection, Dialect, Relay, RoleOrder, TargetReport, body::Body, head::ResponseHead,
    io_error::malformed, within::within,
};
use async_channel::Receiver;
use rw_gate::{Effect, Event, OrderOutcome, Role};
use rw_types::Millis;
use std::{io, net::SocketAddr, rc::Rc, time::Duration};

/// Longest time for a target's report, and for its answer to an order.
const LIMIT: Duration = Duration::from_millis(600);
/// Largest head and body of an answer, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// One order, as the reducer wants it.
struct Wanted {
    target: String,
    addr: SocketAddr,
    role: Role,
    token: u64,
    until: Millis,
}

impl<D: Dialect> Relay<D> {
    /// Gives one order after another, so that no two of this node are on their way.
    pub(crate) async fn give_orders(self: Rc<Self>, orders: Receiver<Effect>) {
        while let Ok(effect) = orders.recv().await {
            let Effect::Order {
                target,
                addr,
                role,
                token,
                until,
                ..
            } = effect
            else {
                continue;
            };
            let Ok(addr) = addr.parse() else {
                continue;
            };
            let wanted = Wanted {
                target,
                addr,
                role,
                token,
                until,
            };
            let outcome = self.give(&wanted).await;
            log::info!(target = wanted.target.as_str(), role:? = wanted.role, token, end:? = outcome; "order");
            let target = wanted.target;
            self.step(Event::OrderEnded { target, outcome });
        }
    }

    async fn give(&self, wanted: &Wanted) -> OrderOutcome {
        let report = match within(LIMIT, self.report(wanted.addr)).await {
            Some(Ok(report)) => report,
            Some(Err(error)) => {
                log::info!(target = wanted.target.as_str(), error:%; "no report; not ordered");
                return OrderOutcome::Refused;
            }
            None => {
                log::info!(target = wanted.target.as_str(); "no report in time; not ordered");
                return OrderOutcome::Refused;
            }
        };
        if report.role == wanted.role {
            return OrderOutcome::Accepted;
        }
        if report.busy {
            return OrderOutcome::Refused;
        }
        let order = RoleOrder {
            target: &wanted.target,
            holder: &self.settings.gate.vm,
            token: wanted.token,
            role: wanted.role,
            expected_orders: report.accepted_orders,
        };
        let call = self.dialect.order_request(&order);
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n{}content-length: {}\r\nconnection: close\r\n\r\n",
            call.path,
            wanted.addr,
            call.headers,
            call.body.len()
        );
        let bytes = [head.as_bytes(), &call.body].concat();
        let Ok(link) = Connection::open(wanted.addr).await else {
            return OrderOutcome::Refused;
        };
        // Read directly before the bytes go: a process that was suspended must not order.
        if self.clock.now() >= wanted.until {
            return OrderOutcome::Refused;
        }
        match within(LIMIT, exchange(link, &bytes)).await {
            Some(Ok((status, _))) => self.dialect.order_outcome(status),
            Some(Err(_)) | None => OrderOutcome::Unknown,
        }
    }

    async fn report(&self, addr: SocketAddr) -> io::Result<TargetReport> {
        let path = self.dialect.report_path();
        let bytes = format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
        let link = Connection::open(addr).await?;
        let (status, body) = exchange(link, bytes.as_bytes()).await?;
        let report = self.dialect.parse_report(&body);
        report.filter(|_| status == 200).ok_or_else(malformed)
    }
}

async fn exchange(mut link: Connection, bytes: &[u8]) -> io::Result<(u16, Vec<u8>)> {
    link.write(bytes).await?;
    let head = link.head(MAX_ANSWER).await?.map_err(|_| malformed())?;
    let head = ResponseHead::parse(&head, "").map_err(|_| malformed())?;
    let body = Body::new(head.framing).whole(&mut link, MAX_ANSWER).await?;
    Ok((head.status, body))
}
