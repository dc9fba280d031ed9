//! SVG plots that compare policies.

use std::path::Path;

use derive_more::{Display, Error};
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, IntoDrawingArea, PathElement, RED, SVGBackend, WHITE,
};
use plotters::style::Color;

use crate::outcome::{LabSummary, MeanDeviation};

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// A plot could not be drawn.
#[derive(Debug, Display, Error)]
#[display("can't draw plot {path}: {reason}")]
pub struct PlotFault {
    path: Box<str>,
    reason: Box<str>,
}

/// Draws the share of callers served within the target for each policy of one scenario, over the
/// whole run and in the worst windows. Error bars show one standard deviation.
pub fn draw_policies(path: &Path, summaries: &[LabSummary]) -> Result<(), PlotFault> {
    draw(path, summaries).map_err(|error| PlotFault {
        path: path.display().to_string().into(),
        reason: error.to_string().into(),
    })
}

fn draw(path: &Path, summaries: &[LabSummary]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let scenario = summaries.first().map_or("", |summary| &summary.scenario);
    let x_end = summaries.len() as f64 - 0.5;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{scenario}: callers served within the target latency"),
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(-0.5..x_end, 0.0..1.0)?;
    let policy_label = |x: &f64| {
        let is_index = (x - x.round()).abs() < 0.01;
        let index = is_index.then(|| x.round() as usize);
        let summary = index.and_then(|index| summaries.get(index));
        summary.map_or_else(String::new, |summary| summary.policy.to_owned())
    };
    chart
        .configure_mesh()
        .x_labels(2 * summaries.len() + 1)
        .x_label_formatter(&policy_label)
        .y_desc("share of callers")
        .draw()?;
    let whole_run: Vec<MeanDeviation> =
        summaries.iter().map(|summary| summary.within_target).collect();
    let worst_windows: Vec<MeanDeviation> =
        summaries.iter().map(|summary| summary.worst_windows).collect();
    let series =
        [("whole run", BLUE, whole_run, -0.08), ("two worst windows", RED, worst_windows, 0.08)];
    for (label, color, values, shift) in series {
        let points: Vec<(f64, MeanDeviation)> = values
            .into_iter()
            .enumerate()
            .map(|(index, value)| (index as f64 + shift, value))
            .collect();
        chart.draw_series(points.iter().map(|(x, value)| {
            let error_bar = [(*x, value.mean - value.std_dev), (*x, value.mean + value.std_dev)];
            PathElement::new(error_bar, color.stroke_width(2))
        }))?;
        chart
            .draw_series(
                points.iter().map(|(x, value)| Circle::new((*x, value.mean), 4, color.filled())),
            )?
            .label(label)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
