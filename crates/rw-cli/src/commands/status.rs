//! `status`: prints the configuration in force on each VM, or the history of a target.

use super::{CommandSpec, confirm::in_force_lines};
use crate::{
    CliError,
    operator::{call_node, operator_arg, token_arg},
    time::format_utc,
};
use clap::{Arg, ArgMatches, Command};
use rw_node::{History, HistoryEntry, Status, VmStatus};
use rw_types::Order;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "status",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("status")
        .about(
            "Prints the configuration in force on each VM, and the requests and targets of a node",
        )
        .arg(
            Arg::new("explain")
                .long("explain")
                .value_name("TARGET")
                .help("Prints the history of a target and its latest order instead, with their reasons"),
        )
        .arg(operator_arg())
        .arg(token_arg())
        .after_help("Example:\n  REDWINGWEIR_TOKEN=... redwingweir status --operator 10.0.0.2:8082")
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    if let Some(target) = matches.get_one::<String>("explain") {
        let history: History = call_node(matches, "explain", target)?;
        history_lines(&history)
            .iter()
            .for_each(|line| println!("{line}"));
        return Ok(());
    }
    let status: Status = call_node(matches, "status", &())?;
    let vm = &status.vm;
    println!(
        "{} configuration {} ready {} requests {}",
        vm.name, vm.version, vm.ready, status.requests
    );
    for (name, running, open) in &status.targets {
        println!("  {name} running {running} open {open}");
    }
    let vms: Vec<VmStatus> = call_node(matches, "fleet", &())?;
    let highest = vms.iter().map(|vm| vm.version).max().unwrap_or_default();
    println!("configuration {highest}:");
    for line in in_force_lines(&vms, highest) {
        println!("{line}");
    }
    for vm in &vms {
        println!(
            "  {} configuration {} ready {}",
            vm.name, vm.version, vm.ready
        );
    }
    Ok(())
}

fn history_lines(history: &History) -> Vec<String> {
    let mut lines = vec![format!("{}:", history.target)];
    lines.extend(history.entries.iter().map(|e| {
        let HistoryEntry {
            at,
            version,
            by,
            plan,
            description,
        } = e;
        let time = format_utc(*at);
        format!("  {time} configuration {version}, plan {plan} confirmed by {by}: {description}")
    }));
    if history.entries.is_empty() {
        lines.push("  no confirmed plan has touched it".to_owned());
    }
    lines.push(format!(
        "  latest order: {}",
        describe_order(&history.order)
    ));
    lines
}

/// Describes the table row of a target's latest order; `none` if it can't be parsed.
fn describe_order(row: &str) -> String {
    let Ok(order) = serde_json::from_str::<Order>(row) else {
        return "none".to_owned();
    };
    let json = |value: serde_json::Result<String>| value.unwrap_or_default();
    let kind = json(serde_json::to_string(&order.kind));
    let state = json(serde_json::to_string(&order.state));
    format!(
        "{} {kind} is {} because {}",
        order.seq,
        state.trim_matches('"'),
        order.reason
    )
}
