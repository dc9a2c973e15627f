//! Drives a call to its final response.

use crate::{
    Dialect, Relay, ResponseWriter, call::Call, caller_stream::CallerStream,
    delegation::DelegateNote, exchange_error::CallerDisconnected,
    response_progress::ResponseProgress,
};
use rw_gate::{DelegatedCall, Delegation, Dispatch, Effect, Event, Refusal};

/// The gate's next action for a call.
enum NextStep {
    Dispatch(Box<Dispatch>),
    Delegate(Box<Delegation>),
    Final(FinalResponse),
    /// Wait for a scheduler's answer to the request with this number.
    AwaitPlacement(u32),
    /// The response has been sent to the caller.
    Complete,
}

/// The response that ends a call.
enum FinalResponse {
    /// The complete one of a target that is held.
    Target,
    Refusal(Refusal),
}

impl<D: Dialect> Relay<D> {
    /// Dispatches a call until the gate has a final response to it.
    pub(crate) async fn forward(
        &self,
        call: &Call,
        delegated: Option<DelegatedCall>,
        progress: &mut ResponseProgress,
    ) -> Result<(), CallerDisconnected> {
        let id = call.id;
        let mut request = self.dialect.call_request(&call.head, &call.body);
        let waited = call.waited_ms;
        request.deadline_ms = request.deadline_ms.map(|ms| ms.saturating_sub(waited));
        if let Some(delegated) = delegated {
            self.metrics.delegated("accepted");
            request.deadline_ms = Some(delegated.left_ms);
            request.last_event = delegated.resume_after;
            request.delegated = Some(delegated);
        }
        let resumes = request.resumes.clone().unwrap_or_default();
        self.find_origin(&request).await;
        let mut next = self.next_step(Event::CallArrived { id, request });
        loop {
            match next {
                NextStep::Dispatch(dispatch) => {
                    self.log.dispatch(call, &dispatch, &resumes);
                    self.metrics.dispatched(&dispatch);
                    let outcome = self.attempt(call, &dispatch, progress).await?;
                    self.log.ended(call, &dispatch, &outcome, progress.framing);
                    self.metrics.ended(&outcome);
                    next = self.next_step(Event::DispatchEnded { id, outcome });
                }
                NextStep::Delegate(delegation) => {
                    self.log.delegated(call, &delegation);
                    let outcome = self.delegate(call, &delegation, progress).await?;
                    let status = progress
                        .buffered
                        .as_ref()
                        .map_or(0, |full| full.head.status);
                    self.log
                        .delegation_ended(call, &delegation, &outcome, status);
                    self.metrics.delegation_ended(&outcome);
                    next = self.next_step(Event::DelegationEnded { id, outcome });
                }
                NextStep::AwaitPlacement(number) => {
                    let event = self.await_placement(id, number).await;
                    next = self.next_step(event);
                }
                NextStep::Final(response) => return self.respond(call, response, progress).await,
                NextStep::Complete => return Ok(()),
            }
        }
    }

    /// Ends a call without waiting for its target, because this process exits.
    pub(crate) async fn interrupt(
        &self,
        call: &Call,
        progress: &mut ResponseProgress,
    ) -> Result<(), CallerDisconnected> {
        progress.out.close = true;
        let next = self.next_step(Event::CallInterrupted {
            id: call.id,
            delivered: progress.out.delivered(),
        });
        match next {
            NextStep::Final(response) => self.respond(call, response, progress).await,
            _ => Ok(()),
        }
    }

    /// Sends the final response to a call.
    async fn respond(
        &self,
        call: &Call,
        response: FinalResponse,
        progress: &mut ResponseProgress,
    ) -> Result<(), CallerDisconnected> {
        match response {
            FinalResponse::Target => {
                let Some(full) = progress.buffered.take() else {
                    return Ok(());
                };
                progress.out.set_note(full.note);
                let sent = progress.out.write_full(&full.head, &full.body.bytes).await;
                sent.map_err(|_| CallerDisconnected)
            }
            FinalResponse::Refusal(refusal) => {
                self.log.refused(call, &refusal);
                self.metrics.refused(refusal.kind);
                if call.is_delegated && !progress.out.is_started() {
                    progress.out.set_note(Some(DelegateNote::refused(&refusal)));
                }
                self.refuse(&refusal, &mut progress.out).await
            }
        }
    }

    async fn refuse(
        &self,
        refusal: &Refusal,
        out: &mut ResponseWriter<CallerStream>,
    ) -> Result<(), CallerDisconnected> {
        match refusal.kind.status() {
            Some(status) if !out.is_started() => {
                let sent = out.write_refusal(status, refusal).await;
                sent.map_err(|_| CallerDisconnected)
            }
            // A response that has begun is cut off, so that the caller can't take it for complete.
            _ => Ok(()),
        }
    }

    fn next_step(&self, event: Event) -> NextStep {
        let mut next = NextStep::Complete;
        for effect in self.step(event) {
            next = match effect {
                Effect::Dispatch { dispatch, .. } => NextStep::Dispatch(Box::new(dispatch)),
                Effect::Delegate { delegation, .. } => NextStep::Delegate(Box::new(delegation)),
                Effect::Deliver { .. } => NextStep::Final(FinalResponse::Target),
                Effect::Refuse { refusal, .. } => NextStep::Final(FinalResponse::Refusal(refusal)),
                Effect::RequestPlacement { number, .. } => NextStep::AwaitPlacement(number),
                Effect::ReleaseHandle(_)
                | Effect::PublishDigest
                | Effect::AcquireLease
                | Effect::RecordVersions(_)
                | Effect::ProbeTarget(_)
                | Effect::Order { .. }
                | Effect::ReadUsage
                | Effect::CollectUsage(_)
                | Effect::WriteUsage(_)
                | Effect::ReportUsage { .. }
                | Effect::OrderSize { .. }
                | Effect::ReportEnds { .. }
                | Effect::AnswerPlacement { .. } => {
                    continue;
                }
            };
        }
        next
    }
}
