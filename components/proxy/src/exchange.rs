//! One request to one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use tokio::time::{Instant, timeout_at};

use balance::{LoadReport, RequestSample, SampleOutcome, ServerTicket};

use crate::body::SendBody;
use crate::headers::read_report;
use crate::pool::{BackendConnection, ConnectionTrust};
use crate::service::ServiceRuntime;

/// Why a request got no answer from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeFailure {
    /// No connection could be opened; no byte was sent.
    Unreachable,
    /// The server may have received it and broke off.
    BrokenOff,
    /// The deadline passed after it was sent.
    Deadline,
}

/// The head of a server's answer, and its body still to come.
pub(crate) struct ServerAnswer {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: ExchangeLease,
}

/// Holds a server's connection and its place in the group's counts until the exchange ends. When
/// dropped before, the exchange was cancelled: the connection closes, which tells the server.
pub(crate) struct ExchangeLease {
    runtime: Arc<ServiceRuntime>,
    ticket: ServerTicket,
    begun_at: Instant,
    connection: Option<BackendConnection>,
    /// Invariant: `None` only after the group was told of the end.
    sample: Option<RequestSample>,
}

impl ExchangeLease {
    /// Begins an exchange with a server that the group chose.
    pub(crate) fn new(runtime: Arc<ServiceRuntime>, ticket: ServerTicket, now: Instant) -> Self {
        let sample = RequestSample {
            outcome: SampleOutcome::Cancelled,
            elapsed: Duration::ZERO,
            report: None,
        };
        Self { runtime, ticket, begun_at: now, connection: None, sample: Some(sample) }
    }

    /// The server.
    pub(crate) fn ticket(&self) -> ServerTicket {
        self.ticket
    }

    /// Notes the head of the answer.
    fn note_head(&mut self, outcome: SampleOutcome, report: Option<LoadReport>) {
        let elapsed = self.begun_at.elapsed();
        self.sample = Some(RequestSample { outcome, elapsed, report });
    }

    /// Ends after the whole answer was read; the connection may be used again.
    pub(crate) fn end_whole(mut self) {
        if let Some(connection) = self.connection.take() {
            self.runtime.pool.put(connection, Instant::now());
        }
    }

    /// Ends after the server broke off or was too late.
    pub(crate) fn end_broken(mut self) {
        self.note_head(SampleOutcome::Failed, None);
    }

    fn end_unreachable(mut self) {
        self.note_head(SampleOutcome::Unreachable, None);
    }
}

impl Drop for ExchangeLease {
    fn drop(&mut self) {
        if let Some(sample) = self.sample.take() {
            self.runtime.group().finish_request(self.ticket, &sample, Instant::now());
        }
    }
}

/// Where and how a request is sent.
#[derive(Debug, Clone)]
pub(crate) struct ExchangePlan {
    pub(crate) address: SocketAddr,
    pub(crate) trust: ConnectionTrust,
    pub(crate) connections: usize,
    pub(crate) deadline: Instant,
}

/// Gives the exchange a connection, so that the request's body is not touched when the server
/// can't be reached.
pub(crate) async fn connect(
    mut lease: ExchangeLease,
    plan: &ExchangePlan,
) -> Result<ExchangeLease, ExchangeFailure> {
    let pool = &lease.runtime.pool;
    let connection = match pool.take(plan.address, plan.trust, Instant::now()) {
        Some(connection) => Ok(connection),
        None => pool.open(plan.address, plan.connections).await,
    };
    match connection {
        Ok(connection) => {
            lease.connection = Some(connection);
            Ok(lease)
        }
        Err(_) => {
            lease.end_unreachable();
            Err(ExchangeFailure::Unreachable)
        }
    }
}

/// Sends a request and waits for the head of the answer. Never sends a request twice: it is sent
/// again on a new connection only if hyper returns it untouched.
pub(crate) async fn run_exchange(
    mut lease: ExchangeLease,
    plan: &ExchangePlan,
    request: Request<SendBody>,
    is_failure: impl Fn(u16) -> bool,
) -> Result<ServerAnswer, ExchangeFailure> {
    let exchange = send_once(&mut lease, plan, request);
    let response = match timeout_at(plan.deadline, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(ExchangeFailure::Unreachable)) => {
            lease.end_unreachable();
            return Err(ExchangeFailure::Unreachable);
        }
        Ok(Err(failure)) => {
            lease.end_broken();
            return Err(failure);
        }
        Err(_) => {
            lease.end_broken();
            return Err(ExchangeFailure::Deadline);
        }
    };
    let outcome = match is_failure(response.status().as_u16()) {
        true => SampleOutcome::Failed,
        false => SampleOutcome::Responded,
    };
    lease.note_head(outcome, read_report(response.headers()));
    Ok(ServerAnswer { response, lease })
}

async fn send_once(
    lease: &mut ExchangeLease,
    plan: &ExchangePlan,
    request: Request<SendBody>,
) -> Result<Response<Incoming>, ExchangeFailure> {
    let Some(connection) = lease.connection.take() else {
        return Err(ExchangeFailure::Unreachable);
    };
    let request = match send_on(lease, connection, request).await {
        Ok(response) => return Ok(response),
        Err(error) => untouched(error)?,
    };
    // The idle connection had closed meanwhile.
    let connection = lease
        .runtime
        .pool
        .open(plan.address, plan.connections)
        .await
        .map_err(|_| ExchangeFailure::Unreachable)?;
    match send_on(lease, connection, request).await {
        Ok(response) => Ok(response),
        Err(error) => untouched(error).and(Err(ExchangeFailure::Unreachable)),
    }
}

async fn send_on(
    lease: &mut ExchangeLease,
    connection: BackendConnection,
    request: Request<SendBody>,
) -> Result<Response<Incoming>, TrySendError<Request<SendBody>>> {
    let connection = lease.connection.insert(connection);
    connection.sender.try_send_request(request).await
}

/// The request, if hyper returned it before writing any of it.
fn untouched(
    mut error: TrySendError<Request<SendBody>>,
) -> Result<Request<SendBody>, ExchangeFailure> {
    error.take_message().ok_or(ExchangeFailure::BrokenOff)
}
