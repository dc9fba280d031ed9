//! Decides how often and when a request is sent.
//!
//! A request that may run only once is retried only if it certainly did not run. An idempotent
//! request is also retried when a server failed or the connection broke, and gets a hedged attempt
//! when the first server takes too long. Once an attempt has reached a server, every further one
//! counts against the service's budget of extra attempts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use tokio::time::{Instant, sleep_until, timeout_at};

use balance::{
    AdmissionDecision, FirstReturn, HEDGE_RETRY_INTERVAL, RequestShape, RequestTimes,
    ServerIncarnation, ServerTicket, admit, hedge_delay, limited_retry_delay, long_retry_delay,
    queue_poll_interval, short_retry_delay,
};
use board::HostedBoard;
use limits::Credit;
use model::{RevisionNumber, ServerId, jittered};
use observe::HostedMetrics;
use quarantine::Fingerprint;
use routes::{ClientAccount, ExecutionSemantics, HostedRoute, ServiceName, WireInterface};

use crate::body::BackendRequestBody;
use crate::dispatch::RequestHead;
use crate::headers::set_chunked_framing;
use crate::hosted::attempt::{
    AttemptContext, AttemptOutcome, NotRunReason, RESPONSE_GRACE, ServerResponse, UnknownReason,
    run_attempt,
};
use crate::hosted::crash_detector::{BrokenServer, CrashDetector};
use crate::hosted::helpers::Helpers;
use crate::hosted::identity::CallerIdentity;
use crate::hosted::refusal::HostedRefusal;
use crate::hosted::selection::{SelectedServer, SelectionContext, check_access, select_server};
use crate::hosted::service::HostedService;
use crate::pool::ReusePolicy;
use crate::request_body::RequestBody;

/// Attempts that can't reach their server until a pause precedes each further one.
const FREE_UNSENT_ATTEMPTS: usize = 3;

/// A request while it is dispatched to the servers of a service.
pub(crate) struct HostedDispatch<'a> {
    pub(crate) wire: &'a Arc<WireInterface>,
    pub(crate) metrics: &'a HostedMetrics,
    pub(crate) route: &'a HostedRoute,
    pub(crate) service: &'a Arc<HostedService>,
    pub(crate) board: &'a HostedBoard,
    pub(crate) crashes: &'a Arc<CrashDetector>,
    /// Other VMs, which serve the request if this one reaches no server.
    pub(crate) helpers: &'a Helpers,
    /// Whether another VM forwarded the request to this one.
    pub(crate) is_forwarded: bool,
    pub(crate) health_path: Option<&'a str>,
    pub(crate) request_id: HeaderValue,
    pub(crate) identity: CallerIdentity,
    /// Host of the request, in lower case and without a port.
    pub(crate) host: Box<str>,
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    /// Fingerprint of the request, once it is needed.
    pub(crate) fingerprint: OnceLock<Option<Fingerprint>>,
    pub(crate) shape: RequestShape,
    /// Number of bytes of the response that are read before it is streamed.
    pub(crate) max_buffered_bytes: usize,
    /// Earlier of the route's timeout and the caller's deadline.
    pub(crate) deadline: Instant,
    /// Time by which the response is wanted: the route's target less the time that the caller spent
    /// on earlier attempts.
    pub(crate) target_at: Instant,
    pub(crate) progress: DispatchProgress,
}

/// Progress of a request, for decisions and for its log line.
#[derive(Default)]
pub(crate) struct DispatchProgress {
    /// Service that the request was routed to.
    pub(crate) service: Option<ServiceName>,
    /// Version of the configuration by which the request was routed.
    pub(crate) config_version: Option<RevisionNumber>,
    /// Client account of the request.
    pub(crate) account: Option<Arc<ClientAccount>>,
    /// Expected time for waiting and running at the server selected last.
    pub(crate) expected_time: Duration,
    /// Servers of all attempts, including those that could not be reached.
    pub(crate) attempted_servers: Vec<ServerTicket>,
    /// Addresses of these servers. A server that was listed again has a new ticket, but may still
    /// send a late response on a connection to its address.
    pub(crate) attempted_addresses: Vec<SocketAddr>,
    /// The flag `AttemptContext::is_sent` of each attempt.
    pub(crate) sent_flags: Vec<Arc<AtomicBool>>,
    /// Server of the last attempt.
    pub(crate) last_server: Option<ServerId>,
    /// Number of attempts, excluding those that could not reach their server.
    pub(crate) attempts: u32,
    /// Number of attempts that could not reach their server.
    pub(crate) unsent_attempts: usize,
    /// Whether an attempt may have run the request without a response that could be forwarded.
    pub(crate) may_have_run: bool,
    /// Whether another VM serves the request.
    pub(crate) is_served_elsewhere: bool,
    /// Time from the first selection of a server until the response.
    pub(crate) dispatch_time: Duration,
    /// Credit of the request's client account.
    pub(crate) credit: Option<Credit>,
    pub(crate) last_not_run: Option<NotRunReason>,
    pub(crate) last_unknown: Option<UnknownReason>,
}

/// A finished attempt.
struct FinishedAttempt {
    /// `None` if the server had left the list.
    server: Option<ServerIncarnation>,
    outcome: AttemptOutcome,
}

impl HostedDispatch<'_> {
    /// Sends the request until there is a response to forward or no further attempt is possible.
    pub(crate) async fn run(&mut self) -> Result<ServerResponse, HostedRefusal> {
        self.check_shutdown()?;
        self.check_quarantine()?;
        if self.should_forward() {
            check_access(&self.selection_context(), self.shape);
            return self.forward().await;
        }
        let result = timeout_at(self.deadline + RESPONSE_GRACE, self.run_attempts()).await;
        match result {
            // The other VM would refuse a quarantined request too.
            Ok(Err(refusal))
                if refusal.is_not_run()
                    && !matches!(refusal, HostedRefusal::Quarantined(_))
                    && self.should_forward() =>
            {
                self.forward().await
            }
            Ok(result) => result.map_err(|refusal| self.account_for_earlier_attempts(refusal)),
            Err(_) => Err(self.refusal_at_deadline()),
        }
    }

    /// Replaces a refusal that reports the request as not run if an earlier attempt may have run
    /// it.
    fn account_for_earlier_attempts(&self, refusal: HostedRefusal) -> HostedRefusal {
        match self.progress.may_have_run && refusal.is_not_run() {
            true => HostedRefusal::NoUsableResponse,
            false => refusal,
        }
    }

    async fn run_attempts(&mut self) -> Result<ServerResponse, HostedRefusal> {
        let mut attempts = FuturesUnordered::new();
        let server = self.acquire_server().await?;
        self.check_before_attempt()?;
        let mut hedge_at = self.hedge_at(&server);
        attempts.push(self.start_attempt(server, ReusePolicy::Any));
        let mut may_hedge =
            self.route.execution == ExecutionSemantics::Idempotent && self.body.can_send();
        let mut error_response: Option<ServerResponse> = None;
        // Outcome of an attempt that ended while a server for the hedged attempt was selected.
        let mut early_outcome: Option<Option<FinishedAttempt>> = None;
        loop {
            let outcome = match early_outcome.take() {
                Some(outcome) => outcome,
                None => tokio::select! {
                    outcome = attempts.next() => outcome,
                    () = sleep_until(hedge_at), if may_hedge && attempts.len() == 1 => {
                        if self.is_suspected() {
                            may_hedge = false;
                            continue;
                        }
                        if !self.may_send_again() {
                            // The budget may allow a hedged attempt later.
                            hedge_at = Instant::now() + HEDGE_RETRY_INTERVAL;
                            continue;
                        }
                        may_hedge = false;
                        let server = tokio::select! {
                            biased;
                            outcome = attempts.next() => {
                                early_outcome = Some(outcome);
                                None
                            }
                            server = self.acquire_another_server() => server,
                        };
                        let is_allowed = self.check_config().is_ok();
                        if let Some(server) = server.filter(|_| is_allowed && self.take_extra()) {
                            let reuse_policy = ReusePolicy::Never;
                            attempts.push(self.start_attempt(server, reuse_policy));
                        }
                        continue;
                    }
                },
            };
            let Some(outcome) = outcome else {
                return error_response.ok_or_else(|| self.refusal_without_response());
            };
            match self.record_outcome(outcome, &mut error_response) {
                Some(response) => return Ok(response),
                None if !attempts.is_empty() => continue,
                None if self.may_retry() => {}
                None => return error_response.ok_or_else(|| self.refusal_without_response()),
            }
            if self.should_forward() {
                return Err(HostedRefusal::NoServer);
            }
            self.pause_after_unsent_attempts().await;
            let server = match error_response.is_some() {
                true => self.acquire_another_server().await,
                false => Some(self.acquire_server().await?),
            };
            if let Err(refusal) = self.check_before_attempt() {
                return error_response.ok_or(refusal);
            }
            match server.filter(|_| self.take_extra()) {
                Some(server) => {
                    let reuse_policy = self.retry_reuse_policy();
                    attempts.push(self.start_attempt(server, reuse_policy));
                }
                None => return error_response.ok_or_else(|| self.refusal_without_response()),
            }
        }
    }

    /// Records the outcome of an attempt. Returns the response to forward if no retry is needed.
    fn record_outcome(
        &mut self,
        finished: FinishedAttempt,
        error_response: &mut Option<ServerResponse>,
    ) -> Option<ServerResponse> {
        match finished.outcome {
            AttemptOutcome::Responded(response) => {
                self.record_response();
                let is_failure = response.http.status().is_server_error();
                if is_failure && self.route.execution == ExecutionSemantics::Idempotent {
                    self.progress.may_have_run = true;
                    *error_response = Some(response);
                    return None;
                }
                Some(response)
            }
            AttemptOutcome::NotRun(reason) => {
                if !reason.has_reached_server() {
                    self.progress.attempts -= 1;
                    self.progress.unsent_attempts += 1;
                }
                self.progress.last_not_run = Some(reason);
                None
            }
            AttemptOutcome::Unknown(reason) => {
                if reason == UnknownReason::ConnectionBroken {
                    self.record_broken_attempt(finished.server.as_ref());
                }
                self.progress.may_have_run = true;
                self.progress.last_unknown = Some(reason);
                None
            }
        }
    }

    /// Records that the connection to a server broke while it may have run the request.
    fn record_broken_attempt(&self, server: Option<&ServerIncarnation>) {
        // A body that was streamed is no longer known.
        let Some(content) = self.fingerprint() else {
            return;
        };
        let id = self.request_id.to_str().unwrap_or("");
        self.service.record_broken_attempt(id, content, server);
        // A server that leaves may exit while it still runs requests.
        if let Some(incarnation) = server
            && !self.service.group().is_incarnation_leaving(incarnation)
        {
            let server = BrokenServer {
                service: Arc::clone(self.service),
                incarnation: incarnation.clone(),
                health_path: self.health_path.map(Into::into),
            };
            self.crashes.check_crash(content, server);
        }
    }

    /// Refuses a request for reasons that may have arisen while it was queued.
    fn check_before_attempt(&self) -> Result<(), HostedRefusal> {
        self.check_shutdown()?;
        self.check_quarantine()?;
        self.check_config()
    }

    /// Refuses a request that could still run when this VM exits.
    fn check_shutdown(&self) -> Result<(), HostedRefusal> {
        match self.board.may_start_request(self.deadline + RESPONSE_GRACE, Instant::now()) {
            true => Ok(()),
            false => Err(HostedRefusal::ShuttingDown),
        }
    }

    /// Refuses a request if a newer configuration than the one by which it was routed takes away
    /// its key or route.
    pub(crate) fn check_config(&self) -> Result<(), HostedRefusal> {
        if self.board.version() == self.progress.config_version {
            return Ok(());
        }
        let Some(table) = self.board.routes() else {
            return Ok(());
        };
        self.identity.check(&table, &self.host, self.head.target.path())
    }

    /// Refuses a request that is known to crash its servers.
    pub(crate) fn check_quarantine(&self) -> Result<(), HostedRefusal> {
        let content = self.suspected_fingerprint();
        match content.and_then(|content| self.crashes.quarantine_left(content)) {
            Some(left) => {
                self.metrics.quarantine_refusals.inc();
                Err(HostedRefusal::Quarantined(left))
            }
            None => Ok(()),
        }
    }

    /// Whether a server has crashed while it may have run this request or a repeat of it.
    fn is_suspected(&self) -> bool {
        self.suspected_fingerprint().is_some_and(|content| self.crashes.is_suspected(content))
    }

    /// Records that a server has responded to the request.
    fn record_response(&self) {
        if let Some(content) = self.suspected_fingerprint() {
            self.crashes.record_response(content);
        }
    }

    /// Returns the fingerprint of the request; `None` also if no request at all is suspected.
    fn suspected_fingerprint(&self) -> Option<Fingerprint> {
        match self.crashes.is_idle() {
            true => None,
            false => self.fingerprint(),
        }
    }

    /// Returns the fingerprint of the request; `None` unless its whole body is in memory.
    fn fingerprint(&self) -> Option<Fingerprint> {
        *self.fingerprint.get_or_init(|| self.compute_fingerprint())
    }

    fn compute_fingerprint(&self) -> Option<Fingerprint> {
        let body = self.body.whole()?;
        let host = self.head.headers.get(HOST).map_or(&b""[..], |host| host.as_bytes());
        let target = self.head.target.path_and_query().map_or("", |target| target.as_str());
        let method = self.head.method.as_str();
        Some(match &self.identity.account {
            Some(account) => Fingerprint::of_account(&account.name.0, method, host, target, body),
            None => Fingerprint::new(method, host, target, body),
        })
    }

    /// Whether the request may be sent again after a failure.
    fn may_retry(&self) -> bool {
        let is_safe =
            self.route.execution == ExecutionSemantics::Idempotent || !self.progress.may_have_run;
        is_safe && self.may_send_again()
    }

    /// Waits before a further attempt if several could not reach their server, since the next one
    /// may fail as fast.
    async fn pause_after_unsent_attempts(&self) {
        let unsent = self.progress.unsent_attempts;
        if unsent >= FREE_UNSENT_ATTEMPTS {
            let until = Instant::now() + jittered(queue_poll_interval(unsent, self.shape));
            self.service.wait_in_queue(until).await;
        }
    }

    /// Returns which pooled connections a retry may use. After a broken connection it opens a new
    /// one, since a server that has lost one idle connection has lost others too.
    fn retry_reuse_policy(&self) -> ReusePolicy {
        match self.progress.last_unknown {
            Some(_) => ReusePolicy::Never,
            None => ReusePolicy::Any,
        }
    }

    /// Whether the body, the route, the deadline and the service's budget allow a further attempt.
    fn may_send_again(&self) -> bool {
        let now = Instant::now();
        if !self.body.can_send()
            || self.progress.attempts >= self.route.max_attempts
            || now + self.shape.service_time > self.deadline
        {
            return false;
        }
        self.is_first_attempt() || self.service.budget().has_extra(now)
    }

    /// Takes a further attempt from the service's budget, when it is sent: the selection of its
    /// server may have taken long.
    fn take_extra(&self) -> bool {
        self.is_first_attempt() || self.service.budget().try_take_extra(Instant::now())
    }

    /// Whether no attempt has reached a server, so that the next one isn't an extra attempt.
    fn is_first_attempt(&self) -> bool {
        self.progress.attempts == 0
    }

    /// Selects a server. The request is queued here while no server is expected to complete it by
    /// its target, and refused once the target is out of reach.
    async fn acquire_server(&mut self) -> Result<SelectedServer, HostedRefusal> {
        let service = self.service;
        let mut queued = None;
        loop {
            self.check_shutdown()?;
            let Some(server) = self.select_server().await else {
                let next_request_at = self.next_request_at()?;
                let queued = queued.get_or_insert_with(|| service.queue_request());
                let poll_at =
                    Instant::now() + jittered(queue_poll_interval(queued.count(), self.shape));
                service.wait_in_queue(next_request_at.max(poll_at)).await;
                continue;
            };
            self.progress.expected_time = server.estimate.expected_time();
            let times = RequestTimes { target_at: self.target_at, deadline: self.deadline };
            let load = self.service.group().load();
            match admit(&server.estimate, self.shape, times, load, Instant::now()) {
                AdmissionDecision::Send => return Ok(server),
                AdmissionDecision::Refuse => {
                    return Err(HostedRefusal::Saturated(self.saturated_retry_delay()));
                }
                AdmissionDecision::Queue => {}
            }
            drop(server);
            let queued = queued.get_or_insert_with(|| service.queue_request());
            let poll_at =
                Instant::now() + jittered(queue_poll_interval(queued.count(), self.shape));
            service.wait_in_queue(poll_at).await;
        }
    }

    /// Returns when the first server accepts a request again, if the request can still meet its
    /// target then.
    fn next_request_at(&self) -> Result<Instant, HostedRefusal> {
        let now = Instant::now();
        let first = self.service.group().first_return(now).ok_or(HostedRefusal::NoServer)?;
        match first.at + self.shape.service_time <= self.target_at {
            true => Ok(first.at),
            false => Err(HostedRefusal::Saturated(self.return_delay(first, now))),
        }
    }

    /// Returns the caller's retry delay while no server accepts a request.
    fn return_delay(&self, first: FirstReturn, now: Instant) -> Duration {
        let wait = first.at.saturating_duration_since(now);
        match first.is_resting {
            // An earlier retry is certain to be refused.
            true => wait,
            false => limited_retry_delay(wait, self.remaining_time()),
        }
    }

    /// Selects a server for a further attempt, or returns `None` if the request would be refused.
    async fn acquire_another_server(&mut self) -> Option<SelectedServer> {
        self.acquire_server().await.ok()
    }

    async fn select_server(&mut self) -> Option<SelectedServer> {
        let context = self.selection_context();
        select_server(&context, self.shape, &self.progress.attempted_servers).await
    }

    fn selection_context(&self) -> SelectionContext<'_> {
        SelectionContext {
            service: self.service,
            wire: self.wire,
            metrics: self.metrics,
            health_path: self.health_path,
        }
    }

    /// Returns when the hedged attempt starts if the first one has no response by then.
    fn hedge_at(&self, server: &SelectedServer) -> Instant {
        Instant::now() + hedge_delay(&server.estimate, self.route.target_latency)
    }

    /// Prepares an attempt and returns the future that runs it.
    fn start_attempt(
        &mut self,
        mut server: SelectedServer,
        reuse_policy: ReusePolicy,
    ) -> impl Future<Output = FinishedAttempt> + use<> {
        let incarnation = server.lease.incarnation();
        let address = incarnation.as_ref().map(|incarnation| incarnation.address);
        let is_repeated =
            address.is_some_and(|address| self.progress.attempted_addresses.contains(&address));
        let reuse_policy = match self.route.execution {
            _ if is_repeated => ReusePolicy::Never,
            ExecutionSemantics::Idempotent => reuse_policy,
            ExecutionSemantics::Once => ReusePolicy::NoRecentResponse,
        };
        let request = self.request_for_attempt();
        let is_sent = Arc::new(AtomicBool::new(false));
        self.progress.sent_flags.push(Arc::clone(&is_sent));
        server.lease.record_sent();
        self.progress.attempted_servers.push(server.lease.ticket());
        self.progress.attempted_addresses.extend(address);
        self.progress.last_server = incarnation.as_ref().map(|incarnation| incarnation.id.clone());
        self.progress.attempts += 1;
        let context = AttemptContext {
            max_buffered_bytes: self.max_buffered_bytes,
            wire: Arc::clone(self.wire),
            request_id: self.request_id.clone(),
            reuse_policy,
            deadline: self.deadline,
            is_sent,
        };
        async move {
            let outcome = run_attempt(server.lease, context, request).await;
            FinishedAttempt { server: incarnation, outcome }
        }
    }

    /// Returns the request for one attempt, as the caller sent it.
    pub(crate) fn request_for_attempt(&mut self) -> Request<BackendRequestBody> {
        let mut request = Request::new(self.body.body_for_attempt());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone();
        *request.headers_mut() = self.head.headers.clone();
        set_chunked_framing(&mut request);
        request
    }

    fn refusal_without_response(&self) -> HostedRefusal {
        if self.progress.may_have_run {
            return HostedRefusal::NoUsableResponse;
        }
        match self.progress.last_not_run {
            Some(NotRunReason::Shed) => HostedRefusal::Shed(self.shed_retry_delay()),
            _ => HostedRefusal::NoServer,
        }
    }

    fn refusal_at_deadline(&self) -> HostedRefusal {
        match self.may_run() {
            true => HostedRefusal::DeadlineAfterSend,
            false => HostedRefusal::DeadlineBeforeSend,
        }
    }

    /// Returns the refusal of a request that is in flight when the process exits.
    pub(crate) fn refusal_at_exit(&self) -> HostedRefusal {
        match self.may_run() || self.progress.is_served_elsewhere {
            true => HostedRefusal::ExitAfterSend,
            false => HostedRefusal::ShuttingDown,
        }
    }

    /// Whether a server may have run the request, or may run it now.
    fn may_run(&self) -> bool {
        let is_sent = self.progress.sent_flags.iter().any(|flag| flag.load(Ordering::Acquire));
        is_sent || self.progress.may_have_run
    }

    /// Returns the caller's retry delay for a service whose servers are saturated.
    fn saturated_retry_delay(&self) -> Duration {
        long_retry_delay(self.remaining_time(), &mut rand::rng())
    }

    /// Returns the caller's retry delay after servers that were expected to have free capacity
    /// refused the request.
    fn shed_retry_delay(&self) -> Duration {
        let now = Instant::now();
        let first = self.service.group().first_return(now);
        if let Some(first) = first.filter(|first| first.is_resting) {
            return self.return_delay(first, now);
        }
        short_retry_delay(self.shape, self.remaining_time(), &mut rand::rng())
    }

    fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
