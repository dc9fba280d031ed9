//! Renders summaries as a table.

use std::fmt::Write;

use crate::outcome::{LabSummary, MeanDeviation};

/// Returns a Markdown table with a row for each scenario and policy: shares of callers and extra
/// attempts per caller as mean ± standard deviation over the runs, and quantiles of the response
/// times of all runs in milliseconds.
pub fn render_table(summaries: &[LabSummary]) -> String {
    let mut table = String::from(
        "| scenario | policy | in target | worst windows | late | refused | failed | extra | p50 \
         | p99 |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for summary in summaries {
        let quantile_ms = |quantile| summary.response_times.value_at_quantile(quantile);
        // Writing to a `String` can't fail.
        let _ = writeln!(
            table,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            summary.scenario,
            summary.policy,
            format_mean(summary.within_target),
            format_mean(summary.worst_windows),
            format_mean(summary.late),
            format_mean(summary.refused),
            format_mean(summary.failed),
            format_mean(summary.extra_attempts),
            quantile_ms(0.5),
            quantile_ms(0.99),
        );
    }
    table
}

fn format_mean(value: MeanDeviation) -> String {
    format!("{:.3} ± {:.3}", value.mean, value.std_dev)
}
