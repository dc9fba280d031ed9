//! Divides the slack of an attempt budget that the whole fleet shares.
//!
//! For a service with few requests, the ratio alone allows less than one extra attempt at each
//! entry VM, so that no request there could ever be retried. The slack fills this gap. It is
//! divided in two steps that need no coordination: each relay has an equal share of it and grants
//! parts of that share to the entry VMs that subscribe to it, its members.
//!
//! What a member takes counts in every window that contains it. So a relay grants a member more only
//! once what it granted to others before has stopped counting: however the members join, leave, move
//! between relays or fail, the grants that count at any time stay within the relay's share.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use model::FastMap;

/// Fraction of the slack that is distributed. The rest covers clocks that run at different speeds.
const DISTRIBUTED_FRACTION: f64 = 0.9;

/// Smallest grant that is worth telling a member, as a fraction of the relay's share.
const MIN_GRANT: f64 = 1e-6;

/// Identity of a member, unique over the time of its relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberId(pub u64);

/// Grants of a relay to its members, as fractions of its share.
#[derive(Debug)]
pub struct ShareLedger {
    /// How long a grant counts after it was lowered or its member has left.
    retention: Duration,
    /// Time from which grants are made: until then, grants of a previous start may still count.
    grants_from: Instant,
    /// Invariant: at most 1 together with `released`.
    granted: FastMap<MemberId, f64>,
    granted_sum: f64,
    /// Parts of earlier grants that still count, and until when. Invariant: ascending by time.
    released: VecDeque<(Instant, f64)>,
    released_sum: f64,
}

impl ShareLedger {
    /// Creates the ledger of a relay that starts now. A grant still counts for `retention` after it
    /// ends. If this is not the first start of the fleet, grants of a previous start may count too,
    /// so none are made for that time.
    pub fn new(retention: Duration, is_first_start: bool, now: Instant) -> Self {
        Self {
            retention,
            grants_from: if is_first_start { now } else { now + retention },
            granted: FastMap::default(),
            granted_sum: 0.0,
            released: VecDeque::new(),
            released_sum: 0.0,
        }
    }

    /// Sets the time until which another relay, in whose place this one is, may make grants. None are
    /// made while these may count.
    pub fn set_start(&mut self, handover_end: Instant) {
        self.grants_from = handover_end + self.retention;
    }

    /// Adds a member without a grant.
    pub fn join(&mut self, member: MemberId) {
        self.granted.entry(member).or_insert(0.0);
    }

    /// Removes a member, whose grant counts for some time.
    pub fn leave(&mut self, member: MemberId, now: Instant) {
        if let Some(grant) = self.granted.remove(&member) {
            self.granted_sum -= grant;
            self.release(grant, now);
        }
    }

    /// Returns the grant of a member from now on: an equal part of the relay's share, or what is
    /// left of it.
    pub fn grant(&mut self, member: MemberId, now: Instant) -> f64 {
        self.forget_expired(now);
        let equal_part = 1.0 / self.granted.len().max(1) as f64;
        let free = (1.0 - self.granted_sum - self.released_sum).max(0.0);
        let Some(current) = self.granted.get_mut(&member) else {
            return 0.0;
        };
        let previous = *current;
        *current = match now < self.grants_from {
            true => 0.0,
            false => equal_part.min(previous + free),
        };
        let grant = *current;
        self.granted_sum += grant - previous;
        if grant < previous {
            self.release(previous - grant, now);
        }
        grant
    }

    fn release(&mut self, part: f64, now: Instant) {
        if part > 0.0 {
            self.released.push_back((now + self.retention, part));
            self.released_sum += part;
        }
    }

    fn forget_expired(&mut self, now: Instant) {
        while let Some((until, part)) = self.released.front().copied() {
            if now < until {
                return;
            }
            self.released.pop_front();
            self.released_sum -= part;
        }
        // Sums of fractions are not exact.
        self.released_sum = 0.0;
    }
}

/// Returns the number of equal shares of which a grant is at least one; what a relay sends in place
/// of the grant.
pub fn share_divisor(grant: f64) -> u32 {
    match grant >= MIN_GRANT {
        // A quotient that is whole but for rounding is not rounded up.
        true => (1.0 / grant - MIN_GRANT).ceil() as u32,
        false => u32::MAX,
    }
}

/// Returns one entry VM's share of `slack`, which is divided among `relays` relays, and by each of
/// them into `divisor` equal shares.
pub fn slack_share(slack: f64, relays: usize, divisor: u32) -> f64 {
    if relays == 0 || divisor == 0 {
        return 0.0;
    }
    slack * DISTRIBUTED_FRACTION / relays as f64 / f64::from(divisor)
}
