//! Runs forwarded calls in virtual time, with the nodes' reducers and with engines and callers
//! simulated from the parameters of a deployment.

mod arrivals;
mod caller_result;
mod engine;
mod fleet;
mod sheet;

pub use caller_result::{RelayKindResult, RelayResult};
pub use fleet::run_relay;
pub use sheet::{CallKind, Deployment, EngineModel, SharedPart, Surge};
