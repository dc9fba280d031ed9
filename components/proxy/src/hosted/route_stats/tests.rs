use std::time::Duration;

use tokio::time::Instant;

use super::RouteStatsTable;
use routes::{ExecutionSemantics, HostedRoute};

const LONG_DEADLINE: Duration = Duration::from_secs(9);
const SHORT_DEADLINE: Duration = Duration::from_secs(1);

/// Returns a route with a target of 10 s.
fn slow_route() -> HostedRoute {
    HostedRoute {
        name: "slow".into(),
        prefix: "/slow/".into(),
        execution: ExecutionSemantics::Idempotent,
        timeout: Duration::from_secs(20),
        target_latency: Duration::from_secs(10),
        priority: 1,
        max_attempts: 2,
        services: Vec::new(),
        is_public: false,
    }
}

#[test]
fn first_estimate_refuses_no_request_for_its_deadline() {
    let (stats, route, now) = (RouteStatsTable::default(), slow_route(), Instant::now());
    assert!(stats.service_time(&route, LONG_DEADLINE, now) > SHORT_DEADLINE);
    assert!(stats.service_time(&route, SHORT_DEADLINE, now) < SHORT_DEADLINE);
}

/// A deadline that responses have shown to be too short is still refused.
#[test]
fn confirmed_estimate_does_not_depend_on_the_deadline() {
    let (stats, route, now) = (RouteStatsTable::default(), slow_route(), Instant::now());
    stats.record_service_time(&route, Duration::from_secs(5), now);
    let long = stats.service_time(&route, LONG_DEADLINE, now);
    assert!(long > SHORT_DEADLINE);
    assert_eq!(stats.service_time(&route, SHORT_DEADLINE, now), long);
}

/// Servers have become faster, and all deadlines are shorter than the estimate.
#[test]
fn estimate_that_is_no_longer_confirmed_lets_requests_through_until_it_is_right() {
    let (stats, route, start) = (RouteStatsTable::default(), slow_route(), Instant::now());
    for _ in 0..100 {
        stats.record_service_time(&route, Duration::from_secs(5), start);
    }
    assert!(stats.service_time(&route, SHORT_DEADLINE, start) > SHORT_DEADLINE);
    let later = start + route.timeout;
    for _ in 0..100 {
        assert!(stats.service_time(&route, SHORT_DEADLINE, later) < SHORT_DEADLINE);
        stats.record_service_time(&route, Duration::from_millis(20), later);
    }
    assert!(stats.service_time(&route, LONG_DEADLINE, later) < SHORT_DEADLINE);
}

/// One in a hundred is enough, once there were a few of them.
#[test]
fn long_response_is_expected_while_some_are_long() {
    let (stats, route) = (RouteStatsTable::default(), slow_route());
    assert!(!stats.expects_long_response(&route));
    for index in 0..1_000 {
        stats.record_length(&route, index % 100 == 0);
        assert!(stats.expects_long_response(&route) || index % 100 > 60, "after {index}");
    }
    for _ in 0..200 {
        stats.record_length(&route, false);
    }
    assert!(!stats.expects_long_response(&route));
}
