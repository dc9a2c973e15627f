//! The command line of `redwingweir`, with one module per command.

mod commands;
mod dev_fleet;
mod duty_fields;
mod error;
mod logs;
mod operator;
mod relay_settings;
mod reload;
mod run;
mod scale;
mod settings;
mod stop;
mod time;

pub use error::CliError;
pub use run::run;
