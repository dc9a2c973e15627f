//! Test support: fleets of processes of the binary, and an HTTP client for text.

mod command;
mod counts;
mod eventually;
mod fleet;
mod intent;
mod process;
mod text_request;

pub use command::{Output, run};
pub use eventually::eventually;
pub use fleet::{ACCOUNT_KEY, Fleet, FleetSettings, SECRET_HEX, TOKEN};
pub use intent::intent_text;
pub use process::Process;
pub use text_request::{TextRequest, TextResponse, get, send_request};
