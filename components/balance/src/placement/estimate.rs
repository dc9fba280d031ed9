//! Estimates the response time of one more request at a server that reports its load.

use std::time::Duration;

use tokio::time::Instant;

use crate::placement::server::ServerState;

/// Time constant of the decay of a reported slowness. Machine speeds on the hosting platform change
/// every 150 ms, so a speed is 75 ms old on average when it is reported.
const SLOWNESS_DECAY_TIME: Duration = Duration::from_millis(100);

/// Utilization above which servers slow down: the knee of their load curve on the hosting platform.
const KNEE_UTILIZATION: f64 = 0.8;

/// Slowdown of a server with all slots in use. Servers of the hosting platform show 1.0 to 1.7.
const FULL_LOAD_SLOWDOWN: f64 = 1.4;

/// Slowdown of a server that has just started.
const SLOW_START_SLOWDOWN: f64 = 2.0;

/// Upper limit of the failure ratio in an estimate; a higher one doesn't raise the cost further.
const MAX_FAILURE_RATIO: f64 = 0.9;

/// Expected time and size of a request, as known before its placement.
#[derive(Debug, Clone, Copy)]
pub struct RequestShape {
    /// Typical time of such a request at a server with a free slot and typical speed.
    pub service_time: Duration,
    /// Bytes of the request and its response.
    pub transfer_bytes: u64,
}

/// Expected time of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementEstimate {
    /// Wait for a slot.
    pub wait_seconds: f64,
    /// Run time in the slot.
    pub run_seconds: f64,
    /// Value by which servers are compared: wait and run time, increased for servers that fail or
    /// are in another zone.
    pub cost_seconds: f64,
}

/// Means over the servers of a group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupMeans {
    /// Mean number of requests of other entry VMs per slot.
    pub(crate) remote_per_slot: f64,
}

/// Estimates one more request at a server. `zone_cost_seconds` is the extra cost of the server's
/// zone.
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

/// Requests of other entry VMs at the server: the reported number, decayed toward the group's mean.
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

/// Run time of a request that takes `service_seconds` at a slowness of 1. The machine is assumed to
/// keep its current slowness for `SLOWNESS_DECAY_TIME` and its typical slowness from then on.
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
