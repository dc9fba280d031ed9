//! Passive health checks: ejection of backend servers whose requests fail.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest result in the moving average of the failure ratio.
const NEWEST_RESULT_WEIGHT: f64 = 0.2;

/// Failure ratio at which a server is ejected: about three consecutive failures.
const EJECTION_FAILURE_RATIO: f64 = 0.45;

/// Duration of a server's first ejection; it doubles with each further one.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Upper limit of an ejection's duration.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(20);

/// Consecutive successes that reset the ejection count, and with it the next ejection's duration.
const RESET_SUCCESSES: u32 = 20;

/// Recent failures and ejections of one server.
#[derive(Debug)]
pub(crate) struct FailureHistory {
    /// Exponential moving average of failures, from 0 to 1.
    failure_ratio: f64,
    consecutive_successes: u32,
    /// Ejections since the last reset.
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl FailureHistory {
    pub(crate) fn new() -> Self {
        Self { failure_ratio: 0.0, consecutive_successes: 0, ejections: 0, ejected_until: None }
    }

    pub(crate) fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether an ejection has expired and no request has succeeded since.
    pub(crate) fn is_half_open(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    pub(crate) fn record_success(&mut self) {
        self.failure_ratio *= 1.0 - NEWEST_RESULT_WEIGHT;
        self.ejected_until = None;
        self.consecutive_successes += 1;
        if self.consecutive_successes >= RESET_SUCCESSES {
            self.ejections = 0;
        }
    }

    /// Records a failure. If `is_ejection_allowed`, ejects the server when it is unreachable, half
    /// open, or above the failure ratio.
    pub(crate) fn record_failure(
        &mut self,
        is_unreachable: bool,
        is_ejection_allowed: bool,
        now: Instant,
    ) {
        self.failure_ratio += (1.0 - self.failure_ratio) * NEWEST_RESULT_WEIGHT;
        self.consecutive_successes = 0;
        let was_half_open = self.is_half_open(now);
        let is_due =
            is_unreachable || was_half_open || self.failure_ratio >= EJECTION_FAILURE_RATIO;
        if !is_due || !is_ejection_allowed || self.is_ejected(now) {
            return;
        }
        let factor = 1 << self.ejections.min(10);
        self.ejected_until = Some(now + (MIN_EJECTION_TIME * factor).min(MAX_EJECTION_TIME));
        self.ejections += 1;
    }
}
