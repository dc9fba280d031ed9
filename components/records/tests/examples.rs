//! Admission and routing of the example records, written in the order of their file names, and
//! refusal of a schema version that not every entry VM supports.

use std::path::Path;

use model::{RecordSpec, parse_record};
use records::{ConfigSnapshot, RoutingTable, WriteRequest, admit_write};

#[test]
fn example_records_are_admitted_and_routed() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let actor = "fleet".parse().expect("the name is valid");
    let mut snapshot = ConfigSnapshot::default();
    for name in ["samahan", "kilang-data"] {
        let folder = examples.join(name).join("records");
        let mut files: Vec<_> = std::fs::read_dir(folder)
            .expect("the folder exists")
            .map(|file| file.expect("the folder can be read").path())
            .collect();
        files.sort();
        for file in files {
            let text = std::fs::read_to_string(&file).expect("the file can be read");
            let value = serde_json::from_str(&text).expect("the file is JSON");
            let record =
                parse_record(&value).unwrap_or_else(|faults| panic!("{file:?}: {faults:?}"));
            let request = WriteRequest::put(record);
            let entry = admit_write(&snapshot, &request, &actor, &RecordSpec::newest_schema)
                .unwrap_or_else(|refusal| panic!("{file:?}: {refusal}"));
            snapshot.apply(&entry);
        }
    }
    let routes = RoutingTable::compile(&snapshot).expect("the records can be read");
    let cases = [
        ("gateway.samahan.example", "/records/7", "talaan"),
        ("gateway.samahan.example", "/deposits", "kaha"),
        ("gateway.samahan.example", "/proofs/1", "patunay"),
        ("gateway.samahan.example", "/orders", "ukit"),
        ("gateway.kilang.example", "/stock/beef", "stokbaca"),
        ("gateway.kilang.example", "/orders", "pesanan"),
        ("gateway.kilang.example", "/inspections", "fotoperiksa"),
        ("gateway.kilang.example", "/slots/3", "jadual-lori"),
    ];
    for (host, path, service) in cases {
        let route =
            routes.find_route(host, path).unwrap_or_else(|| panic!("{host}{path} has no route"));
        assert_eq!(route.service.key.name.as_str(), service);
    }
    assert!(routes.find_route("gateway.kilang.example", "/ordersx").is_none());
}

#[test]
fn schema_version_unsupported_by_a_vm_is_refused() {
    let account = serde_json::json!({
        "schema": 1, "kind": "client-account", "account": "shop", "name": "shop",
        "spec": { "hosts": ["shop.test"], "runs_schema": 1 },
    });
    let service = serde_json::json!({
        "schema": 2, "kind": "service", "account": "shop", "name": "orders",
        "spec": { "group": "orders", "slots": 2, "connections": 9, "timeout_ms": 100 },
    });
    let actor = "fleet".parse().expect("the name is valid");
    let mut snapshot = ConfigSnapshot::default();
    for (record, is_accepted) in [(account, true), (service, false)] {
        let record = parse_record(&record).expect("the record is well-formed");
        let request = WriteRequest::put(record);
        let newest_supported = |_| model::SchemaVersion(1);
        match admit_write(&snapshot, &request, &actor, &newest_supported) {
            Ok(entry) => {
                assert!(is_accepted);
                snapshot.apply(&entry);
            }
            Err(refusal) => {
                assert!(!is_accepted);
                assert!(refusal.to_string().contains("schema version 2"), "{refusal}");
            }
        }
    }
}
