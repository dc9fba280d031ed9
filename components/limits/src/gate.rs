//! Admission control for requests at one entry VM.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use model::{AccountId, AccountLimits, FastMap};

use crate::bucket::TokenBucket;

/// Fraction of the shared limit up to which accounts may exceed their fair share.
const FAIR_SHARE_THRESHOLD: f64 = 0.8;

/// Time after which the state of an account without requests is evicted.
const IDLE_ACCOUNT_TTL: Duration = Duration::from_secs(60);

/// Retry delay after a refusal for requests in flight: about the duration of a few requests.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts requests in flight and decides which new requests are admitted.
#[derive(Debug)]
pub struct AdmissionGate {
    /// Maximum number of requests in flight over all accounts.
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

/// Result of `AdmissionGate::try_admit`.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionOutcome {
    /// Admitted; the caller of `try_admit` must call `release` when the request ends.
    Admitted,
    /// Refused for this reason; the duration is the retry delay.
    Refused(AdmissionRefusal, Duration),
}

/// Reason for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AdmissionRefusal {
    /// The account has too many requests in flight.
    #[display("the account has too many requests in flight")]
    AccountInFlight,
    /// The account exceeds its request rate.
    #[display("the account sends too many requests a second")]
    AccountRate,
    /// This entry VM is at its limit, or close to it while the account is at its fair share.
    #[display("this entry VM is full and the account is above its share")]
    SharedLimit,
}

impl AdmissionGate {
    /// Creates a gate that allows `limit` requests in flight over all accounts.
    pub fn new(limit: u32) -> Self {
        Self { limit, total_in_flight: 0, accounts: FastMap::default() }
    }

    /// Admits a request of an account, or refuses it with a retry delay.
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

    /// Stops counting an admitted request, which has ended.
    pub fn release(&mut self, account: &AccountId) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.in_flight -= 1;
            self.total_in_flight -= 1;
        }
    }

    /// Returns the number of requests in flight over all accounts.
    pub fn in_flight(&self) -> u32 {
        self.total_in_flight
    }

    /// Returns the account's weighted share of the limit among accounts with requests in flight.
    /// The other accounts count at least as much as this one, even if none is active: otherwise a
    /// single account could fill the entry VM and block the next one to arrive.
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
