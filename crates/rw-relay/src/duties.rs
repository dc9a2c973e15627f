//! Sends usage reports and size orders to the platform's API.

use crate::{
    Connection, Dialect, DutyApi, DutyCall, DutyRequest, OrderRequest, Relay,
    orders::exchange,
    timeout::{running_timeout, timeout},
};
use async_channel::Receiver;
use rw_gate::{DutyOutcome, DutySubject, Effect, Event};
use rw_types::Millis;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Timeout for opening a connection to the API, and for its response.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of size orders that are in flight at most, each about another subject. With one, a slow
/// API would let those behind it outlive their lease.
pub(crate) const SIZE_WORKERS: usize = 4;

impl<D: Dialect> Relay<D> {
    /// Makes one call after another from `calls`, each only while its lease permits it.
    pub(crate) async fn perform_duties<A: DutyApi>(
        self: Rc<Self>,
        api: Rc<A>,
        calls: Receiver<Effect>,
    ) {
        while let Ok(effect) = calls.recv().await {
            if let Some(event) = self.perform_duty(api.as_ref(), effect).await {
                self.step(event);
            }
        }
    }

    async fn perform_duty<A: DutyApi>(&self, api: &A, effect: Effect) -> Option<Event> {
        match effect {
            Effect::ReportUsage {
                window,
                counts,
                token,
                until,
            } => {
                let call = DutyCall::Usage {
                    window,
                    counts: &counts,
                };
                let outcome = self.call_api(api, call, token, until).await;
                Some(Event::UsageReported { window, outcome })
            }
            Effect::OrderSize {
                service,
                centre,
                count,
                spot,
                token,
                until,
            } => {
                let call = DutyCall::Size {
                    service: &service,
                    centre: &centre,
                    count,
                    spot,
                };
                let outcome = self.call_api(api, call, token, until).await;
                Some(Event::SizeOrdered {
                    service,
                    centre,
                    spot,
                    outcome,
                })
            }
            _ => None,
        }
    }

    async fn call_api<A: DutyApi>(
        &self,
        api: &A,
        call: DutyCall<'_>,
        token: u64,
        until: Millis,
    ) -> DutyOutcome {
        let subject = subject(call);
        let outcome = self.call_if_admitted(api, call, &subject, (token, until));
        let outcome = outcome.await;
        self.metrics.duty_ended(duty_label(&subject), outcome);
        match outcome {
            DutyOutcome::Accepted => log::debug!(call:?, token; "duty performed"),
            _ => log::info!(call:?, token, end:? = outcome; "duty not performed"),
        }
        outcome
    }

    async fn call_if_admitted<A: DutyApi>(
        &self,
        api: &A,
        call: DutyCall<'_>,
        subject: &DutySubject,
        (token, until): (u64, Millis),
    ) -> DutyOutcome {
        let Some(addr) = api.addr() else {
            return DutyOutcome::NotSent;
        };
        let duties = &self.settings.gate.duties;
        let admitted = || {
            let mut pacer = self.duty_pacer.borrow_mut();
            pacer.admit(self.clock.now(), duties, subject, token)
        };
        if self.gate.borrow().is_token_refused(token) || !admitted() {
            return DutyOutcome::NotSent;
        }
        let request = DutyRequest {
            holder: &self.settings.gate.vm,
            token,
            call,
        };
        let bytes = api.request(&request);
        let outcome = match self.send_duty(&bytes, addr, (token, until)).await {
            Ok(status) => api.outcome(&request, status).await,
            Err(outcome) => outcome,
        };
        let mut pacer = self.duty_pacer.borrow_mut();
        pacer.ended(self.clock.now(), subject, outcome);
        outcome
    }

    /// Sends a request, and returns the status of its response.
    async fn send_duty(
        &self,
        request: &OrderRequest,
        addr: SocketAddr,
        (token, until): (u64, Millis),
    ) -> Result<u16, DutyOutcome> {
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\n{}content-length: {}\r\nconnection: close\r\n\r\n",
            request.path,
            request.headers,
            request.body.len()
        );
        let bytes = [head.as_bytes(), &request.body].concat();
        let Some(Ok(conn)) = running_timeout(CALL_TIMEOUT, Connection::open(addr)).await else {
            self.step(Event::ApiUnreachable);
            return Err(DutyOutcome::NotSent);
        };
        // Checked directly before sending, because a process that was suspended past `until` must
        // not act.
        let is_refused = self.gate.borrow().is_token_refused(token);
        if self.clock.now() >= until || is_refused {
            return Err(DutyOutcome::NotSent);
        }
        match timeout(CALL_TIMEOUT, exchange(conn, &bytes)).await {
            Some(Ok((head, _))) => Ok(head.status),
            Some(Err(_)) | None => Err(DutyOutcome::Unknown),
        }
    }
}

fn subject(call: DutyCall<'_>) -> DutySubject {
    match call {
        DutyCall::Usage { .. } => DutySubject::Usage,
        DutyCall::Size {
            service, centre, ..
        } => DutySubject::Size {
            service: service.to_owned(),
            centre: centre.to_owned(),
        },
    }
}

fn duty_label(subject: &DutySubject) -> &'static str {
    match subject {
        DutySubject::Usage => "usage",
        DutySubject::Size { .. } => "size",
    }
}
