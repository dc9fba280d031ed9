//! Entry VMs of an earlier version beside those of this one, while one replaces the other.
//!
//! By hand, since an earlier version has to be built first:
//! `MUSTARDRAIL_OLDER_DAEMON=PATH cargo test --test mixed_versions -- --ignored`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hyper::Method;
use testkit::{
    FakePlatform, FaultProxy, HostedBehaviour, HostedDaemon, HostedServer, call, eventually,
    free_address, hosted_config, hosted_request, hosted_route, standard_routes,
};
use tokio::time::{Instant, sleep};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Name of the variable with the path of the earlier version's executable.
const OLDER_DAEMON: &str = "MUSTARDRAIL_OLDER_DAEMON";

/// Time after its acknowledgement from which an evacuation must hold.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

const WATCH_TIME: Duration = Duration::from_secs(3);

/// Longest time without a response while a configuration is awaited, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

fn older_path() -> PathBuf {
    std::env::var_os(OLDER_DAEMON)
        .unwrap_or_else(|| panic!("{OLDER_DAEMON} must name the executable of an earlier version"))
        .into()
}

struct MixedFleet {
    platform: FakePlatform,
    servers: Vec<HostedServer>,
    relay: HostedDaemon,
    relay_address: SocketAddr,
}

impl MixedFleet {
    /// Starts a platform with a server in each of two zones, and a relay of one version.
    async fn start(relay_program: &Path) -> Self {
        let platform = FakePlatform::start().await;
        platform.put_config(&hosted_config(1, standard_routes()));
        let mut servers = Vec::new();
        for (id, zone) in [("s-0", "zone-a"), ("s-1", "zone-b")] {
            let behaviour = HostedBehaviour::Run(Duration::from_millis(5));
            let mut server = HostedServer::start(id, "orders", behaviour).await;
            server.record.zone = zone.parse().expect("the name is valid");
            platform.put_server(&server.record);
            servers.push(server);
        }
        let relay_address = free_address();
        let store = platform.address();
        let mut relay =
            HostedDaemon::start_with_relays(relay_program, store, relay_address, &[relay_address]);
        relay.wait_ready().await;
        Self { platform, servers, relay, relay_address }
    }

    /// Starts a subscriber of one version that reads the store at `store`.
    async fn start_subscriber(&self, program: &Path, store: SocketAddr) -> HostedDaemon {
        let relays = [self.relay_address];
        let mut daemon = HostedDaemon::start_with_relays(program, store, free_address(), &relays);
        daemon.wait_ready().await;
        daemon
    }

    /// Changes the configuration and waits until a daemon applies it.
    async fn change_config(&self, daemon: &HostedDaemon, version: u64) {
        let prefix = format!("/v{version}/");
        let mut routes = standard_routes();
        let execution = routes::ExecutionSemantics::Idempotent;
        routes.push(hosted_route(&prefix, execution, &[("orders", 1)]));
        self.platform.put_config(&hosted_config(version, routes));
        eventually("the configuration is in force", async || {
            status(daemon, &format!("{prefix}1")).await == 200
        })
        .await;
    }
}

async fn status(daemon: &HostedDaemon, path: &str) -> u16 {
    let request = hosted_request(daemon.callers, "mixed", Method::GET, path, DEADLINE_MS);
    call(&request).await.map_or(0, |response| response.status)
}

/// Sends requests until `until`; returns how many were served.
async fn send_until(daemon: &HostedDaemon, until: Instant) -> u64 {
    let mut served = 0;
    while Instant::now() < until {
        served += u64::from(status(daemon, "/read/1").await == 200);
        sleep(Duration::from_millis(2)).await;
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "needs the executable of an earlier version"]
async fn newer_vm_beside_an_older_relay_obeys_evacuations() {
    let fleet = MixedFleet::start(&older_path()).await;
    let store = fleet.platform.address();
    let newer = fleet.start_subscriber(Path::new(DAEMON_PATH), store).await;
    fleet.change_config(&newer, 2).await;
    let acknowledged_at = Instant::now();
    fleet.platform.set_evacuated("zone-a", true);
    let until = acknowledged_at + EVACUATION_BOUND;
    assert!(send_until(&newer, until + WATCH_TIME).await > 0);
    let late = fleet.servers[0].received_at().into_iter().filter(|at| *at > until).count();
    assert_eq!(late, 0);
    eventually("the relay is left", async || {
        let ended = newer.log_lines_containing("configuration is of an older format");
        !ended.is_empty()
    })
    .await;
}

/// An older VM stays subscribed: it never gets a message that it doesn't know. It doesn't obey the
/// evacuation.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "needs the executable of an earlier version"]
async fn older_vm_stays_subscribed_to_a_newer_relay() {
    let fleet = MixedFleet::start(Path::new(DAEMON_PATH)).await;
    let store = FaultProxy::start(fleet.platform.address()).await;
    store.partition();
    // All that it knows comes from the relay.
    let older = fleet.start_subscriber(&older_path(), store.address).await;
    for version in 2..5 {
        fleet.platform.set_evacuated("zone-a", version % 2 == 0);
        fleet.change_config(&older, version).await;
    }
    assert!(send_until(&older, Instant::now() + WATCH_TIME).await > 0);
    let count = |text: &str| older.log_lines_containing(text).len();
    assert_eq!((count("relay: subscribed"), count("relay: subscription failed")), (1, 0));
    let ended = fleet.relay.log_lines_containing("relay: subscriber disconnected");
    assert!(ended.is_empty(), "{ended:?}");
}
