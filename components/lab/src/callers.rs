//! Callers: when they come, to which entry VM, and how often they come back.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::LabScenario;

/// Mixed into a run's seed, so that arrivals don't share numbers with decisions.
const ARRIVAL_SEED: u64 = 0x6172_7269_7661_6c73;

/// When callers come, in order. The same for every policy.
pub(crate) fn arrivals(scenario: &LabScenario, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed ^ ARRIVAL_SEED);
    let peak = scenario.rate_per_s * scenario.peak_load();
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // Exponential pauses at the peak rate, thinned to the rate of the moment.
        let chance: f64 = 1.0 - random.random::<f64>();
        at += Duration::from_secs_f64(-chance.ln() / peak);
        if at >= scenario.length() {
            return arrivals;
        }
        let load = scenario.load_at(at) / scenario.peak_load();
        if random.random::<f64>() < load {
            arrivals.push(at);
        }
    }
}

/// Chooses entry VMs for callers, unevenly.
pub(crate) struct VmShares {
    /// Sums of the shares up to each VM; the last is the whole.
    sums: Vec<f64>,
}

impl VmShares {
    pub(crate) fn new(scenario: &LabScenario) -> Self {
        let last = scenario.vms.saturating_sub(1).max(1) as f64;
        let mut sum = 0.0;
        let sums = (0..scenario.vms).map(|vm| {
            sum += 1.0 + (scenario.vm_skew - 1.0) * vm as f64 / last;
            sum
        });
        Self { sums: sums.collect() }
    }

    pub(crate) fn choose(&self, random: &mut StdRng) -> usize {
        let whole = self.sums.last().copied().unwrap_or(1.0);
        let at = random.random::<f64>() * whole;
        self.sums.partition_point(|sum| *sum <= at).min(self.sums.len() - 1)
    }
}

/// One caller and what it wants.
pub(crate) struct ModelCaller {
    pub(crate) first_at: Duration,
    pub(crate) returns_left: u32,
    pub(crate) end: Option<CallerEnd>,
}

/// What a caller got in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerEnd {
    /// Its answer, so long after it first came.
    Answered(Duration),
    /// A refusal, and no time to come back.
    Refused,
    /// Nothing before its deadline.
    Failed,
}
