//! Server selection based on load reports that are requested right before a request is sent.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use model::{FastMap, ServerId, ZoneName};

use crate::placement::estimate::{GroupMeans, PlacementEstimate, RequestShape, estimate_placement};
use crate::placement::server::{PlacementServer, ServerLoad, ServerState};
use crate::types::{SampleOutcome, ServerTicket};

/// Servers compared per choice; larger groups are sampled.
const MAX_CANDIDATES: usize = 32;

/// Largest random increase of a candidate's cost, as a fraction of it. It keeps entry VMs with the
/// same reports from probing the same servers.
const CANDIDATE_COST_NOISE: f64 = 0.3;

/// Number of preferred servers per entry VM in a large group. Connections to a few servers stay
/// open, and all entry VMs together still use every server.
const PREFERRED_SERVERS: usize = 12;

/// Number of servers above which an entry VM has preferred servers.
const LARGE_GROUP_THRESHOLD: usize = 24;

/// Extra cost of a server that isn't preferred in the choice of candidates, in typical service
/// times of the request.
const NON_PREFERRED_COST_RATIO: f64 = 0.4;

/// Number of health checks without a load report after which a service counts as not reporting its
/// load.
const MAX_CHECKS_WITHOUT_REPORT: u32 = 6;

/// Weight of the newest report in the group's moving averages.
const NEWEST_REPORT_WEIGHT: f64 = 0.05;

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
    /// Cost of a round trip to another availability zone.
    pub zone_cost: Duration,
    /// Additional cost of each KiB that crosses zones, expressed as an equivalent delay.
    pub zone_cost_per_kib: Duration,
}

/// The servers of one service, with their load reports.
#[derive(Debug)]
pub struct PlacementGroup {
    options: PlacementOptions,
    servers: Vec<(u64, ServerState)>,
    /// Sorted indexes of this entry VM's preferred servers; empty in a small group, where all are.
    preferred: Vec<usize>,
    next_serial: u64,
    means: GroupMeans,
    /// Moving average of the slowness over all reports.
    typical_slowness: f64,
    /// Moving average of the running and waiting requests per slot over all reports.
    occupancy: f64,
    has_reports: bool,
    /// Health checks whose response contained no load report.
    checks_without_report: u32,
}

impl PlacementGroup {
    /// Creates a group without servers.
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            options,
            servers: Vec::new(),
            preferred: Vec::new(),
            next_serial: 0,
            means: GroupMeans { remote_per_slot: 0.0 },
            typical_slowness: 1.0,
            occupancy: 0.0,
            has_reports: false,
            checks_without_report: 0,
        }
    }

    /// Whether to probe servers for their load. If they don't report it, a health check only takes
    /// a slot, like any other request.
    pub fn is_worth_probing(&self) -> bool {
        self.has_reports || self.checks_without_report < MAX_CHECKS_WITHOUT_REPORT
    }

    /// Whether nearly all slots are in use, according to the reports.
    pub fn is_saturated(&self) -> bool {
        self.occupancy > SATURATED_OCCUPANCY
    }

    /// Counts a health check whose response contained no load report.
    pub fn count_check_without_report(&mut self) {
        self.checks_without_report += 1;
    }

    /// Applies a server list. A server keeps its state as long as its incarnation is the same.
    pub fn set_servers(&mut self, listed: &[PlacementServer], now: Instant) {
        let mut previous_states: FastMap<ServerId, (u64, ServerState)> = self
            .servers
            .drain(..)
            .map(|(serial, state)| (state.listed.id.clone(), (serial, state)))
            .collect();
        for server in listed {
            let previous_state =
                previous_states.remove(&server.id).and_then(|(serial, mut state)| {
                    state.update_listing(server, now).then_some((serial, state))
                });
            let (serial, state) = previous_state.unwrap_or_else(|| {
                let state = ServerState::new(server.clone(), self.typical_slowness, now);
                (self.next_serial, state)
            });
            self.next_serial = self.next_serial.max(serial + 1);
            self.servers.push((serial, state));
        }
        self.select_preferred();
    }

    /// Selects this entry VM's preferred servers by rendezvous hashing, those of its zone first.
    /// When a server joins or leaves, few of them change.
    fn select_preferred(&mut self) {
        let is_large = self.servers.len() > LARGE_GROUP_THRESHOLD;
        let mut ranks: Vec<(bool, u64, usize)> = Vec::new();
        for (index, (_, state)) in self.servers.iter_mut().enumerate() {
            state.is_preferred = !is_large;
            if is_large && !state.listed.is_leaving {
                let is_other_zone = state.listed.zone != self.options.zone;
                ranks.push((
                    is_other_zone,
                    rendezvous_hash(&self.options.vm, state.listed.id.as_str()),
                    index,
                ));
            }
        }
        ranks.sort_unstable();
        self.preferred =
            ranks.into_iter().take(PREFERRED_SERVERS).map(|(_, _, index)| index).collect();
        self.preferred.sort_unstable();
        for index in &self.preferred {
            self.servers[*index].1.is_preferred = true;
        }
    }

    /// Returns up to `count` servers with the lowest estimated cost for a request, lowest first.
    /// Leaving servers and those in `excluded` are skipped; ejected ones are used if no other is
    /// left.
    pub fn candidates(
        &self,
        count: usize,
        shape: RequestShape,
        excluded: &[ServerTicket],
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ServerTicket> {
        let mut found = self.candidates_among(count, shape, excluded, now, random, |state| {
            !state.failures.is_ejected(now)
        });
        if found.is_empty() {
            found = self.candidates_among(count, shape, excluded, now, random, |_| true);
        }
        found
    }

    fn candidates_among(
        &self,
        count: usize,
        shape: RequestShape,
        excluded: &[ServerTicket],
        now: Instant,
        random: &mut impl Rng,
        is_eligible: impl Fn(&ServerState) -> bool,
    ) -> Vec<ServerTicket> {
        let total = self.servers.len();
        let compared = total.min(MAX_CANDIDATES);
        let mut costs: Vec<(f64, ServerTicket)> = Vec::with_capacity(compared);
        for offset in 0..compared {
            let index = match (total <= MAX_CANDIDATES, self.preferred.get(offset)) {
                (true, _) => offset,
                (false, Some(preferred)) => *preferred,
                (false, None) => random.random_range(0..total),
            };
            let (serial, state) = &self.servers[index];
            let ticket = ServerTicket { index, serial: *serial };
            let is_skipped =
                state.listed.is_leaving || excluded.contains(&ticket) || !is_eligible(state);
            if is_skipped || costs.iter().any(|(_, other)| *other == ticket) {
                continue;
            }
            let non_preferred_ratio =
                if state.is_preferred { 0.0 } else { NON_PREFERRED_COST_RATIO };
            let cost = self.estimate_state(state, shape, now).cost_seconds
                + non_preferred_ratio * shape.service_time.as_secs_f64();
            costs.push((cost * (1.0 + CANDIDATE_COST_NOISE * random.random::<f64>()), ticket));
        }
        costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        costs.into_iter().take(count).map(|(_, ticket)| ticket).collect()
    }

    /// Returns the server with the lowest estimated cost among `tickets`, with its estimate.
    pub fn best_server(
        &self,
        tickets: &[ServerTicket],
        shape: RequestShape,
        now: Instant,
    ) -> Option<(ServerTicket, PlacementEstimate)> {
        tickets
            .iter()
            .filter_map(|ticket| {
                let state = self.state(*ticket).filter(|state| !state.listed.is_leaving)?;
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
        estimate_placement(state, self.means, shape, self.zone_cost_seconds(state, shape), now)
    }

    fn zone_cost_seconds(&self, state: &ServerState, shape: RequestShape) -> f64 {
        if state.listed.zone == self.options.zone {
            return 0.0;
        }
        let kib = shape.transfer_bytes as f64 / 1024.0;
        self.options.zone_cost.as_secs_f64() + self.options.zone_cost_per_kib.as_secs_f64() * kib
    }

    /// Counts a request that is sent to a server.
    pub fn start_request(&mut self, ticket: ServerTicket) {
        if let Some(state) = self.state_mut(ticket) {
            state.local_in_flight += 1;
        }
    }

    /// Records the end of a request that `start_request` counted.
    pub fn finish_request(
        &mut self,
        ticket: ServerTicket,
        outcome: SampleOutcome,
        report: Option<ServerLoad>,
        now: Instant,
    ) {
        if let Some(state) = self.state_mut(ticket) {
            state.local_in_flight = state.local_in_flight.saturating_sub(1);
        }
        self.record_outcome(ticket, outcome, now);
        if let Some(load) = report {
            self.apply_report(ticket, load, now);
        }
    }

    /// Applies a load report of a server.
    pub fn apply_report(&mut self, ticket: ServerTicket, load: ServerLoad, now: Instant) {
        let Some(state) = self.state_mut(ticket) else {
            return;
        };
        state.apply_report(load, now);
        let remote_in_flight = state.report.map_or(0.0, |report| report.remote_in_flight);
        let per_slot = remote_in_flight / f64::from(state.listed.slots);
        let in_use = f64::from(load.running + load.waiting) / f64::from(state.listed.slots);
        self.occupancy += (in_use - self.occupancy) * NEWEST_REPORT_WEIGHT;
        self.means.remote_per_slot +=
            (per_slot - self.means.remote_per_slot) * NEWEST_REPORT_WEIGHT;
        self.typical_slowness += (load.slowness - self.typical_slowness) * NEWEST_REPORT_WEIGHT;
        self.has_reports = true;
    }

    /// Records the outcome of a request or probe for the server's health.
    pub fn record_outcome(&mut self, ticket: ServerTicket, outcome: SampleOutcome, now: Instant) {
        let is_failure = matches!(outcome, SampleOutcome::Failed | SampleOutcome::Unreachable);
        let is_ejection_allowed = is_failure && self.is_ejection_allowed(now);
        let Some(state) = self.state_mut(ticket) else {
            return;
        };
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
        let ejected =
            self.servers.iter().filter(|(_, state)| state.failures.is_ejected(now)).count();
        (ejected + 1) as f64 <= self.servers.len() as f64 * MAX_EJECTED_RATIO
    }
}

/// Rendezvous hash of a server for an entry VM; SipHash with a fixed key gives the same value on
/// every machine.
fn rendezvous_hash(vm: &str, server: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(vm.as_bytes());
    hasher.write_u8(0);
    hasher.write(server.as_bytes());
    hasher.finish()
}
