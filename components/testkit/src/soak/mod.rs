//! A fault-injection soak test: real daemons, fake servers, and faults planned from a seed.

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

/// Time without faults at the end, after which the fleet must have recovered. It covers the contact
/// time of the daemons (`contact_s`) and the time until a new configuration must be in force.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum SoakSize {
    /// 3 daemons and 6 servers.
    Few,
    /// 12 daemons and 24 servers.
    Many,
}

/// Options of one soak test.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the fault plan and of the calls.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Size of the fleet.
    pub size: SoakSize,
}

/// Result of a soak test.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Number of calls sent.
    pub calls: usize,
    /// Number of calls with status 200.
    pub served: usize,
    /// Injected faults in order, with their times in seconds.
    pub faults: Vec<Box<str>>,
    /// Violated guarantees.
    pub violations: SoakViolations,
    /// Log files of all daemons, including the replaced ones.
    pub log_paths: Vec<Box<str>>,
}

/// Runs a soak test. The same seed plans the same faults at the same times.
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
