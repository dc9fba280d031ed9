//! Divides the slack of an attempt budget that the whole fleet shares.
//!
//! For a service with few requests, the ratio alone allows less than one extra attempt at each
//! entry VM, so that no request there could ever be retried. The slack fills this gap. It is
//! divided in two steps that need no coordination: each relay has an equal share of it and divides
//! that share among the entry VMs that subscribe to it. The sum stays within the slack, however
//! unevenly the entry VMs are spread over the relays.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Fraction of the slack that is distributed. The rest covers entry VMs that change their relay.
const DISTRIBUTED_FRACTION: f64 = 0.9;

/// Minimum member count of a relay until it has run for a whole window: it can't know which entry
/// VMs took from the budget before its start. The value is a third of 150 VMs, which is more than
/// any fleet in use has.
const ASSUMED_MEMBERS: u32 = 50;

/// Tracks the number of entry VMs among which a relay divides its share.
#[derive(Debug)]
pub struct MemberCount {
    window: Duration,
    started_at: Instant,
    /// Times and member counts. Invariant: ordered by time with decreasing counts, so that the
    /// first is the peak within the window.
    peaks: VecDeque<(Instant, u32)>,
}

impl MemberCount {
    /// Creates the count of a relay that starts now. Attempts that a member took count against the
    /// budget for `window`.
    pub fn new(window: Duration, now: Instant) -> Self {
        Self { window, started_at: now, peaks: VecDeque::new() }
    }

    /// Records the current number of members.
    pub fn record(&mut self, members: u32, now: Instant) {
        while self.peaks.back().is_some_and(|(_, count)| *count <= members) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, members));
    }

    /// Returns the highest number of members at any time within the window. Members that have left
    /// since are included, because they took from the budget before they left.
    pub fn peak(&mut self, now: Instant) -> u32 {
        // A count is valid until the next one is recorded, so the first expires together with the
        // start of the second.
        while self.peaks.get(1).is_some_and(|(until, _)| now >= *until + self.window) {
            self.peaks.pop_front();
        }
        let observed = self.peaks.front().map_or(1, |(_, members)| *members);
        match now < self.started_at + self.window {
            true => observed.max(ASSUMED_MEMBERS),
            false => observed,
        }
    }
}

/// Returns one entry VM's share of `slack`, which is divided among `relays` relays, and by each of
/// them among `members` entry VMs.
pub fn slack_share(slack: f64, relays: usize, members: u32) -> f64 {
    if relays == 0 || members == 0 {
        return 0.0;
    }
    slack * DISTRIBUTED_FRACTION / relays as f64 / f64::from(members)
}
