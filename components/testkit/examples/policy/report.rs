//! Results of runs as text, JSON lines and plots.

use std::sync::atomic::Ordering;

use plotters::prelude::*;
use serde_json::json;

use crate::backend::BackendServer;
use crate::baselines::BalancingPolicy;
use crate::load::LoadOutcome;
use crate::scenarios::Scenario;

/// Bytes of a probe and its response on the wire, including headers.
const PROBE_BYTES: u64 = 220;

/// Results of one policy in one scenario.
pub(crate) struct RunReport {
    scenario: &'static str,
    policy: BalancingPolicy,
    seed: u64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    succeeded: u64,
    failed: u64,
    probes_per_1000: f64,
    retries: u64,
    /// Requests started at the backend servers, including those during the warm-up, per measured
    /// request of the callers.
    amplification: f64,
}

impl RunReport {
    pub(crate) fn new(
        scenario: &Scenario,
        policy: BalancingPolicy,
        seed: u64,
        outcome: LoadOutcome,
        servers: &[BackendServer],
    ) -> Self {
        let quantile_ms =
            |quantile: f64| outcome.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        let total = (outcome.succeeded + outcome.failed).max(1);
        let started_requests: u64 = servers
            .iter()
            .map(|server| server.state.started_requests.load(Ordering::Relaxed))
            .sum();
        Self {
            scenario: scenario.name,
            policy,
            seed,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            succeeded: outcome.succeeded,
            failed: outcome.failed,
            probes_per_1000: outcome.probes as f64 * 1_000.0 / total as f64,
            retries: outcome.retries,
            amplification: started_requests as f64 / total as f64,
        }
    }

    /// Returns the results as one line of text.
    pub(crate) fn text_line(&self) -> String {
        format!(
            "{:<20} {:<12} p50 {:>7.2} ms  p99 {:>8.2} ms  p99.9 {:>8.2} ms  failed {:>5} of \
             {:>6}  probes/1000 {:>7.1}  retries {:>5}",
            self.scenario,
            self.policy.name(),
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.failed,
            self.failed + self.succeeded,
            self.probes_per_1000,
            self.retries,
        )
    }

    fn json_line(&self) -> String {
        json!({
            "scenario": self.scenario,
            "policy": self.policy.name(),
            "seed": self.seed,
            "p50_ms": self.p50_ms,
            "p99_ms": self.p99_ms,
            "p999_ms": self.p999_ms,
            "answered": self.succeeded,
            "failed": self.failed,
            "probes_per_1000": self.probes_per_1000,
            "probe_bytes_per_1000": self.probes_per_1000 * PROBE_BYTES as f64,
            "second_tries": self.retries,
            "amplification": self.amplification,
        })
        .to_string()
    }

    /// Whether at most one request failed per 200 that succeeded. A policy whose requests fail
    /// early can have a low p99, which must not count as better.
    fn is_comparable(&self) -> bool {
        self.failed * 200 <= self.succeeded
    }
}

/// Returns a line with the ratio of the built-in policy's p99 to that of the best baseline.
pub(crate) fn ratio_line(scenario: &Scenario, reports: &[RunReport]) -> Option<String> {
    let built_in = reports.iter().find(|report| report.policy == BalancingPolicy::BuiltIn)?;
    let baselines = reports.iter().filter(|report| report.policy.is_baseline());
    let least_local = reports.iter().find(|report| report.policy == BalancingPolicy::LeastLocal)?;
    let best_baseline = baselines
        .clone()
        .filter(|report| report.is_comparable())
        .min_by(|a, b| a.p99_ms.total_cmp(&b.p99_ms))
        .or_else(|| baselines.min_by(|a, b| a.p99_ms.total_cmp(&b.p99_ms)))?;
    Some(format!(
        "ratio {} p99 chosen/best-baseline {} {:.2} (chosen/least-own {:.2}, failed {} vs. {})",
        scenario.name,
        best_baseline.policy.name(),
        built_in.p99_ms / best_baseline.p99_ms,
        built_in.p99_ms / least_local.p99_ms,
        built_in.failed,
        best_baseline.failed,
    ))
}

/// Writes the JSON lines and the plot of a scenario, replacing those of an earlier run.
pub(crate) fn write_files(folder: &str, scenario: &Scenario, reports: &[RunReport]) {
    let lines: String = reports.iter().map(|report| report.json_line() + "\n").collect();
    let path = format!("{folder}/{}.jsonl", scenario.name);
    std::fs::write(path, lines).expect("the output folder can be written");
    plot(&format!("{folder}/{}.svg", scenario.name), scenario, reports);
}

fn plot(path: &str, scenario: &Scenario, reports: &[RunReport]) {
    let area = SVGBackend::new(path, (900, 400)).into_drawing_area();
    area.fill(&WHITE).expect("the plot can be drawn");
    let max_p999_ms = reports.iter().map(|report| report.p999_ms).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: p50, p99, p99.9 in ms", scenario.name), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..reports.len() as f64, (0.5..max_p999_ms * 1.2).log_scale())
        .expect("the plot can be drawn");
    let names: Vec<&str> = reports.iter().map(|report| report.policy.name()).collect();
    chart
        .configure_mesh()
        .x_labels(reports.len())
        .x_label_formatter(&|x| names.get(*x as usize).copied().unwrap_or_default().to_owned())
        .draw()
        .expect("the plot can be drawn");
    for (number, report) in reports.iter().enumerate() {
        let bars = [
            (report.p999_ms, BLUE.mix(0.2)),
            (report.p99_ms, BLUE.mix(0.5)),
            (report.p50_ms, BLUE.mix(1.0)),
        ];
        for (height, color) in bars {
            let left = number as f64 + 0.15;
            let bar = Rectangle::new([(left, 0.5), (left + 0.7, height.max(0.5))], color.filled());
            chart.draw_series(std::iter::once(bar)).expect("the plot can be drawn");
        }
    }
    area.present().expect("the plot can be written");
}
