//! Reports on faulty settings, as operators see them, and the examples.

use std::path::{Path, PathBuf};

use miette::{GraphicalReportHandler, GraphicalTheme};
use proptest::prelude::*;
use settings::load_settings;
use testkit::property_test_config;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Writes settings into a file of their own and reads them; the report has the file's short name.
fn report(name: &str, text: &str) -> String {
    let folder = std::env::temp_dir().join(format!("mustardrail-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the temporary folder can be written");
    let fault = load_settings(&path).expect_err("the settings are faulty");
    let mut text = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::none())
        // Wide enough that the length of the temporary folder moves no line break.
        .with_width(10_000)
        .render_report(&mut text, &fault)
        .expect("the report can be rendered");
    text.replace(&format!("{}/", folder.display()), "")
}

fn valid() -> String {
    std::fs::read_to_string(examples().join("samahan/settings.json")).expect("the example exists")
}

#[test]
fn examples_can_be_used() {
    for user in ["samahan", "kilang-data"] {
        load_settings(&examples().join(user).join("settings.json")).expect("the example is valid");
    }
}

#[test]
fn unknown_field_is_named_with_its_line() {
    let text = valid().replace("\"fleet_slots\"", "\"fleet_slot\"");
    insta::assert_snapshot!(report("unknown.json", &text));
}

#[test]
fn every_fault_is_listed() {
    let text = valid()
        .replace("\"call_ms\": 1000", "\"call_ms\": 1")
        .replace("\"callers\": \"10.0.0.11:8080\"", "\"callers\": \"somewhere\"")
        .replace("\"log_level\": \"info\"", "\"log_level\": 7");
    insta::assert_snapshot!(report("many.json", &text));
}

#[test]
fn clash_of_ports_names_both() {
    let text = valid().replace("10.0.0.11:9090", "10.0.0.11:8080");
    insta::assert_snapshot!(report("ports.json", &text));
}

#[test]
fn broken_json_is_shown_where_it_breaks() {
    let text = valid().replace("\"zone\":", "\"zone\"");
    insta::assert_snapshot!(report("broken.json", &text));
}

proptest! {
    #![proptest_config(property_test_config(300))]

    /// Whatever stands in the file, the answer is settings or a report, never a panic.
    #[test]
    fn any_change_of_a_valid_file_gets_an_answer(at in 0_usize..900, with in "[\\PC]{0,6}") {
        let mut text: Vec<char> = valid().chars().collect();
        let at = at.min(text.len() - 1);
        text.splice(at..at + 1, with.chars());
        let text: String = text.into_iter().collect();
        let path = std::env::temp_dir().join(format!("mustardrail-any-{}.json", std::process::id()));
        std::fs::write(&path, text).expect("the temporary folder can be written");
        if let Err(fault) = load_settings(&path) {
            prop_assert!(!fault.to_string().is_empty());
        }
    }
}
