//! A budget of extra attempts at a service over a sliding window.
//!
//! An extra attempt is a retry or a hedge of a request that has already reached a backend server.
//! Without a budget, every entry VM would send each request several times when a whole service
//! fails. The budget holds for the whole fleet without coordination, since each entry VM stays
//! within the ratio of the requests that it received itself.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Number of steps into which the sliding window is divided.
const WINDOW_STEPS: u32 = 20;

/// Limits of an `AttemptBudget`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLimits {
    /// Extra attempts allowed per request received in the window.
    pub ratio: f64,
    /// Extra attempts allowed per window in addition to the ratio, at this entry VM.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Counts requests and extra attempts of one service at this entry VM.
#[derive(Debug)]
pub struct AttemptBudget {
    limits: AttemptLimits,
    /// Invariant: ordered by time, none older than the window plus one step.
    steps: VecDeque<StepCounts>,
}

#[derive(Debug)]
struct StepCounts {
    started_at: Instant,
    requests: f64,
    extra: f64,
}

impl AttemptBudget {
    /// Creates a budget without any counted requests.
    pub fn new(limits: AttemptLimits) -> Self {
        Self { limits, steps: VecDeque::new() }
    }

    /// Sets this entry VM's share of the slack, which applies from now on.
    pub fn set_slack(&mut self, slack: f64) {
        self.limits.slack = slack;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.current_step(now).requests += 1.0;
    }

    /// Takes one extra attempt from the budget; returns `false` if the budget is exhausted.
    pub fn try_take_extra(&mut self, now: Instant) -> bool {
        self.current_step(now);
        let requests: f64 = self.steps.iter().map(|step| step.requests).sum();
        let extra: f64 = self.steps.iter().map(|step| step.extra).sum();
        if extra + 1.0 > requests * self.limits.ratio + self.limits.slack {
            return false;
        }
        self.current_step(now).extra += 1.0;
        true
    }

    /// Returns the step that `now` belongs to, after removing steps that are too old.
    fn current_step(&mut self, now: Instant) -> &mut StepCounts {
        let step_length = self.limits.window / WINDOW_STEPS;
        let retention = self.limits.window + step_length;
        while self.steps.front().is_some_and(|step| now >= step.started_at + retention) {
            self.steps.pop_front();
        }
        let is_step_over =
            self.steps.back().is_none_or(|step| now >= step.started_at + step_length);
        if is_step_over {
            self.steps.push_back(StepCounts { started_at: now, requests: 0.0, extra: 0.0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
