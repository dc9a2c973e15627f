//! Small fakes of the platform, an engine and a plain service, for tests and load experiments.
//!
//! `POST /fault` injects faults. `GET /held` lists what a target has actually run or accepted, so
//! that tests can count on the side of the target.

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
