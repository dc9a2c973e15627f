//! `slopes`: what a node's state and steps cost as the fleet grows.

use super::CommandSpec;
use crate::{CliError, scale::Scale};
use clap::{ArgMatches, Command};
use rw_core::{Aperture, AttemptOutcome, Effect, Event, Node, candidate_rank};
use rw_types::{AttemptId, ConfigChange, Digest, Millis, RequestId};
use std::{
    fs, hint,
    sync::Arc,
    time::{Duration, Instant},
};

/// Sizes of each slope.
const TARGETS: &[usize] = &[100, 1_000, 10_000];
const ACCOUNTS: &[usize] = &[1_000, 10_000, 47_000];
const VMS: &[usize] = &[13, 130, 1_300];
/// Time spent on each cost.
const SPAN: Duration = Duration::from_millis(200);
/// Targets of one lease group.
const GROUP_SIZE: usize = 30;
/// Bytes of HTTP around a load report, there and back, as the client and the listener write them.
const POLL_HEADS: usize = 180;

/// The command.
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
            "Prints what state and steps cost by targets, accounts and VMs, for capacity planning",
        )
        .after_help("Example:\n  redwingweir slopes")
}

fn run(_: &ArgMatches) -> Result<(), CliError> {
    memory()?;
    steps();
    changes()?;
    spread();
    leases();
    messages()
}

/// Memory of the configuration, the reducer's state and the index of keys.
fn memory() -> Result<(), CliError> {
    println!("state, resident KB more than without it");
    let mut kept = Vec::new();
    let sizes = TARGETS.iter().map(|t| (*t, 0));
    for (targets, accounts) in sizes.chain(ACCOUNTS.iter().map(|a| (0, *a))) {
        let before = resident()?;
        let scale = Scale::new(1, targets, accounts);
        kept.push((scale.node(), scale.index()));
        drop(scale);
        let used = resident()?.saturating_sub(before);
        println!("  targets {targets:>6}  accounts {accounts:>6}  {used:>7} KB");
    }
    hint::black_box(kept);
    Ok(())
}

/// Reducer steps by targets watched.
fn steps() {
    println!("reducer, microseconds");
    println!("  targets  watched  request  report");
    for &targets in TARGETS {
        for vms in [1, 1_300] {
            let scale = Scale::new(vms, targets, 1_000);
            let mut node = scale.node();
            let watched = node.targets().all().iter().filter(|t| t.watched).count();
            let request = cost(|n| answer(&mut node, &scale, n));
            let report = cost(|n| report(&mut node, &scale, n));
            println!("  {targets:>7}  {watched:>7}  {request:>7.2}  {report:>6.2}");
        }
    }
}

/// One request from its arrival to its whole answer.
fn answer(node: &mut Node, scale: &Scale, n: u64) {
    let id = RequestId(n + 1);
    let call = scale.call(n);
    let effects = node.step(Millis(n), Event::Arrived { id, call });
    let dispatched = effects.iter().find_map(|e| match e {
        Effect::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = dispatched.unwrap_or(AttemptId(0));
    let outcome = AttemptOutcome::Complete {
        status: 200,
        kind: String::new(),
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

fn report(node: &mut Node, scale: &Scale, n: u64) {
    let spec = &scale.config.targets[n as usize % scale.config.targets.len()];
    let report = scale.report(spec);
    let target = spec.name.clone();
    node.step(Millis(n), Event::Reported { target, report });
}

/// Cost of a change that is put in force.
fn changes() -> Result<(), CliError> {
    println!("configuration: bytes whole, milliseconds to put a change in force");
    for (targets, accounts) in [(100, 1_000), (1_000, 10_000), (10_000, 47_000)] {
        let scale = Scale::new(1_300, targets, accounts);
        let json =
            serde_json::to_vec(&*scale.config).map_err(|e| CliError::Failed(e.to_string()))?;
        let mut node = scale.node();
        let other = cost(|n| put_in_force(&mut node, &scale, n, false));
        let mut node = scale.node();
        let moved = cost(|n| put_in_force(&mut node, &scale, n, true));
        let index = cost(|_| {
            hint::black_box(scale.index());
        });
        println!(
            "  targets {targets:>6}  accounts {accounts:>6}  {:>9} bytes  a target {:.2}  another {:.2}  key index {:.2}",
            json.len(),
            moved / 1_000.0,
            other / 1_000.0,
            index / 1_000.0
        );
    }
    Ok(())
}

/// Copies the configuration with one change and puts it in force.
fn put_in_force(node: &mut Node, scale: &Scale, n: u64, target: bool) {
    let mut config = (*scale.config).clone();
    config.version.0 += n + 1;
    if target {
        config.targets[0].leaving = n.is_multiple_of(2);
    }
    node.step(Millis(n), Event::ConfigRead(Arc::new(config)));
}

/// How watching is spread.
fn spread() {
    println!("aperture");
    println!(
        "  vms    targets  a VM watches (least, mean, most)  watchers (least, mean, most)  ms a choice"
    );
    for (&vms, &targets) in VMS.iter().zip(TARGETS) {
        let scale = Scale::new(vms, targets, 0);
        let began = Instant::now();
        let mut watched = Vec::with_capacity(vms);
        let mut watchers = vec![0; targets];
        for vm in &scale.vms {
            let chosen =
                Aperture::default().choose(&vm.name, &vm.centre, &scale.vms, &scale.config.targets);
            let ones = chosen.iter().enumerate().filter(|(_, w)| **w);
            watched.push(ones.map(|(i, _)| watchers[i] += 1).count());
        }
        let each = began.elapsed().as_secs_f64() * 1_000.0 / vms as f64;
        println!(
            "  {vms:>5}  {targets:>7}  {:>32}  {:>28}  {each:.2}",
            range(&watched),
            range(&watchers)
        );
    }
}

fn range(counts: &[usize]) -> String {
    let least = counts.iter().min().copied().unwrap_or_default();
    let most = counts.iter().max().copied().unwrap_or_default();
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    format!("{least}, {mean:.1}, {most}")
}

/// Cost of ranking a VM as a candidate for each group's lease, after each change of either list.
fn leases() {
    println!("lease candidates, milliseconds a ranking");
    for (&vms, &targets) in VMS.iter().zip(TARGETS) {
        let scale = Scale::new(vms, targets, 0);
        let groups = targets / GROUP_SIZE;
        let ranked = cost(|_| {
            let candidate =
                |n| candidate_rank(&scale.vms, &scale.vms[0].name, &format!("group-{n}"));
            hint::black_box((0..groups).filter_map(candidate).count());
        });
        println!(
            "  vms {vms:>5}  groups {groups:>4}  {:.2}",
            ranked / 1_000.0
        );
    }
}

/// Bytes of what nodes and targets tell each other again and again.
fn messages() -> Result<(), CliError> {
    let scale = Scale::new(1, 100, 1);
    let report = scale.report(&scale.config.targets[0]);
    let bytes = |json: Result<Vec<u8>, serde_json::Error>| {
        json.map(|b| b.len())
            .map_err(|e| CliError::Failed(e.to_string()))
    };
    let report = bytes(serde_json::to_vec(&report))?;
    let digest = bytes(serde_json::to_vec(&Digest::default()))?;
    println!("messages, bytes");
    println!(
        "  load report {report}, with its HTTP heads {}",
        report + POLL_HEADS
    );
    let list = Scale::new(1_300, 1, 1).vms;
    let list = bytes(serde_json::to_vec(&list))?;
    let mut changed = (*scale.config).clone();
    changed.targets[0].leaving = true;
    let change = bytes(serde_json::to_vec(&ConfigChange::between(
        &scale.config,
        &changed,
    )))?;
    println!("  list of 1300 VMs {list}");
    println!("  change of one target {change}");
    println!("  peer digest {digest}, without its JSON-RPC and HTTP heads");
    Ok(())
}

/// Microseconds of one run of `work`, which gets the number of the run.
fn cost(mut work: impl FnMut(u64)) -> f64 {
    let began = Instant::now();
    let mut runs = 0;
    while began.elapsed() < SPAN {
        work(runs);
        runs += 1;
    }
    began.elapsed().as_secs_f64() * 1e6 / runs as f64
}

/// Resident memory of this process, KB.
fn resident() -> Result<u64, CliError> {
    let status = fs::read_to_string("/proc/self/status");
    let status = status.map_err(|e| CliError::Failed(format!("/proc/self/status: {e}")))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    number.ok_or_else(|| CliError::Failed("/proc/self/status has no VmRSS".to_owned()))
}
