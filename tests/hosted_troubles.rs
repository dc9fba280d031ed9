//! On a hosting platform: servers that forget connections, lie about their health or go down and up
//! by turns, callers who move to another availability zone, and entry VMs that are added.

use std::path::Path;
use std::time::Duration;

use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routes::ServerRecord;
use testkit::{
    CutRelay, HostedBehaviour, HostedDaemon, HostedFleet, HostedServer, call, eventually, free_port,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

async fn start_fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON_PATH), count, HostedBehaviour::Run(Duration::ZERO)).await
}

/// Whatever is sent on a forgotten connection is reset, and nobody can tell whether it ran. Lookups
/// are sent again; no order runs twice, and none that ran is called not run.
#[tokio::test(flavor = "multi_thread")]
async fn connection_resets_fail_no_idempotent_request_and_run_no_order_twice() {
    const SEED: u64 = 20_261_204;
    let mut random = StdRng::seed_from_u64(SEED);
    let fleet = start_fleet(2).await;
    let mut relays = Vec::new();
    for server in &fleet.servers {
        let relay = CutRelay::start(server.record.address).await;
        let record = ServerRecord { address: relay.address, sequence: 2, ..server.record.clone() };
        fleet.platform.put_server(&record);
        relays.push(relay);
    }
    // These allow further sends.
    for _ in 0..60 {
        assert_eq!(call(&fleet.lookup()).await.expect("answered").status, 200);
    }
    for round in 0..40 {
        if random.random_bool(0.3) {
            relays[random.random_range(0..relays.len())].forget();
        }
        match random.random_bool(0.5) {
            true => {
                let response = call(&fleet.lookup()).await.expect("answered");
                assert_eq!(response.status, 200, "seed {SEED}, round {round}: {}", response.text());
            }
            false => {
                let order = fleet.order("one stone");
                let status = call(&order).await.expect("answered").status;
                let runs = fleet.runs_of(&order);
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
        assert_eq!(call(&fleet.lookup()).await.expect("answered").status, 200);
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
        // An order's failure is passed on: it may have run.
        let status = call(&fleet.order("one stone")).await.expect("answered").status;
        assert!(status == 200 || status == 500, "{status}");
    }
    let failed = fleet.servers[0].runs().len();
    // An even share would be a quarter.
    assert!(failed <= REQUESTS / 8, "{failed} of {REQUESTS} requests at the failing server");
}

/// A server ends and comes back under another identity, by turns, at an address of its own each
/// time. Lookups never notice, and its newest life gets requests.
#[tokio::test(flavor = "multi_thread")]
async fn flapping_server_fails_no_idempotent_request() {
    let fleet = start_fleet(2).await;
    // These allow further sends.
    for _ in 0..60 {
        call(&fleet.lookup()).await.expect("answered");
    }
    for incarnation in 0..4 {
        let id = format!("flapping-{incarnation}");
        let behaviour = HostedBehaviour::Run(Duration::ZERO);
        let server = HostedServer::start(&id, "orders", behaviour).await;
        fleet.platform.put_server(&server.record);
        eventually("the new incarnation runs requests", async || {
            let response = call(&fleet.lookup()).await.expect("answered");
            assert_eq!(response.status, 200, "life {incarnation}: {}", response.text());
            !server.runs().is_empty()
        })
        .await;
        // It ends without a sign; its entry goes later.
        drop(server);
        for _ in 0..10 {
            let response = call(&fleet.lookup()).await.expect("answered");
            assert_eq!(response.status, 200, "life {incarnation}: {}", response.text());
        }
        fleet.platform.remove_server(&id);
    }
}

/// Callers of other zones come to this zone's VM: what its own zone can't take goes to the others.
#[tokio::test(flavor = "multi_thread")]
async fn overload_of_one_zone_uses_the_servers_of_all_zones() {
    let fleet = start_fleet(1).await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(2)));
    let mut other_zone_servers = Vec::new();
    for number in 0..2 {
        let behaviour = HostedBehaviour::Run(Duration::from_secs(2));
        let server = HostedServer::start(&format!("far-{number}"), "orders", behaviour).await;
        let zone = "zone-b".parse().expect("the name is valid");
        let record = ServerRecord { zone, ..server.record.clone() };
        fleet.platform.put_server(&record);
        other_zone_servers.push(server);
    }
    eventually("all servers are known", async || {
        !fleet.daemon.log_lines("\"servers\":3").is_empty()
    })
    .await;
    let pending: Vec<_> = (0..12)
        .map(|_| {
            let request = fleet.lookup();
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    for request in pending {
        assert_eq!(request.await.expect("the call ends").expect("answered").status, 200);
    }
    for server in fleet.servers.iter().chain(&other_zone_servers) {
        assert!(!server.runs().is_empty(), "{} ran nothing", server.record.id);
    }
}

/// VMs that are added serve at once, and every server of the list gets their requests.
#[tokio::test(flavor = "multi_thread")]
async fn added_entry_vms_serve_requests_once_ready() {
    let mut fleet = start_fleet(2).await;
    let (store, relay) = (fleet.platform.address(), free_port());
    let program = Path::new(DAEMON_PATH);
    let mut first = HostedDaemon::start_with(program, store, relay, &[relay]);
    first.wait_ready().await;
    for _ in 0..3 {
        let mut added = HostedDaemon::start_with(program, store, free_port(), &[relay]);
        added.wait_ready().await;
        fleet.daemon = added;
        assert_eq!(call(&fleet.lookup()).await.expect("answered").status, 200);
    }
}
