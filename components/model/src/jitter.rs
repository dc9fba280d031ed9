//! Random spread of recurring work.

use std::time::Duration;

use rand::{Rng, RngExt};

/// A random time from half to one and a half of `mean`, so that equal VMs do not act in step.
pub fn jittered(mean: Duration) -> Duration {
    jittered_with(mean, &mut rand::rng())
}

/// The same from a random source.
pub fn jittered_with(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.5..1.5))
}
