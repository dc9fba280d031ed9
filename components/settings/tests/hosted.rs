//! Checks the settings of a hosted entry VM.

use std::path::PathBuf;

use serde_json::{Value, json};
use settings::{HostedSettings, load_hosted_settings};

fn hosted_settings() -> Value {
    json!({
        "vm": "entry-1", "zone": "zone-a", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
        "store": "127.0.0.1:3", "relay": "127.0.0.1:4", "relays": ["127.0.0.1:4"],
        "grace_s": 6, "contact_s": 3, "retries": { "ratio": 0.2, "slack": 58, "window_s": 10 },
    })
}

fn load(name: &str, settings: &Value) -> Result<HostedSettings, String> {
    let folder = std::env::temp_dir().join(format!("mustardrail-hosted-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let path: PathBuf = folder.join(name);
    std::fs::write(&path, settings.to_string()).expect("the temporary folder can be written");
    load_hosted_settings(&path).map_err(|error| format!("{:?}", miette::Report::new(error)))
}

#[test]
fn price_of_bytes_between_zones_has_a_default() {
    let settings = load("default.json", &hosted_settings()).expect("the settings are valid");
    assert_eq!(settings.cross_zone_requests_per_gb, 9_000.0);
    let mut free_transfers = hosted_settings();
    free_transfers["cross_zone_requests_per_gb"] = json!(0);
    let settings = load("free.json", &free_transfers).expect("the settings are valid");
    assert_eq!(settings.cross_zone_requests_per_gb, 0.0);
}

#[test]
fn invalid_price_of_bytes_is_named() {
    let mut invalid = hosted_settings();
    invalid["cross_zone_requests_per_gb"] = json!(-1);
    let report = load("invalid.json", &invalid).expect_err("the price is negative");
    assert!(report.contains("cross_zone_requests_per_gb"), "{report}");
}

#[test]
fn bounds_that_contradict_each_other_end_the_start() {
    let mut contradictory = hosted_settings();
    contradictory["contact_s"] = json!(10);
    contradictory["recovery_s"] = json!(2);
    let report = load("bounds.json", &contradictory).expect_err("the bounds can't be met");
    assert!(report.contains("recovery_s") && report.contains("contact_s"), "{report}");
}

#[test]
fn quotas_are_optional_and_checked() {
    let mut values = hosted_settings();
    load("no-quotas.json", &values).expect("the settings are valid");
    values["quotas"] = json!({ "over": 0.1, "slack": 20, "window_s": 5 });
    let settings = load("quotas.json", &values).expect("the settings are valid");
    let quotas = settings.quotas;
    assert_eq!((quotas.over, quotas.slack, quotas.window_s), (0.1, 20.0, 5.0));
    values["quotas"] = json!({ "over": -1, "window_s": 0 });
    let report = load("invalid-quotas.json", &values).expect_err("both are out of range");
    assert!(report.contains("quotas.over") && report.contains("quotas.window_s"), "{report}");
}

#[test]
fn bound_of_cold_servers_is_optional_and_checked() {
    let settings = load("no-cold.json", &hosted_settings()).expect("the settings are valid");
    assert_eq!(settings.cold_servers, None);
    let mut bounded = hosted_settings();
    bounded["cold_servers"] = json!({ "over": 1.5, "slack": 8 });
    let settings = load("cold.json", &bounded).expect("the settings are valid");
    let bound = settings.cold_servers.expect("the bound is set");
    assert_eq!((bound.over, bound.slack), (1.5, 8.0));
    for (field, value) in [("over", json!(0)), ("slack", json!(-1)), ("slack", Value::Null)] {
        let mut invalid = bounded.clone();
        invalid["cold_servers"][field] = value;
        let report = load("invalid-cold.json", &invalid).expect_err("the bound is invalid");
        assert!(report.contains(&format!("cold_servers.{field}")), "{report}");
    }
}

#[test]
fn quarantine_has_defaults_and_is_checked() {
    let settings = load("no-quarantine.json", &hosted_settings()).expect("the settings are valid");
    assert_eq!((settings.quarantine.crashes, settings.quarantine.time_s), (3, 600.0));
    let mut invalid = hosted_settings();
    invalid["quarantine"] = json!({ "crashes": 0 });
    let report = load("quarantine.json", &invalid).expect_err("no crash confirms nothing");
    assert!(report.contains("quarantine.crashes"), "{report}");
}

/// Evacuations travel with configurations, so only a shorter bound matters.
#[test]
fn evacuation_bound_shortens_the_propagation_and_never_extends_it() {
    let timing = |evacuate_s: Option<f64>| {
        let mut settings = hosted_settings();
        settings["config_apply_s"] = json!(2.5);
        settings["drain_s"] = json!(2.5);
        if let Some(evacuate_s) = evacuate_s {
            settings["evacuate_s"] = json!(evacuate_s);
        }
        let settings = load("evacuation.json", &settings).expect("the settings are valid");
        settings.timing().expect("the bounds can be met")
    };
    let without = timing(None);
    assert_eq!(timing(Some(5.0)), without);
    assert!(timing(Some(1.0)).direct_read_age < without.direct_read_age.mul_f64(0.5));
}
