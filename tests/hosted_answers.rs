//! On a hosting platform: own whole answers, true refusals, at most one run.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use testkit::{CallAnswer, HostedBehaviour, HostedFleet, call, request_id};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// The signature of a server in a response.
fn response_signature(response: &CallAnswer) -> &str {
    let name = platform::wire_interface().headers.signature;
    response.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

async fn start_fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON_PATH), count, HostedBehaviour::Run(Duration::ZERO)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn response_keeps_its_signature_and_request_arrives_unchanged() {
    let fleet = start_fleet(2).await;
    let order = fleet.order("one stone");
    let response = call(&order).await.expect("answered");
    assert_eq!(response.status, 200);
    assert!(response.text().ends_with("ran it"));
    assert_eq!(response_signature(&response), "signed");
    let runs = fleet.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(*runs[0].id, *request_id(&order));
    assert_eq!(&*runs[0].target, "POST /order/1?kind=stone");
    assert_eq!(&runs[0].body[..], b"one stone");
    assert!(runs[0].deadline_ms <= 20_000);
    assert!(runs[0].deadline_ms > 0);
}

/// Faulty answers, none of which may reach a caller.
const INVALID_RESPONSES: [HostedBehaviour; 5] = [
    HostedBehaviour::Foreign,
    HostedBehaviour::Unsigned,
    HostedBehaviour::Encoded,
    HostedBehaviour::Truncate,
    HostedBehaviour::RunAndBreak,
];

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_with_invalid_response_is_retried_at_another_server() {
    let fleet = start_fleet(2).await;
    for behaviour in INVALID_RESPONSES {
        fleet.servers[0].set_behaviour(behaviour);
        for _ in 0..4 {
            let response = call(&fleet.lookup()).await.expect("answered");
            assert_eq!(
                (response.status, response.text()),
                (200, "s-1 ran it".into()),
                "{behaviour:?}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn order_with_invalid_response_runs_once_and_returns_502() {
    let fleet = start_fleet(3).await;
    for behaviour in INVALID_RESPONSES {
        fleet.set_behaviour(behaviour);
        for _ in 0..4 {
            let order = fleet.order("one stone");
            let response = call(&order).await.expect("answered");
            assert_eq!(response.status, 502, "{behaviour:?}");
            assert_eq!(fleet.runs_of(&order), 1, "{behaviour:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn order_shed_by_one_server_runs_once_at_another() {
    let fleet = start_fleet(2).await;
    fleet.servers[0].set_behaviour(HostedBehaviour::Shed);
    for _ in 0..8 {
        let order = fleet.order("one stone");
        assert_eq!(call(&order).await.expect("answered").status, 200);
        assert_eq!(fleet.runs_of(&order), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_shed_by_all_servers_is_refused_with_retry_after() {
    let fleet = start_fleet(3).await;
    fleet.set_behaviour(HostedBehaviour::Shed);
    for request in [fleet.order("one stone"), fleet.lookup()] {
        let response = call(&request).await.expect("answered");
        assert_eq!(response.status, 503);
        let wait: f64 = response.header("retry-after").parse().expect("a time to come back");
        assert!(wait > 0.0);
        assert_eq!(fleet.runs_of(&request), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_request_reaches_no_more_servers_than_its_route_allows() {
    let fleet = start_fleet(5).await;
    fleet.set_behaviour(HostedBehaviour::Fail(500));
    let request = fleet.lookup();
    let response = call(&request).await.expect("answered");
    assert_eq!((response.status, response_signature(&response)), (500, "signed"));
    assert_eq!(fleet.runs_of(&request), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn failure_response_to_an_order_is_forwarded_unchanged() {
    let fleet = start_fleet(3).await;
    fleet.set_behaviour(HostedBehaviour::Fail(500));
    let order = fleet.order("one stone");
    let response = call(&order).await.expect("answered");
    assert_eq!((response.status, response_signature(&response)), (500, "signed"));
    assert_eq!(fleet.runs_of(&order), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn address_reused_by_another_server_runs_no_request() {
    let fleet = start_fleet(2).await;
    fleet.servers[0].set_behaviour(HostedBehaviour::OtherServer);
    for _ in 0..8 {
        assert_eq!(call(&fleet.order("one stone")).await.expect("answered").status, 200);
    }
    assert!(fleet.servers[0].runs().is_empty());
    // After the first misdirected request the address is not used again.
    assert!(fleet.servers[0].arrivals() <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_of_idempotent_requests_stay_within_the_budget_ratio() {
    let fleet = start_fleet(4).await;
    fleet.set_behaviour(HostedBehaviour::Fail(500));
    const REQUESTS: u64 = 100;
    for _ in 0..REQUESTS {
        call(&fleet.lookup()).await.expect("answered");
    }
    let arrivals: u64 = fleet.servers.iter().map(testkit::HostedServer::arrivals).sum();
    // A ratio of 0.2; and of a slack of 120, of which a relay hands out nine tenths, a fiftieth, as
    // long as it has not seen a window of the budget.
    assert!(arrivals <= REQUESTS + 20 + 2, "{arrivals} arrivals");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_route_returns_404_and_malformed_request_400() {
    let fleet = start_fleet(1).await;
    let unknown = fleet.request(Method::GET, "/nothing/1");
    assert_eq!(call(&unknown).await.expect("answered").status, 404);
    let mut anonymous = fleet.lookup();
    anonymous.headers.truncate(1);
    assert_eq!(call(&anonymous).await.expect("answered").status, 400);
    assert!(fleet.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn large_body_arrives_complete() {
    let fleet = start_fleet(1).await;
    // More than what is kept in memory whole.
    let body = "x".repeat(3 << 20);
    let order = fleet.order(&body);
    assert_eq!(call(&order).await.expect("answered").status, 200);
    assert_eq!(fleet.runs()[0].body.len(), body.len());
}

/// A second send that the budget forbids at first is begun when the budget allows it.
#[tokio::test(flavor = "multi_thread")]
async fn request_at_hanging_server_is_hedged_once_the_budget_allows() {
    let fleet = start_fleet(2).await;
    fleet.servers[0].set_behaviour(HostedBehaviour::Run(Duration::from_secs(600)));
    let mut routes = testkit::standard_routes();
    for route in &mut routes {
        route.target_latency = Duration::from_millis(200);
    }
    fleet.platform.put_config(&testkit::hosted_config(2, routes));
    // Lookups until one of them hangs: without any requests before, there is no budget.
    let pending: Vec<_> = (0..8)
        .map(|_| {
            let request = fleet.lookup();
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    // These fill the budget.
    for _ in 0..60 {
        let order = fleet.order("one stone");
        tokio::spawn(async move { call(&order).await });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for request in pending {
        let response = request.await.expect("the call ends").expect("answered");
        assert_eq!((response.status, response.text()), (200, "s-1 ran it".into()));
    }
}

/// A lookup that ran and then found no server is not called not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_have_run_is_never_refused_as_not_run() {
    let fleet = start_fleet(1).await;
    let mut routes = testkit::standard_routes();
    for route in &mut routes {
        route.max_attempts = 3;
        // Unlike those of the first configuration, these requests end soon.
        route.timeout = Duration::from_secs(7);
    }
    fleet.platform.put_config(&testkit::hosted_config(2, routes));
    testkit::eventually("the configuration is in force", async || {
        !fleet.daemon.log_lines("\"version\":2").is_empty()
    })
    .await;
    // These allow further sends.
    for _ in 0..20 {
        assert_eq!(call(&fleet.lookup()).await.expect("answered").status, 200);
    }
    fleet.set_behaviour(HostedBehaviour::RunAndMove);
    let request = fleet.lookup();
    let response = call(&request).await.expect("answered");
    assert_eq!(fleet.runs_of(&request), 1);
    assert_eq!(response.status, 502, "{}", response.text());
}
