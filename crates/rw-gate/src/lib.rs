//! Reducer for forwarded calls: takes state and an event, returns effects.
//!
//! A call names a host and a path; the routes set by operators map it to a service. [`Gate::step`]
//! chooses the target that gets the call, decides whether it may be retried, and refuses calls that
//! can't be served. It performs no I/O and reads no clock; the crate `rw-relay` does both for it.

mod account_flow;
mod account_keys;
mod account_usage;
mod admission;
mod attempt_flow;
mod availability;
mod call_request;
mod call_state;
mod call_window;
mod delegation;
mod delivered;
mod demand;
mod demand_flow;
mod departed_targets;
mod digest;
mod duty_pacer;
mod duty_reach;
mod effect;
mod engine_estimates;
mod engine_scorer;
mod entry_flow;
mod event;
mod fleet_demand;
mod gate;
mod health;
mod known_span;
mod lasting_speed;
mod lease;
mod local_retry_budget;
mod notice_flow;
mod notice_log;
mod origin_flow;
mod overrun;
mod part_suspects;
mod placement;
mod placer;
mod prefill_cost_model;
mod prefill_histogram;
mod prefill_queue;
mod prefill_ranks;
mod prefill_size;
mod prefix_cache;
mod process_doubt;
mod publication;
mod rate_limits;
mod refusal_status;
mod retry_flow;
mod roles;
mod routing;
mod saturation;
mod scheduling;
mod send_window;
mod served_rates;
mod settings;
mod shutdown;
mod size_plan;
mod sizing;
mod software_history;
mod speed_baseline;
mod speed_flow;
mod speed_report;
mod store_era;
mod store_flow;
mod store_return;
mod stream_origin;
mod stream_origins;
mod target;
mod target_incarnation;
mod target_list;
mod target_speed;
mod token_bucket;
mod true_time;
mod usage_counter;
mod usage_flow;
mod usage_report;
mod version_record;
mod work_kind;

pub use account_usage::ShareReport;
pub use availability::{Availability, LeavingSource};
pub use call_request::{CallRequest, Credential, Prompt, PromptPart};
pub use delegation::{
    DelegatedCall, Delegation, DelegationOutcome, FleetNode, ProbeTarget, ResponseSource,
};
pub use delivered::Delivered;
pub use demand::DemandReport;
pub use digest::{
    CacheInsert, DIGEST_FANOUT, Digest, LimitReport, PartReport, RoleChange, WorkReport,
};
pub use duty_pacer::{DutyPacer, DutySubject};
pub use effect::{Dispatch, DispatchMode, Effect, Refusal, RefusalKind};
pub use event::{DispatchOutcome, DutyOutcome, Event, KvHandle, TargetLoad};
pub use gate::Gate;
pub use health::Health;
pub use local_retry_budget::LocalRetryBudget;
pub use overrun::Overrun;
pub use part_suspects::PartSuspects;
pub use prefill_cost_model::PrefillCostModel;
pub use prefill_histogram::PrefillHistogram;
pub use prefill_queue::{PrefillJob, PrefillQueue, SentPrefill};
pub use prefill_size::PrefillSize;
pub use prefix_cache::PrefixCache;
pub use process_doubt::ProcessDoubt;
pub use refusal_status::is_refusal_status;
pub use roles::OrderOutcome;
pub use routing::{
    Account, CallLimits, EngineSpec, RetryPolicy, Route, Routing, Scaling, Service, ServiceWeight,
};
pub use scheduling::{
    Bound, PLACEMENT_TIMEOUT_MS, PlacementGrant, PlacementOutcome, PlacementReply,
    PlacementRequest, Reservation, SchedulerMessage, SchedulerNode, WorkEnd,
};
pub use send_window::{SendWindow, Slots};
pub use settings::{DutySettings, GateSettings, TargetSpeeds};
pub use size_plan::{CentreSize, CentreState, TargetCapacity, Work, plan_size};
pub use sizing::{SizeInputs, SizeStatus};
pub use software_history::{HistoryReport, SeenVersion};
pub use speed_baseline::SpeedBaseline;
pub use speed_report::SpeedReport;
pub use store_era::StoreEra;
pub use stream_origin::{OriginReport, SoftwareId, StreamId};
pub use target::{Target, TargetSpec};
pub use target_incarnation::TargetIncarnation;
pub use target_list::TargetList;
pub use target_speed::{SpeedSample, TargetSpeed};
pub use usage_report::{
    StoredUsage, UsageAnswer, UsageCollection, UsageQuery, UsageRecord, UsageReport,
};

pub use version_record::{RecordChange, RecordRequest, VersionRecord};
pub use work_kind::WorkKind;

pub use rw_types::{MAX_PAUSE_MS, RateNotice, RequestRate, Role, TargetNotice};
