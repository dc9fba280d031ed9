//! How many random histories are tried, and with which seed.

use proptest::test_runner::{Config, RngSeed};

/// Seed of all random histories unless the environment names another.
const DEFAULT_SEED: u64 = 20_261_203;

/// A configuration that gives the same verdict on every run.
///
/// `MUSTARDRAIL_HISTORY_CASES` and `MUSTARDRAIL_HISTORY_SEED` replace number and seed, for longer
/// runs; a failure prints the smallest history that fails.
pub fn property_test_config(cases: u32) -> Config {
    Config {
        cases: parse_variable("MUSTARDRAIL_HISTORY_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(
            parse_variable("MUSTARDRAIL_HISTORY_SEED").unwrap_or(DEFAULT_SEED),
        ),
        failure_persistence: None,
        ..Config::default()
    }
}

fn parse_variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
