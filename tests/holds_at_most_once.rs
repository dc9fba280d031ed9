//! A non-idempotent request runs at most once.

mod common;

use std::time::Duration;

use common::{DAEMON, order, setup, slow_setup};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{BackendBehaviour, CallError, CallRequest, FaultProxy, TestFleet, TestService, call};

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_repeat_at_another_vm_gets_first_answer() {
    let (fleet, service) = setup(3, 3, &json!({})).await;
    let first = call(&order(&fleet, 0, "key-1", "first")).await.expect("answered");
    assert_eq!((first.status, first.outcome()), (200, "ran"));
    for daemon in 0..3 {
        let repeat = call(&order(&fleet, daemon, "key-1", "repeat")).await.expect("answered");
        assert_eq!((repeat.status, repeat.text()), (200, first.text()));
        assert_eq!(repeat.header("mustardrail-replayed"), "whole");
    }
    assert_eq!((service.run_count("first"), service.run_count("repeat")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_concurrent_repeats_at_all_vms() {
    let (fleet, service) = setup(3, 3, &json!({})).await;
    for round in 0..10 {
        let key = format!("key-{round}");
        let calls: Vec<_> = (0..9)
            .map(|number| {
                let request = order(&fleet, number % 3, &key, &key);
                tokio::spawn(async move { call(&request).await.expect("answered") })
            })
            .collect();
        let mut bodies = Vec::new();
        for answer in calls {
            let answer = answer.await.expect("the call ends");
            assert_eq!(answer.status, 200, "{}", answer.text());
            bodies.push(answer.text());
        }
        bodies.dedup();
        assert_eq!(bodies.len(), 1, "{bodies:?}");
        assert_eq!(service.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_other_body_under_same_key_is_refused() {
    let (fleet, service) = setup(2, 2, &json!({})).await;
    call(&order(&fleet, 0, "key", "first")).await.expect("answered");
    let mut other = order(&fleet, 1, "key", "other");
    other.body = "another stone".into();
    let answer = call(&other).await.expect("answered");
    assert_eq!((answer.status, answer.outcome()), (422, "not-run"));
    assert_eq!(service.run_count("other"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_chunked_answer_is_replayed_whole() {
    let (fleet, service) = setup(2, 2, &json!({})).await;
    let request = order(&fleet, 0, "key", "first").with_header("x-chunked", "1");
    let first = call(&request).await.expect("answered");
    assert_eq!(first.header("transfer-encoding"), "");
    let repeat = call(&order(&fleet, 1, "key", "repeat")).await.expect("answered");
    assert_eq!(repeat.header("mustardrail-replayed"), "whole");
    assert_eq!((repeat.status, repeat.text()), (200, first.text()));
    assert_eq!((service.run_count("first"), service.run_count("repeat")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_kill_after_dispatch_is_unknown_elsewhere() {
    let (mut fleet, service) = slow_setup(3, Duration::from_secs(3)).await;
    let request = order(&fleet, 0, "key", "first");
    let cut = tokio::spawn(async move { call(&request).await });
    while service.run_count("first") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.daemons[0].kill();
    assert_eq!(cut.await.expect("the call ends").map(|_| ()), Err(CallError::ConnectionClosed));
    let repeat = call(&order(&fleet, 1, "key", "repeat")).await.expect("answered");
    assert_eq!((repeat.status, repeat.outcome()), (409, "unknown"), "{}", repeat.text());
    assert_eq!((service.run_count("first"), service.run_count("repeat")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_lost_answer_of_claim() {
    let (fleet, service) = setup(2, 2, &json!({})).await;
    for round in 0..5 {
        let key = format!("key-{round}");
        fleet.platform.lose_commit_responses(1);
        let answer = call(&order(&fleet, 0, &key, &key)).await.expect("answered");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let repeat = call(&order(&fleet, 1, &key, &key)).await.expect("answered");
        assert!(matches!(repeat.status, 200 | 409), "{}", repeat.text());
        assert_eq!(service.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_table_down_refuses_as_not_run() {
    let (fleet, service) = setup(2, 2, &json!({})).await;
    fleet.platform.set_down(true);
    for number in 0..6 {
        let tag = format!("down-{number}");
        let answer = call(&order(&fleet, number % 2, &tag, &tag)).await.expect("answered");
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{}", answer.text());
        assert!(!answer.header("retry-after").is_empty());
        assert_eq!(service.run_count(&tag), 0);
    }
    fleet.platform.set_down(false);
    let mut status = 0;
    for _ in 0..200 {
        status = call(&order(&fleet, 0, "down-0", "again")).await.expect("answered").status;
        if status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!((status, service.run_count("again")), (200, 1));
}

/// Two daemons that wait long for the table, so that a claim outlives its request's deadline.
async fn patient_setup() -> (TestFleet, TestService) {
    let behaviour = common::serve(Duration::from_millis(1));
    let service = TestService::start("shop", "orders", 2, 4, &behaviour).await;
    let mut fleet = TestFleet::without_daemons(DAEMON.as_ref()).await;
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
async fn holds_at_most_once_vm_frozen_between_claim_and_dispatch() {
    let (fleet, service) = patient_setup().await;
    // The claim's answer takes longer than the moment at which the daemon is frozen.
    fleet.platform.set_delay(Duration::from_millis(700));
    let commits = fleet.platform.commit_count();
    let request = order(&fleet, 0, "key", "frozen");
    let frozen = tokio::spawn(async move { call(&request).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].suspend();
    fleet.platform.set_delay(Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let repeat = call(&order(&fleet, 1, "key", "repeat")).await.expect("answered");
    fleet.daemons[0].resume();
    let late = frozen.await.expect("the call ends").expect("answered");
    assert!(fleet.platform.commit_count() > commits);
    let runs = service.run_count("frozen") + service.run_count("repeat");
    assert!(runs <= 1, "{runs} runs; late {} repeat {}", late.text(), repeat.text());
    for (answer, tag) in [(&late, "frozen"), (&repeat, "repeat")] {
        if answer.outcome() == "not-run" {
            assert_eq!(service.run_count(tag), 0);
        }
    }
    assert_eq!(service.run_count("frozen"), 0, "ran after its deadline: {}", late.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_without_key_is_never_sent_twice() {
    let (fleet, service) = setup(1, 4, &json!({})).await;
    let cases = [BackendBehaviour::RunAndDisconnect, BackendBehaviour::Truncate];
    for (number, behaviour) in cases.into_iter().enumerate() {
        for server in &service.servers {
            server.set_behaviour(behaviour.clone());
        }
        for round in 0..8 {
            let tag = format!("plain-{number}-{round}");
            let request = CallRequest::post(fleet.daemons[0].callers, "shop.test", "/orders", "x")
                .with_header("x-request", &tag);
            let answer = call(&request).await;
            assert!(service.run_count(&tag) <= 1);
            match answer {
                Ok(answer) => assert!(matches!(answer.outcome(), "unknown" | "not-run")),
                // Either way the caller sees that the answer is not whole.
                Err(fault) => {
                    assert!(matches!(fault, CallError::Truncated | CallError::ConnectionClosed));
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_silent_connections() {
    let mut fleet = TestFleet::start(DAEMON.as_ref(), 1).await;
    let mut service =
        TestService::start("shop", "orders", 2, 2, &common::serve(Duration::from_millis(1))).await;
    let mut relays = Vec::new();
    for (entry, server) in service.entries.iter_mut().zip(&service.servers) {
        let relay = FaultProxy::start(server.address()).await;
        entry.address = relay.address;
        relays.push(relay);
    }
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({ "timeout_ms": 3_000 })).await;
    fleet.wait_serving("shop.test").await;
    for round in 0..3 {
        for relay in &relays {
            relay.blackhole_open_connections();
        }
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let tag = format!("order-{round}");
        let answer = call(&order(&fleet, 0, &tag, &tag)).await.expect("answered");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(service.run_count(&tag), 1);
    }
    fleet.daemons.clear();
}

/// Random orders, repeats, kills, freezes and lost answers; checked against what the backend
/// servers ran.
#[tokio::test(flavor = "multi_thread")]
async fn holds_at_most_once_random_history() {
    const SEED: u64 = 20_261_203;
    const ORDERS: usize = 60;
    let mut random = StdRng::seed_from_u64(SEED);
    let (mut fleet, service) = setup(4, 4, &json!({ "timeout_ms": 3_000 })).await;
    let mut calls = Vec::new();
    for number in 0..ORDERS {
        let key = format!("order-{number}");
        for attempt in 0..random.random_range(1..4) {
            let daemon = random.random_range(0..4);
            let tag = format!("{key}-{attempt}");
            let mut request = order(&fleet, daemon, &key, &tag);
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
                    _ => common::serve(Duration::from_millis(20)),
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
    let mut answered = 0;
    for (key, tag, running) in calls {
        let answer = running.await.expect("the call ends");
        let runs: usize = (0..4).map(|n| service.run_count(&format!("{key}-{n}"))).sum();
        assert!(runs <= 1, "seed {SEED}: {key} ran {runs} times");
        let Ok(answer) = answer else {
            continue;
        };
        if answer.outcome() == "not-run" {
            assert_eq!(service.run_count(&tag), 0, "seed {SEED}: {tag}: {}", answer.text());
        }
        if answer.status == 200 {
            answered += 1;
            assert_eq!(runs, 1, "seed {SEED}: {key} answered without a run");
        }
    }
    assert!(answered > 0, "seed {SEED}: nothing was answered");
}
