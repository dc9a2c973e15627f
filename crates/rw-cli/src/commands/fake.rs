//! `fake`: runs a fake platform, engine or plain service.

use super::CommandSpec;
use crate::{
    CliError,
    settings::{parse, text},
    stop::stop_signal,
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use rw_fakes::{EngineSettings, FakeEngine, FakePlatform, FakeService, PlatformSettings};
use rw_types::Role;
use smol::future;
use std::net::SocketAddr;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "fake",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("fake")
        .about("Runs a fake for tests and experiments; POST /fault injects faults")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("The platform: table service, object store, VM list, weight store")
                .arg(listen_arg())
                .arg(number_arg("list-lag-ms", "0", "Lag of the VM list, ms"))
                .arg(number_arg(
                    "weight-rate",
                    "1000000000",
                    "Rate limit of the weight store, bytes per second",
                )),
        )
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .arg(listen_arg())
                .arg(
                    Arg::new("model")
                        .long("model")
                        .action(ArgAction::Append)
                        .help("A model loaded at the start; may be repeated"),
                )
                .arg(number_arg(
                    "prefill-rate",
                    "100000",
                    "Prefill speed, tokens per second",
                ))
                .arg(number_arg(
                    "decode-rate",
                    "1000",
                    "Decode speed of a stream, tokens per second",
                ))
                .arg(number_arg(
                    "slots",
                    "64",
                    "Maximum number of concurrent streams",
                ))
                .arg(number_arg(
                    "change-ms",
                    "2000",
                    "Time to carry out an order, ms",
                ))
                .arg(number_arg(
                    "pieces",
                    "1000",
                    "Size of the KV cache, blocks of 1000 tokens",
                ))
                .arg(number_arg("lag-ms", "0", "Lag of the load reports, ms"))
                .arg(number_arg(
                    "speed",
                    "1",
                    "Factor by which its clock runs faster than real time",
                ))
                .arg(
                    Arg::new("role")
                        .long("role")
                        .default_value("mixed")
                        .value_parser(["mixed", "prefill", "decode"])
                        .help("Role at the start"),
                )
                .arg(
                    Arg::new("ignores-fence")
                        .long("ignores-fence")
                        .action(ArgAction::SetTrue)
                        .help("Accepts orders with outdated fencing tokens"),
                ),
        )
        .subcommand(
            Command::new("service")
                .about("A plain service")
                .arg(listen_arg()),
        )
        .after_help("Example:\n  redwingweir fake engine --listen 127.0.0.1:9001 --model small")
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .help("Listen address, ip:port")
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((kind, matches)) = matches.subcommand() else {
        return Err(CliError::MissingSetting(
            "platform, engine or service".to_owned(),
        ));
    };
    let listen: SocketAddr = parse(matches, "listen", "ip:port")?;
    match kind {
        "platform" => run_platform(listen, matches),
        "engine" => run_engine(listen, matches),
        _ => {
            let service = FakeService::bind(listen).map_err(CliError::Bind)?;
            serve_until_signal(service.addr().map_err(CliError::Bind)?, service.run())
        }
    }
}

fn run_platform(listen: SocketAddr, matches: &ArgMatches) -> Result<(), CliError> {
    let settings = PlatformSettings {
        listen,
        list_lag_ms: parse(matches, "list-lag-ms", "a whole number")?,
        weight_rate: parse(matches, "weight-rate", "a whole number")?,
    };
    let platform = FakePlatform::bind(settings).map_err(CliError::Bind)?;
    serve_until_signal(platform.addr().map_err(CliError::Bind)?, platform.run())
}

fn run_engine(listen: SocketAddr, matches: &ArgMatches) -> Result<(), CliError> {
    let mut models: Vec<String> = matches
        .get_many("model")
        .map(|m| m.cloned().collect())
        .unwrap_or_default();
    models.sort();
    let settings = EngineSettings {
        listen,
        models,
        role: role(matches)?,
        prefill_rate: parse(matches, "prefill-rate", "a whole number")?,
        decode_rate: parse(matches, "decode-rate", "a whole number")?,
        slots: parse(matches, "slots", "a whole number")?,
        checks_fence: !matches.get_flag("ignores-fence"),
        change_ms: parse(matches, "change-ms", "a whole number")?,
        blocks: parse(matches, "pieces", "a whole number")?,
        lag_ms: parse(matches, "lag-ms", "a whole number")?,
        speed: parse(matches, "speed", "a number")?,
    };
    text(matches, "listen")?;
    let engine = FakeEngine::bind(settings).map_err(CliError::Bind)?;
    serve_until_signal(engine.addr().map_err(CliError::Bind)?, engine.run())
}

fn role(matches: &ArgMatches) -> Result<Role, CliError> {
    Ok(match text(matches, "role")? {
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        _ => Role::Mixed,
    })
}

fn serve_until_signal(addr: SocketAddr, serving: impl Future<Output = ()>) -> Result<(), CliError> {
    println!("listening {addr}");
    let stop = stop_signal()?;
    smol::block_on(future::or(serving, stop));
    Ok(())
}
