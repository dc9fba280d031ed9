//! On a hosting platform: estimates by which requests are refused are proved wrong by those that are
//! let through.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use routes::{ExecutionSemantics, HostedRoute};
use testkit::{
    HostedBehaviour, HostedFleet, call, eventually, hosted_config, hosted_request, hosted_route,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Starts a fleet whose only route has this target, with servers that run requests for `run_time`.
async fn start_fleet(target: Duration, run_time: Duration) -> HostedFleet {
    let behaviour = HostedBehaviour::Run(run_time);
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 2, behaviour).await;
    let route = HostedRoute {
        target_latency: target,
        ..hosted_route("/other/", ExecutionSemantics::Idempotent, &[("orders", 1)])
    };
    fleet.platform.put_config(&hosted_config(2, vec![route]));
    eventually("the configuration is in force", async || {
        fleet.daemon.log_lines_containing("config: in force").len() == 2
    })
    .await;
    fleet
}

/// Sends requests that allow `deadline_ms`, one after the other; returns how many were served.
async fn send_requests(fleet: &HostedFleet, count: u64, deadline_ms: u64) -> u64 {
    let mut served = 0;
    for number in 0..count {
        let id = format!("request-{deadline_ms}-{number}-{}", fleet.runs().len());
        let request =
            hosted_request(fleet.daemon.callers, &id, Method::GET, "/other/1", deadline_ms);
        let response = call(&request).await.expect("the daemon responds");
        served += u64::from(response.status == 200);
    }
    served
}

/// Callers that wait for less time than a third of the route's target: nothing is known of the time
/// that requests take, and a guess must not refuse them all.
#[tokio::test(flavor = "multi_thread")]
async fn route_without_a_learned_service_time_serves_short_deadlines() {
    let fleet = start_fleet(Duration::from_secs(10), Duration::from_millis(20)).await;
    assert_eq!(send_requests(&fleet, 40, 3_000).await, 40);
    // Shorter than a twentieth of the target.
    assert_eq!(send_requests(&fleet, 40, 300).await, 40);
}

/// Servers were slow and are fast again, while all callers wait for less time than was learned.
#[tokio::test(flavor = "multi_thread")]
async fn learned_service_time_that_refuses_all_requests_is_corrected() {
    let fleet = start_fleet(Duration::from_secs(1), Duration::from_millis(600)).await;
    assert!(send_requests(&fleet, 12, 3_000).await > 0);
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_millis(20)));
    eventually("requests with a short deadline are served", async || {
        tokio::time::sleep(Duration::from_millis(50)).await;
        send_requests(&fleet, 10, 150).await == 10
    })
    .await;
}
