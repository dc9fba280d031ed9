//! Contents of records, for each kind and schema version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::check::{FieldFault, FieldKind, FieldRule, check_fields};
use crate::ids::{GroupName, RecordName, SchemaVersion};
use crate::quantities::{ProbeRate, RequestRate};
use crate::record::RecordKind;

/// The content of a record, upgraded to the newest schema version of its kind.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordSpec {
    /// Client account, schema version 1.
    ClientAccount(AccountSpec),
    /// Service, schema versions 1 and 2; version 1 holds the defaults of the newer fields.
    Service(ServiceSpec),
    /// Routing policy, schema versions 1 and 2; version 1 has one rule.
    RoutingPolicy(RoutingPolicySpec),
    /// Operator key, schema version 1.
    OperatorKey(OperatorKeySpec),
}

/// Content of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// Host names whose requests belong to this account. Invariant: no host has two accounts.
    pub hosts: Vec<Box<str>>,
    /// The highest schema version of records that this account's traffic uses.
    #[serde(rename = "runs_schema")]
    pub max_schema: SchemaVersion,
    /// Limits for each entry VM.
    #[serde(default)]
    pub limits: AccountLimits,
}

/// Limits of a client account at each entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AccountLimits {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests a second, with a burst of one second.
    pub requests_per_s: RequestRate,
    /// Claims that may wait for the platform's table.
    pub waiting_claims: u32,
    /// Share of a contended limit relative to other accounts.
    pub weight: u32,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            in_flight: 1_000,
            requests_per_s: RequestRate(5_000.0),
            waiting_claims: 200,
            weight: 1,
        }
    }
}

/// Content of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The group of backend servers in the platform's VM list.
    pub group: GroupName,
    /// Requests that one backend server runs at a time.
    pub slots: u32,
    /// Connections that one backend server accepts from the whole fleet.
    pub connections: u32,
    /// Longest time for a request, in milliseconds, when the caller sends no shorter deadline.
    pub timeout_ms: u64,
    /// Usual time to the first byte of an answer, in milliseconds.
    #[serde(default = "default_expected_ms")]
    pub expected_ms: u64,
    /// Agreed budget of probes a second over the whole fleet.
    #[serde(default = "default_probe_rate")]
    pub probes_per_s: ProbeRate,
    /// Path that a probe requests.
    #[serde(default = "default_probe_path")]
    pub probe_path: Box<str>,
    /// Second tries allowed, as a percentage of recent successes.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Statuses by which a backend server declares that it did not begin to run a request.
    #[serde(default)]
    pub refusal_statuses: Vec<u16>,
}

fn default_expected_ms() -> u64 {
    100
}

fn default_probe_rate() -> ProbeRate {
    ProbeRate(0.0)
}

fn default_probe_path() -> Box<str> {
    "/load".into()
}

fn default_retry_percent() -> u32 {
    10
}

impl ServiceSpec {
    /// Longest time for a request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Content of a routing policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingPolicySpec {
    /// The rules; the longest matching path prefix wins.
    pub rules: Vec<RouteRule>,
}

/// One rule of a routing policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Host name, one of the account's own.
    pub host: Box<str>,
    /// Beginning of the path.
    pub path_prefix: Box<str>,
    /// Service of the same account.
    pub service: RecordName,
    /// Which requests may run more than once.
    #[serde(default)]
    pub idempotent: IdempotencyRule,
    /// Whether a non-idempotent request needs an `Idempotency-Key`.
    #[serde(rename = "key", default)]
    pub idempotency_key: IdempotencyKeyPolicy,
    /// What happens to a request with an `Idempotency-Key` while the platform's table is down.
    #[serde(default)]
    pub store_outage: StoreOutagePolicy,
}

/// Which requests of a rule may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyRule {
    /// GET, HEAD and OPTIONS may; others may not.
    #[default]
    ByMethod,
    /// All may.
    Always,
    /// None may.
    Never,
}

/// Whether a non-idempotent request needs an `Idempotency-Key`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyKeyPolicy {
    /// It may come without; then it is sent at most once by one entry VM.
    #[default]
    Optional,
    /// It is refused without.
    Required,
}

/// What happens to a request with an `Idempotency-Key` while the platform's table is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreOutagePolicy {
    /// It is refused as not run.
    #[default]
    Refuse,
    /// It is sent once by this entry VM; a repeat at another entry VM may run again.
    SendOnce,
}

/// Content of an operator key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorKeySpec {
    /// SHA-256 of the key, as 64 hexadecimal digits.
    pub key_sha256: Box<str>,
    /// What the key may change.
    pub scope: OperatorKeyScope,
}

/// What an operator key may change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorKeyScope {
    /// The records of its own account, but for the client account record and keys.
    Account,
    /// All records of all accounts.
    Fleet,
}

const fn required(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, kind, required: true }
}

const fn optional(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, kind, required: false }
}

const CLIENT_ACCOUNT_V1_FIELDS: &[FieldRule] = &[
    required("hosts", FieldKind::StringList(256)),
    required("runs_schema", FieldKind::Integer(1, 65_535)),
    optional(
        "limits",
        FieldKind::Object(&[
            optional("in_flight", FieldKind::Integer(1, 1_000_000)),
            optional("requests_per_s", FieldKind::Number(1.0, 1_000_000.0)),
            optional("waiting_claims", FieldKind::Integer(0, 100_000)),
            optional("weight", FieldKind::Integer(1, 1_000)),
        ]),
    ),
];

const SERVICE_V1_FIELDS: &[FieldRule] = &[
    required("group", FieldKind::Name),
    required("slots", FieldKind::Integer(1, 10_000)),
    required("connections", FieldKind::Integer(1, 100_000)),
    required("timeout_ms", FieldKind::Integer(1, 86_400_000)),
];

const SERVICE_V2_FIELDS: &[FieldRule] = &[
    required("group", FieldKind::Name),
    required("slots", FieldKind::Integer(1, 10_000)),
    required("connections", FieldKind::Integer(1, 100_000)),
    required("timeout_ms", FieldKind::Integer(1, 86_400_000)),
    optional("expected_ms", FieldKind::Integer(1, 86_400_000)),
    optional("probes_per_s", FieldKind::Number(0.0, 10_000.0)),
    optional("probe_path", FieldKind::NonEmptyString),
    optional("retry_percent", FieldKind::Integer(0, 50)),
    optional("refusal_statuses", FieldKind::IntegerList(16, 400, 599)),
];

const ROUTE_RULE_V1_FIELDS: &[FieldRule] = &[
    required("host", FieldKind::NonEmptyString),
    required("path_prefix", FieldKind::NonEmptyString),
    required("service", FieldKind::Name),
];

const ROUTE_RULE_V2_FIELDS: &[FieldRule] = &[
    required("host", FieldKind::NonEmptyString),
    required("path_prefix", FieldKind::NonEmptyString),
    required("service", FieldKind::Name),
    optional("idempotent", FieldKind::Choice(&["by-method", "always", "never"])),
    optional("key", FieldKind::Choice(&["optional", "required"])),
    optional("store_outage", FieldKind::Choice(&["refuse", "send-once"])),
];

const ROUTING_POLICY_V2_FIELDS: &[FieldRule] =
    &[required("rules", FieldKind::ObjectList(256, ROUTE_RULE_V2_FIELDS))];

const OPERATOR_KEY_V1_FIELDS: &[FieldRule] = &[
    required("key_sha256", FieldKind::NonEmptyString),
    required("scope", FieldKind::Choice(&["account", "fleet"])),
];

impl RecordSpec {
    /// Reads the content of a record and reports every fault of its shape.
    pub fn parse(
        kind: RecordKind,
        schema: SchemaVersion,
        value: &Value,
    ) -> Result<Self, Vec<FieldFault>> {
        match (kind, schema.0) {
            (RecordKind::ClientAccount, 1) => {
                check_and_parse(value, CLIENT_ACCOUNT_V1_FIELDS).map(Self::ClientAccount)
            }
            (RecordKind::Service, 1) => {
                check_and_parse(value, SERVICE_V1_FIELDS).map(Self::Service)
            }
            (RecordKind::Service, 2) => {
                check_and_parse(value, SERVICE_V2_FIELDS).map(Self::Service)
            }
            (RecordKind::RoutingPolicy, 1) => check_and_parse(value, ROUTE_RULE_V1_FIELDS)
                .map(|rule| Self::RoutingPolicy(RoutingPolicySpec { rules: vec![rule] })),
            (RecordKind::RoutingPolicy, 2) => {
                check_and_parse(value, ROUTING_POLICY_V2_FIELDS).map(Self::RoutingPolicy)
            }
            (RecordKind::OperatorKey, 1) => {
                check_and_parse(value, OPERATOR_KEY_V1_FIELDS).map(Self::OperatorKey)
            }
            _ => Err(vec![FieldFault::new(
                "$.schema",
                format!(
                    "schema version {schema} of kind \"{kind}\" does not exist; newest is {}",
                    Self::newest_schema(kind)
                ),
            )]),
        }
    }

    /// The newest schema version of a kind that this program reads.
    pub fn newest_schema(kind: RecordKind) -> SchemaVersion {
        match kind {
            RecordKind::Service | RecordKind::RoutingPolicy => SchemaVersion(2),
            RecordKind::ClientAccount | RecordKind::OperatorKey => SchemaVersion(1),
        }
    }
}

fn check_and_parse<T: for<'de> Deserialize<'de>>(
    value: &Value,
    rules: &[FieldRule],
) -> Result<T, Vec<FieldFault>> {
    let mut faults = Vec::new();
    check_fields("$.spec", value, rules, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    serde_json::from_value(value.clone())
        .map_err(|error| vec![FieldFault::new("$.spec", error.to_string())])
}
