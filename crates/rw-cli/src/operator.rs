//! Arguments and the RPC call shared by the commands for operators.

use crate::{
    CliError,
    settings::{parse, text},
};
use clap::{Arg, ArgMatches};
use rw_http::Client;
use rw_node::call_rpc;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// Time limit of a call to a node.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the argument for the address of the node to call.
pub fn operator_arg() -> Arg {
    Arg::new("operator")
        .long("operator")
        .env("REDWINGWEIR_OPERATOR")
        .default_value("127.0.0.1:8082")
        .help("Address of any node's listener for operators, ip:port")
}

/// Returns the argument for the token of peers and operators.
pub fn token_arg() -> Arg {
    Arg::new("token")
        .long("token")
        .env("REDWINGWEIR_TOKEN")
        .hide_env_values(true)
        .help("Token of peers and operators; prefer the environment variable")
}

/// Returns the argument for the operator's name.
pub fn by_arg() -> Arg {
    Arg::new("by")
        .long("by")
        .env("REDWINGWEIR_BY")
        .default_value("operator")
        .help("Your name, shown in the history and to other operators")
}

/// Calls an RPC method of the node given by `--operator`.
///
/// # Errors
///
/// [`CliError::MissingSetting`], [`CliError::InvalidSetting`] or [`CliError::Rpc`].
pub fn call_node<P: Serialize, R: DeserializeOwned>(
    matches: &ArgMatches,
    method: &str,
    params: &P,
) -> Result<R, CliError> {
    let addr: SocketAddr = parse(matches, "operator", "ip:port")?;
    let token = text(matches, "token")?;
    let (client, addr) = (Client::default(), addr.to_string());
    let call = call_rpc(&client, &addr, token, method, params, CALL_TIMEOUT);
    Ok(smol::block_on(call)?)
}
