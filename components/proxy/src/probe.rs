//! One probe of a backend server's load.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use tokio::time::{Instant, timeout};

use balance::{LoadReport, ProbeOutcome, ProbeTarget};
use observe::DaemonMetrics;

use crate::body::SendBody;
use crate::headers::read_report;
use crate::pool::{BackendConnection, ConnectionTrust};
use crate::service::ServiceRuntime;

/// Longest time for the answer to a probe. A probe takes about 5 ms.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// A probe to send.
#[derive(Debug, Clone)]
pub struct ProbeOrder {
    /// The server.
    pub target: ProbeTarget,
    /// The path to request.
    pub path: Box<str>,
    /// The probe is dropped when it could not be sent by then.
    pub valid_until: Instant,
}

/// Sends one probe and notes its answer.
pub async fn run_probe(runtime: Arc<ServiceRuntime>, order: ProbeOrder, metrics: DaemonMetrics) {
    let answer = timeout(PROBE_TIME, probe(&runtime, &order, &metrics)).await;
    let report = answer.unwrap_or(ProbeResult::Failed);
    let now = Instant::now();
    let outcome = match report {
        ProbeResult::Answered(report) => ProbeOutcome::Responded(report),
        ProbeResult::Failed => ProbeOutcome::Failed,
        ProbeResult::NotSent => return,
    };
    runtime.group().apply_probe_outcome(order.target.ticket, outcome, now);
}

enum ProbeResult {
    Answered(Option<LoadReport>),
    Failed,
    /// The lease ran out, or the server has no connection to spare.
    NotSent,
}

async fn probe(
    runtime: &ServiceRuntime,
    order: &ProbeOrder,
    metrics: &DaemonMetrics,
) -> ProbeResult {
    let Some(mut connection) = connect(runtime, order).await else {
        return ProbeResult::Failed;
    };
    let Some(request) = probe_request(order) else {
        return ProbeResult::NotSent;
    };
    // Checked last, since a process can be paused at any point before.
    if Instant::now() >= order.valid_until {
        return ProbeResult::NotSent;
    }
    metrics.probes.inc();
    let Ok(answer) = connection.sender.send_request(request).await else {
        return ProbeResult::Failed;
    };
    let report = read_report(answer.headers());
    let is_whole = answer.into_body().collect().await.is_ok();
    if is_whole {
        runtime.pool.put(connection, Instant::now());
    }
    ProbeResult::Answered(report)
}

async fn connect(runtime: &ServiceRuntime, order: &ProbeOrder) -> Option<BackendConnection> {
    let address = order.target.address;
    if let Some(connection) = runtime.pool.take(address, ConnectionTrust::Any, Instant::now()) {
        return Some(connection);
    }
    let limit = runtime.group().max_connections();
    runtime.pool.open(address, limit).await.ok()
}

fn probe_request(order: &ProbeOrder) -> Option<Request<SendBody>> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut request = Request::new(body);
    *request.uri_mut() = order.path.parse().ok()?;
    let host = HeaderValue::from_str(&order.target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}
