//! Random spread of recurring work.

use std::time::Duration;

use rand::RngExt;

/// A random time from half to one and a half of `mean`, so that equal VMs do not act in step.
pub fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
