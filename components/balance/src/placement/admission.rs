//! Admission: whether a request is sent, queued or refused, when it is hedged, and the retry delay
//! of refused callers.
//!
//! Load pattern: more work than slots for several seconds. A request in a server's queue takes the
//! slot of one that could still meet its target, so requests are queued at the entry VM instead,
//! and only while they can meet their own target.

use std::ops::Range;
use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::placement::estimate::{PlacementEstimate, RequestShape};

/// Minimum interval between two checks of a queued request for a free server: a twentieth of the
/// shortest latency target in use.
const MIN_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks by an entry VM with queued requests, as a fraction of the typical
/// service time. Each check probes several servers, so it costs more than a short further wait.
const QUEUE_POLL_RATIO: f64 = 0.1;

/// Servers that are probed concurrently in one round.
pub const PROBES_PER_ROUND: usize = 3;

/// Maximum number of probe rounds, each with other servers, until one is acceptable.
pub const MAX_PROBE_ROUNDS: usize = 3;

/// Timeout for opening a connection, which takes about 2 ms including the round trip.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between checks whether the budget allows a hedged attempt.
pub const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum delay before a hedged attempt, as a fraction of the target.
const HEDGE_TARGET_RATIO: f64 = 0.6;

/// Retry delay for a saturated service, as a fraction of the caller's remaining time. Callers honor
/// delays up to a third of it.
const LONG_RETRY_RATIO: Range<f64> = 0.2..0.32;

/// Retry delay after a refusal for a reason other than saturation, as a fraction of the typical
/// service time.
const SHORT_RETRY_RATIO: Range<f64> = 0.05..0.25;

/// Largest cost, in typical service times, at which a server is chosen without waiting for the
/// reports of others.
const GOOD_COST_RATIO: f64 = 1.15;

/// Largest cost, in typical service times, at which a server is chosen without another probe round.
const ACCEPTABLE_COST_RATIO: f64 = 1.6;

/// Largest expected time, which keeps sums with it in range whatever servers report.
const MAX_EXPECTED_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Time limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestTimes {
    /// Latency target: the time by which the caller wants its response.
    pub target_at: Instant,
    /// Time at which the route's or the caller's timeout expires, whichever is first.
    pub deadline: Instant,
}

/// Decision on a request for which the best server is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to that server.
    Send,
    /// Keep it at the entry VM and choose a server again after a delay.
    Queue,
    /// Refuse it, since no server can complete it in time.
    Refuse,
}

/// How much of a group's capacity is in use, by the reports of its servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupLoad {
    /// There are free slots for all requests, also for late ones.
    Light,
    /// Free slots are needed by requests that can still meet their target.
    Heavy,
    /// Nearly all slots are in use: several requests compete for each free one.
    Saturated,
}

/// Decides on a request from the estimate for its best server.
///
/// A request that would miss its target at the best server is queued while another server could
/// still meet it: the best ones of this moment may be slow, and faster ones become free. Once the
/// target is out of reach, it is sent to a free slot while the load is light, since the capacity
/// would otherwise be unused. Under heavy load it is refused: it would take the slot of a request
/// that can still be on time, and slow down the one beside it. If the group is saturated, a request
/// is sent only to a free slot: several entry VMs see the same free slot, so their requests would
/// wait at the server. If the speed of the server isn't known, a free slot counts as in time while
/// the target is in reach: most machines are fast, and a wait brings no better knowledge.
pub fn admit(
    estimate: &PlacementEstimate,
    shape: RequestShape,
    times: RequestTimes,
    load: GroupLoad,
    now: Instant,
) -> AdmissionDecision {
    if now + shape.service_time > times.deadline {
        return AdmissionDecision::Refuse;
    }
    let is_free = estimate.wait_seconds <= 0.0;
    let is_out_of_reach = now + shape.service_time > times.target_at;
    let is_likely_in_time = is_free && !estimate.is_informed && !is_out_of_reach;
    let is_in_time = is_likely_in_time || now + estimate.expected_time() <= times.target_at;
    let may_send = match load {
        GroupLoad::Light => is_in_time || (is_free && is_out_of_reach),
        GroupLoad::Heavy => is_in_time,
        GroupLoad::Saturated => is_in_time && is_free,
    };
    if may_send {
        return AdmissionDecision::Send;
    }
    match is_out_of_reach {
        true => AdmissionDecision::Refuse,
        false => AdmissionDecision::Queue,
    }
}

/// Returns the mean delay before a queued request chooses a server again, while its entry VM has
/// `queued` requests of the service waiting.
///
/// The delay grows with `queued`, so an entry VM checks at a constant rate: more checks would find
/// the same free slots, and each one sends probes to the servers.
pub fn queue_poll_interval(queued: usize, shape: RequestShape) -> Duration {
    MIN_QUEUE_POLL_INTERVAL.max(shape.service_time.mul_f64(QUEUE_POLL_RATIO * queued as f64))
}

/// Returns the delay after which a request without a response may be hedged.
pub fn hedge_delay(estimate: &PlacementEstimate, target: Duration) -> Duration {
    estimate.expected_time().max(target.mul_f64(HEDGE_TARGET_RATIO))
}

/// Returns the retry delay after a refusal for lack of capacity. It is close to the longest that
/// callers honor, since this attempt can't meet its target and the load needs time to drop.
/// `remaining` is the caller's remaining time.
pub fn long_retry_delay(remaining: Duration, random: &mut impl Rng) -> Duration {
    remaining.mul_f64(random.random_range(LONG_RETRY_RATIO))
}

/// Returns the retry delay after a refusal for a reason other than saturation. It is short, since
/// an early retry is as likely to be accepted as a late one.
/// `remaining` is the caller's remaining time.
pub fn short_retry_delay(
    shape: RequestShape,
    remaining: Duration,
    random: &mut impl Rng,
) -> Duration {
    let delay = shape.service_time.mul_f64(random.random_range(SHORT_RETRY_RATIO));
    delay.min(remaining.mul_f64(LONG_RETRY_RATIO.end))
}

/// Returns the retry delay after a refusal because the limits of all servers allow no request for
/// `wait`. `remaining` is the caller's remaining time.
pub fn limited_retry_delay(wait: Duration, remaining: Duration) -> Duration {
    wait.min(remaining.mul_f64(LONG_RETRY_RATIO.end))
}

impl PlacementEstimate {
    /// Expected time until the response.
    pub fn expected_time(&self) -> Duration {
        let time = Duration::try_from_secs_f64(self.wait_seconds + self.run_seconds);
        time.unwrap_or(MAX_EXPECTED_TIME).min(MAX_EXPECTED_TIME)
    }

    /// Whether the server may be chosen without waiting for the reports of others.
    pub fn is_good(&self, shape: RequestShape) -> bool {
        self.is_within(shape, GOOD_COST_RATIO)
    }

    /// Whether the server may be chosen without another probe round.
    pub fn is_acceptable(&self, shape: RequestShape) -> bool {
        self.is_within(shape, ACCEPTABLE_COST_RATIO)
    }

    fn is_within(&self, shape: RequestShape, max_cost_ratio: f64) -> bool {
        self.cost_seconds <= shape.service_time.as_secs_f64() * max_cost_ratio
    }
}
