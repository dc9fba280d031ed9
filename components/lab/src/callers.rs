//! Callers: their arrival times, their choice of an entry VM, and their outcomes.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::LabScenario;

/// XORed with a run's seed, so that arrivals and decisions use independent random sequences.
const ARRIVAL_SEED: u64 = 0x6172_7269_7661_6c73;

/// Returns the arrival times of callers in ascending order. They depend on the scenario and the
/// seed only, so every policy gets the same.
pub(crate) fn arrival_times(scenario: &LabScenario, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed ^ ARRIVAL_SEED);
    let peak_rate = scenario.rate_per_s * scenario.peak_load_factor();
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // Samples a Poisson process at the peak rate and thins it to the rate at that time.
        let uniform: f64 = 1.0 - random.random::<f64>();
        at += Duration::from_secs_f64(-uniform.ln() / peak_rate);
        if at >= scenario.duration() {
            return arrivals;
        }
        let relative_load = scenario.load_factor_at(at) / scenario.peak_load_factor();
        if random.random::<f64>() < relative_load {
            arrivals.push(at);
        }
    }
}

/// Chooses entry VMs for callers at random, weighted by `LabScenario::vm_skew`.
pub(crate) struct VmSelector {
    /// Cumulative sum of the weights up to each VM; the last is the total.
    cumulative_weights: Vec<f64>,
}

impl VmSelector {
    pub(crate) fn new(scenario: &LabScenario) -> Self {
        let last_vm = scenario.vms.saturating_sub(1).max(1) as f64;
        let mut sum = 0.0;
        let cumulative_weights = (0..scenario.vms).map(|vm| {
            sum += 1.0 + (scenario.vm_skew - 1.0) * vm as f64 / last_vm;
            sum
        });
        Self { cumulative_weights: cumulative_weights.collect() }
    }

    pub(crate) fn choose(&self, random: &mut StdRng) -> usize {
        let total_weight = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let draw = random.random::<f64>() * total_weight;
        self.cumulative_weights
            .partition_point(|sum| *sum <= draw)
            .min(self.cumulative_weights.len() - 1)
    }
}

/// One caller, with its retries and its outcome.
pub(crate) struct ModelCaller {
    pub(crate) first_arrival: Duration,
    pub(crate) retries_left: u32,
    pub(crate) outcome: Option<CallerOutcome>,
}

/// Final outcome of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// Received a response, this long after its first arrival.
    Responded(Duration),
    /// Refused, with no retries left.
    Refused,
    /// No response before the deadline.
    Failed,
}
