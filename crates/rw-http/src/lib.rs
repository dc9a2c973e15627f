//! HTTP client pool and listener on `async-h1`, with checks and limits that this library lacks.
//!
//! The client rejects truncated bodies and responses of undefined length. The listener limits the
//! time and size of header and body, idle time, stalled writes and the number of open connections.

mod client;
mod client_response;
mod conn;
mod error;
mod exchange;
mod expiring_stream;
mod head_limit;
mod keepalive;
mod lazy_timer;
mod limited_stream;
mod limits;
mod listen;
mod read_turn;
mod registry;
mod respond;
mod retry_after;
mod sse;
mod traffic;
mod unacked_limit;
mod workers;

pub use client::{Client, Pooling, post_json};
pub use client_response::ClientResponse;
pub use error::SendError;
pub use keepalive::set_keepalive;
pub use limits::Limits;
pub use listen::{Listener, read_body};
pub use read_turn::ReadTurn;
pub use respond::{StreamPart, event_stream, json, raw, status_code};
pub use retry_after::RetryAfter;
pub use sse::SseLines;
pub use traffic::Traffic;
pub use unacked_limit::UnackedLimit;
pub use workers::{Workers, spawn};

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
