//! The reducer: state and event in, effects out.
//!
//! Nothing here reads a clock, draws an unseeded random number or does I/O. The running node, the
//! property tests and the exhaustive exploration all drive the same [`Node::step`].

mod aperture;
mod authority;
mod authority_effect;
mod authority_event;
mod call;
mod claim;
mod config_sync;
mod declared_roles;
mod effect;
mod event;
mod fleet_wishes;
mod lease;
mod lease_rows;
mod member;
mod node;
mod order_flow;
mod order_slot;
mod rendezvous;
mod request;
mod request_flow;
mod route;
mod settings;
mod target_state;
mod wish;
mod wish_step;

pub use aperture::Aperture;
pub use authority::Authority;
pub use authority_effect::AuthorityEffect;
pub use authority_event::{AuthorityEvent, OrderRow, WriteEnd};
pub use call::{Call, Work};
pub use claim::{Answer, Claim, ClaimRead, ClaimState, claim_key};
pub use config_sync::{ConfigSync, FANOUT, IN_FORCE_MS, READERS, SyncEffect, SyncEvent, head_rank};
pub use effect::Effect;
pub use event::{AttemptEnd, Event};
pub use lease::Lease;
pub use lease_rows::{Beat, Holder, LeaseRows, beat_key, lease_key, order_key};
pub use member::Members;
pub use node::Node;
pub use order_slot::{OrderSlot, Step};
pub use rendezvous::candidate_rank;
pub use request::{Phase, Request};
pub use settings::CoreSettings;
pub use target_state::{TargetState, Targets};
pub use wish::Wish;
