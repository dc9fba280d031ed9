//! Requests of an entry VM that wait for credits.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use model::{AccountQuota, FastMap};

use crate::quota::allowance::OwnAllowance;
use crate::quota::{CreditGrant, CreditRequest, QuotaLimits};

/// Time until a relay that doesn't know an account yet is requested again.
const UNKNOWN_ACCOUNT_PAUSE: Duration = Duration::from_millis(50);

/// Time without a relay in which requests still wait for the next one, as a fraction of the window.
const RELAY_CHANGE_RATIO: f64 = 0.2;

/// Bounds of the time over which refused callers are spread, as fractions of the window.
const MIN_SPREAD_RATIO: f64 = 0.05;
const MAX_SPREAD_RATIO: f64 = 0.4;

/// Who created a credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum CreditSource {
    /// A relay.
    #[display("relay")]
    Relay,
    /// The entry VM itself, which has no relay.
    #[display("own")]
    Own,
}

/// Permission to forward one request of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Credit {
    /// Time after which no further request may use it.
    pub expires_at: Instant,
    /// Who created it.
    pub source: CreditSource,
    /// Credits that were left at the relay.
    pub left: u32,
}

/// Outcome of a request for a credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditDecision {
    /// The request may be forwarded.
    Granted(Credit),
    /// The account is over its quota. Contains the caller's retry delay.
    Refused(Duration),
    /// This VM has no relay. Contains the caller's retry delay.
    NoRelay(Duration),
}

/// Requests of all accounts that wait for credits. `W` identifies a request.
#[derive(Debug)]
pub struct CreditQueue<W> {
    limits: QuotaLimits,
    accounts: FastMap<Box<str>, AccountQueue<W>>,
    /// Accounts with requests for which no credit has been requested.
    pending: Vec<Box<str>>,
    /// Since when this VM has no relay; `None` while it has one.
    lost_relay_at: Option<Instant>,
    /// Number of entry VMs as last known; 0 if it is unknown.
    fleet_size: u32,
    /// Start of the rounds of this VM without a relay, as a fraction of a round.
    phase: f64,
}

/// A request that waits for a credit.
#[derive(Debug)]
struct Waiter<W> {
    id: W,
    until: Instant,
}

#[derive(Debug)]
struct AccountQueue<W> {
    /// Requests for which no credit has been requested.
    waiting: VecDeque<Waiter<W>>,
    requested: Option<RequestedCredits<W>>,
    /// Credits of requests that were refused later.
    returned: Vec<Credit>,
    /// Time until which there is no credit.
    refused_until: Option<Instant>,
    /// Time of the first refusal since a grant.
    refused_since: Option<Instant>,
    /// Time from which credits may be requested again.
    request_from: Option<Instant>,
    allowance: Option<OwnAllowance>,
}

#[derive(Debug)]
struct RequestedCredits<W> {
    at: Instant,
    waiters: Vec<Waiter<W>>,
}

impl<W> CreditQueue<W> {
    /// Creates the queue of an entry VM that has no relay yet. `phase` is a random number from 0 to
    /// 1, which differs between the VMs.
    pub fn new(limits: QuotaLimits, phase: f64, now: Instant) -> Self {
        Self {
            limits,
            accounts: FastMap::default(),
            pending: Vec::new(),
            lost_relay_at: Some(now),
            fleet_size: 0,
            phase,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> QuotaLimits {
        self.limits
    }

    /// Changes how far accounts may exceed their quotas. The window stays.
    pub fn set_limits(&mut self, over: f64, slack: f64) {
        self.limits = QuotaLimits { over, slack, ..self.limits };
    }

    /// Returns the decision on a request if it is known without a relay's response. Otherwise the
    /// request has to wait for it.
    pub fn decide(
        &mut self,
        account: &str,
        quota: AccountQuota,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<CreditDecision> {
        let lost_relay_at = self.lost_relay_at;
        let (limits, fleet_size, phase) = (self.limits, self.fleet_size, self.phase);
        let queue = self.queue(account);
        if let Some(credit) = queue.take_returned(now) {
            return Some(CreditDecision::Granted(credit));
        }
        if let Some(lost_at) = lost_relay_at {
            let allowance =
                queue.allowance.get_or_insert_with(|| OwnAllowance::new(phase, lost_at));
            if fleet_size > 0 && allowance.try_take(&limits, quota, fleet_size, now) {
                let expires_at = now + limits.credit_validity();
                let credit = Credit { expires_at, source: CreditSource::Own, left: 0 };
                return Some(CreditDecision::Granted(credit));
            }
            if now < lost_at + limits.window.mul_f64(RELAY_CHANGE_RATIO) {
                return None;
            }
            return Some(CreditDecision::NoRelay(queue.retry_delay(&limits, now, rng)));
        }
        if queue.refused_until.is_none_or(|until| until <= now) {
            return None;
        }
        Some(CreditDecision::Refused(queue.retry_delay(&limits, now, rng)))
    }

    /// Adds a request that waits for a credit until a time.
    pub fn wait(&mut self, account: &str, id: W, until: Instant) {
        let queue = self.queue(account);
        queue.waiting.push_back(Waiter { id, until });
        if queue.waiting.len() == 1 {
            self.pending.push(account.into());
        }
    }

    /// Returns the credit requests to send to the relay now. For each account one is pending at a
    /// time.
    pub fn next_requests(&mut self, now: Instant) -> Vec<CreditRequest> {
        if self.lost_relay_at.is_some() {
            return Vec::new();
        }
        let mut requests = Vec::new();
        let mut later = Vec::new();
        for name in std::mem::take(&mut self.pending) {
            let Some(queue) = self.accounts.get_mut(&name) else {
                continue;
            };
            queue.waiting.retain(|waiter| now < waiter.until);
            if queue.waiting.is_empty() || queue.requested.is_some() {
                continue;
            }
            if queue.request_from.is_some_and(|from| now < from) {
                later.push(name);
                continue;
            }
            let waiters: Vec<Waiter<W>> = queue.waiting.drain(..).collect();
            requests.push(CreditRequest { account: name, count: waiters.len() as u32 });
            queue.requested = Some(RequestedCredits { at: now, waiters });
        }
        self.pending.extend(later);
        requests
    }

    /// Returns the time at which `next_requests` may return more without a further event.
    pub fn next_request_at(&self) -> Option<Instant> {
        if self.lost_relay_at.is_some() {
            return None;
        }
        let queues = self.pending.iter().filter_map(|name| self.accounts.get(name));
        queues.filter_map(|queue| queue.request_from).min()
    }

    /// Applies the relay's responses. Returns the requests that are decided by them.
    pub fn apply_grants(
        &mut self,
        grants: &[CreditGrant],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<(W, CreditDecision)> {
        let mut decided = Vec::new();
        let limits = self.limits;
        for grant in grants {
            if let Some(queue) = self.accounts.get_mut(&grant.account) {
                queue.apply_grant(grant, &limits, now, rng, &mut decided);
                if !queue.waiting.is_empty() {
                    self.pending.push(grant.account.clone());
                }
            }
        }
        decided
    }

    /// Returns the credit of a request that has certainly not run. The next request of the account
    /// uses it if it comes in time.
    pub fn give_back(&mut self, account: &str, credit: Credit, now: Instant) {
        if now < credit.expires_at {
            self.queue(account).returned.push(credit);
        }
    }

    /// Records that this VM has a relay. What it requested from the one before is requested again,
    /// unless it has waited too long.
    pub fn connect(&mut self) {
        self.withdraw_requests();
        self.lost_relay_at = None;
        self.pending.clear();
        for (name, queue) in &mut self.accounts {
            queue.allowance = None;
            queue.refused_until = None;
            queue.request_from = None;
            if !queue.waiting.is_empty() {
                self.pending.push(name.clone());
            }
        }
    }

    /// Records that this VM has no relay. What it requested is requested from the next one, unless
    /// it has waited too long.
    pub fn disconnect(&mut self, now: Instant) {
        self.lost_relay_at.get_or_insert(now);
        self.withdraw_requests();
    }

    /// Lets requests wait again whose credits were requested from a relay that won't respond.
    fn withdraw_requests(&mut self) {
        for queue in self.accounts.values_mut() {
            for waiter in queue.requested.take().into_iter().flat_map(|requested| requested.waiters)
            {
                queue.waiting.push_front(waiter);
            }
        }
    }

    /// Records the number of entry VMs.
    pub fn set_fleet_size(&mut self, fleet_size: u32) {
        self.fleet_size = fleet_size;
    }

    fn queue(&mut self, account: &str) -> &mut AccountQueue<W> {
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account.into(), AccountQueue::default());
        }
        self.accounts.get_mut(account).expect("it was added")
    }
}

impl<W> Default for AccountQueue<W> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            requested: None,
            returned: Vec::new(),
            refused_until: None,
            refused_since: None,
            request_from: None,
            allowance: None,
        }
    }
}

impl<W> AccountQueue<W> {
    fn take_returned(&mut self, now: Instant) -> Option<Credit> {
        self.returned.retain(|credit| now < credit.expires_at);
        self.returned.pop()
    }

    fn apply_grant(
        &mut self,
        grant: &CreditGrant,
        limits: &QuotaLimits,
        now: Instant,
        rng: &mut impl Rng,
        decided: &mut Vec<(W, CreditDecision)>,
    ) {
        let Some(requested) = self.requested.take() else {
            return;
        };
        let requested_count = requested.waiters.len() as u32;
        let expires_at = requested.at + limits.credit_validity();
        let is_in_time = now < expires_at;
        let mut credits = if is_in_time { grant.count.min(requested_count) } else { 0 };
        let is_live = |waiter: &Waiter<W>| now < waiter.until;
        let mut live: VecDeque<Waiter<W>> = requested.waiters.into_iter().filter(is_live).collect();
        // Requests that arrived meanwhile use the credits of those that waited too long.
        live.extend(self.waiting.drain(..).filter(is_live));
        let credit = Credit { expires_at, source: CreditSource::Relay, left: grant.left };
        while credits > 0 {
            credits -= 1;
            match live.pop_front() {
                Some(waiter) => decided.push((waiter.id, CreditDecision::Granted(credit))),
                None => self.returned.push(credit),
            }
        }
        if grant.count >= requested_count {
            self.refused_since = None;
            self.waiting = live;
        } else if grant.retry_after_ms == 0 {
            self.request_from = Some(now + UNKNOWN_ACCOUNT_PAUSE);
            self.waiting = live;
        } else {
            let retry_after = Duration::from_millis(u64::from(grant.retry_after_ms));
            self.refused_until = Some(now + retry_after);
            for waiter in live {
                let delay = self.retry_delay(limits, now, rng);
                decided.push((waiter.id, CreditDecision::Refused(delay)));
            }
        }
    }

    /// Returns the time until there will be credit and a random time, which differs between callers.
    fn retry_delay(&mut self, limits: &QuotaLimits, now: Instant, rng: &mut impl Rng) -> Duration {
        let refused_since = *self.refused_since.get_or_insert(now);
        let min_spread = limits.window.mul_f64(MIN_SPREAD_RATIO);
        let max_spread = limits.window.mul_f64(MAX_SPREAD_RATIO);
        let refused_for = now.saturating_duration_since(refused_since);
        let spread = refused_for.clamp(min_spread, max_spread);
        let until_credit =
            self.refused_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        until_credit + spread.mul_f64(rng.random_range(0.0..1.0))
    }
}
