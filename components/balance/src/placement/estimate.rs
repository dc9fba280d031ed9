//! Expected time of one more request at a server.

use std::time::Duration;

use tokio::time::Instant;

use crate::placement::server::ServerState;

/// Time after which a report of a machine's momentary speed says little: speeds change every
/// 150 ms on the platforms known, so a report is on average half of that old when it matters.
const SLOWNESS_DECAY_TIME: Duration = Duration::from_millis(100);

/// Part of the slots from which servers slow down (knee of the users' servers).
const KNEE_UTILIZATION: f64 = 0.8;

/// How much longer work takes at a server whose slots are all in use. The users' servers show 1.0
/// to 1.7.
const FULL_LOAD_SLOWDOWN: f64 = 1.4;

/// How much longer work takes at a server that has just started.
const SLOW_START_SLOWDOWN: f64 = 2.0;

/// Largest failure ratio that counts; beyond it a server only looks as bad as this.
const MAX_FAILURE_RATIO: f64 = 0.9;

/// What is known of a request before it is placed.
#[derive(Debug, Clone, Copy)]
pub struct RequestShape {
    /// Usual time of such a request at a server with a free slot and usual speed.
    pub service_time: Duration,
    /// Bytes that go there and back.
    pub transfer_bytes: u64,
}

/// Expected time of a request at a server, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementEstimate {
    /// Wait for a slot.
    pub wait_seconds: f64,
    /// Time in the slot.
    pub run_seconds: f64,
    /// By which servers are compared: wait and run, worse for servers that fail or are far.
    pub cost_seconds: f64,
}

/// What the servers of a group have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupMeans {
    /// Mean over the group of requests of other entry VMs at one server, for each slot.
    pub(crate) remote_per_slot: f64,
}

/// Estimates a request at a server; `way` is the time that the way there costs.
pub(crate) fn estimate_placement(
    server: &ServerState,
    means: GroupMeans,
    shape: RequestShape,
    zone_cost_seconds: f64,
    now: Instant,
) -> PlacementEstimate {
    let service_seconds = shape.service_time.as_secs_f64();
    let slots = f64::from(server.listed.slots);
    let in_flight = f64::from(server.local_in_flight)
        + estimate_remote_in_flight(server, means, service_seconds, now);
    let saturation = ((in_flight + 1.0) / slots - KNEE_UTILIZATION) / (1.0 - KNEE_UTILIZATION);
    let load_slowdown = 1.0 + (FULL_LOAD_SLOWDOWN - 1.0) * saturation.clamp(0.0, 1.0);
    let slow_start_slowdown = if now < server.slow_start_until { SLOW_START_SLOWDOWN } else { 1.0 };
    let run_seconds =
        run_seconds_for(server, service_seconds * load_slowdown * slow_start_slowdown, now);
    let excess = (in_flight + 1.0 - slots).max(0.0);
    let wait_seconds =
        excess / slots * service_seconds * load_slowdown * server.typical_slowness.max(1.0);
    let failure_penalty = 1.0 / (1.0 - server.failures.failure_ratio().min(MAX_FAILURE_RATIO));
    PlacementEstimate {
        wait_seconds,
        run_seconds,
        cost_seconds: (wait_seconds + run_seconds) * failure_penalty + zone_cost_seconds,
    }
}

/// Requests of other entry VMs at the server, aged toward the group's mean.
fn estimate_remote_in_flight(
    server: &ServerState,
    means: GroupMeans,
    service_seconds: f64,
    now: Instant,
) -> f64 {
    let mean = means.remote_per_slot * f64::from(server.listed.slots);
    let Some(report) = server.report else {
        return mean;
    };
    let age = now.saturating_duration_since(report.received_at).as_secs_f64();
    mean + (report.remote_in_flight - mean) * decay_factor(age, service_seconds)
}

/// Time of `work` at a machine whose momentary speed lasts for a while and then is as usual.
fn run_seconds_for(server: &ServerState, service_seconds: f64, now: Instant) -> f64 {
    let typical = server.typical_slowness.max(f64::MIN_POSITIVE);
    let Some(report) = server.report else {
        return service_seconds * typical;
    };
    let time_constant = SLOWNESS_DECAY_TIME.as_secs_f64();
    let age = now.saturating_duration_since(report.received_at).as_secs_f64();
    let slowness = typical + (report.slowness - typical) * decay_factor(age, time_constant);
    let completed_work = time_constant / slowness;
    if service_seconds <= completed_work {
        return service_seconds * slowness;
    }
    time_constant + (service_seconds - completed_work) * typical
}

fn decay_factor(age: f64, time_constant: f64) -> f64 {
    (-age / time_constant.max(f64::MIN_POSITIVE)).exp()
}
