//! Intent files and the plans made from them; no I/O.

mod check;
mod fields;
mod mistake;
mod parse;
mod plan;
mod steps;

pub use mistake::{IntentError, IntentErrorKind};
pub use parse::parse_intent;
pub use plan::{Estimate, Plan, PlanInput, make_plan};
pub use steps::{Step, StepKind};
