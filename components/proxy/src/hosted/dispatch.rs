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
    AttemptEnd, AttemptPlan, NotRunReason, ServerReply, UnknownReason, run_attempt,
};
use crate::hosted::placing::{ChosenPlace, PlacingParts, choose_place};
use crate::hosted::refusal::HostedRefusal;
use crate::hosted::service::HostedService;
use crate::pool::ConnectionTrust;
use crate::request_body::RequestBody;

/// How long after its end of time a request may still get its server's answer. Servers answer at
/// the end of the time that they were given.
const ANSWER_MARGIN: Duration = Duration::from_millis(80);

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
    pub(crate) expected: Duration,
    /// Servers that it was sent to, or that could not be reached.
    pub(crate) tried: Vec<ServerTicket>,
    /// The server that it was sent to last.
    pub(crate) last_server: Option<ServerId>,
    /// Sends that reached a server.
    pub(crate) sends: u32,
    /// Whether a send may have begun to run it and has no answer.
    pub(crate) may_have_run: bool,
    pub(crate) last_not_run: Option<NotRunReason>,
    pub(crate) last_unknown: Option<UnknownReason>,
}

type AttemptFlags = Vec<Arc<AtomicBool>>;

impl HostedDispatch<'_> {
    /// Sends the request until there is an answer to pass on or none can be had.
    pub(crate) async fn run(&mut self) -> Result<ServerReply, HostedRefusal> {
        let mut flags: AttemptFlags = Vec::new();
        let end = timeout_at(self.deadline + ANSWER_MARGIN, self.run_tries(&mut flags)).await;
        match end {
            Ok(end) => end.map_err(|refusal| self.with_earlier_sends(refusal)),
            Err(_) => {
                let is_sent = flags.iter().any(|flag| flag.load(Ordering::Acquire));
                Err(self.refusal_at_end(is_sent))
            }
        }
    }

    /// A refusal never says that the request has not run when an earlier send may have run it.
    fn with_earlier_sends(&self, refusal: HostedRefusal) -> HostedRefusal {
        match self.progress.may_have_run && refusal.is_not_run() {
            true => HostedRefusal::BrokenOff,
            false => refusal,
        }
    }

    async fn run_tries(&mut self, flags: &mut AttemptFlags) -> Result<ServerReply, HostedRefusal> {
        let mut tries = FuturesUnordered::new();
        let place = self.place().await?;
        let mut hedge_at = self.hedge_at(&place);
        tries.push(self.start(place, ConnectionTrust::Any, flags));
        let mut may_hedge = self.route.repeat == RepeatRule::Idempotent && self.body.can_send();
        let mut failed: Option<ServerReply> = None;
        // A send that ended while a place for another one was looked for.
        let mut ended: Option<Option<AttemptEnd>> = None;
        loop {
            let end = match ended.take() {
                Some(end) => end,
                None => tokio::select! {
                    end = tries.next() => end,
                    () = sleep_until(hedge_at), if may_hedge && tries.len() == 1 => {
                        if !self.may_send_again() {
                            // The budget may allow it a little later.
                            hedge_at = Instant::now() + HEDGE_PAUSE;
                            continue;
                        }
                        may_hedge = false;
                        let place = tokio::select! {
                            biased;
                            end = tries.next() => {
                                ended = Some(end);
                                None
                            }
                            place = self.place_again() => place,
                        };
                        if let Some(place) = place {
                            tries.push(self.start(place, ConnectionTrust::New, flags));
                        }
                        continue;
                    }
                },
            };
            let Some(end) = end else {
                return failed.ok_or_else(|| self.refusal_without_answer());
            };
            match self.take_in(end, &mut failed) {
                Some(reply) => return Ok(reply),
                None if !tries.is_empty() => continue,
                None if self.may_send_after_failure() => {}
                None => return failed.ok_or_else(|| self.refusal_without_answer()),
            }
            let place = match failed.is_some() {
                true => self.place_again().await,
                false => Some(self.place().await?),
            };
            match place {
                Some(place) => {
                    let trust = self.trust_after_failure();
                    tries.push(self.start(place, trust, flags));
                }
                None => return failed.ok_or_else(|| self.refusal_without_answer()),
            }
        }
    }

    /// Notes how a send ended; gives back the answer that ends the request.
    fn take_in(
        &mut self,
        end: AttemptEnd,
        failed: &mut Option<ServerReply>,
    ) -> Option<ServerReply> {
        match end {
            AttemptEnd::Answered(reply) => {
                let is_failure = reply.response.status().is_server_error();
                if is_failure && self.route.repeat == RepeatRule::Idempotent {
                    self.progress.may_have_run = true;
                    *failed = Some(reply);
                    return None;
                }
                Some(reply)
            }
            AttemptEnd::NotRun(reason) => {
                if reason == NotRunReason::Unreachable {
                    self.progress.sends -= 1;
                }
                self.progress.last_not_run = Some(reason);
                None
            }
            AttemptEnd::Unknown(reason) => {
                self.progress.may_have_run = true;
                self.progress.last_unknown = Some(reason);
                None
            }
        }
    }

    fn may_send_after_failure(&mut self) -> bool {
        let is_safe = self.route.repeat == RepeatRule::Idempotent || !self.progress.may_have_run;
        is_safe && self.may_send_again()
    }

    /// After a connection that broke, the next send opens its own: servers that forgot one idle
    /// connection forgot others too.
    fn trust_after_failure(&self) -> ConnectionTrust {
        match self.progress.last_unknown {
            Some(_) => ConnectionTrust::New,
            None => ConnectionTrust::Any,
        }
    }

    /// Whether one more send is allowed; takes its place in the budget.
    fn may_send_again(&mut self) -> bool {
        let now = Instant::now();
        if !self.body.can_send()
            || self.progress.sends >= self.route.max_attempts
            || now + self.shape.work > self.deadline
        {
            return false;
        }
        // What reached no server is no further arrival.
        self.progress.sends == 0 || self.service.budget().take_extra(now)
    }

    /// Chooses a server. While none can end the request by its target, it waits here.
    async fn place(&mut self) -> Result<ChosenPlace, HostedRefusal> {
        let service = self.service;
        let mut held = None;
        loop {
            let Some(place) = self.choose().await else {
                return Err(HostedRefusal::NoServer);
            };
            self.progress.expected = place.estimate.expected();
            let times = RequestTimes { target_at: self.target_at, deadline: self.deadline };
            let is_crowded = self.service.group().is_crowded();
            match admit(&place.estimate, self.shape, times, is_crowded, Instant::now()) {
                AdmissionStep::Send => return Ok(place),
                AdmissionStep::Refuse => return Err(HostedRefusal::Busy(self.come_back())),
                AdmissionStep::Hold => {}
            }
            drop(place);
            let held = held.get_or_insert_with(|| service.hold());
            sleep(jittered(hold_step(held.count(), self.shape))).await;
        }
    }

    async fn place_again(&mut self) -> Option<ChosenPlace> {
        self.place().await.ok()
    }

    async fn choose(&mut self) -> Option<ChosenPlace> {
        let parts = PlacingParts {
            service: self.service,
            wire: self.wire,
            metrics: self.metrics,
            health_path: self.health_path,
        };
        choose_place(&parts, self.shape, &self.progress.tried).await
    }

    fn hedge_at(&self, place: &ChosenPlace) -> Instant {
        Instant::now() + hedge_after(&place.estimate, self.route.target)
    }

    /// Begins a send.
    fn start(
        &mut self,
        place: ChosenPlace,
        trust: ConnectionTrust,
        flags: &mut AttemptFlags,
    ) -> impl Future<Output = AttemptEnd> + use<> {
        let trust = match self.route.repeat {
            RepeatRule::Idempotent => trust,
            RepeatRule::Once => ConnectionTrust::Quiet,
        };
        let mut request = Request::new(self.body.body_for_attempt());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone();
        *request.headers_mut() = self.head.headers.clone();
        let is_sent = Arc::new(AtomicBool::new(false));
        flags.push(Arc::clone(&is_sent));
        self.progress.tried.push(place.lease.ticket);
        self.progress.last_server = place.lease.server();
        self.progress.sends += 1;
        let plan = AttemptPlan {
            wire: Arc::clone(self.wire),
            request_id: self.request_id.clone(),
            trust,
            deadline: self.deadline,
            is_sent,
        };
        run_attempt(place.lease, plan, request)
    }

    fn refusal_without_answer(&self) -> HostedRefusal {
        if self.progress.may_have_run {
            return HostedRefusal::BrokenOff;
        }
        match self.progress.last_not_run {
            Some(NotRunReason::Shed) => HostedRefusal::Shed(self.come_back_soon()),
            _ => HostedRefusal::NoServer,
        }
    }

    fn refusal_at_end(&self, is_sent: bool) -> HostedRefusal {
        if is_sent || self.progress.may_have_run {
            return HostedRefusal::LateSent;
        }
        HostedRefusal::LateUnsent
    }

    /// When the caller may come back to a busy service.
    fn come_back(&self) -> Duration {
        come_back_late(self.time_left(), &mut rand::rng())
    }

    /// When the caller may come back after servers that had room refused the request.
    fn come_back_soon(&self) -> Duration {
        come_back_soon(self.shape, self.time_left(), &mut rand::rng())
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
