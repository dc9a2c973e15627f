//! Test support: processes of the binary, and a client that reads answers as text.

mod answer;
mod counts;
mod fleet;
mod process;

pub use answer::{Answer, Ask, ask, get};
pub use fleet::{Fleet, FleetPlan, KEY, SECRET_HEX, TOKEN};
pub use process::Process;
