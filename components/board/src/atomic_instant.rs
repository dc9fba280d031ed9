//! A point in time that threads can set and read without a lock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// An instant stored as an atomic count of microseconds since `base`.
#[derive(Debug)]
pub struct AtomicInstant {
    base: Instant,
    micros: AtomicU64,
}

impl AtomicInstant {
    /// Creates an instant that equals `now`. No earlier instant can be stored.
    pub fn new(now: Instant) -> Self {
        Self { base: now, micros: AtomicU64::new(0) }
    }

    /// Sets the instant; one before `base` is stored as `base`.
    pub fn set(&self, at: Instant) {
        let micros = at.saturating_duration_since(self.base).as_micros() as u64;
        self.micros.store(micros, Ordering::Release);
    }

    /// Returns the instant.
    pub fn get(&self) -> Instant {
        self.base + Duration::from_micros(self.micros.load(Ordering::Acquire))
    }
}
