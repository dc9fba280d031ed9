//! On a hosting platform: pipelined requests behind a long response that breaks off, which ends their
//! connection. They must not have reached a server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use testkit::{
    CallRequest, HostedFleet, RawCaller, RawConnection, RawServer, load_header, request_id,
    request_text,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Drawn histories, unless the variable gives another number of them.
const SEEDS: u64 = 3;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_PIPELINE_SEEDS";

const CONNECTIONS: usize = 60;

/// Requests of a connection.
const REQUESTS: RangeInclusive<usize> = 2..=6;

/// Requests that may be lost (LOST).
const MAX_LOST: usize = 3;

const MIB: usize = 1 << 20;

/// Sizes of responses: short ones, and on both sides of what is buffered.
const RESPONSE_BYTES: [usize; 6] = [2, 2, 60_000, MIB, MIB + 1, MIB + 500_000];

/// Share of the responses that break off.
const BREAK_SHARE: f64 = 0.1;

const MAX_RUN_TIME_MS: u64 = 50;

/// Whether all responses to each request were sent whole, by request ID.
type Runs = Arc<Mutex<HashMap<String, bool>>>;

async fn serve(mut connection: RawConnection, rng: Arc<Mutex<StdRng>>, runs: Runs) -> Option<()> {
    let load = load_header("0,0,64,100");
    loop {
        let request = connection.next_head().await?;
        if request.is_probe() {
            connection.respond("200 OK", &load, "").await?;
            continue;
        }
        let (bytes, breaks, run_time) = {
            let mut rng = rng.lock().expect("rng lock is never poisoned");
            let bytes = *RESPONSE_BYTES.choose(&mut rng).expect("not empty");
            let run_time = Duration::from_millis(rng.random_range(0..MAX_RUN_TIME_MS));
            // Shorter ones are replaced by the response of another attempt.
            (bytes, bytes > MIB && rng.random_bool(BREAK_SHARE), run_time)
        };
        let id = request.id().to_owned();
        *runs.lock().expect("map lock is never poisoned").entry(id).or_insert(true) &= !breaks;
        sleep(run_time).await;
        let headers = request.response_headers() + &load;
        let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {bytes}\r\n\r\n");
        connection.send(&head).await?;
        connection.send(&"x".repeat(if breaks { bytes - 1 } else { bytes })).await?;
        if breaks {
            return None;
        }
    }
}

/// Sends requests at once and returns those whose responses are complete.
async fn answered(callers: SocketAddr, requests: Vec<CallRequest>) -> Vec<String> {
    let mut caller = RawCaller::connect(callers).await;
    let text: String = requests.iter().map(request_text).collect();
    let mut answered = Vec::new();
    if caller.try_send(&text).await {
        while answered.len() < requests.len()
            && let Some(response) = caller.next_response().await
        {
            answered.push(response.id);
        }
    }
    answered
}

async fn count_lost(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let runs = Runs::default();
    let mut servers = Vec::new();
    for number in 0..3 {
        let server_rng = Arc::new(Mutex::new(StdRng::seed_from_u64(rng.random())));
        let runs = Arc::clone(&runs);
        let script =
            move |connection| serve(connection, Arc::clone(&server_rng), Arc::clone(&runs));
        servers.push(RawServer::start(&format!("s-{number}"), script).await);
    }
    let fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), &servers).await;
    // Until the VM knows the size of the fleet, it opens one connection to each server.
    sleep(Duration::from_secs(2)).await;
    let mut callers = JoinSet::new();
    let mut sent = Vec::new();
    for _ in 0..CONNECTIONS {
        let count = rng.random_range(REQUESTS);
        let requests: Vec<_> = (0..count).map(|_| fleet.request(Method::GET, "/read/1")).collect();
        sent.extend(requests.iter().map(request_id));
        callers.spawn(answered(fleet.daemon.callers, requests));
        sleep(Duration::from_millis(rng.random_range(0..2 * MAX_RUN_TIME_MS))).await;
    }
    let answered = callers.join_all().await.concat();
    let runs = runs.lock().expect("map lock is never poisoned");
    let broken = runs.values().filter(|is_whole| !**is_whole).count();
    assert!(broken > 0, "seed {seed}: no response broke off");
    let is_lost = |id: &str| {
        runs.get(id).is_some_and(|is_whole| *is_whole)
            && !answered.iter().any(|answered| answered == id)
    };
    let lost: Vec<_> = sent.iter().filter(|id| is_lost(id)).collect();
    println!("seed {seed}: {broken} of {} broken, lost: {lost:?}", sent.len());
    lost.len()
}

/// Guards against LOST: requests that started behind a long response are never answered.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_a_long_response_that_breaks_off_reach_no_server() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        let lost = count_lost(seed).await;
        assert!(lost <= MAX_LOST, "seed {seed}: {lost} requests are lost");
    }
}
