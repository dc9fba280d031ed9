//! Decides how often and when a request is sent.
//!
//! A request that may run once is sent again only if it certainly did not run. One that may run
//! more than once is also sent again when a server broke off or failed, and a second time when the
//! first server takes too long. Every further send needs a place in the service's budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Request;
use hyper::header::HeaderValue;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use balance::{
    AdmissionStep, HEDGE_PAUSE, RequestShape, RequestTimes, ServerTicket, admit, come_back_late,
    come_back_soon, hedge_after, hold_step,
};
use model::{RevisionNumber, ServerId, jittered};
use observe::HostedMetrics;
use routes::{HostedRoute, RepeatRule, ServiceName, WireInterface};

use crate::dispatch::RequestHead;
use crate::hosted::attempt::{
    AttemptContext, AttemptOutcome, NotRunReason, ServerResponse, UnknownReason, run_attempt,
};
use crate::hosted::refusal::HostedRefusal;
use crate::hosted::selection::{SelectedServer, SelectionContext, select_server};
use crate::hosted::service::HostedService;
use crate::pool::ConnectionTrust;
use crate::request_body::RequestBody;

/// How long after its end of time a request may still get its server's answer. Servers answer at
/// the end of the time that they were given.
const RESPONSE_GRACE: Duration = Duration::from_millis(80);

/// A request on its way.
pub(crate) struct HostedDispatch<'a> {
    pub(crate) wire: &'a Arc<WireInterface>,
    pub(crate) metrics: &'a HostedMetrics,
    pub(crate) route: &'a HostedRoute,
    pub(crate) service: &'a Arc<HostedService>,
    pub(crate) health_path: Option<&'a str>,
    pub(crate) request_id: HeaderValue,
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) shape: RequestShape,
    /// When the route's time or the caller's is over.
    pub(crate) deadline: Instant,
    /// When the caller would like to have its answer.
    pub(crate) target_at: Instant,
    pub(crate) progress: DispatchProgress,
}

/// What has happened to a request, for decisions and for its log line.
#[derive(Default)]
pub(crate) struct DispatchProgress {
    /// The service that it was meant for.
    pub(crate) service: Option<ServiceName>,
    /// Version of the configuration by which it was routed.
    pub(crate) config: Option<RevisionNumber>,
    /// Expected wait and run at the server looked at last.
    pub(crate) expected_time: Duration,
    /// Servers that it was sent to, or that could not be reached.
    pub(crate) attempted_servers: Vec<ServerTicket>,
    /// The server that it was sent to last.
    pub(crate) last_server: Option<ServerId>,
    /// Sends that reached a server.
    pub(crate) attempts: u32,
    /// Whether a send may have begun to run it and has no answer.
    pub(crate) may_have_run: bool,
    pub(crate) last_not_run: Option<NotRunReason>,
    pub(crate) last_unknown: Option<UnknownReason>,
}

type SentFlags = Vec<Arc<AtomicBool>>;

impl HostedDispatch<'_> {
    /// Sends the request until there is an answer to pass on or none can be had.
    pub(crate) async fn run(&mut self) -> Result<ServerResponse, HostedRefusal> {
        let mut sent_flags: SentFlags = Vec::new();
        let result =
            timeout_at(self.deadline + RESPONSE_GRACE, self.run_attempts(&mut sent_flags)).await;
        match result {
            Ok(result) => result.map_err(|refusal| self.account_for_earlier_attempts(refusal)),
            Err(_) => {
                let is_sent = sent_flags.iter().any(|flag| flag.load(Ordering::Acquire));
                Err(self.refusal_at_deadline(is_sent))
            }
        }
    }

    /// A refusal never says that the request has not run when an earlier send may have run it.
    fn account_for_earlier_attempts(&self, refusal: HostedRefusal) -> HostedRefusal {
        match self.progress.may_have_run && refusal.is_not_run() {
            true => HostedRefusal::ConnectionBroken,
            false => refusal,
        }
    }

    async fn run_attempts(
        &mut self,
        sent_flags: &mut SentFlags,
    ) -> Result<ServerResponse, HostedRefusal> {
        let mut attempts = FuturesUnordered::new();
        let server = self.acquire_server().await?;
        let mut hedge_at = self.hedge_at(&server);
        attempts.push(self.start_attempt(server, ConnectionTrust::Any, sent_flags));
        let mut may_hedge = self.route.repeat == RepeatRule::Idempotent && self.body.can_send();
        let mut error_response: Option<ServerResponse> = None;
        // A send that ended while a place for another one was looked for.
        let mut early_outcome: Option<Option<AttemptOutcome>> = None;
        loop {
            let outcome = match early_outcome.take() {
                Some(outcome) => outcome,
                None => tokio::select! {
                    outcome = attempts.next() => outcome,
                    () = sleep_until(hedge_at), if may_hedge && attempts.len() == 1 => {
                        if !self.reserve_attempt() {
                            // The budget may allow it a little later.
                            hedge_at = Instant::now() + HEDGE_PAUSE;
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
                        if let Some(server) = server {
                            let trust = ConnectionTrust::New;
                            attempts.push(self.start_attempt(server, trust, sent_flags));
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
                None if self.reserve_retry() => {}
                None => return error_response.ok_or_else(|| self.refusal_without_response()),
            }
            let server = match error_response.is_some() {
                true => self.acquire_another_server().await,
                false => Some(self.acquire_server().await?),
            };
            match server {
                Some(server) => {
                    let trust = self.retry_trust();
                    attempts.push(self.start_attempt(server, trust, sent_flags));
                }
                None => return error_response.ok_or_else(|| self.refusal_without_response()),
            }
        }
    }

    /// Notes how a send ended; gives back the answer that ends the request.
    fn record_outcome(
        &mut self,
        outcome: AttemptOutcome,
        error_response: &mut Option<ServerResponse>,
    ) -> Option<ServerResponse> {
        match outcome {
            AttemptOutcome::Answered(response) => {
                let is_failure = response.http.status().is_server_error();
                if is_failure && self.route.repeat == RepeatRule::Idempotent {
                    self.progress.may_have_run = true;
                    *error_response = Some(response);
                    return None;
                }
                Some(response)
            }
            AttemptOutcome::NotRun(reason) => {
                if reason == NotRunReason::Unreachable {
                    self.progress.attempts -= 1;
                }
                self.progress.last_not_run = Some(reason);
                None
            }
            AttemptOutcome::Unknown(reason) => {
                self.progress.may_have_run = true;
                self.progress.last_unknown = Some(reason);
                None
            }
        }
    }

    fn reserve_retry(&mut self) -> bool {
        let is_safe = self.route.repeat == RepeatRule::Idempotent || !self.progress.may_have_run;
        is_safe && self.reserve_attempt()
    }

    /// After a connection that broke, the next send opens its own: servers that forgot one idle
    /// connection forgot others too.
    fn retry_trust(&self) -> ConnectionTrust {
        match self.progress.last_unknown {
            Some(_) => ConnectionTrust::New,
            None => ConnectionTrust::Any,
        }
    }

    /// Whether one more send is allowed; takes its place in the budget.
    fn reserve_attempt(&mut self) -> bool {
        let now = Instant::now();
        if !self.body.can_send()
            || self.progress.attempts >= self.route.max_attempts
            || now + self.shape.work > self.deadline
        {
            return false;
        }
        // What reached no server is no further arrival.
        self.progress.attempts == 0 || self.service.budget().take_extra(now)
    }

    /// Chooses a server. While none can end the request by its target, it waits here.
    async fn acquire_server(&mut self) -> Result<SelectedServer, HostedRefusal> {
        let service = self.service;
        let mut queued = None;
        loop {
            let Some(server) = self.select_server().await else {
                return Err(HostedRefusal::NoServer);
            };
            self.progress.expected_time = server.estimate.expected();
            let times = RequestTimes { target_at: self.target_at, deadline: self.deadline };
            let is_saturated = self.service.group().is_crowded();
            match admit(&server.estimate, self.shape, times, is_saturated, Instant::now()) {
                AdmissionStep::Send => return Ok(server),
                AdmissionStep::Refuse => {
                    return Err(HostedRefusal::Saturated(self.saturated_retry_delay()));
                }
                AdmissionStep::Hold => {}
            }
            drop(server);
            let queued = queued.get_or_insert_with(|| service.queue_request());
            sleep(jittered(hold_step(queued.count(), self.shape))).await;
        }
    }

    async fn acquire_another_server(&mut self) -> Option<SelectedServer> {
        self.acquire_server().await.ok()
    }

    async fn select_server(&mut self) -> Option<SelectedServer> {
        let context = SelectionContext {
            service: self.service,
            wire: self.wire,
            metrics: self.metrics,
            health_path: self.health_path,
        };
        select_server(&context, self.shape, &self.progress.attempted_servers).await
    }

    fn hedge_at(&self, server: &SelectedServer) -> Instant {
        Instant::now() + hedge_after(&server.estimate, self.route.target)
    }

    /// Begins a send.
    fn start_attempt(
        &mut self,
        server: SelectedServer,
        trust: ConnectionTrust,
        sent_flags: &mut SentFlags,
    ) -> impl Future<Output = AttemptOutcome> + use<> {
        let trust = match self.route.repeat {
            RepeatRule::Idempotent => trust,
            RepeatRule::Once => ConnectionTrust::Quiet,
        };
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone();
        *request.headers_mut() = self.head.headers.clone();
        let is_sent = Arc::new(AtomicBool::new(false));
        sent_flags.push(Arc::clone(&is_sent));
        self.progress.attempted_servers.push(server.lease.ticket);
        self.progress.last_server = server.lease.server_id();
        self.progress.attempts += 1;
        let context = AttemptContext {
            wire: Arc::clone(self.wire),
            request_id: self.request_id.clone(),
            trust,
            deadline: self.deadline,
            is_sent,
        };
        run_attempt(server.lease, context, request)
    }

    fn refusal_without_response(&self) -> HostedRefusal {
        if self.progress.may_have_run {
            return HostedRefusal::ConnectionBroken;
        }
        match self.progress.last_not_run {
            Some(NotRunReason::Shed) => HostedRefusal::Shed(self.shed_retry_delay()),
            _ => HostedRefusal::NoServer,
        }
    }

    fn refusal_at_deadline(&self, is_sent: bool) -> HostedRefusal {
        if is_sent || self.progress.may_have_run {
            return HostedRefusal::DeadlineAfterSend;
        }
        HostedRefusal::DeadlineBeforeSend
    }

    /// When the caller may come back to a busy service.
    fn saturated_retry_delay(&self) -> Duration {
        come_back_late(self.remaining_time(), &mut rand::rng())
    }

    /// When the caller may come back after servers that had room refused the request.
    fn shed_retry_delay(&self) -> Duration {
        come_back_soon(self.shape, self.remaining_time(), &mut rand::rng())
    }

    fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
