//! Backend servers with slots, a first-in-first-out queue, and load reports of chosen age.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::scenarios::{MEAN_SERVICE_MS, ReportMode, Scenario};

/// A backend server; it ends when dropped.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<BackendState>,
    tasks: Vec<JoinHandle<()>>,
}

/// What a scenario changes while it runs.
pub(crate) struct BackendState {
    slots: Semaphore,
    in_flight: AtomicUsize,
    history: Mutex<VecDeque<(Instant, usize)>>,
    reports: ReportMode,
    random: Mutex<StdRng>,
    /// Slowness in thousandths of the usual.
    pub(crate) slowness: AtomicU64,
    pub(crate) fails_fast: AtomicBool,
    pub(crate) is_hanging: AtomicBool,
    /// Requests in a hundred that are shed.
    pub(crate) shed_percent: AtomicU64,
    /// Connections opened before this generation are silent.
    pub(crate) generation: AtomicU64,
    pub(crate) probes: AtomicU64,
    pub(crate) begun: AtomicU64,
    /// Smoothed time of requests, queue included, in microseconds.
    latency_us: AtomicU64,
}

impl Drop for Backend {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts the servers of a scenario.
pub(crate) async fn start(scenario: &Scenario, random: &mut StdRng) -> Vec<Backend> {
    let mut backends = Vec::new();
    for _ in 0..scenario.servers {
        let state = Arc::new(BackendState {
            slots: Semaphore::new(scenario.slots),
            in_flight: AtomicUsize::new(0),
            history: Mutex::default(),
            reports: scenario.reports,
            random: Mutex::new(StdRng::seed_from_u64(random.random())),
            slowness: AtomicU64::new(1_000),
            fails_fast: AtomicBool::new(false),
            is_hanging: AtomicBool::new(false),
            shed_percent: AtomicU64::new(0),
            generation: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            begun: AtomicU64::new(0),
            latency_us: AtomicU64::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let mut tasks = vec![tokio::spawn(accept(listener, Arc::clone(&state)))];
        if scenario.swings {
            let seed = random.random();
            tasks.push(tokio::spawn(swing(Arc::clone(&state), seed)));
        }
        backends.push(Backend { address, state, tasks });
    }
    backends
}

/// Other work on the machine: three times slower for 5 to 40 ms, every 20 to 200 ms.
async fn swing(state: Arc<BackendState>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        sleep(Duration::from_millis(random.random_range(20..200))).await;
        state.slowness.store(3_000, Ordering::Relaxed);
        sleep(Duration::from_millis(random.random_range(5..40))).await;
        state.slowness.store(1_000, Ordering::Relaxed);
    }
}

async fn accept(listener: TcpListener, state: Arc<BackendState>) {
    let mut running = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while running.try_join_next().is_some() {}
        // A connection without this option only has more delay.
        let _ = stream.set_nodelay(true);
        // A new connection takes about 1 ms.
        let state = Arc::clone(&state);
        let born = state.generation.load(Ordering::Relaxed);
        running.spawn(async move {
            sleep(Duration::from_millis(1)).await;
            let service = service_fn(move |request| {
                let state = Arc::clone(&state);
                async move { Ok::<_, Infallible>(state.answer(&request, born).await) }
            });
            // Cancelled exchanges are part of the measurement.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl BackendState {
    async fn answer(&self, request: &Request<Incoming>, born: u64) -> Response<Full<Bytes>> {
        let is_silent = born != self.generation.load(Ordering::Relaxed);
        if is_silent || self.is_hanging.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if request.uri().path() == "/load" {
            self.probes.fetch_add(1, Ordering::Relaxed);
            sleep(Duration::from_millis(4)).await;
            return self.respond(StatusCode::OK);
        }
        if self.fails_fast.load(Ordering::Relaxed) {
            return self.respond(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let (shed, milliseconds) = self.draw();
        if shed {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE);
        }
        let begun_at = Instant::now();
        let _counted = InFlight::new(self);
        let Ok(_slot) = self.slots.acquire().await else {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.begun.fetch_add(1, Ordering::Relaxed);
        let slowness = self.slowness.load(Ordering::Relaxed) as f64 / 1_000.0;
        sleep(Duration::from_secs_f64(milliseconds * slowness / 1_000.0)).await;
        let known = self.latency_us.load(Ordering::Relaxed);
        let sample = begun_at.elapsed().as_micros() as u64;
        self.latency_us.store((known * 7 + sample) / 8, Ordering::Relaxed);
        self.respond(StatusCode::OK)
    }

    /// Whether a request is shed, and its service time in milliseconds: a fixed half and an
    /// exponential half, at least the 1 ms that the timer resolves.
    fn draw(&self) -> (bool, f64) {
        let mut random = self.random.lock().expect("random lock is never poisoned");
        let shed = random.random_range(0..100) < self.shed_percent.load(Ordering::Relaxed);
        let exponential = -(1.0 - random.random::<f64>()).ln();
        let milliseconds = MEAN_SERVICE_MS * 0.5 * (1.0 + exponential);
        // The timer rounds up to whole milliseconds, half of one on average.
        (shed, milliseconds - 0.5)
    }

    fn note(&self, in_flight: usize) {
        /// Longest history that a stale report needs.
        const KEPT: Duration = Duration::from_millis(1_200);
        let now = Instant::now();
        let mut history = self.history.lock().expect("history lock is never poisoned");
        history.push_back((now, in_flight));
        while history.len() > 1 && history[1].0 + KEPT < now {
            history.pop_front();
        }
    }

    fn reported(&self) -> usize {
        let others = self.in_flight.load(Ordering::Relaxed).saturating_sub(1);
        match self.reports {
            ReportMode::Stale(0) => others,
            ReportMode::Stale(milliseconds) => {
                let at = Instant::now() - Duration::from_millis(milliseconds);
                let history = self.history.lock().expect("history lock is never poisoned");
                history.iter().rev().find(|(noted, _)| *noted <= at).map_or(0, |(_, load)| *load)
            }
            ReportMode::Frozen => 1,
            ReportMode::Lying => 0,
        }
    }

    fn respond(&self, status: StatusCode) -> Response<Full<Bytes>> {
        let latency_ms = self.latency_us.load(Ordering::Relaxed) as f64 / 1_000.0;
        let report = format!(
            "TEXT named_metrics.in_flight={},named_metrics.latency_ms={latency_ms:.3}",
            self.reported()
        );
        Response::builder()
            .status(status)
            .header("endpoint-load-metrics", report)
            .body(Full::new(Bytes::from_static(b"ok")))
            .expect("the answer is valid")
    }
}

struct InFlight<'a> {
    state: &'a BackendState,
}

impl<'a> InFlight<'a> {
    fn new(state: &'a BackendState) -> Self {
        let now = state.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        state.note(now);
        Self { state }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.state.in_flight.fetch_sub(1, Ordering::Relaxed) - 1;
        self.state.note(now);
    }
}
