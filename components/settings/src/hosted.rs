//! Settings of an entry VM on a hosting platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use model::{FieldKind, FieldRule, ZoneName};

use crate::load::{LogLevel, read_settings};
use crate::report::SettingsFault;

/// Settings of one hosted entry VM.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HostedSettings {
    /// This VM's name.
    pub vm: Box<str>,
    /// This VM's availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether this VM takes connections; metrics are here, too.
    pub readiness: SocketAddr,
    /// Another address of the metrics, where readers need a fixed port.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where other entry VMs subscribe to what this one knows of the store.
    pub relay: SocketAddr,
    /// Entry VMs that read the store for the others; this one among them or not. They may be stale
    /// or down.
    pub relays: Vec<SocketAddr>,
    /// Time from SIGTERM until the platform kills the process, in seconds.
    pub grace_s: f64,
    /// Time after an outage from which this VM must know again what the store holds, in seconds.
    #[serde(rename = "contact_s")]
    pub store_contact_limit_s: f64,
    /// Agreed budget of further arrivals at a service.
    pub retries: RetrySettings,
    /// Least severe log records that are written.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Agreed budget of further arrivals at a service, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct RetrySettings {
    /// Further arrivals for each request.
    pub ratio: f64,
    /// Further arrivals in a window besides.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl HostedSettings {
    /// Time from SIGTERM until the platform kills the process.
    pub fn shutdown_grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Time after an outage from which this VM must know again what the store holds.
    pub fn store_contact_limit(&self) -> Duration {
        Duration::from_secs_f64(self.store_contact_limit_s)
    }
}

const fn required(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, kind, required: true }
}

const RETRY_FIELDS: &[FieldRule] = &[
    required("ratio", FieldKind::Number(0.0, 10.0)),
    required("slack", FieldKind::Number(0.0, 1_000_000.0)),
    required("window_s", FieldKind::Number(0.1, 3_600.0)),
];

const HOSTED_FIELDS: &[FieldRule] = &[
    required("vm", FieldKind::NonEmptyString),
    required("zone", FieldKind::Name),
    required("callers", FieldKind::NonEmptyString),
    required("readiness", FieldKind::NonEmptyString),
    FieldRule { name: "metrics", kind: FieldKind::NonEmptyString, required: false },
    required("store", FieldKind::NonEmptyString),
    required("relay", FieldKind::NonEmptyString),
    required("relays", FieldKind::StringList(64)),
    required("grace_s", FieldKind::Number(0.1, 3_600.0)),
    required("contact_s", FieldKind::Number(0.1, 3_600.0)),
    required("retries", FieldKind::Object(RETRY_FIELDS)),
    FieldRule {
        name: "log_level",
        kind: FieldKind::Choice(&["debug", "info", "warning", "error"]),
        required: false,
    },
];

/// Addresses in the settings, as JSON pointers.
const HOSTED_ADDRESSES: &[&str] = &["/callers", "/readiness", "/metrics", "/relay", "/store"];

/// Reads and checks the settings file of a hosted entry VM.
pub fn load_hosted_settings(path: &Path) -> Result<HostedSettings, SettingsFault> {
    read_settings(path, HOSTED_FIELDS, HOSTED_ADDRESSES, |_, _| {})
}
