//! Content of a request that the reducer does not need.

use rw_http::Method;

/// Content of a request.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A generation request.
    Generate {
        /// Prompt text.
        text: String,
        /// Whether the response is streamed.
        stream: bool,
        /// Whether it was sent to the chat endpoint.
        chat: bool,
    },
    /// A call to a plain service.
    Plain {
        /// HTTP method.
        method: Method,
        /// Path below the service name, with the query.
        path: String,
        /// Value of the `content-type` header.
        content_type: Option<String>,
        /// Request body.
        body: Vec<u8>,
    },
}
