//! A budget of extra arrivals at a service over a sliding window.
//!
//! Load pattern answered: when a service fails whole, every entry VM would send each request
//! several times. The budget holds over the whole fleet without messages, since each entry VM
//! stays within the ratio of the requests that it received itself.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Steps into which the window is divided.
const WINDOW_STEPS: u32 = 20;

/// What the agreed budget says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLimits {
    /// Extra arrivals for each request of the window.
    pub ratio: f64,
    /// Extra arrivals in a window besides, at this entry VM.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Counts requests and extra arrivals.
#[derive(Debug)]
pub struct AttemptBudget {
    limits: AttemptLimits,
    /// Invariant: in order of time, none older than the window and one step.
    steps: VecDeque<StepCounts>,
}

#[derive(Debug)]
struct StepCounts {
    started_at: Instant,
    requests: f64,
    extra: f64,
}

impl AttemptBudget {
    /// An empty budget.
    pub fn new(limits: AttemptLimits) -> Self {
        Self { limits, steps: VecDeque::new() }
    }

    /// Changes the part of the slack that this entry VM may use from now on.
    pub fn set_slack(&mut self, slack: f64) {
        self.limits.slack = slack;
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.current_step(now).requests += 1.0;
    }

    /// Takes one extra arrival, if the budget allows it.
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
