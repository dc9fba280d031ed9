//! Selects servers in simulated time, in the same steps as the request path of the daemon.

use balance::{PROBES_PER_ROUND, PlacementEstimate, RequestShape};
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::policy::ServerSelection;
use crate::scenario::duration_from_ms;
use crate::simulation::{LabSimulation, RequestIndex, SimulationEvent};
use crate::vm::{CandidateSet, ModelPlacement};

/// Bytes of a request and its response. Their transfer costs nothing, since all servers are in one
/// zone.
const TRANSFER_BYTES: u64 = 0;

impl LabSimulation<'_> {
    /// Selects a server for a request. If servers are probed, the selection continues in
    /// `apply_reports` when they have responded.
    pub(crate) fn select_server(&mut self, request: RequestIndex) {
        match self.policy.selection {
            ServerSelection::Group { probe_count, max_rounds } => {
                self.probe_more(request, CandidateSet::default(), probe_count, max_rounds);
            }
            ServerSelection::Random => {
                let server = self.random.random_range(0..self.servers.len());
                self.apply_placement(request, Some(self.uninformed_placement(server)));
            }
            ServerSelection::LeastLocal => {
                let vm = self.requests[request].vm;
                let server = self.vms[vm].least_local_server(&mut self.random);
                self.apply_placement(request, Some(self.uninformed_placement(server)));
            }
            ServerSelection::Informed => self.select_informed(request),
            ServerSelection::Oracle => {
                let placement = self.oracle_placement();
                self.apply_placement(request, placement);
            }
        }
    }

    /// Applies the load reports of the last `new_count` candidates, which were probed, then places
    /// the request or starts another round.
    pub(crate) fn apply_reports(
        &mut self,
        request: RequestIndex,
        candidates: CandidateSet,
        new_count: usize,
    ) {
        let (vm, now) = (self.requests[request].vm, self.instant());
        for ticket in &candidates.tickets[candidates.tickets.len() - new_count..] {
            let Some(server) = self.vms[vm].server_index(*ticket) else {
                continue;
            };
            if self.servers[server].is_dead(self.scenario, self.now) {
                let outcome = balance::SampleOutcome::Unreachable;
                self.vms[vm].group.record_outcome(*ticket, outcome, now);
            } else {
                let load = self.servers[server].load(self.scenario, self.now);
                self.vms[vm].group.apply_report(*ticket, load, now);
            }
        }
        let ServerSelection::Group { probe_count, max_rounds } = self.policy.selection else {
            return;
        };
        let shape = self.request_shape();
        let best = self.vms[vm].group.best_server(&candidates.tickets, shape, now);
        if candidates.rounds < max_rounds
            && best.is_none_or(|(_, estimate)| !estimate.is_acceptable(shape))
        {
            self.probe_more(request, candidates, probe_count, max_rounds);
            return;
        }
        self.place_at_best(request, &candidates);
    }

    /// Adds candidates and probes them, or places the request if there is nothing to probe.
    fn probe_more(
        &mut self,
        request: RequestIndex,
        mut candidates: CandidateSet,
        probe_count: usize,
        max_rounds: usize,
    ) {
        let (vm, shape, now) = (self.requests[request].vm, self.request_shape(), self.instant());
        let mut excluded = self.requests[request].tried_servers.clone();
        excluded.extend(&candidates.tickets);
        let group = &self.vms[vm].group;
        let new_tickets =
            group.candidates(probe_count.max(1), shape, &excluded, now, &mut self.random);
        candidates.rounds += 1;
        let new_count = new_tickets.len();
        candidates.tickets.extend(new_tickets);
        if probe_count == 0 || new_count == 0 || candidates.rounds > max_rounds {
            self.place_at_best(request, &candidates);
            return;
        }
        let finished_at = self.now + self.probe_duration();
        self.schedule(
            finished_at,
            SimulationEvent::ProbesFinished { request, candidates, new_count },
        );
    }

    /// Places the request at the best candidate; without any, at the best server already tried.
    fn place_at_best(&mut self, request: RequestIndex, candidates: &CandidateSet) {
        let (vm, shape, now) = (self.requests[request].vm, self.request_shape(), self.instant());
        let tickets = match candidates.tickets.is_empty() {
            true => &self.requests[request].tried_servers,
            false => &candidates.tickets,
        };
        let vm = &self.vms[vm];
        let placement = vm.group.best_server(tickets, shape, now).and_then(|(ticket, estimate)| {
            Some(ModelPlacement {
                server: vm.server_index(ticket)?,
                ticket: Some(ticket),
                estimate,
            })
        });
        self.apply_placement(request, placement);
    }

    /// Places the request at the best of all live servers that it has not tried, by reports of this
    /// moment. The group learns from as many of them as the daemon probes in a round.
    fn select_informed(&mut self, request: RequestIndex) {
        let (vm, now) = (self.requests[request].vm, self.instant());
        let mut considered = CandidateSet::default();
        let mut tickets = self.vms[vm].group.tickets();
        tickets.shuffle(&mut self.random);
        for (position, ticket) in tickets.into_iter().enumerate() {
            let is_tried = self.requests[request].tried_servers.contains(&ticket);
            let Some(server) = self.vms[vm].server_index(ticket).filter(|_| !is_tried) else {
                continue;
            };
            if !self.servers[server].is_dead(self.scenario, self.now) {
                let load = self.servers[server].load(self.scenario, self.now);
                match position < PROBES_PER_ROUND {
                    true => self.vms[vm].group.apply_report(ticket, load, now),
                    false => self.vms[vm].group.refresh_report(ticket, load, now),
                }
                considered.tickets.push(ticket);
            }
        }
        self.place_at_best(request, &considered);
    }

    /// Returns the placement of a policy that estimates neither wait nor slowdown.
    fn uninformed_placement(&self, server: usize) -> ModelPlacement {
        let run_seconds = self.request_shape().service_time.as_secs_f64();
        let estimate = PlacementEstimate {
            wait_seconds: 0.0,
            run_seconds,
            cost_seconds: run_seconds,
            is_informed: true,
        };
        ModelPlacement { server, ticket: None, estimate }
    }

    /// Returns the live server at which the request would complete first.
    fn oracle_placement(&self) -> Option<ModelPlacement> {
        let live_servers = self.servers.iter().enumerate();
        let live_servers =
            live_servers.filter(|(_, server)| !server.is_dead(self.scenario, self.now));
        let completions = live_servers.map(|(index, server)| {
            let running: Vec<_> = server
                .running()
                .iter()
                .filter_map(|attempt| self.attempts[*attempt].ends_at)
                .collect();
            (server.projected_end(self.scenario, &running, self.now), index)
        });
        let (end, server) = completions.min()?;
        let run_seconds = (end - self.now).as_secs_f64();
        let is_free = self.servers[server].has_free_slot();
        // A positive wait marks the server as occupied; the wait itself is part of `run_seconds`.
        let wait_seconds = if is_free { 0.0 } else { f64::MIN_POSITIVE };
        let estimate = PlacementEstimate {
            wait_seconds,
            run_seconds,
            cost_seconds: run_seconds,
            is_informed: true,
        };
        Some(ModelPlacement { server, ticket: None, estimate })
    }

    pub(crate) fn request_shape(&self) -> RequestShape {
        RequestShape {
            service_time: self.service_time,
            transfer_bytes: TRANSFER_BYTES,
            target: duration_from_ms(self.scenario.target_ms),
        }
    }
}
