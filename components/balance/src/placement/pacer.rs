//! Keeps one entry VM's requests to a server within its share of the limit that the server named.
//!
//! Load pattern: a server in need names a rate that all entry VMs together must keep, each VM
//! learns it from its own next response, and sends the server less than one request in several
//! seconds. A token bucket at each VM would let the whole fleet send at the same moment. Instead
//! each VM may send at its own moments, which are a period apart and start at a random time, and a
//! moment that was not used soon is lost.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use model::RequestRate;

/// Fraction of the limit that the fleet uses on average. The rest covers moments of several VMs that
/// fall together by chance.
const USED_FRACTION: f64 = 0.75;

/// Longest time for which a moment may be used.
const USABLE_TIME: Duration = Duration::from_millis(500);

/// Bounds of the period.
const MIN_PERIOD: Duration = Duration::from_millis(1);
const MAX_PERIOD: Duration = Duration::from_secs(3_600);

/// Moments at which this entry VM may send a request to a server that named a limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestPacer {
    period: Duration,
    /// Next moment, or one that may have passed without being used.
    next_at: Instant,
    /// Time at which a response named the limit first.
    named_at: Instant,
}

impl RequestPacer {
    /// Creates the pacer of a limit of which this VM has the fraction `share`.
    pub(crate) fn new(limit: RequestRate, share: f64, now: Instant, random: &mut impl Rng) -> Self {
        let period = period(limit, share);
        let next_at = now + period.mul_f64(random.random());
        Self { period, next_at, named_at: now }
    }

    /// Returns the time at which a response named the limit first.
    pub(crate) fn named_at(&self) -> Instant {
        self.named_at
    }

    /// Applies a newly named limit, or a new share of it. The next moment moves in proportion, so that the
    /// moments of different VMs stay as spread as they are.
    pub(crate) fn update(&mut self, limit: RequestRate, share: f64, now: Instant) {
        let next_period = period(limit, share);
        if next_period != self.period {
            let remaining = self.next_moment(now).saturating_duration_since(now);
            let ratio = next_period.as_secs_f64() / self.period.as_secs_f64();
            self.next_at = now + remaining.mul_f64(ratio);
            self.period = next_period;
        }
    }

    /// Whether a request may be sent now.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.next_moment(now) <= now
    }

    /// Returns the moment that can be used now, or else the next one.
    pub(crate) fn next_moment(&self, now: Instant) -> Instant {
        let usable_until = self.next_at + USABLE_TIME.min(self.period);
        if now < usable_until {
            return self.next_at;
        }
        let late = now.saturating_duration_since(self.next_at).as_secs_f64();
        let passed_periods = (late / self.period.as_secs_f64()).floor();
        let current = self.next_at + self.period.mul_f64(passed_periods);
        match now < current + USABLE_TIME.min(self.period) {
            true => current,
            false => current + self.period,
        }
    }

    /// Uses the current moment for a request.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.next_at = self.next_moment(now) + self.period;
    }
}

fn period(limit: RequestRate, share: f64) -> Duration {
    bounded_period(limit.0 * share * USED_FRACTION)
}

/// Returns the period of a rate per second, within the bounds of all periods.
pub(crate) fn bounded_period(rate: f64) -> Duration {
    let period = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_PERIOD);
    period.clamp(MIN_PERIOD, MAX_PERIOD)
}
