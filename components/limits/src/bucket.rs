//! A token bucket.

use std::time::Duration;

use tokio::time::Instant;

/// Limits a rate and allows bounded bursts.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// Invariant: at most `burst`.
    tokens: f64,
    /// Time until which tokens were added; in the future if the bucket starts later.
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, tokens: burst, updated_at: now }
    }

    /// Creates an empty bucket, to which tokens are added from `start` on.
    pub fn empty(rate: f64, burst: f64, start: Instant) -> Self {
        Self { rate, burst, tokens: 0.0, updated_at: start }
    }

    /// Adds tokens from `start` on, if none have been added yet.
    pub fn start_at(&mut self, start: Instant, now: Instant) {
        if now < self.updated_at {
            self.updated_at = start.max(now);
        }
    }

    /// Changes the rate and the burst; tokens above the new burst are discarded.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes one token, or returns the time until one is available.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE)))
    }

    /// Takes up to `count` tokens and returns their number.
    pub fn take_up_to(&mut self, count: u32, now: Instant) -> u32 {
        self.refill(now);
        let taken = count.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Adds tokens that were taken from another bucket; those beyond the burst are discarded.
    pub fn put(&mut self, count: u32, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + f64::from(count)).min(self.burst);
    }

    /// Returns the number of whole tokens.
    pub fn available(&mut self, now: Instant) -> u32 {
        self.refill(now);
        self.tokens as u32
    }

    /// Returns the time until one token is available; `Duration::MAX` if there will be none.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        let until_start = self.updated_at.saturating_duration_since(now);
        let filling = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX);
        until_start.saturating_add(filling)
    }

    /// Whether the bucket is full.
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= self.burst
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
