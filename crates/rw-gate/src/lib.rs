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

pub use ask::{CallRequest, Prompt, PromptPart};
pub use digest::{CacheInsert, Digest, RoleChange, TargetPrefills, TargetUsage};
pub use effect::{Dispatch, DispatchMode, Effect, Refusal, RefusalKind};
pub use engine_rate::PrefillCostModel;
pub use event::{DispatchOutcome, Event, KvHandle, TargetLoad};
pub use fill::PrefillSize;
pub use gate::Gate;
pub use health::Health;
pub use local_budget::LocalRetryBudget;
pub use overrun::Overrun;
pub use prefix_cache::PrefixCache;
pub use roles::OrderOutcome;
pub use routing::{CallLimits, EngineSpec, RetryPolicy, Route, Routing, Service, ServiceWeight};
pub use settings::GateSettings;
pub use size_mix::PrefillHistogram;
pub use target::{Target, TargetSpec};
pub use target_list::TargetList;
pub use work::{PrefillJob, PrefillQueue, SentPrefill};

pub use rw_types::Role;
