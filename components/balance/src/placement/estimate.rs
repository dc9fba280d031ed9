//! Estimates the response time of one more request at a server that reports its load.

use std::time::Duration;

use tokio::time::Instant;

use crate::placement::load_curve::LoadCurve;
use crate::placement::persistence::{SpeedPersistence, decayed};
use crate::placement::server::ServerState;

/// Upper limit of the failure ratio in an estimate; a higher one doesn't raise the cost further.
const MAX_FAILURE_RATIO: f64 = 0.9;

/// Time constant of a reported slowness until reports show another, in seconds.
const PRIOR_REPORT_PERSISTENCE: f64 = 0.4;

/// Time constant of the slowness during a run until run times show another, in seconds: a run is
/// assumed to take all of its time at the slowness at its start.
const PRIOR_RUN_PERSISTENCE: f64 = 12.8;

/// Expected time and size of a request, as known before its placement.
#[derive(Debug, Clone, Copy)]
pub struct RequestShape {
    /// Typical time of such a request at a server with a free slot and typical speed.
    pub service_time: Duration,
    /// Bytes of the request and its response.
    pub transfer_bytes: u64,
    /// Latency target of the route, by which the cost of bytes is converted to time.
    pub target: Duration,
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
    /// Whether the server reported its speed so recently that the report is likely to be true.
    /// Otherwise the times are those at the mean speed of the server.
    pub is_informed: bool,
}

/// What a group has learned about its servers.
#[derive(Debug, Clone)]
pub(crate) struct GroupModel {
    /// Mean number of requests of other entry VMs per slot.
    pub(crate) remote_per_slot: f64,
    /// How long a reported slowness stays true, learned from successive reports.
    pub(crate) report_persistence: SpeedPersistence,
    /// How long the slowness at the start of a run stays true, learned from run times.
    pub(crate) run_persistence: SpeedPersistence,
    /// Slowdown of a request by the load of its server, learned from run times.
    pub(crate) load_curve: LoadCurve,
}

impl Default for GroupModel {
    fn default() -> Self {
        Self {
            remote_per_slot: 0.0,
            report_persistence: SpeedPersistence::new(PRIOR_REPORT_PERSISTENCE),
            run_persistence: SpeedPersistence::new(PRIOR_RUN_PERSISTENCE),
            load_curve: LoadCurve::default(),
        }
    }
}

/// State of a server when a request is sent to it, for a comparison with the time that it took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RunForecast {
    service_seconds: f64,
    slowness: f64,
    typical_slowness: f64,
    free_slots: f64,
    load_slowdown: f64,
}

impl RunForecast {
    /// Slowness of the server by the time that the request took.
    pub(crate) fn observed_slowness(&self, elapsed: Duration) -> f64 {
        elapsed.as_secs_f64() / self.service_seconds.max(f64::MIN_POSITIVE) / self.load_slowdown
    }

    /// Returns the run time, at free slots, relative to the typical one.
    fn relative_time(&self, time_constant: f64) -> f64 {
        let typical = self.typical_slowness.max(f64::MIN_POSITIVE);
        let run_seconds =
            mixed_run_seconds(self.service_seconds, self.slowness, typical, time_constant);
        run_seconds / self.service_seconds.max(f64::MIN_POSITIVE)
    }
}

impl GroupModel {
    /// Estimates one more request at a server. `zone_cost_seconds` is the extra cost of the
    /// server's zone.
    pub(crate) fn estimate(
        &self,
        server: &ServerState,
        shape: RequestShape,
        zone_cost_seconds: f64,
        now: Instant,
    ) -> PlacementEstimate {
        let service_seconds = shape.service_time.as_secs_f64();
        let slots = f64::from(server.listed.slots);
        let free_slots = self.free_slots_beside(server, service_seconds, now);
        let loaded_seconds = service_seconds * self.load_curve.slowdown(free_slots);
        let typical = server.typical_slowness.max(f64::MIN_POSITIVE);
        let wait_seconds = (-free_slots).max(0.0) / slots * loaded_seconds * typical.max(1.0);
        let slowness = self.slowness_after(server, service_seconds, wait_seconds, now);
        let time_constant = self.run_persistence.time_constant();
        let run_seconds = mixed_run_seconds(loaded_seconds, slowness, typical, time_constant);
        let failure_penalty = 1.0 / (1.0 - server.failures.failure_ratio().min(MAX_FAILURE_RATIO));
        PlacementEstimate {
            wait_seconds,
            run_seconds,
            cost_seconds: (wait_seconds + run_seconds) * failure_penalty + zone_cost_seconds,
            is_informed: self.is_informed(server, now),
        }
    }

    /// Returns what is known about a server right before a request is sent to it.
    pub(crate) fn forecast(
        &self,
        server: &ServerState,
        shape: RequestShape,
        now: Instant,
    ) -> RunForecast {
        let service_seconds = shape.service_time.as_secs_f64();
        let free_slots = self.free_slots_beside(server, service_seconds, now);
        RunForecast {
            service_seconds,
            slowness: self.slowness_after(server, service_seconds, 0.0, now),
            typical_slowness: server.typical_slowness,
            free_slots,
            load_slowdown: self.load_curve.slowdown(free_slots),
        }
    }

    /// Learns from the time of a request that found a free slot.
    pub(crate) fn observe_run(&mut self, forecast: &RunForecast, elapsed: Duration) {
        if forecast.free_slots < -0.5 || forecast.service_seconds <= 0.0 {
            return;
        }
        let slowness = forecast.observed_slowness(elapsed);
        self.run_persistence
            .observe(slowness, |time_constant| forecast.relative_time(time_constant));
        let time_constant = self.run_persistence.time_constant();
        let unloaded_ratio = forecast.relative_time(time_constant).max(f64::MIN_POSITIVE);
        let slowdown = slowness * forecast.load_slowdown / unloaded_ratio;
        self.load_curve.observe(forecast.free_slots, slowdown);
    }

    /// Slots that one more request leaves free at the server; negative if it has to wait.
    fn free_slots_beside(&self, server: &ServerState, service_seconds: f64, now: Instant) -> f64 {
        f64::from(server.listed.slots) - self.in_flight(server, service_seconds, now) - 1.0
    }

    /// Requests at the server: those of this entry VM, and the reported number of others, decayed
    /// toward the group's mean.
    fn in_flight(&self, server: &ServerState, service_seconds: f64, now: Instant) -> f64 {
        let mean = self.remote_per_slot * f64::from(server.listed.slots);
        let remote = server.report.map_or(mean, |report| {
            let age = now.saturating_duration_since(report.received_at).as_secs_f64();
            decayed(report.remote_in_flight, mean, age, service_seconds)
        });
        f64::from(server.local_in_flight()) + remote
    }

    fn is_informed(&self, server: &ServerState, now: Instant) -> bool {
        let time_constant = self.report_persistence.time_constant();
        server.report_age(now).is_some_and(|age| age.as_secs_f64() <= time_constant)
    }

    /// Slowness of the server after `delay_seconds`. Without a report, a request that runs for
    /// longer than is typical shows that its server is slow.
    fn slowness_after(
        &self,
        server: &ServerState,
        service_seconds: f64,
        delay_seconds: f64,
        now: Instant,
    ) -> f64 {
        let typical = server.typical_slowness.max(f64::MIN_POSITIVE);
        let Some(report) = server.report else {
            let oldest = server.oldest_request_age(now).unwrap_or_default();
            return typical.max(oldest.as_secs_f64() / service_seconds.max(f64::MIN_POSITIVE));
        };
        let age = now.saturating_duration_since(report.received_at).as_secs_f64() + delay_seconds;
        decayed(report.slowness, typical, age, self.report_persistence.time_constant())
    }
}

/// Run time of a request that takes `service_seconds` at a slowness of 1. The machine keeps its
/// current slowness for `time_constant` and has its typical slowness from then on.
fn mixed_run_seconds(
    service_seconds: f64,
    slowness: f64,
    typical_slowness: f64,
    time_constant: f64,
) -> f64 {
    let completed_work = time_constant / slowness.max(f64::MIN_POSITIVE);
    if service_seconds <= completed_work {
        return service_seconds * slowness;
    }
    time_constant + (service_seconds - completed_work) * typical_slowness
}
