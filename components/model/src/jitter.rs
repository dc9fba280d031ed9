//! Random jitter for the intervals of recurring tasks.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Returns a random duration from 0.5 to 1.5 times `mean`, so that the tasks of different VMs don't
/// run in lockstep.
pub fn jittered(mean: Duration) -> Duration {
    jittered_with(mean, &mut rand::rng())
}

/// Like [`jittered`], with a given random number generator.
pub fn jittered_with(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.5..1.5))
}
