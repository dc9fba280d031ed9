//! A short soak with fixed seeds: what must hold however busy the machine is.

use std::path::Path;
use std::time::Duration;

use testkit::{SoakOptions, SoakSize, run_soak};

/// Time for which faults come: some twelve of them for each seed.
const FAULT_TIME: Duration = Duration::from_secs(8);

async fn soak(seed: u64) {
    let options = SoakOptions { seed, duration: FAULT_TIME, size: SoakSize::Few };
    let report = run_soak(Path::new(env!("CARGO_BIN_EXE_mustardraild")), options).await;
    let (faults, logs) = (report.faults.join("\n"), report.log_paths.join("\n"));
    let broken = report.violations.safety;
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}\nfaults:\n{faults}\nlogs:\n{logs}");
    assert!(report.served > 0, "seed {seed}: nothing was served\nfaults:\n{faults}");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_seed_13_keeps_its_promises() {
    soak(13).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_seed_301_keeps_its_promises() {
    soak(301).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_seed_302_keeps_its_promises() {
    soak(302).await;
}
