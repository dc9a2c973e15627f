//! Forwards calls between callers and targets. [`rw_gate::Gate`] makes the decisions; this crate
//! performs the I/O.
//!
//! Everything runs on one thread. Heads are parsed with `httparse`, which returns paths and values
//! as sent, because a forwarded path, body or error response must not be altered in transit.

mod answer_out;
mod attempt;
mod body;
mod clock;
mod decision_log;
mod dialect;
mod forward;
mod front;
mod head;
mod io_error;
mod link;
mod membership;
mod metrics;
mod orders;
mod peers;
mod pool;
mod registry;
mod relay;
mod serve;
mod settings;
mod small_server;
mod sse;
mod within;

pub use body::Framing;
pub use clock::BootClock;
pub use dialect::{Dialect, OrderRequest, ResponseMetadata, RoleOrder, TargetReport};
pub use head::{HeadError, HeaderField, RequestHead, ResponseHead};
pub use link::Connection;
pub use membership::{Peer, Peers};
pub use metrics::Metrics;
pub use registry::{Registry, RegistryUpdate, Snapshot};
pub use relay::Relay;
pub use serve::{BoundRelay, ServeError};
pub use settings::RelaySettings;
pub use sse::EventSplitter;
