use model::{AccountQuota, RequestRate};
use routes::AccountName;

use super::*;

const WAIT: Duration = Duration::from_millis(300);

fn account(has_quota: bool) -> Option<Arc<ClientAccount>> {
    let quota = AccountQuota { rate: RequestRate(1.0), burst: 1.0 };
    let name = AccountName("a".into());
    Some(Arc::new(ClientAccount { name, priority: None, quota: has_quota.then_some(quota) }))
}

fn quotas() -> Arc<AccountQuotas> {
    let limits = QuotaLimits { over: 0.1, slack: 20.0, window: Duration::from_secs(5), relays: 1 };
    let quotas = AccountQuotas::new(limits, HostedMetrics::new());
    quotas.connect();
    Arc::new(quotas)
}

fn grant(count: u32, retry_after_ms: u32) -> [CreditGrant; 1] {
    [CreditGrant { account: "a".into(), count, retry_after_ms, left: 0 }]
}

/// Starts a request. Returns whether it got a credit, and its retry delay if not.
fn start_request(quotas: &Arc<AccountQuotas>) -> tokio::task::JoinHandle<Result<(), Duration>> {
    let quotas = Arc::clone(quotas);
    tokio::spawn(async move {
        match quotas.acquire(account(true), Instant::now() + WAIT).await {
            Ok(_) => Ok(()),
            Err(HostedRefusal::OverQuota(delay) | HostedRefusal::NoCredit(delay)) => Err(delay),
            Err(other) => panic!("{other}"),
        }
    })
}

#[tokio::test(start_paused = true)]
async fn requests_that_wait_at_the_same_time_need_one_message() {
    let quotas = quotas();
    let requests: Vec<_> = (0..3).map(|_| start_request(&quotas)).collect();
    tokio::task::yield_now().await;
    let sent = quotas.next_requests().await;
    assert_eq!(sent, vec![CreditRequest { account: "a".into(), count: 3 }]);
    quotas.apply_grants(&grant(2, 500));
    let mut granted = 0;
    for request in requests {
        match request.await.expect("the request ends") {
            Ok(()) => granted += 1,
            Err(delay) => assert!(delay >= Duration::from_millis(500), "{delay:?}"),
        }
    }
    assert_eq!(granted, 2);
}

#[tokio::test(start_paused = true)]
async fn silent_relay_delays_a_request_for_a_part_of_its_time() {
    let quotas = quotas();
    let started_at = Instant::now();
    let request = start_request(&quotas);
    assert_eq!(quotas.next_requests().await.len(), 1);
    let delay = request.await.expect("the request ends").expect_err("there is no credit");
    assert_eq!(started_at.elapsed().as_millis(), WAIT.as_millis());
    assert!(delay > Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn account_without_a_quota_needs_no_credit() {
    let quotas = quotas();
    for account in [None, account(false)] {
        let guard = quotas.acquire(account, Instant::now()).await.expect("it has no quota");
        assert_eq!(guard.credit(), None);
        guard.give_back();
    }
}

#[tokio::test(start_paused = true)]
async fn credit_that_is_given_back_is_for_the_next_request() {
    let quotas = quotas();
    let request = start_request(&quotas);
    quotas.next_requests().await;
    quotas.apply_grants(&grant(1, 0));
    request.await.expect("the request ends").expect("it got a credit");
    // The guard was dropped: the request counts as run.
    let left = start_request(&quotas);
    assert_eq!(quotas.next_requests().await.len(), 1);
    left.abort();
    assert!(left.await.is_err_and(|error| error.is_cancelled()));
    quotas.apply_grants(&grant(1, 0));
    let guard = quotas.acquire(account(true), Instant::now()).await;
    let guard = guard.unwrap_or_else(|_| panic!("the caller that left has given its credit back"));
    guard.give_back();
    let guard = quotas.acquire(account(true), Instant::now()).await;
    assert!(guard.is_ok_and(|guard| guard.credit().is_some()));
}

#[tokio::test(start_paused = true)]
async fn vm_that_loses_its_relay_requests_credits_from_the_next() {
    let quotas = quotas();
    let request = start_request(&quotas);
    assert_eq!(quotas.next_requests().await.len(), 1);
    quotas.disconnect();
    quotas.connect();
    assert_eq!(quotas.next_requests().await.len(), 1);
    quotas.apply_grants(&grant(1, 0));
    assert_eq!(request.await.expect("the request ends"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn vm_without_a_relay_refuses_at_once() {
    let quotas = quotas();
    quotas.disconnect();
    tokio::time::advance(Duration::from_secs(2)).await;
    let started_at = Instant::now();
    assert!(start_request(&quotas).await.expect("the request ends").is_err());
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}

/// Guards against an account that waits for the response of a former relay for good: a VM that becomes a
/// relay has its own credits at once, without having lost the relay before.
#[tokio::test(start_paused = true)]
async fn requests_are_sent_again_to_the_next_relay() {
    let quotas = quotas();
    let request = start_request(&quotas);
    assert_eq!(quotas.next_requests().await.len(), 1);
    quotas.connect();
    let sent = quotas.next_requests().await;
    assert_eq!(sent, vec![CreditRequest { account: "a".into(), count: 1 }]);
    quotas.apply_grants(&grant(1, 0));
    assert_eq!(request.await.expect("the request ends"), Ok(()));
}
