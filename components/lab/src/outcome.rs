//! What a run came to, and what many runs came to together.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::callers::{CallerEnd, ModelCaller};
use crate::scenario::{LabScenario, millis};

/// Length of the windows of which the worst count, as on the users' platform.
const WINDOW: Duration = Duration::from_secs(2);

/// Windows that count as the worst.
const WORST_WINDOWS: usize = 2;

/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// What one run came to.
#[derive(Debug, Clone, PartialEq)]
pub struct LabOutcome {
    /// Callers.
    pub callers: usize,
    /// Part of the callers with an answer within the target.
    pub in_target: f64,
    /// The same in the two worst windows of 2 s.
    pub worst_windows: f64,
    /// Part of the callers with a later answer.
    pub late: f64,
    /// Part of the callers that were refused for good.
    pub refused: f64,
    /// Part of the callers that got nothing before their deadline.
    pub failed: f64,
    /// Arrivals at servers beyond the first of each attempt, for each caller.
    pub extra: f64,
    /// Times of the answers, in milliseconds.
    pub times: Histogram<u64>,
}

impl LabOutcome {
    pub(crate) fn new(scenario: &LabScenario, callers: &[ModelCaller], extra: usize) -> Self {
        let target = millis(scenario.target_ms);
        let mut times = Histogram::new_with_max(LONGEST_MS, 3).expect("the bounds are valid");
        let mut windows = vec![(0_usize, 0_usize); window_of(scenario.length()) + 1];
        let (mut late, mut refused, mut failed) = (0, 0, 0);
        for caller in callers {
            let window = &mut windows[window_of(caller.first_at)];
            window.0 += 1;
            match caller.end {
                Some(CallerEnd::Answered(time)) => {
                    times.saturating_record(time.as_millis() as u64);
                    match time <= target {
                        true => window.1 += 1,
                        false => late += 1,
                    }
                }
                Some(CallerEnd::Refused) => refused += 1,
                Some(CallerEnd::Failed) | None => failed += 1,
            }
        }
        let in_target = windows.iter().map(|(_, in_target)| in_target).sum();
        let part = |count: usize| count as f64 / callers.len().max(1) as f64;
        Self {
            callers: callers.len(),
            in_target: part(in_target),
            worst_windows: worst(&windows),
            late: part(late),
            refused: part(refused),
            failed: part(failed),
            extra: part(extra),
            times,
        }
    }
}

fn window_of(at: Duration) -> usize {
    (at.as_secs_f64() / WINDOW.as_secs_f64()) as usize
}

fn worst(windows: &[(usize, usize)]) -> f64 {
    let with_callers = windows.iter().filter(|(callers, _)| *callers > 0);
    let mut parts: Vec<f64> =
        with_callers.map(|(callers, in_target)| *in_target as f64 / *callers as f64).collect();
    parts.sort_unstable_by(f64::total_cmp);
    parts.truncate(WORST_WINDOWS);
    parts.iter().sum::<f64>() / parts.len().max(1) as f64
}

/// Mean and standard deviation over runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanSpread {
    /// The mean.
    pub mean: f64,
    /// The standard deviation.
    pub spread: f64,
}

impl MeanSpread {
    /// Over some values.
    pub fn over(values: impl Iterator<Item = f64> + Clone) -> Self {
        let count = values.clone().count().max(1) as f64;
        let mean = values.clone().sum::<f64>() / count;
        let squares: f64 = values.map(|value| (value - mean).powi(2)).sum();
        Self { mean, spread: (squares / (count - 1.0).max(1.0)).sqrt() }
    }
}

/// What a policy came to in a scenario, over many seeds.
#[derive(Debug, Clone)]
pub struct LabSummary {
    /// The scenario.
    pub scenario: Box<str>,
    /// The policy.
    pub policy: &'static str,
    /// Part of the callers with an answer within the target.
    pub in_target: MeanSpread,
    /// The same in the two worst windows.
    pub worst_windows: MeanSpread,
    /// Part of the callers with a later answer.
    pub late: MeanSpread,
    /// Part of the callers that were refused.
    pub refused: MeanSpread,
    /// Part of the callers that got nothing.
    pub failed: MeanSpread,
    /// Further arrivals for each caller.
    pub extra: MeanSpread,
    /// Times of all answers, in milliseconds.
    pub times: Histogram<u64>,
}

/// Puts runs of one scenario and policy together.
pub fn summarize(scenario: &str, policy: &'static str, runs: &[LabOutcome]) -> LabSummary {
    let over = |value: fn(&LabOutcome) -> f64| MeanSpread::over(runs.iter().map(value));
    let mut times = Histogram::new_with_max(LONGEST_MS, 3).expect("the bounds are valid");
    for run in runs {
        times.add(&run.times).expect("histograms of runs have the same bounds");
    }
    LabSummary {
        scenario: scenario.into(),
        policy,
        in_target: over(|run| run.in_target),
        worst_windows: over(|run| run.worst_windows),
        late: over(|run| run.late),
        refused: over(|run| run.refused),
        failed: over(|run| run.failed),
        extra: over(|run| run.extra),
        times,
    }
}
