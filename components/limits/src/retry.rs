//! A budget of retries, as a fraction of recent successes.

/// Retries allowed before the first success, so that a service with few requests can retry at all.
const INITIAL_RETRIES: f64 = 3.0;

/// Maximum number of retries that successes can accumulate. It bounds the burst of retries when a
/// whole service fails.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Counts the retries that are still allowed.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries left, which may be fractional. Invariant: from 0 to `MAX_SAVED_RETRIES`.
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: INITIAL_RETRIES }
    }
}

impl RetryBudget {
    /// Creates a budget with the initial retries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a success, which adds `percent` hundredths of a retry.
    pub fn record_success(&mut self, percent: u32) {
        self.available = (self.available + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if less than one is left.
    pub fn try_take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
