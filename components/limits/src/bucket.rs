//! A token bucket.

use std::time::Duration;

use tokio::time::Instant;

/// Allows a steady rate with a bounded burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens that come in each second.
    rate: f64,
    /// Most tokens held.
    burst: f64,
    /// Invariant: at most `burst`.
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, tokens: burst, updated_at: now }
    }

    /// Changes rate and burst; tokens above the new burst are lost.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes one token, or tells how long until there is one.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE)))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
