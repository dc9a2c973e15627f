//! The node process: runs the effects of the reducer in `rw-core` and serves callers, peers and
//! operators.
//!
//! [`BoundNode`] binds the three listeners and serves until shutdown. Callers use HTTP, peers and
//! operators JSON-RPC over HTTP. [`Shell`] holds the reducer and the clients of targets, peers and
//! the platform; the decisions are made in `rw-core`.

mod accounts;
mod attempt;
mod authority;
mod burn;
mod burn_calls;
mod callers;
mod claim_query;
mod claims;
mod completion;
mod config_sync;
mod config_update;
mod drive;
mod handover;
mod history;
mod loops;
mod metrics;
mod notices;
mod operator_error;
mod operators;
mod parse;
mod payload;
mod peers;
mod plain;
mod plan_rows;
mod plans;
mod request_caller;
mod request_calls;
mod request_state;
mod rpc;
mod serve;
mod settings;
mod shell;
mod suspects;
mod tickets;
mod watch;

pub use accounts::Accounts;
pub use burn::{
    BurnCause, BurnCounters, BurnCounts, BurnReport, CauseCounts, StateChange, WINDOW_FRACTIONS,
    WINDOWS, burn_rate,
};
pub use config_update::{ConfigUpdate, RecentChanges};
pub use history::{History, HistoryEntry, describe_step};
pub use metrics::Metrics;
pub use operator_error::OperatorError;
pub use operators::{Status, VmStatus};
pub use plans::{ConfirmRequest, Confirmation, PlanRequest};
pub use rpc::{RpcError, call_rpc};
pub use serve::{BoundNode, ServeError};
pub use settings::NodeSettings;
pub use shell::Shell;
