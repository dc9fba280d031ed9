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
const HOLD_STEP: Duration = Duration::from_millis(20);

/// Part of a request's usual time between two looks of an entry VM that holds several. About as often
/// does a slot come free for it on the users' platform.
const LOOK_PART: f64 = 0.1;

/// Servers that are asked for their load at a time.
pub const ASKED: usize = 3;

/// Rounds of asking other servers when none of the asked ones is good.
pub const ROUNDS: usize = 2;

/// Longest time to open a connection. It takes about 2 ms with the way there and back.
pub const CONNECT_TIME: Duration = Duration::from_millis(150);

/// Time between two tries to begin a second send that the budget forbids.
pub const HEDGE_PAUSE: Duration = Duration::from_millis(100);

/// Part of the target after which a slow first send gets a second one beside it.
const HEDGE_PART: f64 = 0.6;

/// Part of the caller's time at which it comes back to a busy service. Callers honour a third.
const HONOURED_PART: Range<f64> = 0.2..0.32;

/// Part of the usual time of a request after which a caller comes back to a service that refused it
/// though it was not busy.
const SOON_PART: Range<f64> = 0.05..0.25;

/// A server is good enough to be taken without looking at others, up to this many usual times.
const GOOD_ENOUGH: f64 = 1.15;

/// A server is taken after one round of asking, up to this many usual times.
const ACCEPTABLE: f64 = 1.6;

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
pub enum AdmissionStep {
    /// It goes to that server.
    Send,
    /// It waits a little and looks again.
    Hold,
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
    is_crowded: bool,
    now: Instant,
) -> AdmissionStep {
    if now + shape.work > times.deadline {
        return AdmissionStep::Refuse;
    }
    let is_in_time = now + estimate.expected() <= times.target_at;
    let is_free = estimate.wait <= 0.0;
    let may_send = match is_crowded {
        true => is_in_time && is_free,
        false => is_in_time || is_free,
    };
    if may_send {
        return AdmissionStep::Send;
    }
    match now + shape.work > times.target_at {
        true => AdmissionStep::Refuse,
        false => AdmissionStep::Hold,
    }
}

/// Mean time until a held request looks for a server again, where its entry VM holds so many of the
/// service. The entry VM looks about as often however many it holds: more looks find the same free
/// slots, and the servers have to answer them.
pub fn hold_step(held: usize, shape: RequestShape) -> Duration {
    HOLD_STEP.max(shape.work.mul_f64(LOOK_PART * held as f64))
}

/// When a request that is sent now and not answered may get a second send.
pub fn hedge_after(estimate: &PlacementEstimate, target: Duration) -> Duration {
    estimate.expected().max(target.mul_f64(HEDGE_PART))
}

/// When a caller may come back after servers had no room: as late as it honours, since this
/// attempt's target is out of reach and the load must pass. `left` is the caller's time.
pub fn come_back_late(left: Duration, random: &mut impl Rng) -> Duration {
    left.mul_f64(random.random_range(HONOURED_PART))
}

/// When a caller may come back after servers refused the request for another reason: soon, since
/// another try is as likely to be taken then.
pub fn come_back_soon(shape: RequestShape, left: Duration, random: &mut impl Rng) -> Duration {
    let soon = shape.work.mul_f64(random.random_range(SOON_PART));
    soon.min(left.mul_f64(HONOURED_PART.end))
}

impl PlacementEstimate {
    /// Expected time until the answer.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.wait + self.run)
    }

    /// Whether a server may be taken without waiting for other reports.
    pub fn is_good(&self, shape: RequestShape) -> bool {
        self.is_within(shape, GOOD_ENOUGH)
    }

    /// Whether a server may be taken without another round of asking.
    pub fn is_acceptable(&self, shape: RequestShape) -> bool {
        self.is_within(shape, ACCEPTABLE)
    }

    fn is_within(&self, shape: RequestShape, factor: f64) -> bool {
        self.cost <= shape.work.as_secs_f64() * factor
    }
}
