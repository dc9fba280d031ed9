//! Backend servers with a fixed number of slots, a first-in-first-out queue, and load reports that
//! can be delayed or wrong.

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

use crate::scenarios::{LoadReportMode, MEAN_SERVICE_MS, Scenario};

/// A backend server on a loopback port. Dropping it aborts its tasks.
pub(crate) struct BackendServer {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<BackendServerState>,
    tasks: Vec<JoinHandle<()>>,
}

/// State of a backend server. Incidents and slow phases change it while a scenario runs.
pub(crate) struct BackendServerState {
    slots: Semaphore,
    in_flight: AtomicUsize,
    in_flight_history: Mutex<VecDeque<(Instant, usize)>>,
    report_mode: LoadReportMode,
    random: Mutex<StdRng>,
    /// Factor on the service time, in thousandths.
    pub(crate) slowdown_permille: AtomicU64,
    pub(crate) is_failing_fast: AtomicBool,
    pub(crate) is_unresponsive: AtomicBool,
    /// Percentage of requests that are refused with status 503.
    pub(crate) shed_percent: AtomicU64,
    /// Connections accepted in an earlier generation get no responses.
    pub(crate) connection_generation: AtomicU64,
    pub(crate) probes: AtomicU64,
    pub(crate) started_requests: AtomicU64,
    /// Exponentially weighted mean of request latency, including time in the queue.
    smoothed_latency_us: AtomicU64,
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts the backend servers of a scenario.
pub(crate) async fn start(scenario: &Scenario, random: &mut StdRng) -> Vec<BackendServer> {
    let mut servers = Vec::new();
    for _ in 0..scenario.servers {
        let state = Arc::new(BackendServerState {
            slots: Semaphore::new(scenario.slots),
            in_flight: AtomicUsize::new(0),
            in_flight_history: Mutex::default(),
            report_mode: scenario.report_mode,
            random: Mutex::new(StdRng::seed_from_u64(random.random())),
            slowdown_permille: AtomicU64::new(1_000),
            is_failing_fast: AtomicBool::new(false),
            is_unresponsive: AtomicBool::new(false),
            shed_percent: AtomicU64::new(0),
            connection_generation: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            started_requests: AtomicU64::new(0),
            smoothed_latency_us: AtomicU64::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let mut tasks = vec![tokio::spawn(accept_connections(listener, Arc::clone(&state)))];
        if scenario.has_slow_phases {
            let seed = random.random();
            tasks.push(tokio::spawn(run_slow_phases(Arc::clone(&state), seed)));
        }
        servers.push(BackendServer { address, state, tasks });
    }
    servers
}

/// Simulates other work on the machine: after every 20 to 200 ms, requests take three times as long
/// for 5 to 40 ms.
async fn run_slow_phases(state: Arc<BackendServerState>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        sleep(Duration::from_millis(random.random_range(20..200))).await;
        state.slowdown_permille.store(3_000, Ordering::Relaxed);
        sleep(Duration::from_millis(random.random_range(5..40))).await;
        state.slowdown_permille.store(1_000, Ordering::Relaxed);
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<BackendServerState>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        // A connection without TCP_NODELAY works, but with a higher latency.
        let _ = stream.set_nodelay(true);
        let state = Arc::clone(&state);
        let generation_at_accept = state.connection_generation.load(Ordering::Relaxed);
        connections.spawn(async move {
            // Simulates a connection setup of about 1 ms.
            sleep(Duration::from_millis(1)).await;
            let service = service_fn(move |request| {
                let state = Arc::clone(&state);
                async move {
                    Ok::<_, Infallible>(state.handle_request(&request, generation_at_accept).await)
                }
            });
            // Cancelled requests are part of the measurement, so errors are ignored.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl BackendServerState {
    async fn handle_request(
        &self,
        request: &Request<Incoming>,
        generation_at_accept: u64,
    ) -> Response<Full<Bytes>> {
        let is_silent = generation_at_accept != self.connection_generation.load(Ordering::Relaxed);
        if is_silent || self.is_unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if request.uri().path() == "/load" {
            self.probes.fetch_add(1, Ordering::Relaxed);
            sleep(Duration::from_millis(4)).await;
            return self.respond(StatusCode::OK);
        }
        if self.is_failing_fast.load(Ordering::Relaxed) {
            return self.respond(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let (is_shed, service_ms) = self.sample_request();
        if is_shed {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE);
        }
        let started_at = Instant::now();
        let _in_flight = InFlightGuard::new(self);
        let Ok(_slot) = self.slots.acquire().await else {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.started_requests.fetch_add(1, Ordering::Relaxed);
        let slowdown = self.slowdown_permille.load(Ordering::Relaxed) as f64 / 1_000.0;
        sleep(Duration::from_secs_f64(service_ms * slowdown / 1_000.0)).await;
        let previous_us = self.smoothed_latency_us.load(Ordering::Relaxed);
        let sample_us = started_at.elapsed().as_micros() as u64;
        self.smoothed_latency_us.store((previous_us * 7 + sample_us) / 8, Ordering::Relaxed);
        self.respond(StatusCode::OK)
    }

    /// Returns whether the next request is shed, and its service time in milliseconds. Half of the
    /// mean is fixed, which keeps the time above the timer resolution of 1 ms; the other half is
    /// exponentially distributed.
    fn sample_request(&self) -> (bool, f64) {
        let mut random = self.random.lock().expect("random lock is never poisoned");
        let is_shed = random.random_range(0..100) < self.shed_percent.load(Ordering::Relaxed);
        let exponential = -(1.0 - random.random::<f64>()).ln();
        let service_ms = MEAN_SERVICE_MS * 0.5 * (1.0 + exponential);
        // The timer rounds up to whole milliseconds, which adds half a millisecond on average.
        (is_shed, service_ms - 0.5)
    }

    fn record_in_flight(&self, in_flight: usize) {
        /// Longer than the age of the oldest load report, 1 s.
        const HISTORY_TIME: Duration = Duration::from_millis(1_200);
        let now = Instant::now();
        let mut history = self.in_flight_history.lock().expect("history lock is never poisoned");
        history.push_back((now, in_flight));
        while history.len() > 1 && history[1].0 + HISTORY_TIME < now {
            history.pop_front();
        }
    }

    fn reported_in_flight(&self) -> usize {
        let other_requests = self.in_flight.load(Ordering::Relaxed).saturating_sub(1);
        match self.report_mode {
            LoadReportMode::Stale(0) => other_requests,
            LoadReportMode::Stale(age_ms) => {
                let reported_at = Instant::now() - Duration::from_millis(age_ms);
                let history =
                    self.in_flight_history.lock().expect("history lock is never poisoned");
                history
                    .iter()
                    .rev()
                    .find(|(recorded_at, _)| *recorded_at <= reported_at)
                    .map_or(0, |(_, in_flight)| *in_flight)
            }
            LoadReportMode::AlwaysOne => 1,
            LoadReportMode::AlwaysZero => 0,
        }
    }

    fn respond(&self, status: StatusCode) -> Response<Full<Bytes>> {
        let latency_ms = self.smoothed_latency_us.load(Ordering::Relaxed) as f64 / 1_000.0;
        let report = format!(
            "TEXT named_metrics.in_flight={},named_metrics.latency_ms={latency_ms:.3}",
            self.reported_in_flight()
        );
        Response::builder()
            .status(status)
            .header("endpoint-load-metrics", report)
            .body(Full::new(Bytes::from_static(b"ok")))
            .expect("the response is valid")
    }
}

struct InFlightGuard<'a> {
    state: &'a BackendServerState,
}

impl<'a> InFlightGuard<'a> {
    fn new(state: &'a BackendServerState) -> Self {
        let in_flight = state.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        state.record_in_flight(in_flight);
        Self { state }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let in_flight = self.state.in_flight.fetch_sub(1, Ordering::Relaxed) - 1;
        self.state.record_in_flight(in_flight);
    }
}
