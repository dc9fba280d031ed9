//! Servers that say in their responses that they leave or want no requests for some time.

use std::time::Duration;

use balance::{
    PlacementGroup, PlacementOptions, PlacementServer, RequestShape, ServerNotice, ServerTicket,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const REST: Duration = Duration::from_secs(3);

fn shape() -> RequestShape {
    RequestShape {
        service_time: Duration::from_millis(200),
        target: Duration::from_millis(600),
        transfer_bytes: 0,
    }
}

fn server(number: usize) -> PlacementServer {
    PlacementServer {
        id: format!("s-{number}").parse().expect("the name is valid"),
        started_at_ms: 100,
        address: format!("127.0.0.1:{}", 1_000 + number).parse().expect("the address is valid"),
        zone: "zone-a".parse().expect("the name is valid"),
        slots: 2,
        is_leaving: false,
        warm_up: None,
    }
}

fn servers(count: usize) -> Vec<PlacementServer> {
    (0..count).map(server).collect()
}

fn new_group(listed: &[PlacementServer]) -> PlacementGroup {
    let mut group = PlacementGroup::new(PlacementOptions {
        vm: "entry-1".into(),
        zone: "zone-a".parse().expect("the name is valid"),
        zone_cost_per_kib: 0.0,
    });
    group.set_servers(listed);
    group
}

fn candidates(group: &PlacementGroup, now: Instant) -> Vec<ServerTicket> {
    let mut random = StdRng::seed_from_u64(1);
    group.candidates(usize::MAX, shape(), &[], now, &mut random)
}

/// Tickets by the number of the server.
fn tickets(group: &PlacementGroup, now: Instant) -> Vec<ServerTicket> {
    let mut tickets = candidates(group, now);
    tickets.sort_by_key(|ticket| group.id_and_address(*ticket).expect("it is listed").1.port());
    tickets
}

fn leaving() -> ServerNotice {
    ServerNotice { is_leaving: true, ..ServerNotice::default() }
}

fn resting(rest: Duration) -> ServerNotice {
    ServerNotice { rest: Some(rest), ..ServerNotice::default() }
}

#[test]
fn leaving_server_stays_out_whatever_the_list_says_until_it_starts_anew() {
    let now = Instant::now();
    let mut listed = servers(3);
    let mut group = new_group(&listed);
    let ticket = tickets(&group, now)[1];
    assert!(group.record_notice(ticket, &leaving(), now).starts_leaving);
    assert!(!group.record_notice(ticket, &leaving(), now).starts_leaving, "it is known");
    assert_eq!(candidates(&group, now).len(), 2);
    group.set_servers(&listed);
    assert_eq!(candidates(&group, now).len(), 2, "the list still says ready");
    group.set_servers(&[listed[0].clone(), listed[2].clone()]);
    group.set_servers(&listed);
    assert_eq!(candidates(&group, now).len(), 2, "the entry was gone and is there again");
    listed[1].started_at_ms -= 1;
    group.set_servers(&listed);
    assert_eq!(candidates(&group, now).len(), 2, "an earlier start");
    listed[1].started_at_ms += 2;
    group.set_servers(&listed);
    assert_eq!(candidates(&group, now).len(), 3, "a newer start");
}

#[test]
fn preferred_servers_of_a_large_group_are_replaced_when_they_leave() {
    let now = Instant::now();
    let mut group = new_group(&servers(100));
    for _ in 0..60 {
        let ticket = candidates(&group, now)[0];
        group.record_notice(ticket, &leaving(), now);
        assert!(group.is_withdrawn(ticket, now));
        assert!(candidates(&group, now).len() > 5, "no candidate is left");
    }
}

#[test]
fn resting_server_gets_requests_again_when_its_time_is_over() {
    let now = Instant::now();
    let mut group = new_group(&servers(2));
    let ticket = tickets(&group, now)[0];
    assert!(group.record_notice(ticket, &resting(REST), now).extends_rest);
    let shorter = resting(REST / 2);
    assert!(!group.record_notice(ticket, &shorter, now).extends_rest, "it ends no longer rest");
    let almost = now + REST - Duration::from_millis(1);
    assert!(group.is_withdrawn(ticket, almost));
    assert_eq!(group.best_server(&[ticket], shape(), almost), None);
    assert_eq!(candidates(&group, almost).len(), 1);
    assert_eq!(candidates(&group, now + REST).len(), 2);
}

#[test]
fn first_return_is_that_of_the_earliest_server_that_stays() {
    let now = Instant::now();
    let mut group = new_group(&servers(3));
    let tickets = tickets(&group, now);
    assert_eq!(group.first_return(now).expect("a server stays").at, now);
    for (ticket, rest) in tickets.iter().zip([1, 2, 3]) {
        group.record_notice(*ticket, &resting(Duration::from_secs(rest)), now);
    }
    let first = group.first_return(now).expect("a server stays");
    assert_eq!((first.at, first.is_resting), (now + Duration::from_secs(1), true));
    group.record_notice(tickets[0], &leaving(), now);
    let first = group.first_return(now).expect("a server stays");
    assert_eq!(first.at, now + Duration::from_secs(2));
    group.record_notice(tickets[1], &leaving(), now);
    group.record_notice(tickets[2], &leaving(), now);
    assert_eq!(group.first_return(now), None);
}

#[test]
fn rest_without_end_is_no_rest() {
    let now = Instant::now();
    let mut group = new_group(&servers(1));
    let ticket = tickets(&group, now)[0];
    assert!(!group.record_notice(ticket, &resting(Duration::MAX), now).extends_rest);
    assert_eq!(candidates(&group, now).len(), 1);
}
