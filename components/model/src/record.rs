//! Versioned records: the only way in which operators change the system.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::check::{FieldFault, FieldKind, FieldRule, check_fields};
use crate::ids::{AccountId, RecordName, SchemaVersion};
use crate::specs::RecordSpec;

/// The kinds of record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKind {
    /// A client account: hosts, limits and the schema version its traffic runs on.
    #[display("client-account")]
    ClientAccount,
    /// A service: a group of backend servers and how to call them.
    #[display("service")]
    Service,
    /// A routing policy: which requests go to which service.
    #[display("routing-policy")]
    RoutingPolicy,
    /// An operator's key.
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

/// What identifies a record. Versions of one record differ only in `schema`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{account}/{kind}/{name}/{schema}")]
pub struct RecordKey {
    /// The account that the record belongs to.
    pub account: AccountId,
    /// The kind of record.
    pub kind: RecordKind,
    /// The name within account and kind.
    pub name: RecordName,
    /// The schema version of the record.
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

/// A record as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedRecord {
    /// What identifies the record.
    #[serde(flatten)]
    pub key: RecordKey,
    /// The content as written, so that a daemon can carry schema versions that it can't read.
    pub spec: Value,
}

impl VersionedRecord {
    /// Reads the content and reports every fault of its shape.
    pub fn parse_spec(&self) -> Result<RecordSpec, Vec<FieldFault>> {
        RecordSpec::parse(self.key.kind, self.key.schema, &self.spec)
    }
}

const ENVELOPE_FIELDS: &[FieldRule] = &[
    FieldRule { name: "schema", kind: FieldKind::Integer(1, 65_535), required: true },
    FieldRule {
        name: "kind",
        kind: FieldKind::Choice(&["client-account", "service", "routing-policy", "operator-key"]),
        required: true,
    },
    FieldRule { name: "account", kind: FieldKind::Name, required: true },
    FieldRule { name: "name", kind: FieldKind::Name, required: true },
    FieldRule { name: "spec", kind: FieldKind::Object(&[]), required: true },
];

/// Reads a record and reports every fault of its shape.
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
    // The content of "spec" is checked against its own table, so only its presence counts here.
    let mut envelope = value.clone();
    if let Some(spec) = envelope.get_mut("spec")
        && spec.is_object()
    {
        *spec = Value::Object(serde_json::Map::new());
    }
    check_fields("$", &envelope, ENVELOPE_FIELDS, faults);
}
