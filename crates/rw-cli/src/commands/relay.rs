//! `relay`: runs a node that forwards calls by the operators' routes.

use super::CommandSpec;
use crate::{
    CliError,
    logs::start_event_logs,
    relay_settings::{RelayFileSettings, read_relay_file},
    reload::Reload,
    settings::text,
    stop::stop_signal,
};
use clap::{Arg, ArgMatches, Command};
use rw_adapter::{PlatformApi, PlatformHeaders, Store, StoreRegistry};
use rw_relay::BoundRelay;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "relay",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("relay")
        .about("Forwards calls by the routes in the platform's store until SIGTERM or SIGINT")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("TOML file with the addresses and limits of this node"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .default_value("info")
                .help("Log level: error, warn, info or debug"),
        )
        .after_help("Example:\n  redwingweir relay --settings relay.toml")
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let path = text(matches, "settings")?;
    let RelayFileSettings {
        relay,
        store,
        drain_notice,
        platform_api,
    } = read_relay_file(path)?;
    start_event_logs(text(matches, "log")?)?;
    let vm = relay.gate.vm.clone();
    let bound = BoundRelay::bind(relay).map_err(CliError::Relay)?;
    let stop = stop_signal()?;
    let reload = Reload::watch(path)?;
    let (sender, receiver) = async_channel::bounded(1);
    log::info!(vm = vm.as_str(), version = env!("CARGO_PKG_VERSION"); "started");
    let store = Store::new(store.to_string());
    let registry = StoreRegistry::new(store.clone()).with_drain_notice(drain_notice);
    let api = PlatformApi::new(platform_api, store);
    bound
        .run(
            PlatformHeaders,
            (registry, api),
            (reload.run(sender), receiver),
            stop,
        )
        .map_err(CliError::Relay)
}
