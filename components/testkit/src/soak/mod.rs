//! A fault soak: real daemons, stand-ins, and faults from outside by a seeded plan.

mod checks;
mod faults;
mod fleet;
mod load;

use std::path::Path;
use std::time::Duration;

use derive_more::{Display, FromStr};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep, sleep_until};

pub use crate::soak::checks::SoakViolations;
use crate::soak::checks::find_violations;
use crate::soak::faults::plan_faults;
use crate::soak::fleet::SoakFleet;
use crate::soak::load::{CallRecord, send_calls};

/// Time without faults at the end, after which everything must be in order again: what the platform
/// calls in touch, and the time for a configuration.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// How large the fleet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum SoakSize {
    /// 3 daemons, 6 servers.
    Few,
    /// 12 daemons, 24 servers.
    Many,
}

/// One soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the plan of faults.
    pub seed: u64,
    /// How long faults come.
    pub duration: Duration,
    /// How large the fleet is.
    pub size: SoakSize,
}

/// What a soak showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Calls sent.
    pub calls: usize,
    /// Calls answered with success.
    pub served: usize,
    /// Faults brought about, in order, with their times.
    pub faults: Vec<Box<str>>,
    /// Broken promises.
    pub violations: SoakViolations,
    /// Logs of the daemons that lived at the end.
    pub log_paths: Vec<Box<str>>,
}

/// Runs a soak. The same seed brings the same faults at the same times.
pub async fn run_soak(program: &Path, options: SoakOptions) -> SoakReport {
    let mut random = StdRng::seed_from_u64(options.seed);
    let planned = plan_faults(&options, &mut random);
    let mut fleet = SoakFleet::start(program, options.size).await;
    let started_at = Instant::now();
    let load = send_calls(fleet.caller_addresses(), options.seed, options.duration + RECOVERY_TIME);
    let mut faults: Vec<Box<str>> = Vec::new();
    for fault in planned {
        sleep_until(started_at + fault.at).await;
        let line = format!("{:7.3} {}", started_at.elapsed().as_secs_f64(), fault.kind);
        faults.push(line.into());
        fleet.inject(&fault.kind).await;
    }
    sleep_until(started_at + options.duration).await;
    fleet.end_faults().await;
    sleep(RECOVERY_TIME).await;
    let calls: Vec<CallRecord> = load.await.unwrap_or_default();
    let violations = find_violations(&mut fleet, &calls).await;
    let served = calls.iter().filter(|call| call.status == Some(200)).count();
    let log_paths = fleet.log_paths();
    SoakReport { calls: calls.len(), served, faults, violations, log_paths }
}
