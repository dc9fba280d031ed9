//! A request that is reported as not run did not run.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{idempotent_request, order_request, serve_behaviour, start_fleet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{BackendBehaviour, CallRequest, TestFleet, TestService, call};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_declared_refusal_status_is_reported_as_not_run() {
    let (fleet, service) = start_fleet(1, 3, &json!({ "refusal_statuses": [503] })).await;
    for server in &service.servers {
        server.set_behaviour(BackendBehaviour::Shed);
    }
    let plain = CallRequest::post(fleet.daemons[0].callers, "shop.test", "/orders", "x")
        .with_header("x-request", "plain");
    for request in [
        plain,
        order_request(&fleet, 0, "key", "keyed"),
        idempotent_request(&fleet, 0, "idempotent"),
    ] {
        let response = call(&request).await.expect("the daemon responds");
        assert_eq!((response.status, response.outcome()), (503, "not-run"), "{}", response.text());
        assert!(!response.header("retry-after").is_empty());
    }
    let runs =
        service.run_count("plain") + service.run_count("keyed") + service.run_count("idempotent");
    assert_eq!(runs, 0);
    // The claim was released, so the same order may run once the servers accept requests again.
    for server in &service.servers {
        server.set_behaviour(serve_behaviour(Duration::from_millis(1)));
    }
    let mut status = 0;
    for _ in 0..100 {
        status = call(&order_request(&fleet, 0, "key", "later"))
            .await
            .expect("the daemon responds")
            .status;
        if status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!((status, service.run_count("later")), (200, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_request_with_earlier_run_is_not_reported_as_not_run() {
    let spec = json!({ "refusal_statuses": [503], "retry_percent": 50 });
    let (fleet, service) = start_fleet(1, 2, &spec).await;
    for round in 0..20 {
        for server in &service.servers {
            server.set_behaviour(serve_behaviour(Duration::ZERO));
        }
        // Successful requests add to the retry budget.
        for number in 0..4 {
            call(&idempotent_request(&fleet, 0, &format!("budget-{round}-{number}")))
                .await
                .expect("the daemon responds");
        }
        service.servers[round % 2].set_behaviour(BackendBehaviour::RunAndDisconnect);
        service.servers[(round + 1) % 2].set_behaviour(BackendBehaviour::Shed);
        let tag = format!("idempotent-{round}");
        let response =
            call(&idempotent_request(&fleet, 0, &tag)).await.expect("the daemon responds");
        if response.outcome() == "not-run" {
            assert_eq!(service.run_count(&tag), 0, "{tag}: {}", response.text());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_requests_to_unreachable_servers_are_refused_as_not_run() {
    let fleet = TestFleet::start(common::DAEMON_PATH.as_ref(), 1).await;
    let mut service =
        TestService::start("shop", "orders", 2, 2, &serve_behaviour(Duration::from_millis(1)))
            .await;
    for entry in &mut service.entries {
        entry.address = testkit::free_address();
    }
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({})).await;
    for request in
        [order_request(&fleet, 0, "key", "keyed"), idempotent_request(&fleet, 0, "idempotent")]
    {
        let response = call(&request).await.expect("the daemon responds");
        assert_eq!((response.status, response.outcome()), (503, "not-run"), "{}", response.text());
        assert!(!response.header("retry-after").is_empty());
    }
}

/// Starts a server that closes each connection after it has read `reset_after_bytes` bytes. Unread
/// bytes make the kernel reset the connection.
async fn start_resetting_server(reset_after_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut remaining = reset_after_bytes;
            let mut buffer = [0; 4096];
            while remaining > 0 {
                let limit = remaining.min(buffer.len());
                match stream.read(&mut buffer[..limit]).await {
                    Ok(count) if count > 0 => remaining -= count,
                    _ => break,
                }
            }
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_reset_after_partial_send_reports_unknown_outcome() {
    let fleet = TestFleet::start(common::DAEMON_PATH.as_ref(), 1).await;
    let mut service =
        TestService::start("shop", "orders", 1, 2, &serve_behaviour(Duration::from_millis(1)))
            .await;
    service.entries[0].address = start_resetting_server(0).await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({})).await;
    for bytes in [0, 1, 5, 16, 40, 100, 200, 300, 400, 1_000] {
        let id = format!("shop-orders-{bytes}");
        service.entries[0].id = id.parse().expect("the name is valid");
        service.entries[0].address = start_resetting_server(bytes).await;
        fleet.platform.set_servers(service.entries.clone());
        // The daemon polls the server list about once per second.
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        let request =
            CallRequest::post(fleet.daemons[0].callers, "shop.test", "/orders", "one stone");
        let response = call(&request).await.expect("the daemon responds");
        if bytes == 0 && response.outcome() == "not-run" {
            // The connection closed before any byte of the request was sent, as the response
            // states.
            assert!(response.text().contains("unreachable"), "{}", response.text());
            continue;
        }
        // Part of the request was sent, so whether it ran is unknown.
        assert_eq!(response.outcome(), "unknown", "{bytes} bytes: {}", response.text());
    }
}

/// Sends requests with random deadlines to servers that fail at random. Each request reported as
/// "not-run" is checked against the requests that the servers ran.
#[tokio::test(flavor = "multi_thread")]
async fn holds_not_run_refused_requests_never_run_under_random_faults() {
    const SEED: u64 = 77;
    let mut random = StdRng::seed_from_u64(SEED);
    let spec = json!({ "slots": 2, "refusal_statuses": [503], "expected_ms": 40 });
    let (fleet, service) = start_fleet(2, 4, &spec).await;
    let mut calls = Vec::new();
    for number in 0..600 {
        if number % 20 == 0 {
            let behaviour = match random.random_range(0..6) {
                0 => BackendBehaviour::Shed,
                1 => BackendBehaviour::RunAndDisconnect,
                2 => BackendBehaviour::Disconnect,
                3 => BackendBehaviour::Fail(500),
                _ => serve_behaviour(Duration::from_millis(random.random_range(1..60))),
            };
            service.servers[random.random_range(0..4)].set_behaviour(behaviour);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let tag = format!("tag-{number}");
        let daemon = random.random_range(0..2);
        let request = match random.random_range(0..3) {
            0 => order_request(&fleet, daemon, &tag, &tag),
            1 => CallRequest::post(fleet.daemons[daemon].callers, "shop.test", "/orders", "x")
                .with_header("x-request", &tag),
            _ => idempotent_request(&fleet, daemon, &tag),
        };
        let deadline = random.random_range(1..400).to_string();
        let request = request.with_header("mustardrail-deadline-ms", &deadline);
        calls.push((tag, tokio::spawn(async move { call(&request).await })));
    }
    let mut refused_count = 0;
    for (tag, task) in calls {
        let Ok(response) = task.await.expect("the call task completes") else {
            continue;
        };
        if response.outcome() == "not-run" {
            refused_count += 1;
            assert_eq!(service.run_count(&tag), 0, "seed {SEED}: {tag}: {}", response.text());
        }
    }
    assert!(refused_count > 0, "seed {SEED}: no request was refused");
}
