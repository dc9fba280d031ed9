//! Handles callers' requests: routing, admission, claims, dispatch and responses.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use opentelemetry::trace::SpanKind;
use tokio::time::{Instant, timeout_at};

use board::Blackboard;
use claims::ClaimKey;
use limits::{AdmissionGate, AdmissionOutcome};
use model::{AccountId, IdempotencyKeyPolicy, IdempotencyRule, RevisionNumber, StoreOutagePolicy};
use observe::{DaemonMetrics, RequestOutcome, TraceExporter};
use records::ResolvedRoute;

use crate::body::{BodyError, CallerResponseBody};
use crate::claim_coordinator::{ClaimCoordinator, ClaimOutcome, ClaimRequest, HeldClaim};
use crate::dispatch::{DispatchContext, RequestDispatch, RequestHead};
use crate::exchange::ServerResponse;
use crate::headers::{
    has_chunked_body, has_dot_segments, prepare_response_head, read_host, read_remaining_time,
    remove_hop_by_hop, set_connection_close, set_forwarded_headers,
};
use crate::idempotency::{
    read_idempotency_key, recorded_response, replay_response, request_fingerprint,
};
use crate::prefixed_body::PrefixedBody;
use crate::refusal::{OUTCOME_HEADER, RequestRefusal, RunOutcome};
use crate::request_body::{BodyLimits, RequestBody, capped_deadline};
use crate::response_body::{ResponseBody, ResponseEnd};
use crate::service::ServiceTable;

/// Largest request body that is buffered so that it can be sent again.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Largest response body that is recorded for repeated requests.
const MAX_RECORDED_BYTES: usize = 16 << 10;

/// Interval between checks for requests in flight during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Account label in the metrics for requests without a route.
const NO_ACCOUNT: &str = "none";

/// Handles callers' requests.
pub struct RequestHandler {
    context: DispatchContext,
    services: Arc<ServiceTable>,
    coordinator: Arc<ClaimCoordinator>,
    gate: Mutex<AdmissionGate>,
    body_limits: BodyLimits,
}

/// Counts an admitted request as in flight until it is dropped.
pub(crate) struct AdmissionPermit {
    handler: Arc<RequestHandler>,
    account: AccountId,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.handler.gate().release(&self.account);
    }
}

/// An admitted request with its route.
struct RoutedRequest {
    route: Arc<ResolvedRoute>,
    /// Revision of the configuration that contains the route.
    revision: RevisionNumber,
    head: RequestHead,
    body: RequestBody,
    deadline: Instant,
    permit: AdmissionPermit,
}

impl RequestHandler {
    /// Creates a handler with the limits for callers.
    pub fn new(
        board: Arc<Blackboard>,
        services: Arc<ServiceTable>,
        coordinator: Arc<ClaimCoordinator>,
        metrics: DaemonMetrics,
        traces: TraceExporter,
        limits: &settings::CallerSettings,
    ) -> Self {
        Self {
            context: DispatchContext { board, metrics, traces },
            services,
            coordinator,
            gate: Mutex::new(AdmissionGate::new(limits.in_flight)),
            body_limits: BodyLimits {
                idle_timeout: limits.max_body_pause(),
                max_bytes: limits.body_bytes,
                max_buffered_bytes: MAX_BUFFERED_BYTES,
            },
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.gate().in_flight()
    }

    /// Waits until no request is in flight and no claim write is queued or in progress.
    pub async fn wait_until_drained(&self) {
        while self.in_flight() > 0 || !self.coordinator.is_empty() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Handles one request. Refusals become responses too.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        caller: IpAddr,
    ) -> Result<Response<CallerResponseBody>, Infallible> {
        let started_at = Instant::now();
        let mut span =
            self.context.traces.start_hop_span("entry", SpanKind::Server, request.headers());
        let (parts, incoming) = request.into_parts();
        let mut request = Request::from_parts(parts, ());
        span.inject(request.headers_mut());
        let mut account = None;
        let has_chunked_body = has_chunked_body(request.headers());
        let result = Arc::clone(&self).respond(request, incoming, caller, &mut account).await;
        let label = account.as_ref().map_or(NO_ACCOUNT, AccountId::as_str);
        self.context.metrics.observe_response_seconds(label, started_at.elapsed().as_secs_f64());
        let mut response = match result {
            Ok((response, outcome)) => {
                self.context.metrics.count_request(label, outcome);
                response
            }
            Err(refusal) => {
                let outcome = match refusal.outcome() {
                    RunOutcome::NotRun => RequestOutcome::NotRun,
                    RunOutcome::Unknown | RunOutcome::Ran => RequestOutcome::Unknown,
                };
                self.context.metrics.count_request(label, outcome);
                refusal.into_response()
            }
        };
        if has_chunked_body {
            set_connection_close(response.headers_mut());
        }
        span.end_with_status(response.status().as_u16());
        Ok(response)
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<()>,
        incoming: Incoming,
        caller: IpAddr,
        account: &mut Option<AccountId>,
    ) -> Result<(Response<CallerResponseBody>, RequestOutcome), RequestRefusal> {
        let now = Instant::now();
        if !self.context.board.has_valid_config(now) {
            return Err(RequestRefusal::ConfigStale);
        }
        let host = read_host(&request).map_err(RequestRefusal::Malformed)?;
        check_forwardable(&request).map_err(RequestRefusal::Malformed)?;
        let config = self.context.board.config();
        let Some(route) = config.routing.find_route(&host, request.uri().path()).cloned() else {
            return Err(RequestRefusal::NoRoute);
        };
        *account = Some(route.account.id.clone());
        let permit = self.admit(&route, now)?;
        let head = forwarded_head(&request, caller, &host)?;
        let max_timeout = route.service.spec.timeout();
        let deadline = capped_deadline(now, max_timeout, read_remaining_time(request.headers()));
        let body = timeout_at(deadline, RequestBody::prepare(incoming, self.body_limits))
            .await
            .map_err(|_| RequestRefusal::DeadlineBeforeSend)?
            .map_err(refusal_for_body_error)?;
        let revision = config.routing.revision();
        let routed = RoutedRequest { route, revision, head, body, deadline, permit };
        if is_idempotent(&routed) {
            return self.dispatch(routed, true).await;
        }
        let key = read_idempotency_key(&routed.head.headers)?;
        match key {
            Some(key) => self.run_claimed(routed, key).await,
            None if routed.route.rule.idempotency_key == IdempotencyKeyPolicy::Required => {
                Err(RequestRefusal::KeyRequired)
            }
            None => self.dispatch(routed, false).await,
        }
    }

    fn admit(
        self: &Arc<Self>,
        route: &ResolvedRoute,
        now: Instant,
    ) -> Result<AdmissionPermit, RequestRefusal> {
        let account = &route.account;
        match self.gate().try_admit(&account.id, &account.spec.limits, now) {
            AdmissionOutcome::Admitted => {
                Ok(AdmissionPermit { handler: Arc::clone(self), account: account.id.clone() })
            }
            AdmissionOutcome::Refused(refusal, retry_delay) => {
                Err(RequestRefusal::NotAdmitted(refusal, retry_delay))
            }
        }
    }

    async fn dispatch(
        &self,
        routed: RoutedRequest,
        is_idempotent: bool,
    ) -> Result<(Response<CallerResponseBody>, RequestOutcome), RequestRefusal> {
        let deadline = routed.deadline;
        let (response, permit) = self.send_to_backend(routed, is_idempotent).await?;
        let (parts, body) = prepare_response(response, deadline, permit);
        Ok((Response::from_parts(parts, body.boxed_unsync()), RequestOutcome::Answered))
    }

    async fn send_to_backend(
        &self,
        routed: RoutedRequest,
        is_idempotent: bool,
    ) -> Result<(ServerResponse, AdmissionPermit), RequestRefusal> {
        let runtime = self.services.runtime(&routed.route.service, routed.revision);
        let dispatch = RequestDispatch {
            context: &self.context,
            config: &routed.route.service,
            runtime: &runtime,
            head: routed.head,
            body: routed.body,
            deadline: routed.deadline,
            is_idempotent,
            attempted_servers: Vec::new(),
            may_have_run: false,
        };
        dispatch.run().await.map(|response| (response, routed.permit))
    }

    /// Runs a request under a claim. Uses a separate task, so that a caller that disconnects
    /// doesn't leave a claim without an outcome.
    async fn run_claimed(
        self: Arc<Self>,
        mut routed: RoutedRequest,
        key: Box<str>,
    ) -> Result<(Response<CallerResponseBody>, RequestOutcome), RequestRefusal> {
        let body_prefix = timeout_at(routed.deadline, routed.body.read_fingerprint_prefix())
            .await
            .map_err(|_| RequestRefusal::DeadlineBeforeSend)?
            .map_err(refusal_for_body_error)?;
        let request = claim_request(&routed, key, &body_prefix);
        let task = tokio::spawn(async move {
            match self.coordinator.claim(&request).await {
                ClaimOutcome::Held(claim) => self.run_with_claim(routed, claim).await,
                ClaimOutcome::Unclaimed => self.dispatch(routed, false).await,
                ClaimOutcome::Replay(recorded) => {
                    Ok((replay_response(&recorded), RequestOutcome::Replayed))
                }
                ClaimOutcome::Refused(refusal) => Err(refusal),
            }
        });
        // After a panic in the task it is unknown whether the request ran.
        task.await.unwrap_or(Err(RequestRefusal::Interrupted))
    }

    async fn run_with_claim(
        &self,
        routed: RoutedRequest,
        claim: HeldClaim,
    ) -> Result<(Response<CallerResponseBody>, RequestOutcome), RequestRefusal> {
        let deadline = routed.deadline;
        let (response, permit) = match self.send_to_backend(routed, false).await {
            Ok(sent) => sent,
            Err(refusal) => {
                if refusal.outcome() == RunOutcome::NotRun {
                    self.coordinator.release(claim);
                }
                return Err(refusal);
            }
        };
        let (parts, mut body) = prepare_response(response, deadline, permit);
        // If the response is cut off, nothing is recorded, and repeated requests get the outcome
        // `unknown` as well.
        let (prefix, is_complete) =
            read_recordable_prefix(&mut body).await.map_err(|_| RequestRefusal::Interrupted)?;
        self.coordinator.record(
            claim,
            recorded_response(&parts.status, &parts.headers, is_complete.then_some(&prefix)),
        );
        let body = match is_complete {
            true => Full::new(prefix).map_err(|never| match never {}).boxed_unsync(),
            false => PrefixedBody::new(prefix, body).boxed_unsync(),
        };
        Ok((Response::from_parts(parts, body), RequestOutcome::Answered))
    }

    fn gate(&self) -> std::sync::MutexGuard<'_, AdmissionGate> {
        self.gate.lock().expect("gate lock is never poisoned")
    }
}

/// Refuses requests that can't be forwarded without changing their meaning.
pub(crate) fn check_forwardable<B>(request: &Request<B>) -> Result<(), &'static str> {
    if has_dot_segments(request.uri().path()) {
        return Err("its path has dot segments");
    }
    if request.method() == Method::CONNECT || request.headers().contains_key("upgrade") {
        return Err("tunnels and upgrades are not supported");
    }
    Ok(())
}

fn is_idempotent(routed: &RoutedRequest) -> bool {
    match routed.route.rule.idempotent {
        IdempotencyRule::Always => true,
        IdempotencyRule::Never => false,
        IdempotencyRule::ByMethod => {
            matches!(routed.head.method, Method::GET | Method::HEAD | Method::OPTIONS)
        }
    }
}

fn forwarded_head(
    request: &Request<()>,
    caller: IpAddr,
    host: &str,
) -> Result<RequestHead, RequestRefusal> {
    let mut headers = request.headers().clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(OUTCOME_HEADER);
    headers.remove("expect");
    set_forwarded_headers(&mut headers, caller, host);
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let target =
        target.parse().map_err(|_| RequestRefusal::Malformed("its target can't be forwarded"))?;
    Ok(RequestHead { method: request.method().clone(), target, headers })
}

fn prepare_response(
    response: ServerResponse,
    deadline: Instant,
    permit: AdmissionPermit,
) -> (hyper::http::response::Parts, ResponseBody<AdmissionPermit>) {
    let (mut parts, incoming) = response.http.into_parts();
    prepare_response_head(&mut parts);
    // Only the proxy sets this header; a backend server's value is dropped.
    parts.headers.remove(OUTCOME_HEADER);
    parts.headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    let lease = response.lease;
    let on_end = move |end| match end {
        ResponseEnd::Complete => lease.finish_complete(),
        ResponseEnd::Failed => lease.finish_failed(),
    };
    (parts, ResponseBody::new(incoming, deadline, on_end, permit))
}

/// Reads a response body until it ends or exceeds `MAX_RECORDED_BYTES`. Returns what was read and
/// whether the body is complete.
async fn read_recordable_prefix(
    body: &mut ResponseBody<AdmissionPermit>,
) -> Result<(Bytes, bool), BodyError> {
    let mut prefix = BytesMut::new();
    while !body.is_end_stream() {
        if prefix.len() > MAX_RECORDED_BYTES {
            return Ok((prefix.freeze(), false));
        }
        // The end of a chunked body is known only once no further frame arrives.
        let Some(frame) = body.frame().await else {
            break;
        };
        if let Ok(data) = frame?.into_data() {
            prefix.extend_from_slice(&data);
        }
    }
    Ok((prefix.freeze(), true))
}

fn claim_request(routed: &RoutedRequest, key: Box<str>, body_prefix: &Bytes) -> ClaimRequest {
    let account = &routed.route.account;
    ClaimRequest {
        key: ClaimKey {
            account: account.id.clone(),
            service: routed.route.service.key.name.clone(),
            key,
        },
        fingerprint: request_fingerprint(&routed.head, body_prefix),
        deadline: routed.deadline,
        max_waiting_claims: account.spec.limits.waiting_claims as usize,
        may_run_unclaimed: routed.route.rule.store_outage == StoreOutagePolicy::SendOnce,
    }
}

/// Returns the refusal for a request body that failed before anything was sent.
fn refusal_for_body_error(error: BodyError) -> RequestRefusal {
    match error {
        BodyError::TooLarge => RequestRefusal::BodyTooLarge,
        BodyError::IdleTimeout => RequestRefusal::Malformed("its body paused for too long"),
        _ => RequestRefusal::Malformed("its body broke off"),
    }
}
