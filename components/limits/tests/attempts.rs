//! The budget of extra attempts over a sliding window.

use std::time::Duration;

use limits::{AttemptBudget, AttemptLimits};
use proptest::prelude::*;
use tokio::time::Instant;

const LIMITS: AttemptLimits =
    AttemptLimits { ratio: 0.2, slack: 1.0, window: Duration::from_secs(10) };

#[test]
fn slack_of_one_allows_one_extra_attempt_per_window() {
    let now = Instant::now();
    let mut budget = AttemptBudget::new(LIMITS);
    assert!(budget.try_take_extra(now));
    assert!(!budget.try_take_extra(now + Duration::from_secs(9)));
    assert!(budget.try_take_extra(now + Duration::from_secs(11)));
}

#[test]
fn requests_allow_extra_attempts_at_the_ratio() {
    let now = Instant::now();
    let mut budget = AttemptBudget::new(LIMITS);
    for _ in 0..100 {
        budget.record_request(now);
    }
    let taken = (0..100).filter(|_| budget.try_take_extra(now)).count();
    assert_eq!(taken, 21);
}

proptest! {
    /// In every window, the extra attempts of several entry VMs stay within the ratio of all
    /// requests of this window and the previous one, plus the slack of each entry VM.
    #[test]
    fn extra_attempts_in_any_window_stay_within_ratio_and_slack(
        events in prop::collection::vec((0u64..400, 0usize..3, any::<bool>()), 1..600),
    ) {
        let start = Instant::now();
        let mut budgets: Vec<AttemptBudget> = (0..3).map(|_| AttemptBudget::new(LIMITS)).collect();
        let mut now = start;
        let mut requests: Vec<Instant> = Vec::new();
        let mut extras: Vec<Instant> = Vec::new();
        for (pause, vm, is_request) in events {
            now += Duration::from_millis(pause);
            if is_request {
                budgets[vm].record_request(now);
                requests.push(now);
            } else if budgets[vm].try_take_extra(now) {
                extras.push(now);
            }
        }
        for end in &extras {
            let from = *end - LIMITS.window;
            let in_window = extras.iter().filter(|at| **at > from && *at <= end).count() as f64;
            let before = from - LIMITS.window;
            let counted = requests.iter().filter(|at| **at > before && *at <= end).count() as f64;
            prop_assert!(in_window <= counted * LIMITS.ratio + 3.0 * LIMITS.slack);
        }
    }
}
