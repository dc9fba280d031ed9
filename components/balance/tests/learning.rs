//! What a placement group learns from reports and run times: it converges after a change, and wrong
//! or hostile values do limited harm.

use std::time::Duration;

use balance::{
    LoadCurve, PlacementGroup, PlacementOptions, PlacementServer, RequestShape, SampleOutcome,
    ServerLoad, ServerTicket, SpeedPersistence, ZoneLatencies,
};
use model::ZoneName;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Factor by which a slow machine is slower, and share of slow machines.
const SLOW_FACTOR: f64 = 6.0;
const SLOW_SHARE: f64 = 0.25;

/// Feeds reports of a machine that draws a new speed every `interval` seconds, at random gaps of up
/// to `max_gap` seconds.
fn observe_reports(persistence: &mut SpeedPersistence, interval: f64, max_gap: f64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let typical = 1.0 + (SLOW_FACTOR - 1.0) * SLOW_SHARE;
    let (mut at, mut slowness, mut changes_at) = (0.0, 1.0, interval);
    for _ in 0..1_500 {
        let gap = max_gap * random.random::<f64>();
        let previous = slowness;
        at += gap;
        while at >= changes_at {
            let is_slow = random.random::<f64>() < SLOW_SHARE;
            slowness = if is_slow { SLOW_FACTOR } else { 1.0 };
            changes_at += interval;
        }
        persistence.observe(slowness, |time_constant| {
            typical + (previous - typical) * (-gap / time_constant).exp()
        });
    }
}

/// A deployment whose machines keep their speed for longer needs a longer memory, and the memory
/// follows when the deployment changes.
#[test]
fn persistence_follows_how_long_machines_keep_their_speed() {
    let mut persistence = SpeedPersistence::new(0.4);
    let mut learned = Vec::new();
    for interval in [0.1, 1.0, 10.0, 0.1] {
        observe_reports(&mut persistence, interval, interval, 7);
        learned.push(persistence.time_constant());
    }
    assert!(learned[0] < learned[1] && learned[1] < learned[2], "{learned:?}");
    assert!(learned[0] <= 0.2 && learned[2] >= 3.0, "{learned:?}");
    assert_eq!(learned[3], learned[0], "{learned:?}");
}

#[test]
fn load_curve_learns_slowdown_of_last_slot_and_forgets_it() {
    let mut curve = LoadCurve::default();
    for _ in 0..100 {
        curve.observe(0.0, 1.7);
        curve.observe(2.0, 1.0);
    }
    assert!((curve.slowdown(0.0) - 1.7).abs() < 0.15, "{curve:?}");
    assert!(curve.slowdown(5.0) < 1.1, "{curve:?}");
    for _ in 0..100 {
        curve.observe(0.0, 1.0);
    }
    assert!(curve.slowdown(0.0) < 1.45, "{curve:?}");
}

/// A report of one free slot is old when the request arrives: several entry VMs send to it at once.
#[test]
fn last_free_slot_costs_more_than_one_of_several_before_anything_is_learned() {
    let curve = LoadCurve::default();
    assert!(curve.slowdown(0.0) > 1.2 * curve.slowdown(1.0), "{curve:?}");
}

#[test]
fn zone_delay_is_the_difference_of_probe_times() {
    let zone = |name: &str| -> ZoneName { name.parse().expect("the name is valid") };
    let mut latencies = ZoneLatencies::default();
    assert_eq!(latencies.additional_delay(&zone("near"), &zone("far")), Duration::ZERO);
    let unknown_wait = latencies.probe_wait();
    for _ in 0..100 {
        latencies.observe(&zone("near"), Duration::from_millis(2));
        latencies.observe(&zone("far"), Duration::from_millis(12));
    }
    let delay = latencies.additional_delay(&zone("near"), &zone("far"));
    assert!(delay.abs_diff(Duration::from_millis(10)) < Duration::from_micros(10), "{delay:?}");
    assert_eq!(latencies.additional_delay(&zone("far"), &zone("near")), Duration::ZERO);
    assert!(latencies.probe_wait() >= Duration::from_millis(50));
    assert!(latencies.probe_wait() <= unknown_wait);
}

const SHAPE: RequestShape = RequestShape {
    service_time: Duration::from_millis(200),
    transfer_bytes: 1_000,
    target: Duration::from_millis(600),
};

fn group_of(servers: &[&str]) -> PlacementGroup {
    let mut group = PlacementGroup::new(PlacementOptions {
        vm: "entry-1".into(),
        zone: "a".parse().expect("the name is valid"),
        zone_cost_per_kib: 0.01,
    });
    let listed: Vec<PlacementServer> = servers
        .iter()
        .map(|id| PlacementServer {
            id: id.parse().expect("the name is valid"),
            started_at_ms: 0,
            address: "10.0.0.1:80".parse().expect("the address is valid"),
            zone: "a".parse().expect("the name is valid"),
            slots: 3,
            is_leaving: false,
            warm_up: None,
        })
        .collect();
    group.set_servers(&listed);
    group
}

fn find(group: &PlacementGroup, id: &str, now: Instant) -> ServerTicket {
    let tickets = group.candidates(100, SHAPE, &[], now, &mut StdRng::seed_from_u64(1));
    let is_server =
        |ticket: &&ServerTicket| group.id_and_address(**ticket).unwrap().0.as_str() == id;
    *tickets.iter().find(is_server).expect("the server is a candidate")
}

fn run_once(group: &mut PlacementGroup, server: ServerTicket, at: Instant, elapsed: Duration) {
    let started = group.start_request(server, SHAPE, at);
    group.finish_request(started, SampleOutcome::Responded, None, at + elapsed);
}

/// Requests to a machine that is slow when they start take all of their time at that speed, so a
/// slow machine must cost its whole slowness, and not that of the mean after a fixed time.
#[test]
fn run_time_at_slow_machine_is_learned_from_responses() {
    let mut now = Instant::now();
    let mut group = group_of(&["fast", "slow"]);
    let (fast, slow) = (find(&group, "fast", now), find(&group, "slow", now));
    for _ in 0..200 {
        now += Duration::from_secs(2);
        let load = |slowness| ServerLoad { running: 0, waiting: 0, slots: 3, slowness };
        for (server, slowness) in [(fast, 1.0), (slow, 5.0)] {
            group.apply_report(server, load(slowness), now);
            let other = if slowness > 1.0 { 1.0 } else { 5.0 };
            let elapsed = SHAPE.service_time.mul_f64(slowness);
            run_once(&mut group, server, now, elapsed);
            group.apply_report(server, load(other), now + Duration::from_secs(1));
        }
    }
    now += Duration::from_secs(2);
    let load = ServerLoad { running: 0, waiting: 0, slots: 3, slowness: 5.0 };
    group.apply_report(slow, load, now);
    let (_, estimate) = group.best_server(&[slow], SHAPE, now).expect("the server is listed");
    assert!((0.8..1.3).contains(&estimate.run_seconds), "{estimate:?}");
}

/// Where servers report no load, a request that still runs after several typical times shows that
/// its server is slow.
#[test]
fn old_request_marks_server_without_reports_as_slow() {
    let now = Instant::now();
    let mut group = group_of(&["one", "two"]);
    let (one, two) = (find(&group, "one", now), find(&group, "two", now));
    group.start_request(one, SHAPE, now);
    let soon = now + Duration::from_millis(20);
    group.start_request(two, SHAPE, soon);
    let later = now + Duration::from_millis(900);
    let estimate = |server| group.best_server(&[server], SHAPE, later).expect("it is listed").1;
    assert!(estimate(one).run_seconds > 2.0 * SHAPE.service_time.as_secs_f64());
    let best = group.best_server(&[one, two], SHAPE, later).map(|(server, _)| server);
    assert_eq!(best, Some(two));
}

proptest! {
    /// Any sequence of reports and run times leaves finite, positive estimates, and a server that
    /// reports nonsense doesn't change the estimate of another by more than the learned limits.
    #[test]
    fn hostile_reports_and_times_leave_bounded_estimates(
        steps in prop::collection::vec((0u32..u32::MAX, 0u32..u32::MAX, -10.0f64..1e12, 0u64..100_000), 1..200),
    ) {
        let mut now = Instant::now();
        let mut group = group_of(&["hostile", "sound"]);
        let (hostile, sound) = (find(&group, "hostile", now), find(&group, "sound", now));
        for (running, waiting, slowness, millis) in steps {
            now += Duration::from_millis(millis % 977);
            let load = ServerLoad { running: running % 1_000, waiting: waiting % 1_000, slots: 3, slowness };
            group.apply_report(hostile, load, now);
            run_once(&mut group, hostile, now, Duration::from_millis(millis));
        }
        let load = ServerLoad { running: 0, waiting: 0, slots: 3, slowness: 1.0 };
        group.apply_report(sound, load, now);
        let (_, estimate) = group.best_server(&[sound], SHAPE, now).expect("the server is listed");
        prop_assert!(estimate.run_seconds.is_finite() && estimate.run_seconds > 0.0);
        let (best, _) = group.best_server(&[hostile, sound], SHAPE, now).expect("both are listed");
        prop_assert!(group.id_and_address(best).is_some());
        // A free server with typical speed is at most three times as slow by the learned load, and
        // its own last report decides about its speed.
        prop_assert!(estimate.run_seconds <= 3.0 * 0.2 + 1e-6, "{:?}", estimate);
    }
}
