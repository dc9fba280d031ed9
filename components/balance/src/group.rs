//! Server selection based on the load reports in responses and periodic probes.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use model::{FastMap, ServerId};

use crate::custom::{CandidateView, CustomChoice};
use crate::estimate::{GroupView, aged_service_seconds, estimate_in_flight, estimate_request};
use crate::server::{BackendServer, ServerEndpoint};
use crate::types::{
    BalanceOptions, GroupSpec, ListedServer, PickOutcome, ProbeOutcome, ProbeTarget, RequestSample,
    SampleOutcome, ServerTicket,
};

/// Servers compared per choice. Groups up to this size are compared completely.
const MAX_CANDIDATES: usize = 16;

/// Largest fraction of a group that may be ejected at once. Beyond it, failing servers stay in use,
/// since a bad server is better than none.
const MAX_EJECTED_RATIO: f64 = 0.34;

/// Weight of the newest sample in the moving average of a server's service time.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.15;

/// Minimum number of choices between two updates of the group's mean and median.
const VIEW_REFRESH_PICKS: u32 = 32;

/// Minimum time between two updates of the group's mean and median that choices trigger.
const VIEW_REFRESH_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a leaving signal overrides a list that still reports the server as live.
const LEAVING_SIGNAL_TTL: Duration = Duration::from_secs(60);

/// Minimum age of a server's last report or response before it is probed.
const PROBE_MIN_STATE_AGE: Duration = Duration::from_secs(1);

/// The backend servers of one service.
#[derive(Debug)]
pub struct ServerGroup {
    spec: GroupSpec,
    options: BalanceOptions,
    servers: Vec<(u64, BackendServer)>,
    next_serial: u64,
    view: GroupView,
    view_refreshed_at: Instant,
    picks_since_refresh: u32,
    custom_choice: Option<CustomChoice>,
}

impl ServerGroup {
    /// Creates a group without servers.
    pub fn new(spec: GroupSpec, options: BalanceOptions, now: Instant) -> Self {
        let expected_time = spec.expected_time.as_secs_f64();
        let view = GroupView::new(f64::from(spec.slots), expected_time, options.slow_start);
        Self {
            spec,
            options,
            servers: Vec::new(),
            next_serial: 0,
            view,
            view_refreshed_at: now,
            picks_since_refresh: 0,
            custom_choice: None,
        }
    }

    /// Replaces the built-in selection with a custom one.
    pub fn set_custom_choice(&mut self, choice: CustomChoice) {
        self.custom_choice = Some(choice);
    }

    /// Applies a changed service record. The state of the servers is kept.
    pub fn set_spec(&mut self, spec: GroupSpec) {
        self.view.slots = f64::from(spec.slots);
        self.spec = spec;
    }

    /// Applies a server list. Servers whose endpoint is unchanged keep their state.
    pub fn set_servers(&mut self, listed: &[ListedServer], now: Instant) {
        let is_first_list = self.servers.is_empty();
        let mut previous_servers: FastMap<ServerId, (u64, BackendServer)> = self
            .servers
            .drain(..)
            .map(|(serial, server)| (server.endpoint.id.clone(), (serial, server)))
            .collect();
        for ListedServer { endpoint, is_leaving, is_preferred } in listed {
            let previous_server = previous_servers
                .remove(&endpoint.id)
                .filter(|(_, server)| server.endpoint == *endpoint);
            let (serial, mut server) = previous_server.unwrap_or_else(|| {
                (self.next_serial, self.new_server(endpoint, is_first_list, now))
            });
            self.next_serial = self.next_serial.max(serial + 1);
            server.is_listed_leaving = *is_leaving;
            server.is_preferred = *is_preferred;
            self.servers.push((serial, server));
        }
        self.refresh_view(now);
    }

    /// Chooses a server for a request whose deadline is in `remaining`. Servers in `excluded`,
    /// which earlier attempts used, are chosen only if no other is available.
    pub fn pick(
        &mut self,
        remaining: Duration,
        excluded: &[ServerTicket],
        now: Instant,
        random: &mut impl Rng,
    ) -> PickOutcome {
        if let Some(outcome) = self.pick_custom(now) {
            return outcome;
        }
        self.refresh_view_if_stale(now);
        let best = self
            .best_candidate(now, random, |ticket, server| {
                self.is_available(server, now) && !excluded.contains(&ticket)
            })
            .or_else(|| {
                self.best_candidate(now, random, |_, server| self.is_available(server, now))
            })
            .or_else(|| self.best_candidate(now, random, |_, server| !server.is_leaving(now)));
        let Some((index, wait_seconds)) = best else {
            return PickOutcome::NoServer;
        };
        let wait = Duration::from_secs_f64(wait_seconds);
        let has_connection = self.servers[index].1.local_in_flight < self.spec.max_connections;
        if wait > remaining || !has_connection {
            return PickOutcome::Saturated { wait };
        }
        self.assign(index, now)
    }

    fn assign(&mut self, index: usize, now: Instant) -> PickOutcome {
        let (serial, server) = &mut self.servers[index];
        server.start_request(now);
        let ticket = ServerTicket { index, serial: *serial };
        PickOutcome::Chosen { ticket, address: server.endpoint.address }
    }

    fn pick_custom(&mut self, now: Instant) -> Option<PickOutcome> {
        let max_connections = self.spec.max_connections;
        let choice = self.custom_choice.as_mut()?;
        let candidates: Vec<CandidateView> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, (_, server))| !server.is_leaving(now))
            .filter(|(_, (_, server))| server.local_in_flight < max_connections)
            .map(|(index, (_, server))| CandidateView {
                index,
                local_in_flight: server.local_in_flight,
                reported_in_flight: server.reported_in_flight,
                report_age: now.saturating_duration_since(server.reported_at),
            })
            .collect();
        let candidate = choice.choose(&candidates);
        Some(candidate.map_or(PickOutcome::NoServer, |view| self.assign(view.index, now)))
    }

    /// Records the outcome of a request for which `pick` chose the server.
    pub fn finish_request(&mut self, ticket: ServerTicket, sample: &RequestSample, now: Instant) {
        // Only failures eject a server. Other outcomes skip the scan of the group for ejected ones.
        let is_failure =
            matches!(sample.outcome, SampleOutcome::Failed | SampleOutcome::Unreachable);
        let is_ejection_allowed = is_failure && self.is_ejection_allowed(now);
        let view = self.view.clone();
        let Some(server) = self.server_mut(ticket) else {
            return;
        };
        let in_flight = estimate_in_flight(server, &view, now);
        server.finish_request(now);
        match sample.outcome {
            SampleOutcome::Responded => {
                server.failures.record_success();
                update_service_time(server, sample.elapsed, in_flight, &view, now);
            }
            SampleOutcome::Failed => {
                server.failures.record_failure(false, is_ejection_allowed, now);
            }
            SampleOutcome::Unreachable => {
                server.failures.record_failure(true, is_ejection_allowed, now);
            }
            SampleOutcome::Shed => server.failures.record_failure(false, false, now),
            SampleOutcome::Cancelled => {}
        }
        if let Some(report) = sample.report {
            let local_in_flight = server.local_in_flight;
            server.apply_report(report, local_in_flight, now);
        }
    }

    /// Raises the server's service time to at least `elapsed`, the time for which a request has
    /// been without a response.
    pub fn raise_service_time(&mut self, ticket: ServerTicket, elapsed: Duration, now: Instant) {
        if let Some(server) = self.server_mut(ticket) {
            let seconds = elapsed.as_secs_f64();
            if seconds > server.service_seconds {
                server.service_seconds = seconds;
                server.sampled_at = now;
            }
        }
    }

    /// Records the outcome of a probe.
    pub fn apply_probe_outcome(
        &mut self,
        ticket: ServerTicket,
        outcome: ProbeOutcome,
        now: Instant,
    ) {
        let is_ejection_allowed = self.is_ejection_allowed(now);
        let Some(server) = self.server_mut(ticket) else {
            return;
        };
        // Also set without a report, so that the other servers are probed before this one again.
        server.reported_at = now;
        match outcome {
            ProbeOutcome::Responded(report) => {
                server.failures.record_success();
                if let Some(report) = report {
                    let local_in_flight = server.local_in_flight;
                    server.apply_report(report, local_in_flight, now);
                }
            }
            ProbeOutcome::Failed => server.failures.record_failure(true, is_ejection_allowed, now),
        }
    }

    /// Records a signal that a server is leaving, after which it receives no new requests. Returns
    /// whether the server was not leaving before.
    pub fn mark_leaving(&mut self, id: &ServerId, now: Instant) -> bool {
        let mut is_new_signal = false;
        for (_, server) in &mut self.servers {
            if server.endpoint.id == *id {
                is_new_signal |= !server.is_leaving(now);
                server.leaving_signal_until = Some(now + LEAVING_SIGNAL_TTL);
            }
        }
        is_new_signal
    }

    /// Returns the server whose state is oldest, if it is old enough to be probed.
    pub fn probe_target(&self, now: Instant) -> Option<ProbeTarget> {
        let (index, (serial, server)) = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, (_, server))| !server.is_leaving(now))
            .min_by_key(|(_, (_, server))| server.reported_at.max(server.sampled_at))?;
        let updated_at = server.reported_at.max(server.sampled_at);
        if now < updated_at + PROBE_MIN_STATE_AGE {
            return None;
        }
        let ticket = ServerTicket { index, serial: *serial };
        Some(ProbeTarget { ticket, address: server.endpoint.address })
    }

    /// Returns the identity of a server, if it is still in the group.
    pub fn server_id(&self, ticket: ServerTicket) -> Option<&ServerId> {
        let (serial, server) = self.servers.get(ticket.index)?;
        (*serial == ticket.serial).then_some(&server.endpoint.id)
    }

    /// Returns the address of a server, if it is still in the group.
    pub fn address(&self, ticket: ServerTicket) -> Option<SocketAddr> {
        let found = self.servers.iter().find(|(serial, _)| *serial == ticket.serial);
        found.map(|(_, server)| server.endpoint.address)
    }

    /// Maximum number of connections from this entry VM to one server.
    pub fn max_connections(&self) -> usize {
        self.spec.max_connections as usize
    }

    fn new_server(
        &self,
        endpoint: &ServerEndpoint,
        is_first_list: bool,
        now: Instant,
    ) -> BackendServer {
        let mut server =
            BackendServer::new(endpoint.clone(), self.view.median_service_seconds, now);
        if is_first_list {
            // Servers of the first list were running before this entry VM: no slow start.
            server.joined_at = now.checked_sub(self.options.slow_start).unwrap_or(now);
        }
        server
    }

    fn server_mut(&mut self, ticket: ServerTicket) -> Option<&mut BackendServer> {
        let by_index = self.servers.get(ticket.index).map(|(serial, _)| *serial);
        let index = match by_index {
            Some(serial) if serial == ticket.serial => ticket.index,
            _ => self.servers.iter().position(|(serial, _)| *serial == ticket.serial)?,
        };
        self.servers.get_mut(index).map(|(_, server)| server)
    }

    fn is_available(&self, server: &BackendServer, now: Instant) -> bool {
        // After an ejection, one request at a time tests whether the server has recovered.
        let is_trial_allowed = !server.failures.is_half_open(now) || server.local_in_flight == 0;
        !server.is_leaving(now)
            && !server.failures.is_ejected(now)
            && server.local_in_flight < self.spec.max_connections
            && is_trial_allowed
    }

    fn best_candidate(
        &self,
        now: Instant,
        random: &mut impl Rng,
        is_eligible: impl Fn(ServerTicket, &BackendServer) -> bool,
    ) -> Option<(usize, f64)> {
        let count = self.servers.len();
        let compared = count.min(MAX_CANDIDATES);
        // A small group is scanned from a random offset; a large one is sampled, possibly with
        // repetitions.
        let start = if count == 0 { 0 } else { random.random_range(0..count) };
        let mut best: Option<(usize, f64, f64)> = None;
        for offset in 0..compared {
            let index = self.nth_candidate(start, offset, count, random);
            let (serial, server) = &self.servers[index];
            if !is_eligible(ServerTicket { index, serial: *serial }, server) {
                continue;
            }
            let estimate = estimate_request(server, &self.view, now);
            let cost = estimate.cost_seconds + self.locality_cost_seconds(server);
            let noisy_cost = cost * (1.0 + self.options.noise * random.random::<f64>());
            if best.is_none_or(|(_, _, lowest_cost)| noisy_cost < lowest_cost) {
                best = Some((index, estimate.wait_seconds, noisy_cost));
            }
        }
        best.map(|(index, wait_seconds, _)| (index, wait_seconds))
    }

    fn nth_candidate(
        &self,
        start: usize,
        offset: usize,
        count: usize,
        random: &mut impl Rng,
    ) -> usize {
        if count <= MAX_CANDIDATES {
            (start + offset) % count
        } else {
            random.random_range(0..count)
        }
    }

    /// Extra cost of a server in another zone, and of a server that isn't preferred by this entry
    /// VM, since other entry VMs have newer load reports of it.
    fn locality_cost_seconds(&self, server: &BackendServer) -> f64 {
        let is_same_zone = server.endpoint.zone == self.spec.zone;
        let zone_seconds = if is_same_zone { 0.0 } else { self.options.zone_cost.as_secs_f64() };
        let non_preferred_ratio =
            if server.is_preferred { 0.0 } else { self.options.non_preferred_cost };
        zone_seconds + non_preferred_ratio * self.view.median_service_seconds
    }

    fn is_ejection_allowed(&self, now: Instant) -> bool {
        let ejected =
            self.servers.iter().filter(|(_, server)| server.failures.is_ejected(now)).count();
        (ejected + 1) as f64 <= self.servers.len() as f64 * MAX_EJECTED_RATIO
    }

    fn refresh_view_if_stale(&mut self, now: Instant) {
        self.picks_since_refresh += 1;
        let is_stale = now >= self.view_refreshed_at + VIEW_REFRESH_INTERVAL;
        if self.picks_since_refresh >= VIEW_REFRESH_PICKS && is_stale {
            self.refresh_view(now);
        }
    }

    fn refresh_view(&mut self, now: Instant) {
        self.picks_since_refresh = 0;
        self.view_refreshed_at = now;
        let count = self.servers.len();
        if count == 0 {
            return;
        }
        let remote_in_flight: f64 =
            self.servers.iter().map(|(_, server)| server.remote_in_flight).sum();
        self.view.set_mean_remote_in_flight(remote_in_flight / count as f64);
        let mut service_seconds: Vec<f64> = self
            .servers
            .iter()
            .map(|(_, server)| aged_service_seconds(server, &self.view, now))
            .collect();
        let middle = count / 2;
        let (_, median, _) = service_seconds.select_nth_unstable_by(middle, f64::total_cmp);
        self.view.median_service_seconds = *median;
    }
}

/// Updates the server's smoothed service time from a request's response time, less the estimated
/// wait for a slot.
fn update_service_time(
    server: &mut BackendServer,
    elapsed: Duration,
    in_flight: f64,
    view: &GroupView,
    now: Instant,
) {
    let current = aged_service_seconds(server, view, now);
    let wait = (in_flight - view.slots).max(0.0) / view.slots;
    let sample = elapsed.as_secs_f64() / (1.0 + wait);
    server.service_seconds = current + (sample - current) * NEWEST_SAMPLE_WEIGHT;
    server.sampled_at = now;
}
