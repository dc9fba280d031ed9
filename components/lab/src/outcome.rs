//! Outcome of one run, and summary of several runs.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::callers::{CallerOutcome, ModelCaller};
use crate::scenario::{LabScenario, duration_from_ms};

/// Length of the windows by which callers are grouped, the same as on the hosting platform.
const WINDOW_LENGTH: Duration = Duration::from_secs(2);

/// Number of windows with the lowest share within the target that are averaged.
const WORST_WINDOW_COUNT: usize = 2;

/// Upper bound of the response time histograms; longer times are recorded as this.
const MAX_RESPONSE_TIME_MS: u64 = 60_000;

/// Outcome of one run. Shares are fractions of its callers.
#[derive(Debug, Clone, PartialEq)]
pub struct LabOutcome {
    /// Number of callers.
    pub callers: usize,
    /// Share of callers with a response within the target.
    pub within_target: f64,
    /// Mean of the same share over the two worst windows of 2 s.
    pub worst_windows: f64,
    /// Share of callers with a response after the target.
    pub late: f64,
    /// Share of callers that were refused and had no retries left.
    pub refused: f64,
    /// Share of callers without a response before their deadline.
    pub failed: f64,
    /// Arrivals at servers beyond the first one of each request, per caller.
    pub extra_attempts: f64,
    /// Response times, in milliseconds.
    pub response_times: Histogram<u64>,
}

impl LabOutcome {
    pub(crate) fn new(
        scenario: &LabScenario,
        callers: &[ModelCaller],
        extra_attempts: usize,
    ) -> Self {
        let target = duration_from_ms(scenario.target_ms);
        let mut response_times =
            Histogram::new_with_max(MAX_RESPONSE_TIME_MS, 3).expect("the bounds are valid");
        let mut windows = vec![(0_usize, 0_usize); window_index(scenario.duration()) + 1];
        let (mut late, mut refused, mut failed) = (0, 0, 0);
        for caller in callers {
            let window = &mut windows[window_index(caller.first_arrival)];
            window.0 += 1;
            match caller.outcome {
                Some(CallerOutcome::Responded(time)) => {
                    response_times.saturating_record(time.as_millis() as u64);
                    match time <= target {
                        true => window.1 += 1,
                        false => late += 1,
                    }
                }
                Some(CallerOutcome::Refused) => refused += 1,
                Some(CallerOutcome::Failed) | None => failed += 1,
            }
        }
        let within_target = windows.iter().map(|(_, within_target)| within_target).sum();
        let share = |count: usize| count as f64 / callers.len().max(1) as f64;
        Self {
            callers: callers.len(),
            within_target: share(within_target),
            worst_windows: worst_windows_share(&windows),
            late: share(late),
            refused: share(refused),
            failed: share(failed),
            extra_attempts: share(extra_attempts),
            response_times,
        }
    }
}

fn window_index(at: Duration) -> usize {
    (at.as_secs_f64() / WINDOW_LENGTH.as_secs_f64()) as usize
}

fn worst_windows_share(windows: &[(usize, usize)]) -> f64 {
    let with_callers = windows.iter().filter(|(callers, _)| *callers > 0);
    let mut shares: Vec<f64> = with_callers
        .map(|(callers, within_target)| *within_target as f64 / *callers as f64)
        .collect();
    shares.sort_unstable_by(f64::total_cmp);
    shares.truncate(WORST_WINDOW_COUNT);
    shares.iter().sum::<f64>() / shares.len().max(1) as f64
}

/// Mean and standard deviation of a figure over several runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanDeviation {
    /// Arithmetic mean; 0 without values.
    pub mean: f64,
    /// Sample standard deviation; 0 for a single value.
    pub std_dev: f64,
}

impl MeanDeviation {
    /// Computes the mean and the standard deviation of the values.
    pub fn from_values(values: impl Iterator<Item = f64> + Clone) -> Self {
        let count = values.clone().count().max(1) as f64;
        let mean = values.clone().sum::<f64>() / count;
        let squares: f64 = values.map(|value| (value - mean).powi(2)).sum();
        Self { mean, std_dev: (squares / (count - 1.0).max(1.0)).sqrt() }
    }
}

/// Figures of a policy in a scenario over many seeds.
#[derive(Debug, Clone)]
pub struct LabSummary {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Name of the policy.
    pub policy: &'static str,
    /// Share of callers with a response within the target.
    pub within_target: MeanDeviation,
    /// Mean of the same share over the two worst windows.
    pub worst_windows: MeanDeviation,
    /// Share of callers with a response after the target.
    pub late: MeanDeviation,
    /// Share of callers that were refused.
    pub refused: MeanDeviation,
    /// Share of callers without a response.
    pub failed: MeanDeviation,
    /// Extra attempts per caller.
    pub extra_attempts: MeanDeviation,
    /// Response times of all runs, in milliseconds.
    pub response_times: Histogram<u64>,
}

/// Summarizes runs of one scenario with one policy.
pub fn summarize(scenario: &str, policy: &'static str, runs: &[LabOutcome]) -> LabSummary {
    let mean_of =
        |value: fn(&LabOutcome) -> f64| MeanDeviation::from_values(runs.iter().map(value));
    let mut response_times =
        Histogram::new_with_max(MAX_RESPONSE_TIME_MS, 3).expect("the bounds are valid");
    for run in runs {
        response_times.add(&run.response_times).expect("the histograms have the same bounds");
    }
    LabSummary {
        scenario: scenario.into(),
        policy,
        within_target: mean_of(|run| run.within_target),
        worst_windows: mean_of(|run| run.worst_windows),
        late: mean_of(|run| run.late),
        refused: mean_of(|run| run.refused),
        failed: mean_of(|run| run.failed),
        extra_attempts: mean_of(|run| run.extra_attempts),
        response_times,
    }
}
