//! Finds the route of a request and sees it to its answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use tokio::time::{Instant, timeout_at};

use balance::RequestShape;
use board::HostedBoard;
use model::ServerId;
use observe::{HostedMetrics, Logger, RequestOutcome, info, o};
use routes::{CallerLimits, HostedRoute, RouteTable, WireInterface};

use crate::body::{BodyError, CallerResponseBody};
use crate::dispatch::RequestHead;
use crate::handler::check_forwardable;
use crate::headers::{has_chunked_body, read_host, remove_hop_by_hop, set_connection_close};
use crate::hosted::attempt::ServerReply;
use crate::hosted::dispatch::{DispatchProgress, HostedDispatch};
use crate::hosted::memory::RouteMemories;
use crate::hosted::refusal::HostedRefusal;
use crate::hosted::service::HostedServices;
use crate::request_body::{BodyLimits, RequestBody};

/// Bytes of an answer that are expected where nothing was measured. The users' answers have 5 KB.
const USUAL_ANSWER_BYTES: u64 = 5_000;

/// How long a request waits for the first configuration and list of servers, which come within some
/// 20 ms of the start. An eighth of the users' longest target.
const FIRST_ROUTES_TIME: Duration = Duration::from_millis(100);

/// What a handler depends on that settings say.
#[derive(Debug, Clone, Copy)]
pub struct HostedOptions {
    /// Largest request body that is kept in memory whole.
    pub kept_body_bytes: u64,
    /// Longest pause within a request body.
    pub body_pause: Duration,
}

/// Answers callers' requests.
pub struct HostedHandler {
    board: Arc<HostedBoard>,
    services: Arc<HostedServices>,
    wire: Arc<WireInterface>,
    memories: RouteMemories,
    metrics: HostedMetrics,
    options: HostedOptions,
    in_flight: AtomicUsize,
    log: Logger,
}

/// How a request ended, for its log line.
struct RequestReport<'a> {
    id: Option<&'a HeaderValue>,
    route: Option<&'a HostedRoute>,
    progress: DispatchProgress,
    elapsed: Duration,
}

impl HostedHandler {
    /// A handler without requests.
    pub fn new(
        board: Arc<HostedBoard>,
        services: Arc<HostedServices>,
        wire: WireInterface,
        metrics: HostedMetrics,
        options: HostedOptions,
        log: Logger,
    ) -> Self {
        Self {
            board,
            services,
            wire: Arc::new(wire),
            memories: RouteMemories::default(),
            metrics,
            options,
            in_flight: AtomicUsize::new(0),
            log,
        }
    }

    /// Requests that have not got the head of an answer yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Limits for callers, once a configuration is there.
    pub(crate) fn caller_limits(&self) -> Option<CallerLimits> {
        self.board.routes().map(|table| table.limits.clone())
    }

    /// Answers one request.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<CallerResponseBody>, Infallible> {
        let arrived_at = Instant::now();
        let (head, incoming) = request.into_parts();
        let request = Request::from_parts(head, ());
        let id = request.headers().get(&self.wire.headers.request_id).cloned();
        let has_chunked_body = has_chunked_body(request.headers());
        let mut counted = CountedRequest::new(&self, id.as_ref());
        let mut report = RequestReport {
            id: id.as_ref(),
            route: None,
            progress: DispatchProgress::default(),
            elapsed: Duration::ZERO,
        };
        let table = self.board.first_routes(FIRST_ROUTES_TIME).await;
        let end = match find_route(table.as_deref(), &request) {
            Ok((table, route)) => {
                report.route = Some(route);
                self.answer(table, route, request, incoming, &mut report.progress).await
            }
            Err(refusal) => Err(refusal),
        };
        report.elapsed = arrived_at.elapsed();
        counted.is_ended = true;
        self.note_end(&report, &end);
        let mut response = match end {
            Ok(reply) => reply.response,
            Err(refusal) => refusal.into_answer(),
        };
        if has_chunked_body || self.board.is_draining() {
            set_connection_close(response.headers_mut());
        }
        Ok(response)
    }

    async fn answer(
        &self,
        table: &RouteTable,
        route: &HostedRoute,
        request: Request<()>,
        incoming: Incoming,
        progress: &mut DispatchProgress,
    ) -> Result<ServerReply, HostedRefusal> {
        let now = Instant::now();
        let names = &self.wire.headers;
        let Some(request_id) = request.headers().get(&names.request_id).cloned() else {
            return Err(HostedRefusal::Malformed("it has no request id"));
        };
        let asked = read_millis(request.headers(), &names.deadline_ms).unwrap_or(route.timeout);
        let spent = self.memories.time_spent(route, asked);
        let deadline = now + asked.min(route.timeout);
        let service = self.services.service(&self.memories.next_service(route));
        service.budget().note_request(now);
        progress.service = Some(service.name.clone());
        progress.config = Some(table.version);
        let body = self.read_body(table, incoming, deadline).await?;
        let sent_bytes = body.buffered_bytes() as u64;
        let shape = RequestShape {
            work: self.memories.work(route),
            bytes: sent_bytes + USUAL_ANSWER_BYTES,
        };
        let health_path = table.services.get(&service.name).map(|info| &*info.health_path);
        let mut dispatch = HostedDispatch {
            wire: &self.wire,
            metrics: &self.metrics,
            route,
            service: &service,
            health_path,
            request_id,
            head: forwarded_head(request)?,
            body,
            shape,
            deadline,
            target_at: now + route.target.saturating_sub(spent),
            progress: std::mem::take(progress),
        };
        let sent_at = Instant::now();
        let end = dispatch.run().await;
        *progress = dispatch.progress;
        if end.as_ref().is_ok_and(|reply| reply.response.status().is_success())
            && progress.sends == 1
        {
            self.memories.learn_work(route, sent_at.elapsed());
        }
        end
    }

    /// Reads the body, whole where it is small enough.
    async fn read_body(
        &self,
        table: &RouteTable,
        incoming: Incoming,
        deadline: Instant,
    ) -> Result<RequestBody, HostedRefusal> {
        let limits = BodyLimits {
            idle_timeout: self.options.body_pause,
            max_bytes: table.limits.body_bytes,
            max_buffered_bytes: self.options.kept_body_bytes,
        };
        match timeout_at(deadline, RequestBody::prepare_buffered(incoming, limits)).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyError::TooLarge)) => Err(HostedRefusal::BodyTooLarge),
            _ => Err(HostedRefusal::BodyLate),
        }
    }

    fn note_end(&self, report: &RequestReport<'_>, end: &Result<ServerReply, HostedRefusal>) {
        let route = report.route.map_or("", |route| &*route.name);
        let outcome = match end {
            Ok(_) => RequestOutcome::Answered,
            Err(refusal) if refusal.is_not_run() => RequestOutcome::NotRun,
            Err(_) => RequestOutcome::Unknown,
        };
        self.metrics.count_request(outcome, report.elapsed);
        let id = text_of(report.id);
        let millis = report.elapsed.as_millis() as u64;
        let progress = &report.progress;
        let service = progress.service.as_ref().map_or("", |service| &*service.0);
        let config = progress.config.map(|version| version.0);
        let inputs = o!("id" => id.to_owned(), "route" => route.to_owned(),
            "service" => service.to_owned(), "config" => config, "sends" => progress.sends,
            "expected_ms" => progress.expected.as_millis() as u64, "ms" => millis);
        match end {
            Ok(reply) => info!(self.log, "request: answered"; inputs,
                "status" => reply.response.status().as_u16(), "server" => reply.server.as_str(),
                "report_age_ms" => reply.report_age.map(|age| age.as_millis() as u64)),
            Err(refusal) => info!(self.log, "request: refused"; inputs, "reason" => %refusal,
                "server" => progress.last_server.as_ref().map(ServerId::as_str),
                "not_run" => progress.last_not_run.map(|reason| reason.to_string()),
                "unknown" => progress.last_unknown.map(|reason| reason.to_string())),
        }
    }
}

/// Counts a request until it has its answer. Dropped before, its caller has left.
struct CountedRequest<'a> {
    handler: &'a HostedHandler,
    id: Option<&'a HeaderValue>,
    arrived_at: Instant,
    is_ended: bool,
}

impl<'a> CountedRequest<'a> {
    fn new(handler: &'a HostedHandler, id: Option<&'a HeaderValue>) -> Self {
        handler.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { handler, id, arrived_at: Instant::now(), is_ended: false }
    }
}

impl Drop for CountedRequest<'_> {
    fn drop(&mut self) {
        self.handler.in_flight.fetch_sub(1, Ordering::AcqRel);
        if !self.is_ended {
            self.handler.metrics.callers_left.inc();
            info!(self.handler.log, "request: caller left"; "id" => text_of(self.id),
                "ms" => self.arrived_at.elapsed().as_millis() as u64);
        }
    }
}

fn text_of(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

fn find_route<'a>(
    table: Option<&'a RouteTable>,
    request: &Request<()>,
) -> Result<(&'a RouteTable, &'a HostedRoute), HostedRefusal> {
    let Some(table) = table else {
        return Err(HostedRefusal::NoConfig);
    };
    let host = read_host(request).map_err(HostedRefusal::Malformed)?;
    check_forwardable(request).map_err(HostedRefusal::Malformed)?;
    let route = table.find(&host, request.uri().path()).ok_or(HostedRefusal::NoRoute)?;
    Ok((table, route))
}

fn forwarded_head(request: Request<()>) -> Result<RequestHead, HostedRefusal> {
    let (parts, ()) = request.into_parts();
    let mut headers = parts.headers;
    remove_hop_by_hop(&mut headers);
    headers.remove("expect");
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let target =
        target.parse().map_err(|_| HostedRefusal::Malformed("its target can't be forwarded"))?;
    Ok(RequestHead { method: parts.method, target, headers })
}

fn read_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
