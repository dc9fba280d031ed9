//! The number of relays that divide a fleet-wide budget, while it changes.

use std::collections::VecDeque;

use tokio::time::Instant;

/// Number of relays of which each holds an equal part of a budget.
///
/// The VMs learn at different moments that the set of relays has changed. Until all of them know, a
/// relay may still use its part by an earlier number. So each relay keeps to the smallest of its
/// parts that may be in use, and a relay that was added holds none meanwhile: the parts then never
/// exceed the budget.
#[derive(Debug, Clone)]
pub struct RelayCount {
    current: usize,
    /// Earlier numbers and the time until which each counts.
    earlier: VecDeque<(Instant, usize)>,
}

impl RelayCount {
    /// Creates a number without earlier ones.
    pub fn new(relays: usize) -> Self {
        Self { current: relays, earlier: VecDeque::new() }
    }

    /// Changes the number. The previous one counts until `until`.
    pub fn change(&mut self, relays: usize, until: Instant) {
        if relays != self.current {
            self.add_earlier(self.current, until);
            self.current = relays;
        }
    }

    /// Adds an earlier number, which counts until `until`.
    pub fn add_earlier(&mut self, relays: usize, until: Instant) {
        self.earlier.push_back((until, relays));
    }

    /// Changes the time until which all earlier numbers count.
    pub fn set_end(&mut self, until: Instant) {
        for (end, _) in &mut self.earlier {
            *end = until;
        }
    }

    /// Returns the number of parts of which a relay holds one; at least 1.
    pub fn parts(&mut self, now: Instant) -> usize {
        self.earlier.retain(|(until, _)| now < *until);
        let earlier = self.earlier.iter().map(|(_, relays)| *relays);
        earlier.chain([self.current, 1]).max().unwrap_or(1)
    }
}
