//! `burn`: how fast each service and kind of work uses up the budget of its objective.

use super::CommandSpec;
use crate::{
    CliError,
    operator::{ask, operator_arg, token_arg},
    time::utc,
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use rw_node::{
    BurnCause, BurnCounts, BurnReport, CauseCounts, StateChange, WINDOW_FRACTIONS, WINDOWS,
    burn_rate,
};
use rw_types::WorkKind;
use serde::Serialize;

/// Changes of state printed.
const MAX_STATES: usize = 10;

/// The command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "burn",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("burn")
        .about("Prints how fast each service and kind of work uses up the budget of its objective")
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
        .arg(operator_arg())
        .arg(token_arg())
        .after_help("Example:\n  redwingweir burn --json")
}

/// One window of one service and kind of work.
#[derive(Debug, Serialize)]
struct Window {
    window: &'static str,
    answers: u64,
    /// Rate at which the budget burns; 1 uses it up exactly.
    rate: f64,
    /// Part of a budget of 30 days used in this window.
    used: f64,
    late: u64,
    refused: u64,
    unknown: u64,
    cut: u64,
}

#[derive(Debug, Serialize)]
struct Line {
    service: String,
    kind: String,
    objective: Option<f64>,
    windows: Vec<Window>,
    /// Cause that burns most in the long window.
    cause: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct Report {
    lines: Vec<Line>,
    states: Vec<StateChange>,
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let (kinds, burn): (Vec<WorkKind>, BurnReport) = ask(matches, "burn", &())?;
    let report = Report {
        lines: burn.counts.into_iter().map(|c| line(c, &kinds)).collect(),
        states: burn.states,
    };
    if matches.get_flag("json") {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.map_err(|e| CliError::Failed(e.to_string()))?);
        return Ok(());
    }
    table(&report).iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn line(counts: BurnCounts, kinds: &[WorkKind]) -> Line {
    let kind = kinds.iter().find(|k| k.name == counts.kind);
    let objective = kind.map(|k| k.objective);
    let each = WINDOWS.iter().zip(WINDOW_FRACTIONS).zip(&counts.windows);
    let windows = each.map(|((name, share), sums)| window(name, share, sums, objective));
    Line {
        windows: windows.collect(),
        cause: worst(&counts.windows[1]),
        service: counts.service,
        kind: counts.kind,
        objective,
    }
}

fn window(window: &'static str, share: f64, sums: &CauseCounts, objective: Option<f64>) -> Window {
    let rate = objective.map_or(0.0, |objective| burn_rate(sums, objective));
    let of = |cause: BurnCause| sums[cause as usize];
    Window {
        window,
        answers: sums.iter().sum(),
        rate,
        used: rate * share,
        late: of(BurnCause::Late),
        refused: of(BurnCause::Refused),
        unknown: of(BurnCause::Unknown),
        cut: of(BurnCause::Truncated),
    }
}

fn worst(sums: &CauseCounts) -> Option<&'static str> {
    let bad = BurnCause::ALL.iter().filter(|c| **c != BurnCause::Good);
    let most = bad.max_by_key(|c| sums[**c as usize])?;
    (sums[*most as usize] > 0).then(|| most.as_str())
}

fn table(report: &Report) -> Vec<String> {
    let mut lines = vec![format!(
        "{:<16} {:<14} {:>9} {:>6} {:>8} {:>7} {:>8} {:>6} {:>8} {:>8} {:>6}  {}",
        "service",
        "kind",
        "objective",
        "window",
        "answers",
        "rate",
        "used",
        "late",
        "refused",
        "unknown",
        "cut",
        "burns most"
    )];
    for line in &report.lines {
        let objective = line.objective.map_or("-".to_owned(), |o| o.to_string());
        for w in &line.windows {
            lines.push(format!(
                "{:<16} {:<14} {:>9} {:>6} {:>8} {:>7.2} {:>7.3}% {:>6} {:>8} {:>8} {:>6}  {}",
                line.service,
                line.kind,
                objective,
                w.window,
                w.answers,
                w.rate,
                w.used * 100.0,
                w.late,
                w.refused,
                w.unknown,
                w.cut,
                line.cause.unwrap_or("-")
            ));
        }
    }
    lines.push("changes of state:".to_owned());
    let skipped = report.states.len().saturating_sub(MAX_STATES);
    let latest = report.states.iter().skip(skipped);
    lines.extend(latest.map(|s| format!("  {} {} {}", utc(s.at), s.vm, s.description)));
    lines
}
