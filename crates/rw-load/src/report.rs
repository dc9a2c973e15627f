//! Formats results as text tables and as an HTML page.

use crate::{Comparison, KindResult, RunResult};
use std::fmt::Write as _;

/// Text table of one run, with a row per kind of work, followed by the role changes and their
/// reasons.
#[must_use]
pub fn run_table(run: &RunResult) -> String {
    let mut text = format!(
        "{:<14} {:>6} {:>6} {:>6} {:>7} {:>7} {:>5} {:>7}  {:>23}  {:>20}\n",
        "kind",
        "sent",
        "good",
        "late",
        "refused",
        "unknown",
        "lost",
        "in 100",
        "first ms 50/95/99",
        "between ms 50/95/99",
    );
    for kind in run.kinds.iter().chain([&run.total]) {
        let KindResult {
            sent,
            good,
            late,
            refused,
            unknown,
            lost,
            first,
            between,
            ..
        } = kind;
        let _ = writeln!(
            text,
            "{:<14} {sent:>6} {good:>6} {late:>6} {refused:>7} {unknown:>7} {lost:>5} {:>7.1}  {:>7.0} {:>7.0} {:>7.0}  {:>6.0} {:>6.0} {:>6.0}",
            kind.kind,
            kind.goodput() * 100.0,
            first.p50,
            first.p95,
            first.p99,
            between.p50,
            between.p95,
            between.p99,
        );
    }
    let _ = writeln!(
        text,
        "role changes {}, prefix hits {:.1} in 100, run twice {}",
        run.changes,
        run.hits * 100.0,
        run.total.doubled,
    );
    for reason in &run.reasons {
        let _ = writeln!(text, "  {reason}");
    }
    text
}

impl Comparison {
    /// Text table of the variants with their goodput, also relative to the first variant.
    #[must_use]
    pub fn ratio_table(&self) -> String {
        let Some(ours) = self.runs.first() else {
            return String::new();
        };
        let mut text = format!(
            "{:<34} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>7}",
            "variant", "in 100", "ratio", "mean", "late", "lost", "roles", "hits",
        );
        for kind in &ours.kinds {
            let _ = write!(text, " {:>11}", kind.kind);
        }
        text.push('\n');
        for (i, run) in self.runs.iter().enumerate() {
            let mark = if i == self.best { " (best static)" } else { "" };
            let _ = write!(
                text,
                "{:<34} {:>7.1} {:>7.3} {:>7.1} {:>6} {:>6} {:>6} {:>7.1}",
                format!("{}{mark}", run.name),
                run.total.goodput() * 100.0,
                run.total.goodput() / ours.total.goodput().max(1e-9),
                run.mean_goodput() * 100.0,
                run.total.late,
                run.total.lost,
                run.changes,
                run.hits * 100.0,
            );
            for kind in &run.kinds {
                let _ = write!(text, " {:>11.1}", kind.goodput() * 100.0);
            }
            text.push('\n');
        }
        text
    }
}

/// HTML page with a bar chart of goodput by variant and the table of each run.
#[must_use]
pub fn html_report(comparison: &Comparison) -> String {
    let height = comparison.runs.len() * 22 + 10;
    let mut bars = String::new();
    for (i, run) in comparison.runs.iter().enumerate() {
        let y = i * 22 + 5;
        let width = run.total.goodput() * 500.0;
        let _ = write!(
            bars,
            "<text x='0' y='{}'>{}</text><rect x='300' y='{y}' width='{width:.0}' height='16' fill='steelblue'/>\
             <text x='{:.0}' y='{}'>{:.1}</text>",
            y + 13,
            run.name,
            305.0 + width,
            y + 13,
            run.total.goodput() * 100.0,
        );
    }
    let tables = comparison
        .runs
        .iter()
        .map(|run| format!("<h2>{}</h2><pre>{}</pre>", run.name, run_table(run)));
    format!(
        "<!doctype html><meta charset='utf-8'><title>{0}</title><h1>{0}, load {1}, seed {2}</h1>\
         <p>Complete responses within their deadline, in percent.</p>\
         <svg width='900' height='{height}' font-family='sans-serif' font-size='12'>{bars}</svg>{3}",
        comparison.profile,
        comparison.load,
        comparison.seed,
        tables.collect::<String>(),
    )
}
