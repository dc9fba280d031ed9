//! The registry of backend servers with late entries, outages of the list and lapsed entries.

use std::time::Duration;

use model::ServerId;
use routes::{ServerChange, ServerRecord, ServerRegistry, ServiceName};
use tokio::time::Instant;

fn record(id: &str, sequence: u64) -> ServerRecord {
    ServerRecord {
        id: id.parse().unwrap(),
        started_at_ms: 1_000,
        sequence,
        address: "10.0.0.1:80".parse().unwrap(),
        service: ServiceName("orders".into()),
        zone: "a".parse().unwrap(),
        slots: 2,
        is_leaving: false,
        slow_start_remaining: Duration::ZERO,
    }
}

fn present(record: ServerRecord) -> ServerChange {
    ServerChange::Present(record)
}

fn absent(id: &str) -> ServerChange {
    ServerChange::Absent(id.parse().unwrap())
}

/// How long lapsed entries are retained.
const LAPSED_RETENTION: Duration = Duration::from_millis(1_700);

fn ids(registry: &ServerRegistry) -> Vec<ServerId> {
    let mut ids: Vec<ServerId> =
        registry.eligible_servers().map(|record| record.id.clone()).collect();
    ids.sort();
    ids
}

fn registry_of(ids: &[&str], now: Instant) -> ServerRegistry {
    let mut registry = ServerRegistry::new(LAPSED_RETENTION);
    registry.mark_reachable(now);
    registry.apply_listing(ids.iter().map(|id| present(record(id, 1))).collect(), now);
    registry
}

#[test]
fn entry_removed_without_an_outage_is_dropped_at_once() {
    let now = Instant::now();
    let mut registry = registry_of(&["one", "two"], now);
    // A long poll without changes is not an outage.
    let later = now + Duration::from_secs(14);
    registry.mark_reachable(later);
    registry.apply_changes(vec![absent("one")], later);
    assert_eq!(ids(&registry), ["two".parse().unwrap()]);
}

#[test]
fn minority_of_entries_missing_after_an_outage_is_not_eligible() {
    let now = Instant::now();
    let mut registry = registry_of(&["one", "two", "three"], now);
    registry.mark_unreachable();
    let recovered_at = now + Duration::from_secs(8);
    registry.mark_reachable(recovered_at);
    registry.apply_changes(vec![absent("one")], recovered_at);
    assert_eq!(ids(&registry), ["three".parse().unwrap(), "two".parse().unwrap()]);
}

#[test]
fn majority_of_entries_missing_after_an_outage_is_retained_briefly() {
    let now = Instant::now();
    let mut registry = registry_of(&["one", "two"], now);
    registry.mark_unreachable();
    let recovered_at = now + Duration::from_secs(8);
    registry.mark_reachable(recovered_at);
    registry.apply_changes(vec![absent("one"), absent("two")], recovered_at);
    assert_eq!(registry.len(), 2);

    // One server renews its entry, the other does not.
    registry.apply_changes(vec![present(record("one", 9))], recovered_at + Duration::from_secs(1));
    let due = registry.next_expiry().expect("a lapsed entry is due");
    assert!(due < recovered_at + Duration::from_secs(2));
    assert!(!registry.remove_expired(due - Duration::from_millis(1)));
    assert!(registry.remove_expired(due));
    assert_eq!(ids(&registry), ["one".parse().unwrap()]);
}

#[test]
fn leaving_server_missing_after_an_outage_is_dropped_at_once() {
    let now = Instant::now();
    let mut registry = registry_of(&["one"], now);
    registry
        .apply_changes(vec![present(ServerRecord { is_leaving: true, ..record("one", 2) })], now);
    registry.mark_unreachable();
    let recovered_at = now + Duration::from_secs(5);
    registry.mark_reachable(recovered_at);
    registry.apply_changes(vec![absent("one")], recovered_at);
    assert!(registry.is_empty());
}

#[test]
fn late_heartbeat_does_not_revert_a_leaving_server() {
    let now = Instant::now();
    let mut registry = registry_of(&["one"], now);
    registry
        .apply_changes(vec![present(ServerRecord { is_leaving: true, ..record("one", 5) })], now);
    registry.apply_changes(vec![present(record("one", 4))], now);
    assert!(registry.eligible_servers().all(|record| record.is_leaving));
}

#[test]
fn newer_incarnation_replaces_the_older_and_not_the_reverse() {
    let now = Instant::now();
    let mut registry = registry_of(&["one"], now);
    let newer = ServerRecord { started_at_ms: 9_000, ..record("one", 1) };
    registry.apply_changes(vec![present(newer.clone())], now);
    assert_eq!(registry.eligible_servers().collect::<Vec<_>>(), [&newer]);
    registry.apply_changes(vec![present(record("one", 7))], now);
    assert_eq!(registry.eligible_servers().collect::<Vec<_>>(), [&newer]);
}

#[test]
fn listing_replaces_all_known_servers() {
    let now = Instant::now();
    let mut registry = registry_of(&["one", "two"], now);
    registry.apply_listing(vec![present(record("two", 2)), present(record("three", 1))], now);
    assert_eq!(ids(&registry), ["three".parse().unwrap(), "two".parse().unwrap()]);
}

#[test]
fn server_that_an_older_copy_lacks_is_eligible_until_its_retention_ends() {
    let now = Instant::now();
    let mut registry = registry_of(&["one", "two", "three"], now);
    let restored_at = now + Duration::from_secs(30);
    registry.mark_restored(restored_at);
    registry.apply_listing(vec![present(record("one", 1)), present(record("two", 1))], restored_at);
    assert_eq!(registry.eligible_servers().count(), 3, "a minority is missing");
    let expires_at = registry.next_expiry().expect("the missing server is retained");
    assert!(expires_at <= restored_at + Duration::from_secs(2));
    assert!(registry.remove_expired(expires_at));
    assert_eq!(registry.eligible_servers().count(), 2);
}

#[test]
fn older_copy_does_not_bring_a_removed_server_back() {
    let now = Instant::now();
    let mut registry = registry_of(&["one", "two"], now);
    registry.apply_changes(vec![absent("one")], now);
    let restored_at = now + Duration::from_secs(5);
    registry.mark_restored(restored_at);
    registry.apply_listing(vec![present(record("one", 1)), present(record("two", 1))], restored_at);
    assert_eq!(ids(&registry), ["two".parse().unwrap()]);
    // The server writes its entry again, so it runs.
    registry.apply_changes(vec![present(record("one", 2))], restored_at);
    assert_eq!(registry.eligible_servers().count(), 2);
}

#[test]
fn older_copy_does_not_make_a_leaving_server_available() {
    let now = Instant::now();
    let mut registry = registry_of(&["one"], now);
    let leaving = ServerRecord { is_leaving: true, ..record("one", 2) };
    registry.apply_changes(vec![present(leaving)], now);
    registry.mark_restored(now);
    registry.apply_listing(vec![present(record("one", 1))], now);
    assert!(registry.eligible_servers().all(|server| server.is_leaving));
}

/// Interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Guards against a list that no longer follows a server, since somebody else wrote one entry with a
/// number that is too large under its key. The server writes its entry again once.
#[test]
fn server_is_followed_again_after_an_entry_with_a_number_too_large() {
    for number in [1 << 40, 1 << 53, u64::MAX] {
        let too_large = [
            ServerRecord { sequence: number, ..record("one", 1) },
            ServerRecord { started_at_ms: number, ..record("one", 1) },
        ];
        for (odd, is_leaving) in too_large.into_iter().zip([false, true]) {
            let now = Instant::now();
            let mut registry = registry_of(&["one"], now);
            let odd = ServerRecord { is_leaving, ..odd };
            registry.apply_changes(vec![present(odd.clone())], now);
            assert_eq!(registry.eligible_servers().collect::<Vec<_>>(), [&odd]);
            registry.apply_changes(vec![present(record("one", 2))], now + HEARTBEAT);
            let own = record("one", 2);
            assert_eq!(registry.eligible_servers().collect::<Vec<_>>(), [&own]);
        }
    }
}

/// The same for numbers that a server could have: the server is followed from the time on in which it
/// would have corrected an entry that arrived late.
#[test]
fn server_is_followed_again_after_an_entry_that_it_did_not_write() {
    let address = "10.9.9.9:9".parse().unwrap();
    let odd_entries = [
        ServerRecord { sequence: 100, ..record("one", 1) },
        ServerRecord { started_at_ms: 2_000, ..record("one", 1) },
        ServerRecord { started_at_ms: 2_000, is_leaving: true, address, ..record("one", 1) },
    ];
    for odd in odd_entries {
        let now = Instant::now();
        let mut registry = registry_of(&["one"], now);
        registry.apply_changes(vec![present(odd.clone())], now);
        registry.apply_changes(vec![present(record("one", 2))], now + HEARTBEAT);
        let due = registry.next_expiry().expect("the late entry is due");
        let correction_time = LAPSED_RETENTION * if odd.is_leaving { 10 } else { 1 };
        assert_eq!(due, now + HEARTBEAT + correction_time);
        assert!(!registry.remove_expired(due - Duration::from_millis(1)));
        assert_eq!(registry.eligible_servers().collect::<Vec<_>>(), [&odd]);
        assert!(registry.remove_expired(due));
        assert_eq!(registry.eligible_servers().collect::<Vec<_>>(), [&record("one", 2)]);
        // It is followed from then on.
        let leaving = ServerRecord { is_leaving: true, ..record("one", 3) };
        registry.apply_changes(vec![present(leaving)], due);
        assert!(registry.eligible_servers().all(|server| server.is_leaving));
        assert_eq!(registry.next_expiry(), None);
    }
}

/// While the list is unreachable, a server can't correct a late entry either.
#[test]
fn late_entry_counts_only_while_the_list_is_reachable() {
    let now = Instant::now();
    let mut registry = registry_of(&["one"], now);
    let leaving = ServerRecord { is_leaving: true, ..record("one", 20) };
    registry.apply_changes(vec![present(leaving)], now);
    registry.apply_changes(vec![present(record("one", 19))], now);
    registry.mark_unreachable();
    let mut due = now;
    for _ in 0..5 {
        due = registry.next_expiry().expect("the late entry is due");
        assert!(!registry.remove_expired(due), "the list is unreachable");
        assert!(registry.eligible_servers().all(|server| server.is_leaving));
    }
    registry.mark_reachable(due);
    let corrected = ServerRecord { is_leaving: true, ..record("one", 21) };
    registry.apply_changes(vec![present(corrected)], due + HEARTBEAT);
    assert_eq!(registry.next_expiry(), None);
}

/// Late entries never bring back a server that is leaving while it renews its entry, in whatever
/// order they arrive.
#[test]
fn late_entries_of_a_server_that_renews_its_entry_change_nothing() {
    let mut now = Instant::now();
    let mut registry = registry_of(&["one"], now);
    let leaving = |sequence| ServerRecord { is_leaving: true, ..record("one", sequence) };
    for sequence in 20..30 {
        registry.apply_changes(vec![present(leaving(sequence))], now);
        for late in 2..8 {
            registry.apply_changes(vec![present(record("one", sequence + late - 20))], now);
        }
        registry.remove_expired(now);
        now += HEARTBEAT;
        assert!(registry.eligible_servers().all(|server| server.is_leaving));
    }
    // A single late entry changes nothing later on either, received any number of times.
    for _ in 0..5 {
        now += HEARTBEAT;
        registry.apply_changes(vec![present(record("one", 12))], now);
        registry.remove_expired(now);
        assert!(registry.eligible_servers().all(|server| server.is_leaving));
    }
}
