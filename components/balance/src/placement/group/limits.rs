//! Limits of the servers of a group: those that servers name, and those of cold servers.

use tokio::time::Instant;

use model::ProbeRate;

use crate::placement::cold::{ColdLimits, WarmUpResponse, Warmth};
use crate::placement::group::PlacementGroup;
use crate::placement::server::{SendRules, ServerState};
use crate::placement::turns::{LimitResponse, NamedLimit, SendTurns, check_interval};
use crate::types::ServerTicket;

/// Probes per second with which the fleet checks whether a server still names its limit.
const LIMIT_CHECK_RATE: ProbeRate = ProbeRate(10.0);

impl PlacementGroup {
    /// Sets this entry VM's turns at servers that have a limit. Without turns, it uses all of a
    /// limit.
    pub fn set_turns(&mut self, turns: SendTurns) {
        self.turns = Some(turns);
    }

    /// Sets the limits of cold servers; `None` if they have none.
    pub fn set_cold_limits(&mut self, limits: Option<ColdLimits>) {
        self.cold_limits = limits;
    }

    /// Records what a server's own response says about its warm-up. Returns whether it is cold and
    /// was not known to be.
    pub fn record_warm_up(
        &mut self,
        ticket: ServerTicket,
        response: WarmUpResponse,
        now: Instant,
    ) -> bool {
        let Some(state) = self.state_mut(ticket) else {
            return false;
        };
        let was_cold = state.warm_up.is_cold(now);
        state.warm_up.record_response(response, now);
        let (is_cold, cold_until) = (state.warm_up.is_cold(now), state.warm_up.cold_until());
        self.any_cold_until = self.any_cold_until.max(cold_until);
        is_cold && !was_cold
    }

    /// Returns the number of servers that are cold.
    pub fn cold_servers(&self, now: Instant) -> usize {
        if self.any_cold_until.is_none_or(|until| until <= now) {
            return 0;
        }
        let rules = self.send_rules();
        let states = self.servers.iter().map(|(_, state)| state);
        states.filter(|state| rules.warmth(state, now) == Warmth::Cold).count()
    }

    /// Whether a probe should show whether a server is cold before it gets a request.
    pub fn may_be_cold(&self, ticket: ServerTicket, now: Instant) -> bool {
        let rules = self.send_rules();
        self.state(ticket).is_some_and(|state| rules.warmth(state, now) == Warmth::Unknown)
    }

    /// Whether a request for which `record_sent` was called at `taken_at` may be sent now: the
    /// server isn't cold, or the turn that was taken isn't over.
    pub fn holds_turn(&self, ticket: ServerTicket, taken_at: Instant, now: Instant) -> bool {
        let rules = self.send_rules();
        self.state(ticket).is_some_and(|state| state.holds_turn(taken_at, &rules, now))
    }

    pub(super) fn send_rules(&self) -> SendRules<'_> {
        let uses_probes = self.is_worth_probing();
        SendRules::new(self.turns.as_ref(), self.cold_limits.as_ref(), uses_probes)
    }

    /// Records the limit that a response named, or that it named none. Returns whether the server's
    /// limit changed.
    pub fn record_limit(
        &mut self,
        ticket: ServerTicket,
        named: LimitResponse,
        now: Instant,
    ) -> bool {
        let Some(state) = self.state_mut(ticket) else {
            return false;
        };
        match (named.rate, &mut state.limit) {
            (Some(rate), Some(limit)) => limit.update(rate, named.is_probe),
            (Some(rate), None) => {
                state.limit = Some(NamedLimit::new(rate, named.is_probe, now));
                state.gate.record_limited(now);
                true
            }
            (None, Some(limit)) if limit.is_ended_by(named) => {
                state.limit = None;
                true
            }
            (None, _) => false,
        }
    }

    /// Returns a server whose limit should be checked with a probe now, if any.
    pub fn limit_check(&mut self, now: Instant) -> Option<ServerTicket> {
        let interval = check_interval(self.turns.as_ref(), LIMIT_CHECK_RATE, now);
        self.servers.iter_mut().enumerate().find_map(|(index, (serial, state))| {
            let is_withdrawn = state.is_withdrawn(now);
            let limit = state.limit.as_mut().filter(|limit| now >= limit.checked_at + interval)?;
            if is_withdrawn {
                return None;
            }
            limit.checked_at = now;
            Some(ServerTicket { index, serial: *serial })
        })
    }

    /// Records that a request is being sent to a server, which counts against its limit.
    pub fn record_sent(&mut self, ticket: ServerTicket, now: Instant) {
        if let Some(state) = self.state_mut(ticket) {
            state.record_sent(now);
        }
    }

    /// Returns the number of servers that name a limit.
    pub fn limited_servers(&self) -> usize {
        self.servers.iter().filter(|(_, state)| state.limit.is_some()).count()
    }

    /// Returns the indexes of cold servers at which this entry VM has its turn.
    pub(super) fn open_cold_servers(&self, rules: &SendRules<'_>, now: Instant) -> Vec<usize> {
        if self.any_cold_until.is_none_or(|until| until <= now) {
            return Vec::new();
        }
        let is_open = |state: &ServerState| {
            rules.warmth(state, now) == Warmth::Cold && state.accepts_request(rules, now)
        };
        let servers = self.servers.iter().enumerate();
        servers.filter(|(_, (_, state))| is_open(state)).map(|(index, _)| index).collect()
    }
}
