//! On a hosting platform: the store returns from an older copy, and gives its versions out again.

use std::path::Path;
use std::time::Duration;

use routes::ServerRecord;
use testkit::{
    HostedBehaviour, HostedDaemon, HostedFleet, HostedServer, StoreBehaviour, TableCopy, call,
    eventually, free_address, hosted_config, standard_routes,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Changes that the store loses, more than are written after its return.
const LOST_CHANGES: u64 = 20;

async fn start_fleet() -> HostedFleet {
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    HostedFleet::start(Path::new(DAEMON_PATH), 2, behaviour).await
}

async fn start_server(id: &str) -> HostedServer {
    HostedServer::start(id, "orders", HostedBehaviour::Run(Duration::ZERO)).await
}

/// Sends requests until the server has received one.
async fn wait_until_used(fleet: &HostedFleet, server: &HostedServer) {
    let before = server.request_count();
    eventually("the server gets a request", async || {
        // A refused request is sent again by the loop.
        let _ = call(&fleet.idempotent_request()).await;
        server.request_count() > before
    })
    .await;
}

/// Adds a server and sends requests until it has received one.
async fn add_and_use_server(fleet: &HostedFleet, id: &str) -> HostedServer {
    let server = start_server(id).await;
    fleet.platform.put_server(&server.record);
    wait_until_used(fleet, &server).await;
    server
}

/// Sends requests until the server gets none of 30.
async fn wait_until_unused(fleet: &HostedFleet, server: &HostedServer) {
    eventually("the server gets no more requests", async || {
        let before = server.request_count();
        for _ in 0..30 {
            assert_eq!(call(&fleet.idempotent_request()).await.expect("a response").status, 200);
        }
        server.request_count() == before
    })
    .await;
}

/// Writes changes that the copy won't have, and waits until the daemon has them.
async fn write_lost_changes(fleet: &HostedFleet) {
    let record = &fleet.servers[1].record;
    for sequence in 2..2 + LOST_CHANGES {
        fleet.platform.put_server(&ServerRecord { sequence, ..record.clone() });
    }
    let lost_server = add_and_use_server(fleet, "lost").await;
    fleet.platform.remove_server("lost");
    wait_until_unused(fleet, &lost_server).await;
}

async fn return_from_copy(fleet: &HostedFleet, copy: &TableCopy) {
    fleet.platform.set_behaviour(StoreBehaviour::Disconnect);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.return_from_copy(copy);
    fleet.platform.set_behaviour(StoreBehaviour::Serve);
}

/// Guards against a list of servers that is frozen until the versions have passed their old values.
#[tokio::test(flavor = "multi_thread")]
async fn changes_after_the_return_of_an_older_copy_take_effect() {
    let fleet = start_fleet().await;
    let copy = fleet.platform.copy_tables();
    write_lost_changes(&fleet).await;
    return_from_copy(&fleet, &copy).await;
    let _added = add_and_use_server(&fleet, "added").await;
    let leaving = fleet.servers[0].record.clone();
    fleet.platform.put_server(&ServerRecord { is_leaving: true, sequence: 2, ..leaving });
    wait_until_unused(&fleet, &fleet.servers[0]).await;
    // Two returns in a row.
    return_from_copy(&fleet, &copy).await;
    return_from_copy(&fleet, &copy).await;
    let _again = add_and_use_server(&fleet, "again").await;
}

/// Guards against changes that are missed because a poll continues from a version of the old
/// history.
#[tokio::test(flavor = "multi_thread")]
async fn changes_under_versions_that_are_given_out_again_are_not_missed() {
    let fleet = start_fleet().await;
    let copy = fleet.platform.copy_tables();
    write_lost_changes(&fleet).await;
    fleet.platform.set_behaviour(StoreBehaviour::Disconnect);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.return_from_copy(&copy);
    // All these changes happen before the daemon reaches the store again.
    let added = start_server("added").await;
    fleet.platform.put_server(&added.record);
    let record = &fleet.servers[1].record;
    for sequence in 2..2 + 3 * LOST_CHANGES {
        fleet.platform.put_server(&ServerRecord { sequence, ..record.clone() });
    }
    fleet.platform.set_behaviour(StoreBehaviour::Serve);
    wait_until_used(&fleet, &added).await;
}

/// Guards against a subscriber that compares versions of two histories.
#[tokio::test(flavor = "multi_thread")]
async fn subscriber_follows_its_relay_into_the_new_era() {
    let mut fleet = start_fleet().await;
    let (program, store) = (Path::new(DAEMON_PATH), fleet.platform.address());
    let relay_address = free_address();
    let mut relay =
        HostedDaemon::start_with_relays(program, store, relay_address, &[relay_address]);
    relay.wait_ready().await;
    let mut subscriber =
        HostedDaemon::start_with_relays(program, store, free_address(), &[relay_address]);
    subscriber.wait_ready().await;
    fleet.daemon = subscriber;
    let copy = fleet.platform.copy_tables();
    write_lost_changes(&fleet).await;
    return_from_copy(&fleet, &copy).await;
    let _added = add_and_use_server(&fleet, "added").await;
}

/// A configuration in force is never replaced by an older one, also not by that of an older copy.
#[tokio::test(flavor = "multi_thread")]
async fn older_copy_does_not_replace_the_configuration() {
    let fleet = start_fleet().await;
    let copy = fleet.platform.copy_tables();
    let mut routes = standard_routes();
    let execution = routes::ExecutionSemantics::Idempotent;
    routes.push(testkit::hosted_route("/new/", execution, &[("orders", 1)]));
    fleet.platform.put_config(&hosted_config(7, routes));
    let status = async || {
        let request = fleet.request(hyper::Method::GET, "/new/1");
        call(&request).await.expect("the daemon responds").status
    };
    eventually("the new route is served", async || status().await == 200).await;
    return_from_copy(&fleet, &copy).await;
    let _added = add_and_use_server(&fleet, "added").await;
    assert_eq!(status().await, 200);
}
