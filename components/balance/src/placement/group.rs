//! Server selection based on load reports that are requested right before a request is sent.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, ServerId, ZoneName};

use crate::placement::admission::GroupLoad;
use crate::placement::cold::ColdLimits;
use crate::placement::estimate::{GroupModel, PlacementEstimate, RequestShape, RunForecast};
use crate::placement::notices::{LeavingServers, NoticeEffect, ServerNotice};
use crate::placement::persistence::decayed;
use crate::placement::server::{
    FirstReturn, PlacementServer, ServerIncarnation, ServerLoad, ServerState,
};
use crate::placement::turns::SendTurns;
use crate::placement::zone_latency::ZoneLatencies;
use crate::types::{SampleOutcome, ServerTicket};

mod candidates;
mod limits;
mod zones;

/// Number of health checks without a load report after which a service counts as not reporting its
/// load.
const MAX_CHECKS_WITHOUT_REPORT: u32 = 6;

/// Weight of the newest report in the group's moving averages.
const NEWEST_REPORT_WEIGHT: f64 = 0.05;

/// Occupancy of the slots above which the load of a group is heavy: the free ones are rarely those of
/// fast machines, and a further run slows down the one beside it.
const HEAVY_OCCUPANCY: f64 = 0.85;

/// Occupancy of the slots above which a group counts as saturated: several requests then compete
/// for each free slot.
const SATURATED_OCCUPANCY: f64 = 0.95;

/// Largest fraction of a group that may be ejected at once. Beyond it, failing servers stay in use,
/// since a bad server is better than none.
const MAX_EJECTED_RATIO: f64 = 0.34;

/// Settings of a placement group.
#[derive(Debug, Clone)]
pub struct PlacementOptions {
    /// This entry VM's name, which determines its preferred servers in large groups.
    pub vm: Box<str>,
    /// This entry VM's availability zone.
    pub zone: ZoneName,
    /// Cost of each KiB that crosses zones, as a fraction of the value of a request.
    pub zone_cost_per_kib: f64,
}

/// A request that was sent to a server and counts as in flight there.
#[derive(Debug, Clone, Copy)]
pub struct StartedRequest {
    ticket: ServerTicket,
    started_at: Instant,
    /// `None` if the server had left the list.
    forecast: Option<RunForecast>,
}

impl StartedRequest {
    /// The server.
    pub fn ticket(&self) -> ServerTicket {
        self.ticket
    }

    /// When the request was started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }
}

/// The servers of one service, with their load reports.
#[derive(Debug)]
pub struct PlacementGroup {
    options: PlacementOptions,
    servers: Vec<(u64, ServerState)>,
    /// Indexes of the servers in zones that aren't evacuated, ascending. The others have no part in
    /// the choice of servers.
    open: Vec<usize>,
    /// Sorted indexes of this entry VM's preferred servers; empty in a small group, where all are.
    preferred: Vec<usize>,
    /// Sorted indexes of the servers that are compared beside them under light load; empty in a
    /// small group.
    standby: Vec<usize>,
    evacuated_zones: Vec<ZoneName>,
    next_serial: u64,
    model: GroupModel,
    zone_latencies: ZoneLatencies,
    /// Moving average of the slowness over all reports.
    typical_slowness: f64,
    /// Moving average of the part of its slots that a server has in use, over all reports.
    occupancy: f64,
    has_reports: bool,
    /// Health checks whose response contained no load report.
    checks_without_report: u32,
    /// Servers that said that they leave.
    leaving: LeavingServers,
    /// This entry VM's turns at servers that have a limit; `None` if it shares no limit.
    turns: Option<SendTurns>,
    /// `None` if cold servers have no limit.
    cold_limits: Option<ColdLimits>,
    /// Time until which some server is cold, as far as it is known.
    any_cold_until: Option<Instant>,
}

impl PlacementGroup {
    /// Creates a group without servers.
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            options,
            servers: Vec::new(),
            open: Vec::new(),
            preferred: Vec::new(),
            standby: Vec::new(),
            evacuated_zones: Vec::new(),
            next_serial: 0,
            model: GroupModel::default(),
            zone_latencies: ZoneLatencies::default(),
            typical_slowness: 1.0,
            occupancy: 0.0,
            has_reports: false,
            checks_without_report: 0,
            leaving: LeavingServers::default(),
            turns: None,
            cold_limits: None,
            any_cold_until: None,
        }
    }

    /// Records what a response says about its server.
    pub fn record_notice(
        &mut self,
        ticket: ServerTicket,
        notice: &ServerNotice,
        now: Instant,
    ) -> NoticeEffect {
        let mut effect = NoticeEffect::default();
        let Some(index) = self.index_of(ticket) else {
            return effect;
        };
        let state = &mut self.servers[index].1;
        if let Some(rest) = notice.rest {
            effect.extends_rest = state.record_rest(rest, now);
        }
        if notice.is_leaving && !state.said_leaving {
            state.said_leaving = true;
            effect.starts_leaving = self.leaving.insert(&state.listed);
            self.select_preferred();
        }
        effect
    }

    /// Whether a server has withdrawn, by the list or by its own word, or its zone is evacuated, so
    /// that it must get no request now.
    pub fn is_withdrawn(&self, ticket: ServerTicket, now: Instant) -> bool {
        self.state(ticket).is_none_or(|state| state.is_withdrawn(now))
    }

    /// Returns when the first server accepts a request again; `None` if all are leaving or in
    /// evacuated zones.
    pub fn first_return(&self, now: Instant) -> Option<FirstReturn> {
        let rules = self.send_rules();
        let returns = self.servers.iter().filter_map(|(_, state)| state.next_request(&rules, now));
        returns.min_by_key(|first| first.at)
    }

    /// Whether to probe servers for their load. If they don't report it, a health check only takes
    /// a slot, like any other request.
    pub fn is_worth_probing(&self) -> bool {
        self.has_reports || self.checks_without_report < MAX_CHECKS_WITHOUT_REPORT
    }

    /// Returns how much of the capacity is in use, according to the reports.
    pub fn load(&self) -> GroupLoad {
        match self.occupancy {
            occupancy if occupancy > SATURATED_OCCUPANCY => GroupLoad::Saturated,
            occupancy if occupancy > HEAVY_OCCUPANCY => GroupLoad::Heavy,
            _ => GroupLoad::Light,
        }
    }

    /// Whether nearly all slots are in use, according to the reports.
    pub fn is_saturated(&self) -> bool {
        self.load() == GroupLoad::Saturated
    }

    /// Counts a health check whose response contained no load report.
    pub fn count_check_without_report(&mut self) {
        self.checks_without_report += 1;
    }

    /// Applies a server list. A server keeps its state as long as its incarnation is the same.
    pub fn set_servers(&mut self, listed: &[PlacementServer]) {
        let mut previous_states: FastMap<ServerId, (u64, ServerState)> = self
            .servers
            .drain(..)
            .map(|(serial, state)| (state.listed.id.clone(), (serial, state)))
            .collect();
        for server in listed {
            let previous_state =
                previous_states.remove(&server.id).and_then(|(serial, mut state)| {
                    state.update_listing(server).then_some((serial, state))
                });
            let (serial, state) = previous_state.unwrap_or_else(|| {
                let mut state = ServerState::new(server.clone(), self.typical_slowness);
                state.said_leaving = self.leaving.contains(server);
                state.is_evacuated = self.evacuated_zones.contains(&server.zone);
                (self.next_serial, state)
            });
            self.next_serial = self.next_serial.max(serial + 1);
            self.any_cold_until = self.any_cold_until.max(state.warm_up.cold_until());
            self.servers.push((serial, state));
        }
        self.select_preferred();
    }

    /// Returns the server with the lowest estimated cost among `tickets`, with its estimate.
    pub fn best_server(
        &self,
        tickets: &[ServerTicket],
        shape: RequestShape,
        now: Instant,
    ) -> Option<(ServerTicket, PlacementEstimate)> {
        let rules = self.send_rules();
        tickets
            .iter()
            .filter_map(|ticket| {
                let state =
                    self.state(*ticket).filter(|state| state.accepts_request(&rules, now))?;
                Some((*ticket, self.estimate_state(state, shape, now)))
            })
            .min_by(|(_, one), (_, other)| one.cost_seconds.total_cmp(&other.cost_seconds))
    }

    fn estimate_state(
        &self,
        state: &ServerState,
        shape: RequestShape,
        now: Instant,
    ) -> PlacementEstimate {
        self.model.estimate(state, shape, self.zone_cost_seconds(state, shape), now)
    }

    fn is_own_zone(&self, state: &ServerState) -> bool {
        state.listed.zone == self.options.zone
    }

    fn zone_cost_seconds(&self, state: &ServerState, shape: RequestShape) -> f64 {
        if self.is_own_zone(state) {
            return 0.0;
        }
        let delay = self.zone_latencies.additional_delay(&self.options.zone, &state.listed.zone);
        let kib = shape.transfer_bytes as f64 / 1024.0;
        delay.as_secs_f64() + self.options.zone_cost_per_kib * kib * shape.target.as_secs_f64()
    }

    /// Counts a request that is sent to a server. It must be passed to `finish_request`.
    pub fn start_request(
        &mut self,
        ticket: ServerTicket,
        shape: RequestShape,
        now: Instant,
    ) -> StartedRequest {
        let forecast = self.state(ticket).map(|state| self.model.forecast(state, shape, now));
        if let Some(state) = self.state_mut(ticket) {
            state.start_request(now);
        }
        StartedRequest { ticket, started_at: now, forecast }
    }

    /// Records the end of a request, and learns from the time that it took if it was completed.
    pub fn finish_request(
        &mut self,
        request: StartedRequest,
        outcome: SampleOutcome,
        report: Option<ServerLoad>,
        now: Instant,
    ) {
        let ticket = request.ticket;
        if let Some(state) = self.state_mut(ticket) {
            state.end_request(request.started_at);
        }
        self.record_outcome(ticket, outcome, now);
        let forecast = request.forecast.filter(|_| outcome == SampleOutcome::Responded);
        if let Some(forecast) = forecast {
            let elapsed = now.saturating_duration_since(request.started_at);
            self.model.observe_run(&forecast, elapsed);
            if !self.has_reports
                && let Some(state) = self.state_mut(ticket)
            {
                state.record_slowness(forecast.observed_slowness(elapsed));
            }
        }
        if let Some(load) = report {
            self.apply_report(ticket, load, now);
        }
    }

    /// Applies a load report of a server.
    pub fn apply_report(&mut self, ticket: ServerTicket, load: ServerLoad, now: Instant) {
        self.observe_report(ticket, load, now);
        let Some(state) = self.state_mut(ticket) else {
            return;
        };
        state.apply_report(load, now);
        let remote_in_flight = state.report.map_or(0.0, |report| report.remote_in_flight);
        let per_slot = remote_in_flight / f64::from(state.listed.slots);
        // Requests in a queue use no slot of another server.
        let in_use = (f64::from(load.running) / f64::from(state.listed.slots)).min(1.0);
        self.occupancy += (in_use - self.occupancy) * NEWEST_REPORT_WEIGHT;
        self.model.remote_per_slot +=
            (per_slot - self.model.remote_per_slot) * NEWEST_REPORT_WEIGHT;
        self.typical_slowness += (load.slowness - self.typical_slowness) * NEWEST_REPORT_WEIGHT;
        self.has_reports = true;
    }

    /// Replaces a server's last report without learning from the new one: for a view that is read
    /// more often than the load changes, which would distort what is learned.
    pub fn refresh_report(&mut self, ticket: ServerTicket, load: ServerLoad, now: Instant) {
        if let Some(state) = self.state_mut(ticket) {
            state.set_report(load, now);
        }
    }

    /// Returns the tickets of all servers.
    pub fn tickets(&self) -> Vec<ServerTicket> {
        let servers = self.servers.iter().enumerate();
        servers.map(|(index, (serial, _))| ServerTicket { index, serial: *serial }).collect()
    }

    /// Learns from a report how long the previous one of the same server stayed true.
    fn observe_report(&mut self, ticket: ServerTicket, load: ServerLoad, now: Instant) {
        let previous = self.state(ticket).and_then(|state| Some((state.report?, state)));
        let Some((report, state)) = previous else {
            return;
        };
        let typical = state.typical_slowness;
        let age = now.saturating_duration_since(report.received_at).as_secs_f64();
        self.model.report_persistence.observe(load.slowness, |time_constant| {
            decayed(report.slowness, typical, age, time_constant)
        });
    }

    /// Records the time that a server took to answer a probe.
    pub fn record_probe_time(&mut self, ticket: ServerTicket, elapsed: Duration) {
        if let Some(index) = self.index_of(ticket) {
            self.zone_latencies.observe(&self.servers[index].1.listed.zone, elapsed);
        }
    }

    /// Returns how long a selection waits for the answers of probes.
    pub fn probe_wait(&self) -> Duration {
        self.zone_latencies.probe_wait()
    }

    /// Records the outcome of a request or probe for the server's health.
    pub fn record_outcome(&mut self, ticket: ServerTicket, outcome: SampleOutcome, now: Instant) {
        let is_failure = matches!(outcome, SampleOutcome::Failed | SampleOutcome::Unreachable);
        let is_ejection_allowed = is_failure && self.is_ejection_allowed(now);
        let cold_duration = self.cold_limits.map(|limits| limits.duration);
        let Some(state) = self.state_mut(ticket) else {
            return;
        };
        if let (SampleOutcome::Unreachable, Some(duration)) = (outcome, cold_duration) {
            // It may have been restarted, under the same identity.
            state.warm_up.suspect(now + duration, now);
        }
        match outcome {
            SampleOutcome::Responded => state.failures.record_success(),
            SampleOutcome::Failed => state.failures.record_failure(false, is_ejection_allowed, now),
            SampleOutcome::Unreachable => {
                state.failures.record_failure(true, is_ejection_allowed, now);
            }
            // A server that sheds load is alive: its cost rises, but it isn't ejected.
            SampleOutcome::Shed => state.failures.record_failure(false, false, now),
            SampleOutcome::Cancelled => {}
        }
    }

    /// Marks a server as not accepting new requests, until the next server list.
    pub fn mark_leaving(&mut self, ticket: ServerTicket) {
        if let Some(state) = self.state_mut(ticket) {
            state.listed.is_leaving = true;
        }
    }

    /// Whether the last report of a server is younger than `max_age`.
    pub fn has_fresh_report(&self, ticket: ServerTicket, max_age: Duration, now: Instant) -> bool {
        let report_age = self.state(ticket).and_then(|state| state.report_age(now));
        report_age.is_some_and(|report_age| report_age < max_age)
    }

    /// Returns the identity and address of a server, if it is still in the group.
    pub fn id_and_address(&self, ticket: ServerTicket) -> Option<(&ServerId, SocketAddr)> {
        self.state(ticket).map(|state| (&state.listed.id, state.listed.address))
    }

    /// Returns the incarnation of a server, if it is still in the group.
    pub fn incarnation(&self, ticket: ServerTicket) -> Option<ServerIncarnation> {
        self.state(ticket).map(|state| state.listed.incarnation())
    }

    /// Whether an incarnation is leaving, by the list or by its own word.
    pub fn is_incarnation_leaving(&self, incarnation: &ServerIncarnation) -> bool {
        let mut states = self.servers.iter().map(|(_, state)| state);
        states.any(|state| state.listed.key() == incarnation.key() && state.is_leaving())
    }

    /// Whether the list has another incarnation with the identity or the address of a server.
    pub fn is_replaced(&self, incarnation: &ServerIncarnation) -> bool {
        self.servers.iter().map(|(_, state)| &state.listed).any(|listed| {
            listed.key() != incarnation.key()
                && (listed.id == incarnation.id || listed.address == incarnation.address)
        })
    }

    /// Returns the addresses of the servers in zones that aren't evacuated.
    pub fn open_addresses(&self) -> Vec<SocketAddr> {
        self.open.iter().map(|index| self.servers[*index].1.listed.address).collect()
    }

    /// Whether the server at an address may be probed: it hasn't withdrawn and isn't in an evacuated
    /// zone.
    pub fn may_probe(&self, address: SocketAddr, now: Instant) -> bool {
        let mut states = self.servers.iter().map(|(_, state)| state);
        states.any(|state| state.listed.address == address && !state.is_withdrawn(now))
    }

    /// Returns the age of a server's last report.
    pub fn report_age(&self, ticket: ServerTicket, now: Instant) -> Option<Duration> {
        self.state(ticket)?.report_age(now)
    }

    fn state(&self, ticket: ServerTicket) -> Option<&ServerState> {
        let index = self.index_of(ticket)?;
        self.servers.get(index).map(|(_, state)| state)
    }

    fn state_mut(&mut self, ticket: ServerTicket) -> Option<&mut ServerState> {
        let index = self.index_of(ticket)?;
        self.servers.get_mut(index).map(|(_, state)| state)
    }

    fn index_of(&self, ticket: ServerTicket) -> Option<usize> {
        match self.servers.get(ticket.index) {
            Some((serial, _)) if *serial == ticket.serial => Some(ticket.index),
            // The server list has changed since the ticket was created.
            _ => self.servers.iter().position(|(serial, _)| *serial == ticket.serial),
        }
    }

    fn is_ejection_allowed(&self, now: Instant) -> bool {
        let is_ejected = |index: &&usize| self.servers[**index].1.failures.is_ejected(now);
        let ejected = self.open.iter().filter(is_ejected).count();
        (ejected + 1) as f64 <= self.open.len() as f64 * MAX_EJECTED_RATIO
    }
}
