//! Settings of an entry VM on a hosting platform.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use model::{FieldFault, FieldKind, FieldRule, ZoneName};
use quarantine::CrashLimits;

use crate::load::{ADDRESS_RULE, LogLevel, read_settings};
use crate::report::SettingsError;
use crate::timing::{HostedBounds, HostedTiming, TimingError};

/// Settings of a hosted entry VM.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HostedSettings {
    /// Name of this VM.
    pub vm: Box<str>,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the platform's readiness checks and for metrics.
    pub readiness: SocketAddr,
    /// Additional listen address for metrics, for scrapers that need a fixed port.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Listen address for entry VMs that subscribe to this VM's updates. Used only if it is one of
    /// `relays`.
    pub relay: SocketAddr,
    /// Addresses of the entry VMs that read the store on behalf of the others. Any of them may be
    /// stale or down.
    pub relays: Vec<SocketAddr>,
    /// Time after a change of `relays` until the settings of all VMs have it, in seconds.
    #[serde(default = "default_relay_change")]
    pub relay_change_s: f64,
    /// Time from SIGTERM until the platform kills the process, in seconds.
    pub grace_s: f64,
    /// Time after an outage within which this VM must have the current state of the store again, in
    /// seconds.
    #[serde(rename = "contact_s")]
    pub store_contact_limit_s: f64,
    /// Time after its acceptance within which a configuration must be in force, in seconds.
    #[serde(default = "default_propagation")]
    pub config_apply_s: f64,
    /// Time after its acceptance within which a report that a backend server leaves must be in
    /// force, in seconds.
    #[serde(default = "default_propagation")]
    pub drain_s: f64,
    /// Time after its acceptance within which the evacuation of an availability zone must be in force,
    /// in seconds. Evacuations propagate with configurations, so only a shorter time than
    /// `config_apply_s` has an effect. `None` if the platform states none.
    #[serde(default)]
    pub evacuate_s: Option<f64>,
    /// Interval at which backend servers renew their entries in the list, in seconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_s: f64,
    /// Time after a restart of all entry VMs within which they must serve again, in seconds.
    #[serde(default = "default_recovery")]
    pub recovery_s: f64,
    /// Agreed budget of extra attempts at a service.
    pub retries: RetrySettings,
    /// Whether the whole fleet starts for the first time, so that no earlier start has used
    /// fleet-wide budgets.
    #[serde(default)]
    pub first_start: bool,
    /// Price of a GB that crosses availability zones, in requests: sending it costs as much as
    /// failing this number of requests. 0 if it costs nothing.
    #[serde(default = "default_cross_zone_price")]
    pub cross_zone_requests_per_gb: f64,
    /// When a request that crashes its servers is refused, and for how long.
    #[serde(default)]
    pub quarantine: QuarantineSettings,
    /// Agreed bound of the requests to cold servers; absent if they have none.
    #[serde(default)]
    pub cold_servers: Option<ColdServerSettings>,
    /// How far client accounts may exceed their quotas.
    #[serde(default)]
    pub quotas: QuotaSettings,
    /// Minimum level of log records that are written.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Budget of extra attempts (retries and hedges) at a service, summed over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct RetrySettings {
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Extra attempts allowed per window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
}

/// Bound of the requests that a cold server gets in any second from the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct ColdServerSettings {
    /// Multiple of the rate that the server tolerates.
    pub over: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// When a request that crashes its servers is refused, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct QuarantineSettings {
    /// Number of crashes after which it is refused.
    pub crashes: usize,
    /// How long a crash counts, and how long the request is refused at first, in seconds.
    pub time_s: f64,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        let limits = CrashLimits::default();
        Self { crashes: limits.crashes, time_s: limits.quarantine_time.as_secs_f64() }
    }
}

/// How far client accounts may exceed their quotas, summed over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct QuotaSettings {
    /// Allowed excess as a fraction of the quota.
    pub over: f64,
    /// Further requests allowed per window.
    pub slack: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { over: 0.1, slack: 0.0, window_s: 1.0 }
    }
}

impl HostedSettings {
    /// Returns the time from SIGTERM until the platform kills the process.
    pub fn shutdown_grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the time after a change of `relays` until the settings of all VMs have it.
    pub fn relay_change_time(&self) -> Duration {
        Duration::from_secs_f64(self.relay_change_s)
    }

    /// Whether these settings name this VM as a relay.
    pub fn is_relay(&self) -> bool {
        self.relays.contains(&self.relay)
    }

    /// Returns these settings with those of `started` that only a start can change, and the names
    /// of those that differ.
    pub fn with_start_settings(mut self, started: &Self) -> (Self, Vec<&'static str>) {
        let mut differing = Vec::new();
        let mut keep = |name, differs: bool| {
            if differs {
                differing.push(name);
            }
        };
        keep("vm", replace(&mut self.vm, &started.vm));
        keep("zone", replace(&mut self.zone, &started.zone));
        keep("callers", replace(&mut self.callers, &started.callers));
        keep("readiness", replace(&mut self.readiness, &started.readiness));
        keep("metrics", replace(&mut self.metrics, &started.metrics));
        keep("relay", replace(&mut self.relay, &started.relay));
        keep("log_level", replace(&mut self.log_level, &started.log_level));
        let price = &mut self.cross_zone_requests_per_gb;
        keep("cross_zone_requests_per_gb", replace(price, &started.cross_zone_requests_per_gb));
        let retry_window = &mut self.retries.window_s;
        keep("retries.window_s", replace(retry_window, &started.retries.window_s));
        let quota_window = &mut self.quotas.window_s;
        keep("quotas.window_s", replace(quota_window, &started.quotas.window_s));
        (self, differing)
    }

    /// Returns the bounds that times depend on.
    pub fn bounds(&self) -> HostedBounds {
        let config_apply_s = self.evacuate_s.unwrap_or(f64::INFINITY).min(self.config_apply_s);
        HostedBounds {
            contact: Duration::from_secs_f64(self.store_contact_limit_s),
            config_apply: Duration::from_secs_f64(config_apply_s),
            drain: Duration::from_secs_f64(self.drain_s),
            heartbeat: Duration::from_secs_f64(self.heartbeat_s),
            recovery: Duration::from_secs_f64(self.recovery_s),
            grace: self.shutdown_grace(),
            retry_window: Duration::from_secs_f64(self.retries.window_s),
        }
    }

    /// Returns the times derived from the bounds; fails if these can't be met together.
    pub fn timing(&self) -> Result<HostedTiming, TimingError> {
        HostedTiming::new(&self.bounds())
    }
}

/// Replaces a value and returns whether it was different.
fn replace<T: Clone + PartialEq>(value: &mut T, other: &T) -> bool {
    let differs = value != other;
    *value = other.clone();
    differs
}

/// Times in seconds of a platform that states none.
const fn default_relay_change() -> f64 {
    3.0
}

const fn default_propagation() -> f64 {
    2.0
}

const fn default_heartbeat() -> f64 {
    1.5
}

const fn default_recovery() -> f64 {
    15.0
}

/// Price of a GB between zones if the settings have none: a response of 5 KB to another zone costs
/// a twentieth of a request.
const fn default_cross_zone_price() -> f64 {
    9_000.0
}

const fn required(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, kind, is_required: true }
}

const fn optional_seconds(name: &'static str) -> FieldRule {
    FieldRule { name, kind: FieldKind::Number(0.2, 3_600.0), is_required: false }
}

const RETRY_FIELDS: &[FieldRule] = &[
    required("ratio", FieldKind::Number(0.0, 10.0)),
    required("slack", FieldKind::Number(0.0, 1_000_000.0)),
    required("window_s", FieldKind::Number(0.1, 3_600.0)),
];

const QUARANTINE_FIELDS: &[FieldRule] = &[
    FieldRule { name: "crashes", kind: FieldKind::Integer(1, 1_000), is_required: false },
    FieldRule { name: "time_s", kind: FieldKind::Number(1.0, 86_400.0), is_required: false },
];

const COLD_SERVER_FIELDS: &[FieldRule] = &[
    required("over", FieldKind::Number(0.1, 1_000.0)),
    required("slack", FieldKind::Number(0.0, 1_000_000.0)),
];

const QUOTA_FIELDS: &[FieldRule] = &[
    FieldRule { name: "over", kind: FieldKind::Number(0.0, 10.0), is_required: false },
    FieldRule { name: "slack", kind: FieldKind::Number(0.0, 1_000_000.0), is_required: false },
    FieldRule { name: "window_s", kind: FieldKind::Number(0.1, 3_600.0), is_required: false },
];

const HOSTED_FIELDS: &[FieldRule] = &[
    required("vm", FieldKind::NonEmptyString),
    required("zone", FieldKind::Name),
    required("callers", FieldKind::NonEmptyString),
    required("readiness", FieldKind::NonEmptyString),
    FieldRule { name: "metrics", kind: FieldKind::NonEmptyString, is_required: false },
    required("store", FieldKind::NonEmptyString),
    required("relay", FieldKind::NonEmptyString),
    required("relays", FieldKind::StringList(64)),
    FieldRule { name: "relay_change_s", kind: FieldKind::Number(0.0, 3_600.0), is_required: false },
    required("grace_s", FieldKind::Number(0.1, 3_600.0)),
    required("contact_s", FieldKind::Number(0.1, 3_600.0)),
    optional_seconds("config_apply_s"),
    optional_seconds("drain_s"),
    optional_seconds("evacuate_s"),
    optional_seconds("heartbeat_s"),
    optional_seconds("recovery_s"),
    required("retries", FieldKind::Object(RETRY_FIELDS)),
    FieldRule {
        name: "quarantine",
        kind: FieldKind::Object(QUARANTINE_FIELDS),
        is_required: false,
    },
    FieldRule {
        name: "cold_servers",
        kind: FieldKind::Object(COLD_SERVER_FIELDS),
        is_required: false,
    },
    FieldRule { name: "quotas", kind: FieldKind::Object(QUOTA_FIELDS), is_required: false },
    FieldRule { name: "first_start", kind: FieldKind::Boolean, is_required: false },
    FieldRule {
        name: "cross_zone_requests_per_gb",
        kind: FieldKind::Number(0.0, 1e9),
        is_required: false,
    },
    FieldRule {
        name: "log_level",
        kind: FieldKind::Choice(&["debug", "info", "warning", "error"]),
        is_required: false,
    },
];

/// Addresses in the settings of a hosted entry VM, as JSON pointers.
const HOSTED_ADDRESSES: &[&str] = &["/callers", "/readiness", "/metrics", "/relay", "/store"];

/// Loads the settings file of a hosted entry VM. The returned error lists every invalid field with
/// its line.
pub fn load_hosted_settings(path: &Path) -> Result<HostedSettings, SettingsError> {
    read_settings(path, HOSTED_FIELDS, HOSTED_ADDRESSES, check_hosted_values)
}

/// A settings file that may change while the daemon runs.
#[derive(Debug)]
pub struct HostedSettingsFile {
    path: PathBuf,
    /// Content when it was last loaded, or that it was unreadable; `None` before the first time.
    loaded: Option<Result<String, ErrorKind>>,
}

impl HostedSettingsFile {
    /// Creates a file that has not been loaded.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), loaded: None }
    }

    /// Loads the file if its content has changed since it was last loaded, valid or not.
    pub fn load_changed(&mut self) -> Option<Result<HostedSettings, SettingsError>> {
        let read = std::fs::read_to_string(&self.path).map_err(|error| error.kind());
        if self.loaded.as_ref() == Some(&read) {
            return None;
        }
        self.loaded = Some(read);
        Some(load_hosted_settings(&self.path))
    }
}

/// Adds a fault for each malformed address of a relay, and if bounds can't be met together. Invalid
/// fields have faults of their own.
fn check_hosted_values(value: &Value, faults: &mut Vec<FieldFault>) {
    let relays = value["relays"].as_array().into_iter().flatten().enumerate();
    for (index, relay) in relays.filter_map(|(index, relay)| Some((index, relay.as_str()?))) {
        if relay.parse::<SocketAddr>().is_err() {
            let path = format!("$.relays[{index}]");
            faults.push(FieldFault::new(&path, ADDRESS_RULE));
        }
    }
    if !faults.is_empty() {
        return;
    }
    if let Ok(settings) = HostedSettings::deserialize(value)
        && let Err(error) = settings.timing()
    {
        faults.push(FieldFault::new(&format!("$.{}", error.shorter), error.to_string()));
    }
}
