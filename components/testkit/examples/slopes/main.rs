//! Measures how the control costs of a daemon grow with the size of the fleet, and extrapolates
//! them linearly to the planned size.
//!
//! `cargo build --release && cargo run --release -p testkit --example slopes` measures everything
//! and writes the figures of the capacity page. With the argument `page`, it rewrites the page from
//! the stored points. With the name of a group of series, it only measures and prints that group.

mod measure;
mod page;

use std::path::Path;

use serde::{Deserialize, Serialize};
use testkit::LinearFit;

/// Folder of the plots, the measured points and the planned sizes.
const OUTPUT_FOLDER: &str = "docs/capacity";

/// Measured points of one dependency.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SlopeSeries {
    /// Name of the quantity that is varied.
    pub(crate) cause: Box<str>,
    /// Name of the quantity that is measured, with its unit.
    pub(crate) effect: Box<str>,
    pub(crate) points: Vec<(f64, f64)>,
}

impl SlopeSeries {
    pub(crate) fn fit(&self) -> LinearFit {
        LinearFit::least_squares(&self.points)
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
        let text = serde_json::to_string_pretty(&all_series).expect("points can be serialized");
        std::fs::write(&measured_path, text + "\n")
            .expect("this example runs in the root of the repository");
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
    let text =
        std::fs::read_to_string(path).expect("this example runs in the root of the repository");
    serde_json::from_str(&text).expect("the file is valid JSON with the expected fields")
}
