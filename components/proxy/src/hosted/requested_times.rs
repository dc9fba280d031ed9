//! The time that callers of a route allow for a request.
//!
//! A caller that comes back after a refusal allows less than at its first attempt. What a first
//! attempt allows is not stated anywhere, but is the same for most callers of a route.

use std::time::Duration;

/// Number of recent requests that are remembered.
const CAPACITY: usize = 64;

/// Part of the recent requests that may allow an unusually long time without an effect. Fewer than
/// three quarters of the requests are expected to be later attempts, even when many are refused.
const UNUSUAL_RATIO: f64 = 0.25;

/// Times that recent requests allowed.
#[derive(Debug, Default)]
pub(crate) struct RequestedTimes {
    recent: Vec<Duration>,
    /// Index in `recent` of the oldest entry, once it is full.
    oldest: usize,
}

impl RequestedTimes {
    /// Records the time that a request allows.
    pub(crate) fn record(&mut self, time: Duration) {
        if self.recent.len() < CAPACITY {
            self.recent.push(time);
            return;
        }
        self.recent[self.oldest] = time;
        self.oldest = (self.oldest + 1) % CAPACITY;
    }

    /// Returns the time that first attempts allow; zero before the first request.
    pub(crate) fn first_attempt(&self) -> Duration {
        let mut times = self.recent.clone();
        times.sort_unstable();
        let unusual = (times.len() as f64 * UNUSUAL_RATIO) as usize;
        let index = times.len().saturating_sub(unusual + 1);
        times.get(index).copied().unwrap_or_default()
    }
}
