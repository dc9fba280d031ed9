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
const FOLDER: &str = "docs/capacity";

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
        LineFit::least_squares(&self.points)
    }
}

#[tokio::main]
async fn main() {
    let word = std::env::args().nth(1);
    let measured = format!("{FOLDER}/measured.json");
    if word.as_deref() != Some("page") {
        let all = measure::all(word.as_deref()).await;
        for series in &all {
            println!("{}: {:?} {:?}", series.effect, series.fit(), series.points);
        }
        if word.is_some() {
            return;
        }
        let text = serde_json::to_string_pretty(&all).expect("points can be written");
        std::fs::write(&measured, text + "\n").expect("run this in the project's folder");
    }
    let all: Vec<SlopeSeries> = read(&measured);
    for series in &all {
        page::plot(FOLDER, series);
    }
    page::write(Path::new("docs/CAPACITY.md"), &all, &read(&format!("{FOLDER}/planned.json")));
}

fn read<T: for<'de> Deserialize<'de>>(path: &str) -> T {
    let text = std::fs::read_to_string(path).expect("run this in the project's folder");
    serde_json::from_str(&text).expect("the file is JSON of the expected shape")
}
