//! Contents of records for each kind and schema version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::check::{FieldFault, FieldKind, FieldRule, check_fields};
use crate::ids::{GroupName, RecordName, SchemaVersion};
use crate::quantities::{ProbeRate, RequestRate};
use crate::record::RecordKind;

/// Content of a record, converted to the newest schema version of its kind.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordSpec {
    /// Content of a client account, schema version 1.
    ClientAccount(AccountSpec),
    /// Content of a service, schema versions 1 and 2. Fields that version 1 lacks get their
    /// defaults.
    Service(ServiceSpec),
    /// Content of a routing policy, schema versions 1 and 2. Version 1 has exactly one rule.
    RoutingPolicy(RoutingPolicySpec),
    /// Content of an operator key, schema version 1.
    OperatorKey(OperatorKeySpec),
}

/// Content of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// Host names whose requests belong to this account. Invariant: each host name belongs to at
    /// most one account.
    pub hosts: Vec<Box<str>>,
    /// Highest schema version of the records that apply to this account's traffic.
    #[serde(rename = "runs_schema")]
    pub max_schema: SchemaVersion,
    /// Limits at each entry VM.
    #[serde(default)]
    pub limits: AccountLimits,
}

/// Limits of a client account at each entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AccountLimits {
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Maximum requests per second. A burst may contain the requests of one second.
    pub requests_per_s: RequestRate,
    /// Maximum number of claims that wait for a transaction of the platform's table.
    pub waiting_claims: u32,
    /// Weight relative to other accounts when they compete for a limit.
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
    /// Group of backend servers in the platform's server list.
    pub group: GroupName,
    /// Number of requests that a backend server runs concurrently.
    pub slots: u32,
    /// Number of connections that a backend server accepts from the whole fleet.
    pub connections: u32,
    /// Timeout of a request, in milliseconds. A caller can set an earlier deadline.
    pub timeout_ms: u64,
    /// Expected time to the first byte of a response, in milliseconds. A request that takes longer
    /// may be sent to a second server.
    #[serde(default = "default_expected_ms")]
    pub expected_ms: u64,
    /// Budget of probes per second, summed over the whole fleet.
    #[serde(default = "default_probe_rate")]
    pub probes_per_s: ProbeRate,
    /// Request path of a probe.
    #[serde(default = "default_probe_path")]
    pub probe_path: Box<str>,
    /// Budget of retries and hedged attempts, as a percentage of recent successful requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Status codes by which a backend server states that it did not start to run a request.
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
    /// Returns the timeout of a request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Content of a routing policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingPolicySpec {
    /// Rules, of which the one with the longest matching path prefix applies.
    pub rules: Vec<RouteRule>,
}

/// One rule of a routing policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Host name, one of the account's `hosts`.
    pub host: Box<str>,
    /// Prefix of the request path.
    pub path_prefix: Box<str>,
    /// Service of the same account that receives the requests.
    pub service: RecordName,
    /// Which requests are idempotent.
    #[serde(default)]
    pub idempotent: IdempotencyRule,
    /// Whether a non-idempotent request needs an `Idempotency-Key` header.
    #[serde(rename = "key", default)]
    pub idempotency_key: IdempotencyKeyPolicy,
    /// Handling of a request with an `Idempotency-Key` while the platform's table is unavailable.
    #[serde(default)]
    pub store_outage: StoreOutagePolicy,
}

/// Which requests of a rule are idempotent and so may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyRule {
    /// Requests with the method GET, HEAD or OPTIONS.
    #[default]
    ByMethod,
    /// All requests.
    Always,
    /// No requests.
    Never,
}

/// Whether a non-idempotent request needs an `Idempotency-Key` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyKeyPolicy {
    /// Not needed. Without it, an entry VM sends the request to a server at most once.
    #[default]
    Optional,
    /// Needed. A request without it is refused.
    Required,
}

/// Handling of a request with an `Idempotency-Key` while the platform's table is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreOutagePolicy {
    /// The request is refused as not run.
    #[default]
    Refuse,
    /// The request is sent to a server once. It may run again if the caller repeats it at another
    /// entry VM.
    SendOnce,
}

/// Content of an operator key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorKeySpec {
    /// SHA-256 of the key, as 64 hexadecimal digits.
    pub key_sha256: Box<str>,
    /// Records that the key may change.
    pub scope: OperatorKeyScope,
}

/// Records that an operator key may change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorKeyScope {
    /// Records of its own account, except the client account record and operator keys.
    Account,
    /// Records of all accounts.
    Fleet,
}

const fn required(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, kind, is_required: true }
}

const fn optional(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, kind, is_required: false }
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
    /// Parses the content of a record; returns all faults if it doesn't conform to its schema
    /// version.
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

    /// Returns the newest schema version of a kind that this daemon supports.
    pub fn newest_schema(kind: RecordKind) -> SchemaVersion {
        match kind {
            RecordKind::Service | RecordKind::RoutingPolicy => SchemaVersion(2),
            RecordKind::ClientAccount | RecordKind::OperatorKey => SchemaVersion(1),
        }
    }
}

/// Checks content against a table of fields, then parses it.
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
