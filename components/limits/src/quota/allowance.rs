//! Credits of an entry VM that has no relay.

use std::time::Duration;

use tokio::time::Instant;

use model::AccountQuota;

use crate::quota::{ALLOWANCE_RATIO, QuotaLimits};

/// Credits that an entry VM creates itself while it has no relay: one in each round, usable for one
/// window. Unlike a bucket, it is not filled at all VMs at once after a long time without requests.
#[derive(Debug, Clone)]
pub(super) struct OwnAllowance {
    /// Position in the round at `started_at`, as a fraction of the round. It differs between VMs.
    phase: f64,
    started_at: Instant,
    /// Round in which the last credit was used.
    used_round: Option<u64>,
}

impl OwnAllowance {
    /// Starts the first round. `phase` is a random number from 0 to 1.
    pub(super) fn new(phase: f64, now: Instant) -> Self {
        Self { phase, started_at: now, used_round: None }
    }

    /// Uses the credit of this round. Returns `false` if there is none.
    pub(super) fn try_take(
        &mut self,
        limits: &QuotaLimits,
        quota: AccountQuota,
        fleet_size: u32,
        now: Instant,
    ) -> bool {
        let rate = quota.rate.0 * limits.over * ALLOWANCE_RATIO / f64::from(fleet_size.max(1));
        let Ok(round_length) = Duration::try_from_secs_f64(1.0 / rate) else {
            return false;
        };
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        let position = self.phase + elapsed / round_length.as_secs_f64();
        let round = position as u64;
        let since_start = round_length.mul_f64(position.fract());
        // The credit of the round that began before the relay was lost isn't this VM's.
        if round == 0 || self.used_round >= Some(round) || since_start > limits.window {
            return false;
        }
        self.used_round = Some(round);
        true
    }
}
