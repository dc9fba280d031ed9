//! Measures how control costs grow, and works out the planned size from the slopes.
//!
//! `cargo build --release && cargo run --release -p testkit --example slopes` measures all, and
//! `… --example slopes page` only works out the page again from what was measured.

mod measure;
mod page;

use std::path::Path;

use serde::{Deserialize, Serialize};
use testkit::LineFit;

/// Where plots and measured points are written.
const OUTPUT_FOLDER: &str = "docs/capacity";

/// One measured dependency.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SlopeSeries {
    /// What grows.
    pub(crate) cause: Box<str>,
    /// What is measured, with its unit.
    pub(crate) effect: Box<str>,
    pub(crate) points: Vec<(f64, f64)>,
}

impl SlopeSeries {
    pub(crate) fn fit(&self) -> LineFit {
        LineFit::through(&self.points)
    }
}

#[tokio::main]
async fn main() {
    let selection = std::env::args().nth(1);
    let measured_path = format!("{OUTPUT_FOLDER}/measured.json");
    if selection.as_deref() != Some("page") {
        let all_series = measure::measure_all(selection.as_deref()).await;
        for series in &all_series {
            println!("{}: {:?} {:?}", series.effect, series.fit(), series.points);
        }
        if selection.is_some() {
            return;
        }
        let text = serde_json::to_string_pretty(&all_series).expect("points can be written");
        std::fs::write(&measured_path, text + "\n").expect("run this in the project's folder");
    }
    let all_series: Vec<SlopeSeries> = read_json(&measured_path);
    for series in &all_series {
        page::draw_plot(OUTPUT_FOLDER, series);
    }
    page::replace_figures(
        Path::new("docs/CAPACITY.md"),
        &all_series,
        &read_json(&format!("{OUTPUT_FOLDER}/planned.json")),
    );
}

fn read_json<T: for<'de> Deserialize<'de>>(path: &str) -> T {
    let text = std::fs::read_to_string(path).expect("run this in the project's folder");
    serde_json::from_str(&text).expect("the file is JSON of the expected shape")
}
