//! Statistics of each route: the typical service time of its requests, the size of its responses,
//! and the credits by which its requests are distributed over its services.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use crate::hosted::requested_times::RequestedTimes;
use model::FastMap;
use routes::{HostedRoute, ServiceName, WeightedService};

/// Typical service time before the first sample, as a fraction of the shorter of the route's target
/// and timeout.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.33;

/// Range of the typical service time, as a fraction of the same. Without the upper bound, a high
/// estimate would cause all requests to be refused, and no new sample could correct it. The upper
/// bound also applies to the caller's time while the estimate is unconfirmed.
const SERVICE_TIME_FRACTION_RANGE: (f64, f64) = (0.05, 0.8);

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

/// Weight of the newest response in the moving share of long ones.
const NEWEST_LENGTH_WEIGHT: f64 = 0.01;

/// Share of long responses from which further ones are expected.
const MIN_LONG_SHARE: f64 = 0.005;

/// Statistics of all routes, by route name.
#[derive(Default)]
pub(crate) struct RouteStatsTable {
    routes: Mutex<FastMap<Box<str>, RouteStats>>,
}

struct RouteStats {
    /// Typical service time of a request.
    service_seconds: f64,
    /// When a response took at least `service_seconds`; `None` before the first.
    confirmed_at: Option<Instant>,
    /// Moving average of the size of response bodies; `None` before the first.
    response_bytes: Option<f64>,
    /// Moving share of the long responses.
    long_share: f64,
    requested_times: RequestedTimes,
    credits: Vec<ServiceCredit>,
}

/// Credit of a service in the weighted round robin of a route.
struct ServiceCredit {
    service: WeightedService,
    /// Invariant: the sum over the services of a route is constant.
    credit: f64,
}

impl RouteStatsTable {
    /// Returns the service time that is assumed for a request whose caller waits `requested_time`.
    ///
    /// It is the typical one of the route while responses confirm that. An estimate that is too
    /// high refuses the requests whose responses would correct it, so one that no response has
    /// confirmed within the route's timeout is assumed to fit in `requested_time`.
    pub(crate) fn service_time(
        &self,
        route: &HostedRoute,
        requested_time: Duration,
        now: Instant,
    ) -> Duration {
        // The target or timeout may have changed since the last sample.
        let goal_seconds = response_goal_seconds(route);
        self.with_stats(route, |stats| {
            let is_confirmed =
                stats.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + route.timeout);
            let available_seconds = match is_confirmed {
                true => goal_seconds,
                false => goal_seconds.min(requested_time.as_secs_f64()),
            };
            let max_seconds = available_seconds * SERVICE_TIME_FRACTION_RANGE.1;
            Duration::from_secs_f64(stats.service_seconds.min(max_seconds))
        })
    }

    /// Updates the typical service time with a sample.
    pub(crate) fn record_service_time(&self, route: &HostedRoute, elapsed: Duration, now: Instant) {
        let goal_seconds = response_goal_seconds(route);
        self.with_stats(route, |stats| {
            let is_longer = elapsed.as_secs_f64() >= stats.service_seconds;
            if is_longer {
                stats.confirmed_at = Some(now);
            }
            let step = match is_longer {
                true => SERVICE_TIME_QUANTILE,
                false => SERVICE_TIME_QUANTILE - 1.0,
            };
            let service_seconds = stats.service_seconds * (1.0 + QUANTILE_STEP_FRACTION * step);
            stats.service_seconds = service_seconds.clamp(
                goal_seconds * SERVICE_TIME_FRACTION_RANGE.0,
                goal_seconds * SERVICE_TIME_FRACTION_RANGE.1,
            );
        });
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

    /// Records whether a response was long.
    pub(crate) fn record_length(&self, route: &HostedRoute, is_long: bool) {
        let sample = f64::from(u8::from(is_long));
        self.with_stats(route, |stats| {
            stats.long_share += (sample - stats.long_share) * NEWEST_LENGTH_WEIGHT;
        });
    }

    /// Whether a response may be long, by the last ones of the route.
    pub(crate) fn expects_long_response(&self, route: &HostedRoute) -> bool {
        self.with_stats(route, |stats| stats.long_share >= MIN_LONG_SHARE)
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
            confirmed_at: None,
            response_bytes: None,
            long_share: 0.0,
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

#[cfg(test)]
mod tests;
