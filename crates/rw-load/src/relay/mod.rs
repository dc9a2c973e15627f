//! Runs forwarded calls in virtual time, with the nodes' reducers and with engines and callers
//! simulated from the parameters of a deployment.

mod arrivals;
mod deployment;
mod engine;
mod engine_faults;
mod engine_speeds;
mod engine_state;
mod engine_work;
mod fleet;
mod kind_result;
mod limit_usage;
mod node_cuts;
mod options;
mod routes;
mod scaling;
mod sheet_error;

pub use deployment::{CallKind, Deployment, EngineModel, SharedPart, Surge};
pub use engine_speeds::{EngineSpeeds, PaceReports, SpeedKnowledge};
pub use fleet::run_relay;
pub use kind_result::{CutGroup, RelayKindResult, RelayResult};
pub use options::{EngineFault, EngineFaultKind, NodeCut, RelayOptions, Silence, SizeMode};
pub use scaling::{CentrePrice, Reclaim, ScalingModel, SizeResult};
pub use sheet_error::SheetError;
