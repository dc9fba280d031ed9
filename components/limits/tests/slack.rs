//! The division of a shared budget's slack over relays and their members.

use std::time::Duration;

use limits::{AttemptBudget, AttemptLimits, MemberCount, slack_share};
use proptest::prelude::*;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(10);

/// Limits without slack, which each test sets.
const LIMITS: AttemptLimits = AttemptLimits {
    ratio: 0.0,
    slack: 0.0,
    window: WINDOW,
    arrival_delay: Duration::from_millis(300),
};

/// Minimum member count of a relay in its first window.
const ASSUMED_MEMBERS: u32 = 50;

#[test]
fn new_relay_uses_the_assumed_member_count_for_one_window() {
    let start = Instant::now();
    let mut count = MemberCount::new(WINDOW, start);
    count.record(4, start);
    assert_eq!(count.peak(start + Duration::from_secs(9)), ASSUMED_MEMBERS);
    assert_eq!(count.peak(start + Duration::from_secs(10)), 4);
}

#[test]
fn members_that_left_count_until_the_window_ends() {
    let start = Instant::now();
    let mut count = MemberCount::new(WINDOW, start);
    count.record(60, start);
    let left_at = start + Duration::from_secs(20);
    count.record(3, left_at);
    assert_eq!(count.peak(left_at + Duration::from_secs(9)), 60);
    assert_eq!(count.peak(left_at + Duration::from_secs(10)), 3);
    count.record(8, left_at + Duration::from_secs(11));
    assert_eq!(count.peak(left_at + Duration::from_secs(11)), 8);
}

#[test]
fn slack_share_is_zero_without_relays_or_members() {
    assert_eq!(slack_share(58.0, 0, 5), 0.0);
    assert_eq!(slack_share(58.0, 3, 0), 0.0);
}

/// Guards against a service with few requests at each of 14 entry VMs being unable to retry:
/// without a share of the slack, the ratio of one request doesn't allow a retry even if the request
/// certainly did not run.
#[test]
fn slack_share_allows_an_extra_attempt_of_a_quiet_service() {
    let now = Instant::now();
    let share = slack_share(58.0, 3, 5);
    let mut budget = AttemptBudget::new(AttemptLimits { ratio: 0.2, ..LIMITS });
    budget.record_request(now);
    assert!(!budget.try_take_extra(now));
    budget.set_slack(share);
    assert!(budget.try_take_extra(now));
}

/// Guards against a double use of the slack: all entry VMs exhaust their shares, then most of them
/// fail at once and the remaining ones take from their new shares.
#[test]
fn remaining_members_do_not_reuse_the_slack_of_failed_members() {
    const SLACK: f64 = 190.0;
    let start = Instant::now();
    let mut taken = 0;
    for _ in 0..3 {
        let mut count = MemberCount::new(WINDOW + WINDOW / 10, start);
        let mut members: Vec<_> = (0..14).map(|_| AttemptBudget::new(LIMITS)).collect();
        let after_first_window = start + WINDOW * 2;
        for remaining in [14, 1] {
            let now = after_first_window + Duration::from_secs(u64::from(remaining == 1));
            count.record(remaining as u32 + 1, now);
            let share = slack_share(SLACK, 3, count.peak(now));
            members.truncate(remaining);
            for budget in &mut members {
                budget.set_slack(share);
                taken += std::iter::from_fn(|| budget.try_take_extra(now).then_some(())).count();
            }
        }
    }
    assert!(f64::from(taken as u32) <= SLACK, "{taken} taken");
}

/// One entry VM of the model, with the relay that it subscribes to and its budget.
struct ModelMember {
    relay: usize,
    budget: AttemptBudget,
}

proptest! {
    /// Entry VMs subscribe unevenly, move between relays and restart, relays restart, and every
    /// entry VM exhausts its budget. The sum over the fleet stays within the slack in every window.
    #[test]
    fn extra_attempts_of_the_fleet_stay_within_the_slack(
        events in prop::collection::vec((0u64..300, 0usize..40, 0usize..3, 0u8..10), 1..800),
    ) {
        const SLACK: f64 = 190.0;
        let start = Instant::now();
        let mut counts: Vec<MemberCount> =
            (0..3).map(|_| MemberCount::new(WINDOW + WINDOW / 10, start)).collect();
        let mut members: Vec<ModelMember> = (0..40)
            .map(|number| ModelMember { relay: number % 3, budget: AttemptBudget::new(LIMITS) })
            .collect();
        let mut now = start;
        let mut taken: Vec<Instant> = Vec::new();
        for (pause, member, relay, kind) in events {
            now += Duration::from_millis(pause);
            match kind {
                0 => members[member].relay = relay,
                1 => members[member].budget = AttemptBudget::new(LIMITS),
                2 => counts[relay] = MemberCount::new(WINDOW + WINDOW / 10, now),
                _ => {}
            }
            let relay = members[member].relay;
            let subscribers = members.iter().filter(|other| other.relay == relay).count();
            counts[relay].record(subscribers as u32 + 1, now);
            let share = slack_share(SLACK, 3, counts[relay].peak(now));
            let budget = &mut members[member].budget;
            budget.set_slack(share);
            while budget.try_take_extra(now) {
                taken.push(now);
            }
        }
        for end in &taken {
            let from = *end - WINDOW;
            let in_window = taken.iter().filter(|at| **at > from && *at <= end).count() as f64;
            prop_assert!(in_window <= SLACK, "{in_window} in a window");
        }
    }
}
