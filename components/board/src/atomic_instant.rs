//! A point in time that several threads may set and read.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// An instant in an atomic number. It counts microseconds from when it was made.
#[derive(Debug)]
pub struct AtomicInstant {
    base: Instant,
    micros: AtomicU64,
}

impl AtomicInstant {
    /// An instant that is already past.
    pub fn new(now: Instant) -> Self {
        Self { base: now, micros: AtomicU64::new(0) }
    }

    /// Sets the instant.
    pub fn set(&self, at: Instant) {
        let micros = at.saturating_duration_since(self.base).as_micros() as u64;
        self.micros.store(micros, Ordering::Release);
    }

    /// The instant.
    pub fn get(&self) -> Instant {
        self.base + Duration::from_micros(self.micros.load(Ordering::Acquire))
    }
}
