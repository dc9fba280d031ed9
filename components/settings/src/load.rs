//! Loading and validation of the settings file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use model::{FieldFault, FieldKind, FieldRule, VmId, ZoneName, check_fields};

use crate::report::SettingsError;

/// Settings of an entry VM.
#[derive(Debug, Clone, Deserialize)]
pub struct DaemonSettings {
    /// Identifier of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators and for metrics.
    pub operators: SocketAddr,
    /// Listen address for other entry VMs; its IP address is the one they connect to.
    pub peers: SocketAddr,
    /// Secret with which entry VMs authenticate each other. Invariant: the same on all entry VMs,
    /// at least 32 characters.
    pub peer_key: Box<str>,
    /// SHA-256 hash of the initial fleet-wide operator key, as 64 hexadecimal digits.
    pub first_key_sha256: Box<str>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Number of slots into which fleet-wide budgets are divided. Invariant: the same on all entry
    /// VMs.
    #[serde(default = "default_fleet_slots")]
    pub fleet_slots: u32,
    /// Limits for callers.
    #[serde(default)]
    pub limits: CallerSettings,
    /// Minimum level of log records that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Format of log records.
    #[serde(default)]
    pub log_format: LogFormat,
    /// URL of the OpenTelemetry collector, such as `http://127.0.0.1:4318`. Without it, no traces
    /// are exported.
    #[serde(default)]
    pub trace_collector: Option<Box<str>>,
    /// Time at shutdown between failing the readiness check and closing the listeners, in
    /// milliseconds.
    #[serde(default = "default_notice_ms")]
    pub shutdown_notice_ms: u64,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Address of the transactional table.
    pub table: SocketAddr,
    /// Address of the list of backend servers and entry VMs.
    pub list: SocketAddr,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

/// Limits for callers at an entry VM.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct CallerSettings {
    /// Maximum number of connections from callers.
    pub connections: u32,
    /// Maximum number of requests in flight over all client accounts.
    pub in_flight: u32,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u32,
    /// Timeout for receiving a request head, in milliseconds. It also applies to idle connections.
    pub header_ms: u64,
    /// Maximum pause between two chunks of a body, in milliseconds.
    pub body_pause_ms: u64,
    /// Maximum size of a body, in bytes.
    pub body_bytes: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            connections: 20_000,
            in_flight: 4_000,
            header_bytes: 32 << 10,
            header_ms: 30_000,
            body_pause_ms: 30_000,
            body_bytes: 16 << 30,
        }
    }
}

/// Minimum level of log records that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Details for debugging.
    Debug,
    /// Events of normal operation.
    #[default]
    Info,
    /// Problems that an operator should investigate.
    Warning,
    /// Failures that an operator must act on.
    Error,
}

/// Format of log records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text for a terminal.
    Terminal,
}

impl PlatformSettings {
    /// Returns the timeout of a call.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_ms)
    }
}

impl CallerSettings {
    /// Returns the timeout for receiving a request head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Returns the maximum pause between two chunks of a body.
    pub fn max_body_pause(&self) -> Duration {
        Duration::from_millis(self.body_pause_ms)
    }
}

impl DaemonSettings {
    /// Returns the time between failing the readiness check and closing the listeners.
    pub fn shutdown_notice(&self) -> Duration {
        Duration::from_millis(self.shutdown_notice_ms)
    }
}

fn default_fleet_slots() -> u32 {
    32
}

fn default_notice_ms() -> u64 {
    5_000
}

fn default_call_ms() -> u64 {
    1_000
}

const fn field_rule(name: &'static str, kind: FieldKind, is_required: bool) -> FieldRule {
    FieldRule { name, kind, is_required }
}

const PLATFORM_FIELDS: &[FieldRule] = &[
    field_rule("table", FieldKind::NonEmptyString, true),
    field_rule("list", FieldKind::NonEmptyString, true),
    field_rule("call_ms", FieldKind::Integer(10, 60_000), false),
];

const LIMIT_FIELDS: &[FieldRule] = &[
    field_rule("connections", FieldKind::Integer(1, 1_000_000), false),
    field_rule("in_flight", FieldKind::Integer(1, 1_000_000), false),
    field_rule("header_bytes", FieldKind::Integer(8_192, 1_048_576), false),
    field_rule("header_ms", FieldKind::Integer(100, 600_000), false),
    field_rule("body_pause_ms", FieldKind::Integer(100, 600_000), false),
    field_rule("body_bytes", FieldKind::Integer(1, 1 << 40), false),
];

const SETTINGS_FIELDS: &[FieldRule] = &[
    field_rule("vm", FieldKind::Name, true),
    field_rule("zone", FieldKind::Name, true),
    field_rule("callers", FieldKind::NonEmptyString, true),
    field_rule("operators", FieldKind::NonEmptyString, true),
    field_rule("peers", FieldKind::NonEmptyString, true),
    field_rule("peer_key", FieldKind::NonEmptyString, true),
    field_rule("first_key_sha256", FieldKind::NonEmptyString, true),
    field_rule("platform", FieldKind::Object(PLATFORM_FIELDS), true),
    field_rule("fleet_slots", FieldKind::Integer(1, 4_096), false),
    field_rule("limits", FieldKind::Object(LIMIT_FIELDS), false),
    field_rule("log_level", FieldKind::Choice(&["debug", "info", "warning", "error"]), false),
    field_rule("log_format", FieldKind::Choice(&["json", "terminal"]), false),
    field_rule("trace_collector", FieldKind::NonEmptyString, false),
    field_rule("shutdown_notice_ms", FieldKind::Integer(0, 600_000), false),
];

/// Addresses in the settings, as JSON pointers.
const SETTINGS_ADDRESSES: &[&str] =
    &["/callers", "/operators", "/peers", "/platform/table", "/platform/list"];

/// What is required of an address.
pub(crate) const ADDRESS_RULE: &str = "must be an IP address and port, such as 10.0.0.1:8080";

/// Minimum length of a peer key; 32 hexadecimal digits are 128 bits.
const MIN_PEER_KEY_CHARACTERS: usize = 32;

/// Loads a settings file. The returned error lists every invalid field with its line.
pub fn load_settings(path: &Path) -> Result<DaemonSettings, SettingsError> {
    read_settings(path, SETTINGS_FIELDS, SETTINGS_ADDRESSES, check_keys)
}

/// Loads a settings file and checks it against a table of fields and with `check_values`.
pub(crate) fn read_settings<T: DeserializeOwned>(
    path: &Path,
    fields: &[FieldRule],
    addresses: &[&str],
    check_values: impl FnOnce(&Value, &mut Vec<FieldFault>),
) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::unreadable_file(path, &error.to_string()))?;
    let value: Value = serde_json::from_str(&text).map_err(|error| {
        SettingsError::malformed_json(path, &text, error.line(), error.column(), &error.to_string())
    })?;
    let mut faults = Vec::new();
    check_fields("$", &value, fields, &mut faults);
    check_addresses(&value, addresses, &mut faults);
    check_values(&value, &mut faults);
    if !faults.is_empty() {
        return Err(SettingsError::invalid_fields(path, &text, &faults));
    }
    serde_json::from_value(value).map_err(|error| {
        let fault = FieldFault::new("$", error.to_string());
        SettingsError::invalid_fields(path, &text, &[fault])
    })
}

/// Adds a fault for each malformed address and each listen address with the port of an earlier one.
fn check_addresses(value: &Value, pointers: &[&str], faults: &mut Vec<FieldFault>) {
    let mut listen_addresses: Vec<(String, SocketAddr)> = Vec::new();
    for pointer in pointers {
        let Some(text) = value.pointer(pointer).and_then(Value::as_str) else {
            continue;
        };
        let path = format!("${}", pointer.replace('/', "."));
        let Ok(address) = text.parse::<SocketAddr>() else {
            faults.push(FieldFault::new(&path, ADDRESS_RULE));
            continue;
        };
        // The metrics port isn't checked for conflicts, because the daemon runs without it if it is
        // in use.
        let is_listen_address =
            !pointer.starts_with("/platform") && !matches!(*pointer, "/store" | "/metrics");
        let conflict = listen_addresses.iter().find(|(_, other)| other.port() == address.port());
        if let Some((other, _)) = conflict.filter(|_| is_listen_address) {
            let problem = format!("port {} is also used by {other}", address.port());
            faults.push(FieldFault::new(&path, problem));
        }
        if is_listen_address {
            listen_addresses.push((path, address));
        }
    }
}

/// Checks the length of the peer key and the format of the operator key's hash.
fn check_keys(value: &Value, faults: &mut Vec<FieldFault>) {
    if let Some(key) = value["peer_key"].as_str()
        && key.len() < MIN_PEER_KEY_CHARACTERS
    {
        faults.push(FieldFault::new("$.peer_key", "must have at least 32 characters"));
    }
    if let Some(hash) = value["first_key_sha256"].as_str()
        && !(hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit()))
    {
        faults.push(FieldFault::new("$.first_key_sha256", "must be 64 hexadecimal digits"));
    }
}
