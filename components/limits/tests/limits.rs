//! Compares admission, queue and budgets with plain counts over random histories.

use std::time::Duration;

use limits::{AdmissionGate, AdmissionOutcome, FairQueue, RetryBudget, TokenBucket};
use model::{AccountId, AccountLimits, RequestRate};
use proptest::prelude::*;
use testkit::property_test_config;
use tokio::time::Instant;

fn account(number: usize) -> AccountId {
    format!("account-{number}").parse().expect("the name is valid")
}

proptest! {
    #![proptest_config(property_test_config(300))]

    #[test]
    fn gate_counts_requests_in_flight_and_never_exceeds_its_limits(
        limit in 1_u32..40,
        steps in prop::collection::vec((0_usize..4, any::<bool>()), 1..200),
    ) {
        let limits = AccountLimits {
            in_flight: 20,
            requests_per_s: RequestRate(1e6),
            ..AccountLimits::default()
        };
        let mut gate = AdmissionGate::new(limit);
        let mut counts = [0_u32; 4];
        let now = Instant::now();
        for (number, is_admission) in steps {
            if is_admission {
                if gate.try_admit(&account(number), &limits, now) == AdmissionOutcome::Admitted {
                    counts[number] += 1;
                }
            } else if counts[number] > 0 {
                gate.release(&account(number));
                counts[number] -= 1;
            }
            prop_assert_eq!(gate.in_flight(), counts.iter().sum::<u32>());
            prop_assert!(gate.in_flight() <= limit);
            prop_assert!(counts.iter().all(|count| *count <= limits.in_flight));
        }
    }

    #[test]
    fn flooding_account_does_not_block_other_accounts(
        limit in 20_u32..500,
        flood in 500_u32..2_000,
    ) {
        let limits = AccountLimits { in_flight: 10_000, ..AccountLimits::default() };
        let mut gate = AdmissionGate::new(limit);
        let now = Instant::now();
        for _ in 0..flood {
            gate.try_admit(&account(0), &limits, now);
        }
        let outcome = gate.try_admit(&account(1), &limits, now);
        prop_assert_eq!(outcome, AdmissionOutcome::Admitted);
    }

    #[test]
    fn queue_serves_accounts_in_turn(pushes in prop::collection::vec(0_usize..3, 1..60)) {
        let mut queue = FairQueue::new();
        let mut waiting = [0_usize; 3];
        for number in pushes {
            queue.push(&account(number), number, 10).ok();
            waiting[number] = (waiting[number] + 1).min(10);
        }
        let busy = waiting.iter().filter(|count| **count > 0).count();
        prop_assert_eq!(queue.len(), waiting.iter().sum::<usize>());
        let mut first_round: Vec<usize> =
            (0..busy).filter_map(|_| queue.pop()).map(|(_, number)| number).collect();
        first_round.sort_unstable();
        first_round.dedup();
        prop_assert_eq!(first_round.len(), busy);
    }

    #[test]
    fn bucket_never_exceeds_rate_and_burst(
        rate in 1.0_f64..1_000.0,
        burst in 1.0_f64..50.0,
        waits in prop::collection::vec(0_u64..200, 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut bucket = TokenBucket::new(rate, burst, now);
        let mut taken = 0.0;
        for wait in waits {
            now += Duration::from_millis(wait);
            if bucket.try_take(now).is_ok() {
                taken += 1.0;
            }
            let allowed = burst + (now - start).as_secs_f64() * rate;
            prop_assert!(taken <= allowed + 1e-6, "{} taken of {}", taken, allowed);
        }
    }

    #[test]
    fn retry_budget_bounds_retries(successes in 0_u32..2_000, percent in 0_u32..50) {
        let mut budget = RetryBudget::new();
        let mut retries = 0;
        for _ in 0..successes {
            budget.record_success(percent);
            if budget.try_take() {
                retries += 1;
            }
        }
        let allowed = 3.0 + f64::from(successes) * f64::from(percent) / 100.0;
        prop_assert!(f64::from(retries) <= allowed + 1e-6);
    }
}
