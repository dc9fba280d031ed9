//! Keeps the requests of all entry VMs to a cold server within what it tolerates.
//!
//! Load pattern: a server that has just started, or whose caches are empty, runs requests slowly for
//! some seconds and crashes if it gets many. It looks idle to each of several hundred entry VMs, so
//! without a common limit all of them would send it requests at once, above all when a hundred
//! servers come back at one moment. The VMs take turns at it, as at a server that names a limit, so
//! that it still gets all the work that it tolerates.

use std::time::Duration;

use tokio::time::Instant;

use model::RequestRate;

use crate::placement::turns::SendTurns;

/// Window in which the requests to a cold server are bounded.
const BOUND_WINDOW: Duration = Duration::from_secs(1);

/// Time after the response to a probe for which its server counts as warm: one such window. In it
/// a server that becomes cold gets no more than its usual requests.
const WARM_VALIDITY: Duration = BOUND_WINDOW;

/// Agreed bound of the requests to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Multiple of the tolerated rate that a server may get in any second.
    pub over: f64,
    /// Requests that it may get in any second in addition.
    pub slack: f64,
}

/// Limits of the cold servers of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// Time for which a server is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold server tolerates from all entry VMs together.
    pub rate: RequestRate,
    /// Agreed bound.
    pub bound: ColdBound,
}

impl ColdLimits {
    /// Returns the rate at which all entry VMs together send requests to a cold server: the agreed
    /// multiple of what it tolerates, or less if turns at that rate could exceed the bound.
    pub(crate) fn divided_rate(&self, turns: Option<&SendTurns>) -> RequestRate {
        let wanted = self.rate.0 * self.bound.over;
        let max_requests = wanted + self.bound.slack;
        let max_rate = turns.map(|turns| turns.max_rate(max_requests, BOUND_WINDOW));
        RequestRate(max_rate.map_or(wanted, |max_rate| wanted.min(max_rate.0)))
    }
}

/// What a response or list entry says about the warm-up of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpResponse {
    /// Time for which the server stays cold, zero if it is warm; `None` if the response doesn't
    /// say.
    pub left: Option<Duration>,
    /// Whether it responds to a probe.
    pub is_probe: bool,
    /// When the request or probe was sent.
    pub sent_at: Instant,
}

/// Remaining warm-up of a server by its list entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedWarmUp {
    /// Sequence number of the entry within the server's incarnation.
    pub sequence: u64,
    /// Time for which the server stays cold.
    pub left: Duration,
    /// When the entry was received. It may have been written earlier.
    pub received_at: Instant,
}

impl ListedWarmUp {
    fn is_same_entry(&self, other: &Self) -> bool {
        (self.sequence, self.left) == (other.sequence, other.left)
    }
}

/// Whether a server may be sent requests without regard to its warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Warmth {
    /// It may.
    Warm,
    /// It may be cold. The response to a probe would tell.
    Unknown,
    /// It is cold.
    Cold,
}

/// What an entry VM knows of the warm-up of one incarnation of a server.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WarmUpState {
    /// Time until which the server is cold, by its own word.
    cold_until: Option<Instant>,
    /// Since when this is known.
    known_at: Option<Instant>,
    /// Time until which it may be cold, without its own word.
    suspected_until: Option<Instant>,
    /// Since when this is suspected.
    suspected_at: Option<Instant>,
    /// When the last probe with a response was sent.
    seen_at: Option<Instant>,
    /// Last list entry that was applied.
    entry: Option<ListedWarmUp>,
}

impl WarmUpState {
    /// Returns the state; `uses_probes` says whether probes tell whether servers are warm.
    pub(crate) fn warmth(&self, uses_probes: bool, now: Instant) -> Warmth {
        if self.is_cold(now) {
            return Warmth::Cold;
        }
        let is_suspected = self.suspected_until.is_some_and(|until| now < until);
        let is_unseen =
            uses_probes && self.seen_at.is_none_or(|seen_at| now > seen_at + WARM_VALIDITY);
        match is_suspected || is_unseen {
            true => Warmth::Unknown,
            false => Warmth::Warm,
        }
    }

    /// Whether the server is known to be cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Time until which the server is cold, as far as it is known.
    pub(crate) fn cold_until(&self) -> Option<Instant> {
        self.cold_until
    }

    /// Applies a list entry. It may be older than a response, so it never shortens the time. Each
    /// entry is applied once, although it is in all lists until the next one.
    pub(crate) fn record_entry(&mut self, entry: Option<ListedWarmUp>) {
        let is_new =
            |entry: &ListedWarmUp| self.entry.is_none_or(|applied| !applied.is_same_entry(entry));
        let Some(entry) = entry.filter(is_new) else {
            return;
        };
        self.entry = Some(entry);
        let until = entry.received_at.checked_add(entry.left);
        if until.is_some() && self.cold_until < until {
            (self.cold_until, self.known_at) = (until, Some(entry.received_at));
        }
    }

    /// Applies a response of the server. A response shortens the time only if its request was sent
    /// after what is known arrived.
    pub(crate) fn record_response(&mut self, response: WarmUpResponse, now: Instant) {
        if response.is_probe {
            self.seen_at = self.seen_at.max(Some(response.sent_at));
        }
        if (response.is_probe || response.left.is_some())
            && self.suspected_at.is_none_or(|suspected_at| suspected_at <= response.sent_at)
        {
            self.suspected_until = None;
        }
        let Some(until) = response.left.and_then(|left| now.checked_add(left)) else {
            return;
        };
        let is_longer = self.cold_until.is_none_or(|held| held < until);
        if is_longer || self.known_at.is_none_or(|known_at| known_at <= response.sent_at) {
            (self.cold_until, self.known_at) = (Some(until), Some(now));
        }
    }

    /// Records that the server may be cold until `until`, unless it says otherwise from now on.
    pub(crate) fn suspect(&mut self, until: Instant, now: Instant) {
        self.suspected_until = self.suspected_until.max(Some(until));
        self.suspected_at = Some(now);
        self.seen_at = None;
    }
}
