//! A call's way to its final answer.

use crate::{
    Dialect, Relay,
    answer_out::AnswerOut,
    attempt::{Call, CallerGone, Progress},
};
use rw_gate::{Dispatch, Effect, Event, Refusal};

/// What the reducer wants done for one call.
enum Next {
    Dispatch(Box<Dispatch>),
    Deliver,
    Refuse(Refusal),
    /// Its answer has gone to the caller.
    Over,
}

impl<D: Dialect> Relay<D> {
    /// Brings a call to its final answer.
    pub(crate) async fn forward(
        &self,
        call: &Call,
        progress: &mut Progress,
    ) -> Result<(), CallerGone> {
        let id = call.id;
        let request = self.dialect.call_request(&call.head, &call.body);
        let mut next = self.step_call(Event::CallArrived { id, request });
        loop {
            match next {
                Next::Dispatch(dispatch) => {
                    self.log.dispatch(call, &dispatch);
                    self.metrics.dispatched(&dispatch);
                    let outcome = self.attempt(call, &dispatch, progress).await?;
                    self.log.ended(call, &dispatch, &outcome);
                    self.metrics.ended(&outcome);
                    next = self.step_call(Event::DispatchEnded { id, outcome });
                }
                Next::Deliver => {
                    let sent = match &progress.kept {
                        Some(kept) => progress.out.whole(&kept.head, &kept.body).await,
                        None => Ok(()),
                    };
                    return sent.map_err(|_| CallerGone);
                }
                Next::Refuse(refusal) => {
                    self.log.refuse(call, &refusal);
                    self.metrics.refused(refusal.kind);
                    return self.refuse(&refusal, &mut progress.out).await;
                }
                Next::Over => return Ok(()),
            }
        }
    }

    async fn refuse(&self, refusal: &Refusal, out: &mut AnswerOut) -> Result<(), CallerGone> {
        match refusal.kind.status() {
            Some(status) if !out.is_started() => {
                let sent = out.refuse(status, refusal).await;
                sent.map_err(|_| CallerGone)
            }
            // What has begun is cut, so that it can't be taken for whole.
            _ => Ok(()),
        }
    }

    fn step_call(&self, event: Event) -> Next {
        let mut next = Next::Over;
        for effect in self.step(event) {
            next = match effect {
                Effect::Dispatch { dispatch, .. } => Next::Dispatch(Box::new(dispatch)),
                Effect::Deliver { .. } => Next::Deliver,
                Effect::Refuse { refusal, .. } => Next::Refuse(refusal),
                Effect::ReleaseHandle(_)
                | Effect::PublishDigest
                | Effect::AcquireLease
                | Effect::Order { .. } => {
                    continue;
                }
            };
        }
        next
    }
}
