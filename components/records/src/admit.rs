//! Admission of writes, based on the complete configuration that would result.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use model::{
    AccountId, FastMap, FieldFault, RecordKey, RecordKind, RecordSpec, RevisionNumber, RouteRule,
    SchemaVersion, VersionedRecord,
};

use crate::change::{ChangeEntry, RecordChange, WriteRequest, WriteVerb};
use crate::snapshot::ConfigSnapshot;

/// Maximum number of records per account.
const MAX_ACCOUNT_RECORDS: usize = 1_000;

/// Maximum size of a record's spec, in bytes of JSON.
const MAX_SPEC_BYTES: usize = 64 << 10;

/// Account of the fleet-wide operator keys. It has no client account record.
const FLEET_ACCOUNT: &str = "fleet";

/// Reason why a write was refused. Nothing was written.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "refusal")]
pub enum WriteRefusal {
    /// The record is not at the revision that the write is based on.
    #[display("conflict on {key}: write is based on {}, record is at {}", revision_text(*base), revision_text(*current))]
    Conflict {
        /// Key of the record.
        key: RecordKey,
        /// Revision that the write is based on; `None` if the request has none.
        base: Option<RevisionNumber>,
        /// Current revision of the record; `None` if it does not exist.
        current: Option<RevisionNumber>,
    },
    /// The record or the resulting configuration is invalid.
    #[display("invalid: {}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid {
        /// All faults found.
        faults: Vec<FieldFault>,
    },
}

fn revision_text(revision: Option<RevisionNumber>) -> String {
    revision.map_or_else(|| "no revision".into(), |revision| format!("revision {revision}"))
}

/// Checks a write against the current configuration and returns the change to commit.
///
/// `newest_supported` returns the newest schema version of a kind that every live entry VM
/// supports.
pub fn admit_write(
    snapshot: &ConfigSnapshot,
    request: &WriteRequest,
    actor: &AccountId,
    newest_supported: &dyn Fn(RecordKind) -> SchemaVersion,
) -> Result<ChangeEntry, WriteRefusal> {
    check_base_revision(snapshot, request)?;
    let change = build_change(request)?;
    let entry = ChangeEntry {
        revision: snapshot.revision().next(),
        operation: request.operation.clone(),
        actor: actor.clone(),
        change,
    };
    let mut faults = Vec::new();
    check_schema_support(&entry.change, newest_supported, &mut faults);
    check_size(&entry.change, &mut faults);
    if faults.is_empty() {
        check_resulting_config(snapshot, &entry, &mut faults);
    }
    if faults.is_empty() { Ok(entry) } else { Err(WriteRefusal::Invalid { faults }) }
}

fn check_base_revision(
    snapshot: &ConfigSnapshot,
    request: &WriteRequest,
) -> Result<(), WriteRefusal> {
    let current = snapshot.find_record(&request.key).map(|stored| stored.revision);
    let is_current = match request.verb {
        WriteVerb::Put => current.is_none(),
        WriteVerb::Replace | WriteVerb::Retire => current.is_some() && current == request.base,
    };
    if is_current {
        return Ok(());
    }
    Err(WriteRefusal::Conflict { key: request.key.clone(), base: request.base, current })
}

fn build_change(request: &WriteRequest) -> Result<RecordChange, WriteRefusal> {
    let invalid =
        |problem: &str| WriteRefusal::Invalid { faults: vec![FieldFault::new("$", problem)] };
    match (request.verb, &request.record) {
        (WriteVerb::Retire, None) => Ok(RecordChange::Retire(request.key.clone())),
        (WriteVerb::Retire, Some(_)) => Err(invalid("retire takes no record")),
        (_, None) => Err(invalid("put and replace need a record")),
        (_, Some(record)) if record.key != request.key => {
            Err(invalid("the record's key differs from the key in the path"))
        }
        (_, Some(record)) => match record.parse_spec() {
            Ok(_) => Ok(RecordChange::Put(record.clone())),
            Err(faults) => Err(WriteRefusal::Invalid { faults }),
        },
    }
}

fn check_schema_support(
    change: &RecordChange,
    newest_supported: &dyn Fn(RecordKind) -> SchemaVersion,
    faults: &mut Vec<FieldFault>,
) {
    let key = change.key();
    let newest = newest_supported(key.kind);
    if matches!(change, RecordChange::Put(_)) && key.schema > newest {
        let problem = format!(
            "schema version {} of kind \"{}\" can't be read by every live entry VM; newest that \
             all read is {newest}",
            key.schema, key.kind
        );
        faults.push(FieldFault::new("$.schema", problem));
    }
}

fn check_size(change: &RecordChange, faults: &mut Vec<FieldFault>) {
    if let RecordChange::Put(record) = change
        && record.spec.to_string().len() > MAX_SPEC_BYTES
    {
        faults.push(FieldFault::new("$.spec", "is larger than 65536 bytes"));
    }
}

fn check_resulting_config(
    snapshot: &ConfigSnapshot,
    entry: &ChangeEntry,
    faults: &mut Vec<FieldFault>,
) {
    let key = entry.change.key();
    let mut result = snapshot.clone();
    result.apply(entry);
    check_account_record(&result, key, faults);
    if let RecordChange::Put(record) = &entry.change {
        check_hosts(&result, record, faults);
        check_path_prefixes(record, faults);
    }
    let newest = RecordSpec::newest_schema(RecordKind::RoutingPolicy).0;
    for schema in 1..=newest {
        check_route_rules(&result, &key.account, SchemaVersion(schema), faults);
    }
    faults.dedup();
}

fn check_account_record(result: &ConfigSnapshot, key: &RecordKey, faults: &mut Vec<FieldFault>) {
    if key.kind == RecordKind::ClientAccount && key.name.as_str() != key.account.as_str() {
        faults.push(FieldFault::new("$.name", "must be the account's own name"));
    }
    let mut records = result.account_records(&key.account).peekable();
    if records.peek().is_none() {
        return;
    }
    if result.account_records(&key.account).count() > MAX_ACCOUNT_RECORDS {
        faults.push(FieldFault::new("$.account", "has more than 1000 records"));
    }
    let has_account = records.any(|stored| stored.record.key.kind == RecordKind::ClientAccount);
    let is_fleet_key = key.account.as_str() == FLEET_ACCOUNT && key.kind == RecordKind::OperatorKey;
    if !has_account && !is_fleet_key {
        let problem = format!("account \"{}\" has no client account record", key.account);
        faults.push(FieldFault::new("$.account", problem));
    }
}

fn check_hosts(result: &ConfigSnapshot, record: &VersionedRecord, faults: &mut Vec<FieldFault>) {
    let Ok(RecordSpec::ClientAccount(spec)) = record.parse_spec() else {
        return;
    };
    for (index, host) in spec.hosts.iter().enumerate() {
        let path = format!("$.spec.hosts[{index}]");
        if host
            .bytes()
            .any(|byte| byte.is_ascii_uppercase() || byte == b':' || byte == b'/' || byte == b' ')
        {
            faults.push(FieldFault::new(&path, "must be a host name in lower case, without port"));
        }
        let is_taken = result.records().any(|stored| {
            stored.record.key.account != record.key.account
                && account_hosts(&stored.record).contains(host)
        });
        if is_taken {
            // The message does not reveal which account has the host.
            faults.push(FieldFault::new(&path, "is not available"));
        }
    }
}

fn account_hosts(record: &VersionedRecord) -> Vec<Box<str>> {
    match (record.key.kind, record.parse_spec()) {
        (RecordKind::ClientAccount, Ok(RecordSpec::ClientAccount(spec))) => spec.hosts,
        _ => Vec::new(),
    }
}

fn check_path_prefixes(record: &VersionedRecord, faults: &mut Vec<FieldFault>) {
    let Ok(RecordSpec::RoutingPolicy(spec)) = record.parse_spec() else {
        return;
    };
    for (index, rule) in spec.rules.iter().enumerate() {
        if !rule.path_prefix.starts_with('/') {
            let path = format!("{}.path_prefix", rule_field_path(record, index));
            faults.push(FieldFault::new(&path, "must begin with \"/\""));
        }
    }
}

fn rule_field_path(record: &VersionedRecord, index: usize) -> String {
    if record.key.schema.0 == 1 { "$.spec".into() } else { format!("$.spec.rules[{index}]") }
}

/// Checks that every rule in effect at a schema version refers to a host and a service of the
/// account, and that no two rules have the same host and path prefix.
fn check_route_rules(
    result: &ConfigSnapshot,
    account: &AccountId,
    schema: SchemaVersion,
    faults: &mut Vec<FieldFault>,
) {
    let effective = result.effective_records(account, schema);
    let hosts: Vec<Box<str>> =
        effective.iter().flat_map(|stored| account_hosts(&stored.record)).collect();
    let mut seen: FastMap<(Box<str>, Box<str>), RecordKey> = FastMap::default();
    for stored in &effective {
        let Ok(RecordSpec::RoutingPolicy(spec)) = stored.record.parse_spec() else {
            continue;
        };
        for (index, rule) in spec.rules.iter().enumerate() {
            let path = rule_field_path(&stored.record, index);
            let name = &stored.record.key.name;
            if !hosts.contains(&rule.host) {
                let problem = format!(
                    "host \"{}\" of routing policy \"{name}\" does not belong to this account",
                    rule.host
                );
                faults.push(FieldFault::new(&format!("{path}.host"), problem));
            }
            if !has_service(&effective, rule) {
                let problem = format!(
                    "service \"{}\" of routing policy \"{name}\" does not exist at schema \
                     version {schema}",
                    rule.service
                );
                faults.push(FieldFault::new(&format!("{path}.service"), problem));
            }
            let route = (rule.host.clone(), rule.path_prefix.clone());
            if let Some(other) = seen.insert(route, stored.record.key.clone()) {
                let problem = format!(
                    "host \"{}\" and path prefix \"{}\" stand in routing policy \"{}\" too",
                    rule.host, rule.path_prefix, other.name
                );
                faults.push(FieldFault::new(&path, problem));
            }
        }
    }
}

fn has_service(effective: &[&crate::snapshot::StoredRecord], rule: &RouteRule) -> bool {
    effective.iter().any(|stored| {
        stored.record.key.kind == RecordKind::Service && stored.record.key.name == rule.service
    })
}
