//! Servers in evacuated zones: none is chosen or probed, and what is known of them stays.

use std::collections::BTreeSet;
use std::time::Duration;

use balance::{
    ColdBound, ColdLimits, PlacementGroup, PlacementOptions, PlacementServer, RequestShape,
    SampleOutcome, ServerLoad, ServerTicket, WarmUpResponse,
};
use model::{RequestRate, ZoneName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const SHAPE: RequestShape = RequestShape {
    service_time: Duration::from_millis(200),
    target: Duration::from_millis(600),
    transfer_bytes: 0,
};

const COLD_LIMITS: ColdLimits = ColdLimits {
    duration: Duration::from_secs(3),
    rate: RequestRate(4.0),
    bound: ColdBound { over: 1.5, slack: 8.0 },
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn zone(name: &str) -> ZoneName {
    name.parse().expect("the name is valid")
}

/// Returns servers whose zones alternate.
fn servers(count: usize) -> Vec<PlacementServer> {
    let server = |number: usize| PlacementServer {
        id: format!("s-{number}").parse().expect("the name is valid"),
        started_at_ms: 100,
        address: format!("127.0.0.1:{}", 1_000 + number).parse().expect("the address is valid"),
        zone: zone(ZONES[number % ZONES.len()]),
        slots: 2,
        is_leaving: false,
        warm_up: None,
    };
    (0..count).map(server).collect()
}

fn new_group(listed: &[PlacementServer]) -> PlacementGroup {
    let mut group = PlacementGroup::new(PlacementOptions {
        vm: "entry-1".into(),
        zone: zone("zone-a"),
        zone_cost_per_kib: 0.0,
    });
    group.set_servers(listed);
    group
}

/// Returns the numbers of the servers that are chosen in some choices.
fn chosen(group: &PlacementGroup, now: Instant) -> BTreeSet<usize> {
    let mut random = StdRng::seed_from_u64(3);
    let mut numbers = BTreeSet::new();
    for _ in 0..200 {
        for ticket in group.candidates(3, SHAPE, &[], now, &mut random) {
            numbers.insert(number(group, ticket));
        }
    }
    numbers
}

fn number(group: &PlacementGroup, ticket: ServerTicket) -> usize {
    let (_, address) = group.id_and_address(ticket).expect("it is listed");
    usize::from(address.port()) - 1_000
}

fn ticket(group: &PlacementGroup, wanted: usize, now: Instant) -> ServerTicket {
    let tickets = group.candidates(usize::MAX, SHAPE, &[], now, &mut StdRng::seed_from_u64(1));
    let found = tickets.into_iter().find(|ticket| number(group, *ticket) == wanted);
    found.expect("the server is a candidate")
}

fn set_evacuated(group: &mut PlacementGroup, zones: &[&str], now: Instant) {
    let zones: Vec<ZoneName> = zones.iter().map(|name| zone(name)).collect();
    group.set_evacuated_zones(&zones, now);
}

#[test]
fn server_in_an_evacuated_zone_is_no_candidate_and_withdrawn() {
    let now = Instant::now();
    let mut group = new_group(&servers(6));
    let selected = ticket(&group, 1, now);
    set_evacuated(&mut group, &["zone-b"], now);
    assert_eq!(chosen(&group, now), BTreeSet::from([0, 2, 3, 5]));
    // It was selected before the evacuation, and is checked right before the send.
    assert!(group.is_withdrawn(selected, now));
    assert!(group.best_server(&[selected], SHAPE, now).is_none());
    set_evacuated(&mut group, &[], now);
    assert_eq!(chosen(&group, now).len(), 6);
    assert!(!group.is_withdrawn(selected, now));
}

#[test]
fn several_zones_are_evacuated_and_taken_back_one_by_one() {
    let now = Instant::now();
    let mut group = new_group(&servers(6));
    set_evacuated(&mut group, &["zone-a", "zone-c"], now);
    assert_eq!(chosen(&group, now), BTreeSet::from([1, 4]));
    set_evacuated(&mut group, &["zone-c"], now);
    assert_eq!(chosen(&group, now), BTreeSet::from([0, 1, 3, 4]));
}

#[test]
fn without_a_zone_left_no_server_accepts_a_request_at_any_time() {
    let now = Instant::now();
    let mut group = new_group(&servers(6));
    set_evacuated(&mut group, &ZONES, now);
    assert!(chosen(&group, now).is_empty());
    assert_eq!(group.first_return(now), None);
    assert_eq!(group.open_servers(), 0);
}

#[test]
fn server_that_is_listed_during_the_evacuation_is_withdrawn() {
    let now = Instant::now();
    let mut group = new_group(&servers(2));
    set_evacuated(&mut group, &["zone-b"], now);
    // Servers 1 and 4 are in the zone; 1 is of another incarnation now.
    let mut listed = servers(6);
    listed[1].started_at_ms += 1;
    group.set_servers(&listed);
    assert_eq!(chosen(&group, now), BTreeSet::from([0, 2, 3, 5]));
}

#[test]
fn learned_state_survives_an_evacuation_and_returned_servers_may_be_cold() {
    let now = Instant::now();
    let mut group = new_group(&servers(3));
    group.set_cold_limits(Some(COLD_LIMITS));
    let (moved, other) = (ticket(&group, 1, now), ticket(&group, 0, now));
    let load = ServerLoad { running: 1, waiting: 0, slots: 2, slowness: 2.0 };
    group.apply_report(moved, load, now);
    set_evacuated(&mut group, &["zone-b"], now);
    let end = now + Duration::from_secs(9);
    for ticket in [moved, other] {
        let response = WarmUpResponse { left: Some(Duration::ZERO), is_probe: true, sent_at: end };
        group.record_warm_up(ticket, response, end);
    }
    set_evacuated(&mut group, &[], end);
    assert_eq!(group.report_age(moved, end), Some(Duration::from_secs(9)));
    assert!(group.may_be_cold(moved, end));
    assert!(!group.may_be_cold(other, end));
}

/// A VM of a large group samples some servers; those that can't be used must not take the place of
/// others.
#[test]
fn large_group_uses_its_preferred_servers_outside_of_evacuated_zones() {
    let now = Instant::now();
    let mut group = new_group(&servers(180));
    let before = chosen(&group, now);
    assert!(before.iter().all(|number| number % 3 == 0), "those of the own zone are preferred");
    set_evacuated(&mut group, &["zone-a", "zone-b"], now);
    let after = chosen(&group, now);
    assert!(after.iter().all(|number| number % 3 == 2), "{after:?}");
    assert!(after.len() >= 10, "{after:?}");
    set_evacuated(&mut group, &[], now);
    assert_eq!(chosen(&group, now), before);
}

/// Failing servers stay in use if too many fail, which is a part of the servers that can be used.
#[test]
fn evacuated_servers_do_not_count_for_the_part_that_may_be_ejected() {
    let now = Instant::now();
    let mut group = new_group(&servers(6));
    set_evacuated(&mut group, &["zone-a", "zone-c"], now);
    for number in [1, 4] {
        let failing = ticket(&group, number, now);
        for _ in 0..20 {
            group.record_outcome(failing, SampleOutcome::Unreachable, now);
        }
    }
    assert_eq!(chosen(&group, now), BTreeSet::from([1, 4]));
}
