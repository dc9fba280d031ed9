//! What the tests with whole fleets have in common.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use serde_json::{Value, json};
use testkit::{BackendBehaviour, CallRequest, TestFleet, TestService};

/// The daemon's program.
pub(crate) const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Runs each request for this long.
pub(crate) fn serve_behaviour(run_time: Duration) -> BackendBehaviour {
    BackendBehaviour::Serve(run_time)
}

/// A fleet of `daemons` with an account "shop" whose service has `servers` backend servers.
pub(crate) async fn start_fleet(
    daemons: usize,
    servers: usize,
    spec: &Value,
) -> (TestFleet, TestService) {
    let behaviour = serve_behaviour(Duration::from_millis(1));
    let service = TestService::start("shop", "orders", servers, 4, &behaviour).await;
    let fleet = start_fleet_for(daemons, &service, spec).await;
    (fleet, service)
}

/// The same with backend servers that run each request for `time`, and without second tries: on a
/// busy machine a lookup would take longer than usual and run twice.
pub(crate) async fn start_slow_fleet(
    daemons: usize,
    run_time: Duration,
) -> (TestFleet, TestService) {
    let service = TestService::start("shop", "orders", 3, 4, &serve_behaviour(run_time)).await;
    let fleet =
        start_fleet_for(daemons, &service, &json!({ "timeout_ms": 10_000, "retry_percent": 0 }))
            .await;
    (fleet, service)
}

async fn start_fleet_for(daemons: usize, service: &TestService, spec: &Value) -> TestFleet {
    let fleet = TestFleet::start(DAEMON_PATH.as_ref(), daemons).await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", service, spec).await;
    fleet.wait_serving("shop.test").await;
    fleet
}

/// An order with an `Idempotency-Key`, sent through one daemon.
pub(crate) fn order_request(fleet: &TestFleet, daemon: usize, key: &str, tag: &str) -> CallRequest {
    CallRequest::post(fleet.daemons[daemon].callers, "shop.test", "/orders", "one stone")
        .with("idempotency-key", key)
        .with("x-request", tag)
}

/// An idempotent request, sent through one daemon.
pub(crate) fn idempotent_request(fleet: &TestFleet, daemon: usize, tag: &str) -> CallRequest {
    CallRequest::get(fleet.daemons[daemon].callers, "shop.test", "/records").with("x-request", tag)
}
