//! `key`: mints account keys.

use super::CommandSpec;
use crate::{
    CliError,
    settings::{parse_secret, text},
};
use clap::{Arg, ArgMatches, Command};
use rw_types::hash_key;

/// Number of random bytes of a key.
const KEY_BYTES: usize = 32;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "key",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("key")
        .about("Mints account keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("mint")
                .about("Prints a new key, which is not stored, and its hash for the intent file")
                .arg(Arg::new("account").required(true).help("Account name"))
                .arg(
                    Arg::new("secret")
                        .long("secret")
                        .env("REDWINGWEIR_SECRET")
                        .hide_env_values(true)
                        .help("Secret with which account keys are hashed, 64 hex digits; prefer the environment variable"),
                ),
        )
        .after_help("Example:\n  REDWINGWEIR_SECRET=... redwingweir key mint shop-staff")
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((_, matches)) = matches.subcommand() else {
        return Err(CliError::MissingSetting("mint".to_owned()));
    };
    let secret = parse_secret(text(matches, "secret")?)?;
    let account = text(matches, "account")?;
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes).map_err(|_| CliError::NoRandomSource)?;
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    let key = format!("rw-{hex}");
    println!("key for {account}, shown only now: {key}");
    println!("hash for the intent file, beside the old one until callers use the new key:");
    println!("  \"{}\"", hash_key(&secret, &key));
    Ok(())
}
