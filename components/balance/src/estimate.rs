//! Estimates the time that a request would take at a backend server.

use std::time::Duration;

use tokio::time::Instant;

use crate::server::BackendServer;

/// Time in which half of what a report said is forgotten in favour of the group's mean. Loads
/// swing within milliseconds, so a report older than a few of these tells nothing.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(20);

/// Time in which half of a measured service time is forgotten in favour of the group's median, so
/// that a slow server is tried again.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(4);

/// What all servers of a group have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupView {
    pub(crate) slots: f64,
    /// Mean over the group of requests of other entry VMs at one server.
    pub(crate) mean_others: f64,
    /// Median over the group of the service time, in seconds.
    pub(crate) median_service: f64,
    pub(crate) slow_start: Duration,
}

/// Requests that a server runs or has waiting, as far as known.
pub(crate) fn estimate_in_flight(server: &BackendServer, view: &GroupView, now: Instant) -> f64 {
    let kept = halvings(now.saturating_duration_since(server.reported_at), REPORT_HALF_LIFE);
    let others = view.mean_others + (server.others - view.mean_others) * kept;
    f64::from(server.own_in_flight) + others
}

/// Seconds that one more request would wait for a slot and run, without the way there and back.
pub(crate) fn estimate_seconds(server: &BackendServer, view: &GroupView, now: Instant) -> f64 {
    let in_flight = estimate_in_flight(server, view, now);
    let slots = view.slots * server.ramp(view.slow_start, now);
    let service = current_service(server, view, now);
    let waiting = (in_flight + 1.0 - slots).max(0.0) / slots;
    // Below full slots a busier server is still more likely to be full on arrival.
    let risk = (in_flight / slots).min(1.0) * CROWDING_COST;
    let failing = 1.0 / (1.0 - server.failures.ratio().min(0.9));
    service * (1.0 + waiting + risk) * failing
}

/// Cost of the last free slot against an idle server, in service times. An estimate of one free
/// slot is wrong often enough to prefer a server with more.
const CROWDING_COST: f64 = 0.5;

pub(crate) fn current_service(server: &BackendServer, view: &GroupView, now: Instant) -> f64 {
    let kept = halvings(now.saturating_duration_since(server.sampled_at), SERVICE_HALF_LIFE);
    view.median_service + (server.service_seconds - view.median_service) * kept
}

fn halvings(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
