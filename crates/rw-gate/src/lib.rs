//! The reducer of forwarded calls: state and event in, effects out.
//!
//! A call names a host and a path; operators' routes tell which service runs it. [`Gate::step`]
//! decides which target gets it, what may be repeated, and what is refused. It reads no clock and
//! does no I/O.

mod admission;
mod ask;
mod attempt_flow;
mod call_state;
mod digest;
mod effect;
mod engine_look;
mod engine_rate;
mod event;
mod fill;
mod gate;
mod health;
mod learnt;
mod local_budget;
mod overrun;
mod placing;
mod prefix_cache;
mod roles;
mod routing;
mod settings;
mod size_mix;
mod target;
mod target_list;
mod work;

pub use ask::{Ask, Part, Prompt};
pub use digest::{Change, Digest, OpenSum, Read, WorkSum};
pub use effect::{Dispatch, Effect, Mode, Refusal, RefusalKind};
pub use engine_rate::EngineRate;
pub use event::{End, Event, Handle, Load};
pub use fill::Fill;
pub use gate::Gate;
pub use health::Health;
pub use local_budget::LocalBudget;
pub use overrun::Overrun;
pub use prefix_cache::PrefixCache;
pub use roles::OrderEnd;
pub use routing::{CallLimits, EngineSpec, Repeat, Route, Routing, Service, Share};
pub use settings::GateSettings;
pub use size_mix::SizeMix;
pub use target::{Target, TargetSpec};
pub use target_list::TargetList;
pub use work::{Job, Sent, Work};

pub use rw_types::Role;
