//! Draws the plots and writes the figures of the capacity page.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;
use serde_json::Value;

use crate::SlopeSeries;

/// Lines of the page around the generated figures.
const FIGURES_BEGIN: &str = "<!-- figures: written by the slopes example -->";
const FIGURES_END: &str = "<!-- end of figures -->";

/// Key of the requests per core second, which the overhead example measures.
const REQUESTS_PER_CORE_KEY: &str = "requests_per_core_second";

/// Draws the points of a series and the fitted line.
pub(crate) fn draw_plot(folder: &str, series: &SlopeSeries) {
    let name: String = format!("{} by {}", series.effect, series.cause)
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '-' })
        .collect();
    let path = format!("{folder}/{name}.svg");
    let area = SVGBackend::new(&path, (480, 300)).into_drawing_area();
    area.fill(&WHITE).expect("the plot can be drawn");
    let max_x = series.points.iter().map(|(x, _)| *x).fold(0.0, f64::max) * 1.05;
    let max_y = series.points.iter().map(|(_, y)| *y).fold(0.0, f64::max) * 1.2 + 1e-9;
    let mut chart = ChartBuilder::on(&area)
        .caption(&series.effect, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)
        .expect("the plot can be drawn");
    chart.configure_mesh().x_desc(&*series.cause).draw().expect("the plot can be drawn");
    let fit = series.fit();
    chart
        .draw_series(LineSeries::new(
            [(0.0, fit.value_at(0.0)), (max_x, fit.value_at(max_x))],
            &BLUE,
        ))
        .expect("the plot can be drawn");
    chart
        .draw_series(series.points.iter().map(|point| Circle::new(*point, 4, RED.filled())))
        .expect("the plot can be drawn");
    area.present().expect("the plot can be written");
}

/// Replaces the generated figures of the page.
pub(crate) fn replace_figures(page: &Path, all_series: &[SlopeSeries], planned: &Value) {
    let text = std::fs::read_to_string(page).expect("the page exists");
    let (head, rest) =
        text.split_once(FIGURES_BEGIN).expect("the page has the line that starts the figures");
    let (_, tail) =
        rest.split_once(FIGURES_END).expect("the page has the line that ends the figures");
    let figures = render_figures(all_series, planned);
    std::fs::write(page, format!("{head}{FIGURES_BEGIN}\n\n{figures}\n{FIGURES_END}{tail}"))
        .expect("the page can be written");
}

fn render_figures(all_series: &[SlopeSeries], planned: &Value) -> String {
    let mut text = String::from(
        "### Measured slopes\n\n\
         | effect | cause | intercept | slope | maximum residual | points |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for series in all_series {
        let fit = series.fit();
        let points: Vec<String> =
            series.points.iter().map(|(x, y)| format!("({x}, {y:.3})")).collect();
        writeln!(
            text,
            "| {} | {} | {:.4} | {:.6} | {:.4} | {} |",
            series.effect,
            series.cause,
            fit.intercept,
            fit.slope,
            fit.max_residual,
            points.join(" ")
        )
        .expect("text can be written");
    }
    text.push_str(&render_planned(all_series, planned));
    text
}

struct CapacityPlan<'a> {
    all_series: &'a [SlopeSeries],
    planned: &'a Value,
}

impl CapacityPlan<'_> {
    fn planned_value(&self, name: &str) -> f64 {
        self.planned[name]
            .as_f64()
            .unwrap_or_else(|| panic!("planned.json has no number \"{name}\""))
    }

    fn slope(&self, effect: &str) -> f64 {
        self.fit(effect).slope
    }

    fn fit(&self, effect: &str) -> testkit::LinearFit {
        let series = self.all_series.iter().find(|series| *series.effect == *effect);
        series.unwrap_or_else(|| panic!("measured.json has no series \"{effect}\"")).fit()
    }

    /// Returns the control costs of one entry VM in a mesh of `vms` entry VMs: percentage of a
    /// core, peer bytes per second, platform bytes per second, and resident memory in MB. `sizes`
    /// are workers, services, accounts, configuration changes per second and list changes per
    /// second.
    fn control_cost(&self, vms: f64, sizes: [f64; 5]) -> [f64; 4] {
        let [workers, services, accounts, changes, list_changes] = sizes;
        // The slopes "with a list change a second" were measured at that rate, so they are
        // multiplied by the rate of list changes.
        let cpu_fit = self.fit("control cpu, % of a core");
        let cpu = cpu_fit.value_at(vms)
            + self.slope("control cpu with a list change a second, % of a core")
                * workers
                * list_changes
            + self.slope("control cpu, % of a core, by services") * services
            + self.slope("control cpu, % of a core, by accounts") * accounts
            + self.slope("control cpu, % of a core, by changes") * changes;
        let peer_bytes = self.fit("peer bytes/s").value_at(vms)
            + self.slope("peer bytes/s by changes") * changes;
        let platform_bytes = self.fit("platform bytes/s").value_at(vms)
            + self.slope("platform bytes/s with a list change a second") * workers * list_changes
            + self.slope("platform bytes/s by changes") * changes;
        let resident_mb = self.fit("resident MB").value_at(vms)
            + self.slope("resident MB with that list") * workers
            + self.slope("resident MB by services") * services
            + self.slope("resident MB by accounts") * accounts;
        [cpu, peer_bytes, platform_bytes, resident_mb]
    }
}

fn render_planned(all_series: &[SlopeSeries], planned: &Value) -> String {
    let plan = CapacityPlan { all_series, planned };
    let requests_per_core_second = plan.planned_value(REQUESTS_PER_CORE_KEY);
    let requests_per_vm = requests_per_core_second
        * plan.planned_value("entry_vm_cores")
        * plan.planned_value("entry_vm_load");
    let vms = (plan.planned_value("calls_per_s") / requests_per_vm).ceil();
    let vms_per_region = (vms / plan.planned_value("regions")).ceil();
    let changes = plan.planned_value("changes_per_day") / 86_400.0;
    let [workers, services, accounts] =
        ["workers", "services", "accounts"].map(|name| plan.planned_value(name));
    let replacements_per_s = plan.planned_value("replacements_per_day") / 86_400.0;
    let regions = plan.planned_value("regions");
    let rows = [
        ("today, 15 entry VMs, 35 workers", 15.0, [35.0, 4.0, 1.0, 0.001, 0.001]),
        (
            "planned, one mesh and list over all regions",
            vms,
            [workers, services, accounts, changes, replacements_per_s],
        ),
        (
            "planned, mesh within a region, one list",
            vms_per_region,
            [workers, services, accounts, changes, replacements_per_s],
        ),
        (
            "planned, mesh and list within a region",
            vms_per_region,
            [workers / regions, services, accounts, changes, replacements_per_s / regions],
        ),
    ];
    let mut text = format!(
        "\n### Entry VMs\n\n{requests_per_core_second:.0} requests per core second (overhead \
         example), {:.0} cores at {:.0}% load: {requests_per_vm:.0} requests/s per entry VM, so \
         {vms} entry VMs for {:.0} calls/s, {vms_per_region} in each of {:.0} regions.\n\n\
         ### Control of one entry VM\n\n\
         | size | entry VMs in the mesh | % of a core (limit 1.1) | peer bytes/s | platform \
         bytes/s | total bytes/s (limit 5,000) | MB (limit 128) |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
        plan.planned_value("entry_vm_cores"),
        plan.planned_value("entry_vm_load") * 100.0,
        plan.planned_value("calls_per_s"),
        plan.planned_value("regions"),
    );
    for (name, mesh_vms, sizes) in rows {
        let [cpu, peer_bytes, platform_bytes, resident_mb] = plan.control_cost(mesh_vms, sizes);
        let total_bytes = peer_bytes + platform_bytes;
        writeln!(
            text,
            "| {name} | {mesh_vms:.0} | {cpu:.2} | {peer_bytes:.0} | {platform_bytes:.0} \
             | {total_bytes:.0} | {resident_mb:.1} |"
        )
        .expect("text can be written");
    }
    text.push_str(&render_table_load(&plan, vms));
    text
}

fn render_table_load(plan: &CapacityPlan, vms: f64) -> String {
    let read_fit = plan.fit("table reads/s");
    let commit_fit = plan.fit("table commits/s");
    let commits_per_order = plan.slope("table commits/s by orders");
    let mut text = String::from(
        "\n### The platform's table\n\n\
         | size | reads/s (limit 2,000) | commits/s without orders (limit 300) |\n\
         | --- | --- | --- |\n",
    );
    for (name, count) in [("today, 15 entry VMs", 15.0), ("planned, one table for all", vms)] {
        writeln!(
            text,
            "| {name} | {:.1} | {:.2} |",
            read_fit.value_at(count) * count,
            commit_fit.value_at(count) * count
        )
        .expect("text can be written");
    }
    writeln!(
        text,
        "\nOne daemon needs {commits_per_order:.3} commits per order with an idempotency key at \
         the measured rates; the claim batcher caps the fleet at 120 commits/s of at most 64 rows."
    )
    .expect("text can be written");
    text
}
