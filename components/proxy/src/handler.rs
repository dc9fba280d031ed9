//! Leads one request from a caller to its answer.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use opentelemetry::trace::SpanKind;
use tokio::time::{Instant, timeout_at};

use board::Blackboard;
use claims::{ClaimKey, RecordedAnswer, RequestFingerprint};
use limits::{AdmissionGate, AdmissionOutcome};
use model::{AccountId, IdempotencyRule, KeyPolicy, OutagePolicy, RevisionNumber};
use observe::{DaemonMetrics, RequestOutcome, TraceExporter};
use records::RoutePlan;

use crate::answer::{AnswerBody, AnswerStream};
use crate::claiming::{ClaimDesk, ClaimEnd, ClaimWish, HeldClaim};
use crate::dispatch::{DispatchParts, RequestDispatch, RequestHead};
use crate::exchange::ServerAnswer;
use crate::headers::{
    REPLAYED_HEADER, has_dot_segments, read_deadline, read_host, remove_hop_by_hop, set_forwarding,
};
use crate::refusal::{OUTCOME_HEADER, RequestRefusal, RunOutcome};
use crate::request_body::{BodyError, BodyLimits, RequestBody, deadline_after};
use crate::service::ServiceTable;

/// Header by which a caller names a request that must not run twice.
const KEY_HEADER: &str = "idempotency-key";

/// Longest `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Largest answer body that is recorded for repeated requests.
const MAX_RECORDED_BYTES: usize = 16 << 10;

/// Account name under which metrics count requests without a route.
const NO_ACCOUNT: &str = "none";

/// Answers callers' requests.
pub struct RequestHandler {
    parts: DispatchParts,
    services: Arc<ServiceTable>,
    desk: Arc<ClaimDesk>,
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
        self.handler.gate().leave(&self.account);
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
        desk: Arc<ClaimDesk>,
        metrics: DaemonMetrics,
        traces: TraceExporter,
        limits: &settings::CallerSettings,
    ) -> Self {
        Self {
            parts: DispatchParts { board, metrics, traces },
            services,
            desk,
            gate: Mutex::new(AdmissionGate::new(limits.in_flight)),
            body_limits: BodyLimits { pause: limits.body_pause(), bytes: limits.body_bytes },
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.gate().in_flight()
    }

    /// Answers one request.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        caller: IpAddr,
    ) -> Result<Response<AnswerStream>, Infallible> {
        let begun_at = Instant::now();
        let mut span = self.parts.traces.begin_hop("entry", SpanKind::Server, request.headers());
        let (request_head, incoming) = request.into_parts();
        let mut request = Request::from_parts(request_head, ());
        span.inject(request.headers_mut());
        let mut account = None;
        let answer = Arc::clone(&self).answer(request, incoming, caller, &mut account).await;
        let label = account.as_ref().map_or(NO_ACCOUNT, AccountId::as_str);
        self.parts.metrics.observe_seconds(label, begun_at.elapsed().as_secs_f64());
        let response = match answer {
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
        let path = request.uri().path();
        if has_dot_segments(path) {
            return Err(RequestRefusal::Malformed("its path has dot segments"));
        }
        if request.method() == Method::CONNECT || request.headers().contains_key("upgrade") {
            return Err(RequestRefusal::Malformed("tunnels and upgrades are not supported"));
        }
        let config = self.parts.board.config();
        let Some(route) = config.routing.find(&host, path) else {
            return Err(RequestRefusal::NoRoute);
        };
        let route = Arc::clone(route);
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
            None if routed.route.rule.key == KeyPolicy::Required => {
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
        match self.gate().enter(&account.id, &account.spec.limits, now) {
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
        let wish = claim_wish(&routed, key, &part);
        let task = tokio::spawn(async move {
            match self.desk.claim(&wish).await {
                ClaimEnd::Held(claim) => self.run_held(routed, claim).await,
                ClaimEnd::Unclaimed => self.dispatch(routed, false).await,
                ClaimEnd::Replay(answer) => Ok((replay(&answer), RequestOutcome::Replayed)),
                ClaimEnd::Refused(refusal) => Err(refusal),
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
                    self.desk.release(claim);
                }
                return Err(refusal);
            }
        };
        let (parts, mut body) = into_stream(answer, deadline, permit);
        let mut kept = BytesMut::new();
        while kept.len() <= MAX_RECORDED_BYTES && !body.is_end_stream() {
            match body.frame().await {
                None => break,
                // The answer broke off: what ran stays unknown to repeated requests too.
                Some(Err(_)) => return Err(RequestRefusal::BrokenOff),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        kept.extend_from_slice(&data);
                    }
                }
            }
        }
        let kept = kept.freeze();
        let is_whole = body.is_end_stream();
        self.desk.record(claim, recorded(&parts.status, &parts.headers, is_whole.then_some(&kept)));
        let body = match is_whole {
            true => Full::new(kept).map_err(|never| match never {}).boxed_unsync(),
            false => body.with_prefix(kept).boxed_unsync(),
        };
        Ok((Response::from_parts(parts, body), RequestOutcome::Answered))
    }

    fn gate(&self) -> std::sync::MutexGuard<'_, AdmissionGate> {
        self.gate.lock().expect("gate lock is never poisoned")
    }
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

fn read_key(headers: &HeaderMap) -> Result<Option<Box<str>>, RequestRefusal> {
    let mut named = headers.get_all(KEY_HEADER).iter();
    let Some(value) = named.next() else {
        return Ok(None);
    };
    if named.next().is_some() {
        return Err(RequestRefusal::Malformed("it has more than one Idempotency-Key"));
    }
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
        _ => Err(RequestRefusal::Malformed("its Idempotency-Key is not 1 to 255 characters")),
    }
}

fn claim_wish(routed: &RoutedRequest, key: Box<str>, body_part: &Bytes) -> ClaimWish {
    let head = &routed.head;
    let digest = head.headers.get("content-digest").map_or(&b""[..], HeaderValue::as_bytes);
    let length = head.headers.get("content-length").map_or(&b""[..], HeaderValue::as_bytes);
    let fingerprint = RequestFingerprint::of(&[
        head.method.as_str().as_bytes(),
        head.target.to_string().as_bytes(),
        length,
        digest,
        body_part,
    ]);
    let account = &routed.route.account;
    ClaimWish {
        key: ClaimKey {
            account: account.id.clone(),
            service: routed.route.service.key.name.clone(),
            key,
        },
        fingerprint,
        deadline: routed.deadline,
        waiting_limit: account.spec.limits.waiting_claims as usize,
        may_run_unclaimed: routed.route.rule.store_outage == OutagePolicy::SendOnce,
    }
}

fn into_stream(
    answer: ServerAnswer,
    deadline: Instant,
    permit: AdmissionPermit,
) -> (hyper::http::response::Parts, AnswerBody) {
    let (mut parts, incoming) = answer.response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    // Only this proxy's own word counts in this field.
    parts.headers.remove(OUTCOME_HEADER);
    parts.headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    (parts, AnswerBody::new(incoming, deadline, answer.lease, permit))
}

fn recorded(status: &StatusCode, headers: &HeaderMap, body: Option<&Bytes>) -> RecordedAnswer {
    let headers = headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    RecordedAnswer { status: status.as_u16(), headers, body: body.map(|bytes| bytes.to_vec()) }
}

/// Marks a replayed answer whose body was too large to record.
const BODY_NOT_KEPT: HeaderValue = HeaderValue::from_static("body-not-kept");

fn replay(answer: &RecordedAnswer) -> Response<AnswerStream> {
    let body = answer.body.clone().unwrap_or_default();
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in &answer.headers {
        let is_length = &**name == "content-length" && answer.body.is_none();
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value), false) = (name, HeaderValue::from_str(value), is_length) {
            response.headers_mut().append(name, value);
        }
    }
    let mark =
        if answer.body.is_some() { HeaderValue::from_static("whole") } else { BODY_NOT_KEPT };
    response.headers_mut().insert(REPLAYED_HEADER, mark);
    response
}

/// What a body that broke off before anything was sent means for the caller.
fn refusal_of_body(error: BodyError) -> RequestRefusal {
    match error {
        BodyError::TooLarge => RequestRefusal::BodyTooLarge,
        BodyError::Paused => RequestRefusal::Malformed("its body paused for too long"),
        _ => RequestRefusal::Malformed("its body broke off"),
    }
}

/// How long a drain waits between two looks at the requests in flight.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

impl RequestHandler {
    /// Waits until no request is in flight and no claim waits.
    pub async fn drained(&self) {
        while self.in_flight() > 0 || !self.desk.is_empty() {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }
}
