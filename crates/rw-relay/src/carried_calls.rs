//! Calls that a connection has carried.

use rw_types::fingerprint;
use std::collections::VecDeque;

/// Number of calls that are remembered. A copy of a response can be held back behind later ones, but
/// a call comes back to a connection soon or never.
const MAX_CALLS: usize = 64;

/// Hash of a call's identifier; `None` if it has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallKey(Option<u64>);

impl CallKey {
    pub(crate) fn of(call_id: &str) -> Self {
        Self((!call_id.is_empty()).then(|| fingerprint(call_id.as_bytes())))
    }
}

/// The latest calls that a connection has carried.
#[derive(Debug, Default)]
pub(crate) struct CarriedCalls(VecDeque<CallKey>);

impl CarriedCalls {
    pub(crate) fn add(&mut self, key: CallKey) {
        if self.0.len() == MAX_CALLS {
            self.0.pop_front();
        }
        self.0.push_back(key);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the response to a further call can be told from a copy of an earlier one: by an
    /// identifier that no earlier call had, or because there was no earlier call.
    pub(crate) fn can_tell(&self, key: CallKey) -> bool {
        self.is_empty() || (key.0.is_some() && !self.0.contains(&key))
    }
}
