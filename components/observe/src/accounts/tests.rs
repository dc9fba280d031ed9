//! Tests of metrics by client account.

use crate::{HostedMetrics, RequestOutcome};

#[test]
fn accounts_beyond_the_bound_are_counted_together() {
    let metrics = HostedMetrics::new();
    for number in 0..1_000 {
        metrics.count_account_request(&format!("account-{number}"), RequestOutcome::Answered);
    }
    metrics.count_account_request("account-0", RequestOutcome::NotRun);
    let text = metrics.render();
    let lines: Vec<&str> =
        text.lines().filter(|line| line.starts_with("mustardrail_account_requests")).collect();
    assert_eq!(lines.len(), super::MAX_ACCOUNTS + 2);
    let others = "{account=\"(other)\",outcome=\"answered\"} 744";
    assert!(lines.iter().any(|line| line.ends_with(others)), "{lines:?}");
    let first = "{account=\"account-0\",outcome=\"not-run\"} 1";
    assert!(lines.iter().any(|line| line.ends_with(first)), "{lines:?}");
}
