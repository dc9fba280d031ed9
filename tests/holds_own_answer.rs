//! Every caller gets the complete response to its own request.

mod common;

use std::time::Duration;

use common::{idempotent_request, serve_behaviour, start_fleet, start_slow_fleet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{BackendBehaviour, CallError, CallRequest, call};

/// Many callers share reused backend connections, and some of them disconnect before their
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_cancelled_callers_do_not_mix_up_responses() {
    const SEED: u64 = 4_711;
    let mut random = StdRng::seed_from_u64(SEED);
    let (fleet, service) = start_fleet(2, 3, &json!({ "slots": 4, "expected_ms": 15 })).await;
    let mut calls = Vec::new();
    for number in 0..800 {
        if number % 25 == 0 {
            let run_time = Duration::from_millis(random.random_range(0..25));
            service.servers[number / 25 % 3].set_behaviour(serve_behaviour(run_time));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let tag = format!("nonce-{:016x}", random.random::<u64>());
        let mut request = idempotent_request(&fleet, number % 2, &tag);
        if random.random_range(0..4) == 0 {
            request.timeout = Duration::from_millis(random.random_range(0..15));
        }
        calls.push((tag, tokio::spawn(async move { call(&request).await })));
    }
    let mut success_count = 0;
    for (tag, task) in calls {
        if let Ok(response) = task.await.expect("the call task completes")
            && response.status == 200
        {
            success_count += 1;
            assert!(response.text().contains(&tag), "seed {SEED}: {tag} got {}", response.text());
        }
    }
    assert!(success_count > 100, "seed {SEED}: only {success_count} requests succeeded");
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_truncated_response_is_visible_to_caller() {
    let (fleet, service) = start_fleet(1, 2, &json!({})).await;
    for server in &service.servers {
        server.set_behaviour(BackendBehaviour::Truncate);
    }
    for round in 0..10 {
        let response = call(&idempotent_request(&fleet, 0, &format!("truncated-{round}"))).await;
        match response {
            Ok(response) => assert_ne!(response.status, 200, "truncated response has status 200"),
            Err(error) => {
                assert!(matches!(error, CallError::Truncated | CallError::ConnectionClosed));
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_late_response_does_not_reach_another_caller() {
    let (fleet, service) = start_slow_fleet(1, Duration::from_millis(300)).await;
    let mut abandoned = idempotent_request(&fleet, 0, "abandoned");
    abandoned.timeout = Duration::from_millis(100);
    for _ in 0..6 {
        assert_eq!(call(&abandoned).await.map(|_| ()), Err(CallError::TimedOut));
    }
    for server in &service.servers {
        server.set_behaviour(serve_behaviour(Duration::from_millis(1)));
    }
    for round in 0..20 {
        let tag = format!("next-{round}");
        let response =
            call(&idempotent_request(&fleet, 0, &tag)).await.expect("the daemon responds");
        assert!(response.text().contains(&tag), "{}", response.text());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_uploads_arrive_complete() {
    let (fleet, service) = start_fleet(2, 3, &json!({ "timeout_ms": 30_000 })).await;
    let body: Vec<u8> = (0..5_000_000_u32).map(|number| (number % 251) as u8).collect();
    for round in 0..4 {
        let tag = format!("upload-{round}");
        let address = fleet.daemons[round % 2].callers;
        let request = CallRequest::post(address, "shop.test", "/proofs", body.clone())
            .with_header("x-request", &tag);
        let response = call(&request).await.expect("the daemon responds");
        assert_eq!(response.status, 200, "{}", response.text());
        let uploads: Vec<_> = service
            .servers
            .iter()
            .flat_map(testkit::FakeBackend::served_requests)
            .filter(|served| *served.tag == tag)
            .collect();
        assert_eq!(uploads.len(), 1);
        assert!(uploads[0].body == body, "the upload was altered");
    }
}
