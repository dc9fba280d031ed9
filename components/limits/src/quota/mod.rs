//! Keeps the requests of a client account at all entry VMs together within its quota.
//!
//! Load pattern: a few accounts make most requests, and some of them through so few connections that
//! one entry VM receives them all. A fixed share of the quota for each VM would refuse most of them.
//! Instead each relay has a part of the quota in a token bucket, a VM requests one credit for each
//! request that waits, and relays lend each other credits. A credit is created once and used once,
//! so the sum is kept whichever VMs fail, freeze or move. See docs/design/quotas.md.

use std::time::Duration;

use serde::{Deserialize, Serialize};

mod allowance;
mod ledger;
mod requests;

pub use ledger::{CreditLedger, CreditMessages, PartyId};
pub use requests::{Credit, CreditDecision, CreditQueue, CreditSource};

/// Part of `over` that covers requests whose credits are used late.
const CREDIT_VALIDITY_RATIO: f64 = 0.5;

/// Part of `over` that covers credits on their way from one relay to another.
const LOAN_VALIDITY_RATIO: f64 = 0.25;

/// Part of `over` at which VMs without a relay create credits, all together. Each of them may be
/// used within one window.
const ALLOWANCE_RATIO: f64 = 0.0625;

/// Part of the slack by which buckets are larger than the burst.
const SLACK_RATIO: f64 = 0.5;

/// Shortest validity of a credit: a message takes some time on any network.
const MIN_VALIDITY: Duration = Duration::from_millis(20);

/// Requests of a client account that wait for credits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Name of the account.
    pub account: Box<str>,
    /// Number of requests that wait for a credit.
    pub count: u32,
}

/// Response to a credit request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Name of the account.
    pub account: Box<str>,
    /// Number of requests that may be forwarded; at most the requested number.
    pub count: u32,
    /// Milliseconds until there will be credit again, if not all requests got one; 0 if the relay
    /// doesn't know the account.
    pub retry_after_ms: u32,
    /// Credits that are left at the relay.
    #[serde(default)]
    pub left: u32,
}

/// How far the requests of an account may exceed its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimits {
    /// Allowed excess as a fraction of the quota.
    pub over: f64,
    /// Further requests allowed in each window.
    pub slack: f64,
    /// Length of each window.
    pub window: Duration,
    /// Number of relays among which each quota is divided at first.
    pub relays: usize,
}

impl QuotaLimits {
    /// Time after its request for which a credit may be used. What is granted before a window and
    /// used in it is at most the rate times this.
    pub fn credit_validity(&self) -> Duration {
        self.window.mul_f64(self.over * CREDIT_VALIDITY_RATIO).max(MIN_VALIDITY)
    }

    /// Time after its request in which a loan must arrive.
    pub fn loan_validity(&self) -> Duration {
        self.window.mul_f64(self.over * LOAN_VALIDITY_RATIO).max(MIN_VALIDITY)
    }
}
