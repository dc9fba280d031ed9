//! Expected time of one more request at a server.

use std::time::Duration;

use tokio::time::Instant;

use crate::placement::server::ServerState;

/// Time after which a report of a machine's momentary speed says little: speeds change every
/// 150 ms on the platforms known, so a report is on average half of that old when it matters.
const SPEED_MEMORY: Duration = Duration::from_millis(100);

/// Part of the slots from which servers slow down (knee of the users' servers).
const KNEE: f64 = 0.8;

/// How much longer work takes at a server whose slots are all in use. The users' servers show 1.0
/// to 1.7.
const FULL_SLOWDOWN: f64 = 1.4;

/// How much longer work takes at a server that has just started.
const COLD_SLOWDOWN: f64 = 2.0;

/// Largest failure ratio that counts; beyond it a server only looks as bad as this.
const MAX_FAILURE_RATIO: f64 = 0.9;

/// What is known of a request before it is placed.
#[derive(Debug, Clone, Copy)]
pub struct RequestShape {
    /// Usual time of such a request at a server with a free slot and usual speed.
    pub work: Duration,
    /// Bytes that go there and back.
    pub bytes: u64,
}

/// Expected time of a request at a server, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementEstimate {
    /// Wait for a slot.
    pub wait: f64,
    /// Time in the slot.
    pub run: f64,
    /// By which servers are compared: wait and run, worse for servers that fail or are far.
    pub cost: f64,
}

/// What the servers of a group have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupMeans {
    /// Mean over the group of requests of other entry VMs at one server, for each slot.
    pub(crate) others_per_slot: f64,
}

/// Estimates a request at a server; `way` is the time that the way there costs.
pub(crate) fn estimate(
    server: &ServerState,
    means: GroupMeans,
    shape: RequestShape,
    way: f64,
    now: Instant,
) -> PlacementEstimate {
    let work = shape.work.as_secs_f64();
    let slots = f64::from(server.listed.slots);
    let in_flight = f64::from(server.own) + others_now(server, means, work, now);
    let full = ((in_flight + 1.0) / slots - KNEE) / (1.0 - KNEE);
    let crowding = 1.0 + (FULL_SLOWDOWN - 1.0) * full.clamp(0.0, 1.0);
    let cold = if now < server.warm_at { COLD_SLOWDOWN } else { 1.0 };
    let run = run_time(server, work * crowding * cold, now);
    let excess = (in_flight + 1.0 - slots).max(0.0);
    let wait = excess / slots * work * crowding * server.usual_slowness.max(1.0);
    let failing = 1.0 / (1.0 - server.failures.ratio().min(MAX_FAILURE_RATIO));
    PlacementEstimate { wait, run, cost: (wait + run) * failing + way }
}

/// Requests of other entry VMs at the server, aged toward the group's mean.
fn others_now(server: &ServerState, means: GroupMeans, work: f64, now: Instant) -> f64 {
    let mean = means.others_per_slot * f64::from(server.listed.slots);
    let Some(report) = server.report else {
        return mean;
    };
    let age = now.saturating_duration_since(report.at).as_secs_f64();
    mean + (report.others - mean) * fading(age, work)
}

/// Time of `work` at a machine whose momentary speed lasts for a while and then is as usual.
fn run_time(server: &ServerState, work: f64, now: Instant) -> f64 {
    let usual = server.usual_slowness.max(f64::MIN_POSITIVE);
    let Some(report) = server.report else {
        return work * usual;
    };
    let memory = SPEED_MEMORY.as_secs_f64();
    let age = now.saturating_duration_since(report.at).as_secs_f64();
    let slowness = usual + (report.slowness - usual) * fading(age, memory);
    let done_at_first = memory / slowness;
    if work <= done_at_first {
        return work * slowness;
    }
    memory + (work - done_at_first) * usual
}

fn fading(age: f64, memory: f64) -> f64 {
    (-age / memory.max(f64::MIN_POSITIVE)).exp()
}
