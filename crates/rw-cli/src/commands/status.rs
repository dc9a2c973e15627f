//! `status`: what a node has in force.

use super::CommandSpec;
use crate::{
    CliError,
    settings::{parse, text},
};
use clap::{Arg, ArgMatches, Command};
use rw_http::Client;
use rw_node::{Status, call_rpc};
use std::{net::SocketAddr, time::Duration};

/// Time limit of an operator's call.
const LIMIT: Duration = Duration::from_secs(10);

/// The command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "status",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("status")
        .about("Prints what a node has in force")
        .arg(operator_arg())
        .arg(token_arg())
        .after_help("Example:\n  REDWINGWEIR_TOKEN=... redwingweir status --operator 10.0.0.2:8082")
}

/// The node to ask.
pub fn operator_arg() -> Arg {
    Arg::new("operator")
        .long("operator")
        .env("REDWINGWEIR_OPERATOR")
        .default_value("127.0.0.1:8082")
        .help("Operators' listener of any node, ip:port")
}

/// The operators' token.
pub fn token_arg() -> Arg {
    Arg::new("token")
        .long("token")
        .env("REDWINGWEIR_TOKEN")
        .hide_env_values(true)
        .help("Token of peers and operators; prefer the variable")
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let addr: SocketAddr = parse(matches, "operator", "ip:port")?;
    let token = text(matches, "token")?;
    let client = Client::default();
    let addr = addr.to_string();
    let call = call_rpc(&client, &addr, token, "status", &(), LIMIT);
    let status: Status = smol::block_on(call)?;
    let vm = &status.vm;
    println!(
        "{} configuration {} ready {} requests {}",
        vm.name, vm.version, vm.ready, status.requests
    );
    for (name, running, open) in &status.targets {
        println!("  {name} running {running} open {open}");
    }
    Ok(())
}
