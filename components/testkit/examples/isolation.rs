//! Measures how much a client account that floods an entry VM slows down a quiet account.
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

const QUIET_REQUESTS_PER_S: u64 = 400;

const MEASUREMENT_TIME: Duration = Duration::from_secs(4);

/// Connections over which the loud account sends complete requests.
const LOUD_CONNECTIONS: usize = 64;

/// Connections over which the loud account sends a request body at one byte per 200 ms.
const SLOW_UPLOADS: usize = 200;

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
    let request = CallRequest::get(
        fleet.daemons[0].operators,
        "test",
        "/v1/records/loud/client-account/loud/1",
    )
    .with_header("authorization", &format!("Bearer {}", testkit::FLEET_KEY));
    let revision =
        testkit::call(&request).await.expect("the daemon responds").json()["revision"].clone();
    let message = json!({ "verb": "replace", "record": account, "base": revision });
    assert_eq!(fleet.write_record(0, testkit::FLEET_KEY, &message).await.status, 200);
    fleet.wait_serving("quiet.test").await;
    let caller_address = fleet.daemons[0].callers;
    for round in 0..3 {
        let (baseline_times, baseline_refused) = measure_quiet_account(caller_address).await;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sent_requests = start_flood(caller_address, &is_stopped).await;
        sleep(Duration::from_millis(300)).await;
        let (flooded_times, flooded_refused) = measure_quiet_account(caller_address).await;
        is_stopped.store(true, Ordering::SeqCst);
        sleep(Duration::from_millis(300)).await;
        let quantile_ms =
            |times: &Histogram<u64>, q: f64| times.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "round {round}: quiet p50 {:.2} ms p99 {:.2} ms refused {baseline_refused}; flooded \
             p50 {:.2} ms p99 {:.2} ms refused {flooded_refused}; ratio p99 {:.2}; loud sent {}",
            quantile_ms(&baseline_times, 0.5),
            quantile_ms(&baseline_times, 0.99),
            quantile_ms(&flooded_times, 0.5),
            quantile_ms(&flooded_times, 0.99),
            quantile_ms(&flooded_times, 0.99) / quantile_ms(&baseline_times, 0.99),
            sent_requests.load(Ordering::SeqCst),
        );
    }
}

/// Sends open-loop requests of the quiet account. Returns their latencies in microseconds and the
/// number that failed or did not get status 200.
async fn measure_quiet_account(caller_address: SocketAddr) -> (Histogram<u64>, u64) {
    let mut times = Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid");
    let mut ticks = interval(Duration::from_millis(1_000 / QUIET_REQUESTS_PER_S));
    let idle_connections: Arc<std::sync::Mutex<Vec<CallerConnection>>> = Arc::default();
    let end = Instant::now() + MEASUREMENT_TIME;
    let mut calls = tokio::task::JoinSet::new();
    while Instant::now() < end {
        ticks.tick().await;
        let arrived_at = Instant::now();
        let idle_connections = Arc::clone(&idle_connections);
        calls.spawn(async move {
            let idle_connection = idle_connections.lock().expect("never poisoned").pop();
            let mut connection = match idle_connection {
                Some(connection) => connection,
                None => {
                    CallerConnection::connect(caller_address).await.expect("the daemon listens")
                }
            };
            let response =
                connection.send(&CallRequest::get(caller_address, "quiet.test", "/records")).await;
            idle_connections.lock().expect("never poisoned").push(connection);
            let is_served = response.is_ok_and(|response| response.status == 200);
            (arrived_at.elapsed().as_micros() as u64, is_served)
        });
    }
    let mut refused = 0;
    while let Some(result) = calls.join_next().await {
        let (micros, is_served) = result.expect("the call ends");
        times.saturating_record(micros);
        refused += u64::from(!is_served);
    }
    (times, refused)
}

/// Starts the connections of the loud account. Those with complete requests wait for each response
/// and another 4 ms before the next request. Returns a counter of the complete requests sent.
async fn start_flood(caller_address: SocketAddr, is_stopped: &Arc<AtomicBool>) -> Arc<AtomicU64> {
    let sent_requests = Arc::new(AtomicU64::new(0));
    for connection_number in 0..LOUD_CONNECTIONS {
        let (is_stopped, sent_requests) = (Arc::clone(is_stopped), Arc::clone(&sent_requests));
        tokio::spawn(async move {
            let filler = "x".repeat(4_000);
            while let Ok(mut connection) = CallerConnection::connect(caller_address).await {
                for request_number in 0..200 {
                    if is_stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let key = format!(
                        "{connection_number}-{request_number}-{}",
                        sent_requests.load(Ordering::Relaxed)
                    );
                    let request = CallRequest::post(caller_address, "loud.test", "/orders", "x")
                        .with_header("idempotency-key", &key)
                        .with_header("x-filler", &filler);
                    if connection.send(&request).await.is_err() {
                        break;
                    }
                    sent_requests.fetch_add(1, Ordering::Relaxed);
                    // Limits the flood to about a hundred times the loud account's share, which
                    // is less than the machine could send.
                    sleep(Duration::from_millis(4)).await;
                }
            }
        });
    }
    for _ in 0..SLOW_UPLOADS {
        let is_stopped = Arc::clone(is_stopped);
        tokio::spawn(async move {
            let Ok(mut stream) = TcpStream::connect(caller_address).await else {
                return;
            };
            let head = "POST /slow HTTP/1.1\r\nHost: loud.test\r\nContent-Length: 60000\r\n\r\n";
            let mut chunk = head.as_bytes();
            while !is_stopped.load(Ordering::SeqCst) && stream.write_all(chunk).await.is_ok() {
                chunk = b"x";
                sleep(Duration::from_millis(200)).await;
            }
        });
    }
    sent_requests
}
