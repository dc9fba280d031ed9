//! What the tests with whole fleets have in common.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use serde_json::{Value, json};
use testkit::{BackendBehaviour, CallRequest, TestFleet, TestService};

/// The daemon's program.
pub(crate) const DAEMON: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Runs each request for this long.
pub(crate) fn serve(time: Duration) -> BackendBehaviour {
    BackendBehaviour::Serve(time)
}

/// A fleet of `daemons` with an account "shop" whose service has `servers` backend servers.
pub(crate) async fn setup(
    daemons: usize,
    servers: usize,
    spec: &Value,
) -> (TestFleet, TestService) {
    let behaviour = serve(Duration::from_millis(1));
    let service = TestService::start("shop", "orders", servers, 4, &behaviour).await;
    let fleet = start(daemons, &service, spec).await;
    (fleet, service)
}

/// The same with backend servers that run each request for `time`, and without second tries: on a
/// busy machine a lookup would take longer than usual and run twice.
pub(crate) async fn slow_setup(daemons: usize, time: Duration) -> (TestFleet, TestService) {
    let service = TestService::start("shop", "orders", 3, 4, &serve(time)).await;
    let fleet =
        start(daemons, &service, &json!({ "timeout_ms": 10_000, "retry_percent": 0 })).await;
    (fleet, service)
}

async fn start(daemons: usize, service: &TestService, spec: &Value) -> TestFleet {
    let fleet = TestFleet::start(DAEMON.as_ref(), daemons).await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", service, spec).await;
    fleet.wait_serving("shop.test").await;
    fleet
}

/// An order with an `Idempotency-Key`, sent through one daemon.
pub(crate) fn order(fleet: &TestFleet, daemon: usize, key: &str, tag: &str) -> CallRequest {
    CallRequest::post(fleet.daemons[daemon].callers, "shop.test", "/orders", "one stone")
        .with_header("idempotency-key", key)
        .with_header("x-request", tag)
}

/// An idempotent request, sent through one daemon.
pub(crate) fn lookup(fleet: &TestFleet, daemon: usize, tag: &str) -> CallRequest {
    CallRequest::get(fleet.daemons[daemon].callers, "shop.test", "/records")
        .with_header("x-request", tag)
}
