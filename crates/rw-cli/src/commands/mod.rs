//! The commands.

mod burn;
mod check;
mod confirm;
mod dev;
mod fake;
mod key;
mod load;
mod plan;
mod relay;
mod serve;
mod slopes;
mod status;

use crate::CliError;
use clap::{ArgMatches, Command};

/// Specification of a command.
#[derive(Debug)]
pub struct CommandSpec {
    /// Name of the subcommand.
    pub name: &'static str,
    /// Builds its arguments, help and examples.
    pub build: fn() -> Command,
    /// Runs it with the parsed arguments.
    pub run: fn(&ArgMatches) -> Result<(), CliError>,
}

/// Returns the specifications of all commands, sorted by name.
#[must_use]
pub fn all() -> Vec<CommandSpec> {
    vec![
        burn::spec(),
        check::spec(),
        confirm::spec(),
        dev::spec(),
        fake::spec(),
        key::spec(),
        load::spec(),
        plan::spec(),
        relay::spec(),
        serve::spec(),
        slopes::spec(),
        status::spec(),
    ]
}
