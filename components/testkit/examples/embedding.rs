//! Uses the crates `balance`, `limits`, `claims`, `members` and `records` without the daemon.

use std::time::Duration;

use balance::{
    BalanceOptions, GroupSpec, ListedServer, LoadReport, PickOutcome, RequestSample, SampleOutcome,
    ServerEndpoint, ServerGroup,
};
use claims::{
    BatchStep, ClaimBatcher, ClaimKey, ClaimRow, ClaimState, ClaimSubmission, ClaimWrite,
    RequestFingerprint,
};
use limits::{AdmissionGate, AdmissionOutcome};
use members::{LeaseTiming, MemberRow, SlotLease};
use model::{AccountLimits, AttemptId, RecordSpec, parse_record};
use records::{ConfigSnapshot, RoutingTable, WriteRequest, admit_write, build_commit};
use serde_json::json;
use store::MemoryTable;
use tokio::time::Instant;

fn main() {
    choose_server();
    admit_request();
    claim_order();
    acquire_slot();
    accept_record();
}

fn choose_server() {
    let now = Instant::now();
    let spec = GroupSpec {
        slots: 2,
        expected_time: Duration::from_millis(10),
        max_connections: 8,
        zone: "zone-a".parse().expect("the name is valid"),
    };
    let mut group = ServerGroup::new(spec, BalanceOptions::default(), now);
    let endpoint = ServerEndpoint {
        id: "server-1".parse().expect("the name is valid"),
        address: ([127, 0, 0, 1], 8_080).into(),
        zone: "zone-a".parse().expect("the name is valid"),
    };
    group.set_servers(&[ListedServer { endpoint, is_leaving: false, is_preferred: true }], now);
    let outcome = group.pick(Duration::from_secs(1), &[], now, &mut rand::rng());
    if let PickOutcome::Chosen { ticket, address, .. } = outcome {
        println!("balance: send the request to {address}");
        let sample = RequestSample {
            outcome: SampleOutcome::Responded,
            elapsed: Duration::from_millis(8),
            report: Some(LoadReport { in_flight: 1.0 }),
        };
        group.finish_request(ticket, &sample, now);
    }
}

fn admit_request() {
    let account = "shop".parse().expect("the name is valid");
    let mut gate = AdmissionGate::new(100);
    let outcome = gate.try_admit(&account, &AccountLimits::default(), Instant::now());
    println!("limits: {outcome:?}");
    if outcome == AdmissionOutcome::Admitted {
        gate.release(&account);
    }
}

fn claim_order() {
    let now = Instant::now();
    let table = MemoryTable::new();
    let mut batcher = ClaimBatcher::new(100.0, now);
    let key = ClaimKey {
        account: "shop".parse().expect("the name is valid"),
        service: "orders".parse().expect("the name is valid"),
        key: "order-17".into(),
    };
    let row = ClaimRow {
        attempt: AttemptId::random(),
        vm: "vm-1".parse().expect("the name is valid"),
        fingerprint: RequestFingerprint::of(&[b"POST", b"/orders", b"one stone"]),
        created_ms: 0,
        state: ClaimState::Running,
    };
    let submission = ClaimSubmission {
        account: key.account.clone(),
        write: ClaimWrite::Insert { row_key: key.row_key(), row },
        max_queued: 10,
        deadline: now + Duration::from_secs(1),
        is_queued_while_down: false,
    };
    batcher.submit(submission, "order-17", now).expect("the write is queued");
    if let BatchStep::Commit(request) = batcher.next_batch(now) {
        let results = batcher.complete_batch(&table.commit(&request), now);
        println!("claims: {results:?}");
    }
}

fn acquire_slot() {
    let now = Instant::now();
    let table = MemoryTable::new();
    let vm = "vm-1".parse().expect("the name is valid");
    let zone = "zone-a".parse().expect("the name is valid");
    let row = MemberRow::new(vm, ([127, 0, 0, 1], 7_070).into(), zone);
    let mut lease = SlotLease::new(row, 4, LeaseTiming::default());
    lease.apply_scan(&[], now);
    if let Some(request) = lease.plan_commit(now, &mut rand::rng()) {
        lease.apply_outcome(&table.commit(&request));
    }
    println!("members: {:?}", lease.held_slot(now).map(|held_slot| held_slot.slot));
}

fn accept_record() {
    let table = MemoryTable::new();
    let record = parse_record(&json!({
        "schema": 1, "kind": "client-account", "account": "shop", "name": "shop",
        "spec": { "hosts": ["shop.example"], "runs_schema": 2 },
    }))
    .expect("the record is valid");
    let request = WriteRequest::put(record);
    let actor = "fleet".parse().expect("the name is valid");
    let mut snapshot = ConfigSnapshot::default();
    let entry = admit_write(&snapshot, &request, &actor, &RecordSpec::newest_schema)
        .expect("the write is admitted");
    table.commit(&build_commit(&entry, None));
    snapshot.apply(&entry);
    let routes = RoutingTable::compile(&snapshot).expect("the records compile");
    println!("records: revision {} in force", routes.revision());
}
