//! Chooses servers as the request path does, in simulated time.

use balance::{PlacementEstimate, RequestShape, ServerTicket};
use rand::RngExt;

use crate::policy::ChoiceKind;
use crate::vm::ModelPlace;
use crate::world::{Event, LabWorld, VisitIndex};

/// Bytes of a request and its answer; the model has one zone, so they cost nothing.
const BYTES: u64 = 0;

/// What was looked at for one choice.
#[derive(Debug, Clone, Default)]
pub(crate) struct LookedAt {
    pub(crate) tickets: Vec<ServerTicket>,
    /// Rounds of asking so far.
    pub(crate) rounds: usize,
}

impl LabWorld<'_> {
    /// Begins a choice for a visit. A choice that asks servers ends after their reports.
    pub(crate) fn choose(&mut self, visit: VisitIndex) {
        match self.policy.choice {
            ChoiceKind::Group { asked, rounds } => {
                self.look_on(visit, LookedAt::default(), asked, rounds);
            }
            ChoiceKind::Random => {
                let server = self.random.random_range(0..self.servers.len());
                self.decide(visit, Some(self.plain_place(server)));
            }
            ChoiceKind::LeastOwn => {
                let vm = self.visits[visit].vm;
                let server = self.vms[vm].least_own(&mut self.random);
                self.decide(visit, Some(self.plain_place(server)));
            }
            ChoiceKind::Oracle => {
                let place = self.true_best();
                self.decide(visit, place);
            }
        }
    }

    /// Takes in the reports of servers that were asked.
    pub(crate) fn take_reports(&mut self, visit: VisitIndex, looked_at: LookedAt, new: usize) {
        let (vm, now) = (self.visits[visit].vm, self.instant());
        for ticket in &looked_at.tickets[looked_at.tickets.len() - new..] {
            let Some(server) = self.vms[vm].server_of(*ticket) else {
                continue;
            };
            if self.servers[server].is_dead(self.scenario, self.now) {
                let outcome = balance::SampleOutcome::Unreachable;
                self.vms[vm].group.record_outcome(*ticket, outcome, now);
            } else {
                let figures = self.servers[server].figures(self.scenario, self.now);
                self.vms[vm].group.apply_report(*ticket, figures, now);
            }
        }
        let ChoiceKind::Group { asked, rounds } = self.policy.choice else {
            return;
        };
        let shape = self.shape();
        let best = self.vms[vm].group.best_server(&looked_at.tickets, shape, now);
        if looked_at.rounds < rounds
            && best.is_none_or(|(_, estimate)| !estimate.is_acceptable(shape))
        {
            self.look_on(visit, looked_at, asked, rounds);
            return;
        }
        self.decide_best(visit, &looked_at);
    }

    fn look_on(&mut self, visit: VisitIndex, mut looked_at: LookedAt, asked: usize, rounds: usize) {
        let (vm, shape, now) = (self.visits[visit].vm, self.shape(), self.instant());
        let mut excluded = self.visits[visit].tried.clone();
        excluded.extend(&looked_at.tickets);
        let group = &self.vms[vm].group;
        let found = group.candidates(asked.max(1), shape, &excluded, now, &mut self.random);
        looked_at.rounds += 1;
        let new = found.len();
        looked_at.tickets.extend(found);
        if asked == 0 || new == 0 || looked_at.rounds > rounds {
            self.decide_best(visit, &looked_at);
            return;
        }
        let answered_at = self.now + self.probe_time();
        self.schedule(answered_at, Event::Asked { visit, looked_at, new });
    }

    fn decide_best(&mut self, visit: VisitIndex, looked_at: &LookedAt) {
        let (vm, shape, now) = (self.visits[visit].vm, self.shape(), self.instant());
        let tickets = match looked_at.tickets.is_empty() {
            true => &self.visits[visit].tried,
            false => &looked_at.tickets,
        };
        let vm = &self.vms[vm];
        let place = vm.group.best_server(tickets, shape, now).and_then(|(ticket, estimate)| {
            Some(ModelPlace { server: vm.server_of(ticket)?, ticket: Some(ticket), estimate })
        });
        self.decide(visit, place);
    }

    /// A place of a policy that expects nothing.
    fn plain_place(&self, server: usize) -> ModelPlace {
        let run = self.shape().service_time.as_secs_f64();
        let estimate = PlacementEstimate { wait_seconds: 0.0, run_seconds: run, cost_seconds: run };
        ModelPlace { server, ticket: None, estimate }
    }

    /// The server at which a request would truly end first.
    fn true_best(&self) -> Option<ModelPlace> {
        let living = self.servers.iter().enumerate();
        let living = living.filter(|(_, server)| !server.is_dead(self.scenario, self.now));
        let ends = living.map(|(number, server)| {
            let running: Vec<_> =
                server.running().iter().filter_map(|send| self.sends[*send].ends_at).collect();
            (server.would_end(self.scenario, &running, self.now), number)
        });
        let (end, server) = ends.min()?;
        let time = (end - self.now).as_secs_f64();
        let is_free = self.servers[server].has_free_slot();
        let wait = if is_free { 0.0 } else { f64::MIN_POSITIVE };
        let estimate =
            PlacementEstimate { wait_seconds: wait, run_seconds: time, cost_seconds: time };
        Some(ModelPlace { server, ticket: None, estimate })
    }

    pub(crate) fn shape(&self) -> RequestShape {
        RequestShape { service_time: self.work, transfer_bytes: BYTES }
    }
}
