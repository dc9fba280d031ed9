//! On a hosting platform: configuration in force and never back, leaving servers, and a store that
//! is away, silent, stale or writes what can't be read.

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

const DAEMON: &str = env!("CARGO_BIN_EXE_mustardraild");

async fn fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON), count, HostedBehaviour::Run(Duration::ZERO)).await
}

/// A route whose presence shows which configuration is in force.
fn with_route(version: u64, prefix: &str) -> routes::RouteTable {
    let mut routes = standard_routes();
    routes.push(hosted_route(prefix, ExecutionSemantics::Idempotent, &[("orders", 1)]));
    hosted_config(version, routes)
}

async fn status_of(fleet: &HostedFleet, path: &str) -> u16 {
    call(&fleet.request(hyper::Method::GET, path)).await.expect("answered").status
}

async fn wait_for(fleet: &HostedFleet, path: &str, status: u16) {
    eventually(&format!("{path} is answered {status}"), async || {
        status_of(fleet, path).await == status
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_configuration_is_not_ready_and_says_when_to_come_back() {
    let platform = FakePlatform::start().await;
    let daemon = HostedDaemon::start(Path::new(DAEMON), platform.address());
    eventually("readiness is answered", async || daemon.readiness_status().await.is_some()).await;
    assert_eq!(daemon.readiness_status().await, Some(503));
    let request = testkit::CallRequest::get(daemon.callers, HOSTED_HOST, "/read/1");
    let answer = call(&request).await.expect("answered");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").parse::<f64>().is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_comes_into_force_and_an_older_one_never() {
    let fleet = fleet(1).await;
    assert_eq!(status_of(&fleet, "/new/1").await, 404);
    fleet.platform.put_config(&with_route(7, "/new/"));
    wait_for(&fleet, "/new/1", 200).await;
    // Each is read on its own: the store gives only the newest row of a key.
    fleet.platform.put_config(&hosted_config(5, standard_routes()));
    wait_store_read(&fleet).await;
    assert_eq!(status_of(&fleet, "/new/1").await, 200);
    fleet.platform.put_config(&with_route(7, "/other/"));
    wait_store_read(&fleet).await;
    assert_eq!(status_of(&fleet, "/other/1").await, 404);
    fleet.platform.put_raw_row(TableName::Operator, "config", "{\"version\":");
    wait_store_read(&fleet).await;
    assert_eq!(status_of(&fleet, "/new/1").await, 200);
    fleet.platform.put_config(&with_route(9, "/other/"));
    wait_for(&fleet, "/other/1", 200).await;
}

/// Waits until the daemon has read both tables again: each is asked for about once a second, and a
/// changed one answers at once.
async fn wait_store_read(fleet: &HostedFleet) {
    let calls = async || read_metric(fleet.daemon.metrics, "mustardrail_store_calls_total").await;
    let before = calls().await;
    eventually("six more calls are made", async || calls().await >= before + 6.0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn weights_hold_over_few_requests_also_while_one_part_sheds() {
    let fleet = fleet(2).await;
    let second = HostedServer::start("t-0", "trials", HostedBehaviour::Run(Duration::ZERO)).await;
    fleet.platform.put_server(&second.record);
    let mut routes = standard_routes();
    routes.push(hosted_route(
        "/split/",
        ExecutionSemantics::Once,
        &[("orders", 80), ("trials", 20)],
    ));
    fleet.platform.put_config(&hosted_config(2, routes));
    eventually("both parts get requests", async || {
        status_of(&fleet, "/split/1").await;
        second.request_count() > 0
    })
    .await;

    let before = second.request_count();
    for _ in 0..100 {
        assert_eq!(status_of(&fleet, "/split/1").await, 200);
    }
    let share = second.request_count() - before;
    assert!((19..=21).contains(&share), "{share} of 100");

    second.set_behaviour(HostedBehaviour::Shed);
    let before = fleet.runs().len();
    for _ in 0..100 {
        status_of(&fleet, "/split/1").await;
    }
    let served = fleet.runs().len() - before;
    assert!((79..=81).contains(&served), "{served} of 100");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_at_its_routes_timeout_and_a_cancelled_one_stops_its_server() {
    let fleet = fleet(1).await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(60)));
    let mut routes = standard_routes();
    for route in &mut routes {
        route.timeout = Duration::from_millis(500);
    }
    fleet.platform.put_config(&hosted_config(2, routes));
    let mut order = fleet.order_request("one stone");
    // The configuration before lets the first ones stay for longer.
    eventually("orders end at the timeout", async || {
        order = fleet.order_request("one stone");
        order.timeout = Duration::from_secs(2);
        call(&order).await.is_ok_and(|answer| answer.status == 504)
    })
    .await;
    assert_eq!(fleet.run_count(&order), 1);
    eventually("its server has stopped", async || fleet.runs().iter().all(|run| run.is_cancelled))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_stops_its_server() {
    let fleet = fleet(1).await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(60)));
    let mut lookup = fleet.idempotent_request();
    lookup.timeout = Duration::from_millis(500);
    assert!(call(&lookup).await.is_err());
    eventually("its server has stopped", async || {
        let runs = fleet.runs();
        !runs.is_empty() && runs.iter().all(|run| run.is_cancelled)
    })
    .await;
}

/// Requests that show that one of three servers is out of use: by chance, this many would miss it once
/// in 10^10 runs.
const TELLING_REQUESTS: usize = 60;

/// Waits until a server gets no requests, and checks that it stays so.
async fn wait_unused(fleet: &HostedFleet, server: &HostedServer) {
    eventually("the server gets no requests", async || {
        let before = server.request_count();
        for _ in 0..TELLING_REQUESTS {
            assert_eq!(
                call(&fleet.order_request("one stone")).await.expect("answered").status,
                200
            );
        }
        server.request_count() == before
    })
    .await;
    let before = server.request_count();
    for _ in 0..30 {
        assert_eq!(call(&fleet.order_request("one stone")).await.expect("answered").status, 200);
    }
    assert_eq!(server.request_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_and_removed_servers_get_no_requests() {
    let fleet = fleet(3).await;
    let leaving = fleet.servers[0].record.clone();
    fleet.platform.put_server(&ServerRecord { is_leaving: true, sequence: 5, ..leaving.clone() });
    wait_unused(&fleet, &fleet.servers[0]).await;
    // A heartbeat from before it began to leave comes late.
    fleet.platform.put_server(&ServerRecord { sequence: 4, ..leaving });
    fleet.platform.remove_server("s-1");
    wait_unused(&fleet, &fleet.servers[1]).await;
    let before = fleet.servers[0].request_count();
    for _ in 0..20 {
        call(&fleet.idempotent_request()).await.expect("answered");
    }
    assert_eq!(fleet.servers[0].request_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_can_not_be_read_name_no_server_and_harm_no_other() {
    let fleet = fleet(1).await;
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
        assert_eq!(call(&fleet.order_request("one stone")).await.expect("answered").status, 200);
        !added.runs().is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_life_under_the_same_identity_gets_requests() {
    let mut fleet = fleet(1).await;
    let reborn = HostedServer::start("s-0", "orders", HostedBehaviour::Run(Duration::ZERO)).await;
    let record = ServerRecord { started_at_ms: 2, sequence: 1, ..reborn.record.clone() };
    fleet.platform.put_server(&record);
    fleet.servers.clear();
    eventually("the new life gets requests", async || {
        call(&fleet.order_request("one stone")).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    assert!(!reborn.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_while_the_store_is_away_and_news_come_after_its_return() {
    let outages = [
        StoreBehaviour::Disconnect,
        StoreBehaviour::Refuse(503),
        StoreBehaviour::Refuse(429),
        StoreBehaviour::Hang,
    ];
    let fleet = fleet(1).await;
    for (number, outage) in (2..).zip(outages) {
        fleet.platform.set_behaviour(outage);
        fleet.platform.put_config(&with_route(number, &format!("/v{number}/")));
        for _ in 0..20 {
            assert_eq!(
                call(&fleet.order_request("one stone")).await.expect("answered").status,
                200
            );
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(fleet.daemon.readiness_status().await, Some(200));
        // Calls that were pending in the outage are never answered.
        fleet.platform.set_behaviour(StoreBehaviour::Serve);
        wait_for(&fleet, &format!("/v{number}/1"), 200).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn after_lost_history_a_listing_older_than_what_is_known_is_asked_for_again() {
    let fleet = fleet(2).await;
    fleet.platform.serve_stale_listing_once();
    let leaving = ServerRecord { is_leaving: true, sequence: 2, ..fleet.servers[0].record.clone() };
    fleet.platform.put_server(&leaving);
    wait_unused(&fleet, &fleet.servers[0]).await;
    fleet.platform.compact_history();
    fleet.platform.put_config(&with_route(2, "/after/"));
    wait_for(&fleet, "/after/1", 200).await;
    wait_unused(&fleet, &fleet.servers[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_serves_again_from_what_the_store_holds() {
    let mut fleet = fleet(1).await;
    fleet.platform.put_config(&with_route(4, "/new/"));
    fleet.daemon.kill();
    fleet.daemon = HostedDaemon::start(Path::new(DAEMON), fleet.platform.address());
    fleet.daemon.wait_ready().await;
    assert_eq!(status_of(&fleet, "/new/1").await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn subscribers_of_a_relay_learn_through_it_and_without_it() {
    let mut relay = fleet(2).await;
    let relay_address = testkit::free_address();
    let store = relay.platform.address();
    let program = Path::new(DAEMON);
    relay.daemon = HostedDaemon::start_with_relays(program, store, relay_address, &[relay_address]);
    relay.daemon.wait_ready().await;
    let mut subscriber =
        HostedDaemon::start_with_relays(program, store, testkit::free_address(), &[relay_address]);
    subscriber.wait_ready().await;

    // What the relay reads reaches the subscriber.
    let first = std::mem::replace(&mut relay.daemon, subscriber);
    relay.platform.put_config(&with_route(2, "/one/"));
    wait_for(&relay, "/one/1", 200).await;
    let leaving = relay.servers[0].record.clone();
    relay.platform.put_server(&ServerRecord { is_leaving: true, sequence: 2, ..leaving });
    wait_unused(&relay, &relay.servers[0]).await;

    // A frozen relay is silent; the subscriber reads the store itself.
    first.signal(rustix::process::Signal::STOP);
    relay.platform.put_config(&with_route(3, "/two/"));
    wait_for(&relay, "/two/1", 200).await;
    first.signal(rustix::process::Signal::CONT);

    // A relay that the store refuses knows that its knowledge is old; a dead one is gone.
    drop(first);
    relay.platform.put_config(&with_route(4, "/three/"));
    wait_for(&relay, "/three/1", 200).await;
}

/// A VM whose own way to the store is silent from the start learns all from relays, and goes over to
/// another one when its relay dies.
#[tokio::test(flavor = "multi_thread")]
async fn a_subscriber_learns_from_another_relay_when_its_own_dies() {
    let mut fleet = fleet(2).await;
    let store = fleet.platform.address();
    let program = Path::new(DAEMON);
    let addresses = [testkit::free_address(), testkit::free_address()];
    let mut relays: Vec<HostedDaemon> = addresses
        .iter()
        .map(|address| HostedDaemon::start_with_relays(program, store, *address, &addresses))
        .collect();
    for relay in &mut relays {
        relay.wait_ready().await;
    }
    let silent = FaultProxy::start(store).await;
    silent.partition();
    let own = testkit::free_address();
    fleet.daemon = HostedDaemon::start_with_relays(program, silent.address, own, &addresses);
    fleet.daemon.wait_ready().await;
    fleet.platform.put_config(&with_route(2, "/one/"));
    wait_for(&fleet, "/one/1", 200).await;

    // The log is written some time after what it tells.
    let is_told = async || subscribed_to(&fleet.daemon).is_some();
    eventually("the subscription is logged", is_told).await;
    let followed = subscribed_to(&fleet.daemon).expect("it is logged");
    let index = addresses.iter().position(|address| *address == followed);
    relays[index.expect("it is one of the relays")].kill();
    fleet.platform.put_config(&with_route(3, "/two/"));
    wait_for(&fleet, "/two/1", 200).await;
    let leaving = fleet.servers[0].record.clone();
    fleet.platform.put_server(&ServerRecord { is_leaving: true, sequence: 2, ..leaving });
    wait_unused(&fleet, &fleet.servers[0]).await;
    eventually("the other subscription is logged", async || {
        subscribed_to(&fleet.daemon) != Some(followed)
    })
    .await;
}

/// The relay that a daemon subscribed to last.
fn subscribed_to(daemon: &HostedDaemon) -> Option<std::net::SocketAddr> {
    let lines = daemon.log_lines_containing("relay: subscribed");
    lines.last()?["relay"].as_str()?.parse().ok()
}
