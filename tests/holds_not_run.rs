//! A request that is said not to have run did not run.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{lookup, order, serve, setup};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{BackendBehaviour, CallRequest, TestFleet, TestService, call};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_declared_shedding() {
    let (fleet, service) = setup(1, 3, &json!({ "refusal_statuses": [503] })).await;
    for server in &service.servers {
        server.set_behaviour(BackendBehaviour::Shed);
    }
    let plain = CallRequest::post(fleet.daemons[0].callers, "shop.test", "/orders", "x")
        .with_header("x-request", "plain");
    for request in [plain, order(&fleet, 0, "key", "keyed"), lookup(&fleet, 0, "lookup")] {
        let answer = call(&request).await.expect("answered");
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{}", answer.text());
        assert!(!answer.header("retry-after").is_empty());
    }
    let runs =
        service.run_count("plain") + service.run_count("keyed") + service.run_count("lookup");
    assert_eq!(runs, 0);
    // The claim was given back, so the same order may run once servers take work again.
    for server in &service.servers {
        server.set_behaviour(serve(Duration::from_millis(1)));
    }
    let mut status = 0;
    for _ in 0..100 {
        status = call(&order(&fleet, 0, "key", "later")).await.expect("answered").status;
        if status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!((status, service.run_count("later")), (200, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_earlier_try_may_have_run() {
    let spec = json!({ "refusal_statuses": [503], "retry_percent": 50 });
    let (fleet, service) = setup(1, 2, &spec).await;
    for round in 0..20 {
        for server in &service.servers {
            server.set_behaviour(serve(Duration::ZERO));
        }
        // Successes earn the second tries.
        for number in 0..4 {
            call(&lookup(&fleet, 0, &format!("earn-{round}-{number}"))).await.expect("answered");
        }
        service.servers[round % 2].set_behaviour(BackendBehaviour::RunAndDisconnect);
        service.servers[(round + 1) % 2].set_behaviour(BackendBehaviour::Shed);
        let tag = format!("lookup-{round}");
        let answer = call(&lookup(&fleet, 0, &tag)).await.expect("answered");
        if answer.outcome() == "not-run" {
            assert_eq!(service.run_count(&tag), 0, "{tag}: {}", answer.text());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_unreachable_servers() {
    let fleet = TestFleet::start(common::DAEMON.as_ref(), 1).await;
    let mut service =
        TestService::start("shop", "orders", 2, 2, &serve(Duration::from_millis(1))).await;
    for entry in &mut service.entries {
        entry.address = testkit::free_address();
    }
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({})).await;
    for request in [order(&fleet, 0, "key", "keyed"), lookup(&fleet, 0, "lookup")] {
        let answer = call(&request).await.expect("answered");
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{}", answer.text());
        assert!(!answer.header("retry-after").is_empty());
    }
}

/// A server that reads some bytes of each request and resets the connection.
async fn start_resetting(bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut left = bytes;
            let mut buffer = [0; 4096];
            while left > 0 {
                let most = left.min(buffer.len());
                match stream.read(&mut buffer[..most]).await {
                    Ok(count) if count > 0 => left -= count,
                    _ => break,
                }
            }
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_reset_at_each_part_of_a_request() {
    let fleet = TestFleet::start(common::DAEMON.as_ref(), 1).await;
    let mut service =
        TestService::start("shop", "orders", 1, 2, &serve(Duration::from_millis(1))).await;
    service.entries[0].address = start_resetting(0).await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({})).await;
    for bytes in [0, 1, 5, 16, 40, 100, 200, 300, 400, 1_000] {
        let id = format!("shop-orders-{bytes}");
        service.entries[0].id = id.parse().expect("the name is valid");
        service.entries[0].address = start_resetting(bytes).await;
        fleet.platform.set_servers(service.entries.clone());
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        let request =
            CallRequest::post(fleet.daemons[0].callers, "shop.test", "/orders", "one stone");
        let answer = call(&request).await.expect("answered");
        if bytes == 0 && answer.outcome() == "not-run" {
            // The connection closed before any byte was written, and the answer says so.
            assert!(answer.text().contains("unreachable"), "{}", answer.text());
            continue;
        }
        // Bytes of the request were sent, so nobody here knows what became of it.
        assert_eq!(answer.outcome(), "unknown", "{bytes} bytes: {}", answer.text());
    }
}

/// Random loads, deadlines and misbehaviour; every "not-run" is compared with the servers' records.
#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_random_history() {
    const SEED: u64 = 77;
    let mut random = StdRng::seed_from_u64(SEED);
    let spec = json!({ "slots": 2, "refusal_statuses": [503], "expected_ms": 40 });
    let (fleet, service) = setup(2, 4, &spec).await;
    let mut calls = Vec::new();
    for number in 0..600 {
        if number % 20 == 0 {
            let behaviour = match random.random_range(0..6) {
                0 => BackendBehaviour::Shed,
                1 => BackendBehaviour::RunAndDisconnect,
                2 => BackendBehaviour::Disconnect,
                3 => BackendBehaviour::Fail(500),
                _ => serve(Duration::from_millis(random.random_range(1..60))),
            };
            service.servers[random.random_range(0..4)].set_behaviour(behaviour);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let tag = format!("tag-{number}");
        let daemon = random.random_range(0..2);
        let request = match random.random_range(0..3) {
            0 => order(&fleet, daemon, &tag, &tag),
            1 => CallRequest::post(fleet.daemons[daemon].callers, "shop.test", "/orders", "x")
                .with_header("x-request", &tag),
            _ => lookup(&fleet, daemon, &tag),
        };
        let deadline = random.random_range(1..400).to_string();
        let request = request.with_header("mustardrail-deadline-ms", &deadline);
        calls.push((tag, tokio::spawn(async move { call(&request).await })));
    }
    let mut refused = 0;
    for (tag, running) in calls {
        let Ok(answer) = running.await.expect("the call ends") else {
            continue;
        };
        if answer.outcome() == "not-run" {
            refused += 1;
            assert_eq!(service.run_count(&tag), 0, "seed {SEED}: {tag}: {}", answer.text());
        }
    }
    assert!(refused > 0, "seed {SEED}: nothing was refused");
}
