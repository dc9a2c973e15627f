//! `confirm`: accepts a plan and waits until it is in force on all VMs.

use super::CommandSpec;
use crate::{
    CliError,
    operator::{by_arg, call_node, operator_arg, token_arg},
    settings::text,
};
use clap::{Arg, ArgMatches, Command};
use rw_node::{ConfirmRequest, Confirmation, VmStatus};
use rw_types::Version;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time within which all VMs should have an accepted configuration in force; maximum wait for it.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(18);
/// Interval between reads of the VMs' status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "confirm",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("confirm")
        .about("Accepts the plan with the given id, and prints how many VMs have it in force")
        .arg(Arg::new("id").required(true).help("Id that `plan` printed"))
        .arg(by_arg())
        .arg(operator_arg())
        .arg(token_arg())
        .after_help(
            "Confirming the same plan again gives the same result.\n\nExample:\n  redwingweir confirm 1f0c22aa",
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let request = ConfirmRequest {
        by: text(matches, "by")?.to_owned(),
        id: text(matches, "id")?.to_owned(),
    };
    let confirmation: Confirmation = call_node(matches, "confirm", &request)?;
    println!(
        "configuration {} accepted from plan {}, confirmed by {}",
        confirmation.version, confirmation.id, confirmation.by
    );
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    let mut vms: Vec<VmStatus> = call_node(matches, "fleet", &())?;
    while !all_in_force(&vms, confirmation.version) && Instant::now() < deadline {
        thread::sleep(POLL_INTERVAL);
        vms = call_node(matches, "fleet", &())?;
    }
    for line in in_force_lines(&vms, confirmation.version) {
        println!("{line}");
    }
    Ok(())
}

fn all_in_force(vms: &[VmStatus], version: Version) -> bool {
    vms.iter().all(|vm| vm.version >= version)
}

/// Returns lines with the number of VMs that have `version` in force, and with each VM that has
/// not.
pub fn in_force_lines(vms: &[VmStatus], version: Version) -> Vec<String> {
    let count = vms.iter().filter(|vm| vm.version >= version).count();
    let mut lines = vec![format!("in force on {count} of {} VMs", vms.len())];
    let behind = vms.iter().filter(|vm| vm.version < version);
    lines.extend(behind.map(|vm| match vm.version {
        Version(0) => format!("  {} was not reached", vm.name),
        other => format!("  {} has configuration {other}", vm.name),
    }));
    lines
}
