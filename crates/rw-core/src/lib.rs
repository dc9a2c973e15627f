//! The reducer: state and event in, effects out.
//!
//! Nothing here reads a clock, draws an unseeded random number or does I/O. The running node, the
//! property tests and the exhaustive exploration all drive the same [`Node::step`].

mod aperture;
mod call;
mod claim;
mod effect;
mod event;
mod member;
mod node;
mod request;
mod request_flow;
mod route;
mod settings;
mod target_state;
mod wish;

pub use aperture::Aperture;
pub use call::{Call, Work};
pub use claim::{Answer, Claim, ClaimRead, ClaimState, claim_key};
pub use effect::Effect;
pub use event::{AttemptEnd, Event};
pub use member::Members;
pub use node::Node;
pub use request::{Phase, Request};
pub use settings::CoreSettings;
pub use target_state::{TargetState, Targets};
pub use wish::Wish;
