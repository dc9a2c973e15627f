//! `burn`: prints the burn rate of the error budget of each service and kind of work.

use super::CommandSpec;
use crate::{
    CliError,
    operator::{call_node, operator_arg, token_arg},
    time::format_utc,
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use rw_node::{
    BurnCause, BurnCounts, BurnReport, CauseCounts, StateChange, WINDOW_FRACTIONS, WINDOWS,
    burn_rate,
};
use rw_types::WorkKind;
use serde::Serialize;

/// Maximum number of state changes printed.
const MAX_STATE_CHANGES: usize = 10;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "burn",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("burn")
        .about("Prints the burn rate of the error budget of each service and kind of work")
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the report as JSON"),
        )
        .arg(operator_arg())
        .arg(token_arg())
        .after_help("Example:\n  redwingweir burn --json")
}

/// Responses of one service and kind of work in one window.
#[derive(Debug, Serialize)]
struct BurnWindow {
    window: &'static str,
    #[serde(rename = "answers")]
    responses: u64,
    /// Burn rate; at 1 the budget is used up exactly at the end of its 30 days.
    rate: f64,
    /// Fraction of the 30-day budget that was used in this window.
    used: f64,
    late: u64,
    refused: u64,
    unknown: u64,
    #[serde(rename = "cut")]
    truncated: u64,
}

#[derive(Debug, Serialize)]
struct BurnLine {
    service: String,
    kind: String,
    objective: Option<f64>,
    windows: Vec<BurnWindow>,
    /// Cause of most failures in the long window; `None` if there were none.
    cause: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct BurnSummary {
    lines: Vec<BurnLine>,
    states: Vec<StateChange>,
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let (kinds, burn): (Vec<WorkKind>, BurnReport) = call_node(matches, "burn", &())?;
    let report = BurnSummary {
        lines: burn
            .counts
            .into_iter()
            .map(|c| burn_line(c, &kinds))
            .collect(),
        states: burn.states,
    };
    if matches.get_flag("json") {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.map_err(|e| CliError::Failed(e.to_string()))?);
        return Ok(());
    }
    table_lines(&report)
        .iter()
        .for_each(|line| println!("{line}"));
    Ok(())
}

fn burn_line(counts: BurnCounts, kinds: &[WorkKind]) -> BurnLine {
    let kind = kinds.iter().find(|k| k.name == counts.kind);
    let objective = kind.map(|k| k.objective);
    let named = WINDOWS.iter().zip(WINDOW_FRACTIONS).zip(&counts.windows);
    let windows =
        named.map(|((name, fraction), counts)| burn_window(name, fraction, counts, objective));
    BurnLine {
        windows: windows.collect(),
        cause: top_cause(&counts.windows[1]),
        service: counts.service,
        kind: counts.kind,
        objective,
    }
}

fn burn_window(
    window: &'static str,
    fraction: f64,
    counts: &CauseCounts,
    objective: Option<f64>,
) -> BurnWindow {
    let rate = objective.map_or(0.0, |objective| burn_rate(counts, objective));
    let count = |cause: BurnCause| counts[cause as usize];
    BurnWindow {
        window,
        responses: counts.iter().sum(),
        rate,
        used: rate * fraction,
        late: count(BurnCause::Late),
        refused: count(BurnCause::Refused),
        unknown: count(BurnCause::Unknown),
        truncated: count(BurnCause::Truncated),
    }
}

fn top_cause(counts: &CauseCounts) -> Option<&'static str> {
    let failures = BurnCause::ALL.iter().filter(|c| **c != BurnCause::Good);
    let top = failures.max_by_key(|c| counts[**c as usize])?;
    (counts[*top as usize] > 0).then(|| top.as_str())
}

fn table_lines(report: &BurnSummary) -> Vec<String> {
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
                w.responses,
                w.rate,
                w.used * 100.0,
                w.late,
                w.refused,
                w.unknown,
                w.truncated,
                line.cause.unwrap_or("-")
            ));
        }
    }
    lines.push("changes of state:".to_owned());
    let skipped = report.states.len().saturating_sub(MAX_STATE_CHANGES);
    let latest = report.states.iter().skip(skipped);
    lines.extend(latest.map(|s| format!("  {} {} {}", format_utc(s.at), s.vm, s.description)));
    lines
}
