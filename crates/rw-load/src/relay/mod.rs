//! Forwarded calls on virtual time: the nodes' own reducers, and engines and callers that behave
//! as a deployment's sheet tells.

mod arrivals;
mod caller_result;
mod engine;
mod fleet;
mod sheet;

pub use caller_result::{RelayKindResult, RelayResult};
pub use fleet::run_relay;
pub use sheet::{CallKind, Deployment, EngineModel, SharedPart, Surge};
