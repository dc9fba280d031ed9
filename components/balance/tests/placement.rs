//! Placement by load reports, and admission of requests.

use std::time::Duration;

use balance::{
    AdmissionDecision, GroupLoad, PlacementEstimate, PlacementGroup, PlacementOptions,
    PlacementServer, RequestShape, RequestTimes, SampleOutcome, ServerLoad, ServerTicket, admit,
    queue_poll_interval,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const SHAPE: RequestShape = RequestShape {
    service_time: Duration::from_millis(200),
    transfer_bytes: 1_000,
    target: Duration::from_millis(600),
};

fn group() -> PlacementGroup {
    group_of("entry-1")
}

fn group_of(vm: &str) -> PlacementGroup {
    PlacementGroup::new(PlacementOptions {
        vm: vm.into(),
        zone: "a".parse().unwrap(),
        zone_cost_per_kib: 0.01,
    })
}

fn server(id: &str, zone: &str) -> PlacementServer {
    PlacementServer {
        id: id.parse().unwrap(),
        started_at_ms: 0,
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 2,
        is_leaving: false,
        warm_up: None,
    }
}

fn report(running: u32, waiting: u32, slowness: f64) -> ServerLoad {
    ServerLoad { running, waiting, slots: 2, slowness }
}

fn all_candidates(group: &PlacementGroup, now: Instant) -> Vec<ServerTicket> {
    group.candidates(100, SHAPE, &[], now, &mut StdRng::seed_from_u64(1))
}

fn name(group: &PlacementGroup, ticket: ServerTicket) -> String {
    group.id_and_address(ticket).unwrap().0.to_string()
}

fn ticket(group: &PlacementGroup, id: &str, now: Instant) -> ServerTicket {
    all_candidates(group, now).into_iter().find(|ticket| name(group, *ticket) == id).unwrap()
}

fn best_name(group: &PlacementGroup, now: Instant) -> String {
    let (ticket, _) = group.best_server(&all_candidates(group, now), SHAPE, now).unwrap();
    name(group, ticket)
}

#[test]
fn slow_server_is_avoided_until_its_report_decays() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("slow", "a"), server("typical", "a")]);
    group.apply_report(ticket(&group, "slow", now), report(0, 0, 5.0), now);
    group.apply_report(ticket(&group, "typical", now), report(1, 0, 1.0), now);
    assert_eq!(best_name(&group, now), "typical");

    // Two seconds later the reported slowness has decayed, and the other server has a queue.
    let later = now + Duration::from_secs(2);
    group.apply_report(ticket(&group, "typical", later), report(2, 3, 1.0), later);
    assert_eq!(best_name(&group, later), "slow");
}

#[test]
fn free_slot_is_preferred_over_queue() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("queued", "a"), server("free", "a")]);
    group.apply_report(ticket(&group, "queued", now), report(2, 1, 1.0), now);
    group.apply_report(ticket(&group, "free", now), report(0, 0, 1.0), now);
    assert_eq!(best_name(&group, now), "free");
}

#[test]
fn local_request_counts_before_next_report() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a"), server("two", "a")]);
    for id in ["one", "two"] {
        group.apply_report(ticket(&group, id, now), report(0, 0, 1.0), now);
    }
    let first = ticket(&group, "one", now);
    group.start_request(first, SHAPE, now);
    group.start_request(first, SHAPE, now);
    assert_eq!(best_name(&group, now), "two");
}

#[test]
fn local_zone_is_preferred_until_its_wait_exceeds_zone_cost() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("far", "b"), server("near", "a")]);
    for id in ["far", "near"] {
        group.apply_report(ticket(&group, id, now), report(0, 0, 1.0), now);
    }
    assert_eq!(best_name(&group, now), "near");
    group.apply_report(ticket(&group, "near", now), report(2, 2, 1.0), now);
    assert_eq!(best_name(&group, now), "far");
}

#[test]
fn large_body_stays_in_zone_where_small_body_crosses_zones() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("far", "b"), server("near", "a")]);
    group.apply_report(ticket(&group, "far", now), report(0, 0, 1.0), now);
    group.apply_report(ticket(&group, "near", now), report(2, 0, 1.0), now);
    let tickets = all_candidates(&group, now);
    let best_for = |transfer_bytes| {
        let shape = RequestShape { transfer_bytes, ..SHAPE };
        name(&group, group.best_server(&tickets, shape, now).unwrap().0)
    };
    assert_eq!(best_for(1_000), "far");
    assert_eq!(best_for(100_000), "near");
}

#[test]
fn leaving_server_is_excluded_and_new_incarnation_starts_without_state() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a"), server("two", "a")]);
    let old = ticket(&group, "one", now);
    let started = group.start_request(old, SHAPE, now);
    group.apply_report(old, report(2, 4, 5.0), now);
    let restarted = PlacementServer { started_at_ms: 7, ..server("one", "a") };
    let leaving = PlacementServer { is_leaving: true, ..server("two", "a") };
    group.set_servers(&[restarted, leaving]);

    let tickets = all_candidates(&group, now);
    assert_eq!(tickets.len(), 1);
    assert_ne!(tickets[0], old);
    assert_eq!(group.report_age(tickets[0], now), None);
    // A response from the old incarnation doesn't change the state of the new one.
    group.finish_request(started, SampleOutcome::Failed, Some(report(2, 4, 5.0)), now);
    assert_eq!(group.report_age(tickets[0], now), None);
}

#[test]
fn unreachable_server_is_ejected_temporarily() {
    let now = Instant::now();
    let mut group = group();
    let servers = ["one", "two", "three"].map(|id| server(id, "a"));
    group.set_servers(&servers);
    let unreachable = ticket(&group, "two", now);
    group.record_outcome(unreachable, SampleOutcome::Unreachable, now);
    assert!(!all_candidates(&group, now).contains(&unreachable));
    assert!(all_candidates(&group, now + Duration::from_secs(1)).contains(&unreachable));
}

#[test]
fn ejected_server_is_candidate_when_no_other_exists() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a")]);
    let only = ticket(&group, "one", now);
    for _ in 0..20 {
        group.record_outcome(only, SampleOutcome::Unreachable, now);
    }
    assert_eq!(all_candidates(&group, now), [only]);
}

#[test]
fn entry_vms_prefer_few_servers_and_together_cover_large_group() {
    const SERVERS: usize = 120;
    const ENTRY_VMS: usize = 121;
    let now = Instant::now();
    let servers: Vec<PlacementServer> =
        (0..SERVERS).map(|number| server(&format!("s-{number}"), "a")).collect();
    let mut random = StdRng::seed_from_u64(7);
    let mut preferred_by = std::collections::BTreeMap::<String, usize>::new();
    for number in 0..ENTRY_VMS {
        let mut group = group_of(&format!("entry-{number}"));
        group.set_servers(&servers);
        let mut preferred = std::collections::BTreeSet::new();
        for _ in 0..50 {
            for ticket in group.candidates(3, SHAPE, &[], now, &mut random) {
                preferred.insert(name(&group, ticket));
            }
        }
        assert!(preferred.len() <= 12, "entry VM {number} prefers {} servers", preferred.len());
        for server in preferred {
            *preferred_by.entry(server).or_default() += 1;
        }
    }
    assert_eq!(preferred_by.len(), SERVERS);
    assert!(preferred_by.values().all(|count| *count <= 30), "{preferred_by:?}");
}

/// Load pattern: an entry VM of a large fleet sends each server of a large group one request in a
/// minute. A probe of any server would need a new connection nearly each time.
#[test]
fn entry_vm_compares_few_servers_of_a_large_group_until_the_load_is_heavy() {
    const SERVERS: usize = 150;
    let now = Instant::now();
    let servers: Vec<PlacementServer> =
        (0..SERVERS).map(|number| server(&format!("s-{number}"), "a")).collect();
    let mut random = StdRng::seed_from_u64(7);
    let mut group = group();
    group.set_servers(&servers);
    let mut compared = |group: &PlacementGroup| {
        let mut names = std::collections::BTreeSet::new();
        for _ in 0..200 {
            let mut excluded = Vec::new();
            for _ in 0..3 {
                excluded.extend(group.candidates(3, SHAPE, &excluded, now, &mut random));
            }
            names.extend(excluded.into_iter().map(|ticket| name(group, ticket)));
        }
        names.len()
    };
    let at_light_load = compared(&group);
    assert!(at_light_load <= 24, "{at_light_load} servers are compared under light load");
    for _ in 0..100 {
        group.apply_report(group.tickets()[0], report(2, 0, 1.0), now);
    }
    let at_heavy_load = compared(&group);
    assert!(at_heavy_load > 24, "{at_heavy_load} servers are compared under heavy load");
}

#[test]
fn probing_stops_after_checks_without_reports() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("one", "a"), server("two", "a")]);
    assert!(group.is_worth_probing());
    for _ in 0..10 {
        group.count_check_without_report();
    }
    assert!(!group.is_worth_probing());
    // A single report, from a response or a health check, enables probing again.
    let one = ticket(&group, "one", now);
    group.apply_report(one, report(0, 0, 1.0), now);
    assert!(group.is_worth_probing());
}

/// Times of a request with a target in 600 ms and a deadline in 1.5 s.
fn times_from(now: Instant) -> RequestTimes {
    RequestTimes {
        target_at: now + Duration::from_millis(600),
        deadline: now + Duration::from_millis(1_500),
    }
}

/// Decides on a request with this estimate, a target in 600 ms and a deadline in 1.5 s.
fn decide(wait_seconds: f64, run_seconds: f64, load: GroupLoad) -> AdmissionDecision {
    let now = Instant::now();
    let times = times_from(now);
    let shape = RequestShape { service_time: Duration::from_millis(220), ..SHAPE };
    admit(
        &PlacementEstimate {
            wait_seconds,
            run_seconds,
            cost_seconds: wait_seconds + run_seconds,
            is_informed: true,
        },
        shape,
        times,
        load,
        now,
    )
}

#[test]
fn request_is_sent_if_on_time_and_queued_otherwise() {
    assert_eq!(decide(0.0, 0.3, GroupLoad::Light), AdmissionDecision::Send);
    assert_eq!(decide(0.2, 0.3, GroupLoad::Light), AdmissionDecision::Send);
    assert_eq!(decide(0.4, 0.3, GroupLoad::Light), AdmissionDecision::Queue);
}

/// A quarter of the machines are slow at any moment, soon another quarter. A request that waits for
/// a fast one meets its target; one sent to a free slot of a slow machine misses it. Once the target
/// is out of reach, the free slot is better than a refusal.
#[test]
fn request_waits_for_fast_server_while_its_target_is_in_reach() {
    assert_eq!(decide(0.0, 1.1, GroupLoad::Light), AdmissionDecision::Queue);
    let now = Instant::now();
    let times = RequestTimes {
        target_at: now + Duration::from_millis(100),
        deadline: now + Duration::from_millis(1_500),
    };
    let slow = PlacementEstimate {
        wait_seconds: 0.0,
        run_seconds: 1.1,
        cost_seconds: 1.1,
        is_informed: true,
    };
    assert_eq!(admit(&slow, SHAPE, times, GroupLoad::Light, now), AdmissionDecision::Send);
    assert_eq!(admit(&slow, SHAPE, times, GroupLoad::Saturated, now), AdmissionDecision::Refuse);
}

/// Servers that aren't probed, or report no load: their mean speed misses the target, since some of
/// them are slow, but most requests would meet it.
#[test]
fn free_slot_of_server_with_unknown_speed_is_used() {
    let now = Instant::now();
    let times = times_from(now);
    let mean = PlacementEstimate {
        wait_seconds: 0.0,
        run_seconds: 0.7,
        cost_seconds: 0.7,
        is_informed: false,
    };
    for load in [GroupLoad::Light, GroupLoad::Heavy, GroupLoad::Saturated] {
        assert_eq!(admit(&mean, SHAPE, times, load, now), AdmissionDecision::Send);
    }
    let queued = PlacementEstimate { wait_seconds: 0.2, ..mean };
    assert_eq!(admit(&queued, SHAPE, times, GroupLoad::Light, now), AdmissionDecision::Queue);
}

/// Under heavy load the free slots are needed by requests that can be in time. A late one would slow
/// down the run beside it too.
#[test]
fn late_request_gets_a_free_slot_only_under_light_load() {
    let now = Instant::now();
    let late = RequestTimes { target_at: now, deadline: now + Duration::from_millis(1_500) };
    for is_informed in [false, true] {
        let free = PlacementEstimate {
            wait_seconds: 0.0,
            run_seconds: 0.2,
            cost_seconds: 0.2,
            is_informed,
        };
        let decide = |load| admit(&free, SHAPE, late, load, now);
        assert_eq!(decide(GroupLoad::Light), AdmissionDecision::Send);
        assert_eq!(decide(GroupLoad::Heavy), AdmissionDecision::Refuse);
        assert_eq!(decide(GroupLoad::Saturated), AdmissionDecision::Refuse);
    }
}

/// Several entry VMs see each free slot of a saturated group. A request sent to wait at a server,
/// or one that will miss its target, would take the slot of one that could be on time.
#[test]
fn saturated_group_requires_free_slot_and_on_time_response() {
    assert_eq!(decide(0.0, 0.3, GroupLoad::Saturated), AdmissionDecision::Send);
    assert_eq!(decide(0.2, 0.3, GroupLoad::Saturated), AdmissionDecision::Queue);
    assert_eq!(decide(0.0, 1.1, GroupLoad::Saturated), AdmissionDecision::Queue);
}

#[test]
fn request_that_cannot_finish_in_time_is_refused() {
    let now = Instant::now();
    let shape = RequestShape { service_time: Duration::from_millis(220), ..SHAPE };
    let estimate = PlacementEstimate {
        wait_seconds: 0.4,
        run_seconds: 0.3,
        cost_seconds: 0.7,
        is_informed: true,
    };
    let at = |millis| now + Duration::from_millis(millis);
    let times = RequestTimes { target_at: at(200), deadline: at(1_500) };
    assert_eq!(admit(&estimate, shape, times, GroupLoad::Light, now), AdmissionDecision::Refuse);
    let free = PlacementEstimate {
        wait_seconds: 0.0,
        run_seconds: 0.2,
        cost_seconds: 0.2,
        is_informed: true,
    };
    let times = RequestTimes { target_at: at(600), deadline: at(200) };
    assert_eq!(admit(&free, shape, times, GroupLoad::Light, now), AdmissionDecision::Refuse);
}

#[test]
fn group_is_saturated_while_reports_show_full_slots() {
    let now = Instant::now();
    let mut group = group();
    group.set_servers(&[server("s", "a")]);
    let tickets = all_candidates(&group, now);
    for _ in 0..200 {
        group.apply_report(tickets[0], report(2, 0, 1.0), now);
    }
    assert!(group.is_saturated());
    for _ in 0..20 {
        group.apply_report(tickets[0], report(0, 0, 1.0), now);
    }
    assert!(!group.is_saturated());
}

#[test]
fn queue_poll_rate_is_independent_of_queue_length() {
    let shape = RequestShape { service_time: Duration::from_millis(500), ..SHAPE };
    assert_eq!(queue_poll_interval(1, shape), Duration::from_millis(50));
    assert_eq!(queue_poll_interval(6, shape), Duration::from_millis(300));
    let short = RequestShape { service_time: Duration::from_millis(50), ..SHAPE };
    assert_eq!(queue_poll_interval(2, short), Duration::from_millis(20));
}

/// A quarter of the machines is slow and has full queues, while the others have free slots: requests
/// must not be refused as if there were none.
#[test]
fn queues_of_slow_servers_do_not_count_as_use_of_the_free_slots_elsewhere() {
    let now = Instant::now();
    let mut group = group();
    let listed: Vec<_> = (0..8).map(|number| server(&format!("s-{number}"), "a")).collect();
    group.set_servers(&listed);
    let tickets = all_candidates(&group, now);
    for _ in 0..100 {
        for (number, ticket) in tickets.iter().enumerate() {
            let load = match number < 2 {
                true => report(2, 4, 5.0),
                false => report(1, 0, 1.0),
            };
            group.apply_report(*ticket, load, now);
        }
    }
    assert!(!group.is_saturated());
    // Once the queues are everywhere, there are none.
    for _ in 0..100 {
        for ticket in &tickets {
            group.apply_report(*ticket, report(2, 1, 1.0), now);
        }
    }
    assert!(group.is_saturated());
}
