//! Leads one request from a caller to its answer.

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
use records::RoutePlan;

use crate::answer::{AnswerBody, AnswerEnd};
use crate::body::{AnswerStream, BodyError};
use crate::claiming::{ClaimCoordinator, ClaimOutcome, ClaimRequest, HeldClaim};
use crate::dispatch::{DispatchParts, RequestDispatch, RequestHead};
use crate::exchange::ServerAnswer;
use crate::headers::{
    came_in_chunks, close_after, has_dot_segments, read_deadline, read_host, remove_hop_by_hop,
    set_forwarding,
};
use crate::prefixed::PrefixedBody;
use crate::recorded::{fingerprint, read_key, recorded, replay};
use crate::refusal::{OUTCOME_HEADER, RequestRefusal, RunOutcome};
use crate::request_body::{BodyLimits, RequestBody, deadline_after};
use crate::service::ServiceTable;

/// Largest request body that is kept whole to be sent again.
const MAX_KEPT_BYTES: u64 = 64 << 10;

/// Largest answer body that is recorded for repeated requests.
const MAX_RECORDED_BYTES: usize = 16 << 10;

/// How long a drain waits between two looks at the requests in flight.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Account name under which metrics count requests without a route.
const NO_ACCOUNT: &str = "none";

/// Answers callers' requests.
pub struct RequestHandler {
    parts: DispatchParts,
    services: Arc<ServiceTable>,
    coordinator: Arc<ClaimCoordinator>,
    gate: Mutex<AdmissionGate>,
    body_limits: BodyLimits,
}

/// A request's place among those in flight.
pub(crate) struct AdmissionPermit {
    handler: Arc<RequestHandler>,
    account: AccountId,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.handler.gate().release(&self.account);
    }
}

/// A request that has a route and was admitted.
struct RoutedRequest {
    route: Arc<RoutePlan>,
    /// Revision of the configuration that the route is of.
    revision: RevisionNumber,
    head: RequestHead,
    body: RequestBody,
    deadline: Instant,
    permit: AdmissionPermit,
}

impl RequestHandler {
    /// A handler for `in_flight` requests at a time.
    pub fn new(
        board: Arc<Blackboard>,
        services: Arc<ServiceTable>,
        coordinator: Arc<ClaimCoordinator>,
        metrics: DaemonMetrics,
        traces: TraceExporter,
        limits: &settings::CallerSettings,
    ) -> Self {
        Self {
            parts: DispatchParts { board, metrics, traces },
            services,
            coordinator,
            gate: Mutex::new(AdmissionGate::new(limits.in_flight)),
            body_limits: BodyLimits {
                pause: limits.max_body_pause(),
                bytes: limits.body_bytes,
                kept: MAX_KEPT_BYTES,
            },
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.gate().in_flight()
    }

    /// Waits until no request is in flight and no claim waits.
    pub async fn drained(&self) {
        while self.in_flight() > 0 || !self.coordinator.is_empty() {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }

    /// Answers one request.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        caller: IpAddr,
    ) -> Result<Response<AnswerStream>, Infallible> {
        let begun_at = Instant::now();
        let mut span =
            self.parts.traces.start_hop_span("entry", SpanKind::Server, request.headers());
        let (request_head, incoming) = request.into_parts();
        let mut request = Request::from_parts(request_head, ());
        span.inject(request.headers_mut());
        let mut account = None;
        let came_in_chunks = came_in_chunks(request.headers());
        let answer = Arc::clone(&self).answer(request, incoming, caller, &mut account).await;
        let label = account.as_ref().map_or(NO_ACCOUNT, AccountId::as_str);
        self.parts.metrics.observe_response_seconds(label, begun_at.elapsed().as_secs_f64());
        let mut response = match answer {
            Ok((response, outcome)) => {
                self.parts.metrics.count_request(label, outcome);
                response
            }
            Err(refusal) => {
                let outcome = match refusal.outcome() {
                    RunOutcome::NotRun => RequestOutcome::NotRun,
                    RunOutcome::Unknown | RunOutcome::Ran => RequestOutcome::Unknown,
                };
                self.parts.metrics.count_request(label, outcome);
                refusal.into_answer()
            }
        };
        if came_in_chunks {
            close_after(response.headers_mut());
        }
        span.end_with_status(response.status().as_u16());
        Ok(response)
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<()>,
        incoming: Incoming,
        caller: IpAddr,
        account: &mut Option<AccountId>,
    ) -> Result<(Response<AnswerStream>, RequestOutcome), RequestRefusal> {
        let now = Instant::now();
        if !self.parts.board.may_serve(now) {
            return Err(RequestRefusal::ConfigStale);
        }
        let host = read_host(&request).map_err(RequestRefusal::Malformed)?;
        check_form(&request).map_err(RequestRefusal::Malformed)?;
        let config = self.parts.board.config();
        let Some(route) = config.routing.find(&host, request.uri().path()).cloned() else {
            return Err(RequestRefusal::NoRoute);
        };
        *account = Some(route.account.id.clone());
        let permit = self.admit(&route, now)?;
        let head = forwarded_head(&request, caller, &host)?;
        let longest = route.service.spec.timeout();
        let deadline = deadline_after(now, longest, read_deadline(request.headers()));
        let body = timeout_at(deadline, RequestBody::prepare(incoming, self.body_limits))
            .await
            .map_err(|_| RequestRefusal::DeadlineBefore)?
            .map_err(refusal_of_body)?;
        let revision = config.routing.revision();
        let routed = RoutedRequest { route, revision, head, body, deadline, permit };
        if is_idempotent(&routed) {
            return self.dispatch(routed, true).await;
        }
        let key = read_key(&routed.head.headers)?;
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
        route: &RoutePlan,
        now: Instant,
    ) -> Result<AdmissionPermit, RequestRefusal> {
        let account = &route.account;
        match self.gate().try_admit(&account.id, &account.spec.limits, now) {
            AdmissionOutcome::Admitted => {
                Ok(AdmissionPermit { handler: Arc::clone(self), account: account.id.clone() })
            }
            AdmissionOutcome::Refused(refusal, wait) => {
                Err(RequestRefusal::NotAdmitted(refusal, wait))
            }
        }
    }

    async fn dispatch(
        &self,
        routed: RoutedRequest,
        is_idempotent: bool,
    ) -> Result<(Response<AnswerStream>, RequestOutcome), RequestRefusal> {
        let deadline = routed.deadline;
        let (answer, permit) = self.send(routed, is_idempotent).await?;
        let (parts, body) = into_stream(answer, deadline, permit);
        Ok((Response::from_parts(parts, body.boxed_unsync()), RequestOutcome::Answered))
    }

    async fn send(
        &self,
        routed: RoutedRequest,
        is_idempotent: bool,
    ) -> Result<(ServerAnswer, AdmissionPermit), RequestRefusal> {
        let runtime = self.services.runtime(&routed.route.service, routed.revision);
        let dispatch = RequestDispatch {
            parts: &self.parts,
            plan: &routed.route.service,
            runtime: &runtime,
            head: routed.head,
            body: routed.body,
            deadline: routed.deadline,
            is_idempotent,
            tried: Vec::new(),
            may_have_run: false,
        };
        dispatch.run().await.map(|answer| (answer, routed.permit))
    }

    /// Runs in a task of its own, so that a caller that goes away doesn't leave a claim without
    /// an outcome.
    async fn run_claimed(
        self: Arc<Self>,
        mut routed: RoutedRequest,
        key: Box<str>,
    ) -> Result<(Response<AnswerStream>, RequestOutcome), RequestRefusal> {
        let part = timeout_at(routed.deadline, routed.body.read_fingerprint_part())
            .await
            .map_err(|_| RequestRefusal::DeadlineBefore)?
            .map_err(refusal_of_body)?;
        let request = claim_request(&routed, key, &part);
        let task = tokio::spawn(async move {
            match self.coordinator.claim(&request).await {
                ClaimOutcome::Held(claim) => self.run_held(routed, claim).await,
                ClaimOutcome::Unclaimed => self.dispatch(routed, false).await,
                ClaimOutcome::Replay(answer) => Ok((replay(&answer), RequestOutcome::Replayed)),
                ClaimOutcome::Refused(refusal) => Err(refusal),
            }
        });
        // A panic in the task leaves it unknown whether the request ran.
        task.await.unwrap_or(Err(RequestRefusal::BrokenOff))
    }

    async fn run_held(
        &self,
        routed: RoutedRequest,
        claim: HeldClaim,
    ) -> Result<(Response<AnswerStream>, RequestOutcome), RequestRefusal> {
        let deadline = routed.deadline;
        let (answer, permit) = match self.send(routed, false).await {
            Ok(sent) => sent,
            Err(refusal) => {
                if refusal.outcome() == RunOutcome::NotRun {
                    self.coordinator.release(claim);
                }
                return Err(refusal);
            }
        };
        let (parts, mut body) = into_stream(answer, deadline, permit);
        // An answer that breaks off stays unknown to repeated requests too.
        let (kept, is_whole) =
            read_recordable(&mut body).await.map_err(|_| RequestRefusal::BrokenOff)?;
        self.coordinator
            .record(claim, recorded(&parts.status, &parts.headers, is_whole.then_some(&kept)));
        let body = match is_whole {
            true => Full::new(kept).map_err(|never| match never {}).boxed_unsync(),
            false => PrefixedBody::new(kept, body).boxed_unsync(),
        };
        Ok((Response::from_parts(parts, body), RequestOutcome::Answered))
    }

    fn gate(&self) -> std::sync::MutexGuard<'_, AdmissionGate> {
        self.gate.lock().expect("gate lock is never poisoned")
    }
}

/// Refuses requests that can't be forwarded without changing their meaning.
pub(crate) fn check_form(request: &Request<()>) -> Result<(), &'static str> {
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
    set_forwarding(&mut headers, caller, host);
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let target =
        target.parse().map_err(|_| RequestRefusal::Malformed("its target can't be forwarded"))?;
    Ok(RequestHead { method: request.method().clone(), target, headers })
}

fn into_stream(
    answer: ServerAnswer,
    deadline: Instant,
    permit: AdmissionPermit,
) -> (hyper::http::response::Parts, AnswerBody<AdmissionPermit>) {
    let (mut parts, incoming) = answer.response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    // Only this proxy's own word counts in this field.
    parts.headers.remove(OUTCOME_HEADER);
    parts.headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    let lease = answer.lease;
    let end = move |how| match how {
        AnswerEnd::Whole => lease.end_whole(),
        AnswerEnd::Broken => lease.end_broken(),
    };
    (parts, AnswerBody::new(incoming, deadline, end, permit))
}

/// The beginning of an answer's body, and whether that is all of it.
async fn read_recordable(
    body: &mut AnswerBody<AdmissionPermit>,
) -> Result<(Bytes, bool), BodyError> {
    let mut kept = BytesMut::new();
    while !body.is_end_stream() {
        if kept.len() > MAX_RECORDED_BYTES {
            return Ok((kept.freeze(), false));
        }
        // A chunked body shows its end only by having no further frame.
        let Some(frame) = body.frame().await else {
            break;
        };
        if let Ok(data) = frame?.into_data() {
            kept.extend_from_slice(&data);
        }
    }
    Ok((kept.freeze(), true))
}

fn claim_request(routed: &RoutedRequest, key: Box<str>, body_part: &Bytes) -> ClaimRequest {
    let account = &routed.route.account;
    ClaimRequest {
        key: ClaimKey {
            account: account.id.clone(),
            service: routed.route.service.key.name.clone(),
            key,
        },
        fingerprint: fingerprint(&routed.head, body_part),
        deadline: routed.deadline,
        waiting_limit: account.spec.limits.waiting_claims as usize,
        may_run_unclaimed: routed.route.rule.store_outage == StoreOutagePolicy::SendOnce,
    }
}

/// What a body that broke off before anything was sent means for the caller.
fn refusal_of_body(error: BodyError) -> RequestRefusal {
    match error {
        BodyError::TooLarge => RequestRefusal::BodyTooLarge,
        BodyError::Paused => RequestRefusal::Malformed("its body paused for too long"),
        _ => RequestRefusal::Malformed("its body broke off"),
    }
}
