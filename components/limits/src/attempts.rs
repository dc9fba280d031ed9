//! A budget of extra attempts over a sliding window.
//!
//! An extra attempt is a retry or a hedge of a request that has already reached a backend server.
//! Without a budget, every entry VM would send each request several times when a whole service
//! fails. The budget holds for the whole fleet without coordination, since each entry VM stays
//! within the ratio of the requests that it received itself.
//!
//! In every window, the arrivals of extra attempts at the servers are at most the slack plus the
//! ratio of `COUNTED_IN_WINDOW` of the requests in that window and the remaining share of those in
//! the window that started half a window earlier. An arrival may be later than the decision by
//! `AttemptLimits::arrival_delay`, and the load may end right after it. The second window keeps
//! requests counted in these cases; with fixed shares, the bound of the fleet is the sum of the
//! bounds of its entry VMs, however unevenly the load is spread over them.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Number of steps into which the sliding window is divided.
const WINDOW_STEPS: usize = 100;

/// Half a window, by which the second counted window starts earlier.
const HALF_WINDOW_STEPS: usize = WINDOW_STEPS / 2;

/// Share of the ratio that is earned by the requests of the window itself.
const COUNTED_IN_WINDOW: f64 = 0.5;

/// Steps at the start of a window whose requests aren't counted: one that the window may cover only
/// in part, and one since a caller sends a request before it arrives.
const UNCOUNTED_STEPS: usize = 2;

/// Limits of an `AttemptBudget`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLimits {
    /// Extra attempts allowed per request received in the window.
    pub ratio: f64,
    /// Extra attempts allowed per window in addition to the ratio, at this entry VM.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Longest time from taking an extra attempt until it arrives at its server.
    pub arrival_delay: Duration,
}

impl AttemptLimits {
    /// Returns how long a taken extra attempt counts.
    pub fn retention(&self) -> Duration {
        self.step_length() * (WINDOW_STEPS + self.delay_steps() + 1) as u32
    }

    /// Number of steps that an arrival may be later than its decision.
    fn delay_steps(&self) -> usize {
        let step_seconds = self.step_length().as_secs_f64();
        (self.arrival_delay.as_secs_f64() / step_seconds).ceil() as usize
    }

    fn step_length(&self) -> Duration {
        self.window / WINDOW_STEPS as u32
    }
}

/// Counts requests and extra attempts of one service at this entry VM.
#[derive(Debug)]
pub struct AttemptBudget {
    limits: AttemptLimits,
    /// Time from which the slack no longer applies; `None` if it doesn't expire.
    slack_valid_until: Option<Instant>,
    /// Start of the last step.
    last_step_at: Option<Instant>,
    /// Counts of consecutive steps. Invariant: covers at most one and a half windows and
    /// `delay_steps`.
    steps: VecDeque<StepCounts>,
}

#[derive(Debug, Clone, Copy, Default)]
struct StepCounts {
    requests: f64,
    extra: f64,
}

impl AttemptBudget {
    /// Creates a budget without any counted requests.
    pub fn new(limits: AttemptLimits) -> Self {
        Self { limits, slack_valid_until: None, last_step_at: None, steps: VecDeque::new() }
    }

    /// Sets this entry VM's share of the slack, which applies from now on until `valid_until`.
    pub fn set_slack(&mut self, slack: f64, valid_until: Instant) {
        self.limits.slack = slack;
        self.slack_valid_until = Some(valid_until);
    }

    /// Changes the number of extra attempts allowed per request.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.limits.ratio = ratio;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.current_step(now).requests += 1.0;
    }

    /// Whether `try_take_extra` would succeed.
    pub fn has_extra(&mut self, now: Instant) -> bool {
        self.current_step(now);
        let is_slack_valid = self.slack_valid_until.is_none_or(|until| now < until);
        self.is_extra_allowed(if is_slack_valid { self.limits.slack } else { 0.0 })
    }

    /// Takes one extra attempt from the budget; returns `false` if the budget is exhausted. The
    /// attempt must arrive at its server within `AttemptLimits::arrival_delay`.
    pub fn try_take_extra(&mut self, now: Instant) -> bool {
        let is_allowed = self.has_extra(now);
        if is_allowed {
            self.current_step(now).extra += 1.0;
        }
        is_allowed
    }

    /// Whether one more extra attempt stays within the bound in every window that may contain its
    /// arrival, if no further request arrives.
    fn is_extra_allowed(&self, slack: f64) -> bool {
        let counts = CumulativeCounts::new(&self.steps);
        let end = self.steps.len() as isize;
        let delay_steps = self.limits.delay_steps() as isize;
        let half_window = HALF_WINDOW_STEPS as isize;
        // Windows are identified by the step in which they start, which is negative before the
        // first one in `steps`. The earliest window ends in the current step, the latest one starts
        // at the latest arrival.
        let earliest = end - 1 - WINDOW_STEPS as isize;
        let latest = end - 1 + delay_steps;
        (earliest..=latest).all(|start| {
            let extra = counts.extra(start - delay_steps, end);
            let counted_from = start + UNCOUNTED_STEPS as isize;
            let in_window = counts.requests(counted_from, end);
            let half_window_earlier =
                counts.requests(counted_from - half_window, start + half_window);
            let counted =
                COUNTED_IN_WINDOW * in_window + (1.0 - COUNTED_IN_WINDOW) * half_window_earlier;
            extra + 1.0 <= counted * self.limits.ratio + slack
        })
    }

    /// Returns the step that `now` belongs to, after removing steps that are too old.
    fn current_step(&mut self, now: Instant) -> &mut StepCounts {
        let step_length = self.limits.step_length();
        let retained = WINDOW_STEPS + HALF_WINDOW_STEPS + self.limits.delay_steps();
        let last_step_at = *self.last_step_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last_step_at);
        let new_steps = (elapsed.as_nanos() / step_length.as_nanos().max(1)) as usize;
        if new_steps > retained {
            self.steps.clear();
            self.last_step_at = Some(now);
        } else {
            self.steps.extend(std::iter::repeat_n(StepCounts::default(), new_steps));
            self.last_step_at = Some(last_step_at + step_length * new_steps as u32);
        }
        if self.steps.is_empty() {
            self.steps.push_back(StepCounts::default());
        }
        let excess = self.steps.len().saturating_sub(retained);
        self.steps.drain(..excess);
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

/// Sums over the first steps of a budget, by their number.
struct CumulativeCounts {
    sums: Vec<StepCounts>,
}

impl CumulativeCounts {
    fn new(steps: &VecDeque<StepCounts>) -> Self {
        let mut sum = StepCounts::default();
        let mut sums = Vec::with_capacity(steps.len() + 1);
        sums.push(sum);
        for step in steps {
            sum.requests += step.requests;
            sum.extra += step.extra;
            sums.push(sum);
        }
        Self { sums }
    }

    fn requests(&self, start: isize, end: isize) -> f64 {
        (self.at(end).requests - self.at(start).requests).max(0.0)
    }

    fn extra(&self, start: isize, end: isize) -> f64 {
        (self.at(end).extra - self.at(start).extra).max(0.0)
    }

    /// Returns the sum before a step. Steps before the first one and after the last one are empty.
    fn at(&self, step: isize) -> StepCounts {
        self.sums[step.clamp(0, self.sums.len() as isize - 1) as usize]
    }
}
