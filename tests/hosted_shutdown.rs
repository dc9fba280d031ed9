//! On a hosting platform: a graceful shutdown and a reload cut nothing.

use std::path::Path;
use std::time::Duration;

use testkit::{HostedBehaviour, HostedFleet, call, eventually};

const DAEMON: &str = env!("CARGO_BIN_EXE_mustardraild");

async fn fleet(time: Duration) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON), 2, HostedBehaviour::Run(time)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_sigterm_are_answered_and_the_process_ends() {
    let mut fleet = fleet(Duration::from_secs(4)).await;
    let calls: Vec<_> = (0..6)
        .map(|number| {
            let order = fleet.order_request(&format!("stone {number}"));
            tokio::spawn(async move { call(&order).await })
        })
        .collect();
    eventually("the orders run", async || fleet.runs().len() == 6).await;
    fleet.daemon.terminate();
    // A second signal and a reload beside it change nothing.
    fleet.daemon.terminate();
    fleet.daemon.reload_settings();
    eventually("readiness fails", async || fleet.daemon.readiness_status().await != Some(200))
        .await;
    // What arrives before the platform has noticed is served, and closes its connection.
    fleet.set_behaviour(HostedBehaviour::Run(Duration::ZERO));
    let late = call(&fleet.idempotent_request()).await.expect("answered");
    assert_eq!((late.status, late.header("connection")), (200, "close"));
    for order in calls {
        let answer = order.await.expect("the call ends").expect("answered");
        assert_eq!(answer.status, 200);
    }
    eventually("the process has ended", async || fleet.daemon.exit_status().is_some()).await;
    assert_eq!(fleet.daemon.exit_status(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_cuts_nothing() {
    let fleet = fleet(Duration::from_secs(1)).await;
    let order = fleet.order_request("one stone");
    let pending = tokio::spawn(async move { call(&order).await });
    eventually("the order runs", async || fleet.runs().len() == 1).await;
    fleet.daemon.reload_settings();
    assert_eq!(pending.await.expect("the call ends").expect("answered").status, 200);
    assert_eq!(call(&fleet.idempotent_request()).await.expect("answered").status, 200);
}
