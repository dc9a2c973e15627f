//! Intent files and the plans made from them, without I/O.
//!
//! An intent file is a TOML file in which operators declare models, services, targets, accounts and
//! kinds of work. [`parse_intent`] turns it into a configuration or reports all of its errors with
//! their lines. [`make_plan`] lists the steps from the configuration in force to the new one, with
//! their estimated cost and the requirements that the fleet cannot meet.

mod check;
mod fields;
mod intent_error;
mod parse;
mod places;
mod plan;
mod steps;

pub use intent_error::{IntentError, IntentErrorKind};
pub use parse::parse_intent;
pub use plan::{Estimate, Plan, PlanInput, make_plan};
pub use steps::{Step, StepKind};
