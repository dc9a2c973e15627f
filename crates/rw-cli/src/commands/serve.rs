//! `serve`: runs an entry node.

use super::CommandSpec;
use crate::{
    CliError,
    logs::start_logs,
    settings::{node_settings, text, with_settings},
    stop::stop_signal,
};
use clap::{ArgMatches, Command};
use rw_node::BoundNode;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "serve",
        build,
        run,
    }
}

fn build() -> Command {
    with_settings(Command::new("serve"))
        .about(
            "Runs an entry node until SIGTERM or SIGINT, then completes the requests in progress",
        )
        .after_help(
            "Example:\n  REDWINGWEIR_TOKEN=... REDWINGWEIR_SECRET=... \\\n  \
             redwingweir serve --vm vm-1 --centre cairo-a --platform 10.0.0.1:7000",
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let settings = node_settings(matches)?;
    start_logs(text(matches, "log")?, text(matches, "log-format")?)?;
    let bound = BoundNode::bind(settings)?;
    let [callers, peers, operators] = bound.addrs().map_err(CliError::Bind)?;
    println!("listening callers={callers} peers={peers} operators={operators}");
    let stop = stop_signal()?;
    bound.run_blocking(stop)?;
    Ok(())
}
