//! What a caller asks for.

/// A part of a prompt, shared with other prompts that begin alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of its content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The prompt of a generation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that is to answer.
    pub model: String,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub max_output: u32,
    /// Parts in order; the last belongs to this call or its session alone.
    pub parts: Vec<PromptPart>,
}

/// One call as its caller sent it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallRequest {
    /// Caller's identity of this call; a caller's retry has another.
    pub call_id: String,
    /// Host it was sent to.
    pub host: String,
    /// Path without its query.
    pub path: String,
    /// Equal for calls with the same method, path and body.
    pub fingerprint: u64,
    /// Milliseconds that the caller waits, from the arrival.
    pub deadline_ms: Option<u64>,
    /// Last event that the caller has of an earlier stream.
    pub last_event: Option<u64>,
    /// Prompt, where the call is a generation.
    pub prompt: Option<Prompt>,
}
