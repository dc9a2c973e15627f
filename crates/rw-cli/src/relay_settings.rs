//! The settings file of `relay`.

use crate::{CliError, duty_fields::DutyFields};
use rw_gate::{GateSettings, TargetSpeeds};
use rw_relay::{
    DEFAULT_DIGEST_BYTES_PER_S, DEFAULT_PLACEMENT_TIMEOUT, PlacementMode, RelaySettings,
};
use serde::Deserialize;
use std::{fs, net::SocketAddr, time::Duration};

/// File descriptors reserved for files and for connections to targets, to the store and to other
/// nodes. The rest are available for caller connections.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Minimum limit of caller connections, even if `descriptors` leaves fewer.
const MIN_CONNECTIONS: usize = 64;

/// Memory that the process may use if the settings don't say, in MB: the limit of the smallest VMs.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Share of the memory for the bodies of requests, unless the settings say otherwise. The rest is for
/// connections, responses and the state of the fleet.
const BODY_SHARE: f64 = 0.25;
const BYTES_PER_MB: f64 = 1e6;

/// Minimum time in which a removed key must stop being accepted: in a shorter one, a node can't ask
/// the store again before its latest answer is too old.
const MIN_REVOKE_MS: u64 = 1_000;

/// Bytes per second in digests for each Mbit/s of the VM's link: 4% of the link.
const DIGEST_BYTES_PER_MBIT: f64 = 5_000.0;

/// The settings file as written; see [`RelaySettings`] and [`GateSettings`] for the meaning of most
/// fields. The names of durations end with their unit.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct RelayFile {
    vm: String,
    centre: String,
    front: SocketAddr,
    ready: SocketAddr,
    /// Empty on a VM that other nodes don't call.
    #[serde(default)]
    control: String,
    digests: SocketAddr,
    metrics: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// Address of the store.
    store: SocketAddr,
    /// Number of file descriptors that the process may open.
    #[serde(default = "default_descriptors")]
    descriptors: usize,
    /// Bandwidth of the VM's link; 0 if it is not known.
    #[serde(default)]
    link_mbps: f64,
    /// Memory that the process may use; 0 if it is not known.
    #[serde(default)]
    memory_mb: f64,
    /// Part of it for the bodies of requests; a quarter if it is not set.
    body_memory_mb: Option<f64>,
    /// How calls are placed in large fleets.
    #[serde(default)]
    placement: PlacementName,
    #[serde(default = "default_grace_s")]
    grace_s: f64,
    /// Time within which a node must know that a target is leaving.
    #[serde(default = "default_drain_ms")]
    drain_ms: f64,
    #[serde(default = "default_retry_ratio")]
    retry_ratio: f64,
    #[serde(default = "default_retry_slack")]
    retry_slack: f64,
    #[serde(default = "default_retry_window_s")]
    retry_window_s: f64,
    /// Whether calls with keys of client accounts are refused while it isn't known whether the keys are
    /// still valid.
    #[serde(default)]
    fail_closed: bool,
    #[serde(default = "default_revoke_ms")]
    revoke_ms: u64,
    #[serde(default)]
    duties: DutyFields,
    #[serde(default = "default_target_speeds")]
    target_speeds: String,
}

fn default_target_speeds() -> String {
    "auto".to_owned()
}

/// Values of `placement`.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum PlacementName {
    #[default]
    Scheduler,
    Local,
}

impl From<PlacementName> for PlacementMode {
    fn from(name: PlacementName) -> Self {
        match name {
            PlacementName::Scheduler => Self::Scheduler,
            PlacementName::Local => Self::Local,
        }
    }
}

fn default_descriptors() -> usize {
    4_096
}

fn default_grace_s() -> f64 {
    8.0
}

fn default_drain_ms() -> f64 {
    2_000.0
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

fn default_revoke_ms() -> u64 {
    GateSettings::default().revoke_ms
}

/// Settings read from a settings file.
#[derive(Debug)]
pub struct RelayFileSettings {
    /// Settings of the relay.
    pub relay: RelaySettings,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time within which a node must know that a target is leaving.
    pub drain_notice: Duration,
    /// Address of the platform's API; `None` if the deployment has none.
    pub platform_api: Option<SocketAddr>,
}

/// Reads and validates the settings file at `path`.
///
/// # Errors
///
/// [`CliError::InvalidRelayFile`] if the file can't be read or parsed, or if a value is invalid.
pub fn read_relay_file(path: &str) -> Result<RelayFileSettings, CliError> {
    let invalid = |why: String| CliError::InvalidRelayFile(path.to_owned(), why);
    let text = fs::read_to_string(path).map_err(|e| invalid(e.to_string()))?;
    let file: RelayFile = toml::from_str(&text).map_err(|e| invalid(join_lines(&e.to_string())))?;
    validate(&file).map_err(invalid)?;
    into_settings(file).map_err(|why| CliError::InvalidRelayFile(path.to_owned(), why))
}

fn validate(file: &RelayFile) -> Result<(), String> {
    let not_negative = [
        ("link-mbps", file.link_mbps),
        ("memory-mb", file.memory_mb),
        ("grace-s", file.grace_s),
        ("drain-ms", file.drain_ms),
        ("retry-ratio", file.retry_ratio),
        ("retry-slack", file.retry_slack),
        ("retry-window-s", file.retry_window_s),
    ];
    for (name, value) in not_negative {
        if !value.is_finite() || value < 0.0 {
            return Err(format!("{name} is {value}; give a number of 0 or more"));
        }
    }
    let memory_mb = memory_mb(file);
    if let Some(mb) = file.body_memory_mb
        && !(mb > 0.0 && mb <= memory_mb)
    {
        return Err(format!(
            "body-memory-mb is {mb}; give a number above 0 and up to memory-mb, which is {memory_mb}, or leave it out for a quarter of that"
        ));
    }
    if file.fail_closed && file.revoke_ms < MIN_REVOKE_MS {
        return Err(format!(
            "revoke-ms is {}; give {MIN_REVOKE_MS} or more, or set fail-closed to false",
            file.revoke_ms
        ));
    }
    if file.vm.is_empty() {
        return Err("vm is empty; give the name of this VM".to_owned());
    }
    Ok(())
}

fn into_settings(file: RelayFile) -> Result<RelayFileSettings, String> {
    let body_bytes = body_bytes(&file);
    let (platform_api, duties) = file.duties.into_settings()?;
    let control = match file.control.as_str() {
        "" => None,
        addr => Some(
            addr.parse()
                .map_err(|_| format!("control is '{addr}'; give ip:port, or leave it empty"))?,
        ),
    };
    let target_speeds = match file.target_speeds.as_str() {
        "auto" => TargetSpeeds::Auto,
        "learned" => TargetSpeeds::Learned,
        "fixed" => TargetSpeeds::Fixed,
        other => {
            return Err(format!(
                "target-speeds is '{other}'; give 'auto', 'learned' or 'fixed'"
            ));
        }
    };
    let gate = GateSettings {
        target_speeds,
        seed: rw_core::hash(&file.vm),
        vm: file.vm,
        centre: file.centre,
        retry_ratio: file.retry_ratio,
        retry_slack: file.retry_slack,
        retry_window_ms: (file.retry_window_s * 1e3) as u64,
        fail_closed: file.fail_closed,
        revoke_ms: file.revoke_ms,
        duties,
        ..GateSettings::default()
    };
    let connections = file.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let relay = RelaySettings {
        gate,
        front: file.front,
        ready: file.ready,
        control,
        digests: file.digests,
        digest_bytes_per_s: digest_bytes_per_s(file.link_mbps),
        metrics: file.metrics,
        seeds: file.seeds,
        placement: file.placement.into(),
        placement_timeout: DEFAULT_PLACEMENT_TIMEOUT,
        connections: connections.max(MIN_CONNECTIONS),
        body_bytes,
        grace: Duration::from_secs_f64(file.grace_s),
    };
    Ok(RelayFileSettings {
        relay,
        store: file.store,
        drain_notice: Duration::from_secs_f64(file.drain_ms / 1e3),
        platform_api,
    })
}

/// Memory that the process may use, in MB.
fn memory_mb(file: &RelayFile) -> f64 {
    match file.memory_mb > 0.0 {
        true => file.memory_mb,
        false => DEFAULT_MEMORY_MB,
    }
}

/// Bytes that the bodies of requests may take up.
fn body_bytes(file: &RelayFile) -> usize {
    let default_mb = memory_mb(file) * BODY_SHARE;
    (file.body_memory_mb.unwrap_or(default_mb) * BYTES_PER_MB) as usize
}

/// Bytes per second in digests on a link of `link_mbps`.
fn digest_bytes_per_s(link_mbps: f64) -> u32 {
    match link_mbps > 0.0 {
        true => (link_mbps * DIGEST_BYTES_PER_MBIT) as u32,
        false => DEFAULT_DIGEST_BYTES_PER_S,
    }
}

/// Joins the lines of a message into one.
fn join_lines(text: &str) -> String {
    let lines = text.lines().map(str::trim);
    let parts: Vec<&str> = lines.filter(|l| !l.is_empty()).collect();
    parts.join(" ")
}
