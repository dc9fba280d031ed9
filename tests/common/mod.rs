//! Helpers for tests that run a fleet of daemons.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::time::Duration;

use serde_json::{Value, json};
use testkit::{BackendBehaviour, CallRequest, TestFleet, TestService};

/// Path of the daemon executable.
pub(crate) const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Returns the behaviour of a server that runs each request for `run_time`.
pub(crate) fn serve_behaviour(run_time: Duration) -> BackendBehaviour {
    BackendBehaviour::Serve(run_time)
}

/// Starts a fleet of `daemons` and the client account "shop", whose service "orders" has `servers`
/// backend servers and the settings in `spec`.
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

/// Starts a fleet whose three backend servers run each request for `run_time`. Retries and hedged
/// attempts are off: on a busy machine, a slow idempotent request would be hedged and run twice.
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

/// Builds an order with the `Idempotency-Key` `key` for one daemon. Backend servers count the runs
/// of a request under its `tag`.
pub(crate) fn order_request(fleet: &TestFleet, daemon: usize, key: &str, tag: &str) -> CallRequest {
    CallRequest::post(fleet.daemons[daemon].callers, "shop.test", "/orders", "one stone")
        .with_header("idempotency-key", key)
        .with_header("x-request", tag)
}

/// Builds an idempotent request for one daemon.
pub(crate) fn idempotent_request(fleet: &TestFleet, daemon: usize, tag: &str) -> CallRequest {
    CallRequest::get(fleet.daemons[daemon].callers, "shop.test", "/records")
        .with_header("x-request", tag)
}
