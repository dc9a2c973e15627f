//! Seeded load runs that measure routing, admission and role planning, with comparisons and
//! reports.

mod arrival;
mod compare;
mod decision_cost;
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
pub use decision_cost::decision_cost_table;
pub use experiment::{Experiment, Fault, ManualRoles, ScheduledFault};
pub use profile::{KindProfile, PhaseProfile, Profile, RequestShape};
pub use relay::{
    CallKind, CentrePrice, CutGroup, Deployment, EngineFault, EngineFaultKind, EngineModel,
    EngineSpeeds, NodeCut, PaceReports, Reclaim, RelayKindResult, RelayOptions, RelayResult,
    ScalingModel, SharedPart, SheetError, Silence, SizeMode, SizeResult, SpeedKnowledge, Surge,
    run_relay,
};
pub use report::{html_report, run_table};
pub use result::{KindResult, Percentiles, RunResult};
pub use socket_fleet::{SocketError, run_sockets};
pub use virtual_fleet::run_virtual;
