//! Small, seeded stand-ins of the platform, an engine and a plain service.
//!
//! They take faults by a control call, `POST /fault`, and tell what was really run and held by
//! `GET /held`, so that tests count on the target's side.

mod batch;
mod engine;
mod fault;
mod order_state;
mod platform;
mod prefix;
mod service;
mod table_state;
mod wire;

pub use batch::{Batch, BatchSettings, Job, TokenEvent};
pub use engine::{EngineSettings, FakeEngine, Generate};
pub use fault::{ArmedFault, Fault, Faults};
pub use order_state::{AcceptedOrder, OrderTracker};
pub use platform::{FakePlatform, PlatformSettings};
pub use prefix::PrefixCache;
pub use service::{FakeService, RecordedCall};
pub use table_state::TableState;
