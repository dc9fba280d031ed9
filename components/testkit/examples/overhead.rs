//! Measures the latency that the daemon adds, its throughput, and its memory for connections and a
//! large upload.
//!
//! `cargo build --release && cargo run --release -p testkit --example overhead`

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::body::Frame;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use testkit::{
    BackendBehaviour, CallRequest, CallerConnection, ProcessUsage, TestFleet, TestService,
};
use tokio::net::TcpStream;
use tokio::time::{Instant, interval, sleep};

const DAEMON: &str = "target/release/mustardraild";
const HOST: &str = "shop.test";

#[tokio::main]
async fn main() {
    let service =
        TestService::start("shop", "orders", 4, 64, &BackendBehaviour::Serve(Duration::ZERO)).await;
    let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
    fleet.platform.set_servers(service.entries.clone());
    let spec = json!({ "slots": 64, "connections": 4_000, "timeout_ms": 120_000 });
    fleet.put_unlimited_account("shop", &service, &spec).await;
    fleet.wait_serving(HOST).await;
    let daemon = &fleet.daemons[0];
    measure_added_latency(service.servers[0].address(), daemon.callers).await;
    measure_throughput(daemon.callers, daemon.id()).await;
    measure_connection_memory(daemon.callers, daemon.id()).await;
    measure_upload_memory(daemon.callers, daemon.id()).await;
}

/// Measures request latency with and without the daemon. Direct and proxied requests alternate, so
/// that changes in the load of the machine affect both alike.
async fn measure_added_latency(direct: SocketAddr, proxied: SocketAddr) {
    const ROUNDS: usize = 6_000;
    let mut connections = [connect(direct).await, connect(proxied).await];
    let mut times = [new_histogram(), new_histogram()];
    let requests = [direct, proxied].map(|address| CallRequest::get(address, HOST, "/records/1"));
    let mut ticks = interval(Duration::from_millis(1));
    for round in 0..ROUNDS {
        ticks.tick().await;
        for side in [round % 2, (round + 1) % 2] {
            let started_at = Instant::now();
            expect_ok(&mut connections[side], &requests[side]).await;
            times[side].record(started_at.elapsed().as_micros() as u64).expect("within bounds");
        }
    }
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        let [direct, proxied] = [0, 1].map(|side| times[side].value_at_quantile(quantile));
        println!(
            "added p{:<5} direct {direct:>6} us  proxied {proxied:>6} us  added {:>6} us",
            quantile * 100.0,
            proxied.saturating_sub(direct)
        );
    }
}

async fn measure_throughput(proxied: SocketAddr, pid: u32) {
    const CALLERS: usize = 48;
    const MEASUREMENT_TIME: Duration = Duration::from_secs(4);
    let completed = Arc::new(AtomicU64::new(0));
    let before = ProcessUsage::read(pid);
    let end = Instant::now() + MEASUREMENT_TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let completed = Arc::clone(&completed);
            tokio::spawn(async move {
                let mut connection = connect(proxied).await;
                let request = CallRequest::get(proxied, HOST, "/records/1");
                while Instant::now() < end {
                    expect_ok(&mut connection, &request).await;
                    completed.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let cpu_seconds = ProcessUsage::read(pid).cpu_seconds - before.cpu_seconds;
    let count = completed.load(Ordering::Relaxed) as f64;
    println!(
        "throughput {:.0} requests/s with {CALLERS} callers, {:.0} requests per core second",
        count / MEASUREMENT_TIME.as_secs_f64(),
        count / cpu_seconds
    );
}

async fn measure_connection_memory(proxied: SocketAddr, pid: u32) {
    let request = CallRequest::get(proxied, HOST, "/records/1");
    let mut open_connections = Vec::new();
    let mut previous = ProcessUsage::read(pid).resident_bytes;
    for _ in 0..4 {
        for _ in 0..1_000 {
            let mut connection = connect(proxied).await;
            expect_ok(&mut connection, &request).await;
            open_connections.push(connection);
        }
        let resident = ProcessUsage::read(pid).resident_bytes;
        println!(
            "connections {:>5}: resident {:.1} MB, {:+.1} MB for the last 1000",
            open_connections.len(),
            resident as f64 / 1e6,
            (resident as f64 - previous as f64) / 1e6
        );
        previous = resident;
    }
}

async fn measure_upload_memory(proxied: SocketAddr, pid: u32) {
    const CHUNK_BYTES: usize = 64 << 10;
    const CHUNK_COUNT: usize = (1 << 30) / CHUNK_BYTES;
    let before = ProcessUsage::read(pid).resident_bytes;
    let chunk = Bytes::from(vec![7; CHUNK_BYTES]);
    let stream = futures_util::stream::iter(
        (0..CHUNK_COUNT).map(move |_| Ok::<_, std::io::Error>(Frame::data(chunk.clone()))),
    );
    let socket = TcpStream::connect(proxied).await.expect("the daemon listens");
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(socket)).await.expect("the handshake succeeds");
    tokio::spawn(connection);
    let request = Request::post("/proofs")
        .header("host", HOST)
        .body(StreamBody::new(stream))
        .expect("the request is valid");
    let upload = tokio::spawn(async move { sender.send_request(request).await });
    let mut peak = before;
    while !upload.is_finished() {
        peak = peak.max(ProcessUsage::read(pid).resident_bytes);
        sleep(Duration::from_millis(20)).await;
    }
    let response = upload.await.expect("the upload ends").expect("the upload gets a response");
    println!(
        "upload of 1 GiB: status {}, resident before {:.1} MB, peak {:.1} MB",
        response.status(),
        before as f64 / 1e6,
        peak as f64 / 1e6
    );
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid")
}

async fn connect(address: SocketAddr) -> CallerConnection {
    CallerConnection::connect(address).await.expect("the address accepts connections")
}

async fn expect_ok(connection: &mut CallerConnection, request: &CallRequest) {
    let response = connection.send(request).await.expect("the request gets a response");
    assert_eq!(response.status, 200);
}
