//! Requests as callers send them.

use crate::DelegatedCall;
use rw_types::KeyHash;

/// A segment of a prompt. Prompts with the same beginning have the same leading segments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt of a generation request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that is to run the prompt.
    pub model: String,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
    /// Segments in order; the last belongs only to this call or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Maximum number of tokens that the generation holds in the KV cache.
    pub(crate) fn max_tokens(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.max_output)
    }
}

/// What a call states about the client account that it belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// Something other than exactly one key.
    Malformed,
    /// A key.
    Key(KeyHash),
}

/// A call as the caller sent it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallRequest {
    /// Identifier that the caller gave this call; a retry by the caller has another one.
    pub call_id: String,
    /// Host that it was sent to.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Hash over method, path and body.
    pub fingerprint: u64,
    /// Milliseconds from arrival for which the caller waits.
    pub deadline_ms: Option<u64>,
    /// Last event that the caller received from an earlier stream.
    pub last_event: Option<u64>,
    /// Identifier of the caller's earlier call that brought the first event of the stream which this
    /// call resumes.
    pub resumes: Option<String>,
    /// The caller's credential.
    pub credential: Credential,
    /// Set if the call is a generation.
    pub prompt: Option<Prompt>,
    /// Set if another node passed the call to this one.
    pub delegated: Option<DelegatedCall>,
}
