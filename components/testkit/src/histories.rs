//! How many random histories are tried, and with which seed.

use proptest::test_runner::{Config, RngSeed};

/// Seed of all random histories unless the environment names another.
const SEED: u64 = 20_261_203;

/// A configuration that gives the same verdict on every run.
///
/// `MUSTARDRAIL_HISTORY_CASES` and `MUSTARDRAIL_HISTORY_SEED` replace number and seed, for longer
/// runs; a failure prints the smallest history that fails.
pub fn history_config(cases: u32) -> Config {
    Config {
        cases: from_environment("MUSTARDRAIL_HISTORY_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(from_environment("MUSTARDRAIL_HISTORY_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn from_environment<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
