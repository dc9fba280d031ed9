//! On a hosting platform: limits that backend servers name in their responses.

use std::path::Path;
use std::time::Duration;

use model::RequestRate;
use testkit::{
    HostedBehaviour, HostedDaemon, HostedFleet, call, eventually, free_address, hosted_config,
    standard_routes,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Limit of a backend server.
const LIMIT: RequestRate = RequestRate(1.0);

/// Requests that a server may get in 4 s beyond one and a half times its limit.
const REQUEST_SLACK: f64 = 5.0;

/// Requests of each step of the test, more than two servers get in 4 s from all entry VMs.
const STEP_REQUESTS: u64 = 80;

/// Sends requests to a daemon that is not the fleet's own.
async fn send_requests_to(fleet: &mut HostedFleet, daemon: &mut HostedDaemon, count: u64) {
    std::mem::swap(&mut fleet.daemon, daemon);
    fleet.send_requests(count).await;
    std::mem::swap(&mut fleet.daemon, daemon);
}

/// Guards against servers that get their usual share although they have named a limit.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_names_a_limit_gets_no_more_requests_than_it() {
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 2, behaviour).await;
    let limited = &fleet.servers[0];
    limited.set_limit(Some(LIMIT));
    eventually("the daemon has a response with the limit", async || {
        fleet.send_requests(1).await;
        limited.request_count() > 0
    })
    .await;
    let (before, started_at) = (limited.request_count(), std::time::Instant::now());
    let served = fleet.send_requests(STEP_REQUESTS).await;
    assert_eq!(served, STEP_REQUESTS, "the other server runs the requests");
    let seconds = started_at.elapsed().as_secs_f64();
    let allowed = (1.5 * LIMIT.0 * seconds.max(4.0) + REQUEST_SLACK) as u64;
    let received = limited.request_count() - before;
    assert!(received <= allowed, "{received} requests in {seconds:.1} s, {allowed} are allowed");
}

/// Guards against a limit that each entry VM keeps, but their sum does not.
#[tokio::test(flavor = "multi_thread")]
async fn several_vms_together_keep_the_limit_of_a_server() {
    let program = Path::new(DAEMON_PATH);
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    let mut fleet = HostedFleet::start(program, 2, behaviour).await;
    let (store, relay) = (fleet.platform.address(), free_address());
    let addresses = [relay, free_address(), free_address(), free_address()];
    let mut daemons =
        addresses.map(|own| HostedDaemon::start_with_relays(program, store, own, &[relay]));
    for daemon in &mut daemons {
        daemon.wait_ready().await;
    }
    fleet.servers[0].set_limit(Some(LIMIT));
    for daemon in &mut daemons {
        let before = fleet.servers[0].request_count();
        while fleet.servers[0].request_count() == before {
            send_requests_to(&mut fleet, daemon, 1).await;
        }
    }
    let (before, started_at) = (fleet.servers[0].request_count(), std::time::Instant::now());
    for daemon in &mut daemons {
        send_requests_to(&mut fleet, daemon, STEP_REQUESTS).await;
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let allowed = (1.5 * LIMIT.0 * seconds.max(4.0) + REQUEST_SLACK) as u64;
    let received = fleet.servers[0].request_count() - before;
    assert!(received <= allowed, "{received} requests in {seconds:.1} s, {allowed} are allowed");
}

/// A limit must not outlast the responses that name it.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_names_no_limit_any_more_gets_its_share_again() {
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 2, behaviour).await;
    let limited = &fleet.servers[0];
    limited.set_limit(Some(RequestRate(20.0)));
    eventually("the daemon has a response with the limit", async || {
        fleet.send_requests(1).await;
        limited.request_count() > 0
    })
    .await;
    limited.set_limit(None);
    eventually("the server gets a quarter of the requests", async || {
        let before = limited.request_count();
        fleet.send_requests(STEP_REQUESTS).await;
        limited.request_count() - before >= STEP_REQUESTS / 4
    })
    .await;
}

/// Guards against entry VMs that together open more connections to a server than it accepts: each
/// has an equal part of them, one in any case.
#[tokio::test(flavor = "multi_thread")]
async fn vm_opens_no_more_connections_than_its_part() {
    const RUN_TIME: Duration = Duration::from_millis(600);
    const REQUESTS: usize = 8;
    for (accepted, part) in [(3, 3), (1, 1)] {
        let fleet =
            HostedFleet::start(Path::new(DAEMON_PATH), 1, HostedBehaviour::Run(RUN_TIME)).await;
        let mut config = hosted_config(2, standard_routes());
        for info in config.services.values_mut() {
            info.max_connections = accepted;
        }
        fleet.platform.put_config(&config);
        eventually("the configuration is in force", async || {
            fleet.daemon.log_lines_containing("config: in force").len() == 2
        })
        .await;
        // The VM knows the size of the fleet shortly after its start.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let calls: Vec<_> = (0..REQUESTS)
            .map(|_| {
                let request = fleet.idempotent_request();
                tokio::spawn(async move { call(&request).await })
            })
            .collect();
        for pending in calls {
            let response = pending.await.expect("the call ends").expect("the daemon responds");
            assert_eq!(response.status, 200, "a request waits for a connection");
        }
        let runs = fleet.runs();
        let concurrent = |at| {
            let is_running = |start| start <= at && at < start + RUN_TIME;
            runs.iter().filter(|run| is_running(run.started_at)).count()
        };
        let peak = runs.iter().map(|run| concurrent(run.started_at)).max();
        assert_eq!(peak, Some(part), "of {accepted} connections");
    }
}
