//! The fault plan of a soak test, drawn from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::hosted::HostedBehaviour;
use crate::platform_server::StoreBehaviour;
use crate::soak::{SoakOptions, SoakSize};

/// Mean pause between two faults, shorter than most faults so that they overlap.
const MEAN_FAULT_PAUSE: Duration = Duration::from_millis(600);

/// Mean pause between two changes of the evacuated zones.
const MEAN_EVACUATION_PAUSE: Duration = Duration::from_millis(1_500);
/// Mean pause between two servers that become cold. They are drawn apart from the other faults, so
/// that a seed keeps those.
const MEAN_COLD_PAUSE: Duration = Duration::from_secs(2);

/// A fault and the time of its injection after the start.
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) kind: FaultKind,
}

/// A fault, a recovery or another change from outside the daemons. Daemon and server numbers apply
/// modulo the number of daemons or servers.
#[derive(Debug, Clone, Copy, Display)]
pub(crate) enum FaultKind {
    #[display("store behaviour: {_0:?}")]
    StoreBehaviour(StoreBehaviour),
    #[display("store delays responses by {_0} ms")]
    StoreDelay(u64),
    #[display("store compacts its history")]
    CompactHistory,
    #[display("open store connections of daemon {_0} drop all bytes")]
    BlackholeStore(usize),
    #[display("daemon {_0} is partitioned from the store")]
    PartitionStore(usize),
    #[display("all store partitions end")]
    EndStorePartitions,
    #[display("open connections to server {_0} are reset at the next byte")]
    ResetServer(usize),
    #[display("open connections to server {_0} drop all bytes")]
    BlackholeServer(usize),
    #[display("server {_0} behaviour: {_1:?}")]
    ServerBehaviour(usize, HostedBehaviour),
    #[display("server {_0} is marked as leaving")]
    DrainServer(usize),
    #[display("server {_0} is removed from the list")]
    RemoveServer(usize),
    #[display("server {_0} restarts with the same ID at another address")]
    RestartServer(usize),
    #[display("server {_0} is cold")]
    CoolServer(usize),
    #[display("an invalid entry is added to the server list")]
    InvalidEntry,
    #[display("a new configuration is written")]
    NewConfig,
    #[display("daemon {_0} is killed and replaced")]
    KillDaemon(usize),
    #[display("daemon {_0} receives SIGTERM and is replaced")]
    TerminateDaemon(usize),
    #[display("daemon {_0} receives SIGTERM, SIGHUP and SIGTERM, and is replaced")]
    TerminateDaemonTwice(usize),
    #[display("daemon {_0} is suspended")]
    SuspendDaemon(usize),
    #[display("daemon {_0} is partitioned from all servers")]
    CutServers(usize),
    #[display("all partitions from servers end")]
    EndServerCuts,
    #[display("suspended daemons resume")]
    ResumeDaemons,
    #[display("daemon {_0} receives SIGHUP")]
    ReloadSettings(usize),
    #[display("zone {_0} is evacuated, or taken back")]
    ToggleEvacuation(usize),
}

/// Returns the planned faults and evacuations in order of time.
pub(crate) fn plan_faults(options: &SoakOptions, random: &mut StdRng) -> Vec<PlannedFault> {
    let mut planned = plan_other_faults(options, random);
    planned.extend(plan_evacuations(options));
    planned.sort_by_key(|fault| fault.at);
    planned
}

/// Returns the planned evacuations, which leave the other faults of a seed as they are.
fn plan_evacuations(options: &SoakOptions) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(options.seed ^ (1 << 32));
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += MEAN_EVACUATION_PAUSE.mul_f64(random.random_range(0.05..1.95));
        if at >= options.duration {
            return planned;
        }
        let kind = FaultKind::ToggleEvacuation(random.random_range(0..1_000));
        planned.push(PlannedFault { at, kind });
    }
}

fn plan_other_faults(options: &SoakOptions, random: &mut StdRng) -> Vec<PlannedFault> {
    let pause = match options.size {
        SoakSize::Few => MEAN_FAULT_PAUSE,
        SoakSize::Many => MEAN_FAULT_PAUSE / 3,
    };
    let mut planned = plan_at_random_times(options.duration, pause, random, draw_fault);
    let mut cold_random = StdRng::seed_from_u64(!options.seed);
    let cool_server = |random: &mut StdRng| FaultKind::CoolServer(random.random_range(0..1_000));
    planned.extend(plan_at_random_times(
        options.duration,
        MEAN_COLD_PAUSE,
        &mut cold_random,
        cool_server,
    ));
    planned.sort_by_key(|fault| fault.at);
    planned
}

fn plan_at_random_times(
    duration: Duration,
    mean_pause: Duration,
    random: &mut StdRng,
    draw: impl Fn(&mut StdRng) -> FaultKind,
) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += mean_pause.mul_f64(random.random_range(0.2..1.8));
        if at >= duration {
            return planned;
        }
        planned.push(PlannedFault { at, kind: draw(random) });
    }
}

fn draw_fault(random: &mut StdRng) -> FaultKind {
    let number = random.random_range(0..1_000);
    match random.random_range(0..26) {
        0 | 1 => FaultKind::StoreBehaviour(draw_store_behaviour(random)),
        2 => FaultKind::StoreBehaviour(StoreBehaviour::Serve),
        3 => FaultKind::StoreDelay([0, 50, 400][number % 3]),
        4 => FaultKind::CompactHistory,
        5 => FaultKind::BlackholeStore(number),
        6 => FaultKind::BlackholeServer(number),
        7 | 8 => FaultKind::ServerBehaviour(number, draw_server_behaviour(random)),
        9 => FaultKind::ServerBehaviour(number, HostedBehaviour::Run(Duration::from_millis(20))),
        10 => FaultKind::DrainServer(number),
        11 => FaultKind::RemoveServer(number),
        12 => FaultKind::RestartServer(number),
        13 => FaultKind::InvalidEntry,
        14 => FaultKind::NewConfig,
        15 => FaultKind::KillDaemon(number),
        16 => FaultKind::TerminateDaemon(number),
        17 => FaultKind::TerminateDaemonTwice(number),
        18 => FaultKind::SuspendDaemon(number),
        19 | 20 => FaultKind::PartitionStore(number),
        21 => [FaultKind::EndStorePartitions, FaultKind::ResetServer(number)][number % 2],
        22 | 23 => FaultKind::CutServers(number),
        24 => FaultKind::EndServerCuts,
        _ => [FaultKind::ResumeDaemons, FaultKind::ReloadSettings(number)][number % 2],
    }
}

fn draw_store_behaviour(random: &mut impl Rng) -> StoreBehaviour {
    [
        StoreBehaviour::Disconnect,
        StoreBehaviour::Refuse(503),
        StoreBehaviour::Refuse(429),
        StoreBehaviour::Hang,
    ][random.random_range(0..4)]
}

fn draw_server_behaviour(random: &mut impl Rng) -> HostedBehaviour {
    [
        HostedBehaviour::Shed,
        HostedBehaviour::RunAndDisconnect,
        HostedBehaviour::Truncate,
        HostedBehaviour::WrongRequestId,
        HostedBehaviour::Unsigned,
        HostedBehaviour::Encoded,
        HostedBehaviour::Fail(500),
        HostedBehaviour::Run(Duration::from_millis(700)),
    ][random.random_range(0..8)]
}
