//! On a hosting platform: quotas of client accounts, which all entry VMs keep together.

use std::path::Path;
use std::time::Duration;

use model::{AccountQuota, RequestRate};
use routes::{AccountEntry, ClientAccount};
use testkit::{
    CallRequest, CallResponse, HostedBehaviour, HostedDaemon, HostedFleet, account_entry, call,
    eventually, free_address, hosted_config, request_id, standard_routes,
};
use tokio::time::{Instant, sleep};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

const LIMITED_KEY: &str = "rjvz48wuakn2ftimaj3n";
const FREE_KEY: &str = "r26tta828m82thhkmgjq";

/// Settings `quotas` of the daemons.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

const QUOTA: AccountQuota = AccountQuota { rate: RequestRate(20.0), burst: 10.0 };

fn accounts(quota: AccountQuota) -> Vec<AccountEntry> {
    let limited = account_entry("limited", &[LIMITED_KEY]);
    let account = ClientAccount { quota: Some(quota), ..limited.account };
    vec![AccountEntry { account, keys: limited.keys }, account_entry("free", &[FREE_KEY])]
}

fn with_key(request: CallRequest, key: &str) -> CallRequest {
    request.with_header("authorization", &format!("Token {key}"))
}

fn allowed(quota: AccountQuota) -> f64 {
    (quota.rate.0 * WINDOW.as_secs_f64() + quota.burst) * (1.0 + OVER) + SLACK
}

/// A fleet whose daemons share relays; the fleet's own daemon gets no requests.
struct QuotaFleet {
    fleet: HostedFleet,
    daemons: Vec<HostedDaemon>,
}

impl QuotaFleet {
    /// Starts relays and other daemons that subscribe to them.
    async fn start(relay_count: usize, vm_count: usize, quota: AccountQuota) -> Self {
        let program = Path::new(DAEMON_PATH);
        let behaviour = HostedBehaviour::Run(Duration::ZERO);
        let fleet = HostedFleet::start(program, 2, behaviour).await;
        put_quota(&fleet, 2, quota);
        let relays: Vec<_> = (0..relay_count).map(|_| free_address()).collect();
        let own = relays.iter().copied().chain((0..vm_count).map(|_| free_address()));
        let store = fleet.platform.address();
        let mut daemons: Vec<HostedDaemon> =
            own.map(|own| HostedDaemon::start_with_relays(program, store, own, &relays)).collect();
        for daemon in &mut daemons {
            daemon.wait_ready().await;
            wait_for_version(daemon, 2).await;
        }
        // Relays connect to each other, and other VMs to them.
        sleep(Duration::from_secs(1)).await;
        Self { fleet, daemons }
    }

    fn request(&self, daemon: usize, key: &str) -> CallRequest {
        let mut request = with_key(self.fleet.idempotent_request(), key);
        request.address = self.daemons[daemon].callers;
        request
    }

    /// Sends requests of an account to daemons in turn, at a rate, and returns the number that was
    /// served, and the retry delays of the others.
    async fn send(
        &self,
        daemons: &[usize],
        key: &str,
        rate: f64,
        duration: Duration,
    ) -> (usize, Vec<f64>) {
        let mut calls = Vec::new();
        let started_at = Instant::now();
        let count = (rate * duration.as_secs_f64()) as usize;
        for number in 0..count {
            let at = started_at + Duration::from_secs_f64(number as f64 / rate);
            tokio::time::sleep_until(at).await;
            let request = self.request(daemons[number % daemons.len()], key);
            calls.push(tokio::spawn(async move { call(&request).await }));
        }
        let (mut served, mut delays) = (0, Vec::new());
        for pending in calls {
            let response = pending.await.expect("the call ends").expect("the daemon responds");
            match response.status {
                200 => served += 1,
                429 => delays.push(retry_delay(&response)),
                status => panic!("status {status}"),
            }
        }
        (served, delays)
    }

    /// The largest number of runs that started within a window.
    fn largest_window(&self) -> usize {
        let mut starts: Vec<_> = self.fleet.runs().iter().map(|run| run.started_at).collect();
        starts.sort();
        let count_from =
            |from| starts.iter().filter(move |at| **at >= from && **at < from + WINDOW);
        starts.iter().map(|from| count_from(*from).count()).max().unwrap_or(0)
    }
}

/// The retry delay of a refusal, in seconds.
fn retry_delay(response: &CallResponse) -> f64 {
    response.header("retry-after").parse().expect("a refusal has a retry delay")
}

fn put_quota(fleet: &HostedFleet, version: u64, quota: AccountQuota) {
    let config = hosted_config(version, standard_routes());
    fleet.platform.put_config_with_accounts(&config, &accounts(quota));
}

async fn wait_for_version(daemon: &HostedDaemon, version: u64) {
    eventually("the configuration is in force", async || {
        let lines = daemon.log_lines_containing("config: in force");
        lines.iter().any(|line| line["version"].as_u64() == Some(version))
    })
    .await;
}

/// Guards against a quota that each entry VM keeps, but their sum does not.
#[tokio::test(flavor = "multi_thread")]
async fn several_vms_together_keep_a_quota() {
    let fleet = QuotaFleet::start(1, 3, QUOTA).await;
    let sending = Duration::from_secs(8);
    let (served, mut delays) = fleet.send(&[0, 1, 2, 3], LIMITED_KEY, 80.0, sending).await;
    let largest = fleet.largest_window() as f64;
    println!("served {served}, refused {}, largest window {largest}", delays.len());
    assert!(largest <= allowed(QUOTA), "{largest} requests, {} are allowed", allowed(QUOTA));
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
    let fleet = QuotaFleet::start(3, 2, QUOTA).await;
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
    let fleet = QuotaFleet::start(1, 1, QUOTA).await;
    let low = AccountQuota { rate: RequestRate(1.0), burst: 1.0 };
    put_quota(&fleet.fleet, 3, low);
    for daemon in &fleet.daemons {
        wait_for_version(daemon, 3).await;
    }
    let (served, _) = fleet.send(&[0, 1], LIMITED_KEY, 40.0, Duration::from_secs(4)).await;
    println!("lowered: served {served}");
    assert!(served as f64 <= allowed(low), "{served}, {} are allowed", allowed(low));
    put_quota(&fleet.fleet, 4, QUOTA);
    for daemon in &fleet.daemons {
        wait_for_version(daemon, 4).await;
    }
    let (served, refused) = fleet.send(&[0, 1], LIMITED_KEY, 16.0, Duration::from_secs(4)).await;
    println!("raised: served {served}, refused {}", refused.len());
    assert!(served >= 57, "{served} of 64 were served");
}

/// A relay that starts again must not give the burst a second time, and its VMs must go on.
#[tokio::test(flavor = "multi_thread")]
async fn quota_is_kept_when_relays_are_killed() {
    let mut fleet = QuotaFleet::start(2, 3, QUOTA).await;
    let (served_before, _) =
        fleet.send(&[2, 3, 4], LIMITED_KEY, 60.0, Duration::from_secs(3)).await;
    fleet.daemons[0].kill();
    let (served, _) = fleet.send(&[2, 3, 4], LIMITED_KEY, 60.0, Duration::from_secs(5)).await;
    let largest = fleet.largest_window() as f64;
    println!("served {served_before} and {served} with one relay, largest window {largest}");
    assert!(largest <= allowed(QUOTA), "{largest} requests, {} are allowed", allowed(QUOTA));
    // The other relay has half of the rate.
    assert!(served as f64 >= 0.7 * 0.5 * QUOTA.rate.0 * 5.0, "{served} were served");
    fleet.daemons[1].kill();
    sleep(Duration::from_secs(3)).await;
    let (served, delays) = fleet.send(&[2, 3, 4], LIMITED_KEY, 60.0, Duration::from_secs(2)).await;
    println!("served {served} without a relay, refused {}", delays.len());
    assert!(served as f64 <= SLACK / 4.0, "{served} were served without a relay");
    let request = fleet.request(2, FREE_KEY);
    assert_eq!(call(&request).await.expect("the daemon responds").status, 200, "no quota");
}

/// The log line of a request tells who granted its credit, or that the account is over its quota.
#[tokio::test(flavor = "multi_thread")]
async fn log_and_metrics_tell_of_credits() {
    let quota = AccountQuota { rate: RequestRate(0.01), burst: 1.0 };
    let fleet = QuotaFleet::start(1, 1, quota).await;
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
