//! Division of a service's probe budget among the fleet's slots.

use std::time::Duration;

use siphasher::sip::SipHasher13;

use model::ProbeRate;

/// Seed of the hash that distributes services over slots. Hash and seed must be the same on every
/// entry VM, whatever its release, so the hash is one with a published specification.
const SERVICE_HASH_KEY: u64 = 0x7072_6f62;

/// Factor by which the interval between two probes of a part is longer than its rate requires, so
/// that two of them don't arrive within the same second when network delays vary.
const INTERVAL_MARGIN_FACTOR: f64 = 1.1;

/// Share of a probe budget that belongs to one slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeShare {
    /// Number of parts that the slot owns.
    pub part_count: u32,
    /// Minimum interval between two probes of one part.
    pub interval: Duration,
}

/// Returns the share of a service's probe budget that a slot owns.
///
/// A budget of B probes per second is divided into floor(B) parts of one probe per second, or into
/// one slower part if B is below 1. Each part belongs to one slot. So within any second the fleet
/// sends at most as many probes as there are parts, whatever the phases of the slots' clocks.
pub fn probe_share(service: &str, budget: ProbeRate, slot: u32, slot_count: u32) -> ProbeShare {
    if budget.0 <= 0.0 || slot >= slot_count {
        return ProbeShare { part_count: 0, interval: Duration::from_secs(1) };
    }
    let total_parts = (budget.0.floor() as u32).max(1);
    let interval_s = if budget.0 < 1.0 { 1.0 / budget.0 } else { 1.0 };
    let hash = SipHasher13::new_with_keys(SERVICE_HASH_KEY, 0).hash(service.as_bytes());
    let first_slot = (hash % u64::from(slot_count)) as u32;
    let rank = (slot + slot_count - first_slot) % slot_count;
    let part_count = total_parts / slot_count + u32::from(rank < total_parts % slot_count);
    ProbeShare {
        part_count,
        interval: Duration::from_secs_f64(interval_s * INTERVAL_MARGIN_FACTOR),
    }
}
