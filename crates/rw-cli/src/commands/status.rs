//! `status`: what the fleet has in force, and what was done to a target.

use super::{CommandSpec, confirm::in_force};
use crate::{
    CliError,
    operator::{ask, operator_arg, token_arg},
};
use clap::{Arg, ArgMatches, Command};
use rw_node::{History, HistoryEntry, Status, VmStatus};

/// Seconds of a day.
const DAY: u64 = 86_400;

/// The command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "status",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("status")
        .about("Prints which configuration each VM has in force, and what a node knows")
        .arg(
            Arg::new("explain")
                .long("explain")
                .value_name("TARGET")
                .help("Prints what was done to a target and why"),
        )
        .arg(operator_arg())
        .arg(token_arg())
        .after_help("Example:\n  REDWINGWEIR_TOKEN=... redwingweir status --operator 10.0.0.2:8082")
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    if let Some(target) = matches.get_one::<String>("explain") {
        let history: History = ask(matches, "explain", target)?;
        explain(&history).iter().for_each(|line| println!("{line}"));
        return Ok(());
    }
    let status: Status = ask(matches, "status", &())?;
    let vm = &status.vm;
    println!(
        "{} configuration {} ready {} requests {}",
        vm.name, vm.version, vm.ready, status.requests
    );
    for (name, running, open) in &status.targets {
        println!("  {name} running {running} open {open}");
    }
    let vms: Vec<VmStatus> = ask(matches, "fleet", &())?;
    let highest = vms.iter().map(|vm| vm.version).max().unwrap_or_default();
    println!("configuration {highest}:");
    for line in in_force(&vms, highest) {
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

fn explain(history: &History) -> Vec<String> {
    let mut lines = vec![format!("{}:", history.target)];
    lines.extend(history.entries.iter().map(|e| {
        let HistoryEntry {
            at,
            version,
            by,
            plan,
            what,
        } = e;
        let time = utc(*at);
        format!("  {time} configuration {version}, plan {plan} confirmed by {by}: {what}")
    }));
    if history.entries.is_empty() {
        lines.push("  no confirmed plan has touched it".to_owned());
    }
    let order = match history.order.as_str() {
        "" => "none",
        order => order,
    };
    lines.push(format!("  latest order: {order}"));
    lines
}

/// Seconds since 1970 as date and time, UTC.
fn utc(seconds: u64) -> String {
    let (days, rest) = (seconds / DAY, seconds % DAY);
    // Years counted from March, so that the leap day is the last of a year.
    let day = days + 719_468;
    let era = day / 146_097;
    let in_era = day % 146_097;
    let year = (in_era - in_era / 1_460 + in_era / 36_524 - in_era / 146_096) / 365;
    let in_year = in_era - (365 * year + year / 4 - year / 100);
    let from_march = (5 * in_year + 2) / 153;
    let date = in_year - (153 * from_march + 2) / 5 + 1;
    let month = if from_march < 10 {
        from_march + 3
    } else {
        from_march - 9
    };
    let year = year + era * 400 + u64::from(month <= 2);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{date:02}T{hour:02}:{minute:02}:{second:02}Z")
}
