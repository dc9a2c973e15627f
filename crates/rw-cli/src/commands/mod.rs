//! All commands.

mod check;
mod confirm;
mod dev;
mod fake;
mod key;
mod load;
mod plan;
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
        confirm::spec(),
        dev::spec(),
        fake::spec(),
        key::spec(),
        load::spec(),
        plan::spec(),
        serve::spec(),
        status::spec(),
    ]
}
