//! Random writes by operators, checked against a map as reference model.

use std::collections::BTreeMap;

use model::{OperationId, RecordKey, RecordSpec, RevisionNumber, parse_record};
use proptest::prelude::*;
use records::{
    ApplyOutcome, ConfigSnapshot, RoutingTable, WriteRefusal, WriteRequest, WriteVerb, admit_write,
    build_commit,
};
use serde_json::{Value, json};
use store::{CommitOutcome, MemoryTable};
use testkit::property_test_config;

#[derive(Debug, Clone)]
struct RandomWrite {
    verb: WriteVerb,
    record: Value,
    /// Whether the write is based on the record's current revision.
    is_current: bool,
}

fn account_name(number: usize) -> String {
    format!("account-{number}")
}

fn random_write() -> impl Strategy<Value = RandomWrite> {
    let verb = prop_oneof![
        4 => Just(WriteVerb::Put),
        3 => Just(WriteVerb::Replace),
        2 => Just(WriteVerb::Retire)
    ];
    (verb, random_record(), prop::bool::weighted(0.8))
        .prop_map(|(verb, record, is_current)| RandomWrite { verb, record, is_current })
}

fn random_record() -> impl Strategy<Value = Value> {
    prop_oneof![
        (0_usize..3, 0_usize..3, 1_u16..4).prop_map(|(owner, host, runs)| json!({
            "schema": 1, "kind": "client-account", "account": account_name(owner),
            "name": account_name(owner),
            "spec": { "hosts": [format!("host-{host}.test")], "runs_schema": runs },
        })),
        (0_usize..3, 0_usize..2, 1_u16..3).prop_map(|(owner, service, schema)| json!({
            "schema": schema, "kind": "service", "account": account_name(owner),
            "name": format!("service-{service}"),
            "spec": { "group": "workers", "slots": 2, "connections": 9, "timeout_ms": 100 },
        })),
        (0_usize..3, 0_usize..2, 0_usize..3, 0_usize..2).prop_map(
            |(owner, name, host, service)| {
                json!({
                    "schema": 2, "kind": "routing-policy", "account": account_name(owner),
                    "name": format!("policy-{name}"),
                    "spec": { "rules": [{
                        "host": format!("host-{host}.test"), "path_prefix": "/",
                        "service": format!("service-{service}"),
                    }] },
                })
            }
        ),
    ]
}

proptest! {
    #![proptest_config(property_test_config(300))]

    #[test]
    fn holds_config_accepted_writes_are_totally_ordered(
        writes in prop::collection::vec(random_write(), 1..80),
    ) {
        let table = MemoryTable::new();
        let actor = "fleet".parse().expect("the name is valid");
        let mut snapshot = ConfigSnapshot::default();
        let mut follower = ConfigSnapshot::default();
        let mut expected: BTreeMap<RecordKey, (RevisionNumber, Value)> = BTreeMap::new();
        let mut revision_row_version = None;
        for write in writes {
            let record = parse_record(&write.record).expect("the record is well-formed");
            let key = record.key.clone();
            let current_revision = expected.get(&key).map(|(revision, _)| *revision);
            let base =
                if write.is_current { current_revision } else { Some(RevisionNumber(9_999)) };
            let request = WriteRequest {
                operation: OperationId::random(),
                verb: write.verb,
                key: key.clone(),
                base,
                record: (write.verb != WriteVerb::Retire).then(|| record.clone()),
            };
            match admit_write(&snapshot, &request, &actor, &RecordSpec::newest_schema) {
                Ok(entry) => {
                    prop_assert_eq!(entry.revision, snapshot.revision().next());
                    prop_assert!(write.verb == WriteVerb::Put || write.is_current, "lost update");
                    prop_assert_eq!(write.verb == WriteVerb::Put, current_revision.is_none());
                    let CommitOutcome::Committed(version) =
                        table.commit(&build_commit(&entry, revision_row_version))
                    else {
                        return Err(TestCaseError::fail("an admitted write was not committed"));
                    };
                    revision_row_version = Some(version);
                    snapshot.apply(&entry);
                    prop_assert_eq!(follower.apply(&entry), ApplyOutcome::Applied);
                    prop_assert_eq!(follower.apply(&entry), ApplyOutcome::AlreadyApplied);
                    match write.verb {
                        WriteVerb::Retire => expected.remove(&key),
                        _ => expected.insert(key, (entry.revision, record.spec)),
                    };
                }
                Err(WriteRefusal::Conflict { current, .. }) => {
                    prop_assert_eq!(current, current_revision);
                }
                Err(WriteRefusal::Invalid { faults }) => prop_assert!(!faults.is_empty()),
            }
            let stored: BTreeMap<RecordKey, (RevisionNumber, Value)> = snapshot
                .records()
                .map(|stored| {
                    let record = &stored.record;
                    (record.key.clone(), (stored.revision, record.spec.clone()))
                })
                .collect();
            prop_assert_eq!(&stored, &expected);
            prop_assert!(RoutingTable::compile(&snapshot).is_ok());
        }
        prop_assert_eq!(follower, snapshot);
    }

    /// The parser must not panic on any JSON, and every fault must have a field path.
    #[test]
    fn invalid_json_record_is_rejected_with_field_paths(text in "[\\[\\]{}\",:a-z0-9 ]{0,120}") {
        if let Ok(value) = serde_json::from_str::<Value>(&text)
            && let Err(faults) = parse_record(&value)
        {
            prop_assert!(faults.iter().all(|fault| fault.path.starts_with('$')));
        }
    }
}
