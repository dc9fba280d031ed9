//! Ejection of backend servers that fail.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest request in the smoothed failure ratio.
const FAILURE_WEIGHT: f64 = 0.2;

/// Smoothed failure ratio from which a server is ejected: about three failures in a row.
const EJECT_RATIO: f64 = 0.45;

/// First time that a server is ejected for.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time that a server is ejected for.
const LONGEST_EJECTION: Duration = Duration::from_secs(20);

/// Requests that must succeed in a row before ejections are forgotten.
const FORGIVE_SUCCESSES: u32 = 20;

/// Recent failures of one server.
#[derive(Debug)]
pub(crate) struct FailureRecord {
    /// Smoothed part of requests that failed, from 0 to 1.
    ratio: f64,
    successes_in_row: u32,
    /// Ejections since the last time that the server was forgiven.
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl FailureRecord {
    pub(crate) fn new() -> Self {
        Self { ratio: 0.0, successes_in_row: 0, ejections: 0, ejected_until: None }
    }

    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether an ejection ended and no request has succeeded since.
    pub(crate) fn is_on_trial(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    pub(crate) fn succeed(&mut self) {
        self.ratio *= 1.0 - FAILURE_WEIGHT;
        self.ejected_until = None;
        self.successes_in_row += 1;
        if self.successes_in_row >= FORGIVE_SUCCESSES {
            self.ejections = 0;
        }
    }

    /// Notes a failure; ejects the server when it fails too often and `may_eject`.
    pub(crate) fn fail(&mut self, is_unreachable: bool, may_eject: bool, now: Instant) {
        self.ratio += (1.0 - self.ratio) * FAILURE_WEIGHT;
        self.successes_in_row = 0;
        let was_on_trial = self.is_on_trial(now);
        let is_due = is_unreachable || was_on_trial || self.ratio >= EJECT_RATIO;
        if !is_due || !may_eject || self.is_ejected(now) {
            return;
        }
        let factor = 1 << self.ejections.min(10);
        self.ejected_until = Some(now + (FIRST_EJECTION * factor).min(LONGEST_EJECTION));
        self.ejections += 1;
    }
}
