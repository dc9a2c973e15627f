//! The settings file of `relay`.

use crate::CliError;
use rw_gate::GateSettings;
use rw_relay::RelaySettings;
use serde::Deserialize;
use std::{fs, net::SocketAddr, time::Duration};

/// Descriptors that are not for callers' connections: files, and connections to targets, to the
/// store and to other nodes.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Fewest connections of callers that make sense.
const MIN_CONNECTIONS: usize = 64;

/// The file as written. Times in the unit that a name ends with.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RelayFile {
    vm: String,
    centre: String,
    front: SocketAddr,
    ready: SocketAddr,
    /// Left empty on a VM that other nodes don't call.
    #[serde(default)]
    control: String,
    digests: SocketAddr,
    metrics: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    store: SocketAddr,
    #[serde(default = "default_descriptors")]
    descriptors: usize,
    #[serde(default = "default_grace_s")]
    grace_s: f64,
    #[serde(default = "default_retry_ratio")]
    retry_ratio: f64,
    #[serde(default = "default_retry_slack")]
    retry_slack: f64,
    #[serde(default = "default_retry_window_s")]
    retry_window_s: f64,
}

fn default_descriptors() -> usize {
    4_096
}

fn default_grace_s() -> f64 {
    8.0
}

fn default_retry_ratio() -> f64 {
    0.2
}

fn default_retry_slack() -> f64 {
    50.0
}

fn default_retry_window_s() -> f64 {
    10.0
}

/// Settings of a relay and the address of the store.
#[derive(Debug)]
pub struct RelayFileSettings {
    /// Settings of the node.
    pub relay: RelaySettings,
    /// `ip:port` of the store.
    pub store: SocketAddr,
}

/// Reads the file at `path`.
///
/// # Errors
///
/// [`CliError::InvalidRelayFile`] with the place and the remedy.
pub fn read_relay_file(path: &str) -> Result<RelayFileSettings, CliError> {
    let invalid = |why: String| CliError::InvalidRelayFile(path.to_owned(), why);
    let text = fs::read_to_string(path).map_err(|e| invalid(e.to_string()))?;
    let file: RelayFile = toml::from_str(&text).map_err(|e| invalid(join_lines(&e.to_string())))?;
    validate(&file).map_err(invalid)?;
    into_settings(file).map_err(|why| CliError::InvalidRelayFile(path.to_owned(), why))
}

fn validate(file: &RelayFile) -> Result<(), String> {
    let not_negative = [
        ("grace-s", file.grace_s),
        ("retry-ratio", file.retry_ratio),
        ("retry-slack", file.retry_slack),
        ("retry-window-s", file.retry_window_s),
    ];
    for (name, value) in not_negative {
        if !value.is_finite() || value < 0.0 {
            return Err(format!("{name} is {value}; give a number from 0 up"));
        }
    }
    if file.vm.is_empty() {
        return Err("vm is empty; give this VM's name".to_owned());
    }
    Ok(())
}

fn into_settings(file: RelayFile) -> Result<RelayFileSettings, String> {
    let control = match file.control.as_str() {
        "" => None,
        addr => Some(
            addr.parse()
                .map_err(|_| format!("control is '{addr}'; give ip:port, or leave it empty"))?,
        ),
    };
    let gate = GateSettings {
        seed: rw_core::hash(&file.vm),
        vm: file.vm,
        centre: file.centre,
        retry_ratio: file.retry_ratio,
        retry_slack: file.retry_slack,
        retry_window_ms: (file.retry_window_s * 1e3) as u64,
        ..GateSettings::default()
    };
    let connections = file.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let relay = RelaySettings {
        gate,
        front: file.front,
        ready: file.ready,
        control,
        digests: file.digests,
        metrics: file.metrics,
        seeds: file.seeds,
        connections: connections.max(MIN_CONNECTIONS),
        grace: Duration::from_secs_f64(file.grace_s),
    };
    Ok(RelayFileSettings {
        relay,
        store: file.store,
    })
}

/// A message of several lines as one.
fn join_lines(text: &str) -> String {
    let lines = text.lines().map(str::trim);
    let parts: Vec<&str> = lines.filter(|l| !l.is_empty()).collect();
    parts.join(" ")
}
