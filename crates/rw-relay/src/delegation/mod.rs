//! The way between nodes: calls that one node passes to another.
//!
//! It is HTTP at the TCP port with the number of the node's port for digests. The request is the
//! caller's, with the header `rw-delegation` in front. Its body is sent only after the delegate has
//! accepted the head with `100 Continue`, and the delegate runs nothing before it has read the end of
//! the body: a request whose end was not sent has not run. The response is that of the target with
//! the header `rw-delegate` in front, or the delegate's refusal, which the same header names.

mod headers;
mod offer;
mod receive;
mod send;

pub(crate) use headers::{DELEGATE_HEADER, DelegateNote};
pub(crate) use offer::Offer;
pub(crate) use receive::{EXTRA_HEADER_BYTES, restore_framing};

use headers::{DELEGATION_HEADER, take_json, to_value};
