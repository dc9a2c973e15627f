//! `check`: the settings in force and where each came from.

use super::CommandSpec;
use crate::{
    CliError,
    settings::{describe, node_settings, with_settings},
};
use clap::{ArgMatches, Command};

/// The command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "check",
        build,
        run,
    }
}

fn build() -> Command {
    with_settings(Command::new("check"))
        .about("Prints the settings of `serve` in force and where each came from")
        .after_help(
            "Example:\n  redwingweir check --vm vm-1 --centre cairo-a --platform 10.0.0.1:7000",
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    describe(matches).iter().for_each(|line| println!("{line}"));
    node_settings(matches)?;
    println!("settings are complete");
    Ok(())
}
