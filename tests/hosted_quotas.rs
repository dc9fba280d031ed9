//! On a hosting platform: quotas of client accounts, which all entry VMs keep together.

use std::path::Path;
use std::time::Duration;

use model::{AccountQuota, RequestRate};
use testkit::{
    CallRequest, FREE_KEY, LIMITED_KEY, QUOTA, QUOTA_SLACK, QuotaFleet, allowed_requests, call,
    eventually, request_id,
};
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Guards against a quota that each entry VM keeps, but their sum does not.
#[tokio::test(flavor = "multi_thread")]
async fn several_vms_together_keep_a_quota() {
    let fleet = QuotaFleet::start(Path::new(DAEMON_PATH), 1, 3, QUOTA).await;
    let sending = Duration::from_secs(8);
    let (served, mut delays) = fleet.send(&[0, 1, 2, 3], LIMITED_KEY, 80.0, sending).await;
    let largest = fleet.largest_window() as f64;
    println!("served {served}, refused {}, largest window {largest}", delays.len());
    assert!(
        largest <= allowed_requests(QUOTA),
        "{largest} requests, {} are allowed",
        allowed_requests(QUOTA)
    );
    let owed = QUOTA.rate.0 * sending.as_secs_f64();
    assert!(served as f64 >= 0.9 * owed, "{served} of {owed} were served");
    assert!(delays.iter().all(|delay| *delay > 0.0), "{delays:?}");
    let refused = delays.len();
    delays.sort_by(f64::total_cmp);
    delays.dedup();
    assert!(delays.len() > refused / 4, "{} different delays of {refused}", delays.len());
    let request = fleet.request(1, FREE_KEY);
    assert_eq!(call(&request).await.expect("the daemon responds").status, 200, "no quota");
}

/// Guards against shares of a quota that VMs without requests hold.
#[tokio::test(flavor = "multi_thread")]
async fn account_whose_requests_all_arrive_at_one_vm_gets_its_whole_rate() {
    let fleet = QuotaFleet::start(Path::new(DAEMON_PATH), 3, 2, QUOTA).await;
    for daemon in [0, 4] {
        let sending = Duration::from_secs(6);
        let rate = 0.9 * QUOTA.rate.0;
        let (served, delays) = fleet.send(&[daemon], LIMITED_KEY, rate, sending).await;
        println!("daemon {daemon}: served {served}, refused {}", delays.len());
        let sent = (served + delays.len()) as f64;
        assert!(served as f64 >= 0.95 * sent, "{served} of {sent} were served at {daemon}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lowered_quota_takes_hold_and_a_raised_one_is_used_at_once() {
    let fleet = QuotaFleet::start(Path::new(DAEMON_PATH), 1, 1, QUOTA).await;
    let low = AccountQuota { rate: RequestRate(1.0), burst: 1.0 };
    fleet.put_quota(3, low);
    for daemon in &fleet.daemons {
        daemon.wait_for_version(3).await;
    }
    let (served, _) = fleet.send(&[0, 1], LIMITED_KEY, 40.0, Duration::from_secs(4)).await;
    println!("lowered: served {served}");
    assert!(
        served as f64 <= allowed_requests(low),
        "{served}, {} are allowed",
        allowed_requests(low)
    );
    fleet.put_quota(4, QUOTA);
    for daemon in &fleet.daemons {
        daemon.wait_for_version(4).await;
    }
    let (served, refused) = fleet.send(&[0, 1], LIMITED_KEY, 16.0, Duration::from_secs(4)).await;
    println!("raised: served {served}, refused {}", refused.len());
    assert!(served >= 57, "{served} of 64 were served");
}

/// A relay that starts again must not give the burst a second time, and its VMs must go on.
#[tokio::test(flavor = "multi_thread")]
async fn quota_is_kept_when_relays_are_killed() {
    let mut fleet = QuotaFleet::start(Path::new(DAEMON_PATH), 2, 3, QUOTA).await;
    let (served_before, _) =
        fleet.send(&[2, 3, 4], LIMITED_KEY, 60.0, Duration::from_secs(3)).await;
    fleet.daemons[0].kill();
    let (served, _) = fleet.send(&[2, 3, 4], LIMITED_KEY, 60.0, Duration::from_secs(5)).await;
    let largest = fleet.largest_window() as f64;
    println!("served {served_before} and {served} with one relay, largest window {largest}");
    assert!(
        largest <= allowed_requests(QUOTA),
        "{largest} requests, {} are allowed",
        allowed_requests(QUOTA)
    );
    // The other relay has half of the rate.
    assert!(served as f64 >= 0.7 * 0.5 * QUOTA.rate.0 * 5.0, "{served} were served");
    fleet.daemons[1].kill();
    sleep(Duration::from_secs(3)).await;
    let (served, delays) = fleet.send(&[2, 3, 4], LIMITED_KEY, 60.0, Duration::from_secs(2)).await;
    println!("served {served} without a relay, refused {}", delays.len());
    assert!(served as f64 <= QUOTA_SLACK / 4.0, "{served} were served without a relay");
    let request = fleet.request(2, FREE_KEY);
    assert_eq!(call(&request).await.expect("the daemon responds").status, 200, "no quota");
}

/// The log line of a request tells who granted its credit, or that the account is over its quota.
#[tokio::test(flavor = "multi_thread")]
async fn log_and_metrics_tell_of_credits() {
    let quota = AccountQuota { rate: RequestRate(0.01), burst: 1.0 };
    let fleet = QuotaFleet::start(Path::new(DAEMON_PATH), 1, 1, quota).await;
    let mut last = None;
    eventually("a request is refused", async || {
        let request = fleet.request(1, LIMITED_KEY);
        let response = call(&request).await.expect("the daemon responds");
        last = Some(request);
        response.status == 429
    })
    .await;
    let refused = last.expect("a request was sent");
    let daemon = &fleet.daemons[1];
    let text = format!("\"id\":\"{}\"", request_id(&refused));
    eventually("the log line is written", async || !daemon.log_lines_containing(&text).is_empty())
        .await;
    let line = &daemon.log_lines_containing(&text)[0];
    assert_eq!(line["reason"], "client account is over its quota", "{line}");
    assert_eq!(line["account"], "limited", "{line}");
    let granted = &daemon.log_lines_containing("request: answered")[0];
    assert_eq!(granted["credit"], "relay", "{granted}");
    let metrics = CallRequest::get(daemon.metrics, "test", "/metrics");
    let metrics = call(&metrics).await.expect("the daemon responds");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    let counter = "mustardrail_account_credits_total{account=\"limited\",outcome=\"refused\"} ";
    assert!(text.contains(counter), "{text}");
}
