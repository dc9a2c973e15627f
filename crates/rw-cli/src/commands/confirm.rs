//! `confirm`: accepts a plan and waits until it is in force.

use super::CommandSpec;
use crate::{
    CliError,
    operator::{ask, by_arg, operator_arg, token_arg},
    settings::text,
};
use clap::{Arg, ArgMatches, Command};
use rw_node::{ConfirmRequest, Confirmation, VmStatus};
use rw_types::Version;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time within which an accepted configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(18);
/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(250);

/// The command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "confirm",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("confirm")
        .about("Accepts exactly the plan of that id, and reports how many VMs have it in force")
        .arg(Arg::new("id").required(true).help("Id that `plan` printed"))
        .arg(by_arg())
        .arg(operator_arg())
        .arg(token_arg())
        .after_help(
            "Asked again, it gives the same result.\n\nExample:\n  redwingweir confirm 1f0c22aa",
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let confirm = ConfirmRequest {
        by: text(matches, "by")?.to_owned(),
        id: text(matches, "id")?.to_owned(),
    };
    let done: Confirmation = ask(matches, "confirm", &confirm)?;
    println!(
        "configuration {} accepted from plan {}, confirmed by {}",
        done.version, done.id, done.by
    );
    let end = Instant::now() + IN_FORCE;
    let mut vms: Vec<VmStatus> = ask(matches, "fleet", &())?;
    while !all_at(&vms, done.version) && Instant::now() < end {
        thread::sleep(PAUSE);
        vms = ask(matches, "fleet", &())?;
    }
    for line in in_force(&vms, done.version) {
        println!("{line}");
    }
    Ok(())
}

fn all_at(vms: &[VmStatus], version: Version) -> bool {
    vms.iter().all(|vm| vm.version >= version)
}

/// How many VMs have `version` in force, and which don't.
pub fn in_force(vms: &[VmStatus], version: Version) -> Vec<String> {
    let count = vms.iter().filter(|vm| vm.version >= version).count();
    let mut lines = vec![format!("in force on {count} of {} VMs", vms.len())];
    let late = vms.iter().filter(|vm| vm.version < version);
    lines.extend(late.map(|vm| match vm.version {
        Version(0) => format!("  {} was not reached", vm.name),
        other => format!("  {} has configuration {other}", vm.name),
    }));
    lines
}
