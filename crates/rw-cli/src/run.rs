//! Parses the command line and runs the command.

use crate::{CliError, commands};
use clap::{Command, error::ErrorKind};
use std::{ffi::OsString, process::ExitCode};

/// Runs the command named in `args` and returns its exit code.
pub fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    let specs = commands::all();
    let root = Command::new("redwingweir")
        .about("Serves language models from a fixed fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(specs.iter().map(|c| (c.build)()));
    let matches = match root.try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return report_usage_error(&error),
    };
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let Some(command) = specs.iter().find(|c| c.name == name) else {
        return ExitCode::from(2);
    };
    match (command.run)(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error),
    }
}

/// Prints help unchanged, and a usage error as one line that points to the help.
fn report_usage_error(error: &clap::Error) -> ExitCode {
    let help = ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand;
    if !error.use_stderr() || error.kind() == help {
        print!("{error}");
        return ExitCode::from(if error.use_stderr() { 2 } else { 0 });
    }
    let text = error.to_string();
    let lines = text.lines().map(str::trim);
    let message: Vec<&str> = lines.take_while(|l| !l.is_empty()).collect();
    let message = message.join(" ");
    let message = message.trim_start_matches("error: ");
    eprintln!("redwingweir: {message}; see the command's --help");
    ExitCode::from(2)
}

fn report_error(error: &CliError) -> ExitCode {
    eprintln!("redwingweir: {error}");
    ExitCode::from(error.exit_code())
}
