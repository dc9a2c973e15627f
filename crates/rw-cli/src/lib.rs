//! The command line: one command a file.

mod commands;
mod dev_fleet;
mod error;
mod logs;
mod operator;
mod run;
mod settings;
mod stop;

pub use error::CliError;
pub use run::run;
