use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::ByteBudget;

const MAX_BYTES: usize = 1_000;

#[test]
fn room_ends_at_the_limit_and_returns_with_the_shares() {
    let budget = ByteBudget::new(MAX_BYTES);
    let mut share = budget.take(0);
    let other_connection = budget.clone();
    share.resize(MAX_BYTES - 1);
    assert!(other_connection.has_room());
    let other_share = other_connection.take(1);
    assert!(!budget.has_room());
    share.resize(10);
    assert!(budget.has_room());
    drop((share, other_share));
    assert_eq!(budget.used.load(Ordering::Relaxed), 0);
}

#[test]
fn share_returns_with_the_last_part_of_its_bytes() {
    let budget = ByteBudget::new(MAX_BYTES);
    let mut bytes = budget.take(MAX_BYTES).hold_with(Bytes::from_static(b"response"));
    let part = bytes.split_to(4);
    drop(bytes);
    assert!(!budget.has_room());
    assert_eq!(&*part, b"resp");
    drop(part);
    assert!(budget.has_room());
}

#[test]
fn use_without_the_last_part_leaves_that_to_others() {
    let budget = ByteBudget::new(MAX_BYTES);
    let others = budget.without_last(100);
    let share = others.take(MAX_BYTES - 100);
    assert!(!others.has_room());
    assert!(budget.has_room());
    drop(share);
    assert!(others.has_room());
}
