//! The probe rate of a service never exceeds its budget.

mod common;

use std::time::Duration;

use common::{idempotent_request, start_fleet};
use serde_json::json;
use testkit::{TestService, call};
use tokio::time::{Instant, sleep};

/// Probe budget of the tested service.
const PROBE_BUDGET_PER_S: usize = 6;

/// Returns the maximum number of probes within any window of 1 s, over all servers.
fn max_probes_per_second(service: &TestService) -> usize {
    let mut probes: Vec<Instant> =
        service.servers.iter().flat_map(testkit::FakeBackend::probe_times).collect();
    probes.sort_unstable();
    let window = Duration::from_secs(1);
    probes
        .iter()
        .enumerate()
        .map(|(index, start)| {
            probes[index..].iter().take_while(|at| **at - *start < window).count()
        })
        .max()
        .unwrap_or_default()
}

/// Two failures at a time: a suspended lease holder while the table is unavailable, then a killed
/// VM while two VMs join.
#[tokio::test(flavor = "multi_thread")]
async fn holds_budget_probe_rate_under_failures_and_bursts_stays_within_limit() {
    let (mut fleet, service) =
        start_fleet(4, 8, &json!({ "probes_per_s": PROBE_BUDGET_PER_S })).await;
    sleep(Duration::from_secs(3)).await;
    fleet.daemons[1].suspend();
    fleet.platform.set_down(true);
    sleep(Duration::from_secs(2)).await;
    fleet.daemons[1].resume();
    fleet.platform.set_down(false);
    fleet.daemons[2].kill();
    let first = fleet.add_daemon(&json!({}));
    let second = fleet.add_daemon(&json!({}));
    fleet.daemons[first].wait_ready().await;
    fleet.daemons[second].wait_ready().await;
    let burst: Vec<_> = (0..400)
        .map(|number| {
            let request =
                idempotent_request(&fleet, [0, 1, 3][number % 3], &format!("burst-{number}"));
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    for task in burst {
        task.await.expect("the call task completes").expect("the daemon responds");
    }
    sleep(Duration::from_secs(4)).await;
    let max_probes = max_probes_per_second(&service);
    assert!(max_probes > 0, "no server was probed");
    assert!(
        max_probes <= PROBE_BUDGET_PER_S,
        "{max_probes} probes within 1 s exceed the budget of {PROBE_BUDGET_PER_S}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_budget_zero_budget_sends_no_probes() {
    let (_fleet, service) = start_fleet(2, 4, &json!({ "probes_per_s": 0 })).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(max_probes_per_second(&service), 0);
}
