//! All commands.

mod check;
mod dev;
mod fake;
mod load;
mod serve;
mod status;

use crate::CliError;
use clap::{ArgMatches, Command};

/// A command that describes itself.
#[derive(Debug)]
pub struct CommandSpec {
    /// Name typed after `redwingweir`.
    pub name: &'static str,
    /// Its arguments, usage and examples.
    pub build: fn() -> Command,
    /// Runs it.
    pub run: fn(&ArgMatches) -> Result<(), CliError>,
}

/// All commands, sorted by name.
#[must_use]
pub fn all() -> Vec<CommandSpec> {
    vec![
        check::spec(),
        dev::spec(),
        fake::spec(),
        load::spec(),
        serve::spec(),
        status::spec(),
    ]
}
