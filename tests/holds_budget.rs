//! Probes never exceed the agreed budget.

mod common;

use std::time::Duration;

use common::{lookup, setup};
use serde_json::json;
use testkit::{TestService, call};
use tokio::time::{Instant, sleep};

/// Probes a second that the test's service allows.
const BUDGET: usize = 6;

/// The largest number of probes in any window of 1 s, over all servers.
fn most_in_a_second(service: &TestService) -> usize {
    let mut probes: Vec<Instant> =
        service.servers.iter().flat_map(testkit::FakeBackend::probe_times).collect();
    probes.sort_unstable();
    let window = Duration::from_secs(1);
    probes
        .iter()
        .enumerate()
        .map(|(first, start)| {
            probes[first..].iter().take_while(|at| **at - *start < window).count()
        })
        .max()
        .unwrap_or_default()
}

/// Two failures at a time: a frozen holder and a table that is down, a kill and new VMs that join.
#[tokio::test(flavor = "multi_thread")]
async fn holds_budget_under_failures_and_bursts() {
    let (mut fleet, service) = setup(4, 8, &json!({ "probes_per_s": BUDGET })).await;
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
            let request = lookup(&fleet, [0, 1, 3][number % 3], &format!("burst-{number}"));
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    for request in burst {
        request.await.expect("the call ends").expect("answered");
    }
    sleep(Duration::from_secs(4)).await;
    let most = most_in_a_second(&service);
    assert!(most > 0, "nothing was probed");
    assert!(most <= BUDGET, "{most} probes in a second, {BUDGET} are agreed");
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_budget_none_means_none() {
    let (_fleet, service) = setup(2, 4, &json!({ "probes_per_s": 0 })).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(most_in_a_second(&service), 0);
}
