//! Log lines for decisions about calls, limited in rate.

use crate::{
    BootClock, Framing, ResponseEnd, ResponseMetadata, Written,
    call::Call,
    metrics::{delegation_label, framing_label, mode_label, outcome_label},
};
use rw_gate::{
    CallRequest, Delegation, DelegationOutcome, Dispatch, DispatchMode, DispatchOutcome,
    PromptPart, Refusal,
};
use rw_types::RequestRate;
use std::{
    cell::{Cell, RefCell},
    io,
};

/// Maximum number of lines in a window. A node of the present size handles some tens of calls per
/// second.
const MAX_LINES: u32 = 300;
/// Maximum number of targets with a warning about a notice.
const MAX_WARNED: usize = 1_000;
/// Length of the window in which lines are counted.
const WINDOW_MS: u64 = 1_000;

/// Writes lines up to the limit of the current window, and counts those it drops.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    clock: BootClock,
    window: Cell<u64>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
    /// Targets with a logged warning about a notice, sorted.
    warned: RefCell<Vec<String>>,
}

impl DecisionLog {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            window: Cell::new(0),
            lines: Cell::new(0),
            dropped: Cell::new(0),
            warned: RefCell::default(),
        }
    }

    /// Lines dropped because of the limit.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    pub(crate) fn dispatch(&self, call: &Call, d: &Dispatch, resumes: &str) {
        if self.allow_line() {
            log::info!(call = call.call_id.as_str(), n = call.id.0, resumes, to = d.target.as_str(), software = d.software.as_str(), mode = mode_label(&d.mode), priority = d.priority, fetch = d.fetch_from.as_deref().unwrap_or_default(), left_ms = d.left_ms, resume:? = d.resume_after, why = d.reason.as_str(); "dispatch");
        }
    }

    /// A dispatch ended; `framing` is that of its response, if one began.
    pub(crate) fn ended(
        &self,
        call: &Call,
        d: &Dispatch,
        outcome: &DispatchOutcome,
        framing: Option<Framing>,
    ) {
        let status = match outcome {
            DispatchOutcome::Complete { status } | DispatchOutcome::Rejected { status } => *status,
            _ => 0,
        };
        if self.allow_line() {
            log::info!(call = call.call_id.as_str(), n = call.id.0, at = d.target.as_str(), end = outcome_label(outcome), status, framing = framing_label(framing); "ended");
        }
    }

    pub(crate) fn delegated(&self, call: &Call, d: &Delegation) {
        if self.allow_line() {
            let c = &d.call;
            log::info!(call = call.call_id.as_str(), n = call.id.0, to = d.vm.as_str(), service = c.service.as_str(), left_ms = c.left_ms, resume:? = c.resume_after; "delegated");
        }
    }

    pub(crate) fn delegation_ended(
        &self,
        call: &Call,
        d: &Delegation,
        outcome: &DelegationOutcome,
        status: u16,
    ) {
        if self.allow_line() {
            log::info!(call = call.call_id.as_str(), n = call.id.0, at = d.vm.as_str(), end = delegation_label(outcome), status; "ended");
        }
    }

    pub(crate) fn delegation_broken(&self, call: &Call, d: &Delegation, error: &io::Error) {
        if self.allow_line() {
            log::info!(call = call.call_id.as_str(), n = call.id.0, at = d.vm.as_str(), error:%; "delegation broke");
        }
    }

    pub(crate) fn refused(&self, call: &Call, r: &Refusal) {
        if self.allow_line() {
            log::info!(call = call.call_id.as_str(), n = call.id.0, path = call.head.path(), kind = r.kind.as_str(), estimate_ms = r.estimate_ms, retry_ms = r.retry_ms; "refused");
        }
    }

    /// A response ended other than complete.
    pub(crate) fn response_ended(&self, call: &Call, end: ResponseEnd, w: &Written) {
        let previous = call.previous.map_or(0, |id| id.0);
        if end == ResponseEnd::Conflict {
            log::warn!(call = call.call_id.as_str(), n = call.id.0, previous, declared:? = w.declared, body = w.body; "bytes that belong to no response were withheld from a caller; this is a bug");
        } else if end != ResponseEnd::Complete && self.allow_line() {
            log::info!(call = call.call_id.as_str(), n = call.id.0, previous, end = end.as_str(), declared:? = w.declared, body = w.body; "response not complete");
        }
    }

    /// The caller disconnected while `dispatch` was open, if there was one.
    pub(crate) fn caller_disconnected(
        &self,
        call: &Call,
        dispatch: Option<(&str, &DispatchMode)>,
        begun: bool,
    ) {
        if self.allow_line() {
            let waited_ms = self.clock.now().since(call.arrived);
            let (at, mode) = dispatch.map_or(("", ""), |(at, mode)| (at, mode_label(mode)));
            log::info!(call = call.call_id.as_str(), n = call.id.0, path = call.head.path(), at, mode, waited_ms, begun; "caller gone");
        }
    }

    /// A dispatch broke; `parts` are those of the prompt, which other calls may share.
    pub(crate) fn dispatch_broken(
        &self,
        call: &Call,
        d: &Dispatch,
        parts: &[PromptPart],
        error: &io::Error,
        crashed: bool,
    ) {
        if self.allow_line() {
            let parts = part_ids(parts);
            log::info!(call = call.call_id.as_str(), n = call.id.0, at = d.target.as_str(), error:%, crashed, parts = parts.as_str(); "dispatch broke");
        }
    }

    pub(crate) fn unmatched_response(&self, call: &Call, metadata: &ResponseMetadata) {
        if self.allow_line() {
            log::info!(call = call.call_id.as_str(), n = call.id.0, other:? = metadata.named_call; "response to another call dropped");
        }
    }

    /// A target said in a response that it is leaving.
    pub(crate) fn leaving(&self, target: &str, incarnation: u64) {
        if self.allow_line() {
            log::info!(target, life = incarnation; "target leaves by its own response");
        }
    }

    /// The node `vm` said that a target is leaving.
    pub(crate) fn leaving_by_peer(&self, target: &str, incarnation: u64, vm: &str) {
        if self.allow_line() {
            log::info!(target, life = incarnation, vm; "target leaves, by another node");
        }
    }

    /// A target asked for a pause; one longer than `max_ms` is cut to it.
    pub(crate) fn pause(&self, target: &str, pause_ms: u64, max_ms: u64) {
        if pause_ms > max_ms && self.warn_once(target) {
            log::warn!(target, pause_ms, max_ms; "target asks for too long a pause, which was cut; correct its Retry-After");
        }
        if self.allow_line() {
            log::info!(target, pause_ms; "target paused by its own response");
        }
    }

    /// A target asked for a pause whose length can't be read; it is ignored.
    pub(crate) fn pause_invalid(&self, target: &str) {
        if self.warn_once(target) {
            log::warn!(target; "target asks for a pause that is not a number of seconds, which was ignored; correct its Retry-After");
        }
    }

    /// Other nodes were asked where the stream began that a call takes up.
    pub(crate) fn origin_lookup(&self, request: &CallRequest, result: &str) {
        if self.allow_line() {
            let resumes = request.resumes.as_deref().unwrap_or_default();
            log::info!(call = request.call_id.as_str(), resumes, result; "other nodes asked where the stream began");
        }
    }

    /// A target named a rate limit, or withdrew it.
    pub(crate) fn rate_limit(&self, target: &str, rate: Option<RequestRate>) {
        if !self.allow_line() {
            return;
        }
        match rate {
            Some(rate) => log::info!(target, per_s = rate.per_s(); "target names a rate limit"),
            None => log::info!(target; "target names no rate limit any more"),
        }
    }

    /// A target named a rate limit that can't be read; it is ignored.
    pub(crate) fn limit_invalid(&self, target: &str) {
        if self.warn_once(target) {
            log::warn!(target; "target names a rate limit that is not a number of requests per second, which was ignored; correct its rate limit header");
        }
    }

    /// Whether no warning about a notice of this target was logged before.
    fn warn_once(&self, target: &str) -> bool {
        let mut warned = self.warned.borrow_mut();
        let Err(i) = warned.binary_search_by(|t| t.as_str().cmp(target)) else {
            return false;
        };
        if warned.len() == MAX_WARNED {
            return false;
        }
        warned.insert(i, target.to_owned());
        true
    }

    pub(crate) fn rejected(&self, status: u16, kind: &str) {
        if self.allow_line() {
            log::info!(status, kind; "request rejected without forwarding");
        }
    }

    fn allow_line(&self) -> bool {
        let window = self.clock.now().0 / WINDOW_MS;
        if window != self.window.replace(window) {
            self.lines.set(0);
        }
        let lines = self.lines.get();
        if lines >= MAX_LINES {
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.lines.set(lines + 1);
        true
    }
}

/// The identifiers of `parts` in hexadecimal, separated by spaces.
fn part_ids(parts: &[PromptPart]) -> String {
    let ids: Vec<String> = parts.iter().map(|p| format!("{:x}", p.id)).collect();
    ids.join(" ")
}
