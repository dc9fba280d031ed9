//! A budget of extra arrivals at a service over a sliding window.
//!
//! Load pattern answered: when a service fails whole, every entry VM would send each request
//! several times. The budget holds over the whole fleet without messages, since each entry VM
//! stays within the ratio of the requests that it received itself.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Steps into which the window is divided.
const STEPS: u32 = 20;

/// What the agreed budget says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivalLimits {
    /// Extra arrivals for each request of the window.
    pub ratio: f64,
    /// Extra arrivals in a window besides, at this entry VM.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Counts requests and extra arrivals.
#[derive(Debug)]
pub struct ArrivalBudget {
    limits: ArrivalLimits,
    /// Invariant: in order of time, none older than the window and one step.
    steps: VecDeque<StepCounts>,
}

#[derive(Debug)]
struct StepCounts {
    begun_at: Instant,
    requests: f64,
    extra: f64,
}

impl ArrivalBudget {
    /// An empty budget.
    pub fn new(limits: ArrivalLimits) -> Self {
        Self { limits, steps: VecDeque::new() }
    }

    /// Changes the part of the slack that this entry VM may use from now on.
    pub fn set_slack(&mut self, slack: f64) {
        self.limits.slack = slack;
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: Instant) {
        self.step(now).requests += 1.0;
    }

    /// Takes one extra arrival, if the budget allows it.
    pub fn take_extra(&mut self, now: Instant) -> bool {
        self.step(now);
        let requests: f64 = self.steps.iter().map(|step| step.requests).sum();
        let extra: f64 = self.steps.iter().map(|step| step.extra).sum();
        if extra + 1.0 > requests * self.limits.ratio + self.limits.slack {
            return false;
        }
        self.step(now).extra += 1.0;
        true
    }

    fn step(&mut self, now: Instant) -> &mut StepCounts {
        let length = self.limits.window / STEPS;
        let kept = self.limits.window + length;
        while self.steps.front().is_some_and(|step| now >= step.begun_at + kept) {
            self.steps.pop_front();
        }
        let is_over = self.steps.back().is_none_or(|step| now >= step.begun_at + length);
        if is_over {
            self.steps.push_back(StepCounts { begun_at: now, requests: 0.0, extra: 0.0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
