//! Brings faults about in a fleet of real daemons and checks what must hold.
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

  --seed N       first seed; the same seed brings the same faults (1)
  --seeds COUNT  how many seeds, one after the other (1)
  --minutes M    how long faults come (0.2)
  --size SIZE    few: 3 daemons, 6 servers; many: 12 daemons, 24 servers (few)

Exit status 1 when a promise was broken; the faults, what was broken and the
daemons' logs are printed then.
";

struct Arguments {
    seed: u64,
    seeds: u64,
    minutes: f64,
    size: SoakSize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match read_arguments() {
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
    let mut failed = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let time = Duration::from_secs_f64(arguments.minutes * 60.0);
        let options = SoakOptions { seed, duration: time, size: arguments.size };
        let report = run_soak(Path::new(DAEMON), options).await;
        println!(
            "seed {seed}: {} calls, {} served, {} faults, {} broken",
            report.calls,
            report.served,
            report.faults.len(),
            report.violations.all().count()
        );
        if report.violations.all().next().is_some() {
            failed.push(seed);
            report.faults.iter().for_each(|fault| println!("  {fault}"));
            report.violations.all().for_each(|broken| println!("  BROKEN: {broken}"));
            report.log_paths.iter().for_each(|log| println!("  log: {log}"));
        }
    }
    println!("{} of {} seeds failed: {failed:?}", failed.len(), arguments.seeds);
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn read_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments { seed: 1, seeds: 1, minutes: 0.2, size: SoakSize::Few };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("seeds") => arguments.seeds = parser.value()?.parse()?,
            Long("minutes") => arguments.minutes = parser.value()?.parse()?,
            Long("size") => {
                let text = parser.value()?.string()?;
                let size = text.parse::<SoakSize>();
                arguments.size = size.map_err(|_| "--size takes few or many")?;
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}
