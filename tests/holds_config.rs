//! An accepted configuration is in force at every entry VM within seconds and is never reverted.

mod common;

use std::time::Duration;

use common::{idempotent_request, serve_behaviour, start_fleet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use testkit::{
    CallRequest, FLEET_KEY, FaultProxy, TestFleet, TestService, account_record, call,
    policy_record, service_record,
};
use tokio::time::{Instant, sleep};

/// Required upper bound on the time until an accepted change is in force at every entry VM.
const PROPAGATION_BOUND: Duration = Duration::from_secs(18);

async fn fetch_revision(fleet: &TestFleet, daemon: usize, key: &str) -> Value {
    let path = format!("/v1/records/{key}");
    let request = CallRequest::get(fleet.daemons[daemon].operators, "test", &path)
        .with_header("authorization", &format!("Bearer {FLEET_KEY}"));
    call(&request).await.map(|response| response.json()["revision"].clone()).unwrap_or_default()
}

/// Operators write concurrently through all entry VMs while some of the table's responses are
/// lost. Each accepted write must be based on the accepted write before it.
#[tokio::test(flavor = "multi_thread")]
async fn holds_config_concurrent_operator_writes_are_totally_ordered() {
    const SEED: u64 = 11;
    let (fleet, _service) = start_fleet(3, 1, &json!({})).await;
    let fleet = std::sync::Arc::new(fleet);
    let mut operators = Vec::new();
    for operator in 0..6_u64 {
        let fleet = std::sync::Arc::clone(&fleet);
        operators.push(tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(SEED + operator);
            let mut accepted = Vec::new();
            for round in 0..8 {
                let daemon = random.random_range(0..3);
                let base = fetch_revision(&fleet, daemon, "shop/service/orders/2").await;
                let spec = json!({ "timeout_ms": 1_000 + operator * 100 + round });
                let record = service_record("shop", "orders", &spec);
                let message = json!({ "verb": "replace", "record": record, "base": base });
                if random.random_range(0..6) == 0 {
                    fleet.platform.lose_commit_responses(1);
                }
                let response = fleet.write_record(daemon, FLEET_KEY, &message).await;
                match response.status {
                    200 => accepted.push((base, response.json()["revision"].clone())),
                    409 => {}
                    status => panic!("seed {SEED}: status {status}: {}", response.text()),
                }
            }
            accepted
        }));
    }
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    for operator in operators {
        for (base, revision) in operator.await.expect("the operator task completes") {
            accepted.push((
                base.as_u64().expect("revisions are numbers"),
                revision.as_u64().expect("revisions are numbers"),
            ));
        }
    }
    accepted.sort_by_key(|(_, revision)| *revision);
    assert!(accepted.len() > 3, "seed {SEED}: {accepted:?}");
    for pair in accepted.windows(2) {
        assert_eq!(pair[0].1, pair[1].0, "seed {SEED}: lost update in {accepted:?}");
    }
    let newest = accepted.last().expect("at least one write is accepted").1;
    fleet.wait_revision(newest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_write_with_lost_commit_response_is_accepted() {
    let (fleet, _service) = start_fleet(2, 1, &json!({})).await;
    for round in 0..5 {
        fleet.platform.lose_commit_responses(1);
        let record = service_record("shop", &format!("extra-{round}"), &Value::Null);
        let message = json!({ "verb": "put", "record": record });
        let response = fleet.write_record(round % 2, FLEET_KEY, &message).await;
        assert_eq!(response.status, 200, "{}", response.text());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_repeated_operation_is_applied_once() {
    let (fleet, _service) = start_fleet(2, 1, &json!({})).await;
    let record = service_record("shop", "extra", &Value::Null);
    let message = json!({ "verb": "put", "record": record, "operation": "0123abcd" });
    let first = fleet.write_record(0, FLEET_KEY, &message).await;
    let second = fleet.write_record(1, FLEET_KEY, &message).await;
    assert_eq!((first.status, second.status), (200, 200), "{}", second.text());
    assert_eq!(first.json()["revision"], second.json()["revision"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_table_outage_after_accepted_write_does_not_stop_propagation() {
    let (mut fleet, service) = start_fleet(3, 2, &json!({})).await;
    let rules = json!([
        { "host": "shop.test", "path_prefix": "/", "service": "orders" },
        { "host": "new.test", "path_prefix": "/", "service": "orders" },
    ]);
    fleet
        .write_record(
            0,
            FLEET_KEY,
            &build_account_replacement(&fleet, &["shop.test", "new.test"]).await,
        )
        .await;
    let base = fetch_revision(&fleet, 0, "shop/routing-policy/front/2").await;
    let record = policy_record("shop", "front", &rules);
    let message = json!({ "verb": "replace", "record": record, "base": base });
    let response = fleet.write_record(0, FLEET_KEY, &message).await;
    fleet.platform.set_down(true);
    assert_eq!(response.status, 200, "{}", response.text());
    let accepted_at = Instant::now();
    fleet.wait_serving("new.test").await;
    assert!(accepted_at.elapsed() < PROPAGATION_BOUND);
    // A VM that starts during the outage gets the configuration from its peers.
    let mut entries = service.entries.clone();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let mut entry = service.entries[0].clone();
        entry.id = format!("entry-{number}").parse().expect("the name is valid");
        entry.account = "fleet".parse().expect("the name is valid");
        entry.group = "entry".parse().expect("the name is valid");
        entry.address = daemon.peers;
        entries.push(entry);
    }
    fleet.platform.set_servers(entries);
    // Longer than the last confirmation of the configuration by the table is valid.
    sleep(Duration::from_secs(10)).await;
    fleet.wait_serving("new.test").await;
    let added = fleet.add_daemon(&json!({}));
    fleet.daemons[added].wait_ready().await;
    fleet.wait_serving("new.test").await;
}

/// A VM that can't reach the table, unlike its peers, gets configuration changes from them and
/// keeps serving.
#[tokio::test(flavor = "multi_thread")]
async fn holds_config_vm_partitioned_from_table_follows_its_peers() {
    let mut fleet = TestFleet::without_daemons(common::DAEMON_PATH.as_ref()).await;
    let table_proxy = FaultProxy::start(fleet.platform.address()).await;
    let platform_address = fleet.platform.address();
    for table_address in [platform_address, platform_address, table_proxy.address] {
        let platform = json!({ "table": table_address, "list": platform_address, "call_ms": 500 });
        fleet.add_daemon(&json!({ "platform": platform }));
    }
    fleet.wait_members(3).await;
    let service =
        TestService::start("shop", "orders", 2, 4, &serve_behaviour(Duration::from_millis(1)))
            .await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({})).await;
    fleet.wait_serving("shop.test").await;
    table_proxy.partition();
    // Longer than the last confirmation that the VM got from the table itself is valid.
    sleep(Duration::from_secs(10)).await;
    let response =
        call(&idempotent_request(&fleet, 2, "partitioned")).await.expect("the daemon responds");
    assert_eq!(response.status, 200, "{}", response.text());
    let accepted_at = Instant::now();
    let revision = fleet.put_record(&service_record("shop", "later", &Value::Null)).await;
    fleet.wait_revision(revision).await;
    assert!(accepted_at.elapsed() < PROPAGATION_BOUND);
    // This VM can't write claims to the table, so it refuses orders and reports them as not run.
    let response = call(&common::order_request(&fleet, 2, "key", "partitioned-order"))
        .await
        .expect("the daemon responds");
    assert_eq!((response.status, response.outcome()), (503, "not-run"), "{}", response.text());
    assert_eq!(service.run_count("partitioned-order"), 0);
}

async fn build_account_replacement(fleet: &TestFleet, hosts: &[&str]) -> Value {
    let base = fetch_revision(fleet, 0, "shop/client-account/shop/1").await;
    json!({ "verb": "replace", "record": account_record("shop", hosts), "base": base })
}

/// A daemon that was suspended while a route was moved to another service must not use the old
/// route.
#[tokio::test(flavor = "multi_thread")]
async fn holds_config_resumed_vm_does_not_use_stale_route() {
    let fleet = TestFleet::start(common::DAEMON_PATH.as_ref(), 3).await;
    let old_service =
        TestService::start("shop", "old", 2, 4, &serve_behaviour(Duration::from_millis(1))).await;
    let new_service =
        TestService::start("shop", "new", 2, 4, &serve_behaviour(Duration::from_millis(1))).await;
    let entries = [old_service.entries.clone(), new_service.entries.clone()].concat();
    fleet.platform.set_servers(entries);
    fleet.put_account("shop", &old_service, &json!({})).await;
    let revision = fleet.put_record(&service_record("shop", "new", &Value::Null)).await;
    fleet.wait_revision(revision).await;
    fleet.wait_serving("shop.test").await;
    fleet.daemons[2].suspend();
    let rules = json!([{ "host": "shop.test", "path_prefix": "/", "service": "new" }]);
    let base = fetch_revision(&fleet, 0, "shop/routing-policy/front/2").await;
    let record = policy_record("shop", "front", &rules);
    let message = json!({ "verb": "replace", "record": record, "base": base });
    let response = fleet.write_record(0, FLEET_KEY, &message).await;
    assert_eq!(response.status, 200, "{}", response.text());
    sleep(Duration::from_secs(12)).await;
    // These requests wait in the socket of the suspended daemon, which reads them first after it
    // resumes.
    let pending: Vec<_> = (0..20)
        .map(|number| {
            let request = idempotent_request(&fleet, 2, &format!("resumed-{number}"));
            tokio::spawn(async move { call(&request).await })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    fleet.daemons[2].resume();
    for task in pending {
        let response = task.await.expect("the call task completes").expect("the daemon responds");
        assert!(!response.text().contains("shop-old"), "{}", response.text());
        assert!(matches!(response.status, 200 | 503), "{}", response.text());
    }
    let old_run_count =
        (0..20).filter(|number| old_service.run_count(&format!("resumed-{number}")) > 0).count();
    assert_eq!(old_run_count, 0);
}

/// A caller that repeatedly sends requests to one entry VM never gets a response under an older
/// configuration after one under a newer configuration.
#[tokio::test(flavor = "multi_thread")]
async fn holds_config_sequential_caller_never_sees_an_older_configuration() {
    let fleet = TestFleet::start(common::DAEMON_PATH.as_ref(), 3).await;
    let mut services = Vec::new();
    let mut entries = Vec::new();
    for number in 0..4 {
        let group = format!("step-{number}");
        let service =
            TestService::start("shop", &group, 1, 4, &serve_behaviour(Duration::from_millis(1)))
                .await;
        entries.extend(service.entries.clone());
        services.push(service);
    }
    fleet.platform.set_servers(entries);
    fleet.put_account("shop", &services[0], &json!({})).await;
    for number in 1..4 {
        fleet.put_record(&service_record("shop", &format!("step-{number}"), &Value::Null)).await;
    }
    fleet.wait_serving("shop.test").await;
    let watchers: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| {
            let request = CallRequest::get(daemon.callers, "shop.test", "/step");
            tokio::spawn(async move {
                let mut last = 0;
                while last < 3 {
                    let response = call(&request).await.expect("the daemon responds");
                    assert_eq!(response.status, 200, "{}", response.text());
                    let text = response.text();
                    let step = text.chars().nth("shop-step-".len()).and_then(|c| c.to_digit(10));
                    let step = step.expect("the response names the step");
                    assert!(step >= last, "step {step} after {last}");
                    last = step;
                }
            })
        })
        .collect();
    for number in 1..4 {
        let rules = json!([
            { "host": "shop.test", "path_prefix": "/", "service": format!("step-{number}") }
        ]);
        let base = fetch_revision(&fleet, 0, "shop/routing-policy/front/2").await;
        let record = policy_record("shop", "front", &rules);
        let message = json!({ "verb": "replace", "record": record, "base": base });
        let response = fleet.write_record(number % 3, FLEET_KEY, &message).await;
        assert_eq!(response.status, 200, "{}", response.text());
    }
    for watcher in watchers {
        tokio::time::timeout(PROPAGATION_BOUND, watcher)
            .await
            .expect("the change is in force within the bound")
            .expect("no watcher saw an older configuration");
    }
}
