//! HTTP in both directions on `async-h1`, with the checks and limits that library leaves out.
//!
//! The client refuses short bodies and answers without a length; the listener bounds header time,
//! body size and open connections.

mod client;
mod error;
mod listen;
mod reply;
mod respond;
mod sse;
mod traffic;

pub use client::{Client, Pooling, post_json};
pub use error::SendError;
pub use listen::{Limits, Listener, read_body};
pub use reply::Reply;
pub use respond::{code, events, json, raw};
pub use sse::SseLines;
pub use traffic::Traffic;

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
