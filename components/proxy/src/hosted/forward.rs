//! Forwards a request to another entry VM, while this one reaches no backend server.
//!
//! To the other VM the request is one of a caller, except that it doesn't forward it further: it
//! authenticates the request and counts it for its budgets. What the other VM responds is the
//! response here: a backend server's own, or a refusal with the same promise.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use tokio::time::{Instant, timeout, timeout_at};

use model::ServerId;
use routes::WireInterface;

use crate::body::BackendRequestBody;
use crate::headers::prepare_response_head;
use crate::hosted::attempt::{
    MAX_BUFFERED_RESPONSE_BYTES, PROMISE_STATUSES, RESPONSE_GRACE, ServerResponse, buffer_body,
    buffered_response, set_deadline, streamed_response,
};
use crate::hosted::dispatch::HostedDispatch;
use crate::hosted::refusal::{DEFAULT_RETRY_DELAY, HostedRefusal};
use crate::pool::{BackendConnection, ReusePolicy};

/// Marks a request that another entry VM has forwarded. Callers may send it too, so it grants
/// nothing: the request is only not forwarded again.
pub(crate) const FORWARDED_HEADER: HeaderName = HeaderName::from_static("mustardrail-forwarded");

/// Other VMs to which a request is offered until one accepts the connection.
const MAX_HELPERS: usize = 3;

/// Timeout for opening a connection to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest number of connections to one other VM.
const MAX_CONNECTIONS: usize = 256;

impl HostedDispatch<'_> {
    /// Whether other VMs should serve the request: this one reaches no server, and has not sent it
    /// to any.
    pub(crate) fn should_forward(&self) -> bool {
        !self.is_forwarded
            && self.progress.attempts == 0
            && !self.progress.may_have_run
            && self.body.can_send()
            && self.service.access.is_lost()
            && !self.board.helpers().is_empty()
    }

    /// Forwards the request to another VM and returns what that responds.
    pub(crate) async fn forward(&mut self) -> Result<ServerResponse, HostedRefusal> {
        self.check_config()?;
        self.metrics.forwarded_requests.inc();
        self.progress.is_served_elsewhere = true;
        for helper in self.helpers.choose(&self.board.helpers(), MAX_HELPERS) {
            let _lease = self.helpers.lease(helper);
            let Some(mut connection) = self.connect_helper(helper).await else {
                self.helpers.record_failure(helper);
                continue;
            };
            let request = self.forwarded_request();
            let can_retry = self.body.can_send();
            let deadline = self.deadline + RESPONSE_GRACE;
            let sending = connection.send(request);
            let mut error = match timeout_at(deadline, sending).await {
                Err(_) => {
                    self.helpers.record_failure(helper);
                    return Err(HostedRefusal::DeadlineAfterSend);
                }
                Ok(Ok(response)) => return self.read_forwarded(response, connection).await,
                Ok(Err(error)) => error,
            };
            if error.take_message().is_none() || !can_retry {
                return Err(HostedRefusal::NoUsableResponse);
            }
        }
        Err(HostedRefusal::NoServer)
    }

    async fn connect_helper(&self, helper: SocketAddr) -> Option<BackendConnection> {
        let pool = &self.helpers.pool;
        if let Some(connection) =
            pool.take_idle(helper, ReusePolicy::NoRecentResponse, Instant::now())
        {
            return Some(connection);
        }
        timeout(CONNECT_TIMEOUT, pool.open(helper, MAX_CONNECTIONS)).await.ok()?.ok()
    }

    fn forwarded_request(&mut self) -> Request<BackendRequestBody> {
        let mut request = self.request_for_attempt();
        set_deadline(self.wire, self.deadline, request.headers_mut());
        self.identity.set_key(&self.wire.headers.account, request.headers_mut());
        request.headers_mut().insert(FORWARDED_HEADER, HeaderValue::from_static("1"));
        request
    }

    async fn read_forwarded(
        &self,
        response: Response<hyper::body::Incoming>,
        connection: BackendConnection,
    ) -> Result<ServerResponse, HostedRefusal> {
        let (mut parts, mut incoming) = response.into_parts();
        let names = &self.wire.headers;
        let headers = &parts.headers;
        if !headers.contains_key(&names.signature) {
            return Err(refusal_of_helper(self.wire, parts.status.as_u16(), headers));
        }
        if headers.get(&names.request_id) != Some(&self.request_id) {
            return Err(HostedRefusal::NoUsableResponse);
        }
        let server = headers.get(&names.responding_server).and_then(|id| id.to_str().ok());
        let server: Option<ServerId> = server.and_then(|id| id.parse().ok());
        let server =
            server.unwrap_or_else(|| "forwarded".parse().expect("the literal is a valid name"));
        prepare_response_head(&mut parts);
        let deadline = self.deadline + RESPONSE_GRACE;
        let buffering =
            buffer_body(&mut incoming, &self.service.body_budget, self.max_buffered_bytes);
        let Ok(Ok((bytes, is_complete))) = timeout_at(deadline, buffering).await else {
            return Err(HostedRefusal::NoUsableResponse);
        };
        let is_long = !is_complete || bytes.len() > MAX_BUFFERED_RESPONSE_BYTES;
        let body_bytes = is_complete.then_some(bytes.len() as u64);
        let http = match is_complete {
            true => {
                self.helpers.pool.put_responded(connection, None, Instant::now());
                buffered_response(parts, bytes)
            }
            false => streamed_response(parts, bytes, incoming, connection, deadline, |_| {}),
        };
        Ok(ServerResponse { http, server, report_age: None, limit: None, body_bytes, is_long })
    }
}

/// Returns the refusal with the same promise as another VM's own response.
fn refusal_of_helper(wire: &WireInterface, status: u16, headers: &HeaderMap) -> HostedRefusal {
    match status {
        // Its own responses with these statuses are sent before the request is.
        400 | 401 | 404 | 413 => HostedRefusal::NoServer,
        504 => HostedRefusal::DeadlineAfterSend,
        _ if PROMISE_STATUSES.contains(&status) => {
            let retry_delay = (wire.read_notice)(status, headers).rest;
            let retry_delay = retry_delay.unwrap_or(DEFAULT_RETRY_DELAY);
            match status {
                429 => HostedRefusal::OverQuota(retry_delay),
                _ => HostedRefusal::Shed(retry_delay),
            }
        }
        _ => HostedRefusal::NoUsableResponse,
    }
}
