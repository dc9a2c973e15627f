//! Reducer for forwarded calls: takes state and an event, returns effects.
//!
//! A call names a host and a path; the routes set by operators map it to a service. [`Gate::step`]
//! chooses the target that gets the call, decides whether it may be retried, and refuses calls that
//! can't be served. It performs no I/O and reads no clock; the crate `rw-relay` does both for it.

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
