//! Checks the error reports for invalid settings as operators see them, and that the example
//! settings load.

use std::path::{Path, PathBuf};

use miette::{GraphicalReportHandler, GraphicalTheme};
use proptest::prelude::*;
use settings::load_settings;
use testkit::property_test_config;

fn examples_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Loads invalid settings from a temporary file and returns the error report, in which the file is
/// named without its folder.
fn render_load_error(name: &str, text: &str) -> String {
    let folder = std::env::temp_dir().join(format!("mustardrail-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the temporary folder can be written");
    let error = load_settings(&path).expect_err("the settings are invalid");
    let mut text = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::none())
        // Wide enough that the length of the temporary folder's path doesn't cause line breaks.
        .with_width(10_000)
        .render_report(&mut text, &error)
        .expect("the report can be rendered");
    text.replace(&format!("{}/", folder.display()), "")
}

fn valid_settings() -> String {
    std::fs::read_to_string(examples_folder().join("samahan/settings.json"))
        .expect("the example exists")
}

#[test]
fn example_settings_are_valid() {
    for example in ["samahan", "kilang-data"] {
        load_settings(&examples_folder().join(example).join("settings.json"))
            .expect("the example is valid");
    }
}

#[test]
fn unknown_field_is_reported_with_its_line() {
    let text = valid_settings().replace("\"fleet_slots\"", "\"fleet_slot\"");
    insta::assert_snapshot!(render_load_error("unknown.json", &text));
}

#[test]
fn every_invalid_field_is_reported() {
    let text = valid_settings()
        .replace("\"call_ms\": 1000", "\"call_ms\": 1")
        .replace("\"callers\": \"10.0.0.11:8080\"", "\"callers\": \"somewhere\"")
        .replace("\"log_level\": \"info\"", "\"log_level\": 7");
    insta::assert_snapshot!(render_load_error("many.json", &text));
}

#[test]
fn port_conflict_names_both_fields() {
    let text = valid_settings().replace("10.0.0.11:9090", "10.0.0.11:8080");
    insta::assert_snapshot!(render_load_error("ports.json", &text));
}

#[test]
fn malformed_json_is_reported_with_its_position() {
    let text = valid_settings().replace("\"zone\":", "\"zone\"");
    insta::assert_snapshot!(render_load_error("broken.json", &text));
}

proptest! {
    #![proptest_config(property_test_config(300))]

    /// Replaces one character of a valid file with up to six arbitrary ones. Loading must succeed
    /// or return an error with a message, and never panic.
    #[test]
    fn modified_valid_file_never_panics(position in 0_usize..900, replacement in "[\\PC]{0,6}") {
        let mut text: Vec<char> = valid_settings().chars().collect();
        let position = position.min(text.len() - 1);
        text.splice(position..position + 1, replacement.chars());
        let text: String = text.into_iter().collect();
        let name = format!("mustardrail-any-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the temporary folder can be written");
        if let Err(error) = load_settings(&path) {
            prop_assert!(!error.to_string().is_empty());
        }
    }
}
