//! Measures what the daemon adds to a call, what it carries, and what connections cost.
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
    added_time(service.servers[0].address(), daemon.callers).await;
    capacity(daemon.callers, daemon.id()).await;
    connection_memory(daemon.callers, daemon.id()).await;
    upload(daemon.callers, daemon.id()).await;
}

/// Calls go directly and through the daemon in turn, so that the machine's drift meets both.
async fn added_time(direct: SocketAddr, through: SocketAddr) {
    const PAIRS: usize = 6_000;
    let mut senders = [connect(direct).await, connect(through).await];
    let mut times = [histogram(), histogram()];
    let requests = [direct, through].map(|address| CallRequest::get(address, HOST, "/records/1"));
    let mut pace = interval(Duration::from_millis(1));
    for round in 0..PAIRS {
        pace.tick().await;
        for side in [round % 2, (round + 1) % 2] {
            let begun_at = Instant::now();
            get(&mut senders[side], &requests[side]).await;
            times[side].record(begun_at.elapsed().as_micros() as u64).expect("within bounds");
        }
    }
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        let [direct, through] = [0, 1].map(|side| times[side].value_at_quantile(quantile));
        println!(
            "added p{:<5} direct {direct:>6} us  through {through:>6} us  added {:>6} us",
            quantile * 100.0,
            through.saturating_sub(direct)
        );
    }
}

async fn capacity(through: SocketAddr, pid: u32) {
    const CALLERS: usize = 48;
    const TIME: Duration = Duration::from_secs(4);
    let done = Arc::new(AtomicU64::new(0));
    let before = ProcessUsage::read(pid);
    let until = Instant::now() + TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let done = Arc::clone(&done);
            tokio::spawn(async move {
                let mut sender = connect(through).await;
                let request = CallRequest::get(through, HOST, "/records/1");
                while Instant::now() < until {
                    get(&mut sender, &request).await;
                    done.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let used = ProcessUsage::read(pid).cpu_seconds - before.cpu_seconds;
    let count = done.load(Ordering::Relaxed) as f64;
    println!(
        "capacity {:.0} requests/s with {CALLERS} callers, {:.0} requests for each core second",
        count / TIME.as_secs_f64(),
        count / used
    );
}

async fn connection_memory(through: SocketAddr, pid: u32) {
    let request = CallRequest::get(through, HOST, "/records/1");
    let mut kept = Vec::new();
    let mut last = ProcessUsage::read(pid).resident_bytes;
    for _ in 0..4 {
        for _ in 0..1_000 {
            let mut sender = connect(through).await;
            get(&mut sender, &request).await;
            kept.push(sender);
        }
        let now = ProcessUsage::read(pid).resident_bytes;
        println!(
            "connections {:>5}: resident {:.1} MB, {:+.1} MB for 1000",
            kept.len(),
            now as f64 / 1e6,
            (now as f64 - last as f64) / 1e6
        );
        last = now;
    }
}

async fn upload(through: SocketAddr, pid: u32) {
    const CHUNK: usize = 64 << 10;
    const CHUNKS: usize = (1 << 30) / CHUNK;
    let before = ProcessUsage::read(pid).resident_bytes;
    let chunk = Bytes::from(vec![7; CHUNK]);
    let stream = futures_util::stream::iter(
        (0..CHUNKS).map(move |_| Ok::<_, std::io::Error>(Frame::data(chunk.clone()))),
    );
    let stream_socket = TcpStream::connect(through).await.expect("the daemon listens");
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream_socket)).await.expect("the handshake works");
    tokio::spawn(connection);
    let request = Request::post("/proofs")
        .header("host", HOST)
        .body(StreamBody::new(stream))
        .expect("the request is valid");
    let sending = tokio::spawn(async move { sender.send_request(request).await });
    let mut most = before;
    while !sending.is_finished() {
        most = most.max(ProcessUsage::read(pid).resident_bytes);
        sleep(Duration::from_millis(20)).await;
    }
    let answer = sending.await.expect("the upload ends").expect("the upload is answered");
    println!(
        "upload of 1 GiB: status {}, resident before {:.1} MB, most {:.1} MB",
        answer.status(),
        before as f64 / 1e6,
        most as f64 / 1e6
    );
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid")
}

async fn connect(address: SocketAddr) -> CallerConnection {
    CallerConnection::connect(address).await.expect("the address listens")
}

async fn get(caller: &mut CallerConnection, request: &CallRequest) {
    let answer = caller.send(request).await.expect("the request is answered");
    assert_eq!(answer.status, 200);
}
