//! Credits of a relay.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use model::{AccountQuota, FastMap};

use crate::bucket::TokenBucket;
use crate::quota::{CreditGrant, CreditRequest, QuotaLimits, SLACK_RATIO};
use crate::relays::RelayCount;

/// Longest time until there will be credit that a grant names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A connection of a relay: from a subscriber, or from or to another relay. Unique over the time of
/// the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartyId(pub u64);

/// Messages to one connection.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CreditMessages {
    /// Requests for loans.
    pub requests: Vec<CreditRequest>,
    /// Responses to its requests.
    pub grants: Vec<CreditGrant>,
}

/// A relay's part of the quotas of all accounts.
#[derive(Debug)]
pub struct CreditLedger {
    limits: QuotaLimits,
    relays: RelayCount,
    /// Number of parts by which the buckets have their sizes.
    parts: usize,
    /// Time from which credits are created: until then, another relay, in whose place this one is,
    /// may still create them.
    credits_from: Instant,
    /// Time from which a new account has its whole burst: before, a previous start of this relay
    /// may have granted it.
    full_from: Instant,
    accounts: FastMap<Box<str>, AccountCredits>,
    /// Connections to other relays.
    lenders: Vec<PartyId>,
    messages: FastMap<PartyId, CreditMessages>,
}

/// Credits of one account.
#[derive(Debug)]
struct AccountCredits {
    /// `None` if the account has no limit.
    quota: Option<AccountQuota>,
    bucket: TokenBucket,
    /// Requests that wait for loans. Invariant: empty unless a loan is pending.
    claims: VecDeque<Claim>,
    lenders: FastMap<PartyId, LenderState>,
}

/// A credit request that waits for loans.
#[derive(Debug)]
struct Claim {
    party: PartyId,
    granted: u32,
    /// Credits that it lacks. Invariant: not 0.
    missing: u32,
}

/// What is known about the credits of an account at another relay.
#[derive(Debug, Default)]
struct LenderState {
    /// Time until which it has none.
    empty_until: Option<Instant>,
    /// When the pending loan was requested.
    requested_at: Option<Instant>,
}

impl CreditLedger {
    /// Creates the ledger of a relay that starts now. Unless this is the first start of the fleet,
    /// all buckets are empty at first.
    pub fn new(limits: QuotaLimits, is_first_start: bool, now: Instant) -> Self {
        let full_from = if is_first_start { now } else { now + limits.window };
        let mut relays = RelayCount::new(limits.relays);
        Self {
            limits,
            parts: relays.parts(now),
            relays,
            credits_from: now,
            full_from,
            accounts: FastMap::default(),
            lenders: Vec::new(),
            messages: FastMap::default(),
        }
    }

    /// Adds an earlier number of relays, by which a relay may use its part until `until`.
    pub fn add_earlier_relays(&mut self, relays: usize, until: Instant, now: Instant) {
        self.relays.add_earlier(relays, until);
        self.update_parts(now);
    }

    /// Changes the time until which a relay may use its part by an earlier number of relays.
    pub fn set_change_end(&mut self, change_end: Instant, now: Instant) {
        self.relays.set_end(change_end);
        self.update_parts(now);
    }

    /// Sets the time until which another relay, in whose place this one is, may create credits. This
    /// one, which has created none yet, creates none until then.
    pub fn set_start(&mut self, handover_end: Instant, now: Instant) {
        self.credits_from = handover_end;
        self.full_from = handover_end.max(now) + self.limits.window;
        for account in self.accounts.values_mut() {
            account.bucket.start_at(handover_end, now);
        }
    }

    /// Changes the number of relays among which each quota is divided. A relay may use its part by
    /// the previous number until `until`.
    pub fn change_relays(&mut self, relays: usize, until: Instant, now: Instant) {
        self.relays.change(relays, until);
        self.update_parts(now);
    }

    /// Changes how far accounts may exceed their quotas. The window stays.
    pub fn change_limits(&mut self, over: f64, slack: f64, now: Instant) {
        self.limits = QuotaLimits { over, slack, ..self.limits };
        self.resize_buckets(now);
    }

    /// Applies the end of an earlier number of relays.
    fn update_parts(&mut self, now: Instant) {
        let parts = self.relays.parts(now);
        if parts != self.parts {
            self.parts = parts;
            self.resize_buckets(now);
        }
    }

    fn resize_buckets(&mut self, now: Instant) {
        for account in self.accounts.values_mut().filter(|account| account.quota.is_some()) {
            let (rate, capacity) = bucket_size(account.quota, &self.limits, self.parts);
            account.bucket.set_rate(rate, capacity, now);
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> QuotaLimits {
        self.limits
    }

    /// Applies a configuration, which names all accounts. What an account without a quota has is
    /// not limited.
    pub fn update<'a>(
        &mut self,
        accounts: impl IntoIterator<Item = (&'a str, Option<AccountQuota>)>,
        now: Instant,
    ) {
        let mut listed: FastMap<Box<str>, Option<AccountQuota>> = FastMap::default();
        listed.extend(accounts.into_iter().map(|(name, quota)| (name.into(), quota)));
        // The bucket of a removed account stays until it is full: if the account is added again,
        // that creates no credit.
        self.accounts.retain(|name, account| {
            listed.contains_key(name) || !account.claims.is_empty() || !account.bucket.is_full(now)
        });
        self.update_parts(now);
        let start = self.credits_from.max(now);
        for (name, quota) in listed {
            let size = bucket_size(quota, &self.limits, self.parts);
            match self.accounts.get_mut(&name) {
                Some(account) => account.set_quota(quota, size, start, now),
                None => {
                    let is_full = now >= self.full_from;
                    let account = AccountCredits::new(quota, size, is_full, start);
                    self.accounts.insert(name, account);
                }
            }
        }
    }

    /// Adds a connection to another relay, which lends and borrows credits.
    pub fn add_lender(&mut self, lender: PartyId) {
        self.lenders.push(lender);
    }

    /// Removes a connection. Its pending requests end, and loans pending there are lost.
    pub fn remove_party(&mut self, party: PartyId, now: Instant) {
        self.lenders.retain(|lender| *lender != party);
        self.messages.remove(&party);
        for (name, account) in &mut self.accounts {
            account.claims.retain(|claim| claim.party != party);
            if account.lenders.remove(&party).is_some() {
                account.advance(name, &self.lenders, &self.limits, &mut self.messages, now);
            }
        }
    }

    /// Handles the credit requests of an entry VM. The response may need loans first.
    pub fn request(&mut self, party: PartyId, requests: &[CreditRequest], now: Instant) {
        for request in requests {
            match self.accounts.get_mut(&request.account) {
                Some(account) => {
                    let claim = Claim { party, granted: 0, missing: request.count };
                    account.claims.push_back(claim);
                    let (lenders, limits) = (&self.lenders, &self.limits);
                    account.advance(&request.account, lenders, limits, &mut self.messages, now);
                }
                None => push_grant(&mut self.messages, party, unknown_account(request)),
            }
        }
    }

    /// Handles the credit requests of another relay, to which this one lends what it has.
    pub fn lend(&mut self, party: PartyId, requests: &[CreditRequest], now: Instant) {
        for request in requests {
            let grant = match self.accounts.get_mut(&request.account) {
                Some(account) => account.lend(request, now),
                None => unknown_account(request),
            };
            push_grant(&mut self.messages, party, grant);
        }
    }

    /// Applies loans from another relay.
    pub fn apply_loans(&mut self, lender: PartyId, grants: &[CreditGrant], now: Instant) {
        for grant in grants {
            if let Some(account) = self.accounts.get_mut(&grant.account) {
                account.apply_loan(lender, grant, &self.limits, now);
                let (lenders, limits) = (&self.lenders, &self.limits);
                account.advance(&grant.account, lenders, limits, &mut self.messages, now);
            }
        }
    }

    /// Continues without loans that don't arrive in time, and without earlier numbers of relays.
    pub fn expire_loans(&mut self, now: Instant) {
        self.update_parts(now);
        for (name, account) in &mut self.accounts {
            if !account.claims.is_empty() {
                account.advance(name, &self.lenders, &self.limits, &mut self.messages, now);
            }
        }
    }

    /// Returns the messages to send, and forgets them.
    pub fn take_messages(&mut self) -> FastMap<PartyId, CreditMessages> {
        std::mem::take(&mut self.messages)
    }

    /// Number of accounts with a bucket.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account has a bucket.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

impl AccountCredits {
    /// Creates the credits of an account with a bucket of a rate and a capacity, which are created
    /// from `start` on.
    fn new(
        quota: Option<AccountQuota>,
        (rate, capacity): (f64, f64),
        is_full: bool,
        start: Instant,
    ) -> Self {
        let bucket = match is_full {
            true => TokenBucket::new(rate, capacity, start),
            false => TokenBucket::empty(rate, capacity, start),
        };
        Self { quota, bucket, claims: VecDeque::new(), lenders: FastMap::default() }
    }

    fn set_quota(
        &mut self,
        quota: Option<AccountQuota>,
        size: (f64, f64),
        start: Instant,
        now: Instant,
    ) {
        if self.quota == quota {
            return;
        }
        if self.quota.is_none() {
            // What was forwarded without a limit counts in the window of the new one.
            *self = Self {
                claims: std::mem::take(&mut self.claims),
                ..Self::new(quota, size, false, start)
            };
            return;
        }
        self.quota = quota;
        if quota.is_some() {
            self.bucket.set_rate(size.0, size.1, now);
        }
    }

    fn take(&mut self, count: u32, now: Instant) -> u32 {
        match self.quota {
            Some(_) => self.bucket.take_up_to(count, now),
            None => count,
        }
    }

    fn lend(&mut self, request: &CreditRequest, now: Instant) -> CreditGrant {
        let count = self.take(request.count, now);
        let wait = self.bucket.wait(now);
        self.grant(&request.account, count, request.count - count, wait, now)
    }

    /// Records a loan. What arrives too late is discarded, so that little is on its way at any time.
    fn apply_loan(
        &mut self,
        lender: PartyId,
        grant: &CreditGrant,
        limits: &QuotaLimits,
        now: Instant,
    ) {
        let Some(state) = self.lenders.get_mut(&lender) else {
            return;
        };
        let Some(requested_at) = state.requested_at.take() else {
            return;
        };
        let retry_after = Duration::from_millis(u64::from(grant.retry_after_ms));
        let missing: u32 = self.claims.iter().map(|claim| claim.missing).sum();
        if grant.count < missing {
            state.empty_until = Some(now + retry_after.max(limits.loan_validity() / 8));
        }
        if now <= requested_at + limits.loan_validity() {
            self.serve_claims(grant.count, now);
        }
    }

    /// Gives loaned credits to the claims in order, and the rest to the bucket.
    fn serve_claims(&mut self, mut credits: u32, now: Instant) {
        for claim in &mut self.claims {
            let part = claim.missing.min(credits);
            claim.granted += part;
            claim.missing -= part;
            credits -= part;
        }
        self.bucket.put(credits, now);
    }

    /// Responds to claims that have all their credits, requests a loan for the others, or responds
    /// to them too if no relay can lend any.
    fn advance(
        &mut self,
        name: &str,
        lenders: &[PartyId],
        limits: &QuotaLimits,
        messages: &mut FastMap<PartyId, CreditMessages>,
        now: Instant,
    ) {
        for index in 0..self.claims.len() {
            let taken = self.take(self.claims[index].missing, now);
            let claim = &mut self.claims[index];
            claim.granted += taken;
            claim.missing -= taken;
        }
        while self.claims.front().is_some_and(|claim| claim.missing == 0) {
            self.respond_to_first(name, Duration::ZERO, messages, now);
        }
        if self.claims.is_empty() || self.has_pending_loan(limits, now) {
            return;
        }
        if let Some(lender) = self.choose_lender(lenders, now) {
            let count = self.claims.iter().map(|claim| claim.missing).sum();
            self.lenders.entry(lender).or_default().requested_at = Some(now);
            let request = CreditRequest { account: name.into(), count };
            messages.entry(lender).or_default().requests.push(request);
            return;
        }
        let wait = self.wait(lenders, now);
        while !self.claims.is_empty() {
            self.respond_to_first(name, wait, messages, now);
        }
    }

    fn has_pending_loan(&self, limits: &QuotaLimits, now: Instant) -> bool {
        let is_pending = |state: &LenderState| {
            state.requested_at.is_some_and(|at| now <= at + limits.loan_validity())
        };
        self.lenders.values().any(is_pending)
    }

    /// Returns the relay that may have credits and was empty the longest time ago.
    fn choose_lender(&self, lenders: &[PartyId], now: Instant) -> Option<PartyId> {
        let state = |lender: &PartyId| self.lenders.get(lender);
        let may_lend = |lender: &&PartyId| {
            state(lender).is_none_or(|state| {
                state.requested_at.is_none() && state.empty_until.is_none_or(|until| until <= now)
            })
        };
        let candidates = lenders.iter().filter(may_lend);
        candidates.min_by_key(|lender| state(lender).and_then(|state| state.empty_until)).copied()
    }

    /// Returns the time until this relay or another one will have a credit.
    fn wait(&mut self, lenders: &[PartyId], now: Instant) -> Duration {
        let others = lenders.iter().filter_map(|lender| self.lenders.get(lender)?.empty_until);
        let first = others.map(|until| until.saturating_duration_since(now)).min();
        self.bucket.wait(now).min(first.unwrap_or(Duration::MAX))
    }

    fn respond_to_first(
        &mut self,
        name: &str,
        wait: Duration,
        messages: &mut FastMap<PartyId, CreditMessages>,
        now: Instant,
    ) {
        if let Some(claim) = self.claims.pop_front() {
            let grant = self.grant(name, claim.granted, claim.missing, wait, now);
            push_grant(messages, claim.party, grant);
        }
    }

    fn grant(
        &mut self,
        name: &str,
        count: u32,
        missing: u32,
        wait: Duration,
        now: Instant,
    ) -> CreditGrant {
        let retry_after_ms = match missing {
            0 => 0,
            _ => wait.min(MAX_RETRY_AFTER).as_millis().max(1) as u32,
        };
        CreditGrant {
            account: name.into(),
            count,
            retry_after_ms,
            left: self.bucket.available(now),
        }
    }
}

/// Returns the rate and the capacity of a relay's bucket.
fn bucket_size(quota: Option<AccountQuota>, limits: &QuotaLimits, parts: usize) -> (f64, f64) {
    let Some(quota) = quota else {
        return (0.0, 0.0);
    };
    let capacity = (quota.burst + limits.slack * SLACK_RATIO) / parts as f64;
    (quota.rate.0 / parts as f64, capacity.max(1.0))
}

fn unknown_account(request: &CreditRequest) -> CreditGrant {
    CreditGrant { account: request.account.clone(), count: 0, retry_after_ms: 0, left: 0 }
}

fn push_grant(messages: &mut FastMap<PartyId, CreditMessages>, party: PartyId, grant: CreditGrant) {
    messages.entry(party).or_default().grants.push(grant);
}
