//! Sends a request to backend servers: one try, or several where it may run more than once.

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
use records::ServicePlan;

use crate::exchange::{
    ExchangeFailure, ExchangeLease, ExchangePlan, ServerAnswer, connect, run_exchange,
};
use crate::headers::{DRAIN_HEADER, TRY_HEADER, is_second_try, set_deadline};
use crate::pool::ConnectionTrust;
use crate::refusal::{RequestRefusal, RunOutcome};
use crate::request_body::RequestBody;
use crate::service::ServiceRuntime;

/// Most servers that one request is sent to.
const MAX_TRIES: usize = 3;

/// The head of a request, as every try sends it.
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
}

/// What a request's dispatch needs of the daemon.
#[derive(Clone)]
pub(crate) struct DispatchParts {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) traces: TraceExporter,
}

/// A request on its way to backend servers.
pub(crate) struct RequestDispatch<'a> {
    pub(crate) parts: &'a DispatchParts,
    pub(crate) plan: &'a ServicePlan,
    pub(crate) runtime: &'a Arc<ServiceRuntime>,
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) deadline: Instant,
    /// Whether it may run more than once.
    pub(crate) is_idempotent: bool,
    /// Servers that were tried. Invariant: at most `MAX_TRIES`.
    pub(crate) tried: Vec<ServerTicket>,
    /// Whether a server may have begun to run it.
    pub(crate) may_have_run: bool,
}

/// A server for one try, and where it listens.
struct ChosenServer {
    lease: ExchangeLease,
    address: SocketAddr,
}

/// How one try ended.
type TryResult = Result<ServerAnswer, ExchangeFailure>;

impl RequestDispatch<'_> {
    /// Sends the request and waits for the head of an answer.
    pub(crate) async fn run(mut self) -> Result<ServerAnswer, RequestRefusal> {
        let is_repeatable = self.is_idempotent && !is_second_try(&self.head.headers);
        let end = if is_repeatable { self.run_with_tries().await } else { self.run_once().await };
        end.map_err(|refusal| self.with_earlier_tries(refusal))
    }

    /// Sends it until one server may have received it.
    async fn run_once(&mut self) -> Result<ServerAnswer, RequestRefusal> {
        loop {
            let chosen = self.choose()?;
            let plan = self.exchange_plan(chosen.address, self.trust());
            let lease = match connect(chosen.lease, &plan).await {
                Ok(lease) => lease,
                Err(_) if self.may_go_on() => continue,
                Err(failure) => return Err(refusal_of(failure)),
            };
            return match self.start_try(lease, plan).await {
                Ok(answer) => self.pass_or_refuse(answer),
                Err(failure) => Err(refusal_of(failure)),
            };
        }
    }

    async fn run_with_tries(&mut self) -> Result<ServerAnswer, RequestRefusal> {
        let mut tries = FuturesUnordered::new();
        let chosen = self.choose()?;
        let first = chosen.lease.ticket();
        tries.push(self.connect_and_try(chosen, ConnectionTrust::Any));
        let patience = Duration::from_millis(self.plan.spec.expected_ms);
        let hedge_at = Instant::now() + patience;
        let mut may_hedge = self.body.can_send();
        loop {
            let end = tokio::select! {
                end = tries.next() => end,
                () = sleep_until(hedge_at), if may_hedge => {
                    may_hedge = false;
                    self.runtime.group().raise_service_time(first, patience, Instant::now());
                    if let Some(chosen) = self.second_try() {
                        // What hangs may be the connection, so the second try takes a new one.
                        tries.push(self.connect_and_try(chosen, ConnectionTrust::New));
                    }
                    continue;
                }
            };
            let end = end.unwrap_or(Err(ExchangeFailure::Unreachable));
            if let Ok(answer) = &end
                && !self.wants_other(answer)
            {
                self.runtime.retries().record_success(self.plan.spec.retry_percent);
                return self.end_tries(end);
            }
            self.may_have_run |= self.shows_run(&end);
            if !tries.is_empty() {
                continue;
            }
            match self.second_try() {
                Some(chosen) => tries.push(self.connect_and_try(chosen, ConnectionTrust::Any)),
                None => return self.end_tries(end),
            }
        }
    }

    fn end_tries(&self, end: TryResult) -> Result<ServerAnswer, RequestRefusal> {
        match end {
            Ok(answer) => self.pass_or_refuse(answer),
            Err(failure) => Err(refusal_of(failure)),
        }
    }

    /// Whether a server may have begun to run a request whose try ended like this.
    fn shows_run(&self, end: &TryResult) -> bool {
        match end {
            Ok(answer) => !self.is_refusal(answer.response.status().as_u16()),
            Err(failure) => *failure != ExchangeFailure::Unreachable,
        }
    }

    /// A refusal never says that the request did not run when an earlier try may have run it.
    fn with_earlier_tries(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.may_have_run && refusal.outcome() == RunOutcome::NotRun {
            return RequestRefusal::BrokenOff;
        }
        refusal
    }

    /// Chooses a server for the first try.
    fn choose(&mut self) -> Result<ChosenServer, RequestRefusal> {
        let now = Instant::now();
        // Looked at again, since a process can be paused while a request waits for its body or
        // its claim.
        if !self.parts.board.may_serve(now) {
            return Err(RequestRefusal::ConfigStale);
        }
        let Some(remaining) = self.deadline.checked_duration_since(now).filter(|d| !d.is_zero())
        else {
            return Err(RequestRefusal::DeadlineBefore);
        };
        let picked = self.runtime.group().pick(remaining, &self.tried, now, &mut rand::rng());
        match picked {
            PickOutcome::Chosen { ticket, address } => {
                self.tried.push(ticket);
                let lease = ExchangeLease::new(Arc::clone(self.runtime), ticket, now);
                Ok(ChosenServer { lease, address })
            }
            PickOutcome::Saturated { wait } => Err(RequestRefusal::Saturated(wait)),
            PickOutcome::NoServer => Err(RequestRefusal::NoServer),
        }
    }

    /// Chooses a server for a further try, if the budget allows one.
    fn second_try(&mut self) -> Option<ChosenServer> {
        let is_allowed = self.plan.spec.retry_percent > 0 && self.may_go_on();
        if !is_allowed || !self.runtime.retries().try_take() {
            return None;
        }
        let chosen = self.choose().ok()?;
        self.parts.metrics.retries.inc();
        self.head.headers.insert(TRY_HEADER, HeaderValue::from_static("1"));
        Some(chosen)
    }

    fn may_go_on(&self) -> bool {
        self.tried.len() < MAX_TRIES && self.body.can_send()
    }

    fn trust(&self) -> ConnectionTrust {
        if self.is_idempotent { ConnectionTrust::Any } else { ConnectionTrust::RecentlyHeard }
    }

    fn exchange_plan(&self, address: SocketAddr, trust: ConnectionTrust) -> ExchangePlan {
        let connections = self.runtime.group().max_connections();
        ExchangePlan { address, trust, connections, deadline: self.deadline }
    }

    /// Begins a try that can be lost without losing the body.
    fn connect_and_try(
        &mut self,
        chosen: ChosenServer,
        trust: ConnectionTrust,
    ) -> impl Future<Output = TryResult> + use<> {
        let plan = self.exchange_plan(chosen.address, trust);
        let connect_plan = plan.clone();
        let sending = self.prepare_try(plan);
        async move {
            let connecting = connect(chosen.lease, &connect_plan);
            match timeout_at(connect_plan.deadline, connecting).await {
                Ok(Ok(lease)) => sending(lease).await,
                _ => Err(ExchangeFailure::Unreachable),
            }
        }
    }

    async fn start_try(&mut self, lease: ExchangeLease, plan: ExchangePlan) -> TryResult {
        self.prepare_try(plan)(lease).await
    }

    /// Makes the request of one try. What is returned owns all that it needs.
    fn prepare_try(
        &mut self,
        plan: ExchangePlan,
    ) -> impl FnOnce(ExchangeLease) -> Pin<Box<dyn Future<Output = TryResult> + Send>> + Send + use<>
    {
        let mut headers = self.head.headers.clone();
        set_deadline(&mut headers, plan.deadline.saturating_duration_since(Instant::now()));
        let mut span = self.parts.traces.start_hop_span("backend", SpanKind::Client, &headers);
        span.inject(&mut headers);
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone();
        *request.headers_mut() = headers;
        let refusals = self.plan.spec.refusal_statuses.clone();
        let runtime = Arc::clone(self.runtime);
        let board = Arc::clone(&self.parts.board);
        move |lease| {
            Box::pin(async move {
                let is_failure = |status| is_server_failure(status) || refusals.contains(&status);
                match run_exchange(lease, &plan, request, is_failure).await {
                    Ok(answer) => {
                        span.end_with_status(answer.response.status().as_u16());
                        note_drain_hint(&answer, &runtime, &board);
                        Ok(answer)
                    }
                    Err(failure) => Err(failure),
                }
            })
        }
    }

    /// Whether another server might give a better answer to a request that may run again.
    fn wants_other(&self, answer: &ServerAnswer) -> bool {
        let status = answer.response.status().as_u16();
        let is_retryable = is_server_failure(status) || self.is_refusal(status);
        is_retryable && self.may_go_on()
    }

    fn is_refusal(&self, status: u16) -> bool {
        self.plan.spec.refusal_statuses.contains(&status)
    }

    /// An answer by which a server declares that it did not begin becomes a refusal.
    fn pass_or_refuse(&self, answer: ServerAnswer) -> Result<ServerAnswer, RequestRefusal> {
        if self.is_refusal(answer.response.status().as_u16()) {
            return Err(RequestRefusal::Saturated(Duration::from_secs(1)));
        }
        Ok(answer)
    }
}

fn refusal_of(failure: ExchangeFailure) -> RequestRefusal {
    match failure {
        ExchangeFailure::Unreachable => RequestRefusal::Unreachable,
        ExchangeFailure::BrokenOff => RequestRefusal::BrokenOff,
        ExchangeFailure::Deadline => RequestRefusal::DeadlineAfter,
    }
}

/// Statuses that tell of the server rather than of the request.
fn is_server_failure(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}

fn note_drain_hint(answer: &ServerAnswer, runtime: &ServiceRuntime, board: &Blackboard) {
    if !answer.response.headers().contains_key(DRAIN_HEADER) {
        return;
    }
    let mut group = runtime.group();
    let Some(server) = group.server_id(answer.lease.ticket()).cloned() else {
        return;
    };
    if group.mark_leaving(&server, Instant::now()) {
        board.send_notice(DrainNotice { server, is_own: true });
    }
}
