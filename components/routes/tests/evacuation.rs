//! Evacuated zones with versions that arrive late, changes in quick succession and a store that
//! returns from an older copy.

use std::time::Duration;

use model::{StoreVersion, ZoneName};
use routes::{EvacuatedZones, EvacuationChange};
use tokio::time::Instant;

/// How long a zone that an older copy lacks stays evacuated.
const RETENTION: Duration = Duration::from_millis(1_700);

fn zone(name: &str) -> ZoneName {
    name.parse().expect("the name is valid")
}

fn zones(names: &[&str]) -> Vec<ZoneName> {
    names.iter().map(|name| zone(name)).collect()
}

fn started(name: &str) -> EvacuationChange {
    EvacuationChange::Started(zone(name))
}

fn ended(name: &str) -> EvacuationChange {
    EvacuationChange::Ended(zone(name))
}

fn version(number: u64) -> StoreVersion {
    StoreVersion::without_era(number)
}

fn in_era(era: u64, number: u64) -> StoreVersion {
    StoreVersion { era, number }
}

/// Returns a state that was listed at version 10.
fn listed(names: &[&str], now: Instant) -> EvacuatedZones {
    let mut state = EvacuatedZones::new(RETENTION);
    assert!(state.apply_listing(version(10), &zones(names), now));
    state
}

#[test]
fn listing_replaces_and_changes_amend() {
    let now = Instant::now();
    let mut state = listed(&["a"], now);
    assert!(state.apply_changes(version(11), [started("b"), started("c"), ended("a")]));
    assert_eq!(state.zones(), zones(&["b", "c"]));
    assert!(state.apply_listing(version(12), &zones(&["a"]), now));
    assert_eq!(state.zones(), zones(&["a"]));
    assert_eq!(state.version(), Some(version(12)));
}

#[test]
fn changes_before_the_first_listing_are_not_applied() {
    let mut state = EvacuatedZones::new(RETENTION);
    assert!(!state.apply_changes(version(5), [started("a")]));
    assert_eq!(state.version(), None);
}

#[test]
fn older_version_changes_nothing() {
    let now = Instant::now();
    let mut state = listed(&["a"], now);
    assert!(!state.apply_listing(version(9), &zones(&["b"]), now));
    assert!(!state.apply_changes(version(9), [ended("a")]));
    assert_eq!(state.zones(), zones(&["a"]));
    assert_eq!(state.version(), Some(version(10)));
}

#[test]
fn evacuation_that_is_set_and_ended_repeatedly_has_its_last_state() {
    let mut state = listed(&[], Instant::now());
    assert!(state.apply_changes(version(13), [started("a"), ended("a"), started("a")]));
    assert_eq!(state.zones(), zones(&["a"]));
    assert!(state.apply_changes(version(15), [started("a"), ended("a")]));
    assert!(state.zones().is_empty());
    // The same response again, from another source.
    assert!(state.apply_changes(version(15), [started("a"), ended("a")]));
    assert!(state.zones().is_empty());
}

#[test]
fn zone_that_an_older_copy_lacks_stays_evacuated_for_the_retention() {
    let now = Instant::now();
    let mut state = listed(&["a", "b"], now);
    assert!(state.apply_listing(in_era(1, 4), &zones(&["b"]), now));
    assert_eq!(state.zones(), zones(&["a", "b"]));
    assert_eq!(state.listed_zones(), zones(&["b"]));
    assert_eq!(state.next_expiry(), Some(now + RETENTION));
    // Another listing of the copy doesn't end the retention.
    assert!(state.apply_listing(in_era(1, 4), &zones(&["b"]), now + RETENTION / 2));
    assert_eq!(state.zones(), zones(&["a", "b"]));
    assert!(!state.remove_expired(now + RETENTION / 2));
    assert!(state.remove_expired(now + RETENTION));
    assert_eq!(state.zones(), zones(&["b"]));
    assert_eq!(state.next_expiry(), None);
}

#[test]
fn evacuation_that_is_written_again_after_the_return_stays() {
    let now = Instant::now();
    let mut state = listed(&["a"], now);
    assert!(state.apply_listing(in_era(1, 4), &[], now));
    assert!(state.apply_changes(in_era(1, 5), [started("a")]));
    assert!(!state.remove_expired(now + RETENTION));
    assert_eq!(state.zones(), zones(&["a"]));
}

#[test]
fn evacuation_that_ends_after_the_return_ends_at_once() {
    let now = Instant::now();
    let mut state = listed(&["a"], now);
    assert!(state.apply_listing(in_era(1, 4), &[], now));
    assert!(state.apply_changes(in_era(1, 5), [ended("a")]));
    assert!(state.zones().is_empty());
}

#[test]
fn listing_and_changes_of_an_earlier_era_are_late() {
    let now = Instant::now();
    let mut state = listed(&["a"], now);
    assert!(state.apply_listing(in_era(1, 4), &zones(&["a"]), now));
    assert!(!state.apply_listing(version(90), &[], now));
    assert!(!state.apply_changes(version(91), [ended("a")]));
    assert_eq!(state.zones(), zones(&["a"]));
}

/// Changes of a new era amend its listing, which hasn't arrived yet.
#[test]
fn changes_of_a_later_era_wait_for_its_listing() {
    let mut state = listed(&["a"], Instant::now());
    assert!(!state.apply_changes(in_era(1, 5), [ended("a")]));
    assert_eq!(state.zones(), zones(&["a"]));
}

#[test]
fn second_return_of_a_copy_extends_the_retention() {
    let now = Instant::now();
    let mut state = listed(&["a"], now);
    assert!(state.apply_listing(in_era(1, 4), &[], now));
    let later = now + RETENTION / 2;
    assert!(state.apply_listing(in_era(2, 4), &[], later));
    assert!(!state.remove_expired(now + RETENTION));
    assert!(state.remove_expired(later + RETENTION));
}
