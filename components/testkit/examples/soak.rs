//! Injects faults into a fleet of daemon processes and checks that its guarantees hold.
//!
//! `cargo build --release && cargo run --release -p testkit --example soak -- --seed 1`

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;
use testkit::{SoakOptions, SoakSize, run_soak};

const DAEMON: &str = "target/release/mustardraild";

const HELP: &str = "\
Usage: soak [--seed N] [--seeds COUNT] [--minutes M] [--size few|many]

  --seed N       first seed; a seed always gives the same faults (default: 1)
  --seeds COUNT  number of consecutive seeds to run (default: 1)
  --minutes M    duration of the fault injection per seed (default: 0.2)
  --size SIZE    few: 3 daemons, 6 servers; many: 12 daemons, 24 servers
                 (default: few)

The exit status is 1 if a guarantee was violated. The faults, the violations
and the daemons' logs are then printed.
";

struct Arguments {
    seed: u64,
    seed_count: u64,
    minutes: f64,
    size: SoakSize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("soak: {error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let mut failed_seeds = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.seed_count {
        let duration = Duration::from_secs_f64(arguments.minutes * 60.0);
        let options = SoakOptions { seed, duration, size: arguments.size };
        let report = run_soak(Path::new(DAEMON), options).await;
        println!(
            "seed {seed}: {} calls, {} served, {} faults, {} violations",
            report.calls,
            report.served,
            report.faults.len(),
            report.violations.all().count()
        );
        if report.violations.all().next().is_some() {
            failed_seeds.push(seed);
            report.faults.iter().for_each(|fault| println!("  {fault}"));
            report.violations.all().for_each(|violation| println!("  VIOLATION: {violation}"));
            report.log_paths.iter().for_each(|log| println!("  log: {log}"));
        }
    }
    println!("{} of {} seeds failed: {failed_seeds:?}", failed_seeds.len(), arguments.seed_count);
    if failed_seeds.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments { seed: 1, seed_count: 1, minutes: 0.2, size: SoakSize::Few };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("seeds") => arguments.seed_count = parser.value()?.parse()?,
            Long("minutes") => arguments.minutes = parser.value()?.parse()?,
            Long("size") => {
                let text = parser.value()?.string()?;
                let size = text.parse::<SoakSize>();
                arguments.size = size.map_err(|_| "--size must be few or many")?;
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}
