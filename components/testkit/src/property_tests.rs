//! Configuration of the property tests, which run random sequences of operations.

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests unless the environment sets another.
const DEFAULT_SEED: u64 = 20_261_203;

/// Returns a configuration with a fixed seed, so that every run has the same result.
///
/// The environment variables `MUSTARDRAIL_HISTORY_CASES` and `MUSTARDRAIL_HISTORY_SEED` replace the
/// number of cases and the seed, for longer runs. A failure prints the smallest failing input.
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

/// Parses an environment variable; `None` if it is missing or invalid.
fn parse_variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
