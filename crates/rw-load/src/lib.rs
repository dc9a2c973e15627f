//! Load and experiments: what the decisions are worth, measured by one command with one seed.

mod arrival;
mod compare;
mod decide;
mod experiment;
mod fleet_config;
mod profile;
mod relay;
mod report;
mod result;
mod socket_fleet;
mod virtual_engines;
mod virtual_fleet;
mod virtual_requests;

pub use arrival::{Arrival, arrivals};
pub use compare::{Comparison, Variant, compare};
pub use decide::decisions;
pub use experiment::{Experiment, Fault, FaultAt, Hand};
pub use profile::{KindProfile, PhaseProfile, Profile, Shape};
pub use relay::{
    CallerResult, ChainSheet, EngineSheet, KindSheet, RelayResult, Sheet, Surge, run_relay,
};
pub use report::{html, table};
pub use result::{KindResult, RunResult, Spread};
pub use socket_fleet::{SocketError, run_sockets};
pub use virtual_fleet::run_virtual;
