//! The process shell: runs the reducer's effects and serves callers, peers and operators.

mod accounts;
mod attempt;
mod callers;
mod changes;
mod claims;
mod completion;
mod config_sync;
mod drive;
mod loops;
mod metrics;
mod operators;
mod parse;
mod payload;
mod peers;
mod plain;
mod rpc;
mod serve;
mod settings;
mod shell;

pub use changes::{Changes, RecentChanges};
pub use metrics::Metrics;
pub use operators::{Status, VmStatus};
pub use rpc::{RpcError, call_rpc};
pub use serve::{Bound, ServeError};
pub use settings::NodeSettings;
pub use shell::Shell;
