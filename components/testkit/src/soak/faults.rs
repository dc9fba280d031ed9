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
    Store(StoreBehaviour),
    #[display("store answers {_0} ms late")]
    StoreDelay(u64),
    #[display("store forgets its history")]
    Compact,
    #[display("connections of daemon {_0} to the store go silent")]
    SilenceStore(usize),
    #[display("daemon {_0} is cut off from the store")]
    CutStore(usize),
    #[display("all daemons reach the store again")]
    RestoreStore,
    #[display("server {_0} forgets its connections")]
    ForgetServer(usize),
    #[display("connections to server {_0} go silent")]
    SilenceServer(usize),
    #[display("server {_0} treats requests as {_1:?}")]
    Server(usize, HostedBehaviour),
    #[display("server {_0} leaves")]
    Leave(usize),
    #[display("server {_0} is removed from the list")]
    Remove(usize),
    #[display("server {_0} comes back under its identity")]
    Reborn(usize),
    #[display("an entry that can't be read")]
    Junk,
    #[display("a new configuration")]
    Config,
    #[display("daemon {_0} is killed and started")]
    Kill(usize),
    #[display("daemon {_0} gets SIGTERM and is started again")]
    Terminate(usize),
    #[display("daemon {_0} gets SIGTERM twice and SIGHUP")]
    TerminateTwice(usize),
    #[display("daemon {_0} is frozen")]
    Freeze(usize),
    #[display("frozen daemons go on")]
    Thaw,
    #[display("daemon {_0} gets SIGHUP")]
    HangUp(usize),
}

/// The faults of a seed, in order of time.
pub(crate) fn plan(options: &SoakOptions, random: &mut StdRng) -> Vec<PlannedFault> {
    let pause = match options.size {
        SoakSize::Few => MEAN_PAUSE,
        SoakSize::Many => MEAN_PAUSE / 3,
    };
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += pause.mul_f64(random.random_range(0.2..1.8));
        if at >= options.time {
            return planned;
        }
        planned.push(PlannedFault { at, kind: draw(random) });
    }
}

fn draw(random: &mut StdRng) -> FaultKind {
    let number = random.random_range(0..1_000);
    match random.random_range(0..23) {
        0 | 1 => FaultKind::Store(draw_store(random)),
        2 => FaultKind::Store(StoreBehaviour::Serve),
        3 => FaultKind::StoreDelay([0, 50, 400][number % 3]),
        4 => FaultKind::Compact,
        5 => FaultKind::SilenceStore(number),
        6 => FaultKind::SilenceServer(number),
        7 | 8 => FaultKind::Server(number, draw_behaviour(random)),
        9 => FaultKind::Server(number, HostedBehaviour::Run(Duration::from_millis(20))),
        10 => FaultKind::Leave(number),
        11 => FaultKind::Remove(number),
        12 => FaultKind::Reborn(number),
        13 => FaultKind::Junk,
        14 => FaultKind::Config,
        15 => FaultKind::Kill(number),
        16 => FaultKind::Terminate(number),
        17 => FaultKind::TerminateTwice(number),
        18 => FaultKind::Freeze(number),
        19 | 20 => FaultKind::CutStore(number),
        21 => [FaultKind::RestoreStore, FaultKind::ForgetServer(number)][number % 2],
        _ => [FaultKind::Thaw, FaultKind::HangUp(number)][number % 2],
    }
}

fn draw_store(random: &mut impl Rng) -> StoreBehaviour {
    [
        StoreBehaviour::Reset,
        StoreBehaviour::Refuse(503),
        StoreBehaviour::Refuse(429),
        StoreBehaviour::Silent,
    ][random.random_range(0..4)]
}

fn draw_behaviour(random: &mut impl Rng) -> HostedBehaviour {
    [
        HostedBehaviour::Shed,
        HostedBehaviour::RunAndBreak,
        HostedBehaviour::Truncate,
        HostedBehaviour::Foreign,
        HostedBehaviour::Unsigned,
        HostedBehaviour::Encoded,
        HostedBehaviour::Fail(500),
        HostedBehaviour::Run(Duration::from_millis(700)),
    ][random.random_range(0..8)]
}
