//! Settings of `serve`. Each is a flag and an environment variable.

use crate::CliError;
use clap::{Arg, ArgMatches, Command, parser::ValueSource};
use rw_core::Policy;
use rw_http::Limits;
use rw_node::NodeSettings;
use std::{str::FromStr, time::Duration};

/// A setting of `serve`.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Name of the flag, without dashes.
    pub name: &'static str,
    /// Name of the environment variable.
    pub env: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Help text, with the unit of the value.
    pub help: &'static str,
    /// Whether the value is hidden in help and output.
    pub secret: bool,
}

const fn plain(
    name: &'static str,
    env: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        env,
        default,
        help,
        secret: false,
    }
}

const fn secret(name: &'static str, env: &'static str, help: &'static str) -> Setting {
    Setting {
        name,
        env,
        default: None,
        help,
        secret: true,
    }
}

/// All settings of `serve`.
pub const SETTINGS: &[Setting] = &[
    plain(
        "vm",
        "REDWINGWEIR_VM",
        None,
        "Name of this VM in the platform's list",
    ),
    plain(
        "centre",
        "REDWINGWEIR_CENTRE",
        None,
        "Data centre of this VM",
    ),
    plain(
        "listen",
        "REDWINGWEIR_LISTEN",
        Some("127.0.0.1:8080"),
        "Listen address for callers, ip:port",
    ),
    plain(
        "peer-listen",
        "REDWINGWEIR_PEER_LISTEN",
        Some("127.0.0.1:8081"),
        "Listen address for peers, ip:port",
    ),
    plain(
        "operator-listen",
        "REDWINGWEIR_OPERATOR_LISTEN",
        Some("127.0.0.1:8082"),
        "Listen address for operators, ip:port",
    ),
    plain(
        "platform",
        "REDWINGWEIR_PLATFORM",
        None,
        "Address of the platform, ip:port",
    ),
    plain(
        "platform-limit-ms",
        "REDWINGWEIR_PLATFORM_LIMIT_MS",
        Some("2000"),
        "Timeout of a platform call, ms",
    ),
    secret(
        "token",
        "REDWINGWEIR_TOKEN",
        "Token of peers and operators; during a rotation two, separated by a comma, of which the first is sent and both are accepted; prefer the environment variable",
    ),
    secret(
        "secret",
        "REDWINGWEIR_SECRET",
        "Secret with which account keys are hashed, 64 hex digits; prefer the environment variable",
    ),
    plain(
        "max-body",
        "REDWINGWEIR_MAX_BODY",
        Some("4194304"),
        "Maximum size of a request body, bytes",
    ),
    plain(
        "silence-ms",
        "REDWINGWEIR_SILENCE_MS",
        Some("30000"),
        "Read timeout: maximum wait for a target's first byte and between bytes, ms",
    ),
    plain(
        "first-byte-ms",
        "REDWINGWEIR_FIRST_BYTE_MS",
        Some("10000"),
        "Timeout for a target's first byte, after which the target is probed; also that of an idempotent call to a plain service, ms",
    ),
    plain(
        "token-gap-ms",
        "REDWINGWEIR_TOKEN_GAP_MS",
        Some("5000"),
        "Timeout for the next token, after which the target is probed, ms",
    ),
    plain(
        "leave-grace-ms",
        "REDWINGWEIR_LEAVE_GRACE_MS",
        Some("2000"),
        "Grace period at shutdown, between reporting not ready and refusing new requests, ms",
    ),
    plain(
        "poll-ms",
        "REDWINGWEIR_POLL_MS",
        Some("1000"),
        "Interval between reads of the platform and exchanges with peers, ms",
    ),
    plain(
        "report-poll-ms",
        "REDWINGWEIR_REPORT_POLL_MS",
        Some("500"),
        "Interval between reads of a target's load, ms",
    ),
    plain(
        "weight-rate",
        "REDWINGWEIR_WEIGHT_RATE",
        Some("1000000000"),
        "Rate limit of the weight store, bytes per second, used to estimate plans",
    ),
    plain(
        "lease-ms",
        "REDWINGWEIR_LEASE_MS",
        Some("10000"),
        "TTL of a lease on a group of targets, ms",
    ),
    plain(
        "drift-ms",
        "REDWINGWEIR_DRIFT_MS",
        Some("500"),
        "Maximum clock drift between two VMs within one lease, ms",
    ),
    plain(
        "order-ms",
        "REDWINGWEIR_ORDER_MS",
        Some("2000"),
        "TTL of an order: longest time for which it can be in flight to its target, ms",
    ),
    plain(
        "stale-ms",
        "REDWINGWEIR_STALE_MS",
        Some("5000"),
        "Maximum age of a load report that is used to plan orders, ms",
    ),
    plain(
        "threads",
        "REDWINGWEIR_THREADS",
        Some("1"),
        "Number of threads that serve callers, 1 to 64",
    ),
    plain(
        "connections",
        "REDWINGWEIR_CONNECTIONS",
        Some("16000"),
        "Maximum number of open caller connections; above it the longest idle one is closed",
    ),
    plain(
        "header-bytes",
        "REDWINGWEIR_HEADER_BYTES",
        Some("8000"),
        "Maximum size of a request header, at most 8000 bytes",
    ),
    plain(
        "header-ms",
        "REDWINGWEIR_HEADER_MS",
        Some("10000"),
        "Timeout for reading a request header, ms",
    ),
    plain(
        "body-ms",
        "REDWINGWEIR_BODY_MS",
        Some("30000"),
        "Timeout for reading a request body, ms",
    ),
    plain(
        "idle-ms",
        "REDWINGWEIR_IDLE_MS",
        Some("60000"),
        "Idle timeout, after which a caller connection without a request is closed, ms",
    ),
    plain(
        "write-ms",
        "REDWINGWEIR_WRITE_MS",
        Some("20000"),
        "Write timeout: maximum time for which a caller accepts no bytes of its response, ms",
    ),
    plain(
        "log",
        "REDWINGWEIR_LOG",
        Some("info"),
        "Log level: error, warn, info or debug",
    ),
    plain(
        "log-format",
        "REDWINGWEIR_LOG_FORMAT",
        Some("text"),
        "Log format: text or json",
    ),
];

/// Adds the settings to a command.
#[must_use]
pub fn with_settings(command: Command) -> Command {
    command.args(SETTINGS.iter().map(setting_arg))
}

fn setting_arg(setting: &Setting) -> Arg {
    let arg = Arg::new(setting.name)
        .long(setting.name)
        .env(setting.env)
        .hide_env_values(setting.secret)
        .help(setting.help);
    match setting.default {
        Some(default) => arg.default_value(default),
        None => arg,
    }
}

/// Returns one line per setting, with its value and where the value came from.
#[must_use]
pub fn describe_settings(matches: &ArgMatches) -> Vec<String> {
    SETTINGS
        .iter()
        .map(|s| describe_setting(s, matches))
        .collect()
}

fn describe_setting(setting: &Setting, matches: &ArgMatches) -> String {
    let source = match matches.value_source(setting.name) {
        Some(ValueSource::CommandLine) => format!("flag --{}", setting.name),
        Some(ValueSource::EnvVariable) => format!("variable {}", setting.env),
        Some(_) => "default".to_owned(),
        None => "not set".to_owned(),
    };
    let value = matches
        .get_one::<String>(setting.name)
        .map_or("-", String::as_str);
    let shown = if setting.secret && value != "-" {
        "(hidden)"
    } else {
        value
    };
    format!("{:<18} {:<24} {}", setting.name, shown, source)
}

/// Parses and validates the settings.
///
/// # Errors
///
/// [`CliError::MissingSetting`] or [`CliError::InvalidSetting`] for the first invalid one.
pub fn node_settings(matches: &ArgMatches) -> Result<NodeSettings, CliError> {
    let ms = |name| millis(matches, name, 1);
    let addr = |name| parse(matches, name, "ip:port");
    let (lease_ttl, clock_drift) = lease_and_drift(matches)?;
    Ok(NodeSettings {
        vm: text(matches, "vm")?.to_owned(),
        centre: text(matches, "centre")?.to_owned(),
        listen: addr("listen")?,
        peer_listen: addr("peer-listen")?,
        operator_listen: addr("operator-listen")?,
        platform: addr("platform")?.to_string(),
        platform_timeout: ms("platform-limit-ms")?,
        token: token(matches)?,
        secret: parse_secret(text(matches, "secret")?)?,
        max_body_bytes: parse(matches, "max-body", "a whole number of bytes")?,
        read_timeout: ms("silence-ms")?,
        first_byte_timeout: ms("first-byte-ms")?,
        token_timeout: ms("token-gap-ms")?,
        shutdown_grace: millis(matches, "leave-grace-ms", 0)?,
        poll_interval: ms("poll-ms")?,
        load_poll_interval: ms("report-poll-ms")?,
        weight_rate: parse(matches, "weight-rate", "a whole number of bytes")?,
        lease_ttl,
        clock_drift,
        order_ttl: ms("order-ms")?,
        max_report_age: ms("stale-ms")?,
        limits: limits(matches)?,
        threads: parse_in_range(matches, "threads", 1, 64, "1 to 64")?,
        policy: Policy::default(),
    })
}

/// Maximum duration that a setting accepts, in milliseconds: one day.
const MAX_MS: usize = 86_400_000;

fn millis(matches: &ArgMatches, name: &str, min: usize) -> Result<Duration, CliError> {
    let expected = match min {
        0 => "0 to 86400000 ms",
        _ => "1 to 86400000 ms",
    };
    let ms = parse_in_range(matches, name, min, MAX_MS, expected)?;
    Ok(Duration::from_millis(ms as u64))
}

/// Parses the lease TTL and the clock drift. The TTL must exceed twice the drift, which is the
/// safety margin on both sides: the holder stops that much earlier than its TTL, and a candidate
/// takes over that much later.
fn lease_and_drift(matches: &ArgMatches) -> Result<(Duration, Duration), CliError> {
    let lease = millis(matches, "lease-ms", 1)?;
    let drift = millis(matches, "drift-ms", 0)?;
    if lease <= drift * 2 {
        return Err(invalid(
            "lease-ms",
            text(matches, "lease-ms")?,
            "more than twice --drift-ms",
        ));
    }
    Ok((lease, drift))
}

fn limits(matches: &ArgMatches) -> Result<Limits, CliError> {
    let ms = |name| millis(matches, name, 1);
    Ok(Limits {
        header_timeout: ms("header-ms")?,
        header_bytes: parse_in_range(matches, "header-bytes", 256, 8_000, "256 to 8000 bytes")?,
        body_timeout: ms("body-ms")?,
        idle_timeout: ms("idle-ms")?,
        write_timeout: ms("write-ms")?,
        max_connections: parse_in_range(matches, "connections", 1, 1_000_000, "1 to 1000000")?,
    })
}

fn parse_in_range(
    matches: &ArgMatches,
    name: &str,
    min: usize,
    max: usize,
    expected: &'static str,
) -> Result<usize, CliError> {
    let value = parse(matches, name, expected)?;
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(invalid(name, &value.to_string(), expected))
}

/// Minimum length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

fn token(matches: &ArgMatches) -> Result<String, CliError> {
    let token = text(matches, "token")?;
    if token.split(',').any(|part| part.len() < MIN_TOKEN_BYTES) {
        return Err(invalid(
            "token",
            "(hidden)",
            "a token of at least 16 bytes, or two such tokens separated by a comma",
        ));
    }
    Ok(token.to_owned())
}

/// Returns the value of a setting as text.
///
/// # Errors
///
/// [`CliError::MissingSetting`] if it isn't given.
pub fn text<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str, CliError> {
    let value = matches.get_one::<String>(name).map(String::as_str);
    value.ok_or_else(|| CliError::MissingSetting(format!("--{name}")))
}

/// Parses the value of a setting; `expected` describes the valid values.
///
/// # Errors
///
/// [`CliError::MissingSetting`] if it isn't given, [`CliError::InvalidSetting`] if it can't be
/// parsed.
pub fn parse<T: FromStr>(
    matches: &ArgMatches,
    name: &str,
    expected: &'static str,
) -> Result<T, CliError> {
    let value = text(matches, name)?;
    value.parse().map_err(|_| invalid(name, value, expected))
}

/// Parses the secret with which account keys are hashed.
///
/// # Errors
///
/// [`CliError::InvalidSetting`] if it isn't 64 hex digits.
pub fn parse_secret(hex: &str) -> Result<[u8; 32], CliError> {
    let invalid_secret = || invalid("secret", "(hidden)", "64 hex digits");
    if hex.len() != 64 || !hex.is_ascii() {
        return Err(invalid_secret());
    }
    let mut secret = [0; 32];
    for (i, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).map_err(|_| invalid_secret())?;
    }
    Ok(secret)
}

fn invalid(name: &str, value: &str, expected: &'static str) -> CliError {
    CliError::InvalidSetting {
        name: format!("--{name}"),
        value: value.to_owned(),
        expected,
    }
}
