//! Statistics of each route: the typical service time of its requests, the size of its responses,
//! and the credits by which its requests are distributed over its services.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use crate::hosted::requested_times::RequestedTimes;
use model::FastMap;
use routes::{HostedRoute, ServiceName, WeightedService};

/// Service time that is assumed without knowledge, as a fraction of the shortest of the route's
/// target, its timeout and the time that the caller allows.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.33;

/// Ratio of the first sample to the assumed time below which it replaces it.
const MIN_ASSUMED_RATIO: f64 = 0.5;

/// Largest typical service time, as a fraction of the shorter of the route's target and timeout.
const MAX_SERVICE_TIME_FRACTION: f64 = 0.8;

/// Smallest typical service time.
const MIN_SERVICE_SECONDS: f64 = 0.001;

/// Time without a sample after which one request is sent that the typical service time would
/// refuse. Otherwise a time that is too long would refuse all requests, and no sample could correct
/// it.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// Largest reduction of the typical service time by one trial.
const TRIAL_REDUCTION: f64 = 0.5;

/// Quantile of the sampled times that is used as the typical service time. Longer samples include
/// time in a queue or come from a slow server.
const SERVICE_TIME_QUANTILE: f64 = 0.35;

/// Step by which a sample moves the estimated quantile, as a fraction of the estimate.
const QUANTILE_STEP_FRACTION: f64 = 0.05;

/// Size that is assumed for a response before the first one of its route: large enough to stay in
/// the own zone if possible.
const INITIAL_RESPONSE_BYTES: f64 = 65_536.0;

/// Weight of the newest response in the moving average of the size.
const NEWEST_SIZE_WEIGHT: f64 = 0.1;

/// Statistics of all routes, by route name.
#[derive(Default)]
pub(crate) struct RouteStatsTable {
    routes: Mutex<FastMap<Box<str>, RouteStats>>,
}

struct RouteStats {
    /// Typical service time of a request; an assumption before the first sample.
    service_seconds: f64,
    has_sample: bool,
    /// When the last sample was recorded or the last trial sent.
    tested_at: Option<Instant>,
    /// Moving average of the size of response bodies; `None` before the first.
    response_bytes: Option<f64>,
    requested_times: RequestedTimes,
    credits: Vec<ServiceCredit>,
}

/// Expected time of a request in a free slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ServiceTime {
    pub(crate) time: Duration,
    /// Whether the request is sent to find out whether the typical time is too long.
    pub(crate) is_trial: bool,
}

impl RouteStats {
    fn service_time(&mut self, route: &HostedRoute, allowed: f64, now: Instant) -> ServiceTime {
        let assumed = response_goal_seconds(route).min(allowed) * INITIAL_SERVICE_TIME_FRACTION;
        // The target or timeout may have changed since the last sample.
        let typical = self.service_seconds.min(max_service_seconds(route));
        let is_tested = self.tested_at.is_some_and(|tested_at| now < tested_at + TRIAL_INTERVAL);
        let is_trial = self.has_sample && typical > allowed && !is_tested;
        if is_trial {
            self.tested_at = Some(now);
        }
        let seconds = match self.has_sample && !is_trial {
            true => typical,
            false => typical.min(assumed),
        };
        ServiceTime { time: Duration::from_secs_f64(seconds), is_trial }
    }

    fn record_service_time(&mut self, sample: ServiceTime, max_seconds: f64, now: Instant) {
        let seconds = sample.time.as_secs_f64();
        let step = match seconds > self.service_seconds {
            true => SERVICE_TIME_QUANTILE,
            false => SERVICE_TIME_QUANTILE - 1.0,
        };
        let is_assumption_wrong =
            !self.has_sample && seconds < self.service_seconds * MIN_ASSUMED_RATIO;
        self.service_seconds = if is_assumption_wrong {
            seconds
        } else if sample.is_trial {
            self.service_seconds.min(seconds.max(self.service_seconds * TRIAL_REDUCTION))
        } else {
            self.service_seconds * (1.0 + QUANTILE_STEP_FRACTION * step)
        };
        self.service_seconds = self.service_seconds.min(max_seconds).max(MIN_SERVICE_SECONDS);
        self.has_sample = true;
        self.tested_at = Some(now);
    }
}

/// Credit of a service in the weighted round robin of a route.
struct ServiceCredit {
    service: WeightedService,
    /// Invariant: the sum over the services of a route is constant.
    credit: f64,
}

impl RouteStatsTable {
    /// Returns the expected service time of a request on the route for which the caller waits for
    /// `requested_time`.
    pub(crate) fn service_time(
        &self,
        route: &HostedRoute,
        requested_time: Duration,
        now: Instant,
    ) -> ServiceTime {
        let allowed = requested_time.min(route.timeout).as_secs_f64();
        self.with_stats(route, |stats| stats.service_time(route, allowed, now))
    }

    /// Updates the typical service time with the time that a request took.
    pub(crate) fn record_service_time(
        &self,
        route: &HostedRoute,
        sample: ServiceTime,
        now: Instant,
    ) {
        let max_seconds = max_service_seconds(route);
        self.with_stats(route, |stats| stats.record_service_time(sample, max_seconds, now));
    }

    /// Returns the mean size of a response on the route.
    pub(crate) fn response_bytes(&self, route: &HostedRoute) -> u64 {
        self.with_stats(route, |stats| stats.response_bytes.unwrap_or(INITIAL_RESPONSE_BYTES))
            as u64
    }

    /// Updates the mean size of a response.
    pub(crate) fn record_response_bytes(&self, route: &HostedRoute, bytes: u64) {
        self.with_stats(route, |stats| {
            let mean = stats.response_bytes.get_or_insert(bytes as f64);
            *mean += (bytes as f64 - *mean) * NEWEST_SIZE_WEIGHT;
        });
    }

    /// Returns how long the caller has spent on earlier attempts of the request. The estimate is
    /// the difference between the time that first attempts allow and `requested_time`.
    pub(crate) fn time_before_attempt(
        &self,
        route: &HostedRoute,
        requested_time: Duration,
    ) -> Duration {
        self.with_stats(route, |stats| {
            stats.requested_times.record(requested_time);
            stats.requested_times.first_attempt().saturating_sub(requested_time)
        })
    }

    /// Returns the service for the next request. Each service of the route gets its share within a
    /// few requests.
    pub(crate) fn next_service(&self, route: &HostedRoute) -> ServiceName {
        if let [only] = &route.services[..] {
            return only.service.clone();
        }
        self.with_stats(route, |stats| {
            if !stats.credits.iter().map(|credit| &credit.service).eq(&route.services) {
                stats.credits = random_credits(&route.services);
            }
            pick_service(&mut stats.credits)
        })
    }

    fn with_stats<T>(&self, route: &HostedRoute, update: impl FnOnce(&mut RouteStats) -> T) -> T {
        let mut routes = self.lock();
        if let Some(stats) = routes.get_mut(&route.name) {
            return update(stats);
        }
        let stats = routes.entry(route.name.clone()).or_insert_with(|| RouteStats {
            service_seconds: response_goal_seconds(route) * INITIAL_SERVICE_TIME_FRACTION,
            has_sample: false,
            tested_at: None,
            response_bytes: None,
            requested_times: RequestedTimes::default(),
            credits: Vec::new(),
        });
        update(stats)
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<Box<str>, RouteStats>> {
        self.routes.lock().expect("route statistics lock is never poisoned")
    }
}

/// Returns the time within which a response is wanted: the shorter of target and timeout.
fn response_goal_seconds(route: &HostedRoute) -> f64 {
    route.target_latency.min(route.timeout).as_secs_f64()
}

fn max_service_seconds(route: &HostedRoute) -> f64 {
    response_goal_seconds(route) * MAX_SERVICE_TIME_FRACTION
}

/// Returns random credits, so that entry VMs with few requests each don't all start with the same
/// service.
fn random_credits(services: &[WeightedService]) -> Vec<ServiceCredit> {
    let total: f64 = services.iter().map(|service| f64::from(service.weight)).sum();
    services
        .iter()
        .map(|service| ServiceCredit {
            service: service.clone(),
            credit: rand::rng().random_range(0.0..total.max(1.0)),
        })
        .collect()
}

/// Returns the service with the highest credit, and updates all credits.
fn pick_service(credits: &mut [ServiceCredit]) -> ServiceName {
    let total: f64 = credits.iter().map(|credit| f64::from(credit.service.weight)).sum();
    let mut best = 0;
    for index in 0..credits.len() {
        credits[index].credit += f64::from(credits[index].service.weight);
        if credits[index].credit > credits[best].credit {
            best = index;
        }
    }
    credits[best].credit -= total;
    credits[best].service.service.clone()
}
