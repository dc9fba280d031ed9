//! The book of known backend servers under late entries, outages and lapses.

use std::time::Duration;

use model::ServerId;
use routes::{ServerBook, ServerChange, ServerRecord, ServiceName};
use tokio::time::Instant;

fn record(id: &str, sequence: u64) -> ServerRecord {
    ServerRecord {
        id: id.parse().unwrap(),
        born_ms: 1_000,
        sequence,
        address: "10.0.0.1:80".parse().unwrap(),
        service: ServiceName("orders".into()),
        zone: "a".parse().unwrap(),
        slots: 2,
        is_leaving: false,
        warmup_left: Duration::ZERO,
    }
}

fn present(record: ServerRecord) -> ServerChange {
    ServerChange::Present(record)
}

fn absent(id: &str) -> ServerChange {
    ServerChange::Absent(id.parse().unwrap())
}

fn ids(book: &ServerBook) -> Vec<ServerId> {
    let mut ids: Vec<ServerId> = book.servers().map(|record| record.id.clone()).collect();
    ids.sort();
    ids
}

fn book_of(ids: &[&str], now: Instant) -> ServerBook {
    let mut book = ServerBook::default();
    book.note_contact(now);
    book.take_listing(ids.iter().map(|id| present(record(id, 1))).collect(), now);
    book
}

#[test]
fn an_entry_that_is_removed_while_the_list_is_quiet_goes_at_once() {
    let now = Instant::now();
    let mut book = book_of(&["one", "two"], now);
    // A long poll without changes is no outage.
    let later = now + Duration::from_secs(14);
    book.note_contact(later);
    book.take_changes(vec![absent("one")], later);
    assert_eq!(ids(&book), ["two".parse().unwrap()]);
}

#[test]
fn a_few_entries_that_are_missing_after_an_outage_are_gone() {
    let now = Instant::now();
    let mut book = book_of(&["one", "two", "three"], now);
    book.note_outage();
    let back = now + Duration::from_secs(8);
    book.note_contact(back);
    book.take_changes(vec![absent("one")], back);
    assert_eq!(ids(&book), ["three".parse().unwrap(), "two".parse().unwrap()]);
}

#[test]
fn a_service_that_lost_most_entries_in_an_outage_keeps_them_for_a_moment() {
    let now = Instant::now();
    let mut book = book_of(&["one", "two"], now);
    book.note_outage();
    let back = now + Duration::from_secs(8);
    book.note_contact(back);
    book.take_changes(vec![absent("one"), absent("two")], back);
    assert_eq!(book.len(), 2);

    // One of them comes back, the other does not.
    book.take_changes(vec![present(record("one", 9))], back + Duration::from_secs(1));
    let due = book.next_expiry().expect("a lapsed entry is due");
    assert!(due < back + Duration::from_secs(2));
    assert!(!book.expire(due - Duration::from_millis(1)));
    assert!(book.expire(due));
    assert_eq!(ids(&book), ["one".parse().unwrap()]);
}

#[test]
fn a_server_that_was_leaving_does_not_stay_as_lapsed() {
    let now = Instant::now();
    let mut book = book_of(&["one"], now);
    book.take_changes(vec![present(ServerRecord { is_leaving: true, ..record("one", 2) })], now);
    book.note_outage();
    let back = now + Duration::from_secs(5);
    book.note_contact(back);
    book.take_changes(vec![absent("one")], back);
    assert!(book.is_empty());
}

#[test]
fn a_late_heartbeat_does_not_make_a_leaving_server_ready_again() {
    let now = Instant::now();
    let mut book = book_of(&["one"], now);
    book.take_changes(vec![present(ServerRecord { is_leaving: true, ..record("one", 5) })], now);
    book.take_changes(vec![present(record("one", 4))], now);
    assert!(book.servers().all(|record| record.is_leaving));
}

#[test]
fn a_new_life_under_the_same_identity_replaces_the_old_one_and_not_the_other_way_round() {
    let now = Instant::now();
    let mut book = book_of(&["one"], now);
    let reborn = ServerRecord { born_ms: 9_000, ..record("one", 1) };
    book.take_changes(vec![present(reborn.clone())], now);
    assert_eq!(book.servers().collect::<Vec<_>>(), [&reborn]);
    book.take_changes(vec![present(record("one", 7))], now);
    assert_eq!(book.servers().collect::<Vec<_>>(), [&reborn]);
}

#[test]
fn a_listing_replaces_what_is_known() {
    let now = Instant::now();
    let mut book = book_of(&["one", "two"], now);
    book.take_listing(vec![present(record("two", 2)), present(record("three", 1))], now);
    assert_eq!(ids(&book), ["three".parse().unwrap(), "two".parse().unwrap()]);
}
