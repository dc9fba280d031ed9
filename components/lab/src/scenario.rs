//! What a run models.

use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::Deserialize;

/// A scenario: servers, entry VMs, callers, and what goes wrong.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LabScenario {
    /// Its name.
    pub name: Box<str>,
    /// Length, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Entry VMs.
    pub vms: usize,
    /// How much more the busiest VM gets than the least busy one; 1 is even.
    pub vm_skew: f64,
    /// Backend servers.
    pub servers: usize,
    /// Requests that a server runs at a time.
    pub slots: u32,
    /// Requests that wait at a server; beyond them it sheds.
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Work of a request at a server with usual speed, in milliseconds.
    #[serde(rename = "work_ms")]
    pub service_time_ms: f64,
    /// Time in which an answer has its full worth, in milliseconds.
    pub target_ms: f64,
    /// Time for which a caller waits, in milliseconds.
    pub deadline_ms: f64,
    /// How often a caller comes back after a refusal.
    #[serde(rename = "returns")]
    pub retries: u32,
    /// Time between an entry VM and a server, one way, in milliseconds.
    #[serde(rename = "way_ms")]
    pub network_delay_ms: f64,
    /// Time of a health check at a server, in milliseconds.
    pub probe_ms: f64,
    /// Agreed budget of further arrivals.
    pub budget: BudgetScenario,
    /// Machines that are slow at the moment.
    #[serde(rename = "swings")]
    pub slowdowns: SlowdownScenario,
    /// Servers that are slow all the while.
    #[serde(default, rename = "sluggish")]
    pub slow_servers: Option<SlowServerScenario>,
    /// Times of more requests.
    #[serde(default)]
    pub bursts: Vec<BurstScenario>,
    /// Times in which servers are dead.
    #[serde(default)]
    pub crashes: Vec<CrashScenario>,
}

/// Agreed budget of further arrivals over the fleet.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetScenario {
    /// Further arrivals for each request.
    pub ratio: f64,
    /// Further arrivals in a window besides, at each entry VM.
    pub slack: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

/// Machines whose speed changes all the time.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowdownScenario {
    /// Part of the machines that is slow at a moment.
    pub share: f64,
    /// How many times longer work takes there.
    pub factor: f64,
    /// Time between two changes of a machine's speed, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: f64,
}

/// Servers that are slow all the while.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowServerScenario {
    /// Part of the servers.
    pub share: f64,
    /// How many times longer work takes there.
    pub factor: f64,
}

/// A time of more requests.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstScenario {
    /// When it begins, in seconds.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// How many times more requests come.
    pub factor: f64,
}

/// A time in which servers are dead and give no sign.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashScenario {
    /// When it begins, in seconds.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// Part of the servers.
    pub share: f64,
}

/// Why a scenario can't be used.
#[derive(Debug, Display, Error)]
pub enum ScenarioFault {
    /// The file can't be read.
    #[display("scenario {path} can't be read: {reason}")]
    Unreadable {
        /// The file.
        path: Box<str>,
        /// Why.
        reason: Box<str>,
    },
    /// A field has no usable value.
    #[display("scenario {path}: {field} must be {expected}")]
    Invalid {
        /// The file.
        path: Box<str>,
        /// The field.
        field: &'static str,
        /// What it must be.
        expected: &'static str,
    },
}

impl LabScenario {
    /// Reads a scenario from a JSON file and checks it.
    pub fn load(path: &Path) -> Result<Self, ScenarioFault> {
        let name: Box<str> = path.display().to_string().into();
        let unreadable = |reason: &dyn std::fmt::Display| ScenarioFault::Unreadable {
            path: name.clone(),
            reason: reason.to_string().into(),
        };
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(&error))?;
        let scenario: Self = serde_json::from_str(&text).map_err(|error| unreadable(&error))?;
        match scenario.first_invalid_field() {
            None => Ok(scenario),
            Some((field, expected)) => Err(ScenarioFault::Invalid { path: name, field, expected }),
        }
    }

    /// The first field without a usable value, and what it must be.
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

    /// Length of a run.
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s)
    }

    /// How many times more requests than usual come at a time.
    pub(crate) fn load_factor_at(&self, at: Duration) -> f64 {
        let at = at.as_secs_f64();
        let active_bursts =
            self.bursts.iter().filter(|burst| is_within(at, burst.start_s, burst.duration_s));
        active_bursts.map(|burst| burst.factor).product()
    }

    /// The most that `load_at` gives.
    pub(crate) fn peak_load_factor(&self) -> f64 {
        self.bursts.iter().map(|burst| burst.factor.max(1.0)).product()
    }
}

/// Whether a time lies in a span, in seconds.
pub(crate) fn is_within(time: f64, start: f64, duration: f64) -> bool {
    (start..start + duration).contains(&time)
}

/// A time in milliseconds as a duration.
pub(crate) fn duration_from_ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1_000.0)
}
