//! Runs a scenario as a discrete event simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use balance::{
    AdmissionDecision, CONNECT_TIMEOUT, GroupLoad, HEDGE_RETRY_INTERVAL, RequestTimes,
    SampleOutcome, ServerTicket, StartedRequest, admit, hedge_delay, long_retry_delay,
    queue_poll_interval, short_retry_delay,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::callers::{CallerOutcome, ModelCaller, VmSelector, arrival_times};
use crate::outcome::LabOutcome;
use crate::policy::{LabPolicy, ServerSelection};
use crate::scenario::{LabScenario, duration_from_ms};
use crate::server::{ArrivalOutcome, AttemptIndex, ModelServer};
use crate::vm::{CandidateSet, ModelPlacement, ModelVm};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 2;

pub(crate) type CallerIndex = usize;
pub(crate) type RequestIndex = usize;

/// One request of a caller at an entry VM. A retry is another request.
pub(crate) struct ModelRequest {
    caller: CallerIndex,
    pub(crate) vm: usize,
    arrived_at: Duration,
    target_at: Duration,
    deadline: Duration,
    pub(crate) tried_servers: Vec<ServerTicket>,
    attempts: Vec<AttemptIndex>,
    is_ended: bool,
    /// Whether a server is being selected, or the request is queued until the next selection.
    is_awaiting_server: bool,
}

/// One attempt to run a request at a server.
pub(crate) struct ModelAttempt {
    request: RequestIndex,
    placement: ModelPlacement,
    /// Its count at the placement group.
    started: Option<StartedRequest>,
    /// End of its run, set when the run starts.
    pub(crate) ends_at: Option<Duration>,
    is_ended: bool,
}

/// An event at a point in simulated time.
pub(crate) enum SimulationEvent {
    /// A caller sends its request or a retry.
    CallerArrival(CallerIndex),
    /// A queued request selects a server again.
    SelectionDue(RequestIndex),
    /// The probed servers, the last `new_count` candidates, have responded.
    ProbesFinished { request: RequestIndex, candidates: CandidateSet, new_count: usize },
    /// An attempt reaches its server.
    ServerArrival(AttemptIndex),
    /// The run of an attempt ends at its server.
    RunFinished(AttemptIndex),
    /// A response reaches the entry VM.
    Response(AttemptIndex),
    /// The response of a server that shed an attempt reaches the entry VM.
    ShedResponse(AttemptIndex),
    /// The connection attempt to a dead server times out.
    ConnectTimeout(AttemptIndex),
    /// A slow attempt may be hedged.
    HedgeDue(RequestIndex),
    /// The deadline of a request has passed.
    RequestDeadline(RequestIndex),
}

/// State of one run.
pub(crate) struct LabSimulation<'a> {
    pub(crate) scenario: &'a LabScenario,
    pub(crate) policy: LabPolicy,
    pub(crate) random: StdRng,
    pub(crate) now: Duration,
    pub(crate) service_time: Duration,
    pub(crate) servers: Vec<ModelServer>,
    pub(crate) vms: Vec<ModelVm>,
    pub(crate) requests: Vec<ModelRequest>,
    pub(crate) attempts: Vec<ModelAttempt>,
    callers: Vec<ModelCaller>,
    vm_selector: VmSelector,
    /// Number of arrivals of attempts at servers.
    arrival_count: usize,
    /// Number of arrivals of the first attempt of a request.
    first_arrival_count: usize,
    /// Instant of simulated time zero, since `balance` and `limits` take instants.
    start_instant: Instant,
    events: Vec<Option<SimulationEvent>>,
    /// Times and indices of pending events. Simultaneous events run in the order of scheduling.
    event_queue: BinaryHeap<Reverse<(Duration, usize)>>,
}

/// Simulates a scenario. The same seed gives the same outcome.
pub fn run_scenario(scenario: &LabScenario, policy: LabPolicy, seed: u64) -> LabOutcome {
    let mut simulation = LabSimulation::new(scenario, policy, seed);
    while let Some(Reverse((at, index))) = simulation.event_queue.pop() {
        simulation.now = at;
        if let Some(event) = simulation.events[index].take() {
            simulation.handle_event(event);
        }
    }
    let extra_attempts = simulation.arrival_count - simulation.first_arrival_count;
    LabOutcome::new(scenario, &simulation.callers, extra_attempts)
}

impl<'a> LabSimulation<'a> {
    fn new(scenario: &'a LabScenario, policy: LabPolicy, seed: u64) -> Self {
        let start_instant = Instant::now();
        let mut simulation = Self {
            scenario,
            policy,
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            service_time: duration_from_ms(scenario.service_time_ms),
            servers: (0..scenario.servers)
                .map(|index| ModelServer::new(scenario, index, seed))
                .collect(),
            vms: (0..scenario.vms).map(|index| ModelVm::new(scenario, index)).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            callers: Vec::new(),
            vm_selector: VmSelector::new(scenario),
            arrival_count: 0,
            first_arrival_count: 0,
            start_instant,
            events: Vec::new(),
            event_queue: BinaryHeap::new(),
        };
        for first_arrival in arrival_times(scenario, seed) {
            let caller = simulation.callers.len();
            let retries_left = scenario.retries;
            simulation.callers.push(ModelCaller { first_arrival, retries_left, outcome: None });
            simulation.schedule(first_arrival, SimulationEvent::CallerArrival(caller));
        }
        simulation
    }

    pub(crate) fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.events.push(Some(event));
        self.event_queue.push(Reverse((at, self.events.len() - 1)));
    }

    /// Returns the simulated time as an instant for `balance` and `limits`.
    pub(crate) fn instant(&self) -> Instant {
        self.start_instant + self.now
    }

    /// Returns the duration of a probe, with its round trip.
    pub(crate) fn probe_duration(&self) -> Duration {
        self.network_delay() * 2 + duration_from_ms(self.scenario.probe_ms)
    }

    /// Returns the one-way network delay. It is zero for policies that know the present state, which
    /// would otherwise be outdated when the request arrives.
    fn network_delay(&self) -> Duration {
        match self.policy.selection {
            ServerSelection::Informed | ServerSelection::Oracle => Duration::ZERO,
            _ => duration_from_ms(self.scenario.network_delay_ms),
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::CallerArrival(caller) => self.receive_request(caller),
            SimulationEvent::SelectionDue(request) if !self.requests[request].is_ended => {
                self.select_server(request);
            }
            SimulationEvent::SelectionDue(_) => {}
            SimulationEvent::ProbesFinished { request, candidates, new_count } => {
                if !self.requests[request].is_ended {
                    self.apply_reports(request, candidates, new_count);
                }
            }
            SimulationEvent::ServerArrival(attempt) => self.arrive_at_server(attempt),
            SimulationEvent::RunFinished(attempt) => self.finish_run(attempt),
            SimulationEvent::Response(attempt) => self.handle_response(attempt),
            SimulationEvent::ShedResponse(attempt) => {
                self.handle_failure(attempt, SampleOutcome::Shed);
            }
            SimulationEvent::ConnectTimeout(attempt) => {
                self.handle_failure(attempt, SampleOutcome::Unreachable);
            }
            SimulationEvent::HedgeDue(request) => self.try_hedge(request),
            SimulationEvent::RequestDeadline(request) => {
                self.end_request(request, Some(CallerOutcome::Failed));
            }
        }
    }

    fn receive_request(&mut self, index: CallerIndex) {
        let vm = self.vm_selector.choose(&mut self.random);
        let first_arrival = self.callers[index].first_arrival;
        let request = ModelRequest {
            caller: index,
            vm,
            arrived_at: self.now,
            target_at: first_arrival + duration_from_ms(self.scenario.target_ms),
            deadline: first_arrival + duration_from_ms(self.scenario.deadline_ms),
            tried_servers: Vec::new(),
            attempts: Vec::new(),
            is_ended: false,
            is_awaiting_server: false,
        };
        let now = self.instant();
        self.vms[vm].budget.record_request(now);
        let deadline = request.deadline;
        self.requests.push(request);
        let request = self.requests.len() - 1;
        self.schedule(deadline, SimulationEvent::RequestDeadline(request));
        self.start_selection(request);
    }

    fn start_selection(&mut self, request: RequestIndex) {
        self.requests[request].is_awaiting_server = true;
        self.select_server(request);
    }

    /// Sends, queues or refuses a request, given its best placement.
    pub(crate) fn apply_placement(
        &mut self,
        index: RequestIndex,
        placement: Option<ModelPlacement>,
    ) {
        let Some(placement) = placement else {
            self.refuse_request(index);
            return;
        };
        let request = &self.requests[index];
        let times = RequestTimes {
            target_at: self.start_instant + request.target_at,
            deadline: self.start_instant + request.deadline,
        };
        let decision = match self.policy.has_queue {
            true => {
                let load = match self.policy.has_saturation_check {
                    true => self.vms[request.vm].group.load(),
                    false => GroupLoad::Light,
                };
                admit(&placement.estimate, self.request_shape(), times, load, self.instant())
            }
            false => AdmissionDecision::Send,
        };
        match decision {
            AdmissionDecision::Send => self.start_attempt(index, placement),
            AdmissionDecision::Queue => {
                let queued_count = match self.policy.has_saturation_check {
                    true => self.queued_requests(self.requests[index].vm),
                    false => 1,
                };
                let at = self.now
                    + model::jittered_with(
                        queue_poll_interval(queued_count, self.request_shape()),
                        &mut self.random,
                    );
                self.schedule(at, SimulationEvent::SelectionDue(index));
            }
            AdmissionDecision::Refuse => self.refuse_request(index),
        }
    }

    /// Returns the number of requests that wait for a server at an entry VM.
    fn queued_requests(&self, vm: usize) -> usize {
        let is_queued = |request: &&ModelRequest| {
            request.vm == vm && !request.is_ended && request.is_awaiting_server
        };
        // A request ends by its deadline, so only recent ones can still be open.
        let open_since = self.now.saturating_sub(duration_from_ms(self.scenario.deadline_ms));
        let recent = self.requests.iter().rev();
        recent.take_while(|request| request.arrived_at >= open_since).filter(is_queued).count()
    }

    fn start_attempt(&mut self, index: RequestIndex, placement: ModelPlacement) {
        if !self.requests[index].attempts.is_empty() && !self.take_extra(index) {
            self.refuse_request(index);
            return;
        }
        let request = &mut self.requests[index];
        request.is_awaiting_server = false;
        request.tried_servers.extend(placement.ticket);
        request.attempts.push(self.attempts.len());
        let vm = request.vm;
        let (shape, now) = (self.request_shape(), self.instant());
        let started = self.vms[vm].start_attempt(&placement, shape, now);
        let request = &self.requests[index];
        let is_first = request.attempts.len() == 1;
        self.attempts.push(ModelAttempt {
            request: index,
            placement,
            started,
            ends_at: None,
            is_ended: false,
        });
        let reached_at = self.now + self.network_delay();
        self.schedule(reached_at, SimulationEvent::ServerArrival(self.attempts.len() - 1));
        if self.policy.has_hedging && is_first {
            let after = hedge_delay(&placement.estimate, duration_from_ms(self.scenario.target_ms));
            self.schedule(self.now + after, SimulationEvent::HedgeDue(index));
        }
    }

    fn arrive_at_server(&mut self, index: AttemptIndex) {
        let attempt = &self.attempts[index];
        if attempt.is_ended {
            return;
        }
        let is_first = self.requests[attempt.request].attempts.first() == Some(&index);
        let server = attempt.placement.server;
        self.arrival_count += 1;
        self.first_arrival_count += usize::from(is_first);
        match self.servers[server].arrive(self.scenario, index, self.now) {
            ArrivalOutcome::Started(ends_at) => self.record_run_end(index, ends_at),
            ArrivalOutcome::Queued => {}
            ArrivalOutcome::Shed => {
                let received_at = self.now + self.network_delay();
                self.schedule(received_at, SimulationEvent::ShedResponse(index));
            }
            ArrivalOutcome::Dead => {
                let timeout_at = self.now + CONNECT_TIMEOUT;
                self.schedule(timeout_at, SimulationEvent::ConnectTimeout(index));
            }
        }
    }

    fn record_run_end(&mut self, attempt: AttemptIndex, ends_at: Duration) {
        self.attempts[attempt].ends_at = Some(ends_at);
        self.schedule(ends_at, SimulationEvent::RunFinished(attempt));
    }

    fn finish_run(&mut self, index: AttemptIndex) {
        let attempt = &self.attempts[index];
        if attempt.is_ended {
            return;
        }
        let is_server_dead =
            self.servers[attempt.placement.server].is_dead(self.scenario, self.now);
        self.remove_from_server(index);
        // A run on a dead server gives no response, so the attempt stays open until a hedged
        // attempt responds or the deadline passes.
        if !is_server_dead {
            let received_at = self.now + self.network_delay();
            self.schedule(received_at, SimulationEvent::Response(index));
        }
    }

    fn remove_from_server(&mut self, index: AttemptIndex) {
        let server = self.attempts[index].placement.server;
        let next = self.servers[server].remove(self.scenario, index, self.now);
        if let Some((next, ends_at)) = next {
            self.record_run_end(next, ends_at);
        }
    }

    fn handle_response(&mut self, index: AttemptIndex) {
        let request = self.attempts[index].request;
        if self.attempts[index].is_ended {
            return;
        }
        self.end_attempt(index, SampleOutcome::Responded);
        let first_arrival = self.callers[self.requests[request].caller].first_arrival;
        self.end_request(request, Some(CallerOutcome::Responded(self.now - first_arrival)));
    }

    /// Ends an attempt without a response, then starts another one if the budget allows it.
    fn handle_failure(&mut self, index: AttemptIndex, outcome: SampleOutcome) {
        if self.attempts[index].is_ended {
            return;
        }
        self.end_attempt(index, outcome);
        let request = self.attempts[index].request;
        if self.requests[request].is_ended || self.has_open_attempt(request) {
            return;
        }
        match self.may_send_again(request) {
            true => self.start_selection(request),
            false => self.refuse_request(request),
        }
    }

    fn try_hedge(&mut self, request: RequestIndex) {
        let state = &self.requests[request];
        if state.is_ended || state.is_awaiting_server || !self.has_open_attempt(request) {
            return;
        }
        if self.requests[request].attempts.len() >= MAX_ATTEMPTS {
            return;
        }
        match self.may_send_again(request) {
            true => self.start_selection(request),
            false => {
                self.schedule(self.now + HEDGE_RETRY_INTERVAL, SimulationEvent::HedgeDue(request));
            }
        }
    }

    /// Whether a further attempt is possible: returns `false` if the budget is used up, the maximum
    /// number of attempts is reached or the request would miss its deadline.
    fn may_send_again(&mut self, index: RequestIndex) -> bool {
        let request = &self.requests[index];
        let is_possible = request.attempts.len() < MAX_ATTEMPTS
            && self.now + self.service_time <= request.deadline;
        let now = self.instant();
        is_possible && self.vms[self.requests[index].vm].budget.has_extra(now)
    }

    /// Takes an extra attempt from the budget of the request's entry VM.
    fn take_extra(&mut self, index: RequestIndex) -> bool {
        let now = self.instant();
        self.vms[self.requests[index].vm].budget.try_take_extra(now)
    }

    fn has_open_attempt(&self, request: RequestIndex) -> bool {
        self.requests[request].attempts.iter().any(|attempt| !self.attempts[*attempt].is_ended)
    }

    /// Ends an attempt at its entry VM.
    fn end_attempt(&mut self, index: AttemptIndex, outcome: SampleOutcome) {
        let now = self.instant();
        let attempt = &mut self.attempts[index];
        attempt.is_ended = true;
        let server = &self.servers[attempt.placement.server];
        let has_report = matches!(outcome, SampleOutcome::Responded | SampleOutcome::Shed);
        let report = has_report.then(|| server.load(self.scenario, self.now));
        let vm = self.requests[attempt.request].vm;
        self.vms[vm].finish_attempt(&attempt.placement, attempt.started, outcome, report, now);
    }

    /// Refuses a request, unless an attempt is still open. Its caller retries if it has retries
    /// left.
    fn refuse_request(&mut self, index: RequestIndex) {
        self.requests[index].is_awaiting_server = false;
        if self.has_open_attempt(index) {
            return;
        }
        let request = &self.requests[index];
        let time_left = request.deadline.saturating_sub(self.now);
        let was_sent = !request.attempts.is_empty();
        let retry_delay = match was_sent {
            true => short_retry_delay(self.request_shape(), time_left, &mut self.random),
            false => long_retry_delay(time_left, &mut self.random),
        };
        let caller = request.caller;
        self.end_request(index, None);
        if self.callers[caller].retries_left == 0 {
            self.callers[caller].outcome = Some(CallerOutcome::Refused);
            return;
        }
        self.callers[caller].retries_left -= 1;
        self.schedule(self.now + retry_delay, SimulationEvent::CallerArrival(caller));
    }

    /// Ends a request and cancels its open attempts. `outcome` is the final outcome of its caller;
    /// `None` if the caller may retry.
    fn end_request(&mut self, index: RequestIndex, outcome: Option<CallerOutcome>) {
        if self.requests[index].is_ended {
            return;
        }
        self.requests[index].is_ended = true;
        for attempt in self.requests[index].attempts.clone() {
            if !self.attempts[attempt].is_ended {
                self.end_attempt(attempt, SampleOutcome::Cancelled);
                self.remove_from_server(attempt);
            }
        }
        if outcome.is_some() {
            self.callers[self.requests[index].caller].outcome = outcome;
        }
    }
}
