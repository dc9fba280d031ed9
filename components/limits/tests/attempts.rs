//! The budget of extra attempts over a sliding window.

use std::time::Duration;

use limits::{AttemptBudget, AttemptLimits};
use proptest::prelude::*;
use testkit::property_test_config;
use tokio::time::Instant;

const LIMITS: AttemptLimits = AttemptLimits {
    ratio: 0.2,
    slack: 1.0,
    window: Duration::from_secs(10),
    arrival_delay: Duration::from_millis(300),
};

#[test]
fn slack_of_one_allows_one_extra_attempt_per_window() {
    let now = Instant::now();
    let mut budget = AttemptBudget::new(LIMITS);
    assert!(budget.try_take_extra(now));
    assert!(!budget.try_take_extra(now + Duration::from_secs(9)));
    assert!(budget.try_take_extra(now + Duration::from_secs(11)));
}

/// A service whose requests all fail uses the whole ratio, and no more than that.
#[test]
fn steady_requests_earn_the_whole_ratio() {
    const REQUESTS_PER_WINDOW: usize = 500;
    let start = Instant::now();
    let mut budget = AttemptBudget::new(LIMITS);
    let pause = LIMITS.window / REQUESTS_PER_WINDOW as u32;
    let taken: Vec<bool> = (0..4 * REQUESTS_PER_WINDOW)
        .map(|number| {
            let now = start + pause * number as u32;
            budget.record_request(now);
            budget.try_take_extra(now)
        })
        .collect();
    let in_last_window =
        taken[3 * REQUESTS_PER_WINDOW..].iter().filter(|is_taken| **is_taken).count() as f64;
    let earned = LIMITS.ratio * REQUESTS_PER_WINDOW as f64;
    assert!(in_last_window <= earned + LIMITS.slack, "{in_last_window} of {earned}");
    assert!(in_last_window >= 0.95 * earned, "{in_last_window} of {earned}");
}

/// Requests that fail at once are retried at once, although the load may end with them.
#[test]
fn burst_of_requests_allows_extra_attempts_at_once() {
    let now = Instant::now();
    let mut budget = AttemptBudget::new(LIMITS);
    for _ in 0..100 {
        budget.record_request(now);
    }
    let taken = (0..100).filter(|_| budget.try_take_extra(now)).count();
    assert_eq!(taken, 11, "half of the ratio and the slack");
}

/// One step of a history: what an entry VM does after a pause.
#[derive(Debug, Clone)]
enum BudgetEvent {
    /// It receives requests that were sent shortly before.
    Requests { count: usize, sent_before_ms: u64 },
    /// It sends extra attempts, as far as the budget allows, which arrive after a delay.
    Extra { count: usize, delay_share: f64 },
    /// It restarts without its counts, and gets no further slack.
    Restart,
}

fn budget_event() -> impl Strategy<Value = BudgetEvent> {
    prop_oneof![
        20 => (1usize..40, 0u64..5)
            .prop_map(|(count, sent_before_ms)| BudgetEvent::Requests { count, sent_before_ms }),
        20 => (1usize..20, 0.0f64..1.0)
            .prop_map(|(count, delay_share)| BudgetEvent::Extra { count, delay_share }),
        1 => Just(BudgetEvent::Restart),
    ]
}

/// Number of times in a window that starts after `start` and ends at `start + length`.
fn count_within(times: &[Duration], start: f64, length: f64) -> f64 {
    let in_window = |at: &&Duration| {
        let at = at.as_secs_f64();
        at > start && at <= start + length
    };
    times.iter().filter(in_window).count() as f64
}

proptest! {
    #![proptest_config(property_test_config(100))]

    /// The agreed budget of the whole fleet holds in every window: for each length of the window
    /// and each alignment, with bursts, restarts and any delay of an arrival up to the limit.
    /// Requests count as of their sending; those of the window count, or of one that started half a
    /// window or a window earlier, whichever had the most.
    #[test]
    fn arrivals_of_the_fleet_stay_within_the_budget_in_every_window(
        window_ms in 500u64..20_000,
        delay_ms in 0u64..600,
        pause_share in 0.001f64..0.05,
        events in prop::collection::vec((0.0f64..1.0, 0usize..3, budget_event()), 1..500),
    ) {
        let limits = AttemptLimits {
            window: Duration::from_millis(window_ms),
            arrival_delay: Duration::from_millis(delay_ms),
            ..LIMITS
        };
        let start = Instant::now();
        let mut budgets: Vec<AttemptBudget> = (0..3).map(|_| AttemptBudget::new(limits)).collect();
        // Times are counted from a moment well before the first event.
        let mut elapsed = limits.window * 3;
        let (mut requests, mut arrivals) = (Vec::new(), Vec::new());
        for (pause, vm, event) in events {
            elapsed += limits.window.mul_f64(pause * pause_share);
            let now = start + elapsed;
            match event {
                BudgetEvent::Requests { count, sent_before_ms } => {
                    let sent_before = Duration::from_millis(sent_before_ms.min(window_ms / 100));
                    for _ in 0..count {
                        budgets[vm].record_request(now);
                        requests.push(elapsed - sent_before);
                    }
                }
                BudgetEvent::Extra { count, delay_share } => {
                    let taken = (0..count).filter(|_| budgets[vm].try_take_extra(now)).count();
                    let arrived_at = elapsed + limits.arrival_delay.mul_f64(delay_share);
                    arrivals.extend(std::iter::repeat_n(arrived_at, taken));
                }
                BudgetEvent::Restart => {
                    budgets[vm] = AttemptBudget::new(AttemptLimits { slack: 0.0, ..limits });
                }
            }
        }
        let length = limits.window.as_secs_f64();
        for arrival in &arrivals {
            // The windows that start just before an arrival and that end with it.
            let at = arrival.as_secs_f64();
            for window_start in [at - 1e-6, at - length] {
                let extra = count_within(&arrivals, window_start, length);
                let counted = [0.0, 0.5, 1.0]
                    .map(|earlier| count_within(&requests, window_start - earlier * length, length))
                    .into_iter()
                    .fold(0.0, f64::max);
                let allowed = counted * limits.ratio + 3.0 * limits.slack;
                prop_assert!(extra <= allowed, "{extra} of {allowed} from {window_start}");
            }
        }
    }
}
