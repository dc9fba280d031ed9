//! Chooses a server for a request: asks a few candidates for their load, and compares.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};

use balance::{ASKED, PlacementEstimate, ROUNDS, RequestShape, SampleOutcome, ServerTicket};
use observe::HostedMetrics;
use routes::WireInterface;

use crate::body::BackendRequestBody;
use crate::hosted::service::{CONNECTIONS_TO_SERVER, HostedService, PlaceLease};
use crate::pool::{BackendConnection, ConnectionTrust};

/// Age up to which a report needs no asking again.
const FRESH: Duration = Duration::from_millis(15);

/// How long a choice waits for reports. The users' servers answer within 6 ms and the way.
const ASK_TIME: Duration = Duration::from_millis(25);

/// How long a probe may take before its server counts as unreachable.
const PROBE_TIME: Duration = Duration::from_millis(300);

/// What placing needs.
pub(crate) struct PlacingParts<'a> {
    pub(crate) service: &'a Arc<HostedService>,
    pub(crate) wire: &'a Arc<WireInterface>,
    pub(crate) metrics: &'a HostedMetrics,
    /// Path of the service's health checks; no server is asked without it.
    pub(crate) health_path: Option<&'a str>,
}

/// A chosen server and what is expected there.
pub(crate) struct ChosenPlace {
    pub(crate) lease: PlaceLease,
    pub(crate) estimate: PlacementEstimate,
}

/// Chooses a server. Servers in `tried` are chosen only if there is no other.
pub(crate) async fn choose_place(
    parts: &PlacingParts<'_>,
    shape: RequestShape,
    tried: &[ServerTicket],
) -> Option<ChosenPlace> {
    let mut looked_at: Vec<ServerTicket> = Vec::new();
    let mut excluded: Vec<ServerTicket> = tried.to_vec();
    for _ in 0..ROUNDS {
        let candidates = parts.service.group().candidates(
            ASKED,
            shape,
            &excluded,
            Instant::now(),
            &mut rand::rng(),
        );
        if candidates.is_empty() {
            break;
        }
        looked_at.extend(&candidates);
        excluded.extend(&candidates);
        ask(parts, &candidates, shape).await;
        let best = parts.service.group().best(&looked_at, shape, Instant::now());
        if best.is_some_and(|(_, estimate)| estimate.is_acceptable(shape)) {
            break;
        }
    }
    if looked_at.is_empty() {
        // All servers were tried; the best of them may be tried again.
        looked_at = tried.to_vec();
    }
    let now = Instant::now();
    let (ticket, estimate) = parts.service.group().best(&looked_at, shape, now)?;
    let lease = PlaceLease::begin(parts.service, ticket, now);
    Some(ChosenPlace { lease, estimate })
}

/// Asks candidates for their load, until one is good enough or the time is over.
async fn ask(parts: &PlacingParts<'_>, candidates: &[ServerTicket], shape: RequestShape) {
    let is_useful = candidates.len() > 1 && parts.service.group().is_worth_asking();
    let Some(path) = parts.health_path.filter(|_| is_useful) else {
        return;
    };
    let now = Instant::now();
    let mut probes = JoinSet::new();
    for ticket in candidates {
        if !parts.service.group().is_fresh(*ticket, FRESH, now) {
            parts.metrics.probes.inc();
            let (service, wire) = (Arc::clone(parts.service), Arc::clone(parts.wire));
            probes.spawn(probe(service, wire, *ticket, path.into()));
        }
    }
    let until = now + ASK_TIME;
    while let Ok(Some(_)) = timeout_at(until, probes.join_next()).await {
        let best = parts.service.group().best(candidates, shape, Instant::now());
        let is_good = best.is_some_and(|(ticket, estimate)| {
            let is_known = parts.service.group().is_fresh(ticket, FRESH, Instant::now());
            is_known && estimate.is_good(shape)
        });
        if is_good {
            break;
        }
    }
    // Late reports are of use for the next choice.
    probes.detach_all();
}

async fn probe(
    service: Arc<HostedService>,
    wire: Arc<WireInterface>,
    ticket: ServerTicket,
    path: Box<str>,
) {
    let is_answered = timeout(PROBE_TIME, run_probe(&service, &wire, ticket, &path)).await;
    if !matches!(is_answered, Ok(Some(()))) {
        let now = Instant::now();
        service.group().note_outcome(ticket, SampleOutcome::Unreachable, now);
    }
}

/// Sends a probe and takes in its answer; `None` when there was none.
async fn run_probe(
    service: &HostedService,
    wire: &WireInterface,
    ticket: ServerTicket,
    path: &str,
) -> Option<()> {
    let (id, address) = {
        let group = service.group();
        let (id, address) = group.place(ticket)?;
        (id.clone(), address)
    };
    let mut connection = match service.pool.take(address, ConnectionTrust::Any, Instant::now()) {
        Some(connection) => connection,
        None => service.pool.open(address, CONNECTIONS_TO_SERVER).await.ok()?,
    };
    let answer = connection.sender.send_request(probe_request(address, path)?).await.ok()?;
    let headers = answer.headers();
    let answering = headers.get(&wire.headers.answering_server);
    let is_other = answering.is_some_and(|value| value.as_bytes() != id.as_str().as_bytes());
    if is_other {
        // The address serves another server now.
        service.group().mark_leaving(ticket);
        return Some(());
    }
    match (wire.read_load)(headers) {
        Some(figures) => service.group().take_report(ticket, figures, Instant::now()),
        None => service.group().note_blank_answer(),
    }
    let keep_alive = read_keep_alive(headers);
    answer.into_body().collect().await.ok()?;
    keep(service, connection, keep_alive);
    Some(())
}

fn keep(service: &HostedService, mut connection: BackendConnection, keep_alive: Option<Duration>) {
    connection.limit_idle(keep_alive);
    service.pool.put(connection, Instant::now());
}

/// How long a server keeps an idle connection open.
pub(crate) fn read_keep_alive(headers: &hyper::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn probe_request(address: std::net::SocketAddr, path: &str) -> Option<Request<BackendRequestBody>> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut request = Request::new(body);
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}
