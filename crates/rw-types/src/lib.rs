//! Data types shared by all redwingweir crates: identifiers, configuration, load reports, orders and
//! outcomes.
//!
//! Most of them are sent between processes or stored in the platform's table as JSON, so the serde
//! names of their fields and variants are part of the protocol. The crate also checks that a
//! configuration is consistent, and computes and applies the changes between two versions of it.

mod account;
mod change;
mod config;
mod digest;
mod ids;
mod intent;
mod key_hash;
mod key_index;
mod list_change;
mod load;
mod named;
mod order;
mod outcome;
mod peer_digest;
mod request_rate;
mod suspect;
mod target;
mod target_notice;
mod vm;

pub use account::{Account, hash_key};
pub use change::ConfigChange;
pub use config::{Config, Model, Role, Service, ServiceKind, WorkKind};
pub use digest::{fingerprint, fingerprint_parts, prefix_hashes};
pub use ids::{AttemptId, BootId, FencingToken, Millis, RequestId, Version};
pub use intent::{ConfigError, check_config};
pub use key_hash::KeyHash;
pub use key_index::KeyIndex;
pub use list_change::ListChange;
pub use load::{Backlog, CacheEvent, IterationCosts, LoadReport, LoadedModel, RoleLimit};
pub use named::Named;
pub use order::{Order, OrderKind, OrderResponse, OrderState};
pub use outcome::{Outcome, Refusal, RefusalKind};
pub use peer_digest::Digest;
pub use request_rate::RequestRate;
pub use suspect::Suspect;
pub use target::{Target, TargetKind};
pub use target_notice::{MAX_PAUSE_MS, RateNotice, TargetNotice};
pub use vm::Vm;
