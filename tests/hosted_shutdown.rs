//! On a hosting platform: a graceful shutdown and a reload interrupt no request.

use std::future::pending;
use std::path::Path;
use std::time::Duration;

use platform::wire_interface;
use rustix::process::Signal;
use testkit::{
    CallRequest, HostedBehaviour, HostedFleet, RawConnection, RawServer, call, eventually,
    hosted_config, load_header, read_metric, request_id, standard_routes,
};
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Longer than the grace time.
const LONG_TIME: Duration = Duration::from_secs(60);

async fn start_fleet(run_time: Duration) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON_PATH), 2, HostedBehaviour::Run(run_time)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_sigterm_complete_before_the_process_exits() {
    let mut fleet = start_fleet(Duration::from_secs(4)).await;
    let calls: Vec<_> = (0..6)
        .map(|number| {
            let order = fleet.order_request(&format!("stone {number}"));
            tokio::spawn(async move { call(&order).await })
        })
        .collect();
    eventually("the orders run", async || fleet.runs().len() == 6).await;
    fleet.daemon.terminate();
    // A second signal and a concurrent reload must have no effect.
    fleet.daemon.terminate();
    fleet.daemon.reload_settings();
    eventually("readiness fails", async || fleet.daemon.readiness_status().await != Some(200))
        .await;
    // Requests that arrive before the platform has noticed that readiness fails are served, and
    // their connections are closed.
    fleet.set_behaviour(HostedBehaviour::Run(Duration::ZERO));
    let late_response = call(&fleet.idempotent_request()).await.expect("the daemon responds");
    assert_eq!((late_response.status, late_response.header("connection")), (200, "close"));
    for task in calls {
        let response = task.await.expect("the call task completes").expect("the daemon responds");
        assert_eq!(response.status, 200);
    }
    eventually("the process has exited", async || fleet.daemon.exit_status().is_some()).await;
    assert_eq!(fleet.daemon.exit_status(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn reload_does_not_interrupt_requests() {
    let fleet = start_fleet(Duration::from_secs(1)).await;
    let order = fleet.order_request("one stone");
    let pending = tokio::spawn(async move { call(&order).await });
    eventually("the order runs", async || fleet.runs().len() == 1).await;
    fleet.daemon.reload_settings();
    assert_eq!(
        pending.await.expect("the call task completes").expect("the daemon responds").status,
        200
    );
    assert_eq!(call(&fleet.idempotent_request()).await.expect("the daemon responds").status, 200);
}

/// Under load, connections are open and requests sent before the process has accepted them. The
/// listener must not close with them.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_to_be_accepted_are_served_before_the_listener_closes() {
    const CALLS: usize = 40;
    let mut fleet = start_fleet(Duration::ZERO).await;
    fleet.daemon.terminate();
    eventually("readiness fails", async || fleet.daemon.readiness_status().await != Some(200))
        .await;
    // The process is delayed from before the end of the notice until after it.
    sleep(Duration::from_secs(2)).await;
    fleet.daemon.signal(Signal::STOP);
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let order = fleet.order_request(&format!("stone {number}"));
            tokio::spawn(async move { call(&order).await })
        })
        .collect();
    sleep(Duration::from_secs(2)).await;
    fleet.daemon.signal(Signal::CONT);
    for task in calls {
        let response = task.await.expect("the call task completes").expect("the daemon responds");
        assert_eq!(response.status, 200);
    }
    eventually("the process has exited", async || fleet.daemon.exit_status().is_some()).await;
    assert_eq!(fleet.daemon.exit_status(), Some(0));
}

/// Guards against LOST: an order that is accepted late in a shutdown is cut when the process exits,
/// while a server runs it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_the_exit_could_cut_are_refused_at_once_late_in_a_shutdown() {
    const ORDERS: usize = 8;
    let fleet = start_fleet(Duration::from_millis(50)).await;
    allow_long_requests(&fleet).await;
    fleet.daemon.terminate();
    eventually("readiness fails", async || fleet.daemon.readiness_status().await != Some(200))
        .await;
    // Orders that are sent early are served, whatever their deadline.
    let early = with_deadline(fleet.order_request("early"), LONG_TIME);
    assert_eq!(call(&early).await.expect("the daemon responds").status, 200);
    // The process is delayed from before the end of the notice until after it.
    sleep(Duration::from_secs(1)).await;
    fleet.daemon.signal(Signal::STOP);
    let calls: Vec<_> = (0..ORDERS)
        .map(|number| {
            let is_long = number % 2 == 0;
            let deadline = if is_long { LONG_TIME } else { Duration::from_secs(10) };
            let order = with_deadline(fleet.order_request("late"), deadline);
            let id = request_id(&order);
            (is_long, id, tokio::spawn(async move { call(&order).await }))
        })
        .collect();
    sleep(Duration::from_secs(2)).await;
    fleet.daemon.signal(Signal::CONT);
    for (is_long, id, task) in calls {
        let response = task.await.expect("the call task completes").expect("the daemon responds");
        let runs = fleet.runs().iter().filter(|run| run.id == id).count();
        match is_long {
            true => {
                assert_eq!((response.status, runs), (503, 0), "{id}");
                assert_eq!(response.header("retry-after"), "0.000", "other VMs accept it");
            }
            false => assert_eq!((response.status, runs), (200, 1), "{id}: {}", response.text()),
        }
    }
}

/// Puts a configuration in force whose routes allow requests longer than the grace time.
async fn allow_long_requests(fleet: &HostedFleet) {
    let mut routes = standard_routes();
    routes.iter_mut().for_each(|route| route.timeout = LONG_TIME);
    fleet.platform.put_config(&hosted_config(2, routes));
    eventually("the configuration is in force", async || {
        read_metric(fleet.daemon.metrics, "mustardrail_config_version").await == 2.0
    })
    .await;
}

/// Replaces the deadline of a request. Its caller waits as long.
fn with_deadline(mut request: CallRequest, deadline: Duration) -> CallRequest {
    let name = wire_interface().headers.deadline_ms;
    request.headers.retain(|(header, _)| **header != *name.as_str());
    request.timeout = deadline;
    request.with_header(name.as_str(), &deadline.as_millis().to_string())
}

/// Guards against LOST: requests at a server that never responds end without a response when the
/// process exits.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_the_exit_get_a_response() {
    let silent = RawServer::start("s-0", |mut connection: RawConnection| async move {
        loop {
            let request = connection.next_request().await?;
            if request.is_probe() {
                connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
                continue;
            }
            pending::<()>().await;
        }
    })
    .await;
    let silent = std::slice::from_ref(&silent);
    let mut fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), silent).await;
    allow_long_requests(&fleet).await;
    let order = with_deadline(fleet.order_request("one stone"), LONG_TIME);
    let read = with_deadline(fleet.idempotent_request(), LONG_TIME);
    let calls = [order, read].map(|request| tokio::spawn(async move { call(&request).await }));
    eventually("a request has arrived", async || silent[0].run_count() > 0).await;
    fleet.daemon.terminate();
    for task in calls {
        let response = task.await.expect("the call task completes").expect("the daemon responds");
        assert!([503, 504].contains(&response.status), "{}", response.status);
    }
    eventually("the process has exited", async || fleet.daemon.exit_status().is_some()).await;
    assert_eq!(fleet.daemon.exit_status(), Some(0));
}
