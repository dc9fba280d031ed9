//! A fleet of entry VMs keeps the limit that a backend server names.

use std::time::Duration;

use balance::{LimitResponse, PlacementGroup, PlacementOptions, PlacementServer, RequestShape};
use model::RequestRate;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

/// Length of the windows in which the requests of all entry VMs are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests allowed in a window beyond one and a half times the limit.
const REQUEST_SLACK: f64 = 5.0;

/// Interval between two attempts of each entry VM to send a request.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

const SIMULATED_TIME: Duration = Duration::from_secs(120);

fn shape() -> RequestShape {
    RequestShape {
        service_time: Duration::from_millis(200),
        target: Duration::from_millis(600),
        transfer_bytes: 0,
    }
}

fn new_group(share: f64, now: Instant) -> PlacementGroup {
    let zone: model::ZoneName = "zone-a".parse().expect("the name is valid");
    let options =
        PlacementOptions { vm: "entry-1".into(), zone: zone.clone(), zone_cost_per_kib: 0.0 };
    let mut group = PlacementGroup::new(options);
    group.set_servers(&[PlacementServer {
        id: "s-0".parse().expect("the name is valid"),
        started_at_ms: 1,
        address: "127.0.0.1:80".parse().expect("the address is valid"),
        zone,
        slots: 2,
        is_leaving: false,
    }]);
    group.set_limit_share(share, now);
    group
}

/// Tries to send a request; the response names `limit`.
fn try_send(
    group: &mut PlacementGroup,
    limit: Option<RequestRate>,
    now: Instant,
    random: &mut StdRng,
) -> bool {
    let Some(ticket) = group.candidates(1, shape(), &[], now, random).first().copied() else {
        return false;
    };
    let (ticket, _) =
        group.best_server(&[ticket], shape(), now).expect("a candidate may be chosen");
    group.record_sent(ticket, now);
    let named = LimitResponse { rate: limit, is_probe: false, sent_at: now };
    group.record_limit(ticket, named, now + Duration::from_millis(1), random);
    true
}

/// Returns the most requests in one window.
fn peak_requests(sent_at: &[Instant]) -> usize {
    let in_window = |start: usize| {
        let end = sent_at[start] + WINDOW;
        sent_at[start..].iter().take_while(|at| **at <= end).count()
    };
    (0..sent_at.len()).map(in_window).max().unwrap_or(0)
}

/// Every entry VM learns the limit in the same second and sends whenever it may.
#[test]
fn fleet_of_any_size_keeps_a_limit_in_every_window() {
    for vms in [1_u32, 3, 14, 121, 600] {
        for limit in [0.5, 1.0, 4.0, 30.0] {
            for seed in 0..4 {
                let mut random = StdRng::seed_from_u64(seed);
                let start = Instant::now();
                let mut groups: Vec<PlacementGroup> =
                    (0..vms).map(|_| new_group(1.0 / f64::from(vms), start)).collect();
                for group in &mut groups {
                    assert!(try_send(group, Some(RequestRate(limit)), start, &mut random));
                }
                let mut sent_at = Vec::new();
                let mut now = start;
                while now < start + SIMULATED_TIME {
                    now += ATTEMPT_INTERVAL;
                    for group in &mut groups {
                        if try_send(group, Some(RequestRate(limit)), now, &mut random) {
                            sent_at.push(now);
                        }
                    }
                }
                let allowed = 1.5 * limit * WINDOW.as_secs_f64() + REQUEST_SLACK;
                let peak = peak_requests(&sent_at);
                assert!(
                    peak as f64 <= allowed,
                    "{vms} VMs, limit {limit}, seed {seed}: {peak} requests, allowed {allowed}"
                );
                let rate = sent_at.len() as f64 / SIMULATED_TIME.as_secs_f64();
                assert!(rate >= limit / 4.0, "{vms} VMs, limit {limit}: only {rate} a second");
            }
        }
    }
}

/// Requests that wait all the time must not be sent by all entry VMs at once when their shares
/// change together.
#[test]
fn change_of_the_shares_keeps_the_requests_of_the_fleet_spread() {
    let (vms, limit) = (121_u32, RequestRate(1.0));
    let mut random = StdRng::seed_from_u64(1);
    let start = Instant::now();
    let mut groups: Vec<PlacementGroup> =
        (0..vms).map(|_| new_group(1.0 / f64::from(3 * vms), start)).collect();
    for group in &mut groups {
        assert!(try_send(group, Some(limit), start, &mut random));
    }
    let mut sent_at = Vec::new();
    let mut now = start;
    for step in 0..6_000 {
        now += ATTEMPT_INTERVAL;
        for group in &mut groups {
            if step % 200 == 0 {
                let members = if step % 400 == 0 { vms } else { 3 * vms };
                group.set_limit_share(1.0 / f64::from(members), now);
            }
            if try_send(group, Some(limit), now, &mut random) {
                sent_at.push(now);
            }
        }
    }
    let allowed = 1.5 * limit.0 * WINDOW.as_secs_f64() + REQUEST_SLACK;
    assert!(peak_requests(&sent_at) as f64 <= allowed, "{} requests", peak_requests(&sent_at));
}

#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    let mut random = StdRng::seed_from_u64(1);
    let start = Instant::now();
    let mut group = new_group(0.001, start);
    let ticket = group.candidates(1, shape(), &[], start, &mut random)[0];
    let sent_at = start + Duration::from_millis(10);
    let named_at = start + Duration::from_millis(20);
    let limited = LimitResponse { rate: Some(RequestRate(1.0)), is_probe: false, sent_at };
    assert!(group.record_limit(ticket, limited, named_at, &mut random));
    // This request was sent before the limit was known.
    let now = start + Duration::from_millis(30);
    assert!(!group.record_limit(ticket, LimitResponse { rate: None, ..limited }, now, &mut random));
    assert!(group.best_server(&[ticket], shape(), now).is_none());
    let later = LimitResponse { rate: None, sent_at: now, ..limited };
    assert!(group.record_limit(ticket, later, now, &mut random));
    assert_eq!(group.limited_servers(), 0);
    assert!(group.best_server(&[ticket], shape(), now).is_some());
}

/// The responses to the probes of some services may never name a limit.
#[test]
fn probe_ends_only_a_limit_that_probes_name() {
    let mut random = StdRng::seed_from_u64(1);
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut group = new_group(0.001, start);
    let ticket = group.candidates(1, shape(), &[], start, &mut random)[0];
    let limited = LimitResponse { rate: Some(RequestRate(1.0)), is_probe: false, sent_at: at(0) };
    let probe = LimitResponse { rate: None, is_probe: true, sent_at: at(20) };
    group.record_limit(ticket, limited, at(10), &mut random);
    group.record_limit(ticket, probe, at(30), &mut random);
    assert_eq!(group.limited_servers(), 1);
    let limited_probe = LimitResponse { rate: limited.rate, ..probe };
    group.record_limit(ticket, limited_probe, at(40), &mut random);
    group.record_limit(ticket, probe, at(50), &mut random);
    assert_eq!(group.limited_servers(), 0);
}
