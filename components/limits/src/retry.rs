//! A budget of second tries, as a fraction of recent successes.

/// Second tries that may be sent before any success, so that a quiet service can retry at all.
const INITIAL_RETRIES: f64 = 3.0;

/// Most second tries that successes can save up. It bounds the burst when a service fails whole.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Counts what may still be tried again.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Invariant: from 0 to `MAX_SAVED_RETRIES`.
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: INITIAL_RETRIES }
    }
}

impl RetryBudget {
    /// A budget for a few tries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a success, which allows `percent` of a second try.
    pub fn record_success(&mut self, percent: u32) {
        self.available = (self.available + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one second try, if there is one.
    pub fn try_take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
