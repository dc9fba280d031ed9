//! A fleet of daemon processes whose client accounts have quotas.

use std::path::Path;
use std::time::Duration;

use model::{AccountQuota, RequestRate};
use routes::{AccountEntry, ClientAccount};
use tokio::time::{Instant, sleep};

use crate::caller::{CallRequest, CallResponse, call};
use crate::daemons::free_address;
use crate::hosted::{
    HostedBehaviour, HostedDaemon, HostedFleet, account_entry, hosted_config, standard_routes,
};

/// Key of the account with a quota.
pub const LIMITED_KEY: &str = "rjvz48wuakn2ftimaj3n";

/// Key of an account without a quota.
pub const FREE_KEY: &str = "r26tta828m82thhkmgjq";

/// Window of quotas in the settings of the daemons.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);

/// Allowed excess in the settings, as a fraction of the quota.
const OVER: f64 = 0.1;

/// Further requests allowed in each window in the settings.
pub const QUOTA_SLACK: f64 = 20.0;

/// Quota of the account with a quota, unless a test sets another.
pub const QUOTA: AccountQuota = AccountQuota { rate: RequestRate(20.0), burst: 10.0 };

/// Returns the number of requests of an account that may run within a window.
pub fn allowed_requests(quota: AccountQuota) -> f64 {
    (quota.rate.0 * QUOTA_WINDOW.as_secs_f64() + quota.burst) * (1.0 + OVER) + QUOTA_SLACK
}

fn accounts(quota: AccountQuota) -> Vec<AccountEntry> {
    let limited = account_entry("limited", &[LIMITED_KEY]);
    let account = ClientAccount { quota: Some(quota), ..limited.account };
    vec![AccountEntry { account, keys: limited.keys }, account_entry("free", &[FREE_KEY])]
}

/// A fleet whose daemons share relays; the fleet's own daemon gets no requests.
pub struct QuotaFleet {
    /// The store and the servers.
    pub fleet: HostedFleet,
    /// The daemons, relays first.
    pub daemons: Vec<HostedDaemon>,
}

impl QuotaFleet {
    /// Starts relays and other daemons that subscribe to them.
    pub async fn start(
        program: &Path,
        relay_count: usize,
        vm_count: usize,
        quota: AccountQuota,
    ) -> Self {
        let behaviour = HostedBehaviour::Run(Duration::ZERO);
        let fleet = HostedFleet::start(program, 2, behaviour).await;
        let accounts = accounts(quota);
        fleet.platform.put_config_with_accounts(&hosted_config(2, standard_routes()), &accounts);
        let relays: Vec<_> = (0..relay_count).map(|_| free_address()).collect();
        let own = relays.iter().copied().chain((0..vm_count).map(|_| free_address()));
        let store = fleet.platform.address();
        let mut daemons: Vec<HostedDaemon> =
            own.map(|own| HostedDaemon::start_with_relays(program, store, own, &relays)).collect();
        for daemon in &mut daemons {
            daemon.wait_ready().await;
            daemon.wait_for_version(2).await;
        }
        // Relays connect to each other, and other VMs to them.
        sleep(Duration::from_secs(1)).await;
        Self { fleet, daemons }
    }

    /// Returns a request of an account to a daemon.
    pub fn request(&self, daemon: usize, key: &str) -> CallRequest {
        let request = self.fleet.idempotent_request();
        let mut request = request.with_header("authorization", &format!("Token {key}"));
        request.address = self.daemons[daemon].callers;
        request
    }

    /// Puts a configuration with another quota in the store.
    pub fn put_quota(&self, version: u64, quota: AccountQuota) {
        let config = hosted_config(version, standard_routes());
        self.fleet.platform.put_config_with_accounts(&config, &accounts(quota));
    }

    /// Sends requests of an account to daemons in turn, at a rate, and returns the number that was
    /// served, and the retry delays of the others.
    pub async fn send(
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
    pub fn largest_window(&self) -> usize {
        let mut starts: Vec<_> = self.fleet.runs().iter().map(|run| run.started_at).collect();
        starts.sort();
        let count_from =
            |from| starts.iter().filter(move |at| **at >= from && **at < from + QUOTA_WINDOW);
        starts.iter().map(|from| count_from(*from).count()).max().unwrap_or(0)
    }
}

/// The retry delay of a refusal, in seconds.
fn retry_delay(response: &CallResponse) -> f64 {
    response.header("retry-after").parse().expect("a refusal has a retry delay")
}
