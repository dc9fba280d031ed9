//! The budget of further arrivals over a sliding window.

use std::time::Duration;

use limits::{ArrivalBudget, ArrivalLimits};
use proptest::prelude::*;
use tokio::time::Instant;

const LIMITS: ArrivalLimits =
    ArrivalLimits { ratio: 0.2, slack: 1.0, window: Duration::from_secs(10) };

#[test]
fn a_quiet_service_may_use_the_slack_once_in_a_window() {
    let now = Instant::now();
    let mut budget = ArrivalBudget::new(LIMITS);
    assert!(budget.take_extra(now));
    assert!(!budget.take_extra(now + Duration::from_secs(9)));
    assert!(budget.take_extra(now + Duration::from_secs(11)));
}

#[test]
fn requests_allow_their_ratio() {
    let now = Instant::now();
    let mut budget = ArrivalBudget::new(LIMITS);
    for _ in 0..100 {
        budget.note_request(now);
    }
    let taken = (0..100).filter(|_| budget.take_extra(now)).count();
    assert_eq!(taken, 21);
}

proptest! {
    /// Over every window, further arrivals of several entry VMs stay within the ratio of all
    /// requests of that window and the one before, and the slack of each.
    #[test]
    fn no_window_has_more_than_the_ratio(
        events in prop::collection::vec((0u64..400, 0usize..3, any::<bool>()), 1..600),
    ) {
        let begin = Instant::now();
        let mut budgets: Vec<ArrivalBudget> = (0..3).map(|_| ArrivalBudget::new(LIMITS)).collect();
        let mut now = begin;
        let mut requests: Vec<Instant> = Vec::new();
        let mut extras: Vec<Instant> = Vec::new();
        for (pause, vm, is_request) in events {
            now += Duration::from_millis(pause);
            if is_request {
                budgets[vm].note_request(now);
                requests.push(now);
            } else if budgets[vm].take_extra(now) {
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
