//! The lab's command line.

use std::path::PathBuf;
use std::str::FromStr;

use lab::LabPolicy;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use miette::{IntoDiagnostic, Result, miette};

/// Default number of seeds, enough for a useful standard deviation.
const DEFAULT_SEED_COUNT: u64 = 20;

/// Printed for `--help`.
const HELP: &str = "\
lab [OPTIONS] SCENARIO.json...

Simulates scenarios with several policies over the same seeds and prints a table.

  --policies NAME,...  policies to compare (all)
  --seeds N            number of seeds per policy (20)
  --first-seed N       first seed; the others follow it (1)
  --plots DIR          write an SVG plot of each scenario to the directory
";

/// The parsed command line.
pub(crate) struct LabArguments {
    pub(crate) scenario_paths: Vec<PathBuf>,
    pub(crate) policies: Vec<LabPolicy>,
    pub(crate) seeds: std::ops::Range<u64>,
    pub(crate) plot_folder: Option<PathBuf>,
}

impl LabArguments {
    /// Parses the arguments of the process. Returns `None` after printing the help text.
    pub(crate) fn parse() -> Result<Option<Self>> {
        let mut parser = lexopt::Parser::from_env();
        let mut scenario_paths = Vec::new();
        let mut policies = LabPolicy::all().to_vec();
        let (mut first_seed, mut seed_count, mut plot_folder) = (1, DEFAULT_SEED_COUNT, None);
        while let Some(argument) = parser.next().into_diagnostic()? {
            match argument {
                Short('h') | Long("help") => {
                    println!("{HELP}");
                    return Ok(None);
                }
                Long("policies") => {
                    let names = parser.value().into_diagnostic()?.string().into_diagnostic()?;
                    let parsed: std::result::Result<_, _> =
                        names.split(',').map(LabPolicy::from_str).collect();
                    policies = parsed.into_diagnostic()?;
                }
                Long("seeds") => seed_count = parse_number(&mut parser)?,
                Long("first-seed") => first_seed = parse_number(&mut parser)?,
                Long("plots") => plot_folder = Some(parser.value().into_diagnostic()?.into()),
                Value(path) => scenario_paths.push(path.into()),
                other => return Err(other.unexpected()).into_diagnostic(),
            }
        }
        if scenario_paths.is_empty() {
            return Err(miette!("no scenario file given; see --help"));
        }
        if seed_count == 0 {
            return Err(miette!("--seeds must be 1 or more"));
        }
        Ok(Some(Self {
            scenario_paths,
            policies,
            seeds: first_seed..first_seed + seed_count,
            plot_folder,
        }))
    }
}

fn parse_number(parser: &mut lexopt::Parser) -> Result<u64> {
    parser.value().into_diagnostic()?.parse().into_diagnostic()
}
