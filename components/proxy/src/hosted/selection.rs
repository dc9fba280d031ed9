//! Selects a server for a request: probes a few candidates for their load and compares them.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};

use balance::{
    LimitResponse, MAX_PROBE_ROUNDS, PROBES_PER_ROUND, PlacementEstimate, RequestShape,
    SampleOutcome, ServerTicket, WarmUpResponse,
};
use model::ServerId;
use observe::{HostedMetrics, IntCounter};
use routes::WireInterface;

use crate::body::BackendRequestBody;
use crate::hosted::server_lease::ServerLease;
use crate::hosted::service::HostedService;
use crate::pool::ReusePolicy;

/// Age below which a load report needs no new probe.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(15);

/// Time after which the server of an unanswered probe counts as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest body that is read only to use its connection again.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Longest time for that. A new connection takes less.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Parameters of a selection.
pub(crate) struct SelectionContext<'a> {
    pub(crate) service: &'a Arc<HostedService>,
    pub(crate) wire: &'a Arc<WireInterface>,
    pub(crate) metrics: &'a HostedMetrics,
    /// Path of the service's health checks; if `None`, no server is probed.
    pub(crate) health_path: Option<&'a str>,
}

/// A leased server and the expected time of the request there.
pub(crate) struct SelectedServer {
    pub(crate) lease: ServerLease,
    pub(crate) estimate: PlacementEstimate,
}

/// Selects and leases a server. Servers in `attempted` are selected only if there is no other.
pub(crate) async fn select_server(
    context: &SelectionContext<'_>,
    shape: RequestShape,
    attempted: &[ServerTicket],
) -> Option<SelectedServer> {
    check_limit(context);
    let mut considered: Vec<ServerTicket> = Vec::new();
    let mut excluded: Vec<ServerTicket> = attempted.to_vec();
    for _ in 0..MAX_PROBE_ROUNDS {
        let candidates = context.service.group().candidates(
            PROBES_PER_ROUND,
            shape,
            &excluded,
            Instant::now(),
            &mut rand::rng(),
        );
        if candidates.is_empty() {
            break;
        }
        considered.extend(&candidates);
        excluded.extend(&candidates);
        probe_candidates(context, &candidates, shape).await;
        let best = context.service.group().best_server(&considered, shape, Instant::now());
        if best.is_some_and(|(_, estimate)| estimate.is_acceptable(shape)) {
            break;
        }
    }
    if considered.is_empty() {
        // All servers have been attempted; the best of them may get another attempt.
        considered = attempted.to_vec();
        let unknown = possibly_cold(context, attempted);
        if !unknown.is_empty() {
            probe_candidates(context, &unknown, shape).await;
        }
    }
    let now = Instant::now();
    let (ticket, estimate) = context.service.group().best_server(&considered, shape, now)?;
    let lease = ServerLease::acquire(context.service, ticket, shape, now);
    Some(SelectedServer { lease, estimate })
}

/// Probes candidates for their load until one is good enough or the group's probe wait has passed.
async fn probe_candidates(
    context: &SelectionContext<'_>,
    candidates: &[ServerTicket],
    shape: RequestShape,
) {
    let now = Instant::now();
    let due = due_probes(context, candidates, now);
    let Some(path) = context.health_path.filter(|_| !due.is_empty()) else {
        return;
    };
    let mut probes = JoinSet::new();
    for ticket in due {
        probes.spawn(probe_server(context, ticket, path));
    }
    let probe_deadline = now + context.service.group().probe_wait();
    while let Ok(Some(_)) = timeout_at(probe_deadline, probes.join_next()).await {
        let best = context.service.group().best_server(candidates, shape, Instant::now());
        let is_good_enough = best.is_some_and(|(ticket, estimate)| {
            let is_fresh =
                context.service.group().has_fresh_report(ticket, FRESH_REPORT_AGE, Instant::now());
            is_fresh && estimate.is_good(shape)
        });
        if is_good_enough {
            break;
        }
    }
    // Late responses are still useful for the next selection.
    probes.detach_all();
}

/// Returns servers of which only a probe would show whether they are cold.
fn possibly_cold(context: &SelectionContext<'_>, servers: &[ServerTicket]) -> Vec<ServerTicket> {
    let now = Instant::now();
    let group = context.service.group();
    let unknown = servers.iter().copied().filter(|ticket| group.may_be_cold(*ticket, now));
    unknown.take(PROBES_PER_ROUND).collect()
}

/// Returns the candidates to probe: those without a fresh report if there is a choice, and those
/// that may be cold in any case.
fn due_probes(
    context: &SelectionContext<'_>,
    candidates: &[ServerTicket],
    now: Instant,
) -> Vec<ServerTicket> {
    let group = context.service.group();
    if !group.is_worth_probing() {
        return Vec::new();
    }
    let has_choice = candidates.len() > 1;
    let is_due = |ticket: &ServerTicket| {
        let is_compared = has_choice && !group.has_fresh_report(*ticket, FRESH_REPORT_AGE, now);
        is_compared || group.may_be_cold(*ticket, now)
    };
    candidates.iter().copied().filter(is_due).collect()
}

/// Probes a server while this VM reaches none, to learn when that ends.
pub(crate) fn check_access(context: &SelectionContext<'_>, shape: RequestShape) {
    let now = Instant::now();
    let Some(path) = context.health_path.filter(|_| context.service.access.is_check_due(now))
    else {
        return;
    };
    let group = context.service.group();
    let candidates = group.candidates(1, shape, &[], now, &mut rand::rng());
    drop(group);
    for ticket in candidates {
        tokio::spawn(probe_server(context, ticket, path));
    }
}

/// Probes a server that gets no requests because of its limit, to learn when the limit ends.
fn check_limit(context: &SelectionContext<'_>) {
    let is_worth_probing = context.service.group().is_worth_probing();
    let Some(path) = context.health_path.filter(|_| is_worth_probing) else {
        return;
    };
    let due = context.service.group().limit_check(Instant::now());
    if let Some(ticket) = due {
        tokio::spawn(probe_server(context, ticket, path));
    }
}

/// Returns a future that probes a server and records it as unreachable if the probe fails.
fn probe_server(
    context: &SelectionContext<'_>,
    ticket: ServerTicket,
    path: &str,
) -> impl Future<Output = ()> + Send + use<> {
    context.metrics.probes.inc();
    let (service, wire) = (Arc::clone(context.service), Arc::clone(context.wire));
    let (limits, path) = (context.metrics.probe_limits.clone(), Box::<str>::from(path));
    async move {
        let probe = send_probe(&service, &wire, &limits, ticket, &path);
        if !matches!(timeout(PROBE_TIMEOUT, probe).await, Ok(Some(()))) {
            let now = Instant::now();
            let address = service.group().id_and_address(ticket).map(|(_, address)| address);
            if let Some(address) = address {
                service.access.record_failure(address);
            }
            service.group().record_outcome(ticket, SampleOutcome::Unreachable, now);
        }
    }
}

/// Sends a probe and applies its response. Returns `None` if the probe failed.
async fn send_probe(
    service: &HostedService,
    wire: &WireInterface,
    limits: &IntCounter,
    ticket: ServerTicket,
    path: &str,
) -> Option<()> {
    let (id, address) = {
        let group = service.group();
        let (id, address) = group.id_and_address(ticket)?;
        (id.clone(), address)
    };
    let mut connection = match service.pool.take_idle(address, ReusePolicy::Any, Instant::now()) {
        Some(connection) => connection,
        None => match service.pool.open(address, service.connection_limit()).await {
            Ok(connection) => connection,
            // Requests of this VM use all of its connections, which says nothing about the server.
            Err(error) if error.kind() == ErrorKind::ResourceBusy => return Some(()),
            Err(_) => return None,
        },
    };
    if service.group().is_withdrawn(ticket, Instant::now()) {
        // It said so while the connection was opened.
        return Some(());
    }
    let sent_at = Instant::now();
    let response = connection.sender.send_request(probe_request(address, path)?).await.ok()?;
    service.group().record_probe_time(ticket, sent_at.elapsed());
    service.record_contact(&connection);
    let headers = response.headers();
    if headers.contains_key(&wire.headers.request_id) {
        // A late copy of the response to a request. The probe's own follows, so the connection is
        // closed.
        return Some(());
    }
    if is_from_server(wire, headers, &id) == Some(false) {
        // The address belongs to another server now.
        service.group().mark_leaving(ticket);
        return Some(());
    }
    service.record_notice(ticket, &(wire.read_notice)(response.status().as_u16(), headers));
    let left = (wire.read_warm_up)(headers);
    service.record_warm_up(ticket, WarmUpResponse { left, is_probe: true, sent_at });
    match (wire.read_load)(headers) {
        Some(load) => service.group().apply_report(ticket, load, Instant::now()),
        None => service.group().count_check_without_report(),
    }
    let rate = (wire.read_limit)(headers);
    if rate.is_some() {
        limits.inc();
    }
    service.record_limit(ticket, LimitResponse { rate, is_probe: true, sent_at });
    let keep_alive = keep_alive_timeout(headers);
    discard_body(response.into_body()).await?;
    connection.apply_keep_alive(keep_alive);
    service.pool.put_idle(connection, Instant::now());
    Some(())
}

/// Whether a response comes from a server, by the server's identity in it; `None` if it names none.
pub(crate) fn is_from_server(
    wire: &WireInterface,
    headers: &HeaderMap,
    server: &ServerId,
) -> Option<bool> {
    let responding_server = headers.get(&wire.headers.responding_server)?;
    Some(responding_server.as_bytes() == server.as_str().as_bytes())
}

/// Reads a body that is not needed, so that its connection can be used again. Returns `None` if it
/// is too long or does not end soon.
pub(crate) async fn discard_body(body: Incoming) -> Option<()> {
    let body = Limited::new(body, MAX_DISCARDED_BYTES);
    timeout(DISCARD_TIMEOUT, body.collect()).await.ok()?.ok()?;
    Some(())
}

/// Returns how long a server keeps an idle connection open, by its `Keep-Alive` header.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds =
        text.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

pub(crate) fn probe_request(
    address: std::net::SocketAddr,
    path: &str,
) -> Option<Request<BackendRequestBody>> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut request = Request::new(body);
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}
