//! Order and encoding of versions of the store.

use model::StoreVersion;

#[test]
fn version_of_a_later_era_is_greater() {
    let in_era = |era, number| StoreVersion { era, number };
    assert!(in_era(1, 5) > in_era(0, 500));
    assert!(in_era(1, 6) > in_era(1, 5));
}

/// Daemons that know no eras send and expect a number.
#[test]
fn version_without_era_is_encoded_as_a_number() {
    let text = |version: StoreVersion| serde_json::to_string(&version).expect("it can be encoded");
    assert_eq!(text(StoreVersion::without_era(7)), "7");
    for version in [StoreVersion::without_era(7), StoreVersion { era: 2, number: 7 }] {
        let decoded: StoreVersion = serde_json::from_str(&text(version)).expect("it is valid");
        assert_eq!(decoded, version);
    }
}
