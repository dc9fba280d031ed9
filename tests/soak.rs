//! Short fault soaks with fixed seeds. They check only rules that hold on a busy machine too.

use std::path::Path;
use std::time::Duration;

use testkit::{SoakOptions, SoakSize, run_soak};

/// Duration of the fault injection, during which each seed injects about twelve faults.
const FAULT_DURATION: Duration = Duration::from_secs(8);

async fn soak_with_seed(seed: u64) {
    let options = SoakOptions { seed, duration: FAULT_DURATION, size: SoakSize::Few };
    let report = run_soak(Path::new(env!("CARGO_BIN_EXE_mustardraild")), options).await;
    let (faults, logs) = (report.faults.join("\n"), report.log_paths.join("\n"));
    let violations = report.violations.safety;
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:#?}\nfaults:\n{faults}\nlogs:\n{logs}"
    );
    assert!(report.served > 0, "seed {seed}: no call succeeded\nfaults:\n{faults}");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_seed_13_meets_the_safety_rules() {
    soak_with_seed(13).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_seed_301_meets_the_safety_rules() {
    soak_with_seed(301).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_seed_302_meets_the_safety_rules() {
    soak_with_seed(302).await;
}
