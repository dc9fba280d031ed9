//! On a hosting platform: requests that crash the servers which run them, and requests that only
//! share a server with them.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use testkit::{
    CallRequest, FakePlatform, HOSTED_HOST, HostedBehaviour, HostedDaemon, HostedServer, call,
    free_address, hosted_config, standard_routes,
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

/// Several entry VMs, of which the first two are relays, and servers that restart after crashes.
struct Fleet {
    platform: FakePlatform,
    servers: Vec<Arc<HostedServer>>,
    daemons: Vec<HostedDaemon>,
    next_id: usize,
    _restarts: JoinSet<()>,
}

impl Fleet {
    async fn start(daemon_count: usize, server_count: usize) -> Self {
        let platform = FakePlatform::start().await;
        platform.put_config(&hosted_config(1, standard_routes()));
        let (mut servers, mut restarts) = (Vec::new(), JoinSet::new());
        for number in 0..server_count {
            let behaviour = HostedBehaviour::CrashOn(CRASH_TEXT, RUN_TIME);
            let id = format!("s-{number}");
            let server = Arc::new(HostedServer::start(&id, "orders", behaviour).await);
            platform.put_server(&server.record);
            let (restarted, list) = (Arc::clone(&server), platform.server_list());
            restarts.spawn(async move { restarted.restart_after_crashes(list, DOWNTIME).await });
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
        Self { platform, servers, daemons, next_id: 0, _restarts: restarts }
    }

    /// Returns a request to the VM `number`, modulo the number of VMs.
    fn request(&mut self, number: usize, method: Method, path: &str) -> CallRequest {
        self.next_id += 1;
        let names = platform::wire_interface().headers;
        let callers = self.daemons[number % self.daemons.len()].callers;
        let mut request = CallRequest::get(callers, HOSTED_HOST, path)
            .with_header(names.request_id.as_str(), &format!("request-{}", self.next_id))
            .with_header(names.deadline_ms.as_str(), "20000");
        request.method = method;
        request
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
            sleep(Duration::from_millis(100)).await;
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
