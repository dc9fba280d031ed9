//! A fleet of entry VMs keeps the limit that a backend server names.

use std::time::Duration;

use balance::{
    AssignedTurns, LimitResponse, PlacementGroup, PlacementOptions, PlacementServer, RequestShape,
    SendTurns,
};
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

/// How long turns are valid.
const VALIDITY: Duration = Duration::from_secs(200);

const SIMULATED_TIME: Duration = Duration::from_secs(120);

fn shape() -> RequestShape {
    RequestShape {
        service_time: Duration::from_millis(200),
        target: Duration::from_millis(600),
        transfer_bytes: 0,
    }
}

fn new_group() -> PlacementGroup {
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
        warm_up: None,
    }]);
    group
}

/// Entry VMs that subscribe to relays. A VM's turn is its index among those of its relay.
struct Fleet {
    relays: usize,
    groups: Vec<PlacementGroup>,
    started_at: Instant,
}

impl Fleet {
    /// Creates a fleet whose VMs all know the limit from the start.
    fn new(vms: usize, relays: usize, limit: RequestRate) -> Self {
        let started_at = Instant::now();
        let groups = (0..vms).map(|_| new_group()).collect();
        let mut fleet = Self { relays, groups, started_at };
        fleet.assign_turns(vms.div_ceil(relays), started_at);
        for group in &mut fleet.groups {
            record_limit(group, limit, started_at);
        }
        fleet
    }

    /// Assigns turns by relays that count `turns` of them. The clocks of the relays differ.
    fn assign_turns(&mut self, turns: usize, now: Instant) {
        for (number, group) in self.groups.iter_mut().enumerate() {
            let (relay, index) = (number % self.relays, number / self.relays);
            let clock =
                Duration::from_millis(12_345 * relay as u64) + now.duration_since(self.started_at);
            let turns = SendTurns::unassigned(self.relays, 0.0, now).assign(&AssignedTurns {
                count: turns as u32,
                index: index as u32,
                clock,
                read_at: now,
                validity: VALIDITY,
            });
            group.set_turns(turns.expect("the index is less than the count"));
        }
    }

    /// Lets every VM try to send a request; returns how many did.
    fn try_send(&mut self, limit: RequestRate, now: Instant, random: &mut StdRng) -> usize {
        let groups = self.groups.iter_mut();
        groups.filter_map(|group| try_send(group, limit, now, random).then_some(())).count()
    }
}

fn record_limit(group: &mut PlacementGroup, limit: RequestRate, now: Instant) {
    let mut random = StdRng::seed_from_u64(1);
    let ticket = group.candidates(1, shape(), &[], now, &mut random)[0];
    let named = LimitResponse { rate: Some(limit), is_probe: false, sent_at: now };
    group.record_limit(ticket, named, now);
}

/// Tries to send a request; the response names `limit`.
fn try_send(
    group: &mut PlacementGroup,
    limit: RequestRate,
    now: Instant,
    random: &mut StdRng,
) -> bool {
    let Some(ticket) = group.candidates(1, shape(), &[], now, random).first().copied() else {
        return false;
    };
    let best = group.best_server(&[ticket], shape(), now);
    assert!(best.is_some(), "a candidate may be chosen");
    record_limit(group, limit, now);
    group.record_sent(ticket, now);
    true
}

/// Returns the requests that a limit allows in one window.
fn allowed_requests(limit: RequestRate) -> f64 {
    1.5 * limit.0 * WINDOW.as_secs_f64() + REQUEST_SLACK
}

/// Returns the most requests in one window.
fn peak_requests(sent_at: &[Instant]) -> usize {
    let in_window = |start: usize| {
        let end = sent_at[start] + WINDOW;
        sent_at[start..].iter().take_while(|at| **at <= end).count()
    };
    (0..sent_at.len()).map(in_window).max().unwrap_or(0)
}

#[test]
fn fleet_of_any_size_keeps_a_limit_in_every_window() {
    let mut random = StdRng::seed_from_u64(1);
    for (vms, relays) in [(1, 1), (3, 3), (14, 3), (121, 3), (600, 3), (600, 1)] {
        for limit in [0.5, 1.0, 4.0, 30.0].map(RequestRate) {
            let mut fleet = Fleet::new(vms, relays, limit);
            let mut sent_at = Vec::new();
            let mut now = fleet.started_at;
            while now < fleet.started_at + SIMULATED_TIME {
                now += ATTEMPT_INTERVAL;
                let sent = fleet.try_send(limit, now, &mut random);
                sent_at.extend(std::iter::repeat_n(now, sent));
            }
            let (peak, allowed) = (peak_requests(&sent_at), allowed_requests(limit));
            assert!(
                peak as f64 <= allowed,
                "{vms} VMs, limit {limit}: {peak} requests, allowed {allowed}"
            );
            let rate = sent_at.len() as f64 / SIMULATED_TIME.as_secs_f64();
            assert!(rate >= limit.0 / 2.0, "{vms} VMs, limit {limit}: only {rate} a second");
        }
    }
}

/// Requests that wait all the time must not be sent by all entry VMs at once when VMs join and
/// leave, so that all turns change.
#[test]
fn change_of_the_turns_keeps_the_requests_of_the_fleet_apart() {
    let limit = RequestRate(1.0);
    let mut random = StdRng::seed_from_u64(1);
    let mut fleet = Fleet::new(121, 3, limit);
    let mut sent_at = Vec::new();
    let mut now = fleet.started_at;
    for step in 0..4_000 {
        now += ATTEMPT_INTERVAL;
        if step % 100 == 0 {
            fleet.assign_turns(41 + step / 100 % 7, now);
        }
        let sent = fleet.try_send(limit, now, &mut random);
        sent_at.extend(std::iter::repeat_n(now, sent));
    }
    let (peak, allowed) = (peak_requests(&sent_at), allowed_requests(limit));
    assert!(peak as f64 <= allowed, "{peak} requests, allowed {allowed}");
}

#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    let mut random = StdRng::seed_from_u64(1);
    let start = Instant::now();
    let mut group = new_group();
    let ticket = group.candidates(1, shape(), &[], start, &mut random)[0];
    let sent_at = start + Duration::from_millis(10);
    let named_at = start + Duration::from_millis(20);
    let limited = LimitResponse { rate: Some(RequestRate(1.0)), is_probe: false, sent_at };
    assert!(group.record_limit(ticket, limited, named_at));
    // This request was sent before the limit was known.
    let now = start + Duration::from_millis(30);
    assert!(!group.record_limit(ticket, LimitResponse { rate: None, ..limited }, now));
    assert!(group.best_server(&[ticket], shape(), now).is_none());
    let later = LimitResponse { rate: None, sent_at: now, ..limited };
    assert!(group.record_limit(ticket, later, now));
    assert_eq!(group.limited_servers(), 0);
    assert!(group.best_server(&[ticket], shape(), now).is_some());
}

/// The responses to the probes of some services may never name a limit.
#[test]
fn probe_ends_only_a_limit_that_probes_name() {
    let mut random = StdRng::seed_from_u64(1);
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut group = new_group();
    let ticket = group.candidates(1, shape(), &[], start, &mut random)[0];
    let limited = LimitResponse { rate: Some(RequestRate(1.0)), is_probe: false, sent_at: at(0) };
    let probe = LimitResponse { rate: None, is_probe: true, sent_at: at(20) };
    group.record_limit(ticket, limited, at(10));
    group.record_limit(ticket, probe, at(30));
    assert_eq!(group.limited_servers(), 1);
    let limited_probe = LimitResponse { rate: limited.rate, ..probe };
    group.record_limit(ticket, limited_probe, at(40));
    group.record_limit(ticket, probe, at(50));
    assert_eq!(group.limited_servers(), 0);
}

/// A process that was paused must not use a turn that its relay has given to another VM meanwhile,
/// and neither may a whole fleet that has lost its relays.
#[test]
fn vms_without_valid_turns_keep_a_limit() {
    let limit = RequestRate(1.0);
    let mut random = StdRng::seed_from_u64(1);
    for is_assigned in [true, false] {
        let mut fleet = Fleet::new(3_000, 3, limit);
        let lost_at = fleet.started_at;
        for (index, group) in fleet.groups.iter_mut().enumerate() {
            let turns = SendTurns::unassigned(3, index as f64 / 3_000.0, lost_at);
            // Each VM was the only one at its relay some time ago.
            let assigned = turns.assign(&AssignedTurns {
                count: 1,
                index: 0,
                clock: Duration::ZERO,
                read_at: lost_at,
                validity: Duration::ZERO,
            });
            let assigned = assigned.expect("the index is less than the count");
            group.set_turns(if is_assigned { assigned } else { turns });
        }
        let mut sent_at = Vec::new();
        for step in 1..2_400 {
            let now = lost_at + ATTEMPT_INTERVAL * step;
            let sent = fleet.try_send(limit, now, &mut random);
            sent_at.extend(std::iter::repeat_n(now, sent));
        }
        let (peak, allowed) = (peak_requests(&sent_at), allowed_requests(limit));
        assert!(peak as f64 <= allowed, "{peak} requests, allowed {allowed}");
    }
}

#[test]
fn fleet_size_follows_the_turns_while_they_are_valid() {
    let now = Instant::now();
    let validity = Duration::from_secs(1);
    let turns = SendTurns::unassigned(3, 0.5, now).assign(&AssignedTurns {
        count: 158,
        index: 4,
        clock: Duration::ZERO,
        read_at: now,
        validity,
    });
    let turns = turns.expect("the index is less than the count");
    assert_eq!(turns.fleet_size(now), 474);
    assert!(turns.fleet_size(now + validity) >= 3_000);
}
