//! Open-loop callers: requests arrive at random times whether or not earlier ones have finished,
//! and the latency of each request counts from its scheduled arrival.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::ServerState;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::backend::BackendServer;
use crate::entry::{EntryVm, HOST, server_list};
use crate::scenarios::{Incident, Scenario};

/// Maximum time that a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Duration of the load and the seed of its random arrivals.
pub(crate) struct LoadPlan {
    pub(crate) warm_up_time: Duration,
    pub(crate) measured_time: Duration,
    pub(crate) seed: u64,
}

/// Results of the requests that arrived after the warm-up.
pub(crate) struct LoadOutcome {
    /// Latencies of all requests in microseconds. A failed request counts with the time until it
    /// failed.
    pub(crate) latencies: Histogram<u64>,
    pub(crate) succeeded: u64,
    pub(crate) failed: u64,
    /// Probes that the backend servers received, including those during the warm-up.
    pub(crate) probes: u64,
    /// Retries and hedged attempts, including those during the warm-up.
    pub(crate) retries: u64,
}

/// Sends the load of a scenario and applies its incident a third into the measured time.
pub(crate) async fn run(
    scenario: &Scenario,
    plan: &LoadPlan,
    servers: &[BackendServer],
    entry_vms: &[EntryVm],
) -> LoadOutcome {
    let callers: Vec<Arc<CallerPool>> =
        entry_vms.iter().map(|entry_vm| Arc::new(CallerPool::new(entry_vm.address))).collect();
    let mut random = StdRng::seed_from_u64(plan.seed);
    let latencies = Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid");
    let results = Arc::new(Mutex::new((latencies, 0_u64, 0_u64)));
    let start = Instant::now();
    let incident_at = start + plan.warm_up_time + plan.measured_time / 3;
    let end = start + plan.warm_up_time + plan.measured_time;
    let mut next_arrival = start;
    let mut calls = tokio::task::JoinSet::new();
    let incident = apply_incident(scenario, servers, entry_vms, incident_at, end);
    let arrivals = async {
        while next_arrival < end {
            sleep_until(next_arrival).await;
            // The timer may be late by a millisecond, so all requests that are due are sent at
            // once. Their latency still counts from their scheduled arrival.
            while next_arrival <= Instant::now() && next_arrival < end {
                let caller = Arc::clone(&callers[random.random_range(0..callers.len())]);
                let is_measured = next_arrival >= start + plan.warm_up_time;
                let (results, arrived_at) = (Arc::clone(&results), next_arrival);
                calls.spawn(async move {
                    let is_success = caller.request_succeeds().await;
                    if is_measured {
                        let mut results = results.lock().expect("results lock is never poisoned");
                        let micros = arrived_at.elapsed().as_micros() as u64;
                        results.0.saturating_record(micros.max(1));
                        if is_success { results.1 += 1 } else { results.2 += 1 }
                    }
                });
                let rate = request_rate_at(scenario, next_arrival, incident_at);
                let gap = -(1.0 - random.random::<f64>()).ln() / rate;
                next_arrival += Duration::from_secs_f64(gap);
            }
            while calls.try_join_next().is_some() {}
        }
    };
    tokio::join!(arrivals, incident);
    while calls.join_next().await.is_some() {}
    let results = Arc::try_unwrap(results).expect("all calls have ended");
    let (latencies, succeeded, failed) =
        results.into_inner().expect("results lock is never poisoned");
    LoadOutcome {
        latencies,
        succeeded,
        failed,
        probes: servers.iter().map(|server| server.state.probes.load(Ordering::Relaxed)).sum(),
        retries: entry_vms.iter().map(|entry_vm| entry_vm.metrics.retries.get()).sum(),
    }
}

fn request_rate_at(scenario: &Scenario, now: Instant, incident_at: Instant) -> f64 {
    let is_burst = scenario.incident == Incident::Burst
        && now >= incident_at
        && now < incident_at + Duration::from_millis(100);
    if is_burst { scenario.requests_per_s() * 10.0 } else { scenario.requests_per_s() }
}

async fn apply_incident(
    scenario: &Scenario,
    servers: &[BackendServer],
    entry_vms: &[EntryVm],
    incident_at: Instant,
    end: Instant,
) {
    sleep_until(incident_at).await;
    match scenario.incident {
        Incident::None | Incident::Burst => {}
        Incident::Straggler => {
            for server in &servers[..2] {
                server.state.slowdown_permille.store(10_000, Ordering::Relaxed);
            }
        }
        Incident::FailFast => {
            for server in &servers[..2] {
                server.state.is_failing_fast.store(true, Ordering::Relaxed);
            }
        }
        Incident::ColdStart => {
            for server in &servers[..4] {
                server.state.slowdown_permille.store(3_000, Ordering::Relaxed);
            }
            sleep(Duration::from_secs(1)).await;
            for server in &servers[..4] {
                server.state.slowdown_permille.store(1_000, Ordering::Relaxed);
            }
        }
        Incident::RollingDrain => drain_servers_in_turn(servers, entry_vms, end).await,
        Incident::ZoneLoss => {
            for server in &servers[..servers.len() / 3] {
                server.state.is_unresponsive.store(true, Ordering::Relaxed);
            }
        }
        Incident::SilentConnections => {
            for server in &servers[..servers.len() / 2] {
                server.state.connection_generation.fetch_add(1, Ordering::Relaxed);
            }
        }
        Incident::Shedding => {
            for server in servers {
                server.state.shed_percent.store(30, Ordering::Relaxed);
            }
        }
    }
}

async fn drain_servers_in_turn(servers: &[BackendServer], entry_vms: &[EntryVm], end: Instant) {
    for leaving_index in 0..servers.len() {
        if Instant::now() >= end {
            return;
        }
        let mut list = server_list(servers);
        list[leaving_index].state = ServerState::Leaving;
        for entry_vm in entry_vms {
            entry_vm.board.set_servers(list.clone());
            entry_vm.services.sync(Instant::now());
        }
        sleep(Duration::from_millis(150)).await;
    }
}

/// Reusable connections of callers to one entry VM.
struct CallerPool {
    address: SocketAddr,
    idle_connections: Mutex<Vec<SendRequest<Empty<Bytes>>>>,
}

impl CallerPool {
    fn new(address: SocketAddr) -> Self {
        Self { address, idle_connections: Mutex::default() }
    }

    /// Sends a request. Returns whether it got status 200 in time.
    async fn request_succeeds(&self) -> bool {
        matches!(timeout(CALL_TIMEOUT, self.send_request()).await, Ok(Some(200)))
    }

    async fn send_request(&self) -> Option<u16> {
        let mut sender = self.idle_or_new_connection().await?;
        let request = Request::get("/").header("host", HOST).body(Empty::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        self.idle_connections.lock().expect("idle lock is never poisoned").push(sender);
        Some(status)
    }

    async fn idle_or_new_connection(&self) -> Option<SendRequest<Empty<Bytes>>> {
        let idle_connection =
            self.idle_connections.lock().expect("idle lock is never poisoned").pop();
        if let Some(mut sender) = idle_connection
            && sender.ready().await.is_ok()
        {
            return Some(sender);
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }
}
