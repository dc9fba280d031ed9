//! Summaries as a table for readers.

use std::fmt::Write;

use crate::outcome::{LabSummary, MeanSpread};

/// A table in Markdown: one line for each scenario and policy, parts of the callers as mean ± standard
/// deviation, times in milliseconds over all runs.
pub fn render_table(summaries: &[LabSummary]) -> String {
    let mut table = String::from(
        "| scenario | policy | in target | worst windows | late | refused | failed | extra | p50 | p99 |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for summary in summaries {
        let quantile = |part| summary.times.value_at_quantile(part);
        // Writing into a text can't fail.
        let _ = writeln!(
            table,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            summary.scenario,
            summary.policy,
            text(summary.in_target),
            text(summary.worst_windows),
            text(summary.late),
            text(summary.refused),
            text(summary.failed),
            text(summary.extra),
            quantile(0.5),
            quantile(0.99),
        );
    }
    table
}

fn text(value: MeanSpread) -> String {
    format!("{:.3} ± {:.3}", value.mean, value.spread)
}
