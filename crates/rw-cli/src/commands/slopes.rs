//! `slopes`: measures how a node's memory and time per step grow with the fleet.

use super::CommandSpec;
use crate::{CliError, scale::SyntheticFleet};
use clap::{ArgMatches, Command};
use rw_core::{Aperture, AttemptOutcome, Effect, Event, Node, candidate_rank};
use rw_types::{AttemptId, ConfigChange, Digest, Millis, RequestId};
use std::{
    fs, hint,
    sync::Arc,
    time::{Duration, Instant},
};

/// Fleet sizes measured, in targets, accounts and VMs.
const TARGETS: &[usize] = &[100, 1_000, 10_000];
const ACCOUNTS: &[usize] = &[1_000, 10_000, 47_000];
const VMS: &[usize] = &[13, 130, 1_300];
/// Minimum duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_millis(200);
/// Number of targets per lease group.
const GROUP_TARGETS: usize = 30;
/// Bytes of the HTTP headers around a load report, request and response together, as the client
/// and the listener write them.
const POLL_HEADER_BYTES: usize = 180;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "slopes",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("slopes")
        .about(
            "Measures memory and time per step by targets, accounts and VMs, for capacity planning",
        )
        .after_help("Example:\n  redwingweir slopes")
}

fn run(_: &ArgMatches) -> Result<(), CliError> {
    print_memory()?;
    print_reducer_costs();
    print_change_costs()?;
    print_apertures();
    print_lease_costs();
    print_message_sizes()
}

/// Prints the memory of the configuration, the reducer's state and the index of account keys.
fn print_memory() -> Result<(), CliError> {
    println!("state, resident KB more than without it");
    let mut retained = Vec::new();
    let sizes = TARGETS.iter().map(|t| (*t, 0));
    for (targets, accounts) in sizes.chain(ACCOUNTS.iter().map(|a| (0, *a))) {
        let before = resident_kb()?;
        let fleet = SyntheticFleet::new(1, targets, accounts);
        retained.push((fleet.node(), fleet.index_keys()));
        drop(fleet);
        let used = resident_kb()?.saturating_sub(before);
        println!("  targets {targets:>6}  accounts {accounts:>6}  {used:>7} KB");
    }
    hint::black_box(retained);
    Ok(())
}

/// Prints the time per reducer step by the number of targets watched.
fn print_reducer_costs() {
    println!("reducer, microseconds");
    println!("  targets  watched  request  report");
    for &targets in TARGETS {
        for vms in [1, 1_300] {
            let fleet = SyntheticFleet::new(vms, targets, 1_000);
            let mut node = fleet.node();
            let watched = node.targets().all().iter().filter(|t| t.watched).count();
            let request = mean_micros(|n| complete_request(&mut node, &fleet, n));
            let report = mean_micros(|n| apply_report(&mut node, &fleet, n));
            println!("  {targets:>7}  {watched:>7}  {request:>7.2}  {report:>6.2}");
        }
    }
}

/// Steps one request from its arrival to its complete response.
fn complete_request(node: &mut Node, fleet: &SyntheticFleet, n: u64) {
    let id = RequestId(n + 1);
    let call = fleet.call(n);
    let effects = node.step(Millis(n), Event::Arrived { id, call });
    let dispatched = effects.iter().find_map(|e| match e {
        Effect::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = dispatched.unwrap_or(AttemptId(0));
    let outcome = AttemptOutcome::Complete {
        status: 200,
        content_type: String::new(),
        body: Vec::new(),
    };
    hint::black_box(node.step(
        Millis(n),
        Event::AttemptEnded {
            id,
            attempt,
            outcome,
        },
    ));
}

fn apply_report(node: &mut Node, fleet: &SyntheticFleet, n: u64) {
    let spec = &fleet.config.targets[n as usize % fleet.config.targets.len()];
    let report = fleet.report(spec);
    let target = spec.name.clone();
    node.step(Millis(n), Event::Reported { target, report });
}

/// Prints the size of the configuration, and the time to apply a change and to index the keys.
fn print_change_costs() -> Result<(), CliError> {
    println!("configuration: bytes whole, milliseconds to put a change in force");
    for (targets, accounts) in [(100, 1_000), (1_000, 10_000), (10_000, 47_000)] {
        let fleet = SyntheticFleet::new(1_300, targets, accounts);
        let json =
            serde_json::to_vec(&*fleet.config).map_err(|e| CliError::Failed(e.to_string()))?;
        let mut node = fleet.node();
        let version_change = mean_micros(|n| apply_change(&mut node, &fleet, n, false));
        let mut node = fleet.node();
        let target_change = mean_micros(|n| apply_change(&mut node, &fleet, n, true));
        let index = mean_micros(|_| {
            hint::black_box(fleet.index_keys());
        });
        println!(
            "  targets {targets:>6}  accounts {accounts:>6}  {:>9} bytes  a target {:.2}  another {:.2}  key index {:.2}",
            json.len(),
            target_change / 1_000.0,
            version_change / 1_000.0,
            index / 1_000.0
        );
    }
    Ok(())
}

/// Applies a copy of the configuration with a new version and, if `target`, with a changed target.
fn apply_change(node: &mut Node, fleet: &SyntheticFleet, n: u64, target: bool) {
    let mut config = (*fleet.config).clone();
    config.version.0 += n + 1;
    if target {
        config.targets[0].leaving = n.is_multiple_of(2);
    }
    node.step(Millis(n), Event::ConfigRead(Arc::new(config)));
}

/// Prints how many targets each VM watches, and how many VMs watch each target.
fn print_apertures() {
    println!("aperture");
    println!(
        "  vms    targets  a VM watches (least, mean, most)  watchers (least, mean, most)  ms a choice"
    );
    for (&vms, &targets) in VMS.iter().zip(TARGETS) {
        let fleet = SyntheticFleet::new(vms, targets, 0);
        let start = Instant::now();
        let mut watched = Vec::with_capacity(vms);
        let mut watchers = vec![0; targets];
        for vm in &fleet.vms {
            let chosen =
                Aperture::default().choose(&vm.name, &vm.centre, &fleet.vms, &fleet.config.targets);
            let chosen_indices = chosen.iter().enumerate().filter(|(_, w)| **w);
            watched.push(chosen_indices.map(|(i, _)| watchers[i] += 1).count());
        }
        let choice_ms = start.elapsed().as_secs_f64() * 1_000.0 / vms as f64;
        println!(
            "  {vms:>5}  {targets:>7}  {:>32}  {:>28}  {choice_ms:.2}",
            range(&watched),
            range(&watchers)
        );
    }
}

fn range(counts: &[usize]) -> String {
    let min = counts.iter().min().copied().unwrap_or_default();
    let max = counts.iter().max().copied().unwrap_or_default();
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    format!("{min}, {mean:.1}, {max}")
}

/// Prints the time to rank a VM as a candidate for each group's lease, which is done after each
/// change of the VM list or of the target list.
fn print_lease_costs() {
    println!("lease candidates, milliseconds a ranking");
    for (&vms, &targets) in VMS.iter().zip(TARGETS) {
        let fleet = SyntheticFleet::new(vms, targets, 0);
        let groups = targets / GROUP_TARGETS;
        let ranked = mean_micros(|_| {
            let candidate =
                |n| candidate_rank(&fleet.vms, &fleet.vms[0].name, &format!("group-{n}"));
            hint::black_box((0..groups).filter_map(candidate).count());
        });
        println!(
            "  vms {vms:>5}  groups {groups:>4}  {:.2}",
            ranked / 1_000.0
        );
    }
}

/// Prints the size of the messages that nodes and targets exchange repeatedly.
fn print_message_sizes() -> Result<(), CliError> {
    let fleet = SyntheticFleet::new(1, 100, 1);
    let report = fleet.report(&fleet.config.targets[0]);
    let bytes = |json: Result<Vec<u8>, serde_json::Error>| {
        json.map(|b| b.len())
            .map_err(|e| CliError::Failed(e.to_string()))
    };
    let report = bytes(serde_json::to_vec(&report))?;
    let digest = bytes(serde_json::to_vec(&Digest::default()))?;
    println!("messages, bytes");
    println!(
        "  load report {report}, with its HTTP heads {}",
        report + POLL_HEADER_BYTES
    );
    let vms = SyntheticFleet::new(1_300, 1, 1).vms;
    let vms = bytes(serde_json::to_vec(&vms))?;
    let mut config = (*fleet.config).clone();
    config.targets[0].leaving = true;
    let change = bytes(serde_json::to_vec(&ConfigChange::between(
        &fleet.config,
        &config,
    )))?;
    println!("  list of 1300 VMs {vms}");
    println!("  change of one target {change}");
    println!("  peer digest {digest}, without its JSON-RPC and HTTP heads");
    Ok(())
}

/// Returns the mean duration of `work` in microseconds. `work` is passed the number of the run.
fn mean_micros(mut work: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    let mut runs = 0;
    while start.elapsed() < MEASURE_TIME {
        work(runs);
        runs += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / runs as f64
}

/// Returns the resident memory of this process in KB.
fn resident_kb() -> Result<u64, CliError> {
    let status = fs::read_to_string("/proc/self/status");
    let status = status.map_err(|e| CliError::Failed(format!("/proc/self/status: {e}")))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    number.ok_or_else(|| CliError::Failed("/proc/self/status has no VmRSS".to_owned()))
}
