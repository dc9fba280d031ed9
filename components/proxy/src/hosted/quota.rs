//! Credits for requests of client accounts that have a quota.
//!
//! A request waits for the response of this VM's relay. Requests of accounts without a quota are
//! forwarded without any of this.

use std::slice;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::OptionFuture;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

use limits::{Credit, CreditDecision, CreditGrant, CreditQueue, CreditRequest, QuotaLimits};
use observe::HostedMetrics;
use routes::ClientAccount;

use crate::hosted::refusal::{DEFAULT_RETRY_DELAY, HostedRefusal};

#[cfg(test)]
mod tests;

/// Time for which a request waits for a credit, as a fraction of the route's target latency. After
/// that the caller can still get a response in time elsewhere.
const CREDIT_WAIT_RATIO: f64 = 0.3;

/// Returns the longest time that a request waits for a credit.
pub(crate) fn credit_wait(target_latency: Duration) -> Duration {
    target_latency.mul_f64(CREDIT_WAIT_RATIO)
}

/// Requests of this entry VM that need credits.
pub struct AccountQuotas {
    queue: Mutex<CreditQueue<oneshot::Sender<CreditDecision>>>,
    /// Wakes the task that sends credit requests.
    changed: Notify,
    metrics: HostedMetrics,
}

/// The credit of a request. Unless it is given back, the request counts as run.
pub(crate) struct CreditGuard<'a> {
    quotas: &'a AccountQuotas,
    /// Account and credit; `None` if the request needs none.
    credit: Option<(Arc<ClientAccount>, Credit)>,
}

impl CreditGuard<'_> {
    /// Returns the credit; `None` if the request needs none.
    pub(crate) fn credit(&self) -> Option<Credit> {
        self.credit.as_ref().map(|(_, credit)| *credit)
    }

    /// Gives back the credit of a request that has certainly not run.
    pub(crate) fn give_back(self) {
        if let Some((account, credit)) = self.credit {
            self.quotas.queue().give_back(&account.name.0, credit, Instant::now());
        }
    }
}

impl AccountQuotas {
    /// Creates the state of an entry VM without a relay.
    pub fn new(limits: QuotaLimits, metrics: HostedMetrics) -> Self {
        let queue = CreditQueue::new(limits, rand::random(), Instant::now());
        Self { queue: Mutex::new(queue), changed: Notify::new(), metrics }
    }

    /// Returns the credit requests to send to the relay, once there are any. Cancel-safe.
    pub async fn next_requests(&self) -> Vec<CreditRequest> {
        loop {
            let (requests, next_at) = {
                let mut queue = self.queue();
                (queue.next_requests(Instant::now()), queue.next_request_at())
            };
            if !requests.is_empty() {
                return requests;
            }
            let next_time = OptionFuture::from(next_at.map(sleep_until));
            tokio::select! {
                () = self.changed.notified() => {}
                Some(()) = next_time => {}
            }
        }
    }

    /// Applies the relay's responses.
    pub fn apply_grants(&self, grants: &[CreditGrant]) {
        let now = Instant::now();
        let mut queue = self.queue();
        for grant in grants {
            let decided = queue.apply_grants(slice::from_ref(grant), now, &mut rand::rng());
            for (waiter, decision) in decided {
                // The credit of a caller that has left is for the next request.
                if let Err(CreditDecision::Granted(credit)) = waiter.send(decision) {
                    queue.give_back(&grant.account, credit, now);
                }
            }
        }
        drop(queue);
        // Requests that arrived meanwhile are sent next.
        self.changed.notify_one();
    }

    /// Records that this VM has a relay that grants credits.
    pub fn connect(&self) {
        self.queue().connect();
        self.changed.notify_one();
    }

    /// Records that this VM has no relay.
    pub fn disconnect(&self) {
        self.queue().disconnect(Instant::now());
    }

    /// Records the number of entry VMs.
    pub fn set_fleet_size(&self, fleet_size: u32) {
        self.queue().set_fleet_size(fleet_size);
    }

    /// Changes how far accounts may exceed their quotas.
    pub fn set_limits(&self, over: f64, slack: f64) {
        self.queue().set_limits(over, slack);
    }

    /// Takes a credit for one request of an account, for which it waits until `wait_until`.
    pub(crate) async fn acquire(
        &self,
        account: Option<Arc<ClientAccount>>,
        wait_until: Instant,
    ) -> Result<CreditGuard<'_>, HostedRefusal> {
        let Some((account, quota)) =
            account.and_then(|account| account.quota.map(|quota| (account, quota)))
        else {
            return Ok(CreditGuard { quotas: self, credit: None });
        };
        let name = &*account.name.0;
        let decided = self.queue().decide(name, quota, Instant::now(), &mut rand::rng());
        let decision = match decided {
            Some(decision) => decision,
            None => self.wait(name, wait_until).await,
        };
        self.metrics.count_credit(name, matches!(decision, CreditDecision::Granted(_)));
        match decision {
            CreditDecision::Granted(credit) => {
                Ok(CreditGuard { quotas: self, credit: Some((account, credit)) })
            }
            CreditDecision::Refused(delay) => Err(HostedRefusal::OverQuota(delay)),
            CreditDecision::NoRelay(delay) => Err(HostedRefusal::NoCredit(delay)),
        }
    }

    async fn wait(&self, account: &str, wait_until: Instant) -> CreditDecision {
        let (sender, receiver) = oneshot::channel();
        self.queue().wait(account, sender, wait_until);
        self.changed.notify_one();
        match timeout_at(wait_until, receiver).await {
            Ok(Ok(decision)) => decision,
            // The relay is silent, or the request waited too long for the next one.
            _ => CreditDecision::NoRelay(model::jittered(DEFAULT_RETRY_DELAY)),
        }
    }

    fn queue(&self) -> MutexGuard<'_, CreditQueue<oneshot::Sender<CreditDecision>>> {
        self.queue.lock().expect("credit lock is never poisoned")
    }
}
