//! The decisions of a node as a reducer: [`Node::step`] takes the time and an event, updates the
//! node's state and returns the effects to carry out.
//!
//! It admits and routes requests, keeps non-idempotent ones from running twice by claims and tickets,
//! holds leases and gives orders under them, plans the roles of engines, and decides when to
//! synchronize the configuration.
//!
//! This crate does not read a clock, do I/O or use unseeded random numbers. The running node, the
//! property tests and the exhaustive state exploration all use the same [`Node::step`].

mod admit;
mod aperture;
mod authority;
mod authority_effect;
mod authority_event;
mod cache_view;
mod call;
mod capacity;
mod claim;
mod claim_flow;
mod concurrency_limit;
mod config_sync;
mod crash_flow;
mod declared_roles;
mod demand;
mod effect;
mod engine_usage;
mod estimate;
mod event;
mod fleet_proposals;
mod handover;
mod lease;
mod lease_rows;
mod member;
mod model_index;
mod next_order;
mod node;
mod order_flow;
mod order_slot;
mod pause;
mod policy;
mod proposed_order;
mod recorded_response;
mod rendezvous;
mod request;
mod request_flow;
mod retry_budget;
mod role_plan;
mod route;
mod settings;
mod share_usage;
mod suspect;
mod target_state;
mod ticket;
mod ticket_flow;
mod ticket_runs;
mod unsettled;

pub use aperture::Aperture;
pub use authority::Authority;
pub use authority_effect::AuthorityEffect;
pub use authority_event::{AuthorityEvent, OrderRow, WriteOutcome};
pub use cache_view::CacheView;
pub use call::{Call, Operation};
pub use capacity::{Split, served_ratio, sort_by_prompt_ratio};
pub use claim::{Claim, ClaimResult, ClaimState, ClaimStatus, claim_key};
pub use concurrency_limit::ConcurrencyLimit;
pub use config_sync::{
    CONVERGENCE_LIMIT_MS, ConfigSync, FANOUT, HEAD_READERS, SyncEffect, SyncEvent, head_rank,
};
pub use demand::{Demand, KindDemand};
pub use effect::Effect;
pub use engine_usage::EngineUsage;
pub use estimate::{Estimate, EstimateRequest, engine_time, estimate};
pub use event::{AttemptOutcome, Event};
pub use handover::{Handover, handover_key};
pub use lease::Lease;
pub use lease_rows::{Heartbeat, Holder, LeaseRows, heartbeat_key, lease_key, order_key};
pub use member::Members;
pub use model_index::ModelIndex;
pub use node::Node;
pub use order_slot::{OrderSlot, SlotState};
pub use pause::pause_with_jitter;
pub use policy::{Policy, RoutingStrategy};
pub use proposed_order::ProposedOrder;
pub use recorded_response::RecordedResponse;
pub use rendezvous::{candidate_rank, hash, mix, weight as rendezvous_weight};
pub use request::{Phase, Request};
pub use retry_budget::RetryBudget;
pub(crate) use role_plan::RolePlans;
pub use route::{Choice, RouteError, RouteRequest, choose_target};
pub use settings::CoreSettings;
pub use share_usage::ShareUsage;
pub use suspect::Suspects;
pub use target_state::{SentRequest, TargetState, Targets};
pub use ticket::Ticket;
pub use ticket_runs::{TicketRun, TicketRuns};
pub use unsettled::Unsettled;

pub use rw_types::Suspect;
