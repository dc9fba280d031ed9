//! On a hosting platform: own whole answers, true refusals, at most one run.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use testkit::{CallResponse, HostedBehaviour, HostedFleet, call, request_id};

const DAEMON: &str = env!("CARGO_BIN_EXE_mustardraild");

/// The signature of a server in an answer.
fn signature(answer: &CallResponse) -> &str {
    let name = platform::wire_interface().headers.signature;
    answer.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

async fn fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON), count, HostedBehaviour::Run(Duration::ZERO)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_come_with_their_signature_and_what_was_sent_arrives_unchanged() {
    let fleet = fleet(2).await;
    let order = fleet.order_request("one stone");
    let answer = call(&order).await.expect("answered");
    assert_eq!(answer.status, 200);
    assert!(answer.text().ends_with("ran it"));
    assert_eq!(signature(&answer), "signed");
    let runs = fleet.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(*runs[0].id, *request_id(&order));
    assert_eq!(&*runs[0].target, "POST /order/1?kind=stone");
    assert_eq!(&runs[0].body[..], b"one stone");
    assert!(runs[0].deadline_ms <= 20_000);
    assert!(runs[0].deadline_ms > 0);
}

/// Faulty answers, none of which may reach a caller.
const FAULTY: [HostedBehaviour; 5] = [
    HostedBehaviour::WrongRequestId,
    HostedBehaviour::Unsigned,
    HostedBehaviour::Encoded,
    HostedBehaviour::Truncate,
    HostedBehaviour::RunAndDisconnect,
];

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_answer_to_a_lookup_is_replaced_by_another_servers() {
    let fleet = fleet(2).await;
    for behaviour in FAULTY {
        fleet.servers[0].set_behaviour(behaviour);
        for _ in 0..4 {
            let answer = call(&fleet.idempotent_request()).await.expect("answered");
            assert_eq!((answer.status, answer.text()), (200, "s-1 ran it".into()), "{behaviour:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_with_a_faulty_answer_ran_once_and_is_not_called_not_run() {
    let fleet = fleet(3).await;
    for behaviour in FAULTY {
        fleet.set_behaviour(behaviour);
        for _ in 0..4 {
            let order = fleet.order_request("one stone");
            let answer = call(&order).await.expect("answered");
            assert_eq!(answer.status, 502, "{behaviour:?}");
            assert_eq!(fleet.run_count(&order), 1, "{behaviour:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_one_server_sheds_runs_once_at_another() {
    let fleet = fleet(2).await;
    fleet.servers[0].set_behaviour(HostedBehaviour::Shed);
    for _ in 0..8 {
        let order = fleet.order_request("one stone");
        assert_eq!(call(&order).await.expect("answered").status, 200);
        assert_eq!(fleet.run_count(&order), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_all_servers_shed_is_refused_with_a_time_to_come_back() {
    let fleet = fleet(3).await;
    fleet.set_behaviour(HostedBehaviour::Shed);
    for request in [fleet.order_request("one stone"), fleet.idempotent_request()] {
        let answer = call(&request).await.expect("answered");
        assert_eq!(answer.status, 503);
        let wait: f64 = answer.header("retry-after").parse().expect("a time to come back");
        assert!(wait > 0.0);
        assert_eq!(fleet.run_count(&request), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_reaches_more_servers_than_its_route_allows() {
    let fleet = fleet(5).await;
    fleet.set_behaviour(HostedBehaviour::Fail(500));
    let lookup = fleet.idempotent_request();
    let answer = call(&lookup).await.expect("answered");
    assert_eq!((answer.status, signature(&answer)), (500, "signed"));
    assert_eq!(fleet.run_count(&lookup), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_orders_own_failure_is_passed_on_as_it_is() {
    let fleet = fleet(3).await;
    fleet.set_behaviour(HostedBehaviour::Fail(500));
    let order = fleet.order_request("one stone");
    let answer = call(&order).await.expect("answered");
    assert_eq!((answer.status, signature(&answer)), (500, "signed"));
    assert_eq!(fleet.run_count(&order), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_serves_another_server_now_gets_no_run() {
    let fleet = fleet(2).await;
    fleet.servers[0].set_behaviour(HostedBehaviour::AddressReused);
    for _ in 0..8 {
        assert_eq!(call(&fleet.order_request("one stone")).await.expect("answered").status, 200);
    }
    assert!(fleet.servers[0].runs().is_empty());
    // After the first misdirected request the address is not used again.
    assert!(fleet.servers[0].request_count() <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_second_send_of_lookups_stays_within_the_agreed_ratio() {
    let fleet = fleet(4).await;
    fleet.set_behaviour(HostedBehaviour::Fail(500));
    const REQUESTS: u64 = 100;
    for _ in 0..REQUESTS {
        call(&fleet.idempotent_request()).await.expect("answered");
    }
    let arrivals: u64 = fleet.servers.iter().map(testkit::HostedServer::request_count).sum();
    // A ratio of 0.2; and of a slack of 120, of which a relay hands out nine tenths, a fiftieth, as
    // long as it has not seen a window of the budget.
    assert!(arrivals <= REQUESTS + 20 + 2, "{arrivals} arrivals");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_malformed_requests_are_told_so() {
    let fleet = fleet(1).await;
    let unknown = fleet.request(Method::GET, "/nothing/1");
    assert_eq!(call(&unknown).await.expect("answered").status, 404);
    let mut anonymous = fleet.idempotent_request();
    anonymous.headers.truncate(1);
    assert_eq!(call(&anonymous).await.expect("answered").status, 400);
    assert!(fleet.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_arrives_whole() {
    let fleet = fleet(1).await;
    // More than what is kept in memory whole.
    let body = "x".repeat(3 << 20);
    let order = fleet.order_request(&body);
    assert_eq!(call(&order).await.expect("answered").status, 200);
    assert_eq!(fleet.runs()[0].body.len(), body.len());
}

/// A second send that the budget forbids at first is begun when the budget allows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_at_a_server_that_hangs_is_sent_again_once_the_budget_allows() {
    let fleet = fleet(2).await;
    fleet.servers[0].set_behaviour(HostedBehaviour::Run(Duration::from_secs(600)));
    let mut routes = testkit::standard_routes();
    for route in &mut routes {
        route.target_latency = Duration::from_millis(200);
    }
    fleet.platform.put_config(&testkit::hosted_config(2, routes));
    // Lookups until one of them hangs: without any requests before, there is no budget.
    let pending: Vec<_> = (0..8)
        .map(|_| {
            let lookup = fleet.idempotent_request();
            tokio::spawn(async move { call(&lookup).await })
        })
        .collect();
    // These fill the budget.
    for _ in 0..60 {
        let order = fleet.order_request("one stone");
        tokio::spawn(async move { call(&order).await });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for lookup in pending {
        let answer = lookup.await.expect("the call ends").expect("answered");
        assert_eq!((answer.status, answer.text()), (200, "s-1 ran it".into()));
    }
}

/// A lookup that ran and then found no server is not called not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_that_may_have_run_is_never_refused_as_not_run() {
    let fleet = fleet(1).await;
    let mut routes = testkit::standard_routes();
    for route in &mut routes {
        route.max_attempts = 3;
        // Unlike those of the first configuration, these requests end soon.
        route.timeout = Duration::from_secs(7);
    }
    fleet.platform.put_config(&testkit::hosted_config(2, routes));
    testkit::eventually("the configuration is in force", async || {
        !fleet.daemon.log_lines_containing("\"version\":2").is_empty()
    })
    .await;
    // These allow further sends.
    for _ in 0..20 {
        assert_eq!(call(&fleet.idempotent_request()).await.expect("answered").status, 200);
    }
    fleet.set_behaviour(HostedBehaviour::RunThenAddressReused);
    let lookup = fleet.idempotent_request();
    let answer = call(&lookup).await.expect("answered");
    assert_eq!(fleet.run_count(&lookup), 1);
    assert_eq!(answer.status, 502, "{}", answer.text());
}
