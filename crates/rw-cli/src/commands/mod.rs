//! All commands.

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
