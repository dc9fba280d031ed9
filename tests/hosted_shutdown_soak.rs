//! On a hosting platform: restarts of entry VMs in series, beside reloads, new configurations and other
//! relays, while callers use their connections until the process is gone.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::join_all;
use hyper::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use testkit::{
    CallRequest, FakePlatform, HostedDaemon, RawCaller, RawConnection, RawServer, change_setting,
    free_address, hosted_config, hosted_request, load_header, request_id, request_text,
    standard_routes,
};
use tokio::time::{Instant, sleep, timeout};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Seeds and VMs that are played, unless the environment sets others.
const SEEDS: u64 = 2;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_SHUTDOWN_SEEDS";
const FIRST_SEED_VARIABLE: &str = "MUSTARDRAIL_SHUTDOWN_FIRST_SEED";
const VMS: u64 = 3;
const VMS_VARIABLE: &str = "MUSTARDRAIL_SHUTDOWN_VMS";

const SERVERS: u64 = 6;

/// Restarts of each VM. A shutdown takes about 3 s.
const RESTARTS: u32 = 2;

const GRACE: Duration = Duration::from_secs(6);

/// Requests that a pipelining caller sends before the first one is answered.
const PIPELINED: usize = 8;

const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

const DEADLINE_MS: u64 = 4_000;

/// What servers ran, and what callers were told.
#[derive(Default)]
struct SoakRecord {
    runs: Mutex<HashMap<String, usize>>,
    violations: Mutex<Vec<String>>,
    served: Mutex<usize>,
}

impl SoakRecord {
    fn runs_of(&self, id: &str) -> usize {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    fn report(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    /// Checks the response to a request; `None` if its connection ended before it.
    fn check(&self, request: &SentRequest, status: Option<u16>, response_id: &str) {
        let id = &*request.id;
        let runs = self.runs_of(id);
        if request.is_order && runs > 1 {
            self.report(format!("TWICE: {id} ran {runs} times"));
        }
        match status {
            Some(200) if response_id != id => self.report(format!("MIXED: {response_id} for {id}")),
            Some(200) => *lock(&self.served) += 1,
            Some(status @ (408 | 421 | 429 | 503)) if request.is_order && runs > 0 => {
                self.report(format!("REFUSED: {id} ran and was answered {status}"));
            }
            None if runs > 0 => {
                let elapsed = request.sent_at.elapsed();
                self.report(format!("LOST: {id} ran, and its connection ended after {elapsed:?}"));
            }
            _ => {}
        }
    }
}

struct SentRequest {
    id: Box<str>,
    is_order: bool,
    sent_at: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("locks are never poisoned")
}

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn start_server(number: u64, seed: u64, record: Arc<SoakRecord>) -> RawServer {
    let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed * 1_000 + number)));
    let script = move |mut connection: RawConnection| {
        let (rng, record) = (Arc::clone(&rng), Arc::clone(&record));
        async move {
            loop {
                let request = connection.next_request().await?;
                if request.is_probe() {
                    connection.respond("200 OK", &load_header("0,0,16,100"), "").await?;
                    continue;
                }
                *lock(&record.runs).entry(request.id().to_owned()).or_default() += 1;
                let (run_time, bytes) = {
                    let mut rng = lock(&rng);
                    let bytes = [20, 5_000, 30_000][rng.random_range(0..3)];
                    (Duration::from_millis(rng.random_range(1..150)), bytes)
                };
                sleep(run_time).await;
                let headers = request.response_headers() + &load_header("0,0,16,100");
                connection.respond("200 OK", &headers, &"x".repeat(bytes)).await?;
            }
        }
    };
    RawServer::start(&format!("s-{number}"), script).await
}

/// A caller that uses each connection until it ends or a response closes it.
struct SoakCaller {
    daemon: SocketAddr,
    name: String,
    rng: StdRng,
    /// Number of requests that it sends before the first one is answered.
    window: usize,
    sent: u64,
}

impl SoakCaller {
    async fn run(mut self, record: Arc<SoakRecord>, is_over: Arc<AtomicBool>) {
        while !is_over.load(Ordering::SeqCst) {
            let opened =
                RawCaller::try_connect_with_receive_buffer(self.daemon, RECEIVE_BUFFER_BYTES).await;
            match opened {
                Some(caller) => self.use_connection(caller, &record, &is_over).await,
                None => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    fn next_request(&mut self) -> (CallRequest, bool) {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let is_order = self.window == 1 && self.rng.random_bool(0.5);
        let (method, path) =
            if is_order { (Method::POST, "/order/1") } else { (Method::GET, "/read/1") };
        (hosted_request(self.daemon, &id, method, path, DEADLINE_MS), is_order)
    }

    async fn use_connection(
        &mut self,
        mut caller: RawCaller,
        record: &SoakRecord,
        is_over: &AtomicBool,
    ) {
        let mut waiting: VecDeque<SentRequest> = VecDeque::new();
        loop {
            while waiting.len() < self.window && !is_over.load(Ordering::SeqCst) {
                let (request, is_order) = self.next_request();
                let sent_at = Instant::now();
                waiting.push_back(SentRequest { id: request_id(&request), is_order, sent_at });
                if !caller.try_send(&request_text(&request)).await {
                    break;
                }
            }
            let Some(request) = waiting.pop_front() else {
                return;
            };
            let Some(response) = caller.next_response().await else {
                // Of those behind it, only what ran had to be answered.
                record.check(&request, None, "");
                waiting.iter().for_each(|request| record.check(request, None, ""));
                return;
            };
            record.check(&request, Some(response.status), &response.id);
            if response.closes {
                waiting.iter().for_each(|request| record.check(request, None, ""));
                return;
            }
            sleep(Duration::from_millis(self.rng.random_range(0..12))).await;
        }
    }
}

/// Restarts an entry VM again and again at the same addresses. Returns it running.
async fn restart_in_series(
    mut daemon: HostedDaemon,
    mut rng: StdRng,
    record: Arc<SoakRecord>,
) -> HostedDaemon {
    for _ in 0..RESTARTS {
        sleep(Duration::from_millis(rng.random_range(200..2_500))).await;
        let signals: &[Signal] = match rng.random_range(0..4) {
            0 => &[Signal::TERM],
            1 => &[Signal::HUP, Signal::TERM, Signal::HUP],
            2 => &[Signal::TERM, Signal::TERM],
            _ => &[Signal::TERM, Signal::HUP, Signal::TERM, Signal::INT],
        };
        for signal in signals {
            daemon.signal(*signal);
            sleep(Duration::from_millis(rng.random_range(0..40))).await;
        }
        let stopped_at = Instant::now();
        while daemon.exit_status().is_none() {
            if stopped_at.elapsed() > GRACE {
                record.report("the process did not exit within its grace time".into());
                return daemon;
            }
            sleep(Duration::from_millis(10)).await;
        }
        if daemon.exit_status() != Some(0) {
            record.report(format!("exit status {:?}", daemon.exit_status()));
        }
        sleep(Duration::from_millis(rng.random_range(0..300))).await;
        daemon.restart(Path::new(DAEMON_PATH));
        daemon.wait_ready().await;
    }
    daemon
}

async fn change_config(platform: &FakePlatform, mut rng: StdRng) {
    for version in 2.. {
        sleep(Duration::from_millis(rng.random_range(100..1_200))).await;
        let mut routes = standard_routes();
        routes.iter_mut().for_each(|route| route.max_attempts = rng.random_range(1..=3));
        platform.put_config(&hosted_config(version, routes));
    }
}

/// Names other relays in the settings of all VMs, one after the other. The signals of the restarts, or
/// none, follow.
async fn change_relays(settings: &[PathBuf], relays: &[SocketAddr], mut rng: StdRng) {
    loop {
        sleep(Duration::from_millis(rng.random_range(500..4_000))).await;
        let count = rng.random_range(1..=relays.len().min(3));
        let named: Vec<SocketAddr> = relays.sample(&mut rng, count).copied().collect();
        for path in settings {
            change_setting(path, "relays", json!(named));
            sleep(Duration::from_millis(rng.random_range(0..400))).await;
        }
    }
}

async fn check_restarts(seed: u64) {
    let record = Arc::new(SoakRecord::default());
    let platform = FakePlatform::start().await;
    platform.put_config(&hosted_config(1, standard_routes()));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = start_server(number, seed, Arc::clone(&record)).await;
        platform.put_server(&server.record);
        servers.push(server);
    }
    let vms = variable(VMS_VARIABLE, VMS);
    let relays: Vec<SocketAddr> = (0..vms).map(|_| free_address()).collect();
    let mut daemons = Vec::new();
    for relay in &relays {
        let seeds = &relays[..relays.len().min(3)];
        let program = Path::new(DAEMON_PATH);
        let mut daemon =
            HostedDaemon::start_with_grace(program, platform.address(), *relay, seeds, GRACE);
        daemon.wait_ready().await;
        daemons.push(daemon);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        for (number, window) in [1, 1, 1, PIPELINED, PIPELINED].into_iter().enumerate() {
            let caller_seed = seed * 10_000 + index as u64 * 10 + number as u64;
            let caller = SoakCaller {
                daemon: daemon.callers,
                name: format!("{seed}-{index}-{number}"),
                rng: StdRng::seed_from_u64(caller_seed),
                window,
                sent: 0,
            };
            callers.push(tokio::spawn(caller.run(Arc::clone(&record), Arc::clone(&is_over))));
        }
    }
    let settings: Vec<PathBuf> = daemons.iter().map(HostedDaemon::settings_path).collect();
    let restarts = daemons.into_iter().enumerate().map(|(index, daemon)| {
        let rng = StdRng::seed_from_u64(seed * 100 + index as u64);
        restart_in_series(daemon, rng, Arc::clone(&record))
    });
    let daemons = tokio::select! {
        daemons = join_all(restarts) => daemons,
        () = change_config(&platform, StdRng::seed_from_u64(seed)) => Vec::new(),
        () = change_relays(&settings, &relays, StdRng::seed_from_u64(seed)) => Vec::new(),
    };
    is_over.store(true, Ordering::SeqCst);
    let ends = timeout(Duration::from_secs(40), join_all(callers)).await;
    ends.expect("callers end").into_iter().for_each(|end| end.expect("the caller completes"));
    drop(daemons);
    let violations = lock(&record.violations);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(*lock(&record.served) > 0, "seed {seed}: no request was served");
}

/// Guards against requests that are lost, refused after they ran, run twice or mixed up around
/// shutdowns.
#[tokio::test(flavor = "multi_thread")]
async fn restarts_in_series_lose_no_request() {
    let first_seed = variable(FIRST_SEED_VARIABLE, 1);
    for seed in first_seed..first_seed + variable(SEEDS_VARIABLE, SEEDS) {
        check_restarts(seed).await;
    }
}
