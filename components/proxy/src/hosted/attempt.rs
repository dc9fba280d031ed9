//! One send of a request to one server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use tokio::time::{Instant, timeout};

use balance::{CONNECT_TIME, LoadFigures, SampleOutcome};
use model::ServerId;
use routes::WireInterface;

use crate::body::BackendRequestBody;
use crate::body::CallerResponseBody;
use crate::headers::remove_hop_by_hop;
use crate::hosted::placing::read_keep_alive;
use crate::hosted::service::{CONNECTIONS_TO_SERVER, PlaceLease};
use crate::pool::{BackendConnection, ConnectionTrust};
use crate::prefixed::PrefixedBody;
use crate::response_body::{ResponseBody, ResponseEnd};

/// Largest answer that is read whole before it is passed on. A faulty answer can then still be
/// replaced. The users' largest answers have 30 KB.
const MAX_READ_AHEAD: usize = 64 << 10;

/// How one send ended.
pub(crate) enum AttemptEnd {
    /// The server's answer, whole or streaming.
    Answered(ServerReply),
    /// The request did not run: no byte was sent, or the server says so.
    NotRun(NotRunReason),
    /// It may have run, and there is no answer to pass on.
    Unknown(UnknownReason),
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum NotRunReason {
    /// No connection could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The server had no room.
    #[display("shed")]
    Shed,
    /// Another server has the address.
    #[display("other-server")]
    OtherServer,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum UnknownReason {
    /// The connection broke or the answer was cut short.
    #[display("broken-off")]
    BrokenOff,
    /// The answer belongs to another request.
    #[display("foreign-answer")]
    ForeignAnswer,
    /// The answer is not the server's own.
    #[display("unsigned-answer")]
    Unsigned,
}

/// An answer to pass on.
pub(crate) struct ServerReply {
    pub(crate) response: Response<CallerResponseBody>,
    pub(crate) server: ServerId,
    pub(crate) report_age: Option<Duration>,
}

/// What one send needs.
pub(crate) struct AttemptPlan {
    pub(crate) wire: Arc<WireInterface>,
    pub(crate) request_id: HeaderValue,
    pub(crate) trust: ConnectionTrust,
    /// When the caller's time is over; the server learns what is left of it.
    pub(crate) deadline: Instant,
    /// Set as soon as a byte of the request may have left.
    pub(crate) is_sent: Arc<AtomicBool>,
}

/// Sends a request to the server that a lease names.
pub(crate) async fn run_attempt(
    lease: PlaceLease,
    plan: AttemptPlan,
    mut request: Request<BackendRequestBody>,
) -> AttemptEnd {
    let Some((server, connection)) = connect(&lease, plan.trust).await else {
        lease.end(SampleOutcome::Unreachable, None);
        return AttemptEnd::NotRun(NotRunReason::Unreachable);
    };
    set_identity(&plan, &server, request.headers_mut());
    match send(&lease, &plan, connection, request).await {
        Ok((response, connection)) => {
            judge(lease, &plan, Exchange { server, response, connection }).await
        }
        Err(end) => {
            let outcome = match end {
                AttemptEnd::NotRun(_) => SampleOutcome::Unreachable,
                _ => SampleOutcome::Failed,
            };
            lease.end(outcome, None);
            end
        }
    }
}

async fn connect(
    lease: &PlaceLease,
    trust: ConnectionTrust,
) -> Option<(ServerId, BackendConnection)> {
    let service = &lease.service;
    let (server, address) = {
        let group = service.group();
        let (server, address) = group.place(lease.ticket)?;
        (server.clone(), address)
    };
    if let Some(connection) = service.pool.take(address, trust, Instant::now()) {
        return Some((server, connection));
    }
    let opened = timeout(CONNECT_TIME, service.pool.open(address, CONNECTIONS_TO_SERVER)).await;
    Some((server, opened.ok()?.ok()?))
}

fn set_identity(plan: &AttemptPlan, server: &ServerId, headers: &mut HeaderMap) {
    let left = plan.deadline.saturating_duration_since(Instant::now());
    let names = &plan.wire.headers;
    headers.insert(&names.deadline_ms, HeaderValue::from(left.as_millis() as u64));
    if let Ok(value) = HeaderValue::from_str(server.as_str()) {
        headers.insert(&names.expected_server, value);
    }
}

/// Sends the request on a connection, or on a new one if it turns out to be closed before a byte
/// was written.
async fn send(
    lease: &PlaceLease,
    plan: &AttemptPlan,
    mut connection: BackendConnection,
    request: Request<BackendRequestBody>,
) -> Result<(Response<Incoming>, BackendConnection), AttemptEnd> {
    plan.is_sent.store(true, Ordering::Release);
    let mut error = match connection.sender.try_send_request(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(error) => error,
    };
    let Some(request) = error.take_message() else {
        return Err(AttemptEnd::Unknown(UnknownReason::BrokenOff));
    };
    plan.is_sent.store(false, Ordering::Release);
    drop(connection);
    let Some((_, mut connection)) = connect(lease, ConnectionTrust::New).await else {
        return Err(AttemptEnd::NotRun(NotRunReason::Unreachable));
    };
    plan.is_sent.store(true, Ordering::Release);
    let mut error = match connection.sender.try_send_request(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(error) => error,
    };
    if error.take_message().is_none() {
        return Err(AttemptEnd::Unknown(UnknownReason::BrokenOff));
    }
    plan.is_sent.store(false, Ordering::Release);
    Err(AttemptEnd::NotRun(NotRunReason::Unreachable))
}

struct Exchange {
    server: ServerId,
    response: Response<Incoming>,
    connection: BackendConnection,
}

/// Decides what an answer says, and reads it.
async fn judge(lease: PlaceLease, plan: &AttemptPlan, exchange: Exchange) -> AttemptEnd {
    let status = exchange.response.status().as_u16();
    let headers = exchange.response.headers();
    let report = (plan.wire.read_load)(headers);
    let names = &plan.wire.headers;
    if headers.get(&names.request_id).is_some_and(|id| *id != plan.request_id) {
        lease.end(SampleOutcome::Failed, report);
        return AttemptEnd::Unknown(UnknownReason::ForeignAnswer);
    }
    if (plan.wire.is_not_run)(status, headers) {
        plan.is_sent.store(false, Ordering::Release);
        return end_not_run(lease, plan, exchange, report).await;
    }
    let is_signed = headers.contains_key(&names.signature);
    let is_own_body = !headers.contains_key(CONTENT_ENCODING);
    let is_echoed = headers.contains_key(&names.request_id);
    if !(is_signed && is_own_body && is_echoed) && status < 500 {
        lease.end(SampleOutcome::Failed, report);
        return AttemptEnd::Unknown(UnknownReason::Unsigned);
    }
    read_reply(lease, exchange, report).await
}

async fn end_not_run(
    lease: PlaceLease,
    plan: &AttemptPlan,
    exchange: Exchange,
    report: Option<LoadFigures>,
) -> AttemptEnd {
    let answering = exchange.response.headers().get(&plan.wire.headers.answering_server);
    let is_other = answering
        .is_some_and(|value| value.as_bytes() != exchange.server.as_str().as_bytes())
        || exchange.response.status() == hyper::StatusCode::MISDIRECTED_REQUEST;
    if is_other {
        lease.service.group().mark_leaving(lease.ticket);
        lease.end(SampleOutcome::Cancelled, None);
        return AttemptEnd::NotRun(NotRunReason::OtherServer);
    }
    let keep_alive = read_keep_alive(exchange.response.headers());
    if exchange.response.into_body().collect().await.is_ok() {
        put_back(&lease, exchange.connection, keep_alive);
    }
    lease.end(SampleOutcome::Shed, report);
    AttemptEnd::NotRun(NotRunReason::Shed)
}

/// Reads a short answer whole, so that one that is cut short never reaches the caller.
async fn read_reply(
    lease: PlaceLease,
    exchange: Exchange,
    report: Option<LoadFigures>,
) -> AttemptEnd {
    let Exchange { server, response, mut connection } = exchange;
    let (mut parts, mut incoming) = response.into_parts();
    let outcome = match parts.status.is_server_error() {
        true => SampleOutcome::Failed,
        false => SampleOutcome::Answered,
    };
    let keep_alive = read_keep_alive(&parts.headers);
    let report_age = lease.report_age;
    remove_hop_by_hop(&mut parts.headers);
    let Ok((bytes, is_whole)) = read_ahead(&mut incoming).await else {
        lease.end(SampleOutcome::Failed, report);
        return AttemptEnd::Unknown(UnknownReason::BrokenOff);
    };
    let response = if is_whole {
        connection.note_answer(Instant::now(), keep_alive);
        lease.service.pool.put(connection, Instant::now());
        lease.end(outcome, report);
        whole_response(parts, bytes)
    } else {
        streamed_response(parts, bytes, incoming, StreamEnd { lease, connection, outcome, report })
    };
    AttemptEnd::Answered(ServerReply { response, server, report_age })
}

async fn read_ahead(incoming: &mut Incoming) -> Result<(Bytes, bool), hyper::Error> {
    let mut kept = BytesMut::new();
    while kept.len() < MAX_READ_AHEAD {
        let Some(frame) = incoming.frame().await else {
            return Ok((kept.freeze(), true));
        };
        if let Ok(data) = frame?.into_data() {
            kept.extend_from_slice(&data);
        }
        if incoming.is_end_stream() {
            return Ok((kept.freeze(), true));
        }
    }
    Ok((kept.freeze(), false))
}

fn whole_response(parts: Parts, bytes: Bytes) -> Response<CallerResponseBody> {
    let body = Full::new(bytes).map_err(|never| match never {}).boxed_unsync();
    Response::from_parts(parts, body)
}

struct StreamEnd {
    lease: PlaceLease,
    connection: BackendConnection,
    outcome: SampleOutcome,
    report: Option<LoadFigures>,
}

fn streamed_response(
    parts: Parts,
    beginning: Bytes,
    rest: Incoming,
    stream: StreamEnd,
) -> Response<CallerResponseBody> {
    /// Longest time for the rest of a long answer.
    const REST_TIME: Duration = Duration::from_secs(30);
    let end = move |how| {
        // A long answer's connection is not used again: it closes with the exchange.
        drop(stream.connection);
        match how {
            ResponseEnd::Complete => stream.lease.end(stream.outcome, stream.report),
            ResponseEnd::Failed => stream.lease.end(SampleOutcome::Failed, stream.report),
        }
    };
    let rest = ResponseBody::new(rest, Instant::now() + REST_TIME, end, ());
    Response::from_parts(parts, PrefixedBody::new(beginning, rest).boxed_unsync())
}

fn put_back(lease: &PlaceLease, mut connection: BackendConnection, keep_alive: Option<Duration>) {
    connection.limit_idle(keep_alive);
    lease.service.pool.put(connection, Instant::now());
}
