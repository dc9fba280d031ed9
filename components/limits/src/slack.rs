//! Divides the slack of a budget that the whole fleet shares.
//!
//! Load pattern answered: a service with few requests has a budget below one further arrival at each
//! entry VM, so that no request there could ever be sent again. The slack is divided in two steps
//! that need no agreement: each relay has an equal part of it and divides that among the entry VMs
//! that subscribe to it. However unevenly they subscribe, the sum stays within the slack.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Part of the slack that is handed out. The rest covers VMs that change their relay.
const DISTRIBUTED_FRACTION: f64 = 0.9;

/// Members that a relay assumes until it has seen a whole window: a third of 150, more VMs than
/// the users run.
const ASSUMED_MEMBERS: u32 = 50;

/// Counts the entry VMs among which a relay divides its part.
#[derive(Debug)]
pub struct MemberCount {
    window: Duration,
    started_at: Instant,
    /// Invariant: in order of time, counts falling. The first is the most within the window.
    peaks: VecDeque<(Instant, u32)>,
}

impl MemberCount {
    /// A relay that starts now. What a member took counts for `window`.
    pub fn new(window: Duration, now: Instant) -> Self {
        Self { window, started_at: now, peaks: VecDeque::new() }
    }

    /// Notes how many members there are now.
    pub fn record(&mut self, members: u32, now: Instant) {
        while self.peaks.back().is_some_and(|(_, count)| *count <= members) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, members));
    }

    /// The most members at any time within the window. Members that are gone took from the budget
    /// while they were there.
    pub fn peak(&mut self, now: Instant) -> u32 {
        // A count holds until the next one, so the first is dropped when the second is old too.
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

/// The part of one of `members` entry VMs at one of `relays` relays.
pub fn slack_share(slack: f64, relays: usize, members: u32) -> f64 {
    if relays == 0 || members == 0 {
        return 0.0;
    }
    slack * DISTRIBUTED_FRACTION / relays as f64 / f64::from(members)
}
