//! A budget of second tries, as a fraction of recent successes.

/// Second tries that may be sent before any success, so that a quiet service can retry at all.
const FIRST_TRIES: f64 = 3.0;

/// Most second tries that successes can save up. It bounds the burst when a service fails whole.
const MAX_SAVED_TRIES: f64 = 20.0;

/// Counts what may still be tried again.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Invariant: from 0 to `MAX_SAVED_TRIES`.
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: FIRST_TRIES }
    }
}

impl RetryBudget {
    /// A budget for a few tries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a success, which allows `percent` of a second try.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MAX_SAVED_TRIES);
    }

    /// Takes one second try, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
