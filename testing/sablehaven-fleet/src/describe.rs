//! What a check and the figures of a run look like on a terminal.

use sablehaven_history::Report;
use sablehaven_standins::caller::RunSummary;

use crate::measure::table::Table;

/// Violations shown of each promise; the others are counted.
const SHOWN_VIOLATIONS: usize = 10;

/// The report as text, with the first violations of each broken promise.
pub fn promises(report: &Report) -> String {
    let mut text = report.to_string();
    for result in &report.results {
        for violation in result.violations.iter().take(SHOWN_VIOLATIONS) {
            text.push_str(&format!("  {}: {}\n", result.promise, violation.what));
        }
        if let Some(left_out) = result.violations.len().checked_sub(SHOWN_VIOLATIONS + 1) {
            text.push_str(&format!(
                "  {}: and {} more\n",
                result.promise,
                left_out + 1
            ));
        }
    }
    text
}

/// The figures of a run as a table.
pub fn summary_text(summary: &RunSummary) -> String {
    let mut table = Table::new(["method", "calls done", "p50 ms", "p99 ms", "p99.9 ms"]);
    let all = std::iter::once((&"all".to_owned(), &summary.latency))
        .chain(&summary.latency_by_method)
        .map(|(name, latency)| {
            [
                name.clone(),
                latency.calls.to_string(),
                format!("{:.1}", latency.p50_ms),
                format!("{:.1}", latency.p99_ms),
                format!("{:.1}", latency.p999_ms),
            ]
        })
        .collect::<Vec<_>>();
    all.into_iter().for_each(|row| table.row(row));
    let outcomes = summary.outcomes.iter();
    let outcomes: Vec<_> = outcomes
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    format!(
        "{table}calls {} ({}), shards covered {:.3} %, extra load {:.2} %\n",
        summary.calls,
        outcomes.join(", "),
        summary.coverage() * 100.0,
        summary.extra_load() * 100.0
    )
}
