//! Simulated entry VMs, which use the daemon's placement group and attempt budget.

use std::net::SocketAddr;
use std::time::Duration;

use balance::{
    CONNECT_TIMEOUT, PlacementEstimate, PlacementGroup, PlacementOptions, PlacementServer,
    RequestShape, SampleOutcome, ServerTicket, StartedRequest,
};
use limits::{AttemptBudget, AttemptLimits};
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::scenario::LabScenario;

/// Port of the first server. The index of a server is its port minus this.
const FIRST_PORT: usize = 1;

/// The server chosen for a request, with its estimate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ModelPlacement {
    /// Index of the server.
    pub(crate) server: usize,
    /// `None` for policies that don't use the placement group.
    pub(crate) ticket: Option<ServerTicket>,
    pub(crate) estimate: PlacementEstimate,
}

/// Servers that one selection considers.
#[derive(Debug, Clone, Default)]
pub(crate) struct CandidateSet {
    pub(crate) tickets: Vec<ServerTicket>,
    /// Number of rounds so far.
    pub(crate) rounds: usize,
}

/// A simulated entry VM.
pub(crate) struct ModelVm {
    pub(crate) group: PlacementGroup,
    pub(crate) budget: AttemptBudget,
    /// Requests of this VM in flight at each server.
    local_requests: Vec<u32>,
}

impl ModelVm {
    pub(crate) fn new(scenario: &LabScenario, index: usize) -> Self {
        let options = PlacementOptions {
            vm: format!("vm-{index}").into(),
            zone: "zone-a".parse().expect("the name is valid"),
            // All servers are in one zone.
            zone_cost_per_kib: 0.0,
        };
        let mut group = PlacementGroup::new(options);
        let servers: Vec<PlacementServer> =
            (0..scenario.servers).map(|server| placement_server(scenario, server)).collect();
        group.set_servers(&servers);
        let limits = AttemptLimits {
            ratio: scenario.budget.ratio,
            slack: scenario.budget.slack,
            window: Duration::from_secs_f64(scenario.budget.window_s),
            arrival_delay: CONNECT_TIMEOUT,
        };
        Self {
            group,
            budget: AttemptBudget::new(limits),
            local_requests: vec![0; scenario.servers],
        }
    }

    /// Returns the index of the server that a ticket refers to.
    pub(crate) fn server_index(&self, ticket: ServerTicket) -> Option<usize> {
        let (_, address) = self.group.id_and_address(ticket)?;
        Some(usize::from(address.port()) - FIRST_PORT)
    }

    /// Returns the server with the fewest requests of this VM in flight; ties are broken at random.
    pub(crate) fn least_local_server(&self, random: &mut StdRng) -> usize {
        let least = self.local_requests.iter().min().copied().unwrap_or(0);
        let best: Vec<usize> = (0..self.local_requests.len())
            .filter(|server| self.local_requests[*server] == least)
            .collect();
        best[random.random_range(0..best.len())]
    }

    /// Records the start of an attempt.
    pub(crate) fn start_attempt(
        &mut self,
        placement: &ModelPlacement,
        shape: RequestShape,
        now: Instant,
    ) -> Option<StartedRequest> {
        self.local_requests[placement.server] += 1;
        placement.ticket.map(|ticket| self.group.start_request(ticket, shape, now))
    }

    /// Records the end of an attempt.
    pub(crate) fn finish_attempt(
        &mut self,
        placement: &ModelPlacement,
        started: Option<StartedRequest>,
        outcome: SampleOutcome,
        report: Option<balance::ServerLoad>,
        now: Instant,
    ) {
        self.local_requests[placement.server] -= 1;
        if let Some(started) = started {
            self.group.finish_request(started, outcome, report, now);
        }
    }
}

fn placement_server(scenario: &LabScenario, server: usize) -> PlacementServer {
    PlacementServer {
        id: format!("server-{server}").parse().expect("the name is valid"),
        started_at_ms: 1,
        address: SocketAddr::from(([127, 0, 0, 1], (server + FIRST_PORT) as u16)),
        zone: "zone-a".parse().expect("the name is valid"),
        slots: scenario.slots,
        is_leaving: false,
        warm_up: None,
    }
}
