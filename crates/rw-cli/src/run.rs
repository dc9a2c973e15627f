//! Builds the command line and dispatches.

use crate::{CliError, commands};
use clap::Command;
use std::{ffi::OsString, process::ExitCode};

/// Runs the command named in `args` and returns its exit code.
pub fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    let all = commands::all();
    let root = Command::new("redwingweir")
        .about("Serves language models from a fixed fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(all.iter().map(|c| (c.build)()));
    let matches = root.get_matches_from(args);
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let Some(command) = all.iter().find(|c| c.name == name) else {
        return ExitCode::from(2);
    };
    match (command.run)(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &CliError) -> ExitCode {
    eprintln!("redwingweir: {error}");
    ExitCode::from(error.code())
}
