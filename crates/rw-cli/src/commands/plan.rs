//! `plan`: prints the plan for an intent file.

use super::CommandSpec;
use crate::{
    CliError,
    operator::{by_arg, call_node, operator_arg, token_arg},
    settings::text,
};
use clap::{Arg, ArgMatches, Command};
use rw_intent::{Plan, parse_intent};
use rw_node::{PlanRequest, describe_step};
use rw_types::{Config, ListChange, Named};

/// Maximum number of items printed per list; the remaining ones are only counted.
const MAX_LINES: usize = 40;

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "plan",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("plan")
        .about("Prints the plan for an intent file without applying it")
        .arg(Arg::new("file").required(true).help("Intent file, TOML"))
        .arg(by_arg())
        .arg(operator_arg())
        .arg(token_arg())
        .after_help("Example:\n  redwingweir plan nilebell.toml --by amina")
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let config = read_intent(text(matches, "file")?)?;
    let by = text(matches, "by")?.to_owned();
    let plan: Plan = call_node(matches, "plan", &PlanRequest { by, config })?;
    plan_lines(&plan).iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn read_intent(path: &str) -> Result<Config, CliError> {
    let invalid = |text: String| CliError::InvalidIntent(path.to_owned(), text);
    let text =
        std::fs::read_to_string(path).map_err(|e| invalid(format!("\n  {e}; check the path")))?;
    parse_intent(&text).map_err(|errors| {
        let lines: Vec<_> = errors.iter().map(|m| format!("\n  line {m}")).collect();
        invalid(lines.concat())
    })
}

fn plan_lines(plan: &Plan) -> Vec<String> {
    let mut lines = vec![format!("plan {} on configuration {}", plan.id, plan.base)];
    lines.extend(change_lines(plan));
    lines.push(format!("steps on targets: {}", plan.steps.len()));
    let steps = plan.steps.iter().enumerate();
    let shown = steps
        .take(MAX_LINES)
        .map(|(i, s)| format!("  {}. {} {}", i + 1, s.target, describe_step(s)));
    lines.extend(shown);
    lines.extend(omitted(plan.steps.len()));
    lines.extend(estimate_lines(plan));
    lines.extend(
        plan.infeasible
            .iter()
            .map(|c| format!("can't be done: {c}")),
    );
    lines.push(format!(
        "nothing has happened; to accept it: redwingweir confirm {}",
        plan.id
    ));
    lines
}

fn change_lines(plan: &Plan) -> Vec<String> {
    let change = &plan.change;
    let mut lines = vec![format!("change: {}", change.summary())];
    lines.extend(list_lines("model", &change.models));
    lines.extend(list_lines("service", &change.services));
    lines.extend(list_lines("target", &change.targets));
    lines.extend(list_lines("account", &change.accounts));
    lines.extend(list_lines("kind", &change.kinds));
    lines
}

fn list_lines<T: Named>(noun: &str, change: &ListChange<T>) -> Vec<String> {
    let set = change
        .set
        .iter()
        .map(|item| format!("  + {noun} {}", item.name()));
    let removed = change
        .removed
        .iter()
        .map(|name| format!("  - {noun} {name}"));
    let all = change.set.len() + change.removed.len();
    let shown = set.chain(removed).take(MAX_LINES);
    shown.chain(omitted(all)).collect()
}

fn omitted(all: usize) -> Option<String> {
    (all > MAX_LINES).then(|| format!("  and {} more", all - MAX_LINES))
}

fn estimate_lines(plan: &Plan) -> Vec<String> {
    let e = &plan.estimate;
    vec![
        format!(
            "weight store: {:.1} GB, {:.1} s at its rate limit",
            e.bytes as f64 / 1e9,
            e.weight_seconds
        ),
        format!(
            "role changes: {}, {:.0} s of one engine's goodput",
            e.role_changes, e.lost_seconds
        ),
        format!(
            "goodput: {} engines now, at least {} meanwhile, {} after",
            e.engines_before, e.engines_during, e.engines_after
        ),
        format!(
            "objectives: hold while the load is below {:.0}% of what the fleet takes now",
            e.capacity() * 100.0
        ),
    ]
}
