//! Whether a request is sent, held or refused, when it is sent a second time, and when a refused
//! caller comes back.
//!
//! Load pattern answered: more work than slots for some seconds. A request in a server's queue takes
//! the slot of one that could still be in time, so it waits at the entry VM instead, and only as long
//! as it can still be in time.

use std::ops::Range;
use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::placement::estimate::{PlacementEstimate, RequestShape};

/// Shortest time between two looks of a held request for a free server. A twentieth of the shortest
/// target of the users.
const MIN_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Part of a request's usual time between two looks of an entry VM that holds several. About as often
/// does a slot come free for it on the users' platform.
const QUEUE_POLL_RATIO: f64 = 0.1;

/// Servers that are asked for their load at a time.
pub const PROBES_PER_ROUND: usize = 3;

/// Rounds of asking other servers when none of the asked ones is good.
pub const MAX_PROBE_ROUNDS: usize = 2;

/// Longest time to open a connection. It takes about 2 ms with the way there and back.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two tries to begin a second send that the budget forbids.
pub const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the target after which a slow first send gets a second one beside it.
const HEDGE_TARGET_RATIO: f64 = 0.6;

/// Part of the caller's time at which it comes back to a busy service. Callers honour a third.
const LONG_RETRY_RATIO: Range<f64> = 0.2..0.32;

/// Part of the usual time of a request after which a caller comes back to a service that refused it
/// though it was not busy.
const SHORT_RETRY_RATIO: Range<f64> = 0.05..0.25;

/// A server is good enough to be taken without looking at others, up to this many usual times.
const GOOD_COST_RATIO: f64 = 1.15;

/// A server is taken after one round of asking, up to this many usual times.
const ACCEPTABLE_COST_RATIO: f64 = 1.6;

/// When a request should have ended.
#[derive(Debug, Clone, Copy)]
pub struct RequestTimes {
    /// When the caller would like to have its answer.
    pub target_at: Instant,
    /// When the route's time or the caller's is over.
    pub deadline: Instant,
}

/// What happens to a request for which the best server is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It goes to that server.
    Send,
    /// It waits a little and looks again.
    Queue,
    /// It is refused: nothing can end it in time.
    Refuse,
}

/// Decides what happens to a request whose best server is expected to take so long.
///
/// While there is room, it goes where a slot is free even when its target is out of reach: the
/// capacity would be lost else. In a crowded group it goes only where a slot is free and its target
/// within reach: what waits at a server was sent there by several entry VMs that saw one free slot,
/// and what is late takes the slot of one that could be in time.
pub fn admit(
    estimate: &PlacementEstimate,
    shape: RequestShape,
    times: RequestTimes,
    is_saturated: bool,
    now: Instant,
) -> AdmissionDecision {
    if now + shape.service_time > times.deadline {
        return AdmissionDecision::Refuse;
    }
    let is_in_time = now + estimate.expected_time() <= times.target_at;
    let is_free = estimate.wait_seconds <= 0.0;
    let may_send = match is_saturated {
        true => is_in_time && is_free,
        false => is_in_time || is_free,
    };
    if may_send {
        return AdmissionDecision::Send;
    }
    match now + shape.service_time > times.target_at {
        true => AdmissionDecision::Refuse,
        false => AdmissionDecision::Queue,
    }
}

/// Mean time until a held request looks for a server again, where its entry VM holds so many of the
/// service. The entry VM looks about as often however many it holds: more looks find the same free
/// slots, and the servers have to answer them.
pub fn queue_poll_interval(queued: usize, shape: RequestShape) -> Duration {
    MIN_QUEUE_POLL_INTERVAL.max(shape.service_time.mul_f64(QUEUE_POLL_RATIO * queued as f64))
}

/// When a request that is sent now and not answered may get a second send.
pub fn hedge_delay(estimate: &PlacementEstimate, target: Duration) -> Duration {
    estimate.expected_time().max(target.mul_f64(HEDGE_TARGET_RATIO))
}

/// When a caller may come back after servers had no room: as late as it honours, since this
/// attempt's target is out of reach and the load must pass. `left` is the caller's time.
pub fn long_retry_delay(left: Duration, random: &mut impl Rng) -> Duration {
    left.mul_f64(random.random_range(LONG_RETRY_RATIO))
}

/// When a caller may come back after servers refused the request for another reason: soon, since
/// another try is as likely to be taken then.
pub fn short_retry_delay(shape: RequestShape, left: Duration, random: &mut impl Rng) -> Duration {
    let delay = shape.service_time.mul_f64(random.random_range(SHORT_RETRY_RATIO));
    delay.min(left.mul_f64(LONG_RETRY_RATIO.end))
}

impl PlacementEstimate {
    /// Expected time until the answer.
    pub fn expected_time(&self) -> Duration {
        Duration::from_secs_f64(self.wait_seconds + self.run_seconds)
    }

    /// Whether a server may be taken without waiting for other reports.
    pub fn is_good(&self, shape: RequestShape) -> bool {
        self.is_within(shape, GOOD_COST_RATIO)
    }

    /// Whether a server may be taken without another round of asking.
    pub fn is_acceptable(&self, shape: RequestShape) -> bool {
        self.is_within(shape, ACCEPTABLE_COST_RATIO)
    }

    fn is_within(&self, shape: RequestShape, factor: f64) -> bool {
        self.cost_seconds <= shape.service_time.as_secs_f64() * factor
    }
}
