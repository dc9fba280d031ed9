//! The exchange of one request and its response with one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use tokio::time::{Instant, timeout_at};

use balance::{LoadReport, RequestSample, SampleOutcome, ServerTicket};

use crate::body::BackendRequestBody;
use crate::headers::{is_final_status, read_load_report};
use crate::pool::{BackendConnection, ReusePolicy};
use crate::service::ServiceRuntime;

/// Why a request got no response from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeFailure {
    /// No connection could be opened; no byte was sent.
    Unreachable,
    /// The connection failed after the server may have received the request, or it carries no valid
    /// response.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlineExceeded,
}

/// A server's response with its unread body, and the lease of the exchange.
pub(crate) struct ServerResponse {
    pub(crate) http: Response<Incoming>,
    pub(crate) lease: ExchangeLease,
}

/// Lease of a server for one exchange. Holds the connection, and counts the request in the server
/// group. If it is dropped before the exchange ends, the exchange is cancelled and the connection
/// closes, which notifies the server.
pub(crate) struct ExchangeLease {
    runtime: Arc<ServiceRuntime>,
    ticket: ServerTicket,
    started_at: Instant,
    connection: Option<BackendConnection>,
    /// Sample for the group. Invariant: `None` only after it was passed to the group.
    sample: Option<RequestSample>,
}

impl ExchangeLease {
    /// Starts an exchange with a server that the group chose.
    pub(crate) fn new(runtime: Arc<ServiceRuntime>, ticket: ServerTicket, now: Instant) -> Self {
        let sample = RequestSample {
            outcome: SampleOutcome::Cancelled,
            elapsed: Duration::ZERO,
            report: None,
        };
        Self { runtime, ticket, started_at: now, connection: None, sample: Some(sample) }
    }

    /// Returns the ticket of the server.
    pub(crate) fn ticket(&self) -> ServerTicket {
        self.ticket
    }

    /// Sets the sample that the group gets when the lease is dropped.
    fn set_sample(&mut self, outcome: SampleOutcome, report: Option<LoadReport>) {
        let elapsed = self.started_at.elapsed();
        self.sample = Some(RequestSample { outcome, elapsed, report });
    }

    /// Ends the exchange after the whole response was read, and returns the connection to the pool.
    pub(crate) fn finish_complete(mut self) {
        if let Some(connection) = self.connection.take() {
            self.runtime.pool.put_idle(connection, Instant::now());
        }
    }

    /// Ends the exchange after the connection failed or the deadline passed.
    pub(crate) fn finish_failed(mut self) {
        self.set_sample(SampleOutcome::Failed, None);
    }

    fn finish_unreachable(mut self) {
        self.set_sample(SampleOutcome::Unreachable, None);
    }
}

impl Drop for ExchangeLease {
    fn drop(&mut self) {
        if let Some(sample) = self.sample.take() {
            self.runtime.group().finish_request(self.ticket, &sample, Instant::now());
        }
    }
}

/// How a request is sent to a server.
#[derive(Debug, Clone)]
pub(crate) struct ExchangeOptions {
    pub(crate) address: SocketAddr,
    pub(crate) reuse_policy: ReusePolicy,
    pub(crate) max_connections: usize,
    pub(crate) deadline: Instant,
}

/// Takes an idle connection from the pool or opens a new one. Nothing is sent yet, so the request's
/// body stays unused if the server is unreachable.
pub(crate) async fn connect(
    mut lease: ExchangeLease,
    options: &ExchangeOptions,
) -> Result<ExchangeLease, ExchangeFailure> {
    let pool = &lease.runtime.pool;
    let connection = match pool.take_idle(options.address, options.reuse_policy, Instant::now()) {
        Some(connection) => Ok(connection),
        None => pool.open(options.address, options.max_connections).await,
    };
    match connection {
        Ok(connection) => {
            lease.connection = Some(connection);
            Ok(lease)
        }
        Err(_) => {
            lease.finish_unreachable();
            Err(ExchangeFailure::Unreachable)
        }
    }
}

/// Sends a request at most once, and waits for the head of the response. Uses a new connection only
/// if hyper returns the request unsent.
pub(crate) async fn run_exchange(
    mut lease: ExchangeLease,
    options: &ExchangeOptions,
    request: Request<BackendRequestBody>,
    is_failure: impl Fn(u16) -> bool,
) -> Result<ServerResponse, ExchangeFailure> {
    let exchange = send_with_reconnect(&mut lease, options, request);
    let response = match timeout_at(options.deadline, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(ExchangeFailure::Unreachable)) => {
            lease.finish_unreachable();
            return Err(ExchangeFailure::Unreachable);
        }
        Ok(Err(failure)) => {
            lease.finish_failed();
            return Err(failure);
        }
        Err(_) => {
            lease.finish_failed();
            return Err(ExchangeFailure::DeadlineExceeded);
        }
    };
    if !is_final_status(response.status().as_u16()) {
        lease.finish_failed();
        return Err(ExchangeFailure::ConnectionLost);
    }
    let outcome = match is_failure(response.status().as_u16()) {
        true => SampleOutcome::Failed,
        false => SampleOutcome::Responded,
    };
    lease.set_sample(outcome, read_load_report(response.headers()));
    Ok(ServerResponse { http: response, lease })
}

async fn send_with_reconnect(
    lease: &mut ExchangeLease,
    options: &ExchangeOptions,
    request: Request<BackendRequestBody>,
) -> Result<Response<Incoming>, ExchangeFailure> {
    let Some(connection) = lease.connection.take() else {
        return Err(ExchangeFailure::Unreachable);
    };
    let request = match send_on_connection(lease, connection, request).await {
        Ok(response) => return Ok(response),
        Err(error) => take_unsent_request(error)?,
    };
    // The server had closed the idle connection.
    let connection = lease
        .runtime
        .pool
        .open(options.address, options.max_connections)
        .await
        .map_err(|_| ExchangeFailure::Unreachable)?;
    match send_on_connection(lease, connection, request).await {
        Ok(response) => Ok(response),
        Err(error) => take_unsent_request(error).and(Err(ExchangeFailure::Unreachable)),
    }
}

async fn send_on_connection(
    lease: &mut ExchangeLease,
    connection: BackendConnection,
    request: Request<BackendRequestBody>,
) -> Result<Response<Incoming>, TrySendError<Request<BackendRequestBody>>> {
    let connection = lease.connection.insert(connection);
    connection.send(request).await
}

/// Returns the request, if hyper gave it back before writing any of it.
fn take_unsent_request(
    mut error: TrySendError<Request<BackendRequestBody>>,
) -> Result<Request<BackendRequestBody>, ExchangeFailure> {
    error.take_message().ok_or(ExchangeFailure::ConnectionLost)
}
