use super::{MAX_USED_BYTES, PipelineBudget};

#[test]
fn room_ends_at_the_limit_and_returns_with_the_shares() {
    let budget = PipelineBudget::default();
    let mut share = budget.take(0);
    let other_connection = budget.clone();
    share.resize(MAX_USED_BYTES - 1);
    assert!(other_connection.has_room());
    let other_share = other_connection.take(1);
    assert!(!budget.has_room());
    share.resize(10);
    assert!(budget.has_room());
    drop((share, other_share));
    assert_eq!(budget.used.load(std::sync::atomic::Ordering::Relaxed), 0);
}
