//! What is learned of each route: how long its requests take, and how its parts have been served.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rand::RngExt;

use model::FastMap;
use routes::{HostedRoute, ServiceName, WeightedService};

/// Usual time of a request relative to its route's target or timeout, before anything was measured.
const FIRST_WORK_PART: f64 = 0.33;

/// Range of the usual time relative to the same. The upper end leaves every request a chance to be
/// sent, without which the time would never be measured again.
const WORK_RANGE: (f64, f64) = (0.05, 0.8);

/// The usual time of work is this quantile of the measured times: what is above waited or met a
/// slow machine.
const WORK_QUANTILE: f64 = 0.35;

/// Step by which a measured time moves the quantile, relative to it.
const WORK_STEP: f64 = 0.05;

/// Memory of all routes.
#[derive(Default)]
pub(crate) struct RouteMemories {
    routes: Mutex<FastMap<Box<str>, RouteMemory>>,
}

struct RouteMemory {
    /// Usual time of a request, in seconds.
    work: f64,
    /// Longest deadline that a caller sent: that of a first attempt.
    longest_deadline: Duration,
    parts: Vec<PartCredit>,
}

struct PartCredit {
    part: WeightedService,
    /// Invariant: the sum over the parts of a route stays the same.
    credit: f64,
}

impl RouteMemories {
    /// Usual time of a request on the route.
    pub(crate) fn work(&self, route: &HostedRoute) -> Duration {
        // What was measured under another timeout may be out of the range by now.
        let most = aimed_seconds(route) * WORK_RANGE.1;
        Duration::from_secs_f64(self.with(route, |memory| memory.work.min(most)))
    }

    /// Takes in the time that a server took.
    pub(crate) fn learn_work(&self, route: &HostedRoute, elapsed: Duration) {
        let aim = aimed_seconds(route);
        self.with(route, |memory| {
            let step = match elapsed.as_secs_f64() > memory.work {
                true => WORK_QUANTILE,
                false => WORK_QUANTILE - 1.0,
            };
            let work = memory.work * (1.0 + WORK_STEP * step);
            memory.work = work.clamp(aim * WORK_RANGE.0, aim * WORK_RANGE.1);
        });
    }

    /// How long the caller has been at it before this attempt, as far as its deadline tells.
    pub(crate) fn time_spent(&self, route: &HostedRoute, deadline: Duration) -> Duration {
        self.with(route, |memory| {
            memory.longest_deadline = memory.longest_deadline.max(deadline);
            memory.longest_deadline - deadline
        })
    }

    /// The service for the next request, so that each part gets its share over few requests.
    pub(crate) fn next_service(&self, route: &HostedRoute) -> ServiceName {
        if let [only] = &route.services[..] {
            return only.service.clone();
        }
        self.with(route, |memory| {
            if !memory.parts.iter().map(|credit| &credit.part).eq(&route.services) {
                memory.parts = first_credits(&route.services);
            }
            choose_part(&mut memory.parts)
        })
    }

    fn with<T>(&self, route: &HostedRoute, change: impl FnOnce(&mut RouteMemory) -> T) -> T {
        let mut routes = self.lock();
        if let Some(memory) = routes.get_mut(&route.name) {
            return change(memory);
        }
        let memory = routes.entry(route.name.clone()).or_insert_with(|| RouteMemory {
            work: aimed_seconds(route) * FIRST_WORK_PART,
            longest_deadline: Duration::ZERO,
            parts: Vec::new(),
        });
        change(memory)
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<Box<str>, RouteMemory>> {
        self.routes.lock().expect("memory lock is never poisoned")
    }
}

/// The time within which an answer is wanted.
fn aimed_seconds(route: &HostedRoute) -> f64 {
    route.target_latency.min(route.timeout).as_secs_f64()
}

/// Random credits, so that entry VMs that see few requests each don't all begin with one part.
fn first_credits(parts: &[WeightedService]) -> Vec<PartCredit> {
    let total: f64 = parts.iter().map(|part| f64::from(part.weight)).sum();
    parts
        .iter()
        .map(|part| PartCredit {
            part: part.clone(),
            credit: rand::rng().random_range(0.0..total.max(1.0)),
        })
        .collect()
}

fn choose_part(parts: &mut [PartCredit]) -> ServiceName {
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
