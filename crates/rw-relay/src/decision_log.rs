//! One line for each decision, bounded in number.

use crate::{
    BootClock, ResponseMetadata,
    attempt::Call,
    metrics::{end_name, mode},
};
use rw_gate::{Dispatch, DispatchOutcome, Refusal};
use std::{cell::Cell, io};

/// Most lines a second about calls; a node of the size today takes some tens of calls a second.
const MOST: u32 = 300;
/// Length of the span over which lines are counted, in milliseconds.
const SPAN_MS: u64 = 1_000;

/// Writes lines until the bound of the second is reached, and counts the rest.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    clock: BootClock,
    span: Cell<u64>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl DecisionLog {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            span: Cell::new(0),
            lines: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Lines that were over the bound.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    pub(crate) fn dispatch(&self, call: &Call, d: &Dispatch) {
        if self.may() {
            log::info!(call = call.name.as_str(), n = call.id.0, to = d.target.as_str(), mode = mode(&d.mode), priority = d.priority, fetch = d.fetch_from.as_deref().unwrap_or_default(), left_ms = d.left_ms, resume:? = d.resume_after, why = d.reason.as_str(); "dispatch");
        }
    }

    pub(crate) fn ended(&self, call: &Call, d: &Dispatch, end: &DispatchOutcome) {
        let status = match end {
            DispatchOutcome::Complete { status } | DispatchOutcome::Rejected { status } => *status,
            _ => 0,
        };
        if self.may() {
            log::info!(call = call.name.as_str(), n = call.id.0, at = d.target.as_str(), end = end_name(end), status; "ended");
        }
    }

    pub(crate) fn refuse(&self, call: &Call, r: &Refusal) {
        if self.may() {
            log::info!(call = call.name.as_str(), n = call.id.0, path = call.head.path(), kind = r.kind.as_str(), estimate_ms = r.estimate_ms, retry_ms = r.retry_ms; "refused");
        }
    }

    pub(crate) fn gone(&self, call: &Call, begun: bool) {
        if self.may() {
            let waited_ms = self.clock.now().since(call.arrived);
            log::info!(call = call.name.as_str(), n = call.id.0, path = call.head.path(), waited_ms, begun; "caller gone");
        }
    }

    pub(crate) fn broken(&self, call: &Call, d: &Dispatch, error: &io::Error, crashed: bool) {
        if self.may() {
            log::info!(call = call.name.as_str(), n = call.id.0, at = d.target.as_str(), error:%, crashed; "dispatch broke");
        }
    }

    pub(crate) fn stray(&self, call: &Call, notes: &ResponseMetadata) {
        if self.may() {
            log::info!(call = call.name.as_str(), n = call.id.0, other:? = notes.call_id; "an answer to another call was dropped");
        }
    }

    pub(crate) fn reject(&self, status: u16, kind: &str) {
        if self.may() {
            log::info!(status, kind; "request rejected unread");
        }
    }

    fn may(&self) -> bool {
        let span = self.clock.now().0 / SPAN_MS;
        if span != self.span.replace(span) {
            self.lines.set(0);
        }
        let lines = self.lines.get();
        if lines >= MOST {
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.lines.set(lines + 1);
        true
    }
}
