//! Entry VMs inside this process: the request path of the daemon on loopback ports.

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

use crate::backend::BackendServer;
use crate::baselines::{BalancingPolicy, ProbePool};
use crate::scenarios::{MEAN_SERVICE_MS, Scenario};

/// Host name of the measured service.
pub(crate) const HOST: &str = "policy.test";

/// An entry VM. Dropping it aborts its task.
pub(crate) struct EntryVm {
    pub(crate) address: SocketAddr,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) services: Arc<ServiceTable>,
    pub(crate) metrics: DaemonMetrics,
    _stop_sender: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for EntryVm {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the entry VMs of a scenario.
pub(crate) async fn start(
    scenario: &Scenario,
    policy: BalancingPolicy,
    servers: &[BackendServer],
) -> Vec<EntryVm> {
    let listed_servers = server_list(servers);
    let mut entry_vms = Vec::new();
    for slot in 0..scenario.entry_vms {
        entry_vms.push(start_entry_vm(scenario, policy, slot as u32, &listed_servers).await);
    }
    entry_vms
}

async fn start_entry_vm(
    scenario: &Scenario,
    policy: BalancingPolicy,
    slot: u32,
    listed_servers: &[ServerEntry],
) -> EntryVm {
    let now = Instant::now();
    let slots = scenario.entry_vms as u32;
    let board = Arc::new(Blackboard::new(slots, now));
    let held_slot = HeldSlot { slot, valid_until: now + Duration::from_secs(3_600) };
    let members = (0..slots).map(member_entry).collect();
    board.set_fleet(FleetView { members, held_slot: Some(held_slot), slot_count: slots });
    board.set_config_expiry(now + Duration::from_secs(3_600));
    board.set_config(active_config(scenario, policy));
    board.set_servers(listed_servers.to_vec());
    let zone = "zone-0".parse().expect("the name is valid");
    let services = Arc::new(ServiceTable::new(Arc::clone(&board), zone, BalanceOptions::default()));
    services.sync(now);
    let metrics = DaemonMetrics::new();
    for runtime in services.runtimes() {
        let addresses = listed_servers.iter().map(|entry| entry.address).collect();
        if let Some(choice) = policy.custom_choice(ProbePool::new(addresses)) {
            runtime.group().set_custom_choice(choice);
        }
    }
    let vm: model::VmId = format!("entry-{slot}").parse().expect("the name is valid");
    let table = TableClient::in_memory(Arc::new(MemoryTable::new()));
    let coordinator =
        Arc::new(ClaimCoordinator::new(vm, table, Arc::clone(&board), metrics.clone()));
    let caller_settings = settings::CallerSettings::default();
    let handler = Arc::new(RequestHandler::new(
        Arc::clone(&board),
        Arc::clone(&services),
        coordinator,
        metrics.clone(),
        TraceExporter::default(),
        &caller_settings,
    ));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let limits = ListenerLimits {
        max_connections: caller_settings.connections,
        max_header_bytes: caller_settings.header_bytes,
        header_timeout: caller_settings.header_timeout(),
    };
    let log = Logger::root(slog::Discard, o!());
    let (stop_sender, stop_receiver) = watch::channel(false);
    let listener = CallerListener::new(listener, handler, limits, log);
    let task = tokio::spawn(listener.serve(stop_receiver));
    EntryVm { address, board, services, metrics, _stop_sender: stop_sender, task }
}

fn member_entry(slot: u32) -> MemberEntry {
    let vm = format!("entry-{slot}").parse().expect("the name is valid");
    let zone = "zone-0".parse().expect("the name is valid");
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberEntry { slot, row: MemberRow::new(vm, unused_address, zone) }
}

/// Returns the backend servers as entries of the platform's server list, all of them live.
pub(crate) fn server_list(servers: &[BackendServer]) -> Vec<ServerEntry> {
    servers
        .iter()
        .enumerate()
        .map(|(number, server)| ServerEntry {
            id: format!("server-{number}").parse().expect("the name is valid"),
            address: server.address,
            // All in one availability zone, since loopback has no network delay between zones.
            zone: "zone-0".parse().expect("the name is valid"),
            account: "policy".parse().expect("the name is valid"),
            group: "workers".parse().expect("the name is valid"),
            state: ServerState::Live,
        })
        .collect()
}

fn active_config(scenario: &Scenario, policy: BalancingPolicy) -> ActiveConfig {
    let service = json!({
        "group": "workers",
        "slots": scenario.slots,
        "connections": 900,
        "timeout_ms": 1_000,
        "expected_ms": (MEAN_SERVICE_MS * 5.0) as u64,
        "retry_percent": if policy.has_retries() { 10 } else { 0 },
        "refusal_statuses": [503],
    });
    let limits = json!({ "in_flight": 100_000, "requests_per_s": 1_000_000 });
    let records = [
        record_json(
            1,
            "client-account",
            "policy",
            &json!({
                "hosts": [HOST], "runs_schema": 2, "limits": limits,
            }),
        ),
        record_json(2, "service", "workers", &service),
        record_json(
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
    let routing = RoutingTable::compile(&snapshot).expect("the records compile");
    ActiveConfig { snapshot, routing }
}

fn record_json(schema: u16, kind: &str, name: &str, spec: &Value) -> Value {
    json!({ "schema": schema, "kind": kind, "account": "policy", "name": name, "spec": spec })
}
