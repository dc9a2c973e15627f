//! Test support: processes of the binary, and a client that reads answers as text.

mod answer;
mod command;
mod counts;
mod eventually;
mod fleet;
mod intent;
mod process;

pub use answer::{Answer, Ask, ask, get};
pub use command::{Output, run};
pub use eventually::eventually;
pub use fleet::{Fleet, FleetPlan, KEY, SECRET_HEX, TOKEN};
pub use intent::intent_text;
pub use process::Process;
