//! The run of a scenario: events in order of simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use balance::{
    AdmissionDecision, CONNECT_TIMEOUT, HEDGE_RETRY_INTERVAL, RequestTimes, SampleOutcome,
    ServerTicket, admit, hedge_delay, long_retry_delay, queue_poll_interval, short_retry_delay,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::callers::{CallerEnd, ModelCaller, VmShares, arrivals};
use crate::outcome::LabOutcome;
use crate::placing::LookedAt;
use crate::policy::{ChoiceKind, LabPolicy};
use crate::scenario::{LabScenario, millis};
use crate::server::{ArrivalEnd, ModelServer, SendIndex};
use crate::vm::{ModelPlace, ModelVm};

/// Servers to which one attempt may be sent.
const MAX_SENDS: usize = 2;

pub(crate) type CallerIndex = usize;
pub(crate) type VisitIndex = usize;

/// One attempt of a caller at an entry VM.
pub(crate) struct ModelVisit {
    caller: CallerIndex,
    pub(crate) vm: usize,
    came_at: Duration,
    target_at: Duration,
    deadline: Duration,
    pub(crate) tried: Vec<ServerTicket>,
    sends: Vec<SendIndex>,
    is_ended: bool,
    /// Whether a choice is under way or a wait for the next one.
    is_choosing: bool,
}

/// One send of a request to a server.
pub(crate) struct ModelSend {
    visit: VisitIndex,
    place: ModelPlace,
    /// When its run ends, once it has begun.
    pub(crate) ends_at: Option<Duration>,
    is_ended: bool,
}

/// What happens at a time.
pub(crate) enum Event {
    /// A caller comes.
    Come(CallerIndex),
    /// A choice begins.
    Choose(VisitIndex),
    /// Servers that were asked have answered.
    Asked { visit: VisitIndex, looked_at: LookedAt, new: usize },
    /// A send reaches its server.
    Reach(SendIndex),
    /// A run ends.
    RunEnds(SendIndex),
    /// An answer reaches its entry VM.
    Answer(SendIndex),
    /// A server's word that it has no room reaches the entry VM.
    Shed(SendIndex),
    /// A server has not answered for too long.
    Unreachable(SendIndex),
    /// A slow send may get a second one.
    Hedge(VisitIndex),
    /// A caller's time is over.
    Deadline(VisitIndex),
}

/// Everything of one run.
pub(crate) struct LabWorld<'a> {
    pub(crate) scenario: &'a LabScenario,
    pub(crate) policy: LabPolicy,
    pub(crate) random: StdRng,
    pub(crate) now: Duration,
    pub(crate) work: Duration,
    pub(crate) servers: Vec<ModelServer>,
    pub(crate) vms: Vec<ModelVm>,
    pub(crate) visits: Vec<ModelVisit>,
    pub(crate) sends: Vec<ModelSend>,
    callers: Vec<ModelCaller>,
    shares: VmShares,
    /// Arrivals at servers.
    arrived: usize,
    /// First arrivals of a visit.
    first_arrived: usize,
    /// Invariant: `base` plus `now` is the time that decisions are told.
    base: Instant,
    events: Vec<Option<Event>>,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
}

/// Runs a scenario. The same seed gives the same outcome.
pub fn run_scenario(scenario: &LabScenario, policy: LabPolicy, seed: u64) -> LabOutcome {
    let mut world = LabWorld::new(scenario, policy, seed);
    while let Some(Reverse((at, index))) = world.queue.pop() {
        world.now = at;
        if let Some(event) = world.events[index].take() {
            world.take(event);
        }
    }
    let extra = world.arrived - world.first_arrived;
    LabOutcome::new(scenario, &world.callers, extra)
}

impl<'a> LabWorld<'a> {
    fn new(scenario: &'a LabScenario, policy: LabPolicy, seed: u64) -> Self {
        let base = Instant::now();
        let mut world = Self {
            scenario,
            policy,
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            work: millis(scenario.work_ms),
            servers: (0..scenario.servers)
                .map(|number| ModelServer::new(scenario, number, seed))
                .collect(),
            vms: (0..scenario.vms).map(|number| ModelVm::new(scenario, number, base)).collect(),
            visits: Vec::new(),
            sends: Vec::new(),
            callers: Vec::new(),
            shares: VmShares::new(scenario),
            arrived: 0,
            first_arrived: 0,
            base,
            events: Vec::new(),
            queue: BinaryHeap::new(),
        };
        for first_at in arrivals(scenario, seed) {
            let caller = world.callers.len();
            let returns_left = scenario.returns;
            world.callers.push(ModelCaller { first_at, returns_left, end: None });
            world.schedule(first_at, Event::Come(caller));
        }
        world
    }

    pub(crate) fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Some(event));
        self.queue.push(Reverse((at, self.events.len() - 1)));
    }

    /// The time that decisions are told.
    pub(crate) fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Time of a health check with its way.
    pub(crate) fn probe_time(&self) -> Duration {
        self.way() * 2 + millis(self.scenario.probe_ms)
    }

    /// The oracle's requests take no time on their way, or its knowledge would be old.
    fn way(&self) -> Duration {
        match self.policy.choice {
            ChoiceKind::Oracle => Duration::ZERO,
            _ => millis(self.scenario.way_ms),
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Come(caller) => self.come(caller),
            Event::Choose(visit) if !self.visits[visit].is_ended => self.choose(visit),
            Event::Choose(_) => {}
            Event::Asked { visit, looked_at, new } => {
                if !self.visits[visit].is_ended {
                    self.take_reports(visit, looked_at, new);
                }
            }
            Event::Reach(send) => self.reach(send),
            Event::RunEnds(send) => self.run_ends(send),
            Event::Answer(send) => self.answer(send),
            Event::Shed(send) => self.fail(send, SampleOutcome::Shed),
            Event::Unreachable(send) => self.fail(send, SampleOutcome::Unreachable),
            Event::Hedge(visit) => self.hedge(visit),
            Event::Deadline(visit) => self.end_visit(visit, Some(CallerEnd::Failed)),
        }
    }

    fn come(&mut self, index: CallerIndex) {
        let vm = self.shares.choose(&mut self.random);
        let first_at = self.callers[index].first_at;
        let visit = ModelVisit {
            caller: index,
            vm,
            came_at: self.now,
            target_at: first_at + millis(self.scenario.target_ms),
            deadline: first_at + millis(self.scenario.deadline_ms),
            tried: Vec::new(),
            sends: Vec::new(),
            is_ended: false,
            is_choosing: false,
        };
        let now = self.instant();
        self.vms[vm].budget.record_request(now);
        let deadline = visit.deadline;
        self.visits.push(visit);
        let visit = self.visits.len() - 1;
        self.schedule(deadline, Event::Deadline(visit));
        self.begin_choice(visit);
    }

    fn begin_choice(&mut self, visit: VisitIndex) {
        self.visits[visit].is_choosing = true;
        self.choose(visit);
    }

    /// Sends, holds or refuses a visit whose best place is known.
    pub(crate) fn decide(&mut self, index: VisitIndex, place: Option<ModelPlace>) {
        let Some(place) = place else {
            self.refuse(index);
            return;
        };
        let visit = &self.visits[index];
        let times = RequestTimes {
            target_at: self.base + visit.target_at,
            deadline: self.base + visit.deadline,
        };
        let step = match self.policy.holds {
            true => {
                let is_crowded =
                    self.policy.minds_crowds && self.vms[visit.vm].group.is_saturated();
                admit(&place.estimate, self.shape(), times, is_crowded, self.instant())
            }
            false => AdmissionDecision::Send,
        };
        match step {
            AdmissionDecision::Send => self.send(index, place),
            AdmissionDecision::Queue => {
                let held = match self.policy.minds_crowds {
                    true => self.held_at(self.visits[index].vm),
                    false => 1,
                };
                let at = self.now
                    + model::jittered_with(
                        queue_poll_interval(held, self.shape()),
                        &mut self.random,
                    );
                self.schedule(at, Event::Choose(index));
            }
            AdmissionDecision::Refuse => self.refuse(index),
        }
    }

    /// Requests that wait at an entry VM for a server.
    fn held_at(&self, vm: usize) -> usize {
        let is_held = |visit: &&ModelVisit| visit.vm == vm && !visit.is_ended && visit.is_choosing;
        // Visits end by their deadline, so the open ones are among the last.
        let open_since = self.now.saturating_sub(millis(self.scenario.deadline_ms));
        let recent = self.visits.iter().rev();
        recent.take_while(|visit| visit.came_at >= open_since).filter(is_held).count()
    }

    fn send(&mut self, index: VisitIndex, place: ModelPlace) {
        let visit = &mut self.visits[index];
        visit.is_choosing = false;
        visit.tried.extend(place.ticket);
        visit.sends.push(self.sends.len());
        self.vms[visit.vm].begin(&place);
        let is_first = visit.sends.len() == 1;
        self.sends.push(ModelSend { visit: index, place, ends_at: None, is_ended: false });
        let reached_at = self.now + self.way();
        self.schedule(reached_at, Event::Reach(self.sends.len() - 1));
        if self.policy.hedges && is_first {
            let after = hedge_delay(&place.estimate, millis(self.scenario.target_ms));
            self.schedule(self.now + after, Event::Hedge(index));
        }
    }

    fn reach(&mut self, index: SendIndex) {
        let send = &self.sends[index];
        if send.is_ended {
            return;
        }
        let is_first = self.visits[send.visit].sends.first() == Some(&index);
        let server = send.place.server;
        self.arrived += 1;
        self.first_arrived += usize::from(is_first);
        match self.servers[server].arrive(self.scenario, index, self.now) {
            ArrivalEnd::Runs(ends_at) => self.note_run(index, ends_at),
            ArrivalEnd::Waits => {}
            ArrivalEnd::Shed => {
                let told_at = self.now + self.way();
                self.schedule(told_at, Event::Shed(index));
            }
            ArrivalEnd::Dead => {
                let given_up_at = self.now + CONNECT_TIMEOUT;
                self.schedule(given_up_at, Event::Unreachable(index));
            }
        }
    }

    fn note_run(&mut self, send: SendIndex, ends_at: Duration) {
        self.sends[send].ends_at = Some(ends_at);
        self.schedule(ends_at, Event::RunEnds(send));
    }

    fn run_ends(&mut self, index: SendIndex) {
        let send = &self.sends[index];
        if send.is_ended {
            return;
        }
        let is_lost = self.servers[send.place.server].is_dead(self.scenario, self.now);
        self.leave_server(index);
        // A run that is lost with its server has no answer; only the caller's deadline ends the wait.
        if !is_lost {
            let told_at = self.now + self.way();
            self.schedule(told_at, Event::Answer(index));
        }
    }

    fn leave_server(&mut self, index: SendIndex) {
        let server = self.sends[index].place.server;
        let next = self.servers[server].leave(self.scenario, index, self.now);
        if let Some((next, ends_at)) = next {
            self.note_run(next, ends_at);
        }
    }

    fn answer(&mut self, index: SendIndex) {
        let visit = self.sends[index].visit;
        if self.sends[index].is_ended {
            return;
        }
        self.end_send(index, SampleOutcome::Responded);
        let first_at = self.callers[self.visits[visit].caller].first_at;
        self.end_visit(visit, Some(CallerEnd::Answered(self.now - first_at)));
    }

    /// Notes that a send brought nothing, and sends again where the budget allows it.
    fn fail(&mut self, index: SendIndex, outcome: SampleOutcome) {
        if self.sends[index].is_ended {
            return;
        }
        self.end_send(index, outcome);
        let visit = self.sends[index].visit;
        if self.visits[visit].is_ended || self.has_open_send(visit) {
            return;
        }
        match self.may_send_again(visit) {
            true => self.begin_choice(visit),
            false => self.refuse(visit),
        }
    }

    fn hedge(&mut self, visit: VisitIndex) {
        let state = &self.visits[visit];
        if state.is_ended || state.is_choosing || !self.has_open_send(visit) {
            return;
        }
        if self.visits[visit].sends.len() >= MAX_SENDS {
            return;
        }
        match self.may_send_again(visit) {
            true => self.begin_choice(visit),
            false => self.schedule(self.now + HEDGE_RETRY_INTERVAL, Event::Hedge(visit)),
        }
    }

    fn may_send_again(&mut self, index: VisitIndex) -> bool {
        let visit = &self.visits[index];
        let is_possible = visit.sends.len() < MAX_SENDS && self.now + self.work <= visit.deadline;
        let now = self.instant();
        is_possible && self.vms[self.visits[index].vm].budget.try_take_extra(now)
    }

    fn has_open_send(&self, visit: VisitIndex) -> bool {
        self.visits[visit].sends.iter().any(|send| !self.sends[*send].is_ended)
    }

    /// Ends a send at its entry VM.
    fn end_send(&mut self, index: SendIndex, outcome: SampleOutcome) {
        let now = self.instant();
        let send = &mut self.sends[index];
        send.is_ended = true;
        let server = &self.servers[send.place.server];
        let tells = matches!(outcome, SampleOutcome::Responded | SampleOutcome::Shed);
        let report = tells.then(|| server.figures(self.scenario, self.now));
        let vm = self.visits[send.visit].vm;
        self.vms[vm].finish(&send.place, outcome, report, now);
    }

    /// Refuses a visit, unless a send of it is still open; its caller may come back.
    fn refuse(&mut self, index: VisitIndex) {
        self.visits[index].is_choosing = false;
        if self.has_open_send(index) {
            return;
        }
        let visit = &self.visits[index];
        let left = visit.deadline.saturating_sub(self.now);
        let was_sent = !visit.sends.is_empty();
        let pause = match was_sent {
            true => short_retry_delay(self.shape(), left, &mut self.random),
            false => long_retry_delay(left, &mut self.random),
        };
        let caller = visit.caller;
        self.end_visit(index, None);
        if self.callers[caller].returns_left == 0 {
            self.callers[caller].end = Some(CallerEnd::Refused);
            return;
        }
        self.callers[caller].returns_left -= 1;
        self.schedule(self.now + pause, Event::Come(caller));
    }

    /// Ends a visit and what is open of it; `end` is what its caller gets, if it is the end.
    fn end_visit(&mut self, index: VisitIndex, end: Option<CallerEnd>) {
        if self.visits[index].is_ended {
            return;
        }
        self.visits[index].is_ended = true;
        for send in self.visits[index].sends.clone() {
            if !self.sends[send].is_ended {
                self.end_send(send, SampleOutcome::Cancelled);
                self.leave_server(send);
            }
        }
        if end.is_some() {
            self.callers[self.visits[index].caller].end = end;
        }
    }
}
