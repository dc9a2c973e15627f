//! `check`: prints the settings of `serve` with their sources, or validates a settings file of
//! `relay`.

use super::CommandSpec;
use crate::{
    CliError,
    relay_settings::read_relay_file,
    settings::{describe_settings, node_settings, with_settings},
};
use clap::{Arg, ArgMatches, Command};

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "check",
        build,
        run,
    }
}

fn build() -> Command {
    with_settings(Command::new("check"))
        .about("Prints the settings of `serve` and where each came from")
        .arg(
            Arg::new("relay")
                .long("relay")
                .value_name("FILE")
                .help("Validates a settings file of `relay` instead, and prints the settings"),
        )
        .after_help(
            "Example:\n  redwingweir check --vm vm-1 --centre cairo-a --platform 10.0.0.1:7000",
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    if let Some(path) = matches.get_one::<String>("relay") {
        let file = read_relay_file(path)?;
        println!("{:?}", file.relay);
        println!("settings are complete");
        return Ok(());
    }
    describe_settings(matches)
        .iter()
        .for_each(|line| println!("{line}"));
    node_settings(matches)?;
    println!("settings are complete");
    Ok(())
}
