//! A non-idempotent request runs at most once.

mod common;

use std::time::Duration;

use common::{DAEMON_PATH, order_request, start_fleet, start_slow_fleet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{BackendBehaviour, CallError, CallRequest, FaultProxy, TestFleet, TestService, call};

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_repeat_at_another_vm_gets_first_response() {
    let (fleet, service) = start_fleet(3, 3, &json!({})).await;
    let first =
        call(&order_request(&fleet, 0, "key-1", "first")).await.expect("the daemon responds");
    assert_eq!((first.status, first.outcome()), (200, "ran"));
    for daemon in 0..3 {
        let repeat = call(&order_request(&fleet, daemon, "key-1", "repeat"))
            .await
            .expect("the daemon responds");
        assert_eq!((repeat.status, repeat.text()), (200, first.text()));
        assert_eq!(repeat.header("mustardrail-replayed"), "whole");
    }
    assert_eq!((service.run_count("first"), service.run_count("repeat")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_concurrent_repeats_at_all_vms_run_once() {
    let (fleet, service) = start_fleet(3, 3, &json!({})).await;
    for round in 0..10 {
        let key = format!("key-{round}");
        let calls: Vec<_> = (0..9)
            .map(|number| {
                let request = order_request(&fleet, number % 3, &key, &key);
                tokio::spawn(async move { call(&request).await.expect("the daemon responds") })
            })
            .collect();
        let mut bodies = Vec::new();
        for task in calls {
            let response = task.await.expect("the call task completes");
            assert_eq!(response.status, 200, "{}", response.text());
            bodies.push(response.text());
        }
        bodies.dedup();
        assert_eq!(bodies.len(), 1, "{bodies:?}");
        assert_eq!(service.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_other_body_under_same_key_is_refused() {
    let (fleet, service) = start_fleet(2, 2, &json!({})).await;
    call(&order_request(&fleet, 0, "key", "first")).await.expect("the daemon responds");
    let mut changed = order_request(&fleet, 1, "key", "other");
    changed.body = "another stone".into();
    let response = call(&changed).await.expect("the daemon responds");
    assert_eq!((response.status, response.outcome()), (422, "not-run"));
    assert_eq!(service.run_count("other"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_chunked_answer_is_replayed_whole() {
    let (fleet, service) = start_fleet(2, 2, &json!({})).await;
    let request = order_request(&fleet, 0, "key", "first").with_header("x-chunked", "1");
    let first = call(&request).await.expect("the daemon responds");
    assert_eq!(first.header("transfer-encoding"), "");
    let repeat =
        call(&order_request(&fleet, 1, "key", "repeat")).await.expect("the daemon responds");
    assert_eq!(repeat.header("mustardrail-replayed"), "whole");
    assert_eq!((repeat.status, repeat.text()), (200, first.text()));
    assert_eq!((service.run_count("first"), service.run_count("repeat")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_repeat_after_vm_crash_reports_unknown_outcome() {
    let (mut fleet, service) = start_slow_fleet(3, Duration::from_secs(3)).await;
    let request = order_request(&fleet, 0, "key", "first");
    let interrupted = tokio::spawn(async move { call(&request).await });
    while service.run_count("first") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.daemons[0].kill();
    assert_eq!(
        interrupted.await.expect("the call task completes").map(|_| ()),
        Err(CallError::ConnectionClosed)
    );
    let repeat =
        call(&order_request(&fleet, 1, "key", "repeat")).await.expect("the daemon responds");
    assert_eq!((repeat.status, repeat.outcome()), (409, "unknown"), "{}", repeat.text());
    assert_eq!((service.run_count("first"), service.run_count("repeat")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_order_with_lost_claim_commit_response_runs_once() {
    let (fleet, service) = start_fleet(2, 2, &json!({})).await;
    for round in 0..5 {
        let key = format!("key-{round}");
        fleet.platform.lose_commit_responses(1);
        let response =
            call(&order_request(&fleet, 0, &key, &key)).await.expect("the daemon responds");
        assert_eq!(response.status, 200, "{}", response.text());
        let repeat =
            call(&order_request(&fleet, 1, &key, &key)).await.expect("the daemon responds");
        assert!(matches!(repeat.status, 200 | 409), "{}", repeat.text());
        assert_eq!(service.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_orders_during_table_outage_are_refused_as_not_run() {
    let (fleet, service) = start_fleet(2, 2, &json!({})).await;
    fleet.platform.set_down(true);
    for number in 0..6 {
        let tag = format!("down-{number}");
        let response = call(&order_request(&fleet, number % 2, &tag, &tag))
            .await
            .expect("the daemon responds");
        assert_eq!((response.status, response.outcome()), (503, "not-run"), "{}", response.text());
        assert!(!response.header("retry-after").is_empty());
        assert_eq!(service.run_count(&tag), 0);
    }
    fleet.platform.set_down(false);
    let mut status = 0;
    for _ in 0..200 {
        status = call(&order_request(&fleet, 0, "down-0", "again"))
            .await
            .expect("the daemon responds")
            .status;
        if status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!((status, service.run_count("again")), (200, 1));
}

/// Starts two daemons with a long timeout for calls to the platform's table, so that a pending
/// claim can outlast the deadline of its request.
async fn start_fleet_with_long_table_timeout() -> (TestFleet, TestService) {
    let behaviour = common::serve_behaviour(Duration::from_millis(1));
    let service = TestService::start("shop", "orders", 2, 4, &behaviour).await;
    let mut fleet = TestFleet::without_daemons(DAEMON_PATH.as_ref()).await;
    let address = fleet.platform.address();
    fleet.platform.set_servers(service.entries.clone());
    for _ in 0..2 {
        let platform = json!({ "table": address, "list": address, "call_ms": 20_000 });
        fleet.add_daemon(&json!({ "platform": platform }));
    }
    fleet.wait_members(2).await;
    fleet.put_account("shop", &service, &json!({ "timeout_ms": 2_000 })).await;
    fleet.wait_serving("shop.test").await;
    (fleet, service)
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_vm_suspended_between_claim_and_dispatch_skips_expired_request() {
    let (fleet, service) = start_fleet_with_long_table_timeout().await;
    // The table responds to the claim only after the daemon has been suspended.
    fleet.platform.set_delay(Duration::from_millis(700));
    let commits = fleet.platform.commit_count();
    let request = order_request(&fleet, 0, "key", "suspended");
    let delayed = tokio::spawn(async move { call(&request).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].suspend();
    fleet.platform.set_delay(Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let repeat =
        call(&order_request(&fleet, 1, "key", "repeat")).await.expect("the daemon responds");
    fleet.daemons[0].resume();
    let delayed_response =
        delayed.await.expect("the call task completes").expect("the daemon responds");
    assert!(fleet.platform.commit_count() > commits);
    let runs = service.run_count("suspended") + service.run_count("repeat");
    assert!(
        runs <= 1,
        "{runs} runs; delayed response: {}; response to the repeat: {}",
        delayed_response.text(),
        repeat.text()
    );
    for (response, tag) in [(&delayed_response, "suspended"), (&repeat, "repeat")] {
        if response.outcome() == "not-run" {
            assert_eq!(service.run_count(tag), 0);
        }
    }
    assert_eq!(
        service.run_count("suspended"),
        0,
        "ran after its deadline: {}",
        delayed_response.text()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_request_without_key_is_never_sent_twice() {
    let (fleet, service) = start_fleet(1, 4, &json!({})).await;
    let behaviours = [BackendBehaviour::RunAndDisconnect, BackendBehaviour::Truncate];
    for (number, behaviour) in behaviours.into_iter().enumerate() {
        for server in &service.servers {
            server.set_behaviour(behaviour.clone());
        }
        for round in 0..8 {
            let tag = format!("plain-{number}-{round}");
            let request = CallRequest::post(fleet.daemons[0].callers, "shop.test", "/orders", "x")
                .with_header("x-request", &tag);
            let response = call(&request).await;
            assert!(service.run_count(&tag) <= 1);
            match response {
                Ok(response) => assert!(matches!(response.outcome(), "unknown" | "not-run")),
                // Both errors show the caller that the response is incomplete.
                Err(error) => {
                    assert!(matches!(error, CallError::Truncated | CallError::ConnectionClosed));
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_order_after_connection_blackhole_runs_once() {
    let mut fleet = TestFleet::start(DAEMON_PATH.as_ref(), 1).await;
    let mut service = TestService::start(
        "shop",
        "orders",
        2,
        2,
        &common::serve_behaviour(Duration::from_millis(1)),
    )
    .await;
    let mut proxies = Vec::new();
    for (entry, server) in service.entries.iter_mut().zip(&service.servers) {
        let proxy = FaultProxy::start(server.address()).await;
        entry.address = proxy.address;
        proxies.push(proxy);
    }
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({ "timeout_ms": 3_000 })).await;
    fleet.wait_serving("shop.test").await;
    for round in 0..3 {
        for proxy in &proxies {
            proxy.blackhole_open_connections();
        }
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let tag = format!("order-{round}");
        let response =
            call(&order_request(&fleet, 0, &tag, &tag)).await.expect("the daemon responds");
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(service.run_count(&tag), 1);
    }
    fleet.daemons.clear();
}

/// Sends orders and repeats them while daemons are killed or suspended, the table's responses to
/// commits are lost, and backend servers fail at random. The outcomes are checked against the
/// requests that the servers ran.
#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_random_faults_never_run_an_order_twice() {
    const SEED: u64 = 20_261_203;
    const ORDERS: usize = 60;
    let mut random = StdRng::seed_from_u64(SEED);
    let (mut fleet, service) = start_fleet(4, 4, &json!({ "timeout_ms": 3_000 })).await;
    let mut calls = Vec::new();
    for number in 0..ORDERS {
        let key = format!("order-{number}");
        for repeat in 0..random.random_range(1..4) {
            let daemon = random.random_range(0..4);
            let tag = format!("{key}-{repeat}");
            let mut request = order_request(&fleet, daemon, &key, &tag);
            request.body = key.clone().into();
            request.timeout = Duration::from_secs(30);
            let key = key.clone();
            calls.push((key, tag, tokio::spawn(async move { call(&request).await })));
        }
        match random.random_range(0..12) {
            0 => fleet.platform.lose_commit_responses(random.random_range(1..4)),
            1 => {
                let behaviour = match random.random_range(0..3) {
                    0 => BackendBehaviour::RunAndDisconnect,
                    1 => BackendBehaviour::Disconnect,
                    _ => common::serve_behaviour(Duration::from_millis(20)),
                };
                service.servers[random.random_range(0..4)].set_behaviour(behaviour);
            }
            2 => {
                fleet.daemons[1].suspend();
                tokio::time::sleep(Duration::from_millis(200)).await;
                fleet.daemons[1].resume();
            }
            3 if number > ORDERS / 2 => fleet.daemons[3].kill(),
            _ => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
    let mut success_count = 0;
    for (key, tag, task) in calls {
        let response = task.await.expect("the call task completes");
        let runs: usize = (0..4).map(|repeat| service.run_count(&format!("{key}-{repeat}"))).sum();
        assert!(runs <= 1, "seed {SEED}: {key} ran {runs} times");
        let Ok(response) = response else {
            continue;
        };
        if response.outcome() == "not-run" {
            assert_eq!(service.run_count(&tag), 0, "seed {SEED}: {tag}: {}", response.text());
        }
        if response.status == 200 {
            success_count += 1;
            assert_eq!(runs, 1, "seed {SEED}: {key} got status 200 without a run");
        }
    }
    assert!(success_count > 0, "seed {SEED}: no request succeeded");
}
