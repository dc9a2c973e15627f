//! The reducer: state and event in, effects out.
//!
//! Nothing here reads a clock, draws an unseeded random number or does I/O. The running node, the
//! property tests and the exhaustive exploration all drive the same [`Node::step`].

mod admit;
mod authority;
mod authority_effect;
mod authority_event;
mod cache_view;
mod call;
mod capacity;
mod claim;
mod config_sync;
mod demand;
mod effect;
mod estimate;
mod event;
mod fleet_wishes;
mod flow;
mod lease;
mod lease_rows;
mod limit;
mod member;
mod model_index;
mod node;
mod order_flow;
mod order_slot;
mod policy;
mod rendezvous;
mod request;
mod request_flow;
mod role_plan;
mod route;
mod settings;
mod share;
mod target_state;
mod wish;
mod wish_step;

pub use authority::Authority;
pub use authority_effect::AuthorityEffect;
pub use authority_event::{AuthorityEvent, OrderRow, WriteEnd};
pub use cache_view::CacheView;
pub use call::{Call, Work};
pub use capacity::{Split, by_shape, served};
pub use claim::{Answer, Claim, ClaimRead, ClaimState, claim_key};
pub use config_sync::{ConfigSync, FANOUT, IN_FORCE_MS, READERS, SyncEffect, SyncEvent, head_rank};
pub use demand::{Demand, KindDemand};
pub use effect::Effect;
pub use estimate::{Ask, Estimate, engine_time, estimate};
pub use event::{AttemptEnd, Event};
pub use flow::Flow;
pub use lease::Lease;
pub use lease_rows::{Beat, Holder, LeaseRows, beat_key, lease_key, order_key};
pub use limit::Limit;
pub use member::Members;
pub use model_index::ModelIndex;
pub use node::Node;
pub use order_slot::{OrderSlot, Step};
pub use policy::{Pick, Policy};
pub use rendezvous::candidate_rank;
pub use request::{Phase, Request};
pub(crate) use role_plan::Plans;
pub use route::{Choice, NoChoice, Wanted, choose};
pub use settings::CoreSettings;
pub use share::Shares;
pub use target_state::{Sent, TargetState, Targets};
pub use wish::Wish;
