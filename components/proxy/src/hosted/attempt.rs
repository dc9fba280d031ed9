//! One attempt to send a request to one backend server.

use std::io::ErrorKind;
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

use balance::{CONNECT_TIMEOUT, SampleOutcome, ServerLoad};
use model::{RequestRate, ServerId};
use routes::WireInterface;

use crate::body::BackendRequestBody;
use crate::body::CallerResponseBody;
use crate::byte_budget::ByteBudget;
use crate::headers::{is_final_status, prepare_response_head};
use crate::hosted::selection::{discard_body, is_from_server, keep_alive_timeout};
use crate::hosted::server_lease::ServerLease;
use crate::pool::{BackendConnection, ReusePolicy};
use crate::prefixed_body::PrefixedBody;
use crate::response_body::{ResponseBody, ResponseEnd};

/// Number of body bytes that are read before a response is streamed. A shorter response is buffered
/// completely, so that a truncated one can still be replaced by that of another attempt.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 1 << 20;

/// The same for a response that is longer than those of its route before. Requests that are pipelined
/// behind it may be running.
pub(crate) const MAX_UNEXPECTED_RESPONSE_BYTES: usize = 4 << 20;

/// Longest time from the start of an attempt until its request is sent: if a pooled connection turns
/// out to be closed, a new one is opened.
pub const MAX_SEND_DELAY: Duration = CONNECT_TIMEOUT.saturating_mul(2);

/// Time after its deadline during which a request still waits for a response. Servers may use all
/// of the time that they were given, so their responses can arrive after the deadline.
pub(crate) const RESPONSE_GRACE: Duration = Duration::from_millis(80);

/// Outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// The server responded; the body is buffered or still being streamed.
    Responded(ServerResponse),
    /// The request did not run: no byte of it was sent, or the server reported that it did not run.
    NotRun(NotRunReason),
    /// The request may have run, and there is no response to forward.
    Unknown(UnknownReason),
}

/// Reason why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum NotRunReason {
    /// No connection could be opened, or it closed before a byte of the request was sent.
    #[display("unreachable")]
    Unreachable,
    /// The server refused the request without running it.
    #[display("shed")]
    Shed,
    /// The address belongs to another server.
    #[display("other-server")]
    OtherServer,
    /// This VM may have no further connection to the server.
    #[display("no-connection")]
    NoConnection,
    /// The server said that it leaves, or wants no requests, or its zone was evacuated, after it was
    /// selected.
    #[display("withdrawn")]
    Withdrawn,
    /// The server is cold, and this VM's turn there ended before the request could be sent.
    #[display("missed-turn")]
    MissedTurn,
}

impl NotRunReason {
    /// Whether a byte of the request reached the server.
    pub(crate) fn has_reached_server(self) -> bool {
        matches!(self, Self::Shed | Self::OtherServer)
    }
}

/// Reason why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum UnknownReason {
    /// The connection broke or the response was truncated.
    #[display("broken-off")]
    ConnectionBroken,
    /// The response carries the ID of another request.
    #[display("foreign-answer")]
    RequestIdMismatch,
    /// The response lacks a signature or a request ID, or has a content encoding, so it may not
    /// come from the server.
    #[display("unsigned-answer")]
    Unverified,
    /// The status is not that of a final response.
    #[display("invalid-status")]
    InvalidStatus,
    /// The status promises that the request has not run, but the server doesn't say so.
    #[display("unmarked-promise")]
    UnmarkedPromise,
}

/// Statuses by which the entry VM's callers know that a request has not run.
pub(crate) const PROMISE_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A response to forward to the caller.
pub(crate) struct ServerResponse {
    pub(crate) http: Response<CallerResponseBody>,
    pub(crate) server: ServerId,
    pub(crate) report_age: Option<Duration>,
    /// Limit that the response names.
    pub(crate) limit: Option<RequestRate>,
    /// Size of the body; `None` if it is streamed without a known length.
    pub(crate) body_bytes: Option<u64>,
    /// Whether the body has more than `MAX_BUFFERED_RESPONSE_BYTES`, or is streamed.
    pub(crate) is_long: bool,
}

/// Parameters of one attempt.
pub(crate) struct AttemptContext {
    pub(crate) wire: Arc<WireInterface>,
    pub(crate) request_id: HeaderValue,
    pub(crate) reuse_policy: ReusePolicy,
    /// Deadline of the request. The server receives the time that remains until then.
    pub(crate) deadline: Instant,
    /// Number of bytes of the response that are read before it is streamed.
    pub(crate) max_buffered_bytes: usize,
    /// Whether a byte of the request may have been sent. Cleared again once it is certain that the
    /// request did not run.
    pub(crate) is_sent: Arc<AtomicBool>,
}

/// Sends a request to the leased server and reads the response.
pub(crate) async fn run_attempt(
    lease: ServerLease,
    context: AttemptContext,
    mut request: Request<BackendRequestBody>,
) -> AttemptOutcome {
    let (server, connection) = match connect(&lease, context.reuse_policy).await {
        Ok(connected) => connected,
        Err(reason) => {
            lease.finish(unsent_outcome(reason), None);
            return AttemptOutcome::NotRun(reason);
        }
    };
    if let Some(reason) = obstacle(&lease) {
        return AttemptOutcome::NotRun(reason);
    }
    set_attempt_headers(&context, &server, request.headers_mut());
    match send_request(&lease, &context, connection, request).await {
        Ok((response, connection)) => {
            classify_response(lease, &context, Exchange { server, response, connection }).await
        }
        Err(outcome) => {
            let sample_outcome = match outcome {
                AttemptOutcome::NotRun(reason) => unsent_outcome(reason),
                _ => SampleOutcome::Failed,
            };
            lease.finish(sample_outcome, None);
            outcome
        }
    }
}

/// Why a request must not be sent to its server any more; checked right before it is sent.
fn obstacle(lease: &ServerLease) -> Option<NotRunReason> {
    if lease.is_withdrawn() {
        return Some(NotRunReason::Withdrawn);
    }
    lease.has_missed_turn().then_some(NotRunReason::MissedTurn)
}

/// What a request that was not sent says about its server.
fn unsent_outcome(reason: NotRunReason) -> SampleOutcome {
    match reason {
        NotRunReason::Unreachable => SampleOutcome::Unreachable,
        _ => SampleOutcome::Cancelled,
    }
}

async fn connect(
    lease: &ServerLease,
    reuse_policy: ReusePolicy,
) -> Result<(ServerId, BackendConnection), NotRunReason> {
    let service = &lease.service;
    let (server, address) = {
        let group = service.group();
        let (server, address) =
            group.id_and_address(lease.ticket()).ok_or(NotRunReason::Unreachable)?;
        (server.clone(), address)
    };
    if let Some(connection) = service.pool.take_idle(address, reuse_policy, Instant::now()) {
        return Ok((server, connection));
    }
    let opening = service.pool.open(address, service.connection_limit());
    match timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(connection)) => Ok((server, connection)),
        Ok(Err(error)) if error.kind() == ErrorKind::ResourceBusy => {
            Err(NotRunReason::NoConnection)
        }
        _ => {
            service.access.record_failure(address);
            Err(NotRunReason::Unreachable)
        }
    }
}

fn set_attempt_headers(context: &AttemptContext, server: &ServerId, headers: &mut HeaderMap) {
    set_deadline(&context.wire, context.deadline, headers);
    let names = &context.wire.headers;
    if let Ok(value) = HeaderValue::from_str(server.as_str()) {
        headers.insert(&names.expected_server, value);
    }
}

/// Sets the time that remains until the deadline.
pub(crate) fn set_deadline(wire: &WireInterface, deadline: Instant, headers: &mut HeaderMap) {
    let remaining = deadline.saturating_duration_since(Instant::now());
    headers.insert(&wire.headers.deadline_ms, HeaderValue::from(remaining.as_millis() as u64));
}

/// Sends the request on `connection`, or on a new one if `connection` turns out to be closed before
/// a byte was written.
async fn send_request(
    lease: &ServerLease,
    context: &AttemptContext,
    mut connection: BackendConnection,
    request: Request<BackendRequestBody>,
) -> Result<(Response<Incoming>, BackendConnection), AttemptOutcome> {
    context.is_sent.store(true, Ordering::Release);
    let mut error = match connection.send(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(error) => error,
    };
    let Some(request) = error.take_message() else {
        return Err(AttemptOutcome::Unknown(UnknownReason::ConnectionBroken));
    };
    context.is_sent.store(false, Ordering::Release);
    drop(connection);
    let (_, mut connection) =
        connect(lease, ReusePolicy::Never).await.map_err(AttemptOutcome::NotRun)?;
    if let Some(reason) = obstacle(lease) {
        return Err(AttemptOutcome::NotRun(reason));
    }
    context.is_sent.store(true, Ordering::Release);
    let mut error = match connection.send(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(error) => error,
    };
    if error.take_message().is_none() {
        return Err(AttemptOutcome::Unknown(UnknownReason::ConnectionBroken));
    }
    context.is_sent.store(false, Ordering::Release);
    Err(AttemptOutcome::NotRun(NotRunReason::Unreachable))
}

/// A server's response, and the connection that it arrived on.
struct Exchange {
    server: ServerId,
    response: Response<Incoming>,
    connection: BackendConnection,
}

/// Classifies a response by its status and headers, and reads its body.
async fn classify_response(
    lease: ServerLease,
    context: &AttemptContext,
    exchange: Exchange,
) -> AttemptOutcome {
    lease.service.record_contact(&exchange.connection);
    let status = exchange.response.status().as_u16();
    let headers = exchange.response.headers();
    let report = (context.wire.read_load)(headers);
    let is_other_server = is_of_other_server(context, &exchange);
    if !is_other_server {
        lease.record_notice(&(context.wire.read_notice)(status, headers));
        lease.record_warm_up((context.wire.read_warm_up)(headers));
    }
    let names = &context.wire.headers;
    if headers.get(&names.request_id).is_some_and(|id| *id != context.request_id) {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::RequestIdMismatch);
    }
    let has_request_id = headers.contains_key(&names.request_id);
    if !has_request_id && exchange.connection.has_responded() {
        // It may be a late copy of the response to an earlier request or probe.
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::Unverified);
    }
    if !is_final_status(status) {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::InvalidStatus);
    }
    if (context.wire.is_not_run)(status, headers) {
        context.is_sent.store(false, Ordering::Release);
        if is_other_server {
            lease.service.group().mark_leaving(lease.ticket());
            lease.finish(SampleOutcome::Cancelled, None);
            return AttemptOutcome::NotRun(NotRunReason::OtherServer);
        }
        return finish_refusal(lease, context, exchange, report).await;
    }
    if PROMISE_STATUSES.contains(&status) {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::UnmarkedPromise);
    }
    let has_signature = headers.contains_key(&names.signature);
    let is_unencoded = !headers.contains_key(CONTENT_ENCODING);
    if !(has_signature && is_unencoded && has_request_id) && status < 500 {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::Unverified);
    }
    read_response(lease, context, exchange, report).await
}

/// Whether the address belongs to another server now, which sent the response.
fn is_of_other_server(context: &AttemptContext, exchange: &Exchange) -> bool {
    let response = &exchange.response;
    is_from_server(&context.wire, response.headers(), &exchange.server) == Some(false)
        || response.status() == hyper::StatusCode::MISDIRECTED_REQUEST
}

async fn finish_refusal(
    lease: ServerLease,
    context: &AttemptContext,
    exchange: Exchange,
    report: Option<ServerLoad>,
) -> AttemptOutcome {
    lease.record_limit((context.wire.read_limit)(exchange.response.headers()));
    let keep_alive = keep_alive_timeout(exchange.response.headers());
    // The connection of a refusal whose body doesn't end soon is closed: the retry must not wait.
    if discard_body(exchange.response.into_body()).await.is_some() {
        lease.service.pool.put_responded(exchange.connection, keep_alive, Instant::now());
    }
    lease.finish(SampleOutcome::Shed, report);
    AttemptOutcome::NotRun(NotRunReason::Shed)
}

/// Buffers a response completely if it is within the limit, so that a truncated one never reaches the
/// caller. Streams a longer one.
async fn read_response(
    lease: ServerLease,
    context: &AttemptContext,
    exchange: Exchange,
    report: Option<ServerLoad>,
) -> AttemptOutcome {
    let Exchange { server, response, connection } = exchange;
    let (mut parts, mut incoming) = response.into_parts();
    let outcome = match parts.status.is_server_error() {
        true => SampleOutcome::Failed,
        false => SampleOutcome::Responded,
    };
    let keep_alive = keep_alive_timeout(&parts.headers);
    let report_age = lease.report_age;
    let limit = (context.wire.read_limit)(&parts.headers);
    let deadline = context.deadline + RESPONSE_GRACE;
    // An error without a signature need not be the server's own.
    if limit.is_some() || parts.headers.contains_key(&context.wire.headers.signature) {
        lease.record_limit(limit);
    }
    prepare_response_head(&mut parts);
    let buffering =
        buffer_body(&mut incoming, &lease.service.body_budget, context.max_buffered_bytes);
    let Ok((bytes, is_complete)) = buffering.await else {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::ConnectionBroken);
    };
    let is_long = !is_complete || bytes.len() > MAX_BUFFERED_RESPONSE_BYTES;
    let body_bytes = match is_complete {
        true => Some(bytes.len() as u64),
        false => incoming.size_hint().exact().map(|rest| rest + bytes.len() as u64),
    };
    let http = if is_complete {
        lease.service.pool.put_responded(connection, keep_alive, Instant::now());
        lease.finish(outcome, report);
        buffered_response(parts, bytes)
    } else {
        let on_end = move |body_end| {
            let outcome = match body_end {
                ResponseEnd::Complete => outcome,
                ResponseEnd::Failed => SampleOutcome::Failed,
            };
            lease.finish(outcome, report);
        };
        streamed_response(parts, bytes, incoming, connection, deadline, on_end)
    };
    AttemptOutcome::Responded(ServerResponse {
        http,
        server,
        report_age,
        limit,
        body_bytes,
        is_long,
    })
}

/// Reads at least `max_bytes` of a body, or all of it if it is shorter; less if `budget` has no room,
/// of which the bytes use a part. Returns whether the end was reached.
pub(crate) async fn buffer_body(
    incoming: &mut Incoming,
    budget: &ByteBudget,
    max_bytes: usize,
) -> Result<(Bytes, bool), hyper::Error> {
    let mut buffered = BytesMut::new();
    let mut share = budget.take(0);
    let mut is_complete = false;
    while !is_complete && buffered.len() < max_bytes {
        match incoming.frame().await {
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    buffered.extend_from_slice(&data);
                }
                is_complete = incoming.is_end_stream();
            }
            None => is_complete = true,
        }
        share.resize(buffered.capacity());
        if !budget.has_room() {
            break;
        }
    }
    Ok((share.hold_with(buffered.freeze()), is_complete))
}

pub(crate) fn buffered_response(parts: Parts, bytes: Bytes) -> Response<CallerResponseBody> {
    let body = Full::new(bytes).map_err(|never| match never {}).boxed_unsync();
    Response::from_parts(parts, body)
}

/// Streams the rest of a response that must be complete by `deadline`. The connection is not reused;
/// it closes with the exchange.
pub(crate) fn streamed_response(
    parts: Parts,
    prefix: Bytes,
    rest: Incoming,
    connection: BackendConnection,
    deadline: Instant,
    on_end: impl FnOnce(ResponseEnd) + Send + 'static,
) -> Response<CallerResponseBody> {
    // A caller that reads slowly doesn't extend the time of the server's connection.
    let close_guard = connection.close_at(deadline);
    let on_end = move |body_end| {
        drop(close_guard);
        if body_end == ResponseEnd::Complete {
            connection.close_after_request();
        }
        on_end(body_end);
    };
    let rest = ResponseBody::new(rest, deadline, on_end, ());
    Response::from_parts(parts, PrefixedBody::new(prefix, rest).boxed_unsync())
}
