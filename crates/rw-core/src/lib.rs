//! The reducer: state and event in, effects out.
//!
//! Nothing here reads a clock, draws an unseeded random number or does I/O. The running node, the
//! property tests and the exhaustive exploration all drive the same [`Node::step`].

mod answer;
mod aperture;
mod authority;
mod authority_effect;
mod authority_event;
mod call;
mod claim;
mod claim_flow;
mod config_sync;
mod crash_flow;
mod effect;
mod event;
mod fleet_wishes;
mod handover;
mod lease;
mod lease_rows;
mod member;
mod node;
mod order_flow;
mod order_slot;
mod rendezvous;
mod request;
mod request_flow;
mod retry_budget;
mod route;
mod settings;
mod suspect;
mod target_state;
mod ticket;
mod ticket_flow;
mod ticket_runs;
mod unsettled;
mod wish;
mod wish_step;

pub use answer::Answer;
pub use aperture::Aperture;
pub use authority::Authority;
pub use authority_effect::AuthorityEffect;
pub use authority_event::{AuthorityEvent, OrderRow, WriteEnd};
pub use call::{Call, Work};
pub use claim::{Claim, ClaimRead, ClaimState, Standing, claim_key};
pub use config_sync::{ConfigSync, FANOUT, IN_FORCE_MS, READERS, SyncEffect, SyncEvent, head_rank};
pub use effect::Effect;
pub use event::{AttemptEnd, Event};
pub use handover::{Handover, handover_key};
pub use lease::Lease;
pub use lease_rows::{Beat, Holder, LeaseRows, beat_key, lease_key, order_key};
pub use member::Members;
pub use node::Node;
pub use order_slot::{OrderSlot, Step};
pub use rendezvous::candidate_rank;
pub use request::{Phase, Request};
pub use retry_budget::RetryBudget;
pub use settings::CoreSettings;
pub use suspect::{Suspect, Suspects};
pub use target_state::{TargetState, Targets};
pub use ticket::Ticket;
pub use ticket_runs::{TicketRun, TicketRuns};
pub use unsettled::Unsettled;
pub use wish::Wish;
