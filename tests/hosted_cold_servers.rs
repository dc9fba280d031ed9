//! On a hosting platform: backend servers that are cold tolerate few requests from all entry VMs
//! together.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use model::RequestRate;
use routes::WarmUp;
use testkit::{
    COLD_OVER, COLD_SLACK, FakePlatform, HostedBehaviour, HostedDaemon, HostedServer, call,
    eventually, free_address, hosted_config, hosted_request, peak_per_second, standard_routes,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

const WARM_UP: WarmUp = WarmUp { duration: Duration::from_secs(3), rate: RequestRate(4.1) };

/// Requests that a cold server may get in any second, by the settings of the daemons.
const MAX_PER_SECOND: f64 = WARM_UP.rate.0 * COLD_OVER + COLD_SLACK;

/// Smallest part of the agreed rate that a cold server gets on a burst of few VMs.
const MIN_USE: f64 = 0.7;

/// Time for which a server is cold.
const COLD_TIME: Duration = Duration::from_secs(6);

/// Time after which all VMs have turns.
const TURNS_DELAY: Duration = Duration::from_secs(2);

/// Callers at each VM that send one request after the other.
const CALLERS: usize = 6;

/// Run time of requests, longer than a few servers need to keep up with all callers.
const RUN_TIME: Duration = Duration::from_millis(120);

/// Several daemons and servers of one service.
struct ColdFleet {
    platform: FakePlatform,
    servers: Vec<HostedServer>,
    daemons: Vec<HostedDaemon>,
}

impl ColdFleet {
    async fn start(servers: usize, relays: usize, daemons: usize) -> Self {
        let platform = FakePlatform::start().await;
        let mut config = hosted_config(1, standard_routes());
        for info in config.services.values_mut() {
            info.warm_up = Some(WARM_UP);
        }
        platform.put_config(&config);
        let mut started = Vec::new();
        for number in 0..servers {
            let behaviour = HostedBehaviour::Run(RUN_TIME);
            let server = HostedServer::start(&format!("s-{number}"), "orders", behaviour).await;
            platform.put_server(&server.record);
            started.push(server);
        }
        let addresses: Vec<_> = (0..daemons).map(|_| free_address()).collect();
        let relays = &addresses[..relays];
        let program = Path::new(DAEMON_PATH);
        let start =
            |own: &_| HostedDaemon::start_with_relays(program, platform.address(), *own, relays);
        let mut daemons: Vec<HostedDaemon> = addresses.iter().map(start).collect();
        for daemon in &mut daemons {
            daemon.wait_ready().await;
        }
        Self { platform, servers: started, daemons }
    }

    /// Sends requests to all daemons until the guard is dropped.
    fn start_burst(&self) -> Burst {
        let served = Arc::new(AtomicU64::new(0));
        let is_over = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for (vm, daemon) in self.daemons.iter().enumerate() {
            for caller in 0..CALLERS {
                let (served, is_over) = (Arc::clone(&served), Arc::clone(&is_over));
                let address = daemon.callers;
                callers.spawn(async move {
                    for number in 0.. {
                        if is_over.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("request-{vm}-{caller}-{number}");
                        let request = hosted_request(address, &id, Method::GET, "/read/1", 20_000);
                        let response = call(&request).await.expect("the daemon responds");
                        served.fetch_add(u64::from(response.status == 200), Ordering::SeqCst);
                    }
                });
            }
        }
        Burst { callers, is_over, served }
    }
}

/// Requests to all daemons.
struct Burst {
    callers: JoinSet<()>,
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
}

impl Burst {
    /// Ends the burst when all requests are answered; returns how many were served.
    async fn end(self) -> u64 {
        self.is_over.store(true, Ordering::SeqCst);
        self.callers.join_all().await;
        self.served.load(Ordering::SeqCst)
    }
}

/// Guards against VMs that each take a cold server for an idle one, and against a cold server that
/// gets nothing, or nothing more once it is warm.
#[tokio::test(flavor = "multi_thread")]
async fn several_vms_together_keep_the_bound_of_a_cold_server() {
    let fleet = ColdFleet::start(3, 3, 5).await;
    sleep(TURNS_DELAY).await;
    let cold = &fleet.servers[0];
    cold.set_cold(COLD_TIME);
    let start = Instant::now();
    let burst = fleet.start_burst();
    sleep(COLD_TIME).await;
    let warm_at = start + COLD_TIME;
    eventually("the server is used normally", async || {
        let runs = cold.runs();
        peak_per_second(&runs, &(warm_at..Instant::now())) as f64 > 2.0 * MAX_PER_SECOND
    })
    .await;
    assert!(burst.end().await > 0, "requests are served");
    let runs = cold.runs();
    let highest = peak_per_second(&runs, &(start..warm_at));
    let count = runs.iter().filter(|run| run.started_at < warm_at).count();
    let rate = count as f64 / COLD_TIME.as_secs_f64();
    println!("{highest} requests in the worst second, {rate:.2} per second");
    assert!(highest as f64 <= MAX_PER_SECOND, "{highest} requests in a second");
    let wanted = WARM_UP.rate.0 * COLD_OVER;
    assert!(rate >= MIN_USE * wanted, "{rate:.2} of {wanted:.2} requests per second");
}

/// Guards against a server that is sent requests because the VM knew it when it was warm.
#[tokio::test(flavor = "multi_thread")]
async fn only_server_that_becomes_cold_again_is_probed_first() {
    let fleet = ColdFleet::start(1, 1, 3).await;
    let server = &fleet.servers[0];
    server.set_cold(Duration::ZERO);
    sleep(TURNS_DELAY).await;
    let burst = fleet.start_burst();
    eventually("the server is used", async || server.request_count() > 20).await;
    burst.end().await;
    // The knowledge that it was warm is old then.
    sleep(Duration::from_millis(1_500)).await;
    server.set_cold(COLD_TIME);
    let start = Instant::now();
    let burst = fleet.start_burst();
    sleep(COLD_TIME).await;
    let highest = peak_per_second(&server.runs(), &(start..start + COLD_TIME));
    burst.end().await;
    println!("{highest} requests in the worst second");
    assert!(highest > 0, "a cold server gets work");
    assert!(highest as f64 <= MAX_PER_SECOND, "{highest} requests in a second");
    let cold_lines = fleet.daemons[0].log_lines_containing("servers: server is cold");
    assert_eq!(cold_lines.len(), 1, "the log names it once");
}

/// Guards against entries that are the only sign of a cold server: its own responses name nothing.
#[tokio::test(flavor = "multi_thread")]
async fn list_entry_tells_that_a_server_is_cold() {
    let fleet = ColdFleet::start(1, 1, 3).await;
    let server = &fleet.servers[0];
    sleep(TURNS_DELAY).await;
    let mut record = server.record.clone();
    record.sequence += 1;
    record.slow_start_remaining = COLD_TIME;
    fleet.platform.put_server(&record);
    sleep(Duration::from_secs(1)).await;
    let start = Instant::now();
    let burst = fleet.start_burst();
    sleep(Duration::from_secs(3)).await;
    let highest = peak_per_second(&server.runs(), &(start..Instant::now()));
    burst.end().await;
    assert!(highest > 0, "a cold server gets work");
    assert!(highest as f64 <= MAX_PER_SECOND, "{highest} requests in a second");
}

/// A server that is started again under its identity is known as warm, and is idle.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_server_is_probed_before_it_gets_requests() {
    let mut fleet = ColdFleet::start(2, 1, 3).await;
    sleep(TURNS_DELAY).await;
    let restarted = Arc::new(fleet.servers.remove(0));
    let (server, list) = (Arc::clone(&restarted), fleet.platform.server_list());
    let record = server.record.clone();
    let restart = tokio::spawn(async move {
        server.restart_after_crashes(record, list, Duration::from_millis(300)).await;
    });
    let burst = fleet.start_burst();
    eventually("the server is used", async || restarted.request_count() > 20).await;
    restarted.crash_and_restart();
    eventually("the server is down", async || !restarted.crashed_at().is_empty()).await;
    restarted.set_cold(COLD_TIME);
    let crashed_at = restarted.crashed_at()[0];
    sleep(Duration::from_secs(4)).await;
    let highest = peak_per_second(&restarted.runs(), &(crashed_at..Instant::now()));
    burst.end().await;
    restart.abort();
    println!("{highest} requests in the worst second");
    assert!(highest > 0, "a cold server gets work");
    assert!(highest as f64 <= MAX_PER_SECOND, "{highest} requests in a second");
}
