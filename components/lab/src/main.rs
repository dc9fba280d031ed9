//! Command that simulates scenarios and compares policies.

mod cli;

use std::thread;

use lab::{
    LabOutcome, LabPolicy, LabScenario, LabSummary, draw_policies, render_table, run_scenario,
    summarize,
};
use miette::{IntoDiagnostic, Result, miette};

use cli::LabArguments;

fn main() -> Result<()> {
    let Some(arguments) = LabArguments::parse()? else {
        return Ok(());
    };
    if let Some(folder) = &arguments.plot_folder {
        std::fs::create_dir_all(folder).into_diagnostic()?;
    }
    let mut summaries = Vec::new();
    for path in &arguments.scenario_paths {
        let scenario = LabScenario::load(path).into_diagnostic()?;
        let scenario_summaries: Vec<LabSummary> = arguments
            .policies
            .iter()
            .map(|policy| {
                let runs = run_seeds(&scenario, *policy, &arguments)?;
                Ok(summarize(&scenario.name, policy.name(), &runs))
            })
            .collect::<Result<_>>()?;
        if let Some(folder) = &arguments.plot_folder {
            let path = folder.join(format!("{}.svg", scenario.name));
            draw_policies(&path, &scenario_summaries).into_diagnostic()?;
        }
        summaries.extend(scenario_summaries);
    }
    print!("{}", render_table(&summaries));
    Ok(())
}

/// Simulates all seeds in parallel, on half of the machine's cores.
fn run_seeds(
    scenario: &LabScenario,
    policy: LabPolicy,
    arguments: &LabArguments,
) -> Result<Vec<LabOutcome>> {
    let cores = thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let threads = (cores / 2).max(1);
    let seeds: Vec<u64> = arguments.seeds.clone().collect();
    let chunk_length = seeds.len().div_ceil(threads);
    let chunk_results = thread::scope(|scope| {
        let handles: Vec<_> = seeds
            .chunks(chunk_length)
            .map(|seeds| {
                let run = |seed: &u64| run_scenario(scenario, policy, *seed);
                scope.spawn(move || seeds.iter().map(run).collect::<Vec<_>>())
            })
            .collect();
        handles.into_iter().map(thread::ScopedJoinHandle::join).collect::<Vec<_>>()
    });
    let mut runs = Vec::new();
    for chunk in chunk_results {
        runs.extend(chunk.map_err(|_| {
            miette!("simulation of scenario {} with policy {policy} panicked", scenario.name)
        })?);
    }
    Ok(runs)
}
