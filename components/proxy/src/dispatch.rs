//! Dispatches a request to backend servers, with retries and a hedged attempt if it is idempotent.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use opentelemetry::trace::SpanKind;
use tokio::time::{Instant, sleep_until, timeout_at};

use balance::{PickOutcome, ServerTicket};
use board::{Blackboard, DrainNotice};
use observe::{DaemonMetrics, TraceExporter};
use records::ServiceConfig;

use crate::exchange::{
    ExchangeFailure, ExchangeLease, ExchangeOptions, ServerResponse, connect, run_exchange,
};
use crate::headers::{
    DRAIN_HEADER, RETRY_HEADER, is_retry, set_chunked_framing, set_remaining_time,
};
use crate::pool::ReusePolicy;
use crate::refusal::{RequestRefusal, RunOutcome};
use crate::request_body::RequestBody;
use crate::service::ServiceRuntime;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 3;

/// The head of a request, which every attempt sends.
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
}

/// State and telemetry of the daemon that all dispatches share.
#[derive(Clone)]
pub(crate) struct DispatchContext {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) traces: TraceExporter,
}

/// The state of one request's dispatch to backend servers.
pub(crate) struct RequestDispatch<'a> {
    pub(crate) context: &'a DispatchContext,
    pub(crate) config: &'a ServiceConfig,
    pub(crate) runtime: &'a Arc<ServiceRuntime>,
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) deadline: Instant,
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// Servers chosen so far. Invariant: at most `MAX_ATTEMPTS`.
    pub(crate) attempted_servers: Vec<ServerTicket>,
    /// Whether a server may have started to run the request in an earlier attempt.
    pub(crate) may_have_run: bool,
}

/// The server of one attempt, and its address.
struct ChosenServer {
    lease: ExchangeLease,
    address: SocketAddr,
}

/// The result of one attempt.
type AttemptResult = Result<ServerResponse, ExchangeFailure>;

/// An attempt in progress.
type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult> + Send>>;

impl RequestDispatch<'_> {
    /// Sends the request and waits for the head of a response.
    pub(crate) async fn run(mut self) -> Result<ServerResponse, RequestRefusal> {
        let can_repeat = self.is_idempotent && !is_retry(&self.head.headers);
        let result = if can_repeat { self.run_with_retries().await } else { self.run_once().await };
        result.map_err(|refusal| self.account_for_earlier_attempts(refusal))
    }

    /// Sends the request to one server, without retries. Tries another server only if no connection
    /// could be opened, since a connected server may have received the request.
    async fn run_once(&mut self) -> Result<ServerResponse, RequestRefusal> {
        loop {
            let chosen = self.choose_server()?;
            let options = self.exchange_options(chosen.address, self.reuse_policy());
            let lease = match connect(chosen.lease, &options).await {
                Ok(lease) => lease,
                Err(_) if self.can_retry() => continue,
                Err(failure) => return Err(refusal_for(failure)),
            };
            return match self.send_attempt(lease, options).await {
                Ok(response) => self.response_or_refusal(response),
                Err(failure) => Err(refusal_for(failure)),
            };
        }
    }

    async fn run_with_retries(&mut self) -> Result<ServerResponse, RequestRefusal> {
        let mut attempts = FuturesUnordered::new();
        let chosen = self.choose_server()?;
        let first_server = chosen.lease.ticket();
        attempts.push(self.connect_and_send(chosen, ReusePolicy::Any));
        let expected_latency = Duration::from_millis(self.config.spec.expected_ms);
        let hedge_at = Instant::now() + expected_latency;
        let mut may_hedge = self.body.can_send();
        loop {
            let result = tokio::select! {
                result = attempts.next() => result,
                () = sleep_until(hedge_at), if may_hedge => {
                    may_hedge = false;
                    let now = Instant::now();
                    self.runtime.group().raise_service_time(first_server, expected_latency, now);
                    if let Some(chosen) = self.choose_retry_server() {
                        // The first attempt may be stuck on its connection, so the hedged attempt
                        // opens a new one.
                        attempts.push(self.connect_and_send(chosen, ReusePolicy::Never));
                    }
                    continue;
                }
            };
            let result = result.unwrap_or(Err(ExchangeFailure::Unreachable));
            if let Ok(response) = &result
                && !self.should_retry(response)
            {
                self.runtime.retry_budget().record_success(self.config.spec.retry_percent);
                return self.finish_attempts(result);
            }
            self.may_have_run |= self.attempt_may_have_run(&result);
            if !attempts.is_empty() {
                continue;
            }
            match self.choose_retry_server() {
                Some(chosen) => attempts.push(self.connect_and_send(chosen, ReusePolicy::Any)),
                None => return self.finish_attempts(result),
            }
        }
    }

    fn finish_attempts(&self, result: AttemptResult) -> Result<ServerResponse, RequestRefusal> {
        match result {
            Ok(response) => self.response_or_refusal(response),
            Err(failure) => Err(refusal_for(failure)),
        }
    }

    /// Whether the server may have started to run the request in an attempt with this result.
    fn attempt_may_have_run(&self, result: &AttemptResult) -> bool {
        match result {
            Ok(response) => !self.is_refusal_status(response.http.status().as_u16()),
            Err(failure) => *failure != ExchangeFailure::Unreachable,
        }
    }

    /// Replaces a refusal that reports the request as not run if an earlier attempt may have run
    /// it.
    fn account_for_earlier_attempts(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.may_have_run && refusal.outcome() == RunOutcome::NotRun {
            return RequestRefusal::Interrupted;
        }
        refusal
    }

    /// Chooses a server for the next attempt.
    fn choose_server(&mut self) -> Result<ChosenServer, RequestRefusal> {
        let now = Instant::now();
        // Checked again, since the process may have been suspended while the request waited for its
        // body or its claim.
        if !self.context.board.has_valid_config(now) {
            return Err(RequestRefusal::ConfigStale);
        }
        let Some(remaining) = self.deadline.checked_duration_since(now).filter(|d| !d.is_zero())
        else {
            return Err(RequestRefusal::DeadlineBeforeSend);
        };
        let picked =
            self.runtime.group().pick(remaining, &self.attempted_servers, now, &mut rand::rng());
        match picked {
            PickOutcome::Chosen { ticket, address } => {
                self.attempted_servers.push(ticket);
                let lease = ExchangeLease::new(Arc::clone(self.runtime), ticket, now);
                Ok(ChosenServer { lease, address })
            }
            PickOutcome::Saturated { wait } => Err(RequestRefusal::Saturated(wait)),
            PickOutcome::NoServer => Err(RequestRefusal::NoServer),
        }
    }

    /// Chooses a server for a retry or a hedged attempt, if the retry budget allows one.
    fn choose_retry_server(&mut self) -> Option<ChosenServer> {
        let is_allowed = self.config.spec.retry_percent > 0 && self.can_retry();
        if !is_allowed || !self.runtime.retry_budget().try_take() {
            return None;
        }
        let chosen = self.choose_server().ok()?;
        self.context.metrics.retries.inc();
        self.head.headers.insert(RETRY_HEADER, HeaderValue::from_static("1"));
        Some(chosen)
    }

    fn can_retry(&self) -> bool {
        self.attempted_servers.len() < MAX_ATTEMPTS && self.body.can_send()
    }

    fn reuse_policy(&self) -> ReusePolicy {
        if self.is_idempotent { ReusePolicy::Any } else { ReusePolicy::RecentlyActive }
    }

    fn exchange_options(&self, address: SocketAddr, reuse_policy: ReusePolicy) -> ExchangeOptions {
        let max_connections = self.runtime.group().max_connections();
        ExchangeOptions { address, reuse_policy, max_connections, deadline: self.deadline }
    }

    /// Returns a future that connects to a server and sends the request. It borrows nothing, so
    /// that attempts can run concurrently.
    fn connect_and_send(
        &mut self,
        chosen: ChosenServer,
        reuse_policy: ReusePolicy,
    ) -> impl Future<Output = AttemptResult> + use<> {
        let options = self.exchange_options(chosen.address, reuse_policy);
        let connect_options = options.clone();
        let send = self.prepare_attempt(options);
        async move {
            let connecting = connect(chosen.lease, &connect_options);
            match timeout_at(connect_options.deadline, connecting).await {
                Ok(Ok(lease)) => send(lease).await,
                _ => Err(ExchangeFailure::Unreachable),
            }
        }
    }

    async fn send_attempt(
        &mut self,
        lease: ExchangeLease,
        options: ExchangeOptions,
    ) -> AttemptResult {
        self.prepare_attempt(options)(lease).await
    }

    /// Builds the request of one attempt. Returns a function that sends it and borrows nothing.
    fn prepare_attempt(
        &mut self,
        options: ExchangeOptions,
    ) -> impl FnOnce(ExchangeLease) -> AttemptFuture + Send + use<> {
        let mut headers = self.head.headers.clone();
        set_remaining_time(
            &mut headers,
            options.deadline.saturating_duration_since(Instant::now()),
        );
        let mut span = self.context.traces.start_hop_span("backend", SpanKind::Client, &headers);
        span.inject(&mut headers);
        let mut request = Request::new(self.body.body_for_attempt());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone();
        *request.headers_mut() = headers;
        set_chunked_framing(&mut request);
        let refusals = self.config.spec.refusal_statuses.clone();
        let runtime = Arc::clone(self.runtime);
        let board = Arc::clone(&self.context.board);
        move |lease| {
            Box::pin(async move {
                let is_failure = |status| is_server_error(status) || refusals.contains(&status);
                match run_exchange(lease, &options, request, is_failure).await {
                    Ok(response) => {
                        span.end_with_status(response.http.status().as_u16());
                        apply_drain_header(&response, &runtime, &board);
                        Ok(response)
                    }
                    Err(failure) => Err(failure),
                }
            })
        }
    }

    /// Whether an idempotent request is worth sending to another server after this response.
    fn should_retry(&self, response: &ServerResponse) -> bool {
        let status = response.http.status().as_u16();
        let is_retryable = is_server_error(status) || self.is_refusal_status(status);
        is_retryable && self.can_retry()
    }

    fn is_refusal_status(&self, status: u16) -> bool {
        self.config.spec.refusal_statuses.contains(&status)
    }

    /// Returns the response, or a refusal if its status means that the server did not start the
    /// request.
    fn response_or_refusal(
        &self,
        response: ServerResponse,
    ) -> Result<ServerResponse, RequestRefusal> {
        if self.is_refusal_status(response.http.status().as_u16()) {
            return Err(RequestRefusal::Saturated(Duration::from_secs(1)));
        }
        Ok(response)
    }
}

fn refusal_for(failure: ExchangeFailure) -> RequestRefusal {
    match failure {
        ExchangeFailure::Unreachable => RequestRefusal::Unreachable,
        ExchangeFailure::ConnectionLost => RequestRefusal::Interrupted,
        ExchangeFailure::DeadlineExceeded => RequestRefusal::DeadlineAfterSend,
    }
}

/// Whether a status reports a failure of the server rather than of the request.
fn is_server_error(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}

/// Marks a server as leaving, and notifies the board, if its response announces a drain.
fn apply_drain_header(response: &ServerResponse, runtime: &ServiceRuntime, board: &Blackboard) {
    if !response.http.headers().contains_key(DRAIN_HEADER) {
        return;
    }
    let mut group = runtime.group();
    let Some(server) = group.server_id(response.lease.ticket()).cloned() else {
        return;
    };
    if group.mark_leaving(&server, Instant::now()) {
        board.send_notice(DrainNotice { server, is_local: true });
    }
}
