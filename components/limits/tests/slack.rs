//! The slack of a shared budget, divided over relays and their members.

use std::time::Duration;

use limits::{ArrivalBudget, ArrivalLimits, MemberCount, slack_part};
use proptest::prelude::*;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(10);

/// Members that a relay assumes in its first window.
const FIRST_MEMBERS: u32 = 50;

#[test]
fn a_relay_assumes_many_members_until_it_has_seen_a_window() {
    let start = Instant::now();
    let mut count = MemberCount::new(WINDOW, start);
    count.note(4, start);
    assert_eq!(count.most(start + Duration::from_secs(9)), FIRST_MEMBERS);
    assert_eq!(count.most(start + Duration::from_secs(10)), 4);
}

#[test]
fn members_that_left_count_for_a_window() {
    let start = Instant::now();
    let mut count = MemberCount::new(WINDOW, start);
    count.note(60, start);
    let left_at = start + Duration::from_secs(20);
    count.note(3, left_at);
    assert_eq!(count.most(left_at + Duration::from_secs(9)), 60);
    assert_eq!(count.most(left_at + Duration::from_secs(10)), 3);
    count.note(8, left_at + Duration::from_secs(11));
    assert_eq!(count.most(left_at + Duration::from_secs(11)), 8);
}

#[test]
fn nobody_has_a_part_where_there_is_no_relay() {
    assert_eq!(slack_part(58.0, 0, 5), 0.0);
    assert_eq!(slack_part(58.0, 3, 0), 0.0);
}

/// A service with few requests at each of 14 entry VMs: without its part of the slack no request
/// that certainly did not run could be sent again.
#[test]
fn a_quiet_service_may_send_again_with_its_part() {
    let now = Instant::now();
    let part = slack_part(58.0, 3, 5);
    let mut budget = ArrivalBudget::new(ArrivalLimits { ratio: 0.2, slack: 0.0, window: WINDOW });
    budget.note_request(now);
    assert!(!budget.take_extra(now));
    budget.set_slack(part);
    assert!(budget.take_extra(now));
}

/// All entry VMs take all they may, then most die at once and the others take what they may now.
#[test]
fn survivors_do_not_take_again_what_the_dead_took() {
    const SLACK: f64 = 190.0;
    let start = Instant::now();
    let limits = ArrivalLimits { ratio: 0.0, slack: 0.0, window: WINDOW };
    let mut taken = 0;
    for _ in 0..3 {
        let mut count = MemberCount::new(WINDOW + WINDOW / 10, start);
        let mut members: Vec<_> = (0..14).map(|_| ArrivalBudget::new(limits)).collect();
        let full = start + WINDOW * 2;
        for living in [14, 1] {
            let now = full + Duration::from_secs(u64::from(living == 1));
            count.note(living as u32 + 1, now);
            let part = slack_part(SLACK, 3, count.most(now));
            members.truncate(living);
            for budget in &mut members {
                budget.set_slack(part);
                taken += std::iter::from_fn(|| budget.take_extra(now).then_some(())).count();
            }
        }
    }
    assert!(f64::from(taken as u32) <= SLACK, "{taken} taken");
}

/// One entry VM of the model: where it subscribes and what it has taken.
struct ModelMember {
    relay: usize,
    budget: ArrivalBudget,
}

proptest! {
    /// Entry VMs subscribe unevenly, move between relays, die and start anew, relays restart, and all
    /// take whatever they may. The sum over the fleet stays within the slack in every window.
    #[test]
    fn the_sum_over_the_fleet_stays_within_the_slack(
        events in prop::collection::vec((0u64..300, 0usize..40, 0usize..3, 0u8..10), 1..800),
    ) {
        const SLACK: f64 = 190.0;
        let start = Instant::now();
        let limits = ArrivalLimits { ratio: 0.0, slack: 0.0, window: WINDOW };
        let mut counts: Vec<MemberCount> =
            (0..3).map(|_| MemberCount::new(WINDOW + WINDOW / 10, start)).collect();
        let mut members: Vec<ModelMember> = (0..40)
            .map(|number| ModelMember { relay: number % 3, budget: ArrivalBudget::new(limits) })
            .collect();
        let mut now = start;
        let mut taken: Vec<Instant> = Vec::new();
        for (pause, member, relay, kind) in events {
            now += Duration::from_millis(pause);
            match kind {
                0 => members[member].relay = relay,
                1 => members[member].budget = ArrivalBudget::new(limits),
                2 => counts[relay] = MemberCount::new(WINDOW + WINDOW / 10, now),
                _ => {}
            }
            let relay = members[member].relay;
            let there = members.iter().filter(|other| other.relay == relay).count();
            counts[relay].note(there as u32 + 1, now);
            let part = slack_part(SLACK, 3, counts[relay].most(now));
            let budget = &mut members[member].budget;
            budget.set_slack(part);
            while budget.take_extra(now) {
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
