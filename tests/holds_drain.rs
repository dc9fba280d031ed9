//! A leaving backend server gets no new requests later than 3 s after the first sign that it
//! leaves.

mod common;

use std::time::Duration;

use common::{idempotent_request, serve_behaviour, start_fleet};
use serde_json::json;
use store::ServerState;
use testkit::{BackendBehaviour, TestFleet, TestService, call};
use tokio::time::{Instant, sleep};

/// Longest time from the first sign that a server leaves until it gets no new requests.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Sends idempotent requests through all daemons for `duration`. All of them must succeed.
async fn send_idempotent_requests(fleet: &TestFleet, tag_prefix: &str, duration: Duration) {
    let until = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() < until {
        for daemon in 0..fleet.daemons.len() {
            number += 1;
            let request = idempotent_request(fleet, daemon, &format!("{tag_prefix}-{number}"));
            let response = call(&request).await.expect("the daemon responds");
            assert_eq!(response.status, 200, "{}", response.text());
        }
    }
}

fn count_runs_since(service: &TestService, server: usize, since: Instant) -> usize {
    service.servers[server]
        .served_requests()
        .iter()
        .filter(|served| served.started_at > since)
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_leaving_hint_at_one_vm_stops_new_requests_from_all_vms() {
    let (fleet, service) = start_fleet(3, 3, &json!({})).await;
    service.servers[0].set_behaviour(BackendBehaviour::ServeDraining(Duration::from_millis(1)));
    // Only the first daemon gets the hint. The requests are concurrent, so that every server gets
    // at least one.
    let before = Instant::now();
    let hint_calls: Vec<_> = (0..12)
        .map(|number| {
            let request = idempotent_request(&fleet, 0, &format!("hint-{number}"));
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    for task in hint_calls {
        task.await.expect("the call task completes").expect("the daemon responds");
    }
    assert!(
        count_runs_since(&service, 0, before) > 0,
        "the leaving server ran no request, so it sent no hint"
    );
    let first_sign = Instant::now();
    sleep(DRAIN_BOUND).await;
    send_idempotent_requests(&fleet, "after", Duration::from_secs(2)).await;
    assert_eq!(count_runs_since(&service, 0, first_sign + DRAIN_BOUND), 0);
    assert!(count_runs_since(&service, 1, first_sign + DRAIN_BOUND) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_server_listed_as_leaving_gets_no_new_requests() {
    let (fleet, service) = start_fleet(3, 3, &json!({})).await;
    fleet.platform.set_server_state("shop-orders-1", ServerState::Leaving);
    let first_sign = Instant::now();
    send_idempotent_requests(&fleet, "during", DRAIN_BOUND).await;
    send_idempotent_requests(&fleet, "after", Duration::from_secs(1)).await;
    assert_eq!(count_runs_since(&service, 1, first_sign + DRAIN_BOUND), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_idempotent_requests_succeed_after_unannounced_stop() {
    let (fleet, mut service) = start_fleet(2, 3, &json!({})).await;
    // The server stops without notice and stays in the server list.
    drop(service.servers.remove(0));
    send_idempotent_requests(&fleet, "after", Duration::from_secs(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_drain_requests_on_closed_connections_succeed_elsewhere() {
    let (fleet, service) = start_fleet(2, 3, &json!({ "retry_percent": 50 })).await;
    send_idempotent_requests(&fleet, "before", Duration::from_secs(1)).await;
    service.servers[2].set_behaviour(BackendBehaviour::Disconnect);
    send_idempotent_requests(&fleet, "during", Duration::from_secs(2)).await;
    service.servers[2].set_behaviour(serve_behaviour(Duration::from_millis(1)));
}
