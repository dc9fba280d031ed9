//! State that an entry VM keeps about one server that reports its load.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use model::{RequestRate, ServerId, ZoneName};

use crate::eject::FailureHistory;
use crate::placement::cold::{ColdLimits, ListedWarmUp, WarmUpState, Warmth};
use crate::placement::turns::{NamedLimit, SendGate, SendTurns};

/// Weight of the newest report in the moving average of a server's slowness.
const NEWEST_REPORT_WEIGHT: f64 = 0.1;

/// A server's report of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Ratio of the current run time of a request to its typical one; 1 is typical.
    pub slowness: f64,
}

/// Time at which the first of several servers accepts a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstReturn {
    /// The time.
    pub at: Instant,
    /// Whether that server wants no requests until then. Otherwise its limit allows none.
    pub is_resting: bool,
}

/// An entry of the server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementServer {
    /// Identity of the server.
    pub id: ServerId,
    /// Start time of this incarnation, from the list. Invariant: differs between incarnations with
    /// the same ID.
    pub started_at_ms: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Remaining warm-up by the entry; `None` if the server isn't cold by it.
    pub warm_up: Option<ListedWarmUp>,
}

/// One incarnation of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// Identity of the server.
    pub id: ServerId,
    /// Start time of the incarnation, from the list.
    pub started_at_ms: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
}

impl ServerIncarnation {
    pub(crate) fn key(&self) -> IncarnationKey<'_> {
        (&self.id, self.started_at_ms, self.address)
    }
}

/// What together identifies an incarnation.
type IncarnationKey<'a> = (&'a ServerId, u64, SocketAddr);

impl PlacementServer {
    /// Returns the incarnation that the entry describes.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
            address: self.address,
        }
    }

    pub(crate) fn key(&self) -> IncarnationKey<'_> {
        (&self.id, self.started_at_ms, self.address)
    }
}

/// The last report of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastReport {
    /// Reported requests of other entry VMs.
    pub(crate) remote_in_flight: f64,
    pub(crate) slowness: f64,
    pub(crate) received_at: Instant,
}

/// What decides when servers that have a limit may get a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendRules<'a> {
    /// This entry VM's turns; `None` if it shares no limit.
    pub(crate) turns: Option<&'a SendTurns>,
    /// Rate at which all entry VMs together send requests to a cold server; `None` if there is no
    /// limit for cold servers.
    pub(crate) cold_rate: Option<RequestRate>,
    /// Whether probes tell whether servers are warm.
    pub(crate) uses_probes: bool,
}

impl<'a> SendRules<'a> {
    pub(crate) fn new(
        turns: Option<&'a SendTurns>,
        cold_limits: Option<&ColdLimits>,
        uses_probes: bool,
    ) -> Self {
        let cold_rate = cold_limits.map(|limits| limits.divided_rate(turns));
        Self { turns, cold_rate, uses_probes }
    }

    /// Whether a server may be sent requests without regard to its warm-up; always without a limit
    /// for cold servers.
    pub(crate) fn warmth(&self, server: &ServerState, now: Instant) -> Warmth {
        match self.cold_rate {
            Some(_) => server.warm_up.warmth(self.uses_probes, now),
            None => Warmth::Warm,
        }
    }
}

/// State of one server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) listed: PlacementServer,
    /// Starts of the unfinished requests of this entry VM. Invariant: ascending.
    started_at: Vec<Instant>,
    pub(crate) report: Option<LastReport>,
    /// Moving average of the slowness over the reports of this incarnation.
    pub(crate) typical_slowness: f64,
    pub(crate) failures: FailureHistory,
    /// Limit named by the last response.
    pub(crate) limit: Option<NamedLimit>,
    pub(crate) warm_up: WarmUpState,
    pub(crate) gate: SendGate,
    /// Whether this incarnation said that it leaves.
    pub(crate) said_leaving: bool,
    /// Whether the server's zone is evacuated.
    pub(crate) is_evacuated: bool,
    /// Time until which the server wants no requests.
    pub(crate) rest_until: Option<Instant>,
    /// Whether it is a preferred server of this entry VM; always true in a small group.
    pub(crate) is_preferred: bool,
}

impl ServerState {
    pub(crate) fn new(listed: PlacementServer, typical_slowness: f64) -> Self {
        let mut warm_up = WarmUpState::default();
        warm_up.record_entry(listed.warm_up);
        Self {
            gate: SendGate::new(&listed.id),
            listed,
            started_at: Vec::new(),
            report: None,
            typical_slowness,
            failures: FailureHistory::new(),
            limit: None,
            warm_up,
            said_leaving: false,
            is_evacuated: false,
            rest_until: None,
            is_preferred: true,
        }
    }

    /// Whether the server may get a new request, by its list entry, what it said itself and its
    /// limits.
    pub(crate) fn accepts_request(&self, rules: &SendRules<'_>, now: Instant) -> bool {
        !self.is_withdrawn(now) && self.limit_wait(rules, now).is_zero()
    }

    /// Whether the server may get a new request if a probe shows that it isn't cold.
    pub(crate) fn may_accept_request(&self, rules: &SendRules<'_>, now: Instant) -> bool {
        if self.is_withdrawn(now) {
            return false;
        }
        match rules.warmth(self, now) {
            Warmth::Unknown => self.named_wait(rules, now).is_zero(),
            Warmth::Warm | Warmth::Cold => self.limit_wait(rules, now).is_zero(),
        }
    }

    /// Whether a request for which `record_sent` was called at `taken_at` may be sent now.
    pub(crate) fn holds_turn(
        &self,
        taken_at: Instant,
        rules: &SendRules<'_>,
        now: Instant,
    ) -> bool {
        let is_cold = rules.warmth(self, now) != Warmth::Warm;
        let cold_rate = rules.cold_rate.filter(|_| is_cold);
        cold_rate.is_none_or(|rate| {
            let rate = self.lowest_rate(Some(rate)).unwrap_or(rate);
            self.gate.holds(taken_at, rate, rules.turns, now)
        })
    }

    /// Records that a request is being sent.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.gate.record_sent(now);
    }

    /// Returns how long to wait until the limits of the server allow a request.
    fn limit_wait(&self, rules: &SendRules<'_>, now: Instant) -> Duration {
        let is_cold = rules.warmth(self, now) != Warmth::Warm;
        self.wait_at(self.lowest_rate(rules.cold_rate.filter(|_| is_cold)), rules, now)
    }

    /// Returns how long to wait until the limit that the server named allows a request.
    fn named_wait(&self, rules: &SendRules<'_>, now: Instant) -> Duration {
        self.wait_at(self.lowest_rate(None), rules, now)
    }

    fn wait_at(&self, rate: Option<RequestRate>, rules: &SendRules<'_>, now: Instant) -> Duration {
        rate.map_or(Duration::ZERO, |rate| self.gate.wait(rate, rules.turns, now))
    }

    /// Returns the lower one of a rate and the limit that the server named; `None` if there is
    /// neither.
    fn lowest_rate(&self, rate: Option<RequestRate>) -> Option<RequestRate> {
        let named = self.limit.as_ref().map(NamedLimit::divided_rate);
        match (named, rate) {
            (Some(named), Some(rate)) if named.0 > rate.0 => Some(rate),
            (named, rate) => named.or(rate),
        }
    }

    /// Whether the server must get neither requests nor probes now.
    pub(crate) fn is_withdrawn(&self, now: Instant) -> bool {
        self.is_leaving() || self.is_evacuated || self.rest_until.is_some_and(|until| now < until)
    }

    /// Whether the server is leaving, by its list entry or by its own word.
    pub(crate) fn is_leaving(&self) -> bool {
        self.listed.is_leaving || self.said_leaving
    }

    /// Records that the server wants no requests for `rest`; returns whether that is longer than
    /// before. A shorter time in a later response doesn't end an earlier one.
    pub(crate) fn record_rest(&mut self, rest: Duration, now: Instant) -> bool {
        let Some(until) = now.checked_add(rest) else {
            return false;
        };
        let is_longer = self.rest_until.is_none_or(|current| until > current);
        if is_longer {
            self.rest_until = Some(until);
        }
        is_longer
    }

    /// Records whether the server's zone is evacuated; returns whether an evacuation ended. All that
    /// is known of the server stays.
    pub(crate) fn set_evacuated(&mut self, is_evacuated: bool) -> bool {
        std::mem::replace(&mut self.is_evacuated, is_evacuated) && !is_evacuated
    }

    /// Returns when the server accepts a request again; `None` if it leaves or its zone is evacuated.
    pub(crate) fn next_request(&self, rules: &SendRules<'_>, now: Instant) -> Option<FirstReturn> {
        if self.is_leaving() || self.is_evacuated {
            return None;
        }
        let named_until = now + self.named_wait(rules, now);
        let limited_until = match rules.warmth(self, now) {
            Warmth::Warm | Warmth::Unknown => named_until,
            Warmth::Cold => {
                let turn_at = now + self.limit_wait(rules, now);
                let warm_at = self.warm_up.cold_until().unwrap_or(turn_at);
                turn_at.min(warm_at).max(named_until)
            }
        };
        let rest_until = self.rest_until.unwrap_or(now);
        let is_resting = rest_until > limited_until;
        Some(FirstReturn { at: rest_until.max(limited_until), is_resting })
    }

    /// Applies a newer list entry if it is of the same incarnation; returns whether it is.
    pub(crate) fn update_listing(&mut self, listed: &PlacementServer) -> bool {
        if self.listed.key() != listed.key() {
            return false;
        }
        self.warm_up.record_entry(listed.warm_up);
        self.listed = listed.clone();
        true
    }

    /// Applies a load report, which includes the requests of this entry VM.
    pub(crate) fn apply_report(&mut self, load: ServerLoad, now: Instant) {
        self.record_slowness(load.slowness);
        self.set_report(load, now);
    }

    /// Replaces the last report without learning from the new one.
    pub(crate) fn set_report(&mut self, load: ServerLoad, now: Instant) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        let remote_in_flight = (total - f64::from(self.local_in_flight())).max(0.0);
        self.listed.slots = load.slots.max(1);
        self.report =
            Some(LastReport { remote_in_flight, slowness: load.slowness, received_at: now });
    }

    /// Updates the moving average of the slowness.
    pub(crate) fn record_slowness(&mut self, slowness: f64) {
        self.typical_slowness += (slowness - self.typical_slowness) * NEWEST_REPORT_WEIGHT;
    }

    pub(crate) fn start_request(&mut self, now: Instant) {
        self.started_at.push(now);
    }

    /// Removes an unfinished request by its start.
    pub(crate) fn end_request(&mut self, started_at: Instant) {
        if let Some(index) = self.started_at.iter().position(|start| *start == started_at) {
            self.started_at.remove(index);
        }
    }

    /// Returns the number of unfinished requests of this entry VM.
    pub(crate) fn local_in_flight(&self) -> u32 {
        self.started_at.len() as u32
    }

    /// Returns the age of the oldest unfinished request.
    pub(crate) fn oldest_request_age(&self, now: Instant) -> Option<Duration> {
        self.started_at.first().map(|start| now.saturating_duration_since(*start))
    }

    /// Returns the age of the last report; `None` before the first.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.map(|report| now.saturating_duration_since(report.received_at))
    }
}
