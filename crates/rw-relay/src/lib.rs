//! The shell of forwarded calls: it performs what [`rw_gate::Gate`] decides.
//!
//! All of it runs on one thread. Heads are read with `httparse` and passed on byte for byte,
//! because a forwarded path, body or failure must not change on its way.

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
