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

use crate::answer::{AnswerBody, AnswerEnd};
use crate::body::AnswerStream;
use crate::body::SendBody;
use crate::headers::remove_hop_by_hop;
use crate::hosted::selection::keep_alive_timeout;
use crate::hosted::service::{MAX_CONNECTIONS_PER_SERVER, ServerLease};
use crate::pool::{BackendConnection, ConnectionTrust};
use crate::prefixed::PrefixedBody;

/// Largest answer that is read whole before it is passed on. A faulty answer can then still be
/// replaced. The users' largest answers have 30 KB.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;

/// How one send ended.
pub(crate) enum AttemptOutcome {
    /// The server's answer, whole or streaming.
    Answered(ServerResponse),
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
    ConnectionBroken,
    /// The answer belongs to another request.
    #[display("foreign-answer")]
    RequestIdMismatch,
    /// The answer is not the server's own.
    #[display("unsigned-answer")]
    Unverified,
}

/// An answer to pass on.
pub(crate) struct ServerResponse {
    pub(crate) http: Response<AnswerStream>,
    pub(crate) server: ServerId,
    pub(crate) report_age: Option<Duration>,
}

/// What one send needs.
pub(crate) struct AttemptContext {
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
    lease: ServerLease,
    context: AttemptContext,
    mut request: Request<SendBody>,
) -> AttemptOutcome {
    let Some((server, connection)) = connect(&lease, context.trust).await else {
        lease.finish(SampleOutcome::Unreachable, None);
        return AttemptOutcome::NotRun(NotRunReason::Unreachable);
    };
    set_attempt_headers(&context, &server, request.headers_mut());
    match send_request(&lease, &context, connection, request).await {
        Ok((response, connection)) => {
            classify_response(lease, &context, Exchange { server, response, connection }).await
        }
        Err(outcome) => {
            let sample_outcome = match outcome {
                AttemptOutcome::NotRun(_) => SampleOutcome::Unreachable,
                _ => SampleOutcome::Failed,
            };
            lease.finish(sample_outcome, None);
            outcome
        }
    }
}

async fn connect(
    lease: &ServerLease,
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
    let opened =
        timeout(CONNECT_TIME, service.pool.open(address, MAX_CONNECTIONS_PER_SERVER)).await;
    Some((server, opened.ok()?.ok()?))
}

fn set_attempt_headers(context: &AttemptContext, server: &ServerId, headers: &mut HeaderMap) {
    let remaining = context.deadline.saturating_duration_since(Instant::now());
    let names = &context.wire.headers;
    headers.insert(&names.deadline_ms, HeaderValue::from(remaining.as_millis() as u64));
    if let Ok(value) = HeaderValue::from_str(server.as_str()) {
        headers.insert(&names.expected_server, value);
    }
}

/// Sends the request on a connection, or on a new one if it turns out to be closed before a byte
/// was written.
async fn send_request(
    lease: &ServerLease,
    context: &AttemptContext,
    mut connection: BackendConnection,
    request: Request<SendBody>,
) -> Result<(Response<Incoming>, BackendConnection), AttemptOutcome> {
    context.is_sent.store(true, Ordering::Release);
    let mut error = match connection.sender.try_send_request(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(error) => error,
    };
    let Some(request) = error.take_message() else {
        return Err(AttemptOutcome::Unknown(UnknownReason::ConnectionBroken));
    };
    context.is_sent.store(false, Ordering::Release);
    drop(connection);
    let Some((_, mut connection)) = connect(lease, ConnectionTrust::New).await else {
        return Err(AttemptOutcome::NotRun(NotRunReason::Unreachable));
    };
    context.is_sent.store(true, Ordering::Release);
    let mut error = match connection.sender.try_send_request(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(error) => error,
    };
    if error.take_message().is_none() {
        return Err(AttemptOutcome::Unknown(UnknownReason::ConnectionBroken));
    }
    context.is_sent.store(false, Ordering::Release);
    Err(AttemptOutcome::NotRun(NotRunReason::Unreachable))
}

struct Exchange {
    server: ServerId,
    response: Response<Incoming>,
    connection: BackendConnection,
}

/// Decides what an answer says, and reads it.
async fn classify_response(
    lease: ServerLease,
    context: &AttemptContext,
    exchange: Exchange,
) -> AttemptOutcome {
    let status = exchange.response.status().as_u16();
    let headers = exchange.response.headers();
    let report = (context.wire.read_load)(headers);
    let names = &context.wire.headers;
    if headers.get(&names.request_id).is_some_and(|id| *id != context.request_id) {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::RequestIdMismatch);
    }
    if (context.wire.is_not_run)(status, headers) {
        context.is_sent.store(false, Ordering::Release);
        return finish_not_run(lease, context, exchange, report).await;
    }
    let has_signature = headers.contains_key(&names.signature);
    let is_unencoded = !headers.contains_key(CONTENT_ENCODING);
    let has_request_id = headers.contains_key(&names.request_id);
    if !(has_signature && is_unencoded && has_request_id) && status < 500 {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::Unverified);
    }
    read_response(lease, exchange, report).await
}

async fn finish_not_run(
    lease: ServerLease,
    context: &AttemptContext,
    exchange: Exchange,
    report: Option<LoadFigures>,
) -> AttemptOutcome {
    let responding_server = exchange.response.headers().get(&context.wire.headers.answering_server);
    let is_other_server = responding_server
        .is_some_and(|value| value.as_bytes() != exchange.server.as_str().as_bytes())
        || exchange.response.status() == hyper::StatusCode::MISDIRECTED_REQUEST;
    if is_other_server {
        lease.service.group().mark_leaving(lease.ticket);
        lease.finish(SampleOutcome::Cancelled, None);
        return AttemptOutcome::NotRun(NotRunReason::OtherServer);
    }
    let keep_alive = keep_alive_timeout(exchange.response.headers());
    if exchange.response.into_body().collect().await.is_ok() {
        return_connection(&lease, exchange.connection, keep_alive);
    }
    lease.finish(SampleOutcome::Shed, report);
    AttemptOutcome::NotRun(NotRunReason::Shed)
}

/// Reads a short answer whole, so that one that is cut short never reaches the caller.
async fn read_response(
    lease: ServerLease,
    exchange: Exchange,
    report: Option<LoadFigures>,
) -> AttemptOutcome {
    let Exchange { server, response, mut connection } = exchange;
    let (mut parts, mut incoming) = response.into_parts();
    let outcome = match parts.status.is_server_error() {
        true => SampleOutcome::Failed,
        false => SampleOutcome::Answered,
    };
    let keep_alive = keep_alive_timeout(&parts.headers);
    let report_age = lease.report_age;
    remove_hop_by_hop(&mut parts.headers);
    let Ok((bytes, is_whole)) = buffer_body(&mut incoming).await else {
        lease.finish(SampleOutcome::Failed, report);
        return AttemptOutcome::Unknown(UnknownReason::ConnectionBroken);
    };
    let http = if is_whole {
        connection.note_answer(Instant::now(), keep_alive);
        lease.service.pool.put(connection, Instant::now());
        lease.finish(outcome, report);
        buffered_response(parts, bytes)
    } else {
        streamed_response(
            parts,
            bytes,
            incoming,
            StreamCompletion { lease, connection, outcome, report },
        )
    };
    AttemptOutcome::Answered(ServerResponse { http, server, report_age })
}

async fn buffer_body(incoming: &mut Incoming) -> Result<(Bytes, bool), hyper::Error> {
    let mut buffered = BytesMut::new();
    while buffered.len() < MAX_BUFFERED_RESPONSE_BYTES {
        let Some(frame) = incoming.frame().await else {
            return Ok((buffered.freeze(), true));
        };
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if incoming.is_end_stream() {
            return Ok((buffered.freeze(), true));
        }
    }
    Ok((buffered.freeze(), false))
}

fn buffered_response(parts: Parts, bytes: Bytes) -> Response<AnswerStream> {
    let body = Full::new(bytes).map_err(|never| match never {}).boxed_unsync();
    Response::from_parts(parts, body)
}

struct StreamCompletion {
    lease: ServerLease,
    connection: BackendConnection,
    outcome: SampleOutcome,
    report: Option<LoadFigures>,
}

fn streamed_response(
    parts: Parts,
    prefix: Bytes,
    rest: Incoming,
    completion: StreamCompletion,
) -> Response<AnswerStream> {
    /// Longest time for the rest of a long answer.
    const REMAINDER_TIMEOUT: Duration = Duration::from_secs(30);
    let on_end = move |body_end| {
        // A long answer's connection is not used again: it closes with the exchange.
        drop(completion.connection);
        match body_end {
            AnswerEnd::Whole => completion.lease.finish(completion.outcome, completion.report),
            AnswerEnd::Broken => completion.lease.finish(SampleOutcome::Failed, completion.report),
        }
    };
    let rest = AnswerBody::new(rest, Instant::now() + REMAINDER_TIMEOUT, on_end, ());
    Response::from_parts(parts, PrefixedBody::new(prefix, rest).boxed_unsync())
}

fn return_connection(
    lease: &ServerLease,
    mut connection: BackendConnection,
    keep_alive: Option<Duration>,
) {
    connection.limit_idle(keep_alive);
    lease.service.pool.put(connection, Instant::now());
}
