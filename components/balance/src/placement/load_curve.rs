//! Learns how servers slow down when their slots fill up.
//!
//! Load pattern: bursts in which nearly all slots are in use. On some deployments a request in the
//! last free slot takes 1.7 times as long, on others its time doesn't change; the choice between a
//! nearly full server that is near and a free one that is far depends on it.

/// Number of levels: no slot, one slot, and more slots free beside the request.
const LEVELS: usize = 3;

/// Least slowdown of a request by the number of slots that it leaves free. The last free slot of a
/// report may be taken by another entry VM before the request arrives, which then waits.
const MIN_SLOWDOWNS: [f64; LEVELS] = [1.4, 1.0, 1.0];

/// Step by which a sample moves the median, as a fraction of it.
const MEDIAN_STEP_FRACTION: f64 = 0.03;

/// Upper limit of a slowdown. Larger ones come from a server's queue or a slow machine.
const MAX_SLOWDOWN: f64 = 3.0;

/// Median slowdown of a request by the number of slots that it leaves free at its server.
#[derive(Debug, Clone)]
pub struct LoadCurve {
    /// Invariant: each from that of `MIN_SLOWDOWNS` to `MAX_SLOWDOWN`.
    slowdowns: [f64; LEVELS],
}

impl Default for LoadCurve {
    fn default() -> Self {
        Self { slowdowns: MIN_SLOWDOWNS }
    }
}

impl LoadCurve {
    /// Returns the slowdown of a request that leaves this number of slots free, or a negative
    /// number if it has to wait for a slot.
    pub fn slowdown(&self, free_slots: f64) -> f64 {
        self.slowdowns[level(free_slots)]
    }

    /// Applies the observed slowdown of a request that left this number of slots free.
    pub fn observe(&mut self, free_slots: f64, slowdown: f64) {
        if !slowdown.is_finite() {
            return;
        }
        let level = level(free_slots);
        let learned = &mut self.slowdowns[level];
        let factor = match slowdown > *learned {
            true => 1.0 + MEDIAN_STEP_FRACTION,
            false => 1.0 - MEDIAN_STEP_FRACTION,
        };
        *learned = (*learned * factor).clamp(MIN_SLOWDOWNS[level], MAX_SLOWDOWN);
    }
}

fn level(free_slots: f64) -> usize {
    free_slots.round().clamp(0.0, (LEVELS - 1) as f64) as usize
}
