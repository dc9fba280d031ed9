//! On a hosting platform: the operator evacuates availability zones and takes them back.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use testkit::{
    CallResponse, FakePlatform, FaultProxy, HostedBehaviour, HostedDaemon, HostedFleet,
    HostedServer, RecordedRelay, StoreBehaviour, call, eventually, free_address, hosted_config,
    hosted_request, read_metric, recorded_message, standard_routes,
};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Time after its acknowledgement from which an evacuation must hold everywhere.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Time during which a server in an evacuated zone must get nothing.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Time within which a request that no server may run is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Time after the return of an older copy at which the operator writes its entries again.
const REWRITE_DELAY: Duration = Duration::from_millis(500);

const RUN_TIME: Duration = Duration::from_millis(5);

/// Callers that send requests one after the other.
const CALLERS: u64 = 4;

async fn start_server(id: &str, zone: &str) -> HostedServer {
    let mut server = HostedServer::start(id, "orders", HostedBehaviour::Run(RUN_TIME)).await;
    server.record.zone = zone.parse().expect("the name is valid");
    server
}

/// Starts one server in each of two zones.
async fn start_servers() -> Vec<HostedServer> {
    vec![start_server("s-0", "zone-a").await, start_server("s-1", "zone-b").await]
}

/// Starts a fleet with one daemon and one server in each of two zones.
async fn start_fleet() -> HostedFleet {
    HostedFleet::start_with(Path::new(DAEMON_PATH), start_servers().await, &[]).await
}

async fn start_platform(servers: &[HostedServer]) -> FakePlatform {
    let platform = FakePlatform::start().await;
    platform.put_config(&hosted_config(1, standard_routes()));
    for server in servers {
        platform.put_server(&server.record);
    }
    platform
}

/// Callers that send requests without pause until this is dropped.
struct Load {
    tasks: Vec<JoinHandle<()>>,
    served: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
}

impl Load {
    fn start(daemon: &HostedDaemon) -> Self {
        let (served, refused) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let callers = daemon.callers;
        let tasks = (0..CALLERS).map(|caller| {
            let (served, refused) = (Arc::clone(&served), Arc::clone(&refused));
            tokio::spawn(async move {
                for number in 0.. {
                    let (method, path) = match number % 2 {
                        0 => (Method::GET, "/read/1"),
                        _ => (Method::POST, "/order/1"),
                    };
                    let id = format!("load-{caller}-{number}");
                    let request = hosted_request(callers, &id, method, path, 20_000);
                    let is_served =
                        call(&request).await.is_ok_and(|response| response.status == 200);
                    let counter = if is_served { &served } else { &refused };
                    counter.fetch_add(1, Ordering::SeqCst);
                    sleep(Duration::from_millis(2)).await;
                }
            })
        });
        Self { tasks: tasks.collect(), served, refused }
    }

    fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    fn refused(&self) -> u64 {
        self.refused.load(Ordering::SeqCst)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Waits until the server gets a request or health check.
async fn wait_until_used(server: &HostedServer) {
    let before = server.request_count();
    eventually("the server gets requests", async || server.request_count() > before).await;
}

/// Asserts that a server gets neither requests nor health checks later than the bound after
/// `acknowledged_at`. Waits until then, and for `WATCH_TIME` more.
async fn assert_evacuated(server: &HostedServer, acknowledged_at: Instant) {
    let until = acknowledged_at + EVACUATION_BOUND;
    tokio::time::sleep_until(until + WATCH_TIME).await;
    let late = server.received_at().into_iter().filter(|at| *at > until).count();
    let last = server.received_at().last().map(|at| at.duration_since(acknowledged_at));
    assert_eq!(late, 0, "the last one arrived {last:?} after the acknowledgement");
}

async fn order(fleet: &HostedFleet) -> CallResponse {
    call(&fleet.order_request("one stone")).await.expect("the daemon responds")
}

async fn evacuated_zones(daemon: &HostedDaemon) -> f64 {
    read_metric(daemon.metrics, "mustardrail_evacuated_zones").await
}

async fn wait_for_zones(daemon: &HostedDaemon, count: f64) {
    eventually("the evacuation is in force", async || evacuated_zones(daemon).await == count).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let fleet = start_fleet().await;
    let load = Load::start(&fleet.daemon);
    wait_until_used(&fleet.servers[0]).await;
    assert_eq!(evacuated_zones(&fleet.daemon).await, 0.0);
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
    assert_eq!(evacuated_zones(&fleet.daemon).await, 1.0);
    let served = load.served();
    fleet.platform.set_evacuated("zone-a", false);
    wait_until_used(&fleet.servers[0]).await;
    assert!(load.served() > served);
    // Two requests run at a time at most, so the other zone has room for all.
    assert_eq!(load.refused(), 0, "of {} requests", load.served());
    for (text, count) in [("zones: evacuated", 1), ("zones: evacuation ended", 1)] {
        eventually("the change is logged", async || {
            fleet.daemon.log_lines_containing(text).len() == count
        })
        .await;
        let line = fleet.daemon.log_lines_containing(text).remove(0);
        assert_eq!((&line["zone"], &line["source"]), (&"zone-a".into(), &"store".into()));
        assert!(line["version"].is_string(), "{line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_when_all_servers_are_evacuated() {
    let fleet = start_fleet().await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(3)));
    // As many requests as the servers have slots run; the others are queued.
    let requests = (0..24).map(|_| fleet.order_request("one stone"));
    let calls: Vec<_> = requests
        .map(|request| tokio::spawn(async move { (call(&request).await, Instant::now()) }))
        .collect();
    eventually("requests run", async || fleet.runs().len() >= 8).await;
    fleet.platform.set_evacuated("zone-a", true);
    fleet.platform.set_evacuated("zone-b", true);
    wait_for_zones(&fleet.daemon, 2.0).await;
    let evacuated_at = Instant::now();
    let runs = fleet.runs().len();
    let response = order(&fleet).await;
    assert!(evacuated_at.elapsed() < REFUSAL_TIME);
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").parse::<f64>().is_ok());
    let mut served = 0;
    for call in calls {
        let (response, ended_at) = call.await.expect("the caller doesn't panic");
        match response.expect("the daemon responds").status {
            200 => served += 1,
            503 => {
                let wait = ended_at.saturating_duration_since(evacuated_at);
                assert!(wait < REFUSAL_TIME, "a queued request waited for {wait:?}");
            }
            status => panic!("unexpected status {status}"),
        }
    }
    assert_eq!(fleet.runs().len(), runs, "no request was sent after the evacuation");
    assert_eq!(served, runs, "requests in flight are completed");
    // A VM without servers is still ready: it refuses requests correctly.
    assert_eq!(fleet.daemon.readiness_status().await, Some(200));
    fleet.set_behaviour(HostedBehaviour::Run(RUN_TIME));
    fleet.platform.set_evacuated("zone-b", false);
    eventually("requests are served again", async || order(&fleet).await.status == 200).await;
    assert!(fleet.servers[0].runs().iter().all(|run| run.started_at < evacuated_at));
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_after_a_refusal_does_not_go_to_an_evacuated_zone() {
    let fleet = start_fleet().await;
    fleet.platform.set_evacuated("zone-a", true);
    wait_for_zones(&fleet.daemon, 1.0).await;
    fleet.servers[1].set_behaviour(HostedBehaviour::Shed);
    let before = fleet.servers[0].received_at().len();
    for _ in 0..20 {
        assert_eq!(order(&fleet).await.status, 503);
        let response = call(&fleet.idempotent_request()).await.expect("the daemon responds");
        assert_eq!(response.status, 503);
    }
    assert!(fleet.servers[1].request_count() > 0);
    assert_eq!(fleet.servers[0].received_at().len(), before);
}

/// A hedged attempt must not go there either, although the first one takes long.
#[tokio::test(flavor = "multi_thread")]
async fn hedged_attempt_does_not_go_to_an_evacuated_zone() {
    let fleet = start_fleet().await;
    fleet.send_requests(30).await;
    fleet.platform.set_evacuated("zone-a", true);
    wait_for_zones(&fleet.daemon, 1.0).await;
    let before = fleet.servers[0].received_at().len();
    fleet.servers[1].set_behaviour(HostedBehaviour::Run(Duration::from_secs(2)));
    let calls: Vec<_> = (0..3)
        .map(|_| {
            let request = fleet.idempotent_request();
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    for call in calls {
        let response = call.await.expect("the caller doesn't panic");
        assert_eq!(response.expect("the daemon responds").status, 200);
    }
    assert_eq!(fleet.servers[0].received_at().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuations_in_quick_succession_end_in_their_last_state() {
    let fleet = start_fleet().await;
    let load = Load::start(&fleet.daemon);
    wait_until_used(&fleet.servers[0]).await;
    let mut acknowledged_at = Instant::now();
    for _ in 0..10 {
        fleet.platform.set_evacuated("zone-b", true);
        fleet.platform.set_evacuated("zone-a", false);
        sleep(Duration::from_millis(30)).await;
        fleet.platform.set_evacuated("zone-b", false);
        acknowledged_at = Instant::now();
        fleet.platform.set_evacuated("zone-a", true);
    }
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
    wait_until_used(&fleet.servers[1]).await;
    assert_eq!(evacuated_zones(&fleet.daemon).await, 1.0);
    assert!(load.served() > 0);
}

/// An entry of the operator that can't be read changes nothing, and the others hold.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_without_a_valid_zone_is_logged_and_ignored() {
    let fleet = start_fleet().await;
    for key in ["evacuate/", "evacuate/Zone A"] {
        fleet.platform.put_raw_row(platform::TableName::Operator, key, "{}");
    }
    fleet.platform.set_evacuated("zone-b", true);
    wait_for_zones(&fleet.daemon, 1.0).await;
    eventually("the entries are logged", async || {
        fleet.daemon.log_lines_containing("invalid evacuation").len() == 2
    })
    .await;
    assert_eq!(order(&fleet).await.status, 200);
}

/// A relay and a VM that subscribes to the relays.
struct RelayedFleet {
    platform: FakePlatform,
    servers: Vec<HostedServer>,
    relays: Vec<HostedDaemon>,
    relay_addresses: Vec<std::net::SocketAddr>,
}

impl RelayedFleet {
    async fn start(relay_count: usize) -> Self {
        let servers = start_servers().await;
        let platform = start_platform(&servers).await;
        let relay_addresses: Vec<_> = (0..relay_count).map(|_| free_address()).collect();
        let start = |address: &std::net::SocketAddr| {
            let program = Path::new(DAEMON_PATH);
            HostedDaemon::start_with_relays(program, platform.address(), *address, &relay_addresses)
        };
        let mut relays: Vec<HostedDaemon> = relay_addresses.iter().map(start).collect();
        for relay in &mut relays {
            relay.wait_ready().await;
        }
        Self { platform, servers, relays, relay_addresses }
    }

    /// Starts a subscriber that reads the store at `store`.
    async fn start_subscriber(&self, store: std::net::SocketAddr) -> HostedDaemon {
        let program = Path::new(DAEMON_PATH);
        let relays = &self.relay_addresses;
        let mut daemon = HostedDaemon::start_with_relays(program, store, free_address(), relays);
        daemon.wait_ready().await;
        daemon
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_reaches_a_subscriber_whose_relay_is_killed() {
    let mut fleet = RelayedFleet::start(1).await;
    let subscriber = fleet.start_subscriber(fleet.platform.address()).await;
    let _load = Load::start(&subscriber);
    wait_until_used(&fleet.servers[0]).await;
    fleet.relays[0].kill();
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
    wait_until_used(&fleet.servers[1]).await;
}

/// A frozen relay confirms nothing, and must not confirm the state of before when it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_reaches_a_subscriber_whose_relay_is_frozen() {
    let fleet = RelayedFleet::start(1).await;
    let subscriber = fleet.start_subscriber(fleet.platform.address()).await;
    let _load = Load::start(&subscriber);
    wait_until_used(&fleet.servers[0]).await;
    fleet.relays[0].signal(rustix::process::Signal::STOP);
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    sleep(EVACUATION_BOUND / 2).await;
    fleet.relays[0].signal(rustix::process::Signal::CONT);
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_reaches_a_vm_that_the_store_turns_away() {
    let fleet = RelayedFleet::start(2).await;
    let store_proxy = FaultProxy::start(fleet.platform.address()).await;
    let subscriber = fleet.start_subscriber(store_proxy.address).await;
    let _load = Load::start(&subscriber);
    wait_until_used(&fleet.servers[0]).await;
    store_proxy.partition();
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
    fleet.platform.set_evacuated("zone-a", false);
    wait_until_used(&fleet.servers[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_starts_during_an_evacuation_sends_nothing_there() {
    let fleet = RelayedFleet::start(1).await;
    fleet.platform.set_evacuated("zone-a", true);
    wait_for_zones(&fleet.relays[0], 1.0).await;
    let before = fleet.servers[0].received_at().len();
    // One gets its state from the relay, one from the store alone.
    let subscriber = fleet.start_subscriber(fleet.platform.address()).await;
    let mut alone = HostedDaemon::start(Path::new(DAEMON_PATH), fleet.platform.address());
    alone.wait_ready().await;
    for daemon in [&subscriber, &alone] {
        let load = Load::start(daemon);
        assert_eq!(evacuated_zones(daemon).await, 1.0);
        sleep(WATCH_TIME).await;
        assert!(load.served() > 0);
    }
    assert_eq!(fleet.servers[0].received_at().len(), before);
}

/// Messages of a relay of an earlier version of the daemon, which knows no evacuations.
const OLDER_RECORDING: &str = include_str!("../components/peers/tests/recorded/format-0.txt");

/// Number of subscriptions to a relay of an older version during a test, with a pause that grows to
/// seconds.
const MAX_SUBSCRIPTIONS: u64 = 25;

async fn start_older_relay() -> RecordedRelay {
    let names = ["config", "servers", "keep-alive"];
    let messages = names.map(|name| recorded_message(OLDER_RECORDING, name));
    RecordedRelay::start(messages.to_vec()).await
}

async fn wait_until_left(subscriber: &HostedDaemon) {
    eventually("the relay of an older version is left", async || {
        let lines = subscriber.log_lines_containing("relay: subscription failed");
        lines.iter().any(|line| line["reason"].as_str().is_some_and(is_older_format))
    })
    .await;
}

fn is_older_format(reason: &str) -> bool {
    reason.contains("configuration is of an older format")
}

/// What an older version of the daemon leaves out must not be taken for absent.
#[tokio::test(flavor = "multi_thread")]
async fn vm_whose_only_relay_is_of_an_older_version_reads_the_store() {
    let mut fleet = RelayedFleet::start(0).await;
    let relay = start_older_relay().await;
    fleet.relay_addresses.push(relay.address);
    fleet.platform.set_evacuated("zone-a", true);
    let subscriber = fleet.start_subscriber(fleet.platform.address()).await;
    let load = Load::start(&subscriber);
    wait_until_used(&fleet.servers[1]).await;
    wait_until_left(&subscriber).await;
    assert!(fleet.servers[0].received_at().is_empty());
    // The relay's configuration has a newer version and another route.
    let request = hosted_request(subscriber.callers, "recorded", Method::GET, "/recorded/1", 5_000);
    assert_eq!(call(&request).await.expect("the daemon responds").status, 404);
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", false);
    fleet.platform.set_evacuated("zone-b", true);
    assert_evacuated(&fleet.servers[1], acknowledged_at).await;
    wait_until_used(&fleet.servers[0]).await;
    assert!(load.served() > 0);
    // Each subscription costs the relay its state.
    let subscriptions = relay.subscription_count();
    assert!((1..=MAX_SUBSCRIPTIONS).contains(&subscriptions), "{subscriptions} subscriptions");
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_uses_a_relay_of_its_own_version_beside_older_ones() {
    let mut fleet = RelayedFleet::start(1).await;
    let older = [start_older_relay().await, start_older_relay().await];
    fleet.relay_addresses.extend(older.iter().map(|relay| relay.address));
    let store_proxy = FaultProxy::start(fleet.platform.address()).await;
    store_proxy.partition();
    let subscriber = fleet.start_subscriber(store_proxy.address).await;
    let _load = Load::start(&subscriber);
    wait_until_used(&fleet.servers[0]).await;
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
    wait_until_used(&fleet.servers[1]).await;
}

/// Guards against an evacuation that ends because the store lost it.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_that_an_older_copy_of_the_store_lacks_holds_until_it_is_written_again() {
    let fleet = start_fleet().await;
    let _load = Load::start(&fleet.daemon);
    wait_until_used(&fleet.servers[0]).await;
    let copy = fleet.platform.copy_tables();
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    wait_for_zones(&fleet.daemon, 1.0).await;
    sleep(WATCH_TIME).await;
    fleet.platform.return_from_copy(&copy);
    // The operator writes its entries again a moment after the return.
    sleep(REWRITE_DELAY).await;
    fleet.platform.set_evacuated("zone-a", true);
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
    assert_eq!(evacuated_zones(&fleet.daemon).await, 1.0);
    let ended = fleet.daemon.log_lines_containing("zones: evacuation ended");
    assert!(ended.is_empty(), "{ended:?}");
}

/// An evacuation that the operator doesn't write again ends.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_that_is_not_written_again_ends_after_the_retention() {
    let fleet = start_fleet().await;
    let _load = Load::start(&fleet.daemon);
    let copy = fleet.platform.copy_tables();
    fleet.platform.set_evacuated("zone-a", true);
    wait_for_zones(&fleet.daemon, 1.0).await;
    fleet.platform.return_from_copy(&copy);
    wait_until_used(&fleet.servers[0]).await;
    eventually("the end is logged", async || {
        let ended = fleet.daemon.log_lines_containing("zones: evacuation ended");
        ended.iter().any(|line| line["source"] == "retention")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_holds_through_a_store_outage_and_a_lost_history() {
    let fleet = start_fleet().await;
    let load = Load::start(&fleet.daemon);
    wait_until_used(&fleet.servers[0]).await;
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    wait_for_zones(&fleet.daemon, 1.0).await;
    for outage in [StoreBehaviour::Disconnect, StoreBehaviour::Refuse(429), StoreBehaviour::Hang] {
        fleet.platform.set_behaviour(outage);
        sleep(Duration::from_millis(500)).await;
        fleet.platform.set_behaviour(StoreBehaviour::Serve);
        fleet.platform.compact_history();
    }
    assert_evacuated(&fleet.servers[0], acknowledged_at).await;
    assert!(load.served() > 0);
    fleet.platform.set_behaviour(StoreBehaviour::Disconnect);
    fleet.platform.set_evacuated("zone-a", false);
    fleet.platform.compact_history();
    fleet.platform.set_behaviour(StoreBehaviour::Serve);
    wait_until_used(&fleet.servers[0]).await;
}
