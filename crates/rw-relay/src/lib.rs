//! Forwards calls between callers and targets. [`rw_gate::Gate`] makes the decisions; this crate
//! performs the I/O.
//!
//! Everything runs on one thread. Heads are parsed with `httparse`, which returns paths and values
//! as sent, because a forwarded path, body or error response must not be altered in transit.

mod attempt;
mod body;
mod body_writer;
mod byte_budget;
mod call;
mod caller_stream;
mod carried_calls;
mod clock;
mod connection;
mod decision_log;
mod delegation;
mod dialect;
mod duties;
mod duty_api;
mod duty_queues;
mod endpoint_server;
mod event_writer;
mod exchange_error;
mod forward;
mod front;
mod head;
mod io_error;
mod membership;
mod message_writer;
mod metrics;
mod named_call;
mod notices;
mod orders;
mod origin_query;
mod origins;
mod peers;
mod placements;
mod pool;
mod registry;
mod relay;
mod response_end;
mod response_head;
mod response_progress;
mod response_state;
mod response_writer;
mod serve;
mod settings;
mod sse;
mod streaming;
mod timeout;
mod usage;
mod written;

pub use body::Framing;
pub use body_writer::BodyWriter;
pub use byte_budget::ByteBudget;
pub use clock::BootClock;
pub use connection::Connection;
pub use dialect::{Dialect, NamedLimit, OrderRequest, ResponseMetadata, RoleOrder, TargetReport};
pub use duty_api::{DutyApi, DutyCall, DutyRequest};
pub use event_writer::EventWriter;
pub use head::{HeadError, HeaderField, RequestHead, ResponseHead};
pub use membership::{DEFAULT_DIGEST_BYTES_PER_S, Peer, Peers};
pub use metrics::Metrics;
pub use named_call::NamedCall;
pub use placements::PlacementMode;
pub use registry::{Registry, RegistryRequests, RegistryUpdate, Snapshot, UsageRequest};
pub use relay::Relay;
pub use response_end::ResponseEnd;
pub use response_writer::ResponseWriter;
pub use serve::{BoundRelay, ServeError};
pub use settings::RelaySettings;
pub use sse::EventSplitter;
pub use written::Written;
