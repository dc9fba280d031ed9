//! Measures what a flooding account does to a quiet one.
//!
//! `cargo build --release && cargo run --release -p testkit --example isolation`

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;
use testkit::{
    BackendBehaviour, CallRequest, CallerConnection, TestFleet, TestService, account_record,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, interval, sleep};

const DAEMON: &str = "target/release/mustardraild";

/// Quiet requests a second; the loud account's callers send as fast as they are answered.
const QUIET_RATE: u64 = 400;

/// Length of each measurement.
const TIME: Duration = Duration::from_secs(4);

/// Connections of the loud account that send requests, and that send slow bodies.
const LOUD_CALLERS: usize = 64;
const SLOW_BODIES: usize = 200;

#[tokio::main]
async fn main() {
    let serve = BackendBehaviour::Serve(Duration::from_millis(2));
    let quiet = TestService::start("quiet", "work", 4, 8, &serve).await;
    let loud = TestService::start("loud", "work", 4, 8, &serve).await;
    let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
    fleet.platform.set_servers([quiet.entries.clone(), loud.entries.clone()].concat());
    let spec = json!({ "slots": 8, "connections": 4_000 });
    fleet.put_unlimited_account("quiet", &quiet, &spec).await;
    let mut account = account_record("loud", &["loud.test"]);
    account["spec"]["limits"] = json!({ "in_flight": 200, "requests_per_s": 400 });
    fleet.put_account("loud", &loud, &spec).await;
    let base = CallRequest::get(
        fleet.daemons[0].operators,
        "test",
        "/v1/records/loud/client-account/loud/1",
    )
    .with_header("authorization", &format!("Bearer {}", testkit::FLEET_KEY));
    let base = testkit::call(&base).await.expect("the daemon answers").json()["revision"].clone();
    let message = json!({ "verb": "replace", "record": account, "base": base });
    assert_eq!(fleet.write_record(0, testkit::FLEET_KEY, &message).await.status, 200);
    fleet.wait_serving("quiet.test").await;
    let callers = fleet.daemons[0].callers;
    for round in 0..3 {
        let (alone, refused_alone) = measure(callers).await;
        let is_done = Arc::new(AtomicBool::new(false));
        let sent = flood(callers, &is_done).await;
        sleep(Duration::from_millis(300)).await;
        let (flooded, refused) = measure(callers).await;
        is_done.store(true, Ordering::SeqCst);
        sleep(Duration::from_millis(300)).await;
        let at = |times: &Histogram<u64>, q: f64| times.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "round {round}: quiet p50 {:.2} ms p99 {:.2} ms refused {refused_alone}; flooded p50 \
             {:.2} ms p99 {:.2} ms refused {refused}; ratio p99 {:.2}; loud sent {}",
            at(&alone, 0.5),
            at(&alone, 0.99),
            at(&flooded, 0.5),
            at(&flooded, 0.99),
            at(&flooded, 0.99) / at(&alone, 0.99),
            sent.load(Ordering::SeqCst),
        );
    }
}

/// Open-loop quiet requests: their times and how many were refused.
async fn measure(callers: SocketAddr) -> (Histogram<u64>, u64) {
    let mut times = Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid");
    let mut pace = interval(Duration::from_millis(1_000 / QUIET_RATE));
    let idle: Arc<std::sync::Mutex<Vec<CallerConnection>>> = Arc::default();
    let until = Instant::now() + TIME;
    let mut calls = tokio::task::JoinSet::new();
    while Instant::now() < until {
        pace.tick().await;
        let arrived_at = Instant::now();
        let idle = Arc::clone(&idle);
        calls.spawn(async move {
            let kept = idle.lock().expect("never poisoned").pop();
            let mut caller = match kept {
                Some(caller) => caller,
                None => CallerConnection::connect(callers).await.expect("the daemon listens"),
            };
            let answer = caller.send(&CallRequest::get(callers, "quiet.test", "/records")).await;
            idle.lock().expect("never poisoned").push(caller);
            let is_served = answer.is_ok_and(|answer| answer.status == 200);
            (arrived_at.elapsed().as_micros() as u64, is_served)
        });
    }
    let mut refused = 0;
    while let Some(ended) = calls.join_next().await {
        let (micros, is_served) = ended.expect("the call ends");
        times.saturating_record(micros);
        refused += u64::from(!is_served);
    }
    (times, refused)
}

/// Starts the loud account's callers; returns the count of what they send.
async fn flood(callers: SocketAddr, is_done: &Arc<AtomicBool>) -> Arc<AtomicU64> {
    let sent = Arc::new(AtomicU64::new(0));
    for number in 0..LOUD_CALLERS {
        let (is_done, sent) = (Arc::clone(is_done), Arc::clone(&sent));
        tokio::spawn(async move {
            let filler = "x".repeat(4_000);
            while let Ok(mut caller) = CallerConnection::connect(callers).await {
                for turn in 0..200 {
                    if is_done.load(Ordering::SeqCst) {
                        return;
                    }
                    let key = format!("{number}-{turn}-{}", sent.load(Ordering::Relaxed));
                    let request = CallRequest::post(callers, "loud.test", "/orders", "x")
                        .with_header("idempotency-key", &key)
                        .with_header("x-filler", &filler);
                    if caller.send(&request).await.is_err() {
                        break;
                    }
                    sent.fetch_add(1, Ordering::Relaxed);
                    // A hundred times the loud account's share, not all that the machine gives.
                    sleep(Duration::from_millis(4)).await;
                }
            }
        });
    }
    for _ in 0..SLOW_BODIES {
        let is_done = Arc::clone(is_done);
        tokio::spawn(async move {
            let Ok(mut stream) = TcpStream::connect(callers).await else {
                return;
            };
            let head = "POST /slow HTTP/1.1\r\nHost: loud.test\r\nContent-Length: 60000\r\n\r\n";
            let mut next = head.as_bytes();
            while !is_done.load(Ordering::SeqCst) && stream.write_all(next).await.is_ok() {
                next = b"x";
                sleep(Duration::from_millis(200)).await;
            }
        });
    }
    sent
}
