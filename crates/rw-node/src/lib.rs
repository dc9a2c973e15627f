//! The process shell: runs the reducer's effects and serves callers, peers and operators.

mod accounts;
mod attempt;
mod callers;
mod claims;
mod completion;
mod drive;
mod loops;
mod metrics;
mod operators;
mod parse;
mod payload;
mod peers;
mod plain;
mod request_calls;
mod resend;
mod rpc;
mod serve;
mod settings;
mod shell;
mod suspects;
mod tickets;
mod watch;

pub use metrics::Metrics;
pub use operators::{Status, VmStatus};
pub use peers::Digest;
pub use rpc::{RpcError, call_rpc};
pub use serve::{Bound, ServeError};
pub use settings::NodeSettings;
pub use shell::Shell;
