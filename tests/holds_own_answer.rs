//! Every caller gets the whole answer to its own request.

mod common;

use std::time::Duration;

use common::{lookup, serve, setup, slow_setup};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{BackendBehaviour, CallError, CallRequest, call};

/// Many callers on reused backend connections, of whom some go away before their answer.
#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_with_cancelled_callers() {
    const SEED: u64 = 4_711;
    let mut random = StdRng::seed_from_u64(SEED);
    let (fleet, service) = setup(2, 3, &json!({ "slots": 4, "expected_ms": 15 })).await;
    let mut calls = Vec::new();
    for number in 0..800 {
        if number % 25 == 0 {
            let time = Duration::from_millis(random.random_range(0..25));
            service.servers[number / 25 % 3].set_behaviour(serve(time));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let tag = format!("nonce-{:016x}", random.random::<u64>());
        let mut request = lookup(&fleet, number % 2, &tag);
        if random.random_range(0..4) == 0 {
            request.timeout = Duration::from_millis(random.random_range(0..15));
        }
        calls.push((tag, tokio::spawn(async move { call(&request).await })));
    }
    let mut whole = 0;
    for (tag, running) in calls {
        if let Ok(answer) = running.await.expect("the call ends")
            && answer.status == 200
        {
            whole += 1;
            assert!(answer.text().contains(&tag), "seed {SEED}: {tag} got {}", answer.text());
        }
    }
    assert!(whole > 100, "seed {SEED}: only {whole} answers");
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_truncation_reaches_caller() {
    let (fleet, service) = setup(1, 2, &json!({})).await;
    for server in &service.servers {
        server.set_behaviour(BackendBehaviour::Truncate);
    }
    for round in 0..10 {
        let answer = call(&lookup(&fleet, 0, &format!("cut-{round}"))).await;
        match answer {
            Ok(answer) => assert_ne!(answer.status, 200, "a cut answer looked whole"),
            Err(fault) => {
                assert!(matches!(fault, CallError::Truncated | CallError::ConnectionClosed));
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_late_answer_goes_to_nobody_else() {
    let (fleet, service) = slow_setup(1, Duration::from_millis(300)).await;
    let mut abandoned = lookup(&fleet, 0, "abandoned");
    abandoned.timeout = Duration::from_millis(100);
    for _ in 0..6 {
        assert_eq!(call(&abandoned).await.map(|_| ()), Err(CallError::TimedOut));
    }
    for server in &service.servers {
        server.set_behaviour(serve(Duration::from_millis(1)));
    }
    for round in 0..20 {
        let tag = format!("next-{round}");
        let answer = call(&lookup(&fleet, 0, &tag)).await.expect("answered");
        assert!(answer.text().contains(&tag), "{}", answer.text());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_own_answer_uploads_arrive_whole() {
    let (fleet, service) = setup(2, 3, &json!({ "timeout_ms": 30_000 })).await;
    let body: Vec<u8> = (0..5_000_000_u32).map(|number| (number % 251) as u8).collect();
    for round in 0..4 {
        let tag = format!("upload-{round}");
        let address = fleet.daemons[round % 2].callers;
        let request = CallRequest::post(address, "shop.test", "/proofs", body.clone())
            .with_header("x-request", &tag);
        let answer = call(&request).await.expect("answered");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let stored: Vec<_> = service
            .servers
            .iter()
            .flat_map(testkit::FakeBackend::served_requests)
            .filter(|served| *served.tag == tag)
            .collect();
        assert_eq!(stored.len(), 1);
        assert!(stored[0].body == body, "the upload arrived changed");
    }
}
