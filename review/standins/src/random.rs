//! Random numbers.

use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};

/// A generator with a seed of its own.
pub struct Random {
    state: AtomicU64,
}

impl Random {
    pub fn new() -> Self {
        Self { state: AtomicU64::new(RandomState::new().hash_one(1)) }
    }

    /// Returns a number from 0 to 1 (splitmix64).
    pub fn next(&self) -> f64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut bits = self.state.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ bits >> 31) >> 11) as f64 / (1u64 << 53) as f64
    }
}
