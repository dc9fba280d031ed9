//! Learns how long the speed of a machine persists.
//!
//! Load pattern: machines share their hardware with others and change their speed, on some
//! deployments every 100 ms, on others every minute. A report that is trusted for too long sends
//! requests to machines that have become slow; one that is trusted for too short sends them to
//! machines that still are.

/// Shortest candidate time constant, in seconds.
const SHORTEST_TIME_CONSTANT: f64 = 0.025;

/// Number of candidate time constants; each is twice the one before.
const CANDIDATES: usize = 12;

/// Additional loss of each candidate per step from the prior one, before the first sample.
const PRIOR_LOSS: f64 = 0.5;

/// Factor by which earlier losses decrease with each sample, so that a change of the deployment is
/// learned within some 200 samples.
const LOSS_DECAY: f64 = 0.99;

/// Largest slowness that is compared, so that a few wrong or hostile reports change little.
const MAX_SLOWNESS: f64 = 8.0;

/// Learns the time constant with which a machine's reported slowness decays toward its mean.
///
/// It compares the forecasts of a few candidate constants with what followed, and uses the one with
/// the smallest recent loss. The loss is the squared error, whose best forecast is the mean: speeds
/// have few distinct values, and the most frequent one would hide a slow machine.
#[derive(Debug, Clone)]
pub struct SpeedPersistence {
    /// Decayed sum of the losses of each candidate.
    losses: [f64; CANDIDATES],
    /// Invariant: that of the candidate with the smallest loss. It is kept since every estimate of
    /// a server uses it.
    time_constant: f64,
}

impl SpeedPersistence {
    /// Creates an estimate that uses the candidate closest to `prior_seconds` until there are
    /// samples.
    pub fn new(prior_seconds: f64) -> Self {
        let steps = (prior_seconds / SHORTEST_TIME_CONSTANT).log2();
        let losses = std::array::from_fn(|candidate| PRIOR_LOSS * (candidate as f64 - steps).abs());
        Self { losses, time_constant: best_time_constant(&losses) }
    }

    /// Returns the time constant with the smallest recent loss, in seconds.
    pub fn time_constant(&self) -> f64 {
        self.time_constant
    }

    /// Applies one observation: `forecast` returns the slowness that a time constant predicts for
    /// it, and `observed` is what followed.
    pub fn observe(&mut self, observed: f64, forecast: impl Fn(f64) -> f64) {
        if !(observed.is_finite() && observed > 0.0) {
            return;
        }
        for (candidate, loss) in self.losses.iter_mut().enumerate() {
            let predicted = forecast(candidate_time_constant(candidate));
            let error = observed.min(MAX_SLOWNESS) - predicted.clamp(0.0, MAX_SLOWNESS);
            *loss = *loss * LOSS_DECAY + error * error;
        }
        self.time_constant = best_time_constant(&self.losses);
    }
}

fn best_time_constant(losses: &[f64; CANDIDATES]) -> f64 {
    let best = (0..CANDIDATES).min_by(|one, other| losses[*one].total_cmp(&losses[*other]));
    candidate_time_constant(best.unwrap_or_default())
}

fn candidate_time_constant(candidate: usize) -> f64 {
    SHORTEST_TIME_CONSTANT * f64::from(1_u32 << candidate)
}

/// Returns a reported value after `age` seconds, in which it decays toward the mean.
pub(crate) fn decayed(reported: f64, mean: f64, age: f64, time_constant: f64) -> f64 {
    mean + (reported - mean) * (-age / time_constant.max(f64::MIN_POSITIVE)).exp()
}
