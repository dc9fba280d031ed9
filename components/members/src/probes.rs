//! Division of a service's probe budget among the fleet's slots.

use std::time::Duration;

use siphasher::sip::SipHasher13;

use model::ProbeRate;

/// Seed of the hash that spreads services over slots. Hash and seed must be the same on every
/// entry VM, whatever its version, so the hash is one with a published definition.
const SERVICE_HASH_SEED: u64 = 0x7072_6f62;

/// How much longer than its rate asks a part waits between two probes, so that delays on the way
/// don't bring two of them into one second.
const INTERVAL_MARGIN_FACTOR: f64 = 1.1;

/// One slot's part of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeShare {
    /// Parts that the slot owns.
    pub part_count: u32,
    /// Least time between two probes of one part.
    pub interval: Duration,
}

/// The parts of a service's budget that a slot owns.
///
/// A budget of B probes a second is cut into as many parts of one probe a second as fit (one
/// slower part below 1), and each part has one slot. So within any second the fleet sends at most
/// as many probes as there are parts, whatever the phases of the slots' clocks.
pub fn probe_share(service: &str, budget: ProbeRate, slot: u32, slot_count: u32) -> ProbeShare {
    if budget.0 <= 0.0 || slot >= slot_count {
        return ProbeShare { part_count: 0, interval: Duration::from_secs(1) };
    }
    let total_parts = (budget.0.floor() as u32).max(1);
    let interval_s = if budget.0 < 1.0 { 1.0 / budget.0 } else { 1.0 };
    let hash = SipHasher13::new_with_keys(SERVICE_HASH_SEED, 0).hash(service.as_bytes());
    let first_slot = (hash % u64::from(slot_count)) as u32;
    let rank = (slot + slot_count - first_slot) % slot_count;
    let part_count = total_parts / slot_count + u32::from(rank < total_parts % slot_count);
    ProbeShare {
        part_count,
        interval: Duration::from_secs_f64(interval_s * INTERVAL_MARGIN_FACTOR),
    }
}
