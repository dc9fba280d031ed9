//! Measures how control costs grow, and works out the planned size from the slopes.
//!
//! `cargo build --release && cargo run --release -p testkit --example slopes`

mod measure;
mod page;

use std::path::Path;

use testkit::LineFit;

/// Where plots are written.
const PLOT_FOLDER: &str = "docs/capacity";

/// One measured dependency.
pub(crate) struct SlopeSeries {
    /// What grows.
    pub(crate) cause: &'static str,
    /// What is measured, with its unit.
    pub(crate) effect: &'static str,
    pub(crate) points: Vec<(f64, f64)>,
}

impl SlopeSeries {
    pub(crate) fn fit(&self) -> LineFit {
        LineFit::through(&self.points)
    }
}

#[tokio::main]
async fn main() {
    let only = std::env::args().nth(1);
    let mut all = Vec::new();
    for (name, series) in measure::all(only.as_deref()).await {
        for one in series {
            let fit = one.fit();
            println!(
                "{name}: {} = {:.6} + {:.9} x {} (worst residual {:.6}) {:?}",
                one.effect, fit.intercept, fit.slope, one.cause, fit.worst_residual, one.points
            );
            page::plot(PLOT_FOLDER, &one);
            all.push(one);
        }
    }
    if only.is_none() {
        let planned = std::fs::read_to_string("docs/capacity/planned.json")
            .expect("run this in the project's folder");
        let planned = serde_json::from_str(&planned).expect("the planned sizes are JSON");
        page::write(Path::new("docs/CAPACITY.md"), &all, &planned);
    }
}
