//! A backend server that is leaving gets no new work after 3 s from the first sign.

mod common;

use std::time::Duration;

use common::{lookup, serve, setup};
use serde_json::json;
use store::ServerState;
use testkit::{BackendBehaviour, TestFleet, TestService, call};
use tokio::time::{Instant, sleep};

/// The bound from the first true sign.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Sends lookups through all daemons for `time`; all must succeed.
async fn send_lookups(fleet: &TestFleet, name: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        for daemon in 0..fleet.daemons.len() {
            number += 1;
            let request = lookup(fleet, daemon, &format!("{name}-{number}"));
            let answer = call(&request).await.expect("answered");
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }
}

fn work_since(service: &TestService, server: usize, since: Instant) -> usize {
    service.servers[server]
        .served_requests()
        .iter()
        .filter(|served| served.started_at > since)
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_hint_seen_by_one_vm_with_lagging_list() {
    let (fleet, service) = setup(3, 3, &json!({})).await;
    service.servers[0].set_behaviour(BackendBehaviour::ServeDraining(Duration::from_millis(1)));
    // Only the first daemon's callers bring the hint about, so many at a time that all servers
    // get one.
    let before = Instant::now();
    let hinted: Vec<_> = (0..12)
        .map(|number| {
            let request = lookup(&fleet, 0, &format!("hint-{number}"));
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    for request in hinted {
        request.await.expect("the call ends").expect("answered");
    }
    assert!(work_since(&service, 0, before) > 0, "the server gave no hint");
    let first_sign = Instant::now();
    sleep(DRAIN_BOUND).await;
    send_lookups(&fleet, "after", Duration::from_secs(2)).await;
    assert_eq!(work_since(&service, 0, first_sign + DRAIN_BOUND), 0);
    assert!(work_since(&service, 1, first_sign + DRAIN_BOUND) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_list_says_leaving() {
    let (fleet, service) = setup(3, 3, &json!({})).await;
    fleet.platform.set_server_state("shop-orders-1", ServerState::Leaving);
    let first_sign = Instant::now();
    send_lookups(&fleet, "during", DRAIN_BOUND).await;
    send_lookups(&fleet, "after", Duration::from_secs(1)).await;
    assert_eq!(work_since(&service, 1, first_sign + DRAIN_BOUND), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_refusing_server_loses_no_lookup() {
    let (fleet, mut service) = setup(2, 3, &json!({})).await;
    // The server goes away without a word; the list never learns of it.
    drop(service.servers.remove(0));
    send_lookups(&fleet, "refused", Duration::from_secs(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_lookups_caught_by_a_closing_server_go_elsewhere() {
    let (fleet, service) = setup(2, 3, &json!({ "retry_percent": 50 })).await;
    send_lookups(&fleet, "before", Duration::from_secs(1)).await;
    service.servers[2].set_behaviour(BackendBehaviour::Disconnect);
    send_lookups(&fleet, "caught", Duration::from_secs(2)).await;
    service.servers[2].set_behaviour(serve(Duration::from_millis(1)));
}
