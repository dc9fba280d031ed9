//! Admission of requests at one entry VM.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use model::{AccountId, AccountLimits, FastMap};

use crate::bucket::TokenBucket;

/// Part of the shared limit up to which accounts may exceed their fair share.
const FAIR_SHARE_THRESHOLD: f64 = 0.8;

/// Time after which an account without requests is forgotten.
const IDLE_ACCOUNT_TTL: Duration = Duration::from_secs(60);

/// When a caller refused for requests in flight may come back: about the time of a few requests.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts requests in flight and decides which may begin.
#[derive(Debug)]
pub struct AdmissionGate {
    /// Requests in flight over all accounts.
    limit: u32,
    /// Invariant: the sum of `in_flight` of all accounts.
    total_in_flight: u32,
    accounts: FastMap<AccountId, AccountUsage>,
}

#[derive(Debug)]
struct AccountUsage {
    in_flight: u32,
    weight: u32,
    bucket: TokenBucket,
    last_used_at: Instant,
}

/// Whether a request may begin.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionOutcome {
    /// It may; the caller of `enter` must call `leave` when it ends.
    Admitted,
    /// It may not, for this reason; the time is when to come back.
    Refused(AdmissionRefusal, Duration),
}

/// Why a request may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AdmissionRefusal {
    /// The account has too many requests in flight.
    #[display("the account has too many requests in flight")]
    AccountInFlight,
    /// The account sends too many requests a second.
    #[display("the account sends too many requests a second")]
    AccountRate,
    /// This entry VM is full, and the account is above its fair share.
    #[display("this entry VM is full and the account is above its share")]
    SharedLimit,
}

impl AdmissionGate {
    /// A gate for `limit` requests in flight over all accounts.
    pub fn new(limit: u32) -> Self {
        Self { limit, total_in_flight: 0, accounts: FastMap::default() }
    }

    /// Asks for a request of an account to begin.
    pub fn try_admit(
        &mut self,
        account: &AccountId,
        limits: &AccountLimits,
        now: Instant,
    ) -> AdmissionOutcome {
        let rate = limits.requests_per_s.0;
        if !self.accounts.contains_key(account) {
            self.evict_idle_accounts(now);
            let bucket = TokenBucket::new(rate, rate, now);
            let usage =
                AccountUsage { in_flight: 0, weight: limits.weight, bucket, last_used_at: now };
            self.accounts.insert(account.clone(), usage);
        }
        let is_contended =
            f64::from(self.total_in_flight) >= f64::from(self.limit) * FAIR_SHARE_THRESHOLD;
        let is_full = self.total_in_flight >= self.limit;
        let share = if is_contended { self.fair_share(account, limits.weight) } else { f64::MAX };
        let Some(usage) = self.accounts.get_mut(account) else {
            return AdmissionOutcome::Refused(AdmissionRefusal::SharedLimit, IN_FLIGHT_RETRY_AFTER);
        };
        usage.last_used_at = now;
        usage.weight = limits.weight;
        usage.bucket.set_rate(rate, rate, now);
        if usage.in_flight >= limits.in_flight {
            let refusal = AdmissionRefusal::AccountInFlight;
            return AdmissionOutcome::Refused(refusal, IN_FLIGHT_RETRY_AFTER);
        }
        if is_full || f64::from(usage.in_flight) >= share {
            let refusal = AdmissionRefusal::SharedLimit;
            return AdmissionOutcome::Refused(refusal, IN_FLIGHT_RETRY_AFTER);
        }
        if let Err(retry_after) = usage.bucket.try_take(now) {
            return AdmissionOutcome::Refused(AdmissionRefusal::AccountRate, retry_after);
        }
        usage.in_flight += 1;
        self.total_in_flight += 1;
        AdmissionOutcome::Admitted
    }

    /// Notes that an admitted request ended.
    pub fn release(&mut self, account: &AccountId) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.in_flight -= 1;
            self.total_in_flight -= 1;
        }
    }

    /// Requests in flight over all accounts.
    pub fn in_flight(&self) -> u32 {
        self.total_in_flight
    }

    /// The account's part of the limit among accounts that have requests in flight. There is
    /// always room for one more account: without it, one alone would fill the entry VM.
    fn fair_share(&self, account: &AccountId, weight: u32) -> f64 {
        let others: u32 = self
            .accounts
            .iter()
            .filter(|(id, usage)| usage.in_flight > 0 && *id != account)
            .map(|(_, usage)| usage.weight)
            .sum();
        f64::from(self.limit) * f64::from(weight) / f64::from(others.max(weight) + weight)
    }

    fn evict_idle_accounts(&mut self, now: Instant) {
        self.accounts
            .retain(|_, usage| usage.in_flight > 0 || now < usage.last_used_at + IDLE_ACCOUNT_TTL);
    }
}
