//! Metrics by client account, with a bounded number of label values.

use std::sync::{Arc, Mutex};

use prometheus::{IntCounterVec, Opts, Registry};

use model::FastSet;

use crate::metrics::RequestOutcome;

/// Largest number of accounts with label values of their own. Later ones are counted together.
const MAX_ACCOUNTS: usize = 256;

/// Label value of accounts without one of their own.
const OTHER_ACCOUNTS: &str = "(other)";

/// Counts requests by client account.
#[derive(Debug, Clone)]
pub(crate) struct AccountMetrics {
    requests: IntCounterVec,
    credits: IntCounterVec,
    /// Accounts with label values of their own.
    names: Arc<Mutex<FastSet<Box<str>>>>,
}

impl AccountMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Self {
        let requests = IntCounterVec::new(
            Opts::new(
                "mustardrail_account_requests_total",
                "Requests by client account and outcome.",
            ),
            &["account", "outcome"],
        )
        .expect("metric definitions are valid");
        let credits = IntCounterVec::new(
            Opts::new(
                "mustardrail_account_credits_total",
                "Requests of client accounts with a quota that got a credit or were refused.",
            ),
            &["account", "outcome"],
        )
        .expect("metric definitions are valid");
        registry.register(Box::new(requests.clone())).expect("metric names are unique");
        registry.register(Box::new(credits.clone())).expect("metric names are unique");
        Self { requests, credits, names: Arc::default() }
    }

    /// Counts a finished request of an account.
    pub(crate) fn count_request(&self, account: &str, outcome: RequestOutcome) {
        self.requests.with_label_values(&[self.label(account), outcome.label()]).inc();
    }

    /// Counts a request of an account with a quota.
    pub(crate) fn count_credit(&self, account: &str, is_granted: bool) {
        let outcome = if is_granted { "granted" } else { "refused" };
        self.credits.with_label_values(&[self.label(account), outcome]).inc();
    }

    fn label<'a>(&self, account: &'a str) -> &'a str {
        if self.has_label(account) { account } else { OTHER_ACCOUNTS }
    }

    /// Whether an account has a label value of its own, which it gets while there are few.
    fn has_label(&self, account: &str) -> bool {
        let mut names = self.names.lock().expect("name lock is never poisoned");
        if names.contains(account) {
            return true;
        }
        let has_room = names.len() < MAX_ACCOUNTS;
        if has_room {
            names.insert(account.into());
        }
        has_room
    }
}

#[cfg(test)]
mod tests;
