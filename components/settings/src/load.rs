//! The settings file and its checks.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use model::{FieldFault, FieldKind, FieldRule, VmId, ZoneName, check_fields};

use crate::report::SettingsFault;

/// Settings of one entry VM.
#[derive(Debug, Clone, Deserialize)]
pub struct DaemonSettings {
    /// This VM's identity.
    pub vm: VmId,
    /// This VM's availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators and metrics readers connect.
    pub operators: SocketAddr,
    /// Where other entry VMs connect; its IP is the one they dial.
    pub peers: SocketAddr,
    /// Secret that all entry VMs share, at least 32 characters.
    pub peer_key: Box<str>,
    /// SHA-256 of the first fleet-wide operator key, as 64 hexadecimal digits.
    pub first_key_sha256: Box<str>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Parts into which fleet-wide budgets are divided. Invariant: the same on every entry VM.
    #[serde(default = "default_fleet_slots")]
    pub fleet_slots: u32,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: CallerSettings,
    /// Least severe log records that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// How log records are written.
    #[serde(default)]
    pub log_format: LogFormat,
    /// OpenTelemetry collector, such as `http://127.0.0.1:4318`; no traces without it.
    #[serde(default)]
    pub trace_collector: Option<Box<str>>,
    /// Time from failing readiness to closing the listeners at shutdown, in milliseconds.
    #[serde(default = "default_notice_ms")]
    pub shutdown_notice_ms: u64,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Transactional table.
    pub table: SocketAddr,
    /// List of backend servers.
    pub list: SocketAddr,
    /// Longest time for one call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

/// Limits towards callers at this entry VM.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct CallerSettings {
    /// Connections from callers.
    pub connections: u32,
    /// Requests in flight over all client accounts.
    pub in_flight: u32,
    /// Largest head of a request, in bytes.
    pub header_bytes: u32,
    /// Longest time to send a whole head, in milliseconds; also for idle connections.
    pub header_ms: u64,
    /// Longest pause within a body, in milliseconds.
    pub body_pause_ms: u64,
    /// Largest body in bytes.
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

/// Least severe log records that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// What an operator wants to know.
    #[default]
    Info,
    /// What an operator should look at.
    Warning,
    /// What an operator must look at.
    Error,
}

/// How log records are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For reading at a terminal.
    Terminal,
}

impl PlatformSettings {
    /// Longest time for one call.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_ms)
    }
}

impl CallerSettings {
    /// Longest time to send a whole head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Longest pause within a body.
    pub fn max_body_pause(&self) -> Duration {
        Duration::from_millis(self.body_pause_ms)
    }
}

impl DaemonSettings {
    /// Time from failing readiness to closing the listeners.
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

const fn field_rule(name: &'static str, kind: FieldKind, required: bool) -> FieldRule {
    FieldRule { name, kind, required }
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

/// Fewest characters of a peer key; 32 hexadecimal digits hold 128 bits.
const MIN_PEER_KEY_CHARACTERS: usize = 32;

/// Reads and checks a settings file; the fault lists every wrong field with its line.
pub fn load_settings(path: &Path) -> Result<DaemonSettings, SettingsFault> {
    read_settings(path, SETTINGS_FIELDS, SETTINGS_ADDRESSES, check_keys)
}

/// Reads a settings file and checks it against a table of fields and `check`.
pub(crate) fn read_settings<T: DeserializeOwned>(
    path: &Path,
    fields: &[FieldRule],
    addresses: &[&str],
    check_values: impl FnOnce(&Value, &mut Vec<FieldFault>),
) -> Result<T, SettingsFault> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsFault::unreadable_file(path, &error.to_string()))?;
    let value: Value = serde_json::from_str(&text).map_err(|error| {
        SettingsFault::malformed_json(path, &text, error.line(), error.column(), &error.to_string())
    })?;
    let mut faults = Vec::new();
    check_fields("$", &value, fields, &mut faults);
    check_addresses(&value, addresses, &mut faults);
    check_values(&value, &mut faults);
    if !faults.is_empty() {
        return Err(SettingsFault::invalid_fields(path, &text, &faults));
    }
    serde_json::from_value(value).map_err(|error| {
        let fault = FieldFault::new("$", error.to_string());
        SettingsFault::invalid_fields(path, &text, &[fault])
    })
}

fn check_addresses(value: &Value, pointers: &[&str], faults: &mut Vec<FieldFault>) {
    let mut listen_addresses: Vec<(String, SocketAddr)> = Vec::new();
    for pointer in pointers {
        let Some(text) = value.pointer(pointer).and_then(Value::as_str) else {
            continue;
        };
        let path = format!("${}", pointer.replace('/', "."));
        let Ok(address) = text.parse::<SocketAddr>() else {
            faults.push(FieldFault::new(&path, "must be an IP address and port, as 10.0.0.1:8080"));
            continue;
        };
        // Metrics do without their port where it is taken.
        let is_listen_address =
            !pointer.starts_with("/platform") && !matches!(*pointer, "/store" | "/metrics");
        let conflict = listen_addresses.iter().find(|(_, other)| other.port() == address.port());
        if let Some((other, _)) = conflict.filter(|_| is_listen_address) {
            let problem = format!("port {} is used by {other} too", address.port());
            faults.push(FieldFault::new(&path, problem));
        }
        if is_listen_address {
            listen_addresses.push((path, address));
        }
    }
}

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
