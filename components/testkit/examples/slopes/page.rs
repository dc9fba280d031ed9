//! Plots, and the figures of the capacity page.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;
use serde_json::Value;

use crate::SlopeSeries;

/// The figures stand between these lines of the page.
const BEGIN: &str = "<!-- figures: written by the slopes example -->";
const END: &str = "<!-- end of figures -->";

/// Requests for each core second, as measured by the overhead example.
const REQUESTS_PER_CORE_KEY: &str = "requests_per_core_second";

/// Draws points and line.
pub(crate) fn plot(folder: &str, series: &SlopeSeries) {
    let name: String = format!("{} by {}", series.effect, series.cause)
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '-' })
        .collect();
    let path = format!("{folder}/{name}.svg");
    let area = SVGBackend::new(&path, (480, 300)).into_drawing_area();
    area.fill(&WHITE).expect("the plot can be drawn");
    let most_x = series.points.iter().map(|(x, _)| *x).fold(0.0, f64::max) * 1.05;
    let most_y = series.points.iter().map(|(_, y)| *y).fold(0.0, f64::max) * 1.2 + 1e-9;
    let mut chart = ChartBuilder::on(&area)
        .caption(&series.effect, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_x, 0.0..most_y)
        .expect("the plot can be drawn");
    chart.configure_mesh().x_desc(&*series.cause).draw().expect("the plot can be drawn");
    let fit = series.fit();
    chart
        .draw_series(LineSeries::new(
            [(0.0, fit.value_at(0.0)), (most_x, fit.value_at(most_x))],
            &BLUE,
        ))
        .expect("the plot can be drawn");
    chart
        .draw_series(series.points.iter().map(|point| Circle::new(*point, 4, RED.filled())))
        .expect("the plot can be drawn");
    area.present().expect("the plot can be written");
}

/// Replaces the figures of the page.
pub(crate) fn write(page: &Path, all: &[SlopeSeries], planned: &Value) {
    let text = std::fs::read_to_string(page).expect("the page exists");
    let (head, rest) = text.split_once(BEGIN).expect("the page marks its figures");
    let (_, tail) = rest.split_once(END).expect("the page marks the end of its figures");
    let figures = figures(all, planned);
    std::fs::write(page, format!("{head}{BEGIN}\n\n{figures}\n{END}{tail}"))
        .expect("the page can be written");
}

fn figures(all: &[SlopeSeries], planned: &Value) -> String {
    let mut text = String::from(
        "### Measured slopes\n\n| effect | cause | at zero | for each | worst residual | points |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for series in all {
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
    text.push_str(&planned_figures(all, planned));
    text
}

struct Planned<'a> {
    all: &'a [SlopeSeries],
    planned: &'a Value,
}

impl Planned<'_> {
    fn size(&self, name: &str) -> f64 {
        self.planned[name].as_f64().unwrap_or_else(|| panic!("planned.json lacks \"{name}\""))
    }

    fn slope(&self, effect: &str) -> f64 {
        self.fit(effect).slope
    }

    fn fit(&self, effect: &str) -> testkit::LineFit {
        let found = self.all.iter().find(|series| *series.effect == *effect);
        found.unwrap_or_else(|| panic!("\"{effect}\" was not measured")).fit()
    }

    /// Control costs of one entry VM in a mesh of `vms`, at these sizes: percent of a core, peer
    /// bytes a second, platform bytes a second, MB.
    fn control(&self, vms: f64, sizes: [f64; 5]) -> [f64; 4] {
        // One list change a second was measured, so its slopes count for each change a second.
        let [workers, services, accounts, changes, list_changes] = sizes;
        let by_vms = self.fit("control cpu, % of a core");
        let cpu = by_vms.value_at(vms)
            + self.slope("control cpu with a list change a second, % of a core")
                * workers
                * list_changes
            + self.slope("control cpu, % of a core, by services") * services
            + self.slope("control cpu, % of a core, by accounts") * accounts
            + self.slope("control cpu, % of a core, by changes") * changes;
        let bytes = self.fit("peer bytes/s").value_at(vms)
            + self.slope("peer bytes/s by changes") * changes;
        let platform = self.fit("platform bytes/s").value_at(vms)
            + self.slope("platform bytes/s with a list change a second") * workers * list_changes
            + self.slope("platform bytes/s by changes") * changes;
        let memory = self.fit("resident MB").value_at(vms)
            + self.slope("resident MB with that list") * workers
            + self.slope("resident MB by services") * services
            + self.slope("resident MB by accounts") * accounts;
        [cpu, bytes, platform, memory]
    }
}

fn planned_figures(all: &[SlopeSeries], planned: &Value) -> String {
    let plan = Planned { all, planned };
    let per_core = plan.size(REQUESTS_PER_CORE_KEY);
    let per_vm = per_core * plan.size("entry_vm_cores") * plan.size("entry_vm_load");
    let vms = (plan.size("calls_per_s") / per_vm).ceil();
    let regional = (vms / plan.size("regions")).ceil();
    let changes = plan.size("changes_per_day") / 86_400.0;
    let [workers, services, accounts] = ["workers", "services", "accounts"].map(|n| plan.size(n));
    let replaced = plan.size("replacements_per_day") / 86_400.0;
    let regions = plan.size("regions");
    let rows = [
        ("today, 15 entry VMs, 35 workers", 15.0, [35.0, 4.0, 1.0, 0.001, 0.001]),
        (
            "planned, one mesh and list over all regions",
            vms,
            [workers, services, accounts, changes, replaced],
        ),
        (
            "planned, mesh within a region, one list",
            regional,
            [workers, services, accounts, changes, replaced],
        ),
        (
            "planned, mesh and list within a region",
            regional,
            [workers / regions, services, accounts, changes, replaced / regions],
        ),
    ];
    let mut text = format!(
        "\n### Entry VMs\n\n{per_core:.0} requests for each core second (overhead example), \
         {:.0} cores at {:.0}% load: {per_vm:.0} requests/s for each entry VM, so {vms} entry VMs \
         for {:.0} calls/s, {regional} in each of {:.0} regions.\n\n### Control of one entry VM\n\n\
         | size | entry VMs in the mesh | % of a core (1.1) | peer bytes/s | platform bytes/s | both \
         (5,000) | MB (128) |\n| --- | --- | --- | --- | --- | --- | --- |\n",
        plan.size("entry_vm_cores"),
        plan.size("entry_vm_load") * 100.0,
        plan.size("calls_per_s"),
        plan.size("regions"),
    );
    for (name, mesh, sizes) in rows {
        let [cpu, peers, platform, memory] = plan.control(mesh, sizes);
        let both = peers + platform;
        writeln!(
            text,
            "| {name} | {mesh:.0} | {cpu:.2} | {peers:.0} | {platform:.0} | {both:.0} | {memory:.1} |"
        )
        .expect("text can be written");
    }
    text.push_str(&table_figures(&plan, vms));
    text
}

fn table_figures(plan: &Planned, vms: f64) -> String {
    let reads = plan.fit("table reads/s");
    let commits = plan.fit("table commits/s");
    let claim_commits = plan.slope("table commits/s by orders");
    let mut text = String::from(
        "\n### The platform's table\n\n| size | reads/s (2,000) | commits/s without orders (300) |\n\
         | --- | --- | --- |\n",
    );
    for (name, count) in [("today, 15 entry VMs", 15.0), ("planned, one table for all", vms)] {
        writeln!(
            text,
            "| {name} | {:.1} | {:.2} |",
            reads.value_at(count) * count,
            commits.value_at(count) * count
        )
        .expect("text can be written");
    }
    writeln!(
        text,
        "\nOne daemon needs {claim_commits:.3} commits for each order with a key at the measured \
         rates; the claim batcher caps the fleet at 120 commits/s of at most 64 rows."
    )
    .expect("text can be written");
    text
}
