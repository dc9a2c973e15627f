//! What the shell keeps of a request beside the reducer's view.

use rw_http::Method;

/// The bytes of a request.
#[derive(Debug, Clone)]
pub enum Payload {
    /// Text to be completed.
    Generate {
        /// Prompt text.
        text: String,
        /// Whether the caller wants a stream.
        stream: bool,
        /// Whether it came by the chat path.
        chat: bool,
    },
    /// A call of a plain service.
    Plain {
        /// Method.
        method: Method,
        /// Path and query below the service.
        path: String,
        /// Content type.
        content_type: Option<String>,
        /// Body.
        body: Vec<u8>,
    },
}
