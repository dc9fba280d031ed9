//! Versioned records, through which operators make all configuration changes.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::check::{FieldFault, FieldKind, FieldRule, check_fields};
use crate::ids::{AccountId, RecordName, SchemaVersion};
use crate::specs::RecordSpec;

/// Kind of a record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKind {
    /// A client account: its hosts, its limits and the schema version that its traffic uses.
    #[display("client-account")]
    ClientAccount,
    /// A service: a group of backend servers and the parameters for requests to them.
    #[display("service")]
    Service,
    /// A routing policy: rules that map requests to services.
    #[display("routing-policy")]
    RoutingPolicy,
    /// A key that authenticates an operator.
    #[display("operator-key")]
    OperatorKey,
}

impl FromStr for RecordKind {
    type Err = FieldFault;

    fn from_str(text: &str) -> Result<Self, FieldFault> {
        match text {
            "client-account" => Ok(Self::ClientAccount),
            "service" => Ok(Self::Service),
            "routing-policy" => Ok(Self::RoutingPolicy),
            "operator-key" => Ok(Self::OperatorKey),
            _ => Err(FieldFault::new(
                "$.kind",
                format!(
                    "kind \"{text}\" does not exist; known kinds: client-account, service, \
                     routing-policy, operator-key"
                ),
            )),
        }
    }
}

/// Identity of a record. The schema versions of a record differ only in `schema`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{account}/{kind}/{name}/{schema}")]
pub struct RecordKey {
    /// Account that owns the record.
    pub account: AccountId,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name, unique within the account and kind.
    pub name: RecordName,
    /// Schema version of the record's content.
    pub schema: SchemaVersion,
}

impl FromStr for RecordKey {
    type Err = FieldFault;

    fn from_str(text: &str) -> Result<Self, FieldFault> {
        let fault = |problem: String| FieldFault::new("$", problem);
        let parts: Vec<&str> = text.split('/').collect();
        let [account, kind, name, schema] = parts[..] else {
            return Err(fault(format!("key \"{text}\" is not account/kind/name/schema")));
        };
        Ok(Self {
            account: account.parse().map_err(|error| fault(format!("{error}")))?,
            kind: kind.parse()?,
            name: name.parse().map_err(|error| fault(format!("{error}")))?,
            schema: schema
                .parse()
                .map_err(|_| fault(format!("schema \"{schema}\" is not a whole number")))?,
        })
    }
}

/// A record as written by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedRecord {
    /// Identity of the record.
    #[serde(flatten)]
    pub key: RecordKey,
    /// Content in its original form, so that a daemon can store and forward records of schema
    /// versions that it doesn't support.
    pub spec: Value,
}

impl VersionedRecord {
    /// Parses the content; returns all faults if it doesn't conform to its schema version.
    pub fn parse_spec(&self) -> Result<RecordSpec, Vec<FieldFault>> {
        RecordSpec::parse(self.key.kind, self.key.schema, &self.spec)
    }
}

/// Fields of a record, without those of its content.
const ENVELOPE_FIELDS: &[FieldRule] = &[
    FieldRule { name: "schema", kind: FieldKind::Integer(1, 65_535), is_required: true },
    FieldRule {
        name: "kind",
        kind: FieldKind::Choice(&["client-account", "service", "routing-policy", "operator-key"]),
        is_required: true,
    },
    FieldRule { name: "account", kind: FieldKind::Name, is_required: true },
    FieldRule { name: "name", kind: FieldKind::Name, is_required: true },
    FieldRule { name: "spec", kind: FieldKind::Object(&[]), is_required: true },
];

/// Parses a record; returns all faults if it doesn't conform to its schema version.
pub fn parse_record(value: &Value) -> Result<VersionedRecord, Vec<FieldFault>> {
    let mut faults = Vec::new();
    check_envelope(value, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let key: RecordKey = serde_json::from_value(value.clone())
        .map_err(|error| vec![FieldFault::new("$", error.to_string())])?;
    let record = VersionedRecord { key, spec: value["spec"].clone() };
    record.parse_spec()?;
    Ok(record)
}

fn check_envelope(value: &Value, faults: &mut Vec<FieldFault>) {
    // The fields of "spec" are checked against the table of its kind and schema version, so here
    // "spec" is replaced by an empty object.
    let mut envelope = value.clone();
    if let Some(spec) = envelope.get_mut("spec")
        && spec.is_object()
    {
        *spec = Value::Object(serde_json::Map::new());
    }
    check_fields("$", &envelope, ENVELOPE_FIELDS, faults);
}
