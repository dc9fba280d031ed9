//! On a hosting platform: a large configuration over a link that needs longer for it than any
//! single call may be silent.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::Method;
use routes::ExecutionSemantics;
use testkit::{
    FakePlatform, FaultProxy, HostedBehaviour, HostedDaemon, HostedServer, call, eventually,
    free_address, hosted_config, hosted_request, hosted_route, standard_routes,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Routes that a large configuration adds.
const ADDED_ROUTES: u64 = 1_000;

/// Bandwidth of the link to the store, which sends the configuration uncompressed, in bytes per
/// second.
const STORE_BANDWIDTH: u64 = 100_000;

/// Bandwidth of the link to the relay, in bytes per second.
const RELAY_BANDWIDTH: u64 = 8_000;

/// Returns the prefix of a route that hardly compresses.
fn prefix(number: u64) -> String {
    // The multiplier of a linear congruential generator.
    format!("/{:016x}/", (number + 1).wrapping_mul(0x5851_f42d_4c95_7f2d))
}

fn large_config(version: u64) -> routes::RouteTable {
    let mut routes = standard_routes();
    routes.extend((0..ADDED_ROUTES).map(|number| {
        hosted_route(&prefix(number), ExecutionSemantics::Idempotent, &[("orders", 1)])
    }));
    hosted_config(version, routes)
}

async fn start_platform() -> (FakePlatform, HostedServer) {
    let server = HostedServer::start("s-0", "orders", HostedBehaviour::Run(Duration::ZERO)).await;
    let platform = FakePlatform::start().await;
    platform.put_server(&server.record);
    (platform, server)
}

async fn wait_until_served(callers: SocketAddr, path: &str) {
    eventually(&format!("{path} is served"), async || {
        let request = hosted_request(callers, "request-1", Method::GET, path, 20_000);
        call(&request).await.is_ok_and(|response| response.status == 200)
    })
    .await;
}

/// Guards against calls to the store that are canceled while their response is still arriving.
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_arrives_over_a_slow_link_to_the_store() {
    let (platform, _server) = start_platform().await;
    platform.put_config(&large_config(1));
    let link = FaultProxy::start(platform.address()).await;
    link.limit_bandwidth(STORE_BANDWIDTH);
    let mut daemon = HostedDaemon::start(Path::new(DAEMON_PATH), link.address);
    daemon.wait_ready().await;
    wait_until_served(daemon.callers, &prefix(ADDED_ROUTES - 1)).await;
}

/// Guards against subscriptions that are ended while a message of the relay is still arriving.
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_arrives_over_a_slow_link_to_the_relay() {
    let (platform, _server) = start_platform().await;
    platform.put_config(&hosted_config(1, standard_routes()));
    let program = Path::new(DAEMON_PATH);
    let relay_address = free_address();
    let mut relay = HostedDaemon::start_with_relays(
        program,
        platform.address(),
        relay_address,
        &[relay_address],
    );
    relay.wait_ready().await;
    let relay_link = FaultProxy::start(relay_address).await;
    relay_link.limit_bandwidth(RELAY_BANDWIDTH);
    let store_link = FaultProxy::start(platform.address()).await;
    store_link.partition();
    let mut subscriber = HostedDaemon::start_with_relays(
        program,
        store_link.address,
        free_address(),
        &[relay_link.address],
    );
    subscriber.wait_ready().await;
    wait_until_served(subscriber.callers, "/read/1").await;
    platform.put_config(&large_config(2));
    wait_until_served(subscriber.callers, &prefix(ADDED_ROUTES - 1)).await;
}
