//! Placement by fresh reports.

use std::time::Duration;

use balance::{
    AdmissionStep, LoadFigures, PlacedServer, PlacementEstimate, PlacementGroup, PlacementOptions,
    RequestShape, RequestTimes, SampleOutcome, ServerTicket, admit, hold_step,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const WORK: RequestShape = RequestShape { work: Duration::from_millis(200), bytes: 5_000 };

fn group() -> PlacementGroup {
    group_of("entry-1")
}

fn group_of(vm: &str) -> PlacementGroup {
    PlacementGroup::new(PlacementOptions {
        vm: vm.into(),
        zone: "a".parse().unwrap(),
        zone_cost: Duration::from_millis(1),
        zone_cost_per_kib: Duration::from_millis(2),
    })
}

fn server(id: &str, zone: &str) -> PlacedServer {
    PlacedServer {
        id: id.parse().unwrap(),
        born_ms: 0,
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 2,
        is_leaving: false,
        warmup_left: Duration::ZERO,
    }
}

fn report(running: u32, waiting: u32, slowness: f64) -> LoadFigures {
    LoadFigures { running, waiting, slots: 2, slowness }
}

fn all(group: &PlacementGroup, now: Instant) -> Vec<ServerTicket> {
    group.candidates(100, WORK, &[], now, &mut StdRng::seed_from_u64(1))
}

fn name(group: &PlacementGroup, ticket: ServerTicket) -> String {
    group.place(ticket).unwrap().0.to_string()
}

fn ticket(group: &PlacementGroup, id: &str, now: Instant) -> ServerTicket {
    all(group, now).into_iter().find(|ticket| name(group, *ticket) == id).unwrap()
}

fn best(group: &PlacementGroup, now: Instant) -> String {
    let (ticket, _) = group.best(&all(group, now), WORK, now).unwrap();
    name(group, ticket)
}

#[test]
fn a_machine_that_is_slow_at_the_moment_is_avoided_and_soon_forgiven() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("slow", "a"), server("usual", "a")], now);
    group.take_report(ticket(&group, "slow", now), report(0, 0, 5.0), now);
    group.take_report(ticket(&group, "usual", now), report(1, 0, 1.0), now);
    assert_eq!(best(&group, now), "usual");

    // A second later the report of its speed says nothing more, and the other one is busier.
    let later = now + Duration::from_secs(2);
    group.take_report(ticket(&group, "usual", later), report(2, 3, 1.0), later);
    assert_eq!(best(&group, later), "slow");
}

#[test]
fn a_server_with_a_free_slot_goes_before_one_with_a_queue() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("queued", "a"), server("free", "a")], now);
    group.take_report(ticket(&group, "queued", now), report(2, 1, 1.0), now);
    group.take_report(ticket(&group, "free", now), report(0, 0, 1.0), now);
    assert_eq!(best(&group, now), "free");
}

#[test]
fn an_own_request_counts_before_the_next_report() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a"), server("two", "a")], now);
    for id in ["one", "two"] {
        group.take_report(ticket(&group, id, now), report(0, 0, 1.0), now);
    }
    let first = ticket(&group, "one", now);
    group.begin(first);
    group.begin(first);
    assert_eq!(best(&group, now), "two");
}

#[test]
fn the_own_zone_goes_first_while_it_is_not_worse_than_the_way() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("far", "b"), server("near", "a")], now);
    for id in ["far", "near"] {
        group.take_report(ticket(&group, id, now), report(0, 0, 1.0), now);
    }
    assert_eq!(best(&group, now), "near");
    group.take_report(ticket(&group, "near", now), report(2, 2, 1.0), now);
    assert_eq!(best(&group, now), "far");
}

#[test]
fn a_large_body_stays_in_its_zone_where_a_small_one_leaves_it() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("far", "b"), server("near", "a")], now);
    group.take_report(ticket(&group, "far", now), report(0, 0, 1.0), now);
    group.take_report(ticket(&group, "near", now), report(1, 0, 1.0), now);
    let tickets = all(&group, now);
    let place = |bytes| {
        let shape = RequestShape { bytes, ..WORK };
        name(&group, group.best(&tickets, shape, now).unwrap().0)
    };
    assert_eq!(place(1_000), "far");
    assert_eq!(place(100_000), "near");
}

#[test]
fn leaving_servers_are_no_candidates_and_another_life_starts_from_nothing() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a"), server("two", "a")], now);
    let old = ticket(&group, "one", now);
    group.begin(old);
    group.take_report(old, report(2, 4, 5.0), now);
    let reborn = PlacedServer { born_ms: 7, ..server("one", "a") };
    let leaving = PlacedServer { is_leaving: true, ..server("two", "a") };
    group.set_servers(&[reborn, leaving], now);

    let tickets = all(&group, now);
    assert_eq!(tickets.len(), 1);
    assert_ne!(tickets[0], old);
    assert_eq!(group.report_age(tickets[0], now), None);
    // The end of a request to the old life changes nothing of the new one.
    group.finish(old, SampleOutcome::Failed, Some(report(2, 4, 5.0)), now);
    assert_eq!(group.report_age(tickets[0], now), None);
}

#[test]
fn a_server_that_can_not_be_reached_is_left_out_for_a_while() {
    let now = Instant::now();
    let mut group = group();
    let servers = ["one", "two", "three"].map(|id| server(id, "a"));
    group.set_servers(&servers, now);
    let dead = ticket(&group, "two", now);
    group.note_outcome(dead, SampleOutcome::Unreachable, now);
    assert!(!all(&group, now).contains(&dead));
    assert!(all(&group, now + Duration::from_secs(1)).contains(&dead));
}

#[test]
fn when_all_are_ejected_one_of_them_is_still_tried() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a")], now);
    let only = ticket(&group, "one", now);
    for _ in 0..20 {
        group.note_outcome(only, SampleOutcome::Unreachable, now);
    }
    assert_eq!(all(&group, now), [only]);
}

#[test]
fn entry_vms_look_at_few_servers_of_a_large_group_and_together_at_all() {
    const SERVERS: usize = 120;
    const VMS: usize = 121;
    let now = Instant::now();
    let servers: Vec<PlacedServer> =
        (0..SERVERS).map(|number| server(&format!("s-{number}"), "a")).collect();
    let mut random = StdRng::seed_from_u64(7);
    let mut uses = std::collections::BTreeMap::<String, usize>::new();
    for number in 0..VMS {
        let mut group = group_of(&format!("entry-{number}"));
        group.set_servers(&servers, now);
        let mut own = std::collections::BTreeSet::new();
        for _ in 0..50 {
            for ticket in group.candidates(3, WORK, &[], now, &mut random) {
                own.insert(name(&group, ticket));
            }
        }
        assert!(own.len() <= 12, "entry VM {number} looks at {} servers", own.len());
        for server in own {
            *uses.entry(server).or_default() += 1;
        }
    }
    assert_eq!(uses.len(), SERVERS);
    assert!(uses.values().all(|uses| *uses <= 30), "{uses:?}");
}

#[test]
fn servers_that_do_not_tell_their_load_are_soon_not_asked() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a"), server("two", "a")], now);
    assert!(group.is_worth_asking());
    for _ in 0..10 {
        group.note_blank_answer();
    }
    assert!(!group.is_worth_asking());
    // One report, from an answer or a check, shows that the service tells it.
    let one = ticket(&group, "one", now);
    group.take_report(one, report(0, 0, 1.0), now);
    assert!(group.is_worth_asking());
}

/// What becomes of a request with these expectations, a target in 600 ms and a deadline in 1.5 s.
fn step(wait: f64, run: f64, is_crowded: bool) -> AdmissionStep {
    let now = Instant::now();
    let times = RequestTimes {
        target_at: now + Duration::from_millis(600),
        deadline: now + Duration::from_millis(1_500),
    };
    let shape = RequestShape { work: Duration::from_millis(220), bytes: 0 };
    admit(&PlacementEstimate { wait, run, cost: wait + run }, shape, times, is_crowded, now)
}

#[test]
fn a_request_is_sent_where_it_is_in_time_or_a_slot_is_spare_and_held_else() {
    assert_eq!(step(0.0, 0.3, false), AdmissionStep::Send);
    assert_eq!(step(0.2, 0.3, false), AdmissionStep::Send);
    assert_eq!(step(0.0, 1.1, false), AdmissionStep::Send);
    assert_eq!(step(0.4, 0.3, false), AdmissionStep::Hold);
}

/// Several entry VMs see each slot that comes free in a crowded group, so nothing is sent to wait
/// at a server, and what can only be late leaves the slot to others.
#[test]
fn in_a_crowded_group_only_a_free_slot_and_an_answer_in_time_count() {
    assert_eq!(step(0.0, 0.3, true), AdmissionStep::Send);
    assert_eq!(step(0.2, 0.3, true), AdmissionStep::Hold);
    assert_eq!(step(0.0, 1.1, true), AdmissionStep::Hold);
}

#[test]
fn a_request_that_can_not_be_in_time_any_more_is_refused_at_once() {
    let now = Instant::now();
    let shape = RequestShape { work: Duration::from_millis(220), bytes: 0 };
    let estimate = PlacementEstimate { wait: 0.4, run: 0.3, cost: 0.7 };
    let at = |millis| now + Duration::from_millis(millis);
    let times = RequestTimes { target_at: at(200), deadline: at(1_500) };
    assert_eq!(admit(&estimate, shape, times, false, now), AdmissionStep::Refuse);
    let free = PlacementEstimate { wait: 0.0, run: 0.2, cost: 0.2 };
    let times = RequestTimes { target_at: at(600), deadline: at(200) };
    assert_eq!(admit(&free, shape, times, false, now), AdmissionStep::Refuse);
}

#[test]
fn a_group_is_crowded_while_reports_say_that_its_slots_are_in_use() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("s", "a")], now);
    let tickets = all(&group, now);
    for _ in 0..200 {
        group.take_report(tickets[0], report(2, 0, 1.0), now);
    }
    assert!(group.is_crowded());
    for _ in 0..20 {
        group.take_report(tickets[0], report(0, 0, 1.0), now);
    }
    assert!(!group.is_crowded());
}

#[test]
fn an_entry_vm_looks_as_often_however_many_requests_it_holds() {
    let shape = RequestShape { work: Duration::from_millis(500), bytes: 0 };
    assert_eq!(hold_step(1, shape), Duration::from_millis(50));
    assert_eq!(hold_step(6, shape), Duration::from_millis(300));
    let short = RequestShape { work: Duration::from_millis(50), bytes: 0 };
    assert_eq!(hold_step(2, short), Duration::from_millis(20));
}
