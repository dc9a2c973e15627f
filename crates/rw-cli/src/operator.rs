//! What the commands of operators share: whom to ask, with which token, as whom.

use crate::{
    CliError,
    settings::{parse, text},
};
use clap::{Arg, ArgMatches};
use rw_http::Client;
use rw_node::call_rpc;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// Time limit of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

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

/// The operator's name.
pub fn by_arg() -> Arg {
    Arg::new("by")
        .long("by")
        .env("REDWINGWEIR_BY")
        .default_value("operator")
        .help("Your name, for the history and for other operators")
}

/// Calls a method of the node that the arguments name.
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
