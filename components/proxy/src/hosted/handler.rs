//! Handles callers' requests: finds the route, dispatches the request and returns the response.

use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use tokio::time::{Instant, timeout_at};

use balance::RequestShape;
use board::HostedBoard;
use model::ServerId;
use observe::{HostedMetrics, Logger, RequestOutcome, info, o};
use quarantine::CrashBoard;
use routes::{CallerLimits, ExecutionSemantics, HostedRoute, RouteTable, WireInterface};

use crate::body::{BodyError, CallerResponseBody};
use crate::dispatch::RequestHead;
use crate::handler::check_forwardable;
use crate::headers::{has_chunked_body, read_host, remove_hop_by_hop, set_connection_close};
use crate::hosted::attempt::{
    MAX_BUFFERED_RESPONSE_BYTES, MAX_UNEXPECTED_RESPONSE_BYTES, RESPONSE_GRACE, ServerResponse,
};
use crate::hosted::crash_detector::CrashDetector;
use crate::hosted::dispatch::{DispatchProgress, HostedDispatch};
use crate::hosted::forward::FORWARDED_HEADER;
use crate::hosted::identity::CallerIdentity;
use crate::hosted::pipelining::StartedEarly;
use crate::hosted::quota::credit_wait;
use crate::hosted::refusal::HostedRefusal;
use crate::hosted::route_stats::RouteStatsTable;
use crate::hosted::service::HostedServices;
use crate::request_body::{BodyLimits, RequestBody};
use crate::waiting_body::WaitingBodyReader;

/// Longest time that a request waits for the first configuration and server list, which arrive soon
/// after the start. Its route, and so its latency target, is not known before. A caller that is
/// refused comes back after `DEFAULT_RETRY_DELAY`, so a shorter wait brings it no earlier response.
const STARTUP_CONFIG_TIMEOUT: Duration = Duration::from_millis(250);

/// Part of the memory for bodies that request bodies leave to responses.
const RESERVED_RESPONSE_BYTES: usize = 4 << 20;

/// Options of a handler, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct HostedOptions {
    /// Largest request body that is buffered in memory as a whole.
    pub max_buffered_body_bytes: u64,
    /// Longest time between two frames of a request body.
    pub body_idle_timeout: Duration,
}

/// Handles callers' requests.
pub struct HostedHandler {
    board: Arc<HostedBoard>,
    services: Arc<HostedServices>,
    crashes: Arc<CrashDetector>,
    wire: Arc<WireInterface>,
    route_stats: RouteStatsTable,
    metrics: HostedMetrics,
    options: HostedOptions,
    in_flight: AtomicUsize,
    log: Logger,
}

/// Summary of a request for its metrics and its log line.
struct RequestSummary<'a> {
    id: Option<&'a HeaderValue>,
    /// Whether it was started before the response to an earlier request of its connection.
    is_started_early: bool,
    route: Option<&'a HostedRoute>,
    progress: DispatchProgress,
    elapsed: Duration,
}

impl HostedHandler {
    /// Creates a handler without requests in flight.
    pub fn new(
        board: Arc<HostedBoard>,
        services: Arc<HostedServices>,
        crashes: Arc<CrashBoard>,
        wire: WireInterface,
        metrics: HostedMetrics,
        options: HostedOptions,
        log: Logger,
    ) -> Self {
        let wire = Arc::new(wire);
        let crashes = Arc::new(CrashDetector::new(
            crashes,
            Arc::clone(&services),
            Arc::clone(&wire),
            metrics.clone(),
            log.clone(),
        ));
        Self {
            board,
            services,
            crashes,
            wire,
            route_stats: RouteStatsTable::default(),
            metrics,
            options,
            in_flight: AtomicUsize::new(0),
            log,
        }
    }

    /// Returns the number of requests that don't have a response head yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns the limits for callers, or `None` before the first configuration.
    pub(crate) fn caller_limits(&self) -> Option<CallerLimits> {
        self.board.routes().map(|table| table.limits.clone())
    }

    /// Whether the VM drains. Its connections close as soon as they have no request.
    pub(crate) fn is_draining(&self) -> bool {
        self.board.is_draining()
    }

    /// Returns the metrics of requests.
    pub(crate) fn metrics(&self) -> &HostedMetrics {
        &self.metrics
    }

    /// Returns the mean size of a response, in bytes, if the request has a route by which it may
    /// run any number of times.
    pub(crate) fn idempotent_response_bytes(&self, request: &Request<Incoming>) -> Option<u64> {
        let table = self.board.routes()?;
        let (_, route, _) = find_route(Some(&table), request).ok()?;
        let is_idempotent = route.execution == ExecutionSemantics::Idempotent;
        is_idempotent.then(|| self.route_stats.response_bytes(route))
    }

    /// Whether the response to a request may be long, and so be streamed. If that breaks off, the
    /// caller's connection ends, and with it all requests behind.
    pub(crate) fn expects_long_response(&self, request: &Request<Incoming>) -> bool {
        let Some(table) = self.board.routes() else {
            return false;
        };
        find_route(Some(&table), request)
            .is_ok_and(|(_, route, _)| self.route_stats.expects_long_response(route))
    }

    /// Handles one request and returns a server's response or a refusal.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<CallerResponseBody>, Infallible> {
        let arrived_at = Instant::now();
        let (parts, incoming) = request.into_parts();
        let request = Request::from_parts(parts, ());
        let id = request.headers().get(&self.wire.headers.request_id).cloned();
        let is_started_early = request.extensions().get::<StartedEarly>().is_some();
        let has_chunked_body = has_chunked_body(request.headers());
        let mut in_flight_guard = InFlightGuard::new(&self, id.as_ref());
        let mut summary = RequestSummary {
            id: id.as_ref(),
            is_started_early,
            route: None,
            progress: DispatchProgress::default(),
            elapsed: Duration::ZERO,
        };
        let table = self.board.wait_for_routes(STARTUP_CONFIG_TIMEOUT).await;
        summary.progress.config_version = table.as_ref().map(|table| table.version);
        let result = match find_route(table.as_deref(), &request) {
            Ok((table, route, host)) => {
                summary.route = Some(route);
                self.forward(table, route, host, request, incoming, &mut summary.progress).await
            }
            Err(refusal) => Err(refusal),
        };
        summary.elapsed = arrived_at.elapsed();
        in_flight_guard.is_finished = true;
        self.record_result(&summary, &result);
        let mut response = match result {
            Ok(response) => response.http,
            Err(refusal) => refusal.into_response(),
        };
        if has_chunked_body {
            set_connection_close(response.headers_mut());
        }
        Ok(response)
    }

    /// Dispatches a request to a service of its route.
    async fn forward(
        &self,
        table: &RouteTable,
        route: &HostedRoute,
        host: Box<str>,
        request: Request<()>,
        incoming: Incoming,
        progress: &mut DispatchProgress,
    ) -> Result<ServerResponse, HostedRefusal> {
        let now = Instant::now();
        let names = &self.wire.headers;
        let Some(request_id) = request.headers().get(&names.request_id).cloned() else {
            return Err(HostedRefusal::Malformed("it has no request id"));
        };
        let identity = CallerIdentity::authenticate(table, route, request.headers())?;
        progress.account = identity.account.clone();
        let requested_time =
            read_millis(request.headers(), &names.deadline_ms).unwrap_or(route.timeout);
        let time_before_attempt = self.route_stats.time_before_attempt(route, requested_time);
        let deadline = now + requested_time.min(route.timeout);
        if !self.board.may_start_request(deadline + RESPONSE_GRACE, now) {
            return Err(HostedRefusal::ShuttingDown);
        }
        let service = self.services.get_or_create(&self.route_stats.next_service(route));
        let is_forwarded = request.headers().contains_key(FORWARDED_HEADER);
        if is_forwarded || !service.access.is_lost() {
            // Without access to servers, the VM that it is forwarded to counts it.
            service.budget().record_request(now);
        }
        progress.service = Some(service.name.clone());
        let (body, body_reader) = self.read_body(table, incoming, deadline).await?;
        let request_bytes = body.buffered_bytes() as u64;
        let shape = RequestShape {
            service_time: self.route_stats.service_time(route, requested_time, now),
            transfer_bytes: request_bytes + self.route_stats.response_bytes(route),
            target: route.target_latency,
        };
        let info = table.services.get(&service.name);
        if let Some(info) = info {
            service.set_max_connections(info.max_connections);
        }
        let health_path = info.map(|info| &*info.health_path);
        let mut dispatch = HostedDispatch {
            wire: &self.wire,
            metrics: &self.metrics,
            route,
            service: &service,
            board: &self.board,
            crashes: &self.crashes,
            helpers: &self.services.helpers,
            is_forwarded,
            health_path,
            request_id,
            head: self.forwarded_head(request, route, &identity)?,
            identity,
            host,
            body,
            fingerprint: OnceLock::new(),
            shape,
            max_buffered_bytes: self.max_buffered_bytes(route),
            deadline,
            target_at: now + route.target_latency.saturating_sub(time_before_attempt),
            progress: std::mem::take(progress),
        };
        let result = tokio::select! {
            biased;
            result = self.run_with_credit(&mut dispatch) => result,
            error = read_on(body_reader) => Err(refuse_broken_body(error)),
            () = self.board.wait_for_exit() => Err(dispatch.refusal_at_exit()),
        };
        *progress = dispatch.progress;
        if let Ok(response) = &result {
            self.route_stats.record_length(route, response.is_long);
            if let Some(bytes) = response.body_bytes {
                self.route_stats.record_response_bytes(route, bytes);
            }
        }
        if result.as_ref().is_ok_and(|response| response.http.status().is_success())
            && progress.attempts == 1
        {
            self.route_stats.record_service_time(route, progress.dispatch_time, Instant::now());
        }
        result
    }

    fn max_buffered_bytes(&self, route: &HostedRoute) -> usize {
        let is_idempotent = route.execution == ExecutionSemantics::Idempotent;
        match is_idempotent && !self.route_stats.expects_long_response(route) {
            true => MAX_UNEXPECTED_RESPONSE_BYTES,
            false => MAX_BUFFERED_RESPONSE_BYTES,
        }
    }

    /// Dispatches a request once its client account has a credit for it.
    async fn run_with_credit(
        &self,
        dispatch: &mut HostedDispatch<'_>,
    ) -> Result<ServerResponse, HostedRefusal> {
        // Another VM that serves the request takes a credit itself.
        let account = match dispatch.should_forward() {
            true => None,
            false => dispatch.identity.account.clone(),
        };
        let credit_wait = credit_wait(dispatch.route.target_latency);
        let wait_until = dispatch.deadline.min(Instant::now() + credit_wait);
        let credit = self.services.quotas.acquire(account, wait_until).await?;
        dispatch.progress.credit = credit.credit();
        let sent_at = Instant::now();
        let result = dispatch.run().await;
        dispatch.progress.dispatch_time = sent_at.elapsed();
        let is_not_run = result.as_ref().is_err_and(|refusal| refusal.is_not_run());
        if is_not_run || dispatch.progress.is_served_elsewhere {
            credit.give_back();
        }
        result
    }

    /// Returns the head of a request as backend servers receive it.
    fn forwarded_head(
        &self,
        request: Request<()>,
        route: &HostedRoute,
        identity: &CallerIdentity,
    ) -> Result<RequestHead, HostedRefusal> {
        let (parts, ()) = request.into_parts();
        let mut headers = parts.headers;
        let names = &self.wire.headers;
        let kept = [&HOST, &names.request_id].map(|name| (name, headers.get(name).cloned()));
        remove_hop_by_hop(&mut headers);
        // `Connection` names only fields that are for this VM.
        for (name, value) in kept {
            if let Some(value) = value {
                headers.insert(name, value);
            }
        }
        headers.remove("expect");
        headers.remove(FORWARDED_HEADER);
        identity.set_headers(&names.account, route, &mut headers)?;
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        let target = target
            .parse()
            .map_err(|_| HostedRefusal::Malformed("its target can't be forwarded"))?;
        Ok(RequestHead { method: parts.method, target, headers })
    }

    /// Reads the request body, and buffers it as a whole if it is small enough. Returns a reader for
    /// the rest of a longer one.
    async fn read_body(
        &self,
        table: &RouteTable,
        incoming: Incoming,
        deadline: Instant,
    ) -> Result<(RequestBody, Option<WaitingBodyReader>), HostedRefusal> {
        let limits = BodyLimits {
            idle_timeout: self.options.body_idle_timeout,
            max_bytes: table.limits.max_body_bytes,
            max_buffered_bytes: self.options.max_buffered_body_bytes,
        };
        let budget = self.services.body_budget.without_last(RESERVED_RESPONSE_BYTES);
        let prepared = RequestBody::prepare_buffered(incoming, limits, &budget);
        match timeout_at(deadline, prepared).await {
            Ok(body) => body.map_err(refuse_broken_body),
            Err(_) => Err(HostedRefusal::BodyIncomplete),
        }
    }

    /// Updates the metrics and writes the log line of a request.
    fn record_result(
        &self,
        summary: &RequestSummary<'_>,
        result: &Result<ServerResponse, HostedRefusal>,
    ) {
        let route = summary.route.map_or("", |route| &*route.name);
        let outcome = match result {
            Ok(_) => RequestOutcome::Answered,
            Err(refusal) if refusal.is_not_run() => RequestOutcome::NotRun,
            Err(_) => RequestOutcome::Unknown,
        };
        self.metrics.count_request(outcome, summary.elapsed);
        if let Some(account) = &summary.progress.account {
            self.metrics.count_account_request(&account.name.0, outcome);
        }
        if matches!(result, Err(HostedRefusal::Unauthorized(_))) {
            self.metrics.unauthorized.inc();
        }
        let id = header_text(summary.id);
        let millis = summary.elapsed.as_millis() as u64;
        let progress = &summary.progress;
        let service = progress.service.as_ref().map_or("", |service| &*service.0);
        let config_version = progress.config_version.map(|version| version.0);
        let fields = o!("id" => id.to_owned(), "route" => route.to_owned(),
            "service" => service.to_owned(), "config" => config_version,
            "sends" => progress.attempts,
            "account" => progress.account.as_ref().map(|account| account.name.to_string()),
            "credit" => progress.credit.map(|credit| credit.source.to_string()),
            "credit_left" => progress.credit.map(|credit| credit.left),
            "expected_ms" => progress.expected_time.as_millis() as u64, "ms" => millis,
            "pipelined" => summary.is_started_early.then_some(true));
        match result {
            Ok(response) => info!(self.log, "request: answered"; fields,
                "status" => response.http.status().as_u16(), "server" => response.server.as_str(),
                "server_limit" => response.limit.map(|limit| limit.0),
                "report_age_ms" => response.report_age.map(|age| age.as_millis() as u64)),
            Err(refusal) => info!(self.log, "request: refused"; fields, "reason" => %refusal,
                "server" => progress.last_server.as_ref().map(ServerId::as_str),
                "not_run" => progress.last_not_run.map(|reason| reason.to_string()),
                "unknown" => progress.last_unknown.map(|reason| reason.to_string())),
        }
    }
}

/// Counts a request as in flight. If it is dropped before the request is finished, the caller has
/// disconnected.
struct InFlightGuard<'a> {
    handler: &'a HostedHandler,
    id: Option<&'a HeaderValue>,
    arrived_at: Instant,
    is_finished: bool,
}

impl<'a> InFlightGuard<'a> {
    fn new(handler: &'a HostedHandler, id: Option<&'a HeaderValue>) -> Self {
        handler.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { handler, id, arrived_at: Instant::now(), is_finished: false }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.handler.in_flight.fetch_sub(1, Ordering::AcqRel);
        if !self.is_finished {
            self.handler.metrics.caller_disconnects.inc();
            info!(self.handler.log, "request: caller left"; "id" => header_text(self.id),
                "ms" => self.arrived_at.elapsed().as_millis() as u64);
        }
    }
}

/// Reads on a body; completes if it is broken.
async fn read_on(reader: Option<WaitingBodyReader>) -> BodyError {
    match reader {
        Some(reader) => reader.read_on().await,
        None => std::future::pending().await,
    }
}

fn refuse_broken_body(error: BodyError) -> HostedRefusal {
    match error {
        BodyError::TooLarge => HostedRefusal::BodyTooLarge,
        _ => HostedRefusal::BodyIncomplete,
    }
}

fn header_text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn find_route<'a, B>(
    table: Option<&'a RouteTable>,
    request: &Request<B>,
) -> Result<(&'a RouteTable, &'a HostedRoute, Box<str>), HostedRefusal> {
    let Some(table) = table else {
        return Err(HostedRefusal::NoConfig);
    };
    let host = read_host(request).map_err(HostedRefusal::Malformed)?;
    check_forwardable(request).map_err(HostedRefusal::Malformed)?;
    let route = table.find_route(&host, request.uri().path()).ok_or(HostedRefusal::NoRoute)?;
    Ok((table, route, host))
}

fn read_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
