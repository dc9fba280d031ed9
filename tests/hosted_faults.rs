//! On a hosting platform: servers whose connections are reset, whose health checks are wrong or
//! that flap, callers from other availability zones, and entry VMs that are added.

use std::path::Path;
use std::time::Duration;

use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routes::ServerRecord;
use testkit::{
    FaultProxy, HostedBehaviour, HostedDaemon, HostedFleet, HostedServer, call, eventually,
    free_address,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

async fn start_fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON_PATH), count, HostedBehaviour::Run(Duration::ZERO)).await
}

/// A reset connection leaves open whether the request ran. Idempotent requests are retried. No
/// order runs twice, and an order that ran is not reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn connection_resets_do_not_fail_idempotent_requests_or_repeat_orders() {
    const SEED: u64 = 20_261_204;
    let mut random = StdRng::seed_from_u64(SEED);
    let fleet = start_fleet(2).await;
    let mut proxies = Vec::new();
    for server in &fleet.servers {
        let proxy = FaultProxy::start(server.record.address).await;
        let record = ServerRecord { address: proxy.address, sequence: 2, ..server.record.clone() };
        fleet.platform.put_server(&record);
        proxies.push(proxy);
    }
    // These requests add to the budget for retries.
    for _ in 0..60 {
        assert_eq!(
            call(&fleet.idempotent_request()).await.expect("the daemon responds").status,
            200
        );
    }
    for round in 0..40 {
        if random.random_bool(0.3) {
            proxies[random.random_range(0..proxies.len())].reset_open_connections();
        }
        match random.random_bool(0.5) {
            true => {
                let response =
                    call(&fleet.idempotent_request()).await.expect("the daemon responds");
                assert_eq!(response.status, 200, "seed {SEED}, round {round}: {}", response.text());
            }
            false => {
                let order = fleet.order_request("one stone");
                let status = call(&order).await.expect("the daemon responds").status;
                let runs = fleet.run_count(&order);
                let is_consistent = match status {
                    200 => runs == 1,
                    502 => runs <= 1,
                    _ => runs == 0,
                };
                assert!(is_consistent, "seed {SEED}, round {round}: {status} after {runs} runs");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn working_server_with_failing_health_check_gets_requests() {
    let fleet = start_fleet(2).await;
    fleet.servers[0].set_health(StatusCode::SERVICE_UNAVAILABLE);
    eventually("both servers run requests", async || {
        assert_eq!(
            call(&fleet.idempotent_request()).await.expect("the daemon responds").status,
            200
        );
        fleet.servers.iter().all(|server| !server.runs().is_empty())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_server_with_passing_health_check_gets_few_requests() {
    const REQUESTS: usize = 100;
    let fleet = start_fleet(4).await;
    fleet.servers[0].set_behaviour(HostedBehaviour::Fail(500));
    for _ in 0..REQUESTS {
        // A failure response to an order is forwarded, because the order may have run.
        let status =
            call(&fleet.order_request("one stone")).await.expect("the daemon responds").status;
        assert!(status == 200 || status == 500, "{status}");
    }
    let failed_count = fleet.servers[0].runs().len();
    // An even distribution would send a quarter of the requests there.
    assert!(
        failed_count <= REQUESTS / 8,
        "{failed_count} of {REQUESTS} requests at the failing server"
    );
}

/// A server repeatedly stops and starts again with a new ID and address. Idempotent requests never
/// fail, and the newest incarnation gets requests.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_succeed_with_flapping_server() {
    let fleet = start_fleet(2).await;
    // These requests add to the budget for retries.
    for _ in 0..60 {
        call(&fleet.idempotent_request()).await.expect("the daemon responds");
    }
    for incarnation in 0..4 {
        let id = format!("flapping-{incarnation}");
        let behaviour = HostedBehaviour::Run(Duration::ZERO);
        let server = HostedServer::start(&id, "orders", behaviour).await;
        fleet.platform.put_server(&server.record);
        eventually("the new incarnation runs requests", async || {
            let response = call(&fleet.idempotent_request()).await.expect("the daemon responds");
            assert_eq!(response.status, 200, "incarnation {incarnation}: {}", response.text());
            !server.runs().is_empty()
        })
        .await;
        // The server stops without notice, and its entry is removed later.
        drop(server);
        for _ in 0..10 {
            let response = call(&fleet.idempotent_request()).await.expect("the daemon responds");
            assert_eq!(response.status, 200, "incarnation {incarnation}: {}", response.text());
        }
        fleet.platform.remove_server(&id);
    }
}

/// Requests that exceed the capacity of the VM's zone go to servers of the other zone, as when
/// callers of several zones use the VM of one zone.
#[tokio::test(flavor = "multi_thread")]
async fn overload_of_one_zone_uses_the_servers_of_all_zones() {
    let fleet = start_fleet(1).await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(2)));
    let mut other_zone_servers = Vec::new();
    for number in 0..2 {
        let behaviour = HostedBehaviour::Run(Duration::from_secs(2));
        let server =
            HostedServer::start(&format!("other-zone-{number}"), "orders", behaviour).await;
        let zone = "zone-b".parse().expect("the name is valid");
        let record = ServerRecord { zone, ..server.record.clone() };
        fleet.platform.put_server(&record);
        other_zone_servers.push(server);
    }
    eventually("the daemon has all servers in its list", async || {
        !fleet.daemon.log_lines_containing("\"servers\":3").is_empty()
    })
    .await;
    let pending: Vec<_> = (0..12)
        .map(|_| {
            let request = fleet.idempotent_request();
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    for task in pending {
        assert_eq!(
            task.await.expect("the call task completes").expect("the daemon responds").status,
            200
        );
    }
    for server in fleet.servers.iter().chain(&other_zone_servers) {
        assert!(!server.runs().is_empty(), "{} ran no request", server.record.id);
    }
}

/// Added VMs get their state from relays and the store, and serve requests as soon as they are
/// ready.
#[tokio::test(flavor = "multi_thread")]
async fn added_entry_vms_serve_requests_once_ready() {
    let mut fleet = start_fleet(2).await;
    let (store, relay_address) = (fleet.platform.address(), free_address());
    let program = Path::new(DAEMON_PATH);
    let mut relay =
        HostedDaemon::start_with_relays(program, store, relay_address, &[relay_address]);
    relay.wait_ready().await;
    for _ in 0..3 {
        let mut added =
            HostedDaemon::start_with_relays(program, store, free_address(), &[relay_address]);
        added.wait_ready().await;
        fleet.daemon = added;
        assert_eq!(
            call(&fleet.idempotent_request()).await.expect("the daemon responds").status,
            200
        );
    }
}
