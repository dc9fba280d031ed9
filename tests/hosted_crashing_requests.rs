//! On a hosting platform: requests that crash the servers which run them, and requests that only
//! share a server with them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use routes::ServerRecord;
use testkit::{
    CallRequest, FakePlatform, FaultProxy, HostedBehaviour, HostedDaemon, HostedServer, call,
    free_address, hosted_config, hosted_request, standard_routes,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Text in the target or body of a request that crashes its server.
const CRASH_TEXT: &str = "poison";

/// Time for which a server runs each request.
const RUN_TIME: Duration = Duration::from_millis(30);

/// Time from a crash until the server is back.
const DOWNTIME: Duration = Duration::from_millis(500);

/// The daemons' `contact_s`, within which the whole fleet must know.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Crashes after which a request is known to be harmful.
const CRASHES: usize = 3;

/// Times that a known request may still be sent to a server.
const MAX_LATER_SENDS: usize = 3;

/// Pause between two repeats of a request, unless a test sets another one.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Several entry VMs, of which the first two are relays, and servers that restart after crashes.
struct Fleet {
    platform: FakePlatform,
    servers: Vec<Arc<HostedServer>>,
    daemons: Vec<HostedDaemon>,
    relays: [SocketAddr; 2],
    next_id: usize,
    /// Pause between two repeats of a request.
    repeat_pause: Duration,
    _restarts: JoinSet<()>,
}

impl Fleet {
    async fn start(daemon_count: usize, server_count: usize) -> Self {
        let platform = FakePlatform::start().await;
        platform.put_config(&hosted_config(1, standard_routes()));
        let (mut servers, mut restarts) = (Vec::new(), JoinSet::new());
        for number in 0..server_count {
            let behaviour = HostedBehaviour::Run(RUN_TIME);
            let id = format!("s-{number}");
            let server = Arc::new(HostedServer::start(&id, "orders", behaviour).await);
            server.set_crash_text(CRASH_TEXT);
            platform.put_server(&server.record);
            let (restarted, list) = (Arc::clone(&server), platform.server_list());
            let record = server.record.clone();
            restarts.spawn(async move {
                restarted.restart_after_crashes(record, list, DOWNTIME).await;
            });
            servers.push(server);
        }
        let relays = [free_address(), free_address()];
        let mut daemons = Vec::new();
        for number in 0..daemon_count {
            let relay = relays.get(number).copied().unwrap_or_else(free_address);
            let (program, store) = (Path::new(DAEMON_PATH), platform.address());
            daemons.push(HostedDaemon::start_with_relays(program, store, relay, &relays));
        }
        for daemon in &mut daemons {
            daemon.wait_ready().await;
        }
        Self {
            platform,
            servers,
            daemons,
            relays,
            next_id: 0,
            repeat_pause: REPEAT_PAUSE,
            _restarts: restarts,
        }
    }

    /// Starts a further VM.
    fn start_daemon(&self, relay: SocketAddr) -> HostedDaemon {
        let (program, store) = (Path::new(DAEMON_PATH), self.platform.address());
        HostedDaemon::start_with_relays(program, store, relay, &self.relays)
    }

    /// Kills all VMs at the same moment and starts others in their place, at the same relay addresses.
    async fn restart_all_daemons(&mut self) {
        let count = self.daemons.len();
        self.daemons.drain(..).for_each(|mut daemon| daemon.kill());
        for number in 0..count {
            let relay = self.relays.get(number).copied().unwrap_or_else(free_address);
            self.daemons.push(self.start_daemon(relay));
        }
        for daemon in &mut self.daemons {
            daemon.wait_ready().await;
        }
    }

    /// Contents that any VM has quarantined, by the logs.
    fn quarantined_contents(&self) -> BTreeSet<String> {
        let logs = self.daemons.iter();
        let lines =
            logs.flat_map(|daemon| daemon.log_lines_containing("quarantine: request crash"));
        lines.map(|line| line["content"].as_str().unwrap_or_default().to_owned()).collect()
    }

    /// Returns a request to the VM `number`, modulo the number of VMs.
    fn request(&mut self, number: usize, method: Method, path: &str) -> CallRequest {
        self.next_id += 1;
        let callers = self.daemons[number % self.daemons.len()].callers;
        hosted_request(callers, &format!("request-{}", self.next_id), method, path, 20_000)
    }

    /// When servers started to run requests whose target or body contains a text, in order.
    fn runs(&self, text: &str) -> Vec<Instant> {
        let mut started_at: Vec<Instant> = Vec::new();
        for server in &self.servers {
            let runs = server.runs();
            let matching = runs.iter().filter(|run| {
                run.target.contains(text) || String::from_utf8_lossy(&run.body).contains(text)
            });
            started_at.extend(matching.map(|run| run.started_at));
        }
        started_at.sort();
        started_at
    }

    /// Number of runs later than the contact time after the third crash.
    fn later_runs(&self, text: &str) -> usize {
        let runs = self.runs(text);
        let Some(third) = runs.get(CRASHES - 1) else {
            return 0;
        };
        let bound = *third + RUN_TIME + CONTACT_TIME;
        runs.iter().filter(|started_at| **started_at > bound).count()
    }

    /// Repeats a request at all VMs in turn until `duration` has passed. Returns the statuses.
    async fn repeat(
        &mut self,
        duration: Duration,
        build: impl Fn(&mut Self, usize) -> CallRequest,
    ) -> Vec<Option<u16>> {
        let end = Instant::now() + duration;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let request = build(self, statuses.len());
            statuses.push(call(&request).await.ok().map(|response| response.status));
            sleep(self.repeat_pause).await;
        }
        statuses
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_path_crashes_servers_is_sent_no_more_after_three_crashes() {
    let mut fleet = Fleet::start(4, 8).await;
    let statuses = fleet
        .repeat(Duration::from_secs(9), |fleet, number| {
            fleet.request(number, Method::GET, "/read/poison?stone=1")
        })
        .await;
    let (runs, later) = (fleet.runs(CRASH_TEXT).len(), fleet.later_runs(CRASH_TEXT));
    assert!(runs >= CRASHES, "{runs} runs, {statuses:?}");
    assert!(later <= MAX_LATER_SENDS, "{later} of {runs} runs are too late");
    let last = &statuses[statuses.len() - 4..];
    assert_eq!(last, [Some(503); 4], "each VM refuses the request as not run");
}

#[tokio::test(flavor = "multi_thread")]
async fn order_whose_body_crashes_servers_is_sent_no_more_after_three_crashes() {
    let mut fleet = Fleet::start(4, 8).await;
    let statuses = fleet
        .repeat(Duration::from_secs(9), |fleet, number| {
            let mut request = fleet.request(number, Method::POST, "/order/1");
            request.body = "a poison stone".into();
            request
        })
        .await;
    let (runs, later) = (fleet.runs(CRASH_TEXT).len(), fleet.later_runs(CRASH_TEXT));
    assert!(runs >= CRASHES, "{runs} runs, {statuses:?}");
    assert!(later <= MAX_LATER_SENDS, "{later} of {runs} runs are too late");
    assert_eq!(statuses[statuses.len() - 4..], [Some(503); 4]);
    let mut harmless = fleet.request(0, Method::POST, "/order/1");
    harmless.body = "another stone".into();
    let response = call(&harmless).await.expect("the daemon responds");
    assert_eq!(response.status, 200, "another body to the same path: {}", response.text());
}

/// A request that runs beside a harmful one loses its server with it, again and again.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_servers_with_a_harmful_one_are_not_refused_for_it() {
    let mut fleet = Fleet::start(3, 6).await;
    let end = Instant::now() + Duration::from_secs(6);
    let mut refused = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let mut calls = JoinSet::new();
        // The first one of each round is harmful; the paths of the others recur in each round.
        for index in 0..8 {
            number += 1;
            let path = if index == 0 { "/read/poison".into() } else { format!("/read/{index}") };
            let request = fleet.request(number, Method::GET, &path);
            calls.spawn(async move { (index, call(&request).await) });
        }
        for (index, result) in calls.join_all().await {
            let response = result.expect("the daemon responds");
            if index > 0 && response.text().contains("crashed") {
                refused.push(index);
            }
        }
    }
    assert!(refused.is_empty(), "refused: {refused:?}");
    assert!(fleet.runs(CRASH_TEXT).len() >= CRASHES);
    assert_eq!(fleet.quarantined_contents().len(), 1, "only the harmful request");
}

/// Crashes that no request causes, and connections that are reset while the servers run on.
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_crashes_and_resets_quarantine_no_request() {
    let mut fleet = Fleet::start(3, 6).await;
    let mut proxies = Vec::new();
    for server in &fleet.servers[..2] {
        let proxy = FaultProxy::start(server.record.address).await;
        let record = ServerRecord { address: proxy.address, sequence: 2, ..server.record.clone() };
        fleet.platform.put_server(&record);
        proxies.push(proxy);
    }
    let end = Instant::now() + Duration::from_secs(6);
    let mut number = 0;
    while Instant::now() < end {
        let mut calls = JoinSet::new();
        for path in 0..6 {
            let request = fleet.request(number + path, Method::GET, &format!("/read/{path}"));
            calls.spawn(async move { call(&request).await });
        }
        sleep(RUN_TIME / 2).await;
        proxies[number % 2].reset_open_connections();
        if number.is_multiple_of(4) {
            fleet.servers[2 + number / 4 % 4].crash_and_restart();
        }
        for result in calls.join_all().await {
            let response = result.expect("the daemon responds");
            assert!(!response.text().contains("crashed"), "{}", response.text());
        }
        number += 1;
    }
    let crashes: usize = fleet.servers.iter().map(|server| server.crashed_at().len()).sum();
    assert!(crashes >= 6, "{crashes} crashes");
    assert!(fleet.quarantined_contents().is_empty());
}

/// The relay that a VM subscribes to can be lost, and VMs can start, after the third crash.
#[tokio::test(flavor = "multi_thread")]
async fn lost_relay_and_new_vm_do_not_send_a_quarantined_request_again() {
    let mut fleet = Fleet::start(4, 8).await;
    let harmful = |fleet: &mut Fleet, number| fleet.request(number, Method::GET, "/read/poison");
    fleet.repeat(Duration::from_secs(4), harmful).await;
    fleet.daemons[0].kill();
    let mut added = fleet.start_daemon(free_address());
    added.wait_ready().await;
    fleet.daemons[0] = added;
    // The subscribers of the lost relay subscribe to the other one.
    sleep(Duration::from_secs(1)).await;
    let before = fleet.runs(CRASH_TEXT).len();
    let statuses = fleet.repeat(Duration::from_secs(2), harmful).await;
    let after = fleet.runs(CRASH_TEXT).len();
    assert_eq!(after, before, "runs of the quarantined request: {statuses:?}");
}

/// All VMs, the relays too, end at the same moment and start again.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_outlives_a_restart_of_all_vms() {
    let mut fleet = Fleet::start(3, 8).await;
    let harmful = |fleet: &mut Fleet, number| fleet.request(number, Method::GET, "/read/poison");
    fleet.repeat(Duration::from_secs(4), harmful).await;
    fleet.restart_all_daemons().await;
    let before = fleet.runs(CRASH_TEXT).len();
    fleet.repeat(Duration::from_secs(4), harmful).await;
    let after = fleet.runs(CRASH_TEXT).len();
    assert!(after - before <= MAX_LATER_SENDS, "{} runs after the restart", after - before);
}

/// Without a relay, VMs exchange their reports through the store.
#[tokio::test(flavor = "multi_thread")]
async fn vms_without_a_relay_know_the_crashes_of_each_other() {
    let mut fleet = Fleet::start(7, 8).await;
    // Slow enough that no VM finds out alone in time.
    fleet.repeat_pause = Duration::from_millis(600);
    // The relays are lost for good.
    fleet.daemons.drain(..2).for_each(|mut relay| relay.kill());
    sleep(CONTACT_TIME).await;
    let statuses = fleet
        .repeat(Duration::from_secs(14), |fleet, number| {
            fleet.request(number, Method::GET, "/read/poison")
        })
        .await;
    let (runs, later) = (fleet.runs(CRASH_TEXT).len(), fleet.later_runs(CRASH_TEXT));
    assert!(runs >= CRASHES, "{runs} runs, {statuses:?}");
    assert!(later <= MAX_LATER_SENDS, "{later} of {runs} runs are too late");
}
