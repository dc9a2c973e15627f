//! HTTP in both directions on `async-h1`, with the checks and limits that library leaves out.
//!
//! The client refuses short bodies and answers without a length; the listener bounds the
//! time and size of header and body, idle connections, slow readers and open connections.

mod client;
mod conn;
mod error;
mod exchange;
mod expiring_stream;
mod limited_stream;
mod limits;
mod listen;
mod registry;
mod reply;
mod respond;
mod sse;
mod traffic;
mod watch;
mod workers;

pub use client::{Client, Pooling, post_json};
pub use error::SendError;
pub use limits::Limits;
pub use listen::{Listener, read_body};
pub use reply::ClientResponse;
pub use respond::{event_stream, json, raw, status_code};
pub use sse::SseLines;
pub use traffic::Traffic;
pub use workers::{Workers, spawn};

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
