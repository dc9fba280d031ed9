//! Probes a backend server for its load.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use tokio::time::{Instant, timeout};

use balance::{LoadReport, ProbeOutcome, ProbeTarget};
use observe::DaemonMetrics;

use crate::body::BackendRequestBody;
use crate::headers::read_load_report;
use crate::pool::{BackendConnection, ReusePolicy};
use crate::service::ServiceRuntime;

/// Timeout of a whole probe, including the connection. A probe takes about 5 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A probe to send.
#[derive(Debug, Clone)]
pub struct PlannedProbe {
    /// The server to probe.
    pub target: ProbeTarget,
    /// Path of the request.
    pub path: Box<str>,
    /// Time at which the probe expires and must no longer be sent.
    pub valid_until: Instant,
}

/// Sends one probe and applies its outcome to the service's servers. A probe that wasn't sent has
/// no outcome.
pub async fn run_probe(runtime: Arc<ServiceRuntime>, probe: PlannedProbe, metrics: DaemonMetrics) {
    let result = timeout(PROBE_TIMEOUT, send_probe(&runtime, &probe, &metrics)).await;
    let result = result.unwrap_or(ProbeResult::Failed);
    let now = Instant::now();
    let outcome = match result {
        ProbeResult::Responded(report) => ProbeOutcome::Responded(report),
        ProbeResult::Failed => ProbeOutcome::Failed,
        ProbeResult::NotSent => return,
    };
    runtime.group().apply_probe_outcome(probe.target.ticket, outcome, now);
}

enum ProbeResult {
    Responded(Option<LoadReport>),
    Failed,
    /// The probe expired before it was sent, or its path or host is malformed.
    NotSent,
}

async fn send_probe(
    runtime: &ServiceRuntime,
    probe: &PlannedProbe,
    metrics: &DaemonMetrics,
) -> ProbeResult {
    let Some(mut connection) = connect(runtime, probe).await else {
        return ProbeResult::Failed;
    };
    let Some(request) = probe_request(probe) else {
        return ProbeResult::NotSent;
    };
    // Checked last, since the process can be paused at any earlier point.
    if Instant::now() >= probe.valid_until {
        return ProbeResult::NotSent;
    }
    metrics.probes.inc();
    let Ok(response) = connection.sender.send_request(request).await else {
        return ProbeResult::Failed;
    };
    let report = read_load_report(response.headers());
    let is_complete = response.into_body().collect().await.is_ok();
    if is_complete {
        runtime.pool.put_idle(connection, Instant::now());
    }
    ProbeResult::Responded(report)
}

async fn connect(runtime: &ServiceRuntime, probe: &PlannedProbe) -> Option<BackendConnection> {
    let address = probe.target.address;
    if let Some(connection) = runtime.pool.take_idle(address, ReusePolicy::Any, Instant::now()) {
        return Some(connection);
    }
    let max_connections = runtime.group().max_connections();
    runtime.pool.open(address, max_connections).await.ok()
}

fn probe_request(probe: &PlannedProbe) -> Option<Request<BackendRequestBody>> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut request = Request::new(body);
    *request.uri_mut() = probe.path.parse().ok()?;
    let host = HeaderValue::from_str(&probe.target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}
