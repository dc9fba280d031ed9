//! What is learned of each route: how long its requests take, and how its parts have been served.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rand::RngExt;

use model::FastMap;
use routes::{HostedRoute, RoutePart, ServiceName};

/// Usual time of a request relative to its route's target or timeout, before anything was measured.
const INITIAL_WORK_FRACTION: f64 = 0.33;

/// Range of the usual time relative to the same. The upper end leaves every request a chance to be
/// sent, without which the time would never be measured again.
const WORK_FRACTION_RANGE: (f64, f64) = (0.05, 0.8);

/// The usual time of work is this quantile of the measured times: what is above waited or met a
/// slow machine.
const WORK_QUANTILE: f64 = 0.35;

/// Step by which a measured time moves the quantile, relative to it.
const QUANTILE_STEP_FRACTION: f64 = 0.05;

/// Memory of all routes.
#[derive(Default)]
pub(crate) struct RouteStatsTable {
    routes: Mutex<FastMap<Box<str>, RouteStats>>,
}

struct RouteStats {
    /// Usual time of a request, in seconds.
    work_seconds: f64,
    /// Longest deadline that a caller sent: that of a first attempt.
    longest_deadline: Duration,
    parts: Vec<PartCredit>,
}

struct PartCredit {
    part: RoutePart,
    /// Invariant: the sum over the parts of a route stays the same.
    credit: f64,
}

impl RouteStatsTable {
    /// Usual time of a request on the route.
    pub(crate) fn work_time(&self, route: &HostedRoute) -> Duration {
        // What was measured under another timeout may be out of the range by now.
        let max_seconds = response_goal_seconds(route) * WORK_FRACTION_RANGE.1;
        Duration::from_secs_f64(self.with_stats(route, |stats| stats.work_seconds.min(max_seconds)))
    }

    /// Takes in the time that a server took.
    pub(crate) fn record_work_time(&self, route: &HostedRoute, elapsed: Duration) {
        let goal_seconds = response_goal_seconds(route);
        self.with_stats(route, |stats| {
            let step = match elapsed.as_secs_f64() > stats.work_seconds {
                true => WORK_QUANTILE,
                false => WORK_QUANTILE - 1.0,
            };
            let work_seconds = stats.work_seconds * (1.0 + QUANTILE_STEP_FRACTION * step);
            stats.work_seconds = work_seconds
                .clamp(goal_seconds * WORK_FRACTION_RANGE.0, goal_seconds * WORK_FRACTION_RANGE.1);
        });
    }

    /// How long the caller has been at it before this attempt, as far as its deadline tells.
    pub(crate) fn time_before_attempt(&self, route: &HostedRoute, deadline: Duration) -> Duration {
        self.with_stats(route, |stats| {
            stats.longest_deadline = stats.longest_deadline.max(deadline);
            stats.longest_deadline - deadline
        })
    }

    /// The service for the next request, so that each part gets its share over few requests.
    pub(crate) fn next_service(&self, route: &HostedRoute) -> ServiceName {
        if let [only] = &route.parts[..] {
            return only.service.clone();
        }
        self.with_stats(route, |stats| {
            if !stats.parts.iter().map(|credit| &credit.part).eq(&route.parts) {
                stats.parts = random_credits(&route.parts);
            }
            pick_part(&mut stats.parts)
        })
    }

    fn with_stats<T>(&self, route: &HostedRoute, update: impl FnOnce(&mut RouteStats) -> T) -> T {
        let mut routes = self.lock();
        if let Some(stats) = routes.get_mut(&route.name) {
            return update(stats);
        }
        let stats = routes.entry(route.name.clone()).or_insert_with(|| RouteStats {
            work_seconds: response_goal_seconds(route) * INITIAL_WORK_FRACTION,
            longest_deadline: Duration::ZERO,
            parts: Vec::new(),
        });
        update(stats)
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<Box<str>, RouteStats>> {
        self.routes.lock().expect("route statistics lock is never poisoned")
    }
}

/// The time within which an answer is wanted.
fn response_goal_seconds(route: &HostedRoute) -> f64 {
    route.target.min(route.timeout).as_secs_f64()
}

/// Random credits, so that entry VMs that see few requests each don't all begin with one part.
fn random_credits(parts: &[RoutePart]) -> Vec<PartCredit> {
    let total: f64 = parts.iter().map(|part| f64::from(part.weight)).sum();
    parts
        .iter()
        .map(|part| PartCredit {
            part: part.clone(),
            credit: rand::rng().random_range(0.0..total.max(1.0)),
        })
        .collect()
}

fn pick_part(parts: &mut [PartCredit]) -> ServiceName {
    let total: f64 = parts.iter().map(|credit| f64::from(credit.part.weight)).sum();
    let mut best = 0;
    for index in 0..parts.len() {
        parts[index].credit += f64::from(parts[index].part.weight);
        if parts[index].credit > parts[best].credit {
            best = index;
        }
    }
    parts[best].credit -= total;
    parts[best].part.service.clone()
}
