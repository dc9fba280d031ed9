//! Scenario files: the system, the load and the faults that a run simulates.

use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::Deserialize;

/// A scenario: entry VMs, backend servers, callers and faults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LabScenario {
    /// Name, used in tables and for the file of the plot.
    pub name: Box<str>,
    /// Simulated duration in which callers arrive, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Number of entry VMs.
    pub vms: usize,
    /// Ratio of the load of the busiest VM to that of the least busy one; 1 is an even load.
    pub vm_skew: f64,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of requests that a server runs concurrently.
    pub slots: u32,
    /// Maximum number of requests queued at a server, which sheds any further ones.
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    /// Factor of the service time at a server with all slots in use.
    #[serde(default = "default_full_load_slowdown")]
    pub full_load_slowdown: f64,
    /// Callers per second outside bursts.
    pub rate_per_s: f64,
    /// Service time of a request on a machine of normal speed, in milliseconds.
    #[serde(rename = "work_ms")]
    pub service_time_ms: f64,
    /// Latency target of a response, from the first arrival of its caller, in milliseconds.
    pub target_ms: f64,
    /// Time that a caller waits for a response, from its first arrival, in milliseconds.
    pub deadline_ms: f64,
    /// Number of times that a caller retries after a refusal.
    #[serde(rename = "returns")]
    pub retries: u32,
    /// One-way network delay between an entry VM and a server, in milliseconds.
    #[serde(rename = "way_ms")]
    pub network_delay_ms: f64,
    /// Time that a server takes to respond to a health check, in milliseconds.
    pub probe_ms: f64,
    /// Budget of extra attempts.
    pub budget: BudgetScenario,
    /// Temporary slowdowns of machines.
    #[serde(rename = "swings")]
    pub slowdowns: SlowdownScenario,
    /// Servers that are slow for the whole run.
    #[serde(default, rename = "sluggish")]
    pub slow_servers: Option<SlowServerScenario>,
    /// Bursts of callers.
    #[serde(default)]
    pub bursts: Vec<BurstScenario>,
    /// Periods in which servers are dead.
    #[serde(default)]
    pub crashes: Vec<CrashScenario>,
}

/// The factor of servers on the hosting platform's first deployments.
fn default_full_load_slowdown() -> f64 {
    1.4
}

/// Budget of extra attempts: arrivals at servers beyond the first one of each request.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetScenario {
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Extra attempts allowed per window at each entry VM in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
}

/// Temporary slowdowns: in each interval, a random share of the machines is slow.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowdownScenario {
    /// Share of machines that are slow at any time.
    pub share: f64,
    /// Factor by which the service time grows there.
    pub factor: f64,
    /// Length of an interval, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: f64,
}

/// Servers that are slow for the whole run.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowServerScenario {
    /// Share of servers.
    pub share: f64,
    /// Factor by which the service time grows there.
    pub factor: f64,
}

/// A burst of callers.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstScenario {
    /// Start, in seconds.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// Duration, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// Factor by which the arrival rate is multiplied.
    pub factor: f64,
}

/// A period in which servers are dead: they neither accept connections nor respond.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashScenario {
    /// Start, in seconds.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// Duration, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// Share of servers.
    pub share: f64,
}

/// A scenario could not be loaded.
#[derive(Debug, Display, Error)]
pub enum ScenarioFault {
    /// The file can't be read or parsed.
    #[display("can't load scenario {path}: {reason}")]
    Unreadable {
        /// The file.
        path: Box<str>,
        /// The underlying error.
        reason: Box<str>,
    },
    /// The value of a field is out of range.
    #[display("scenario {path}: {field} must be {expected}")]
    Invalid {
        /// The file.
        path: Box<str>,
        /// Key of the field in the file.
        field: &'static str,
        /// The valid range.
        expected: &'static str,
    },
}

impl LabScenario {
    /// Loads a scenario from a JSON file and validates it.
    pub fn load(path: &Path) -> Result<Self, ScenarioFault> {
        let path_text: Box<str> = path.display().to_string().into();
        let unreadable = |reason: &dyn std::fmt::Display| ScenarioFault::Unreadable {
            path: path_text.clone(),
            reason: reason.to_string().into(),
        };
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(&error))?;
        let scenario: Self = serde_json::from_str(&text).map_err(|error| unreadable(&error))?;
        match scenario.first_invalid_field() {
            None => Ok(scenario),
            Some((field, expected)) => {
                Err(ScenarioFault::Invalid { path: path_text, field, expected })
            }
        }
    }

    /// Returns the key of the first field that is out of range, and its valid range.
    fn first_invalid_field(&self) -> Option<(&'static str, &'static str)> {
        const POSITIVE: &str = "above 0";
        const SHARE: &str = "from 0 to 1";
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        let checks = [
            ("seconds", self.duration_s > 0.0, POSITIVE),
            ("vms", self.vms > 0, POSITIVE),
            ("vm_skew", self.vm_skew >= 1.0, "1 or more"),
            ("servers", self.servers > 0, POSITIVE),
            ("slots", self.slots > 0, POSITIVE),
            ("full_load_slowdown", self.full_load_slowdown >= 1.0, "1 or more"),
            ("rate_per_s", self.rate_per_s > 0.0, POSITIVE),
            ("work_ms", self.service_time_ms > 0.0, POSITIVE),
            ("target_ms", self.target_ms >= self.service_time_ms, "work_ms or more"),
            ("deadline_ms", self.deadline_ms >= self.target_ms, "target_ms or more"),
            ("way_ms", self.network_delay_ms >= 0.0, "0 or more"),
            ("probe_ms", self.probe_ms >= 0.0, "0 or more"),
            ("budget.ratio", self.budget.ratio >= 0.0, "0 or more"),
            ("budget.slack", self.budget.slack >= 0.0, "0 or more"),
            ("budget.window_s", self.budget.window_s > 0.0, POSITIVE),
            ("swings.share", is_share(self.slowdowns.share), SHARE),
            ("swings.factor", self.slowdowns.factor >= 1.0, "1 or more"),
            ("swings.every_ms", self.slowdowns.interval_ms > 0.0, POSITIVE),
            ("sluggish.share", self.slow_servers.is_none_or(|slow| is_share(slow.share)), SHARE),
            (
                "sluggish.factor",
                self.slow_servers.is_none_or(|slow| slow.factor >= 1.0),
                "1 or more",
            ),
            ("bursts.factor", self.bursts.iter().all(|burst| burst.factor > 0.0), POSITIVE),
            ("crashes.share", self.crashes.iter().all(|crash| is_share(crash.share)), SHARE),
        ];
        let failed = checks.into_iter().find(|(_, is_met, _)| !is_met);
        failed.map(|(field, _, expected)| (field, expected))
    }

    /// Returns the simulated duration in which callers arrive.
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s)
    }

    /// Returns the product of the factors of all bursts at a time.
    pub(crate) fn load_factor_at(&self, at: Duration) -> f64 {
        let at = at.as_secs_f64();
        let active_bursts =
            self.bursts.iter().filter(|burst| is_within(at, burst.start_s, burst.duration_s));
        active_bursts.map(|burst| burst.factor).product()
    }

    /// Returns an upper bound of `load_factor_at`.
    pub(crate) fn peak_load_factor(&self) -> f64 {
        self.bursts.iter().map(|burst| burst.factor.max(1.0)).product()
    }
}

/// Whether a time is in the span from `start` (inclusive) to `start + duration` (exclusive).
pub(crate) fn is_within(time: f64, start: f64, duration: f64) -> bool {
    (start..start + duration).contains(&time)
}

/// Converts fractional milliseconds to a duration.
pub(crate) fn duration_from_ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1_000.0)
}
