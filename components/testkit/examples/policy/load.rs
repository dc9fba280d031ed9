//! Open-loop callers: requests arrive at random times whether or not earlier ones have ended, and
//! each one's time counts from its arrival.

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

use crate::backend::Backend;
use crate::entry::{Entry, HOST, listed};
use crate::scenarios::{Incident, Scenario};

/// Longest time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(2);

/// How long and how to send.
pub(crate) struct LoadPlan {
    pub(crate) warm_up: Duration,
    pub(crate) measured: Duration,
    pub(crate) seed: u64,
}

/// What callers saw.
pub(crate) struct LoadOutcome {
    /// Times of all requests in microseconds; a failed one counts with the time until it failed.
    pub(crate) times: Histogram<u64>,
    pub(crate) answered: u64,
    pub(crate) failed: u64,
    /// Probes that the daemons sent.
    pub(crate) probes: u64,
    pub(crate) retries: u64,
}

/// Runs a scenario's load.
pub(crate) async fn run(
    scenario: &Scenario,
    plan: &LoadPlan,
    backends: &[Backend],
    entries: &[Entry],
) -> LoadOutcome {
    let callers: Vec<Arc<CallerPool>> =
        entries.iter().map(|entry| Arc::new(CallerPool::new(entry.address))).collect();
    let mut random = StdRng::seed_from_u64(plan.seed);
    let times = Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid");
    let seen = Arc::new(Mutex::new((times, 0_u64, 0_u64)));
    let start = Instant::now();
    let incident_at = start + plan.warm_up + plan.measured / 3;
    let end = start + plan.warm_up + plan.measured;
    let mut due = start;
    let mut calls = tokio::task::JoinSet::new();
    let incident = cause(scenario, backends, entries, incident_at, end);
    let arrivals = async {
        while due < end {
            sleep_until(due).await;
            // The timer may be late by a millisecond; all that is due by now is sent now, and
            // counts from when it was due.
            while due <= Instant::now() && due < end {
                let caller = Arc::clone(&callers[random.random_range(0..callers.len())]);
                let is_measured = due >= start + plan.warm_up;
                let (seen, arrived_at) = (Arc::clone(&seen), due);
                calls.spawn(async move {
                    let is_answered = caller.call().await;
                    if is_measured {
                        let mut seen = seen.lock().expect("times lock is never poisoned");
                        let micros = arrived_at.elapsed().as_micros() as u64;
                        seen.0.saturating_record(micros.max(1));
                        if is_answered { seen.1 += 1 } else { seen.2 += 1 }
                    }
                });
                let rate = current_rate(scenario, due, incident_at);
                let gap = -(1.0 - random.random::<f64>()).ln() / rate;
                due += Duration::from_secs_f64(gap);
            }
            while calls.try_join_next().is_some() {}
        }
    };
    tokio::join!(arrivals, incident);
    while calls.join_next().await.is_some() {}
    let seen = Arc::try_unwrap(seen).expect("all calls have ended");
    let (times, answered, failed) = seen.into_inner().expect("times lock is never poisoned");
    LoadOutcome {
        times,
        answered,
        failed,
        probes: backends.iter().map(|b| b.state.probes.load(Ordering::Relaxed)).sum(),
        retries: entries.iter().map(|entry| entry.metrics.retries.get()).sum(),
    }
}

fn current_rate(scenario: &Scenario, at: Instant, incident_at: Instant) -> f64 {
    let is_burst = scenario.incident == Incident::Burst
        && at >= incident_at
        && at < incident_at + Duration::from_millis(100);
    if is_burst { scenario.rate() * 10.0 } else { scenario.rate() }
}

async fn cause(
    scenario: &Scenario,
    backends: &[Backend],
    entries: &[Entry],
    at: Instant,
    end: Instant,
) {
    sleep_until(at).await;
    match scenario.incident {
        Incident::None | Incident::Burst => {}
        Incident::Straggler => {
            for backend in &backends[..2] {
                backend.state.slowness.store(10_000, Ordering::Relaxed);
            }
        }
        Incident::FailFast => {
            for backend in &backends[..2] {
                backend.state.fails_fast.store(true, Ordering::Relaxed);
            }
        }
        Incident::ColdStart => {
            for backend in &backends[..4] {
                backend.state.slowness.store(3_000, Ordering::Relaxed);
            }
            sleep(Duration::from_secs(1)).await;
            for backend in &backends[..4] {
                backend.state.slowness.store(1_000, Ordering::Relaxed);
            }
        }
        Incident::RollingDrain => drain_in_turn(backends, entries, end).await,
        Incident::ZoneLoss => {
            for backend in &backends[..backends.len() / 3] {
                backend.state.is_hanging.store(true, Ordering::Relaxed);
            }
        }
        Incident::SilentConnections => {
            for backend in &backends[..backends.len() / 2] {
                backend.state.generation.fetch_add(1, Ordering::Relaxed);
            }
        }
        Incident::Shedding => {
            for backend in backends {
                backend.state.shed_percent.store(30, Ordering::Relaxed);
            }
        }
    }
}

async fn drain_in_turn(backends: &[Backend], entries: &[Entry], end: Instant) {
    for leaving in 0..backends.len() {
        if Instant::now() >= end {
            return;
        }
        let mut list = listed(backends);
        list[leaving].state = ServerState::Leaving;
        for entry in entries {
            entry.board.set_servers(list.clone());
            entry.services.sync(Instant::now());
        }
        sleep(Duration::from_millis(150)).await;
    }
}

/// Connections of callers to one entry VM.
struct CallerPool {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Empty<Bytes>>>>,
}

impl CallerPool {
    fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default() }
    }

    async fn call(&self) -> bool {
        matches!(timeout(PATIENCE, self.exchange()).await, Ok(Some(200)))
    }

    async fn exchange(&self) -> Option<u16> {
        let mut sender = self.connection().await?;
        let request = Request::get("/").header("host", HOST).body(Empty::new()).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        answer.into_body().collect().await.ok()?;
        self.idle.lock().expect("idle lock is never poisoned").push(sender);
        Some(status)
    }

    async fn connection(&self) -> Option<SendRequest<Empty<Bytes>>> {
        let kept = self.idle.lock().expect("idle lock is never poisoned").pop();
        if let Some(mut sender) = kept
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
