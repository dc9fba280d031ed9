//! On a hosting platform: configuration changes that are never reverted, leaving servers, and a
//! store that is unreachable, does not respond, or returns stale or malformed rows.

use std::path::Path;
use std::time::Duration;

use platform::TableName;
use routes::{ExecutionSemantics, ServerRecord};
use testkit::{
    FakePlatform, FaultProxy, HOSTED_HOST, HostedBehaviour, HostedDaemon, HostedFleet,
    HostedServer, StoreBehaviour, call, eventually, hosted_config, hosted_route, read_metric,
    standard_routes,
};
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

async fn start_fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON_PATH), count, HostedBehaviour::Run(Duration::ZERO)).await
}

/// Builds a configuration with an additional route, by which tests detect that it is in force.
fn config_with_route(version: u64, prefix: &str) -> routes::RouteTable {
    let mut routes = standard_routes();
    routes.push(hosted_route(prefix, ExecutionSemantics::Idempotent, &[("orders", 1)]));
    hosted_config(version, routes)
}

async fn fetch_status(fleet: &HostedFleet, path: &str) -> u16 {
    call(&fleet.request(hyper::Method::GET, path)).await.expect("the daemon responds").status
}

async fn wait_for_status(fleet: &HostedFleet, path: &str, status: u16) {
    eventually(&format!("{path} returns status {status}"), async || {
        fetch_status(fleet, path).await == status
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_without_configuration_is_not_ready_and_sends_retry_after() {
    let platform = FakePlatform::start().await;
    let daemon = HostedDaemon::start(Path::new(DAEMON_PATH), platform.address());
    eventually("the readiness endpoint responds", async || {
        daemon.readiness_status().await.is_some()
    })
    .await;
    assert_eq!(daemon.readiness_status().await, Some(503));
    let request = testkit::CallRequest::get(daemon.callers, HOSTED_HOST, "/read/1");
    let response = call(&request).await.expect("the daemon responds");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").parse::<f64>().is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn newer_configuration_takes_effect_and_older_or_malformed_one_does_not() {
    let fleet = start_fleet(1).await;
    assert_eq!(fetch_status(&fleet, "/new/1").await, 404);
    fleet.platform.put_config(&config_with_route(7, "/new/"));
    wait_for_status(&fleet, "/new/1", 200).await;
    // The daemon must read each row before the next is written: the store returns only the newest
    // row of a key.
    fleet.platform.put_config(&hosted_config(5, standard_routes()));
    wait_for_store_reads(&fleet).await;
    assert_eq!(fetch_status(&fleet, "/new/1").await, 200);
    fleet.platform.put_config(&config_with_route(7, "/other/"));
    wait_for_store_reads(&fleet).await;
    assert_eq!(fetch_status(&fleet, "/other/1").await, 404);
    fleet.platform.put_raw_row(TableName::Operator, "config", "{\"version\":");
    wait_for_store_reads(&fleet).await;
    assert_eq!(fetch_status(&fleet, "/new/1").await, 200);
    fleet.platform.put_config(&config_with_route(9, "/other/"));
    wait_for_status(&fleet, "/other/1", 200).await;
}

/// Waits until the daemon has read both tables again. It queries each table about once per second,
/// and the store responds at once if the table has changed.
async fn wait_for_store_reads(fleet: &HostedFleet) {
    let call_count =
        async || read_metric(fleet.daemon.metrics, "mustardrail_store_calls_total").await;
    let before = call_count().await;
    eventually("the daemon makes six more calls to the store", async || {
        call_count().await >= before + 6.0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn traffic_split_matches_weights_even_while_one_service_sheds() {
    let fleet = start_fleet(2).await;
    let other_service =
        HostedServer::start("t-0", "trials", HostedBehaviour::Run(Duration::ZERO)).await;
    fleet.platform.put_server(&other_service.record);
    let mut routes = standard_routes();
    routes.push(hosted_route(
        "/split/",
        ExecutionSemantics::Once,
        &[("orders", 80), ("trials", 20)],
    ));
    fleet.platform.put_config(&hosted_config(2, routes));
    eventually("both services get requests", async || {
        fetch_status(&fleet, "/split/1").await;
        other_service.request_count() > 0
    })
    .await;

    let before = other_service.request_count();
    for _ in 0..100 {
        assert_eq!(fetch_status(&fleet, "/split/1").await, 200);
    }
    let arrival_count = other_service.request_count() - before;
    assert!(
        (19..=21).contains(&arrival_count),
        "{arrival_count} of 100 requests at the second service"
    );

    other_service.set_behaviour(HostedBehaviour::Shed);
    let before = fleet.runs().len();
    for _ in 0..100 {
        fetch_status(&fleet, "/split/1").await;
    }
    let run_count = fleet.runs().len() - before;
    assert!((79..=81).contains(&run_count), "{run_count} of 100 requests ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_past_its_route_timeout_returns_504_and_is_cancelled_at_its_server() {
    let fleet = start_fleet(1).await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(60)));
    let mut routes = standard_routes();
    for route in &mut routes {
        route.timeout = Duration::from_millis(500);
    }
    fleet.platform.put_config(&hosted_config(2, routes));
    let mut order = fleet.order_request("one stone");
    // The previous configuration has a longer timeout, which may still apply to the first orders.
    eventually("orders fail at the timeout", async || {
        order = fleet.order_request("one stone");
        order.timeout = Duration::from_secs(2);
        call(&order).await.is_ok_and(|response| response.status == 504)
    })
    .await;
    assert_eq!(fleet.run_count(&order), 1);
    eventually("the server has cancelled the request", async || {
        fleet.runs().iter().all(|run| run.is_cancelled)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_the_request_at_its_server() {
    let fleet = start_fleet(1).await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(60)));
    let mut request = fleet.idempotent_request();
    request.timeout = Duration::from_millis(500);
    assert!(call(&request).await.is_err());
    eventually("the server has cancelled the request", async || {
        let runs = fleet.runs();
        !runs.is_empty() && runs.iter().all(|run| run.is_cancelled)
    })
    .await;
}

/// Number of requests that shows that one of three servers is unused. By chance, this many requests
/// would all go to the other two servers once in 10^10 runs.
const SAMPLE_REQUESTS: usize = 60;

/// Waits until a server gets no requests, then checks that it gets none of the next requests
/// either.
async fn wait_until_unused(fleet: &HostedFleet, server: &HostedServer) {
    eventually("the server gets no requests", async || {
        let before = server.request_count();
        for _ in 0..SAMPLE_REQUESTS {
            assert_eq!(
                call(&fleet.order_request("one stone")).await.expect("the daemon responds").status,
                200
            );
        }
        server.request_count() == before
    })
    .await;
    let before = server.request_count();
    for _ in 0..30 {
        assert_eq!(
            call(&fleet.order_request("one stone")).await.expect("the daemon responds").status,
            200
        );
    }
    assert_eq!(server.request_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_and_removed_servers_get_no_requests() {
    let fleet = start_fleet(3).await;
    let leaving = fleet.servers[0].record.clone();
    fleet.platform.put_server(&ServerRecord { is_leaving: true, sequence: 5, ..leaving.clone() });
    wait_until_unused(&fleet, &fleet.servers[0]).await;
    // A heartbeat from before the server started to leave arrives late.
    fleet.platform.put_server(&ServerRecord { sequence: 4, ..leaving });
    fleet.platform.remove_server("s-1");
    wait_until_unused(&fleet, &fleet.servers[1]).await;
    let before = fleet.servers[0].request_count();
    for _ in 0..20 {
        call(&fleet.idempotent_request()).await.expect("the daemon responds");
    }
    assert_eq!(fleet.servers[0].request_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_server_entries_are_ignored_without_affecting_others() {
    let fleet = start_fleet(1).await;
    for (key, value) in [
        ("broken", "{\"address\":"),
        ("no-address", "{\"info\":{},\"status\":{}}"),
        ("Strange Key!", "[]"),
        ("numbers", "{\"address\":7}"),
    ] {
        fleet.platform.put_raw_row(TableName::Servers, key, value);
    }
    let added = HostedServer::start("s-9", "orders", HostedBehaviour::Run(Duration::ZERO)).await;
    fleet.platform.put_server(&added.record);
    eventually("the new server gets requests", async || {
        assert_eq!(
            call(&fleet.order_request("one stone")).await.expect("the daemon responds").status,
            200
        );
        !added.runs().is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_server_with_the_same_id_gets_requests() {
    let mut fleet = start_fleet(1).await;
    let restarted =
        HostedServer::start("s-0", "orders", HostedBehaviour::Run(Duration::ZERO)).await;
    let record = ServerRecord { started_at_ms: 2, sequence: 1, ..restarted.record.clone() };
    fleet.platform.put_server(&record);
    fleet.servers.clear();
    eventually("the restarted server gets requests", async || {
        call(&fleet.order_request("one stone")).await.is_ok_and(|response| response.status == 200)
    })
    .await;
    assert!(!restarted.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_succeed_during_store_outage_and_updates_apply_after_it() {
    let outages = [
        StoreBehaviour::Disconnect,
        StoreBehaviour::Refuse(503),
        StoreBehaviour::Refuse(429),
        StoreBehaviour::Hang,
    ];
    let fleet = start_fleet(1).await;
    for (version, outage) in (2..).zip(outages) {
        fleet.platform.set_behaviour(outage);
        fleet.platform.put_config(&config_with_route(version, &format!("/v{version}/")));
        for _ in 0..20 {
            assert_eq!(
                call(&fleet.order_request("one stone")).await.expect("the daemon responds").status,
                200
            );
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(fleet.daemon.readiness_status().await, Some(200));
        // The store never responds to calls that were pending during the outage.
        fleet.platform.set_behaviour(StoreBehaviour::Serve);
        wait_for_status(&fleet, &format!("/v{version}/1"), 200).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_listing_after_lost_history_does_not_reactivate_leaving_server() {
    let fleet = start_fleet(2).await;
    fleet.platform.serve_stale_listing_once();
    let leaving = ServerRecord { is_leaving: true, sequence: 2, ..fleet.servers[0].record.clone() };
    fleet.platform.put_server(&leaving);
    wait_until_unused(&fleet, &fleet.servers[0]).await;
    fleet.platform.compact_history();
    fleet.platform.put_config(&config_with_route(2, "/after/"));
    wait_for_status(&fleet, "/after/1", 200).await;
    wait_until_unused(&fleet, &fleet.servers[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_restarts_with_the_state_in_the_store() {
    let mut fleet = start_fleet(1).await;
    fleet.platform.put_config(&config_with_route(4, "/new/"));
    fleet.daemon.kill();
    fleet.daemon = HostedDaemon::start(Path::new(DAEMON_PATH), fleet.platform.address());
    fleet.daemon.wait_ready().await;
    assert_eq!(fetch_status(&fleet, "/new/1").await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn subscriber_receives_updates_with_and_without_its_relay() {
    let mut fleet = start_fleet(2).await;
    let relay_address = testkit::free_address();
    let store = fleet.platform.address();
    let program = Path::new(DAEMON_PATH);
    fleet.daemon = HostedDaemon::start_with_relays(program, store, relay_address, &[relay_address]);
    fleet.daemon.wait_ready().await;
    let mut subscriber =
        HostedDaemon::start_with_relays(program, store, testkit::free_address(), &[relay_address]);
    subscriber.wait_ready().await;

    // The subscriber receives what the relay reads.
    let relay = std::mem::replace(&mut fleet.daemon, subscriber);
    fleet.platform.put_config(&config_with_route(2, "/one/"));
    wait_for_status(&fleet, "/one/1", 200).await;
    let leaving = fleet.servers[0].record.clone();
    fleet.platform.put_server(&ServerRecord { is_leaving: true, sequence: 2, ..leaving });
    wait_until_unused(&fleet, &fleet.servers[0]).await;

    // A suspended relay sends nothing, so the subscriber reads the store itself.
    relay.signal(rustix::process::Signal::STOP);
    fleet.platform.put_config(&config_with_route(3, "/two/"));
    wait_for_status(&fleet, "/two/1", 200).await;
    relay.signal(rustix::process::Signal::CONT);

    // A stopped relay sends nothing either, so the subscriber reads the store itself. A relay that
    // only loses the store would know that its data is stale.
    drop(relay);
    fleet.platform.put_config(&config_with_route(4, "/three/"));
    wait_for_status(&fleet, "/three/1", 200).await;
}

/// A VM that can't reach the store from the start gets all updates from relays, and subscribes to
/// another relay when its current one stops.
#[tokio::test(flavor = "multi_thread")]
async fn subscriber_switches_to_another_relay_when_its_own_stops() {
    let mut fleet = start_fleet(2).await;
    let store = fleet.platform.address();
    let program = Path::new(DAEMON_PATH);
    let addresses = [testkit::free_address(), testkit::free_address()];
    let mut relays: Vec<HostedDaemon> = addresses
        .iter()
        .map(|address| HostedDaemon::start_with_relays(program, store, *address, &addresses))
        .collect();
    for relay in &mut relays {
        relay.wait_ready().await;
    }
    let store_proxy = FaultProxy::start(store).await;
    store_proxy.partition();
    let peer_address = testkit::free_address();
    fleet.daemon =
        HostedDaemon::start_with_relays(program, store_proxy.address, peer_address, &addresses);
    fleet.daemon.wait_ready().await;
    fleet.platform.put_config(&config_with_route(2, "/one/"));
    wait_for_status(&fleet, "/one/1", 200).await;

    // Log lines are written with a delay after the event.
    let has_subscription = async || last_subscribed_relay(&fleet.daemon).is_some();
    eventually("the subscription is logged", has_subscription).await;
    let current_relay = last_subscribed_relay(&fleet.daemon).expect("the subscription is logged");
    let index = addresses.iter().position(|address| *address == current_relay);
    relays[index.expect("the daemon subscribes to one of the relays")].kill();
    fleet.platform.put_config(&config_with_route(3, "/two/"));
    wait_for_status(&fleet, "/two/1", 200).await;
    let leaving = fleet.servers[0].record.clone();
    fleet.platform.put_server(&ServerRecord { is_leaving: true, sequence: 2, ..leaving });
    wait_until_unused(&fleet, &fleet.servers[0]).await;
    eventually("the other subscription is logged", async || {
        last_subscribed_relay(&fleet.daemon) != Some(current_relay)
    })
    .await;
}

/// Returns the relay that a daemon subscribed to last, according to its log.
fn last_subscribed_relay(daemon: &HostedDaemon) -> Option<std::net::SocketAddr> {
    let lines = daemon.log_lines_containing("relay: subscribed");
    lines.last()?["relay"].as_str()?.parse().ok()
}
