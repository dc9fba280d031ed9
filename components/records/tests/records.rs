//! Random operators' writes against a plain map.

use std::collections::BTreeMap;

use model::{OperationId, RecordKey, RecordSpec, RevisionNumber, parse_record};
use proptest::prelude::*;
use records::{
    ApplyOutcome, ConfigSnapshot, RoutingTable, WriteRefusal, WriteRequest, WriteVerb, admit_write,
    plan_write,
};
use serde_json::{Value, json};
use store::{CommitOutcome, MemoryTable};
use testkit::property_test_config;

#[derive(Debug, Clone)]
struct Wish {
    verb: WriteVerb,
    record: Value,
    /// Whether the operator saw the newest revision.
    is_current: bool,
}

fn account(number: usize) -> String {
    format!("account-{number}")
}

fn wish() -> impl Strategy<Value = Wish> {
    let verb = prop_oneof![
        4 => Just(WriteVerb::Put),
        3 => Just(WriteVerb::Replace),
        2 => Just(WriteVerb::Retire)
    ];
    (verb, record(), prop::bool::weighted(0.8)).prop_map(|(verb, record, is_current)| Wish {
        verb,
        record,
        is_current,
    })
}

fn record() -> impl Strategy<Value = Value> {
    prop_oneof![
        (0_usize..3, 0_usize..3, 1_u16..4).prop_map(|(owner, host, runs)| json!({
            "schema": 1, "kind": "client-account", "account": account(owner),
            "name": account(owner),
            "spec": { "hosts": [format!("host-{host}.test")], "runs_schema": runs },
        })),
        (0_usize..3, 0_usize..2, 1_u16..3).prop_map(|(owner, service, schema)| json!({
            "schema": schema, "kind": "service", "account": account(owner),
            "name": format!("service-{service}"),
            "spec": { "group": "workers", "slots": 2, "connections": 9, "timeout_ms": 100 },
        })),
        (0_usize..3, 0_usize..2, 0_usize..3, 0_usize..2).prop_map(
            |(owner, name, host, service)| {
                json!({
                    "schema": 2, "kind": "routing-policy", "account": account(owner),
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
    fn holds_config_accepted_writes_form_one_order(
        wishes in prop::collection::vec(wish(), 1..80),
    ) {
        let table = MemoryTable::new();
        let actor = "fleet".parse().expect("the name is valid");
        let mut snapshot = ConfigSnapshot::default();
        let mut follower = ConfigSnapshot::default();
        let mut oracle: BTreeMap<RecordKey, (RevisionNumber, Value)> = BTreeMap::new();
        let mut revision_row = None;
        for wish in wishes {
            let record = parse_record(&wish.record).expect("the shape is valid");
            let key = record.key.clone();
            let known = oracle.get(&key).map(|(revision, _)| *revision);
            let base = if wish.is_current { known } else { Some(RevisionNumber(9_999)) };
            let request = WriteRequest {
                operation: OperationId::random(),
                verb: wish.verb,
                key: key.clone(),
                base,
                record: (wish.verb != WriteVerb::Retire).then(|| record.clone()),
            };
            match admit_write(&snapshot, &request, &actor, &RecordSpec::newest_schema) {
                Ok(entry) => {
                    prop_assert_eq!(entry.revision, snapshot.revision().next());
                    prop_assert!(wish.verb == WriteVerb::Put || wish.is_current, "lost update");
                    prop_assert_eq!(wish.verb == WriteVerb::Put, known.is_none());
                    let CommitOutcome::Done(version) =
                        table.commit(&plan_write(&entry, revision_row))
                    else {
                        return Err(TestCaseError::fail("an admitted write was not taken"));
                    };
                    revision_row = Some(version);
                    snapshot.apply(&entry);
                    prop_assert_eq!(follower.apply(&entry), ApplyOutcome::Applied);
                    prop_assert_eq!(follower.apply(&entry), ApplyOutcome::Known);
                    match wish.verb {
                        WriteVerb::Retire => oracle.remove(&key),
                        _ => oracle.insert(key, (entry.revision, record.spec)),
                    };
                }
                Err(WriteRefusal::Conflict { current, .. }) => prop_assert_eq!(current, known),
                Err(WriteRefusal::Invalid { faults }) => prop_assert!(!faults.is_empty()),
            }
            let held: BTreeMap<RecordKey, (RevisionNumber, Value)> = snapshot
                .records()
                .map(|stored| {
                    let record = &stored.record;
                    (record.key.clone(), (stored.revision, record.spec.clone()))
                })
                .collect();
            prop_assert_eq!(&held, &oracle);
            prop_assert!(RoutingTable::compile(&snapshot).is_ok());
        }
        prop_assert_eq!(follower, snapshot);
    }

    /// No text makes the parser panic, and every refusal names a path.
    #[test]
    fn any_json_gets_a_clear_error(text in "[\\[\\]{}\",:a-z0-9 ]{0,120}") {
        if let Ok(value) = serde_json::from_str::<Value>(&text)
            && let Err(faults) = parse_record(&value)
        {
            prop_assert!(faults.iter().all(|fault| fault.path.starts_with('$')));
        }
    }
}
