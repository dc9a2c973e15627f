//! A caller's request without its body, as routing and admission see it.

use rw_types::Millis;

/// What a caller requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Account of the caller.
    pub caller: String,
    /// Name of the kind of work, which sets priority and objective; empty if none was named.
    pub kind: String,
    /// What is to be run.
    pub operation: Operation,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Hash of the path and the body; equal for all retries of a request.
    pub fingerprint: u64,
    /// When the full response must have been delivered.
    pub deadline: Millis,
    /// Whether operators or the caller set the deadline. A default deadline is not enforced by
    /// admission.
    pub explicit_deadline: bool,
}

/// What a target is to run.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Text generation, which can be resumed from any token.
    Generate {
        /// Model name.
        model: String,
        /// Prompt length in tokens.
        prompt: u64,
        /// Maximum output length in tokens.
        output: u64,
        /// Hashes of the prompt's prefixes, one per KV block of 1,000 tokens.
        blocks: Vec<u64>,
    },
    /// A call of a plain service.
    Service {
        /// Service name.
        name: String,
        /// Whether running it twice has the same effect as running it once.
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

    /// Whether a claim must be written to the table before the dispatch.
    #[must_use]
    pub fn needs_claim(&self) -> bool {
        self.key.is_some() && !self.is_idempotent()
    }
}
