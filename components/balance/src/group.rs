//! The backend servers of one service, and the choice among them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use model::{FastMap, ServerId};

use crate::custom::{CandidateView, CustomChoice};
use crate::estimate::{GroupView, current_service, estimate_in_flight, estimate_request};
use crate::server::{BackendServer, ServerAddress};
use crate::types::{
    BalanceOptions, GroupSpec, ListedServer, PickOutcome, ProbeOutcome, ProbeTarget, RequestSample,
    SampleOutcome, ServerTicket,
};

/// Servers looked at for one choice. A group of at most this many is looked at whole.
const MAX_CANDIDATES: usize = 16;

/// Part of a group that may be ejected at a time; beyond it, a bad server is better than none.
const MAX_EJECTED_PART: f64 = 0.34;

/// Weight of the newest request in a server's smoothed service time.
const SERVICE_WEIGHT: f64 = 0.15;

/// Choices between two computations of the group's mean and median.
const VIEW_REFRESH_PICKS: u32 = 32;

/// Age of a group's mean and median from which they are computed anew.
const VIEW_REFRESH_TIME: Duration = Duration::from_millis(5);

/// How long a sign of leaving outweighs a list that still says that the server is live.
const LEAVING_SIGN_TIME: Duration = Duration::from_secs(60);

/// Age of the last report or answer from which a probe of the server is worth its cost.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// The backend servers of one service.
#[derive(Debug)]
pub struct ServerGroup {
    spec: GroupSpec,
    options: BalanceOptions,
    servers: Vec<(u64, BackendServer)>,
    next_serial: u64,
    view: GroupView,
    view_at: Instant,
    picks_since_view: u32,
    custom: Option<CustomChoice>,
}

impl ServerGroup {
    /// A group without servers.
    pub fn new(spec: GroupSpec, options: BalanceOptions, now: Instant) -> Self {
        let expected = spec.expected.as_secs_f64();
        let view = GroupView::new(f64::from(spec.slots), expected, options.slow_start);
        Self {
            spec,
            options,
            servers: Vec::new(),
            next_serial: 0,
            view,
            view_at: now,
            picks_since_view: 0,
            custom: None,
        }
    }

    /// Replaces this crate's choice by one of the embedder's own.
    pub fn set_custom(&mut self, custom: CustomChoice) {
        self.custom = Some(custom);
    }

    /// Changes what the record says; what is known of the servers stays.
    pub fn set_spec(&mut self, spec: GroupSpec) {
        self.view.slots = f64::from(spec.slots);
        self.spec = spec;
    }

    /// Sets the servers.
    pub fn set_servers(&mut self, listed: &[ListedServer], now: Instant) {
        let is_first_list = self.servers.is_empty();
        let mut known: FastMap<ServerId, (u64, BackendServer)> = self
            .servers
            .drain(..)
            .map(|(serial, server)| (server.place.id.clone(), (serial, server)))
            .collect();
        for ListedServer { place, is_leaving, is_preferred } in listed {
            let same = known.remove(&place.id).filter(|(_, server)| server.place == *place);
            let (serial, mut server) =
                same.unwrap_or_else(|| (self.next_serial, self.add(place, is_first_list, now)));
            self.next_serial = self.next_serial.max(serial + 1);
            server.listed_leaving = *is_leaving;
            server.is_preferred = *is_preferred;
            self.servers.push((serial, server));
        }
        self.refresh_view(now);
    }

    /// Chooses a server for a request that must be answered within `remaining`. Servers in
    /// `excluded` were tried before and are chosen only if there is no other.
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
        self.refresh_view_if_old(now);
        let best = self
            .best(now, random, |ticket, server| {
                self.is_open(server, now) && !excluded.contains(&ticket)
            })
            .or_else(|| self.best(now, random, |_, server| self.is_open(server, now)))
            .or_else(|| self.best(now, random, |_, server| !server.is_leaving(now)));
        let Some((index, wait)) = best else {
            return PickOutcome::NoServer;
        };
        let wait = Duration::from_secs_f64(wait);
        let has_connection = self.servers[index].1.own_in_flight < self.spec.connections;
        if wait > remaining || !has_connection {
            return PickOutcome::Saturated { wait };
        }
        self.send_to(index, now)
    }

    fn send_to(&mut self, index: usize, now: Instant) -> PickOutcome {
        let (serial, server) = &mut self.servers[index];
        server.begin(now);
        let ticket = ServerTicket { index, serial: *serial };
        PickOutcome::Chosen { ticket, address: server.place.address }
    }

    fn pick_custom(&mut self, now: Instant) -> Option<PickOutcome> {
        let connections = self.spec.connections;
        let custom = self.custom.as_mut()?;
        let candidates: Vec<CandidateView> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, (_, server))| !server.is_leaving(now))
            .filter(|(_, (_, server))| server.own_in_flight < connections)
            .map(|(index, (_, server))| CandidateView {
                index,
                own_in_flight: server.own_in_flight,
                reported: server.reported,
                report_age: now.saturating_duration_since(server.reported_at),
            })
            .collect();
        let chosen = custom.choose(&candidates);
        Some(chosen.map_or(PickOutcome::NoServer, |view| self.send_to(view.index, now)))
    }

    /// Takes in how a request ended that `pick` chose the server for.
    pub fn finish(&mut self, ticket: ServerTicket, sample: &RequestSample, now: Instant) {
        // Only a failure may eject, and counting the ejected looks at the whole group.
        let is_failure =
            matches!(sample.outcome, SampleOutcome::Failed | SampleOutcome::Unreachable);
        let may_eject = is_failure && self.may_eject(now);
        let view = self.view.clone();
        let Some(server) = self.find(ticket) else {
            return;
        };
        let in_flight = estimate_in_flight(server, &view, now);
        server.end(now);
        match sample.outcome {
            SampleOutcome::Answered => {
                server.failures.succeed();
                learn_service(server, sample.elapsed, in_flight, &view, now);
            }
            SampleOutcome::Failed => server.failures.fail(false, may_eject, now),
            SampleOutcome::Unreachable => server.failures.fail(true, may_eject, now),
            SampleOutcome::Shed => server.failures.fail(false, false, now),
            SampleOutcome::Cancelled => {}
        }
        if let Some(report) = sample.report {
            let own_counted = server.own_in_flight;
            server.take_report(report, own_counted, now);
        }
    }

    /// Notes that a request has had no answer for `elapsed`: the server is at least that slow.
    pub fn report_slow(&mut self, ticket: ServerTicket, elapsed: Duration, now: Instant) {
        if let Some(server) = self.find(ticket) {
            let seconds = elapsed.as_secs_f64();
            if seconds > server.service_seconds {
                server.service_seconds = seconds;
                server.sampled_at = now;
            }
        }
    }

    /// Takes in how a probe ended.
    pub fn take_probe(&mut self, ticket: ServerTicket, outcome: ProbeOutcome, now: Instant) {
        let may_eject = self.may_eject(now);
        let Some(server) = self.find(ticket) else {
            return;
        };
        // Even a server that says nothing is not probed again before others were.
        server.reported_at = now;
        match outcome {
            ProbeOutcome::Answered(report) => {
                server.failures.succeed();
                if let Some(report) = report {
                    let own_counted = server.own_in_flight;
                    server.take_report(report, own_counted, now);
                }
            }
            ProbeOutcome::Failed => server.failures.fail(true, may_eject, now),
        }
    }

    /// Notes a sign that a server is leaving; it gets no new work from now on. Tells whether the
    /// sign is news.
    pub fn mark_leaving(&mut self, id: &ServerId, now: Instant) -> bool {
        let mut is_news = false;
        for (_, server) in &mut self.servers {
            if server.place.id == *id {
                is_news |= !server.is_leaving(now);
                server.leaving_until = Some(now + LEAVING_SIGN_TIME);
            }
        }
        is_news
    }

    /// The server of whom least is known, if a probe of it is worth its cost.
    pub fn probe_target(&self, now: Instant) -> Option<ProbeTarget> {
        let (index, (serial, server)) = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, (_, server))| !server.is_leaving(now))
            .min_by_key(|(_, (_, server))| server.reported_at.max(server.sampled_at))?;
        let known_at = server.reported_at.max(server.sampled_at);
        if now < known_at + PROBE_AFTER {
            return None;
        }
        let ticket = ServerTicket { index, serial: *serial };
        Some(ProbeTarget { ticket, address: server.place.address })
    }

    /// The identity of a server, if it is still known.
    pub fn server_id(&self, ticket: ServerTicket) -> Option<&ServerId> {
        let (serial, server) = self.servers.get(ticket.index)?;
        (*serial == ticket.serial).then_some(&server.place.id)
    }

    /// Where a server listens, if it is still known.
    pub fn address(&self, ticket: ServerTicket) -> Option<SocketAddr> {
        let found = self.servers.iter().find(|(serial, _)| *serial == ticket.serial);
        found.map(|(_, server)| server.place.address)
    }

    /// Connections that this entry VM may have to one server.
    pub fn connections(&self) -> usize {
        self.spec.connections as usize
    }

    fn add(&self, place: &ServerAddress, is_first_list: bool, now: Instant) -> BackendServer {
        let mut server = BackendServer::new(place.clone(), self.view.median_service, now);
        if is_first_list {
            // Servers that were there before this entry VM are warm.
            server.joined_at = now.checked_sub(self.options.slow_start).unwrap_or(now);
        }
        server
    }

    fn find(&mut self, ticket: ServerTicket) -> Option<&mut BackendServer> {
        let by_index = self.servers.get(ticket.index).map(|(serial, _)| *serial);
        let index = match by_index {
            Some(serial) if serial == ticket.serial => ticket.index,
            _ => self.servers.iter().position(|(serial, _)| *serial == ticket.serial)?,
        };
        self.servers.get_mut(index).map(|(_, server)| server)
    }

    fn is_open(&self, server: &BackendServer, now: Instant) -> bool {
        // One request at a time shows whether a server that was ejected is well again.
        let is_free_for_trial = !server.failures.is_on_trial(now) || server.own_in_flight == 0;
        !server.is_leaving(now)
            && !server.failures.is_ejected(now)
            && server.own_in_flight < self.spec.connections
            && is_free_for_trial
    }

    fn best(
        &self,
        now: Instant,
        random: &mut impl Rng,
        may_use: impl Fn(ServerTicket, &BackendServer) -> bool,
    ) -> Option<(usize, f64)> {
        let count = self.servers.len();
        let looked_at = count.min(MAX_CANDIDATES);
        // A random start and an odd step visit `looked_at` different servers of a large group.
        let start = if count == 0 { 0 } else { random.random_range(0..count) };
        let mut best: Option<(usize, f64, f64)> = None;
        for offset in 0..looked_at {
            let index = self.nth_candidate(start, offset, count, random);
            let (serial, server) = &self.servers[index];
            if !may_use(ServerTicket { index, serial: *serial }, server) {
                continue;
            }
            let estimate = estimate_request(server, &self.view, now);
            let cost = estimate.cost + self.way_seconds(server);
            let noisy = cost * (1.0 + self.options.noise * random.random::<f64>());
            if best.is_none_or(|(_, _, least)| noisy < least) {
                best = Some((index, estimate.wait, noisy));
            }
        }
        best.map(|(index, wait, _)| (index, wait))
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

    /// What it costs to use a server that is far, or that other entry VMs know better.
    fn way_seconds(&self, server: &BackendServer) -> f64 {
        let is_near = server.place.zone == self.spec.zone;
        let far = if is_near { 0.0 } else { self.options.zone_cost.as_secs_f64() };
        let away = if server.is_preferred { 0.0 } else { self.options.detour_cost };
        far + away * self.view.median_service
    }

    fn may_eject(&self, now: Instant) -> bool {
        let ejected =
            self.servers.iter().filter(|(_, server)| server.failures.is_ejected(now)).count();
        (ejected + 1) as f64 <= self.servers.len() as f64 * MAX_EJECTED_PART
    }

    fn refresh_view_if_old(&mut self, now: Instant) {
        self.picks_since_view += 1;
        let is_old = now >= self.view_at + VIEW_REFRESH_TIME;
        if self.picks_since_view >= VIEW_REFRESH_PICKS && is_old {
            self.refresh_view(now);
        }
    }

    fn refresh_view(&mut self, now: Instant) {
        self.picks_since_view = 0;
        self.view_at = now;
        let count = self.servers.len();
        if count == 0 {
            return;
        }
        let others: f64 = self.servers.iter().map(|(_, server)| server.others).sum();
        self.view.set_mean_others(others / count as f64);
        let mut services: Vec<f64> = self
            .servers
            .iter()
            .map(|(_, server)| current_service(server, &self.view, now))
            .collect();
        let middle = count / 2;
        let (_, median, _) = services.select_nth_unstable_by(middle, f64::total_cmp);
        self.view.median_service = *median;
    }
}

/// Smooths a request's time into the server's service time, less the wait that the load explains.
fn learn_service(
    server: &mut BackendServer,
    elapsed: Duration,
    in_flight: f64,
    view: &GroupView,
    now: Instant,
) {
    let current = current_service(server, view, now);
    let waiting = (in_flight - view.slots).max(0.0) / view.slots;
    let sample = elapsed.as_secs_f64() / (1.0 + waiting);
    server.service_seconds = current + (sample - current) * SERVICE_WEIGHT;
    server.sampled_at = now;
}
