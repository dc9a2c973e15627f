//! A caller's request, as the reducer sees it.

use rw_types::Millis;

/// What a request asks for, without its body.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Account of the caller.
    pub caller: String,
    /// Kind of work.
    pub kind: String,
    /// Model or service wanted.
    pub operation: Operation,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Fingerprint of the body.
    pub fingerprint: u64,
    /// When the whole answer is due.
    pub deadline: Millis,
    /// Whether operators or the caller set the deadline; the default of other work is no promise.
    pub explicit_deadline: bool,
}

/// What kind of target a request needs.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Generated text, which can be resumed from any token.
    Generate {
        /// Model wanted.
        model: String,
        /// Tokens of the prompt.
        prompt: u64,
        /// Most tokens of the output.
        output: u64,
        /// Hashes of the prompt's prefixes, one per piece of a thousand tokens.
        blocks: Vec<u64>,
    },
    /// A call of a plain service.
    Service {
        /// Service wanted.
        name: String,
        /// Whether running it twice equals running it once.
        idempotent: bool,
    },
}

impl Call {
    /// Whether the request may be dispatched more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match &self.operation {
            Operation::Generate { .. } => true,
            Operation::Service { idempotent, .. } => *idempotent,
        }
    }

    /// Whether a claim must be recorded before the dispatch.
    #[must_use]
    pub fn needs_claim(&self) -> bool {
        self.key.is_some() && !self.is_idempotent()
    }
}
