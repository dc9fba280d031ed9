//! A fleet of entry VMs keeps the bound of cold backend servers, and uses what it allows.

use std::collections::BTreeSet;
use std::time::Duration;

use balance::{
    AssignedTurns, ColdBound, ColdLimits, ListedWarmUp, PlacementGroup, PlacementOptions,
    PlacementServer, RequestShape, SampleOutcome, SendTurns, ServerLoad, ServerTicket,
    WarmUpResponse,
};
use model::RequestRate;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const LIMITS: ColdLimits = ColdLimits {
    duration: Duration::from_secs(3),
    rate: RequestRate(4.1),
    bound: ColdBound { over: 1.5, slack: 8.0 },
};

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(1);

/// Interval between two attempts of each entry VM to send requests.
const STEP: Duration = Duration::from_millis(20);

/// Interval between two messages of a relay to a subscriber.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest delay of a message of a relay.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(20);

/// How long turns are valid, and how long a relay waits before it assigns them.
const VALIDITY: Duration = Duration::from_millis(800);

/// Part of the allowed rate that is used on a burst.
const USE: std::ops::Range<f64> = 0.9..1.1;

const FLEET_SIZES: [usize; 4] = [1, 3, 100, 500];

fn shape() -> RequestShape {
    RequestShape {
        service_time: Duration::from_millis(160),
        target: Duration::from_millis(400),
        transfer_bytes: 0,
    }
}

fn server(number: usize) -> PlacementServer {
    PlacementServer {
        id: format!("s-{number}").parse().expect("the name is valid"),
        started_at_ms: 1,
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        zone: "zone-a".parse().expect("the name is valid"),
        slots: 2,
        is_leaving: false,
        warm_up: None,
    }
}

fn new_group(servers: usize) -> PlacementGroup {
    let zone = "zone-a".parse().expect("the name is valid");
    let mut group = PlacementGroup::new(PlacementOptions {
        vm: "entry-1".into(),
        zone,
        zone_cost_per_kib: 0.0,
    });
    group.set_cold_limits(Some(LIMITS));
    group.set_servers(&(0..servers).map(server).collect::<Vec<_>>());
    group
}

/// An entry VM. It takes the turns that its relay assigned, some time after it joined.
struct EntryVm {
    group: PlacementGroup,
    turns: SendTurns,
    relay: usize,
    turn: u32,
    joined_at: Instant,
    next_message_at: Instant,
}

/// Entry VMs, relays and servers that stay cold until the end of the test.
struct Fleet {
    vms: Vec<EntryVm>,
    /// Turns in use at each relay.
    used_turns: Vec<BTreeSet<u32>>,
    servers: usize,
    limits: ColdLimits,
    /// When each server received its requests.
    received: Vec<Vec<Instant>>,
    started_at: Instant,
    now: Instant,
    random: StdRng,
}

impl Fleet {
    /// Creates a fleet whose VMs joined their relays long ago and know that all servers are cold.
    fn established(vms: usize, servers: usize) -> Self {
        Self::established_with(LIMITS, vms, servers)
    }

    fn established_with(limits: ColdLimits, vms: usize, servers: usize) -> Self {
        let mut fleet = Self { limits, ..Self::new(vms.min(3), servers) };
        (0..vms).for_each(|_| fleet.add_vm());
        fleet.now += VALIDITY + MESSAGE_INTERVAL;
        let now = fleet.now;
        for index in 0..vms {
            fleet.receive_message(index);
            fleet.vms[index].next_message_at =
                now + MESSAGE_INTERVAL.mul_f64(fleet.random.random());
            for ticket in fleet.vms[index].group.tickets() {
                probe(&mut fleet.vms[index].group, ticket, now);
            }
        }
        fleet
    }

    fn new(relays: usize, servers: usize) -> Self {
        let started_at = Instant::now();
        Self {
            vms: Vec::new(),
            used_turns: vec![BTreeSet::new(); relays],
            servers,
            limits: LIMITS,
            received: vec![Vec::new(); servers],
            started_at,
            now: started_at,
            random: StdRng::seed_from_u64(7),
        }
    }

    /// Adds a VM that knows nothing yet.
    fn add_vm(&mut self) {
        let group = new_group(self.servers);
        let position: f64 = self.random.random();
        let turns = SendTurns::unassigned(self.used_turns.len(), position, self.now);
        let relay = self.vms.len() % self.used_turns.len();
        let turn = self.take_turn(relay);
        let (joined_at, next_message_at) = (self.now, self.now);
        let mut vm = EntryVm { group, turns, relay, turn, joined_at, next_message_at };
        vm.group.set_turns(turns);
        vm.group.set_cold_limits(Some(self.limits));
        self.vms.push(vm);
    }

    fn take_turn(&mut self, relay: usize) -> u32 {
        let used = &mut self.used_turns[relay];
        let turn = (0..).find(|turn| !used.contains(turn)).expect("there are fewer VMs");
        used.insert(turn);
        turn
    }

    /// Moves a VM to another relay.
    fn move_vm(&mut self, index: usize, relay: usize) {
        self.used_turns[self.vms[index].relay].remove(&self.vms[index].turn);
        let turn = self.take_turn(relay);
        let vm = &mut self.vms[index];
        (vm.relay, vm.turn, vm.joined_at) = (relay, turn, self.now);
    }

    fn receive_message(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if self.now < vm.joined_at + VALIDITY {
            return;
        }
        let delay = MAX_MESSAGE_DELAY.mul_f64(self.random.random());
        let count = self.used_turns[vm.relay].last().map_or(1, |last| last + 1);
        let clock = Duration::from_millis(12_345 * vm.relay as u64)
            + (self.now - self.started_at).saturating_sub(delay);
        let assigned =
            AssignedTurns { count, index: vm.turn, clock, read_at: self.now, validity: VALIDITY };
        vm.turns = vm.turns.assign(&assigned).expect("the index is less than the count");
        vm.group.set_turns(vm.turns);
    }

    /// Lets all VMs send what they can for `time`: each has more requests than it can send.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.vms.len() {
                if self.now >= self.vms[index].next_message_at {
                    self.vms[index].next_message_at += MESSAGE_INTERVAL;
                    self.receive_message(index);
                }
                self.send_requests(index);
            }
        }
    }

    fn send_requests(&mut self, index: usize) {
        let (now, group) = (self.now, &mut self.vms[index].group);
        let mut unusable: Vec<ServerTicket> = Vec::new();
        loop {
            let candidates = group.candidates(3, shape(), &unusable, now, &mut self.random);
            if candidates.is_empty() {
                return;
            }
            for ticket in &candidates {
                if group.may_be_cold(*ticket, now) {
                    probe(group, *ticket, now);
                }
            }
            let Some((ticket, _)) = group.best_server(&candidates, shape(), now) else {
                unusable.extend(candidates);
                continue;
            };
            group.record_sent(ticket, now);
            self.received[server_number(group, ticket)].push(now);
        }
    }

    /// Largest number of requests that a server received in any window.
    fn peak(&self) -> usize {
        self.received.iter().map(|received| peak_requests(received)).max().unwrap_or(0)
    }

    /// Requests per second of all servers from `start` on, as a part of what is allowed.
    fn used_part(&self, start: Instant) -> f64 {
        let count = self.received.iter().flatten().filter(|at| **at > start).count();
        let allowed = self.limits.rate.0 * self.limits.bound.over * self.servers as f64;
        count as f64 / (self.now - start).as_secs_f64() / allowed
    }

    fn assert_bound(&self, case: &str) {
        let allowed = self.limits.rate.0 * self.limits.bound.over + self.limits.bound.slack;
        let peak = self.peak();
        println!("{case}: at most {peak} requests a second of {allowed}");
        assert!(peak as f64 <= allowed, "{case}: {peak} requests in a second");
    }

    fn assert_used(&self, start: Instant, case: &str) {
        let used = self.used_part(start);
        println!("{case}: {used:.3} of the allowed rate is used");
        assert!(USE.contains(&used), "{case}: {used:.3} of the allowed rate is used");
    }
}

fn probe(group: &mut PlacementGroup, ticket: ServerTicket, now: Instant) {
    answer_probe(group, ticket, Some(Duration::from_secs(60)), now);
}

fn answer_probe(
    group: &mut PlacementGroup,
    ticket: ServerTicket,
    left: Option<Duration>,
    now: Instant,
) {
    group.record_warm_up(ticket, WarmUpResponse { left, is_probe: true, sent_at: now }, now);
}

fn server_number(group: &PlacementGroup, ticket: ServerTicket) -> usize {
    let (id, _) = group.id_and_address(ticket).expect("the server is listed");
    id.as_str()[2..].parse().expect("the name ends with the number")
}

fn peak_requests(received: &[Instant]) -> usize {
    let in_window = |start: usize| {
        let end = received[start] + WINDOW;
        received[start..].iter().take_while(|at| **at <= end).count()
    };
    (0..received.len()).map(in_window).max().unwrap_or(0)
}

#[test]
fn fleet_of_any_size_keeps_and_uses_what_a_cold_server_allows() {
    for vms in FLEET_SIZES {
        let mut fleet = Fleet::established(vms, 1);
        let start = fleet.now;
        fleet.run(Duration::from_secs(6));
        fleet.assert_bound(&format!("{vms} VMs"));
        fleet.assert_used(start, &format!("{vms} VMs"));
    }
}

#[test]
fn hundred_servers_that_return_at_one_moment_get_what_they_allow() {
    for vms in FLEET_SIZES {
        let mut fleet = Fleet::established(vms, 100);
        let start = fleet.now;
        // A turn may begin at any moment of the period in which the requests are counted.
        fleet.run(2 * LIMITS.duration);
        fleet.assert_bound(&format!("{vms} VMs, 100 servers"));
        fleet.assert_used(start, &format!("{vms} VMs, 100 servers"));
    }
}

/// Bounds of other deployments. Where the slack is small, it binds: three relays send at any moment.
#[test]
fn other_bounds_are_kept() {
    let cases =
        [(4.1, 1.5, 4.0), (1.0, 1.0, 3.0), (20.0, 1.2, 5.0), (50.0, 2.0, 30.0), (0.5, 1.0, 9.0)];
    for (rate, over, slack) in cases {
        let bound = ColdBound { over, slack };
        let limits = ColdLimits { rate: RequestRate(rate), bound, ..LIMITS };
        for vms in FLEET_SIZES {
            let mut fleet = Fleet::established_with(limits, vms, 2);
            let start = fleet.now;
            fleet.run(Duration::from_secs(5));
            let case = format!("{rate} x {over} + {slack}, {vms} VMs");
            fleet.assert_bound(&case);
            println!("{case}: {:.3} of the agreed rate is used", fleet.used_part(start));
            assert!(fleet.peak() > 0, "{case}: a cold server gets work");
        }
    }
}

/// Guards against VMs that use a limit as a whole until they know how many they are.
#[test]
fn start_of_all_vms_keeps_the_bound() {
    for vms in FLEET_SIZES {
        let mut fleet = Fleet::new(vms.min(3), 3);
        for _ in 0..vms {
            fleet.add_vm();
            fleet.now += Duration::from_millis(300) / vms as u32;
        }
        fleet.run(VALIDITY + MESSAGE_INTERVAL);
        let start = fleet.now;
        fleet.run(Duration::from_secs(4));
        fleet.assert_bound(&format!("start of {vms} VMs"));
        fleet.assert_used(start, &format!("start of {vms} VMs"));
    }
}

#[test]
fn loss_of_all_vms_keeps_the_bound() {
    for vms in FLEET_SIZES {
        let mut fleet = Fleet::established(vms, 3);
        fleet.run(Duration::from_secs(2));
        fleet.vms.clear();
        fleet.used_turns.iter_mut().for_each(BTreeSet::clear);
        (0..vms).for_each(|_| fleet.add_vm());
        fleet.run(Duration::from_secs(4));
        fleet.assert_bound(&format!("loss of {vms} VMs"));
    }
}

/// A relay fails, and its VMs join the others at random moments; later they move back.
#[test]
fn change_of_relays_keeps_the_bound() {
    for vms in FLEET_SIZES {
        let mut fleet = Fleet::established(vms, 3);
        let relays = fleet.used_turns.len();
        for round in 0..6 {
            for index in (0..vms).filter(|index| index % 3 == round % 3) {
                let next = (fleet.vms[index].relay + 1) % relays;
                fleet.move_vm(index, next);
                if fleet.random.random_bool(0.1) {
                    fleet.run(STEP);
                }
            }
            fleet.run(Duration::from_millis(700));
        }
        fleet.assert_bound(&format!("{vms} VMs change their relays"));
    }
}

#[test]
fn growth_of_the_fleet_keeps_the_bound() {
    let mut fleet = Fleet::established(3, 3);
    for _ in 0..200 {
        fleet.add_vm();
        fleet.run(STEP);
    }
    fleet.run(Duration::from_secs(1));
    fleet.assert_bound("growth from 3 to 203 VMs");
}

/// A cold server in a large group would rarely be among the sampled ones while it is this VM's turn.
#[test]
fn cold_server_with_an_open_turn_is_a_candidate_of_a_busy_large_group() {
    let mut random = StdRng::seed_from_u64(3);
    let start = Instant::now();
    let mut group = new_group(150);
    let tickets = group.tickets();
    let busy = ServerLoad { running: 2, waiting: 0, slots: 2, slowness: 1.0 };
    for _ in 0..3 {
        for ticket in &tickets {
            group.apply_report(*ticket, busy, start);
            answer_probe(&mut group, *ticket, Some(Duration::ZERO), start);
        }
    }
    assert!(group.is_saturated(), "all slots are in use");
    let cold = tickets[140];
    answer_probe(&mut group, cold, Some(LIMITS.duration), start);
    assert_eq!(group.cold_servers(start), 1);
    let candidates = group.candidates(3, shape(), &[], start, &mut random);
    assert!(candidates.contains(&cold), "the VM has its turn");
    group.record_sent(cold, start);
    let candidates = group.candidates(3, shape(), &[], start, &mut random);
    assert!(!candidates.contains(&cold), "the turn is used");
    assert!(group.best_server(&[cold], shape(), start).is_none());
}

/// Ticket of the only server of a group.
fn only_ticket(group: &PlacementGroup, now: Instant) -> ServerTicket {
    group.candidates(1, shape(), &[], now, &mut StdRng::seed_from_u64(1))[0]
}

/// Uses this VM's turn, so that a further request may be sent only to a server that isn't cold.
fn accepts_further_request(group: &mut PlacementGroup, ticket: ServerTicket, now: Instant) -> bool {
    group.record_sent(ticket, now);
    group.best_server(&[ticket], shape(), now).is_some()
}

#[test]
fn server_without_a_response_may_be_cold_and_is_probed_first() {
    let now = Instant::now();
    let mut group = new_group(1);
    let ticket = only_ticket(&group, now);
    assert!(group.may_be_cold(ticket, now));
    assert!(!accepts_further_request(&mut group, ticket, now));
    assert_eq!(only_ticket(&group, now), ticket, "it is a candidate, so that it is probed");
    answer_probe(&mut group, ticket, None, now);
    assert!(accepts_further_request(&mut group, ticket, now));
    // It may have become cold again since.
    let later = now + 2 * WINDOW;
    assert!(group.may_be_cold(ticket, later));
}

#[test]
fn server_that_says_it_is_cold_is_cold_until_it_says_otherwise() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut group = new_group(1);
    let ticket = only_ticket(&group, now);
    answer_probe(&mut group, ticket, Some(Duration::from_secs(2)), at(0));
    assert!(!accepts_further_request(&mut group, ticket, at(10)));
    // The response to an earlier probe arrives late.
    let late = WarmUpResponse { left: Some(Duration::ZERO), is_probe: true, sent_at: now };
    group.record_warm_up(ticket, WarmUpResponse { sent_at: at(0), ..late }, at(20));
    answer_probe(&mut group, ticket, Some(Duration::from_secs(2)), at(30));
    group.record_warm_up(ticket, WarmUpResponse { sent_at: at(25), ..late }, at(40));
    assert!(!accepts_further_request(&mut group, ticket, at(50)));
    // A response without the header says nothing about a server that is known to be cold.
    answer_probe(&mut group, ticket, None, at(60));
    assert!(!accepts_further_request(&mut group, ticket, at(70)));
    answer_probe(&mut group, ticket, Some(Duration::ZERO), at(80));
    assert!(accepts_further_request(&mut group, ticket, at(90)));
}

#[test]
fn list_entry_counts_from_its_receipt_and_is_applied_once() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut group = new_group(1);
    let ticket = only_ticket(&group, now);
    answer_probe(&mut group, ticket, None, now);
    let entry = |sequence, received_at| PlacementServer {
        warm_up: Some(ListedWarmUp { sequence, left: Duration::from_secs(2), received_at }),
        ..server(0)
    };
    group.set_servers(&[entry(4, at(0))]);
    assert!(!accepts_further_request(&mut group, ticket, at(10)));
    answer_probe(&mut group, ticket, Some(Duration::ZERO), at(20));
    // The entry of another server changes.
    group.set_servers(&[entry(4, at(30))]);
    assert!(accepts_further_request(&mut group, ticket, at(40)));
    group.set_servers(&[entry(5, at(50))]);
    assert!(!accepts_further_request(&mut group, ticket, at(60)));
    answer_probe(&mut group, ticket, None, at(2_100));
    assert!(accepts_further_request(&mut group, ticket, at(2_110)));
}

#[test]
fn new_incarnation_is_as_cold_as_its_entry_says() {
    let now = Instant::now();
    let mut group = new_group(1);
    let ticket = only_ticket(&group, now);
    answer_probe(&mut group, ticket, Some(Duration::ZERO), now);
    let warm_up = Some(ListedWarmUp { sequence: 1, left: LIMITS.duration, received_at: now });
    group.set_servers(&[PlacementServer { started_at_ms: 2, warm_up, ..server(0) }]);
    let restarted = only_ticket(&group, now);
    assert_eq!(group.cold_servers(now), 1);
    assert!(!accepts_further_request(&mut group, restarted, now));
}

#[test]
fn unreachable_server_may_have_been_restarted() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut group = new_group(1);
    let ticket = only_ticket(&group, now);
    answer_probe(&mut group, ticket, Some(Duration::ZERO), now);
    group.record_outcome(ticket, SampleOutcome::Unreachable, at(10));
    assert!(group.may_be_cold(ticket, at(20)));
    // The probe was sent before the failure.
    let early = WarmUpResponse { left: Some(Duration::ZERO), is_probe: true, sent_at: at(5) };
    group.record_warm_up(ticket, early, at(25));
    assert!(!accepts_further_request(&mut group, ticket, at(30)));
    answer_probe(&mut group, ticket, None, at(40));
    assert!(accepts_further_request(&mut group, ticket, at(50)));
}

#[test]
fn servers_of_a_zone_whose_evacuation_ended_are_probed_first() {
    let now = Instant::now();
    let mut group = new_group(1);
    let ticket = only_ticket(&group, now);
    answer_probe(&mut group, ticket, Some(Duration::ZERO), now);
    let other_zone = "zone-b".parse().expect("the name is valid");
    group.set_evacuated_zones(&[other_zone], now);
    group.set_evacuated_zones(&[], now);
    assert!(!group.may_be_cold(ticket, now));
    let own_zone = "zone-a".parse().expect("the name is valid");
    group.set_evacuated_zones(&[own_zone], now);
    group.set_evacuated_zones(&[], now);
    assert!(!accepts_further_request(&mut group, ticket, now));
}

/// A connection may take longer to open than the turn lasts.
#[test]
fn request_whose_turn_is_over_is_not_sent() {
    let now = Instant::now();
    let mut fleet = Fleet::established(3, 1);
    let vm = &mut fleet.vms[0];
    let mut at = fleet.now;
    let ticket = loop {
        at += Duration::from_millis(1);
        if let Some(ticket) =
            vm.group.candidates(1, shape(), &[], at, &mut fleet.random).first().copied()
        {
            break ticket;
        }
        assert!(at < now + Duration::from_secs(10), "the VM gets a turn");
    };
    vm.group.record_sent(ticket, at);
    assert!(vm.group.holds_turn(ticket, at, at + Duration::from_millis(50)));
    assert!(!vm.group.holds_turn(ticket, at, at + Duration::from_millis(450)));
    vm.group.record_sent(ticket, at + Duration::from_millis(1));
    assert!(!vm.group.holds_turn(ticket, at, at + Duration::from_millis(50)), "another took it");
    answer_probe(&mut vm.group, ticket, Some(Duration::ZERO), at + Duration::from_millis(60));
    assert!(vm.group.holds_turn(ticket, at, at + Duration::from_millis(450)), "it is warm");
}

/// Deployments without the feature are served as before.
#[test]
fn without_limits_a_cold_server_is_used_like_others() {
    let now = Instant::now();
    let mut group = new_group(1);
    group.set_cold_limits(None);
    let ticket = only_ticket(&group, now);
    assert!(!group.may_be_cold(ticket, now));
    answer_probe(&mut group, ticket, Some(LIMITS.duration), now);
    assert!(accepts_further_request(&mut group, ticket, now));
    assert_eq!(group.cold_servers(now), 0);
}

/// The server may name a lower limit than that of cold servers.
#[test]
fn lower_one_of_two_limits_holds() {
    let mut group = new_group(1);
    let now = Instant::now();
    let ticket = only_ticket(&group, now);
    answer_probe(&mut group, ticket, Some(Duration::from_secs(60)), now);
    let named =
        balance::LimitResponse { rate: Some(RequestRate(0.5)), is_probe: true, sent_at: now };
    group.record_limit(ticket, named, now);
    group.record_sent(ticket, now);
    let after_cold_period = now + Duration::from_millis(500);
    assert!(group.best_server(&[ticket], shape(), after_cold_period).is_none());
}
