//! Entry VMs inside this process: the daemon's own request path on loopback ports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use balance::BalanceOptions;
use board::{ActiveConfig, Blackboard, FleetView};
use members::{HeldSlot, MemberEntry, MemberRow};
use model::{RevisionNumber, parse_record};
use observe::{DaemonMetrics, Logger, TraceExporter, o};
use proxy::{CallerListener, ClaimCoordinator, ListenerLimits, RequestHandler, ServiceTable};
use records::{ConfigSnapshot, RoutingTable, StoredRecord};
use store::{MemoryTable, ServerEntry, ServerState, TableClient};

use crate::backend::Backend;
use crate::baselines::{PolicyName, ProbePool};
use crate::scenarios::{MEAN_SERVICE_MS, Scenario};

/// Host name of the measured service.
pub(crate) const HOST: &str = "policy.test";

/// One entry VM; it ends when dropped.
pub(crate) struct Entry {
    pub(crate) address: SocketAddr,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) services: Arc<ServiceTable>,
    pub(crate) metrics: DaemonMetrics,
    _stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the entry VMs of a scenario.
pub(crate) async fn start(
    scenario: &Scenario,
    policy: PolicyName,
    backends: &[Backend],
) -> Vec<Entry> {
    let listed = listed(backends);
    let mut entries = Vec::new();
    for number in 0..scenario.entries {
        entries.push(start_one(scenario, policy, number as u32, &listed).await);
    }
    entries
}

async fn start_one(
    scenario: &Scenario,
    policy: PolicyName,
    number: u32,
    listed: &[ServerEntry],
) -> Entry {
    let now = Instant::now();
    let slots = scenario.entries as u32;
    let board = Arc::new(Blackboard::new(slots, now));
    let held = HeldSlot { slot: number, valid_until: now + Duration::from_secs(3_600) };
    let members = (0..slots).map(member).collect();
    board.set_fleet(FleetView { members, held_slot: Some(held), slot_count: slots });
    board.set_config_expiry(now + Duration::from_secs(3_600));
    board.set_config(config(scenario, policy));
    board.set_servers(listed.to_vec());
    let zone = "zone-0".parse().expect("the name is valid");
    let services = Arc::new(ServiceTable::new(Arc::clone(&board), zone, BalanceOptions::default()));
    services.sync(now);
    let metrics = DaemonMetrics::new();
    for runtime in services.runtimes() {
        let addresses = listed.iter().map(|entry| entry.address).collect();
        if let Some(custom) = policy.custom(ProbePool::new(addresses)) {
            runtime.group().set_custom_choice(custom);
        }
    }
    let vm: model::VmId = format!("entry-{number}").parse().expect("the name is valid");
    let table = TableClient::in_memory(Arc::new(MemoryTable::new()));
    let coordinator =
        Arc::new(ClaimCoordinator::new(vm, table, Arc::clone(&board), metrics.clone()));
    let limits = settings::CallerSettings::default();
    let handler = Arc::new(RequestHandler::new(
        Arc::clone(&board),
        Arc::clone(&services),
        coordinator,
        metrics.clone(),
        TraceExporter::default(),
        &limits,
    ));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let limits = ListenerLimits {
        max_connections: limits.connections,
        max_header_bytes: limits.header_bytes,
        header_timeout: limits.header_timeout(),
    };
    let log = Logger::root(slog::Discard, o!());
    let (stop, stopped) = watch::channel(false);
    let listener = CallerListener::new(listener, handler, limits, log);
    let task = tokio::spawn(listener.serve(stopped));
    Entry { address, board, services, metrics, _stop: stop, task }
}

fn member(slot: u32) -> MemberEntry {
    let vm = format!("entry-{slot}").parse().expect("the name is valid");
    let zone = "zone-0".parse().expect("the name is valid");
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberEntry { slot, row: MemberRow::new(vm, nowhere, zone) }
}

/// Entries of the platform's list: the servers spread over three availability zones.
pub(crate) fn listed(backends: &[Backend]) -> Vec<ServerEntry> {
    backends
        .iter()
        .enumerate()
        .map(|(number, backend)| ServerEntry {
            id: format!("server-{number}").parse().expect("the name is valid"),
            address: backend.address,
            // All in one zone: loopback has no distance between zones.
            zone: "zone-0".parse().expect("the name is valid"),
            account: "policy".parse().expect("the name is valid"),
            group: "workers".parse().expect("the name is valid"),
            state: ServerState::Live,
        })
        .collect()
}

fn config(scenario: &Scenario, policy: PolicyName) -> ActiveConfig {
    let service = json!({
        "group": "workers",
        "slots": scenario.slots,
        "connections": 900,
        "timeout_ms": 1_000,
        "expected_ms": (MEAN_SERVICE_MS * 5.0) as u64,
        "retry_percent": if policy.may_retry() { 10 } else { 0 },
        "refusal_statuses": [503],
    });
    let limits = json!({ "in_flight": 100_000, "requests_per_s": 1_000_000 });
    let records = [
        record(
            1,
            "client-account",
            "policy",
            &json!({
                "hosts": [HOST], "runs_schema": 2, "limits": limits,
            }),
        ),
        record(2, "service", "workers", &service),
        record(
            2,
            "routing-policy",
            "front",
            &json!({
                "rules": [{ "host": HOST, "path_prefix": "/", "service": "workers" }],
            }),
        ),
    ];
    let stored = records
        .into_iter()
        .map(|record| StoredRecord {
            revision: RevisionNumber(1),
            record: parse_record(&record).expect("the record is valid"),
        })
        .collect();
    let snapshot = ConfigSnapshot::new(RevisionNumber(1), stored);
    let routing = RoutingTable::compile(&snapshot).expect("the records can be read");
    ActiveConfig { snapshot, routing }
}

fn record(schema: u16, kind: &str, name: &str, spec: &Value) -> Value {
    json!({ "schema": schema, "kind": kind, "account": "policy", "name": name, "spec": spec })
}
