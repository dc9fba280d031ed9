//! Compares the built-in choice of backend servers with other balancing policies, over loopback.
//!
//! `cargo run --release -p testkit --example policy -- [--scenario NAME] [--policy NAME] [--seed N]
//! [--seconds S]`

mod backend;
mod baselines;
mod entry;
mod load;
mod report;
mod scenarios;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::baselines::BalancingPolicy;
use crate::load::LoadPlan;
use crate::report::RunReport;
use crate::scenarios::Scenario;

/// Folder for the plots and JSON lines.
const OUTPUT_FOLDER: &str = "target/policy";

struct Arguments {
    scenario: Option<String>,
    policy: Option<String>,
    seed: u64,
    seconds: f64,
}

fn parse_arguments() -> Arguments {
    let mut arguments = Arguments { scenario: None, policy: None, seed: 1, seconds: 2.5 };
    let mut remaining_arguments = std::env::args().skip(1);
    while let Some(name) = remaining_arguments.next() {
        let value = remaining_arguments.next().unwrap_or_default();
        match name.as_str() {
            "--scenario" => arguments.scenario = Some(value),
            "--policy" => arguments.policy = Some(value),
            "--seed" => arguments.seed = value.parse().expect("--seed takes a whole number"),
            "--seconds" => arguments.seconds = value.parse().expect("--seconds takes a number"),
            _ => panic!("unknown argument \"{name}\""),
        }
    }
    arguments
}

#[tokio::main]
async fn main() {
    let arguments = parse_arguments();
    std::fs::create_dir_all(OUTPUT_FOLDER).expect("the output folder can be created");
    println!("seed {}, {} s measured per run", arguments.seed, arguments.seconds);
    for scenario in scenarios::all() {
        if arguments.scenario.as_ref().is_some_and(|name| *name != scenario.name) {
            continue;
        }
        let mut reports = Vec::new();
        for policy in BalancingPolicy::ALL {
            if arguments.policy.as_ref().is_some_and(|name| *name != policy.name()) {
                continue;
            }
            let report = measure_policy(&scenario, policy, &arguments).await;
            println!("{}", report.text_line());
            reports.push(report);
        }
        report::write_files(OUTPUT_FOLDER, &scenario, &reports);
        if let Some(line) = report::ratio_line(&scenario, &reports) {
            println!("{line}");
        }
    }
}

async fn measure_policy(
    scenario: &Scenario,
    policy: BalancingPolicy,
    arguments: &Arguments,
) -> RunReport {
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let servers = backend::start(scenario, &mut random).await;
    let entry_vms = entry::start(scenario, policy, &servers).await;
    let plan = LoadPlan {
        warm_up_time: Duration::from_millis(700),
        measured_time: Duration::from_secs_f64(arguments.seconds),
        seed: arguments.seed,
    };
    let outcome = load::run(scenario, &plan, &servers, &entry_vms).await;
    RunReport::new(scenario, policy, arguments.seed, outcome, &servers)
}
