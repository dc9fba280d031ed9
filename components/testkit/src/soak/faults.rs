//! The seeded plan of faults.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, RngExt};

use crate::hosted::HostedBehaviour;
use crate::platform_server::StoreBehaviour;
use crate::soak::{SoakOptions, SoakSize};

/// Mean pause between two faults. Faults last longer than that, so that they overlap.
const MEAN_PAUSE: Duration = Duration::from_millis(600);

/// A fault at a time.
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) kind: FaultKind,
}

/// What is done from outside. Numbers are taken modulo what there is.
#[derive(Debug, Clone, Copy, Display)]
pub(crate) enum FaultKind {
    #[display("store treats calls as {_0:?}")]
    StoreBehaviour(StoreBehaviour),
    #[display("store answers {_0} ms late")]
    StoreDelay(u64),
    #[display("store forgets its history")]
    CompactHistory,
    #[display("connections of daemon {_0} to the store go silent")]
    BlackholeStore(usize),
    #[display("daemon {_0} is cut off from the store")]
    PartitionStore(usize),
    #[display("all daemons reach the store again")]
    EndStorePartitions,
    #[display("server {_0} forgets its connections")]
    ResetServer(usize),
    #[display("connections to server {_0} go silent")]
    BlackholeServer(usize),
    #[display("server {_0} treats requests as {_1:?}")]
    ServerBehaviour(usize, HostedBehaviour),
    #[display("server {_0} leaves")]
    DrainServer(usize),
    #[display("server {_0} is removed from the list")]
    RemoveServer(usize),
    #[display("server {_0} comes back under its identity")]
    RestartServer(usize),
    #[display("an entry that can't be read")]
    InvalidEntry,
    #[display("a new configuration")]
    NewConfig,
    #[display("daemon {_0} is killed and started")]
    KillDaemon(usize),
    #[display("daemon {_0} gets SIGTERM and is started again")]
    TerminateDaemon(usize),
    #[display("daemon {_0} gets SIGTERM twice and SIGHUP")]
    TerminateDaemonTwice(usize),
    #[display("daemon {_0} is frozen")]
    SuspendDaemon(usize),
    #[display("frozen daemons go on")]
    ResumeDaemons,
    #[display("daemon {_0} gets SIGHUP")]
    ReloadSettings(usize),
}

/// The faults of a seed, in order of time.
pub(crate) fn plan_faults(options: &SoakOptions, random: &mut StdRng) -> Vec<PlannedFault> {
    let pause = match options.size {
        SoakSize::Few => MEAN_PAUSE,
        SoakSize::Many => MEAN_PAUSE / 3,
    };
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += pause.mul_f64(random.random_range(0.2..1.8));
        if at >= options.duration {
            return planned;
        }
        planned.push(PlannedFault { at, kind: draw_fault(random) });
    }
}

fn draw_fault(random: &mut StdRng) -> FaultKind {
    let number = random.random_range(0..1_000);
    match random.random_range(0..23) {
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
