//! The fleet of a soak test, and the injection of faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::TableName;
use rustix::process::Signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use model::RequestRate;
use routes::{ExecutionSemantics, RouteTable, ServerRecord, WarmUp};

use crate::daemons::free_address;
use crate::fault_proxy::FaultProxy;
use crate::hosted::{
    HostedBehaviour, HostedDaemon, HostedServer, hosted_config, hosted_route, standard_routes,
};
use crate::platform_server::{FakePlatform, StoreBehaviour};
use crate::process_cuts::ProcessCuts;
use crate::soak::SoakSize;
use crate::soak::faults::FaultKind;

/// How servers handle requests without a fault.
const NORMAL_BEHAVIOUR: HostedBehaviour = HostedBehaviour::Run(Duration::from_millis(20));

/// Text in the target or body of a request that crashes its server.
pub(crate) const CRASH_TEXT: &str = "poison";

/// How servers warm up.
pub(crate) const WARM_UP: WarmUp =
    WarmUp { duration: Duration::from_secs(3), rate: RequestRate(4.1) };

/// Time from the crash of a server until it is back.
const CRASH_DOWNTIME: Duration = Duration::from_millis(700);

/// Largest number of crashes of one server; its next incarnation starts later than these.
const MAX_CRASHES: u64 = 1_000;

/// Availability zones, to which servers are assigned in turn. The daemons are in the first one.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Number of servers that are never removed, so that requests can always be served.
const PERMANENT_SERVERS: usize = 2;

/// A fake server, the proxy in front of it, and its entry in the server list.
pub(crate) struct SoakServer {
    pub(crate) hosted_server: Arc<HostedServer>,
    proxy: FaultProxy,
    /// Restarts the server after crashes.
    restarts: JoinHandle<()>,
    pub(crate) record: ServerRecord,
    /// When the server left the list; `None` while it is listed.
    pub(crate) left_at: Option<Instant>,
}

/// A daemon, the address at which it serves as a relay, and its connection to the store.
pub(crate) struct SoakDaemon {
    pub(crate) process: HostedDaemon,
    relay: SocketAddr,
    /// The proxy between this daemon and the store.
    store_proxy: FaultProxy,
}

/// The fleet of one soak test.
pub(crate) struct SoakFleet {
    program: PathBuf,
    pub(crate) platform: FakePlatform,
    pub(crate) servers: Vec<SoakServer>,
    pub(crate) daemons: Vec<SoakDaemon>,
    /// Replaced daemons: killed, or shutting down after SIGTERM.
    replaced_daemons: Vec<SoakDaemon>,
    relays: Vec<SocketAddr>,
    caller_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    pub(crate) version: u64,
    /// Caller addresses of the daemons that were killed or suspended.
    pub(crate) killed_or_suspended: Vec<SocketAddr>,
    /// Caller addresses of the daemons that were killed or received SIGTERM.
    pub(crate) terminated: Vec<SocketAddr>,
    /// Daemons that are partitioned from all servers.
    server_cuts: ProcessCuts,
    /// When each evacuated zone was evacuated.
    pub(crate) evacuated: BTreeMap<&'static str, Instant>,
    /// When all faults ended.
    pub(crate) faults_ended_at: Option<Instant>,
    /// When the last store fault started or ended.
    pub(crate) store_fault_at: Instant,
    started_servers: usize,
}

impl SoakFleet {
    pub(crate) async fn start(program: &Path, size: SoakSize) -> Self {
        let (daemon_count, server_count) = match size {
            SoakSize::Few => (3, 6),
            SoakSize::Many => (12, 24),
        };
        let platform = FakePlatform::start().await;
        let relays: Vec<SocketAddr> = (0..2).map(|_| free_address()).collect();
        let mut fleet = Self {
            program: program.to_owned(),
            platform,
            servers: Vec::new(),
            daemons: Vec::new(),
            replaced_daemons: Vec::new(),
            relays,
            caller_addresses: Arc::default(),
            version: 1,
            killed_or_suspended: Vec::new(),
            terminated: Vec::new(),
            server_cuts: ProcessCuts::default(),
            evacuated: BTreeMap::new(),
            faults_ended_at: None,
            store_fault_at: Instant::now(),
            started_servers: 0,
        };
        fleet.platform.put_config(&versioned_config(1));
        for _ in 0..server_count {
            fleet.add_server().await;
        }
        for number in 0..daemon_count {
            let relay = fleet.relays.get(number).copied().unwrap_or_else(free_address);
            let daemon = fleet.start_daemon(relay).await;
            fleet.daemons.push(daemon);
        }
        for daemon in &mut fleet.daemons {
            daemon.process.wait_ready().await;
        }
        fleet.publish_caller_addresses();
        fleet
    }

    /// The shared list of caller addresses, updated when daemons are replaced.
    pub(crate) fn caller_addresses(&self) -> Arc<Mutex<Vec<SocketAddr>>> {
        Arc::clone(&self.caller_addresses)
    }

    /// Paths of the daemons' log files.
    pub(crate) fn log_paths(&self) -> Vec<Box<str>> {
        let daemons = self.daemons.iter().chain(&self.replaced_daemons);
        daemons.map(|daemon| daemon.process.log_path().display().to_string().into()).collect()
    }

    async fn start_daemon(&self, relay: SocketAddr) -> SoakDaemon {
        let store_proxy = FaultProxy::start(self.platform.address()).await;
        let process = HostedDaemon::start_with_relays(
            &self.program,
            store_proxy.address,
            relay,
            &self.relays,
        );
        SoakDaemon { process, relay, store_proxy }
    }

    async fn add_server(&mut self) {
        let id = format!("s-{}", self.started_servers);
        let zone = ZONES[self.started_servers % ZONES.len()];
        self.started_servers += 1;
        let server = HostedServer::start(&id, "orders", NORMAL_BEHAVIOUR).await;
        let zone = zone.parse().expect("the name is valid");
        let record = ServerRecord { zone, ..server.record.clone() };
        self.register_server(server, record).await;
    }

    /// Starts a proxy in front of a server, and lists the server at the address of the proxy.
    async fn register_server(&mut self, hosted_server: HostedServer, record: ServerRecord) {
        let (target, cuts) = (hosted_server.record.address, self.server_cuts.clone());
        let proxy = FaultProxy::start_with_cuts(target, cuts).await;
        let record = ServerRecord { address: proxy.address, ..record };
        self.platform.put_server(&record);
        hosted_server.set_crash_text(CRASH_TEXT);
        let hosted_server = Arc::new(hosted_server);
        let (restarted, listed) = (Arc::clone(&hosted_server), record.clone());
        let list = self.platform.server_list();
        let restarts = tokio::spawn(async move {
            restarted.restart_after_crashes(listed, list, CRASH_DOWNTIME).await;
        });
        self.servers.push(SoakServer { hosted_server, proxy, restarts, record, left_at: None });
    }

    /// Injects a fault.
    pub(crate) async fn inject(&mut self, kind: &FaultKind) {
        match *kind {
            FaultKind::StoreBehaviour(behaviour) => {
                self.store_fault_at = Instant::now();
                self.platform.set_behaviour(behaviour);
            }
            FaultKind::StoreDelay(ms) => {
                self.store_fault_at = Instant::now();
                self.platform.set_delay(Duration::from_millis(ms));
            }
            FaultKind::CompactHistory => self.platform.compact_history(),
            FaultKind::BlackholeStore(number) => {
                self.store_fault_at = Instant::now();
                self.daemon(number).store_proxy.blackhole_open_connections();
            }
            FaultKind::PartitionStore(number) => {
                self.store_fault_at = Instant::now();
                self.daemon(number).store_proxy.partition();
            }
            FaultKind::EndStorePartitions => self.end_store_partitions(),
            FaultKind::ResetServer(number) => self.server(number).proxy.reset_open_connections(),
            FaultKind::BlackholeServer(number) => {
                self.server(number).proxy.blackhole_open_connections();
            }
            FaultKind::ServerBehaviour(number, behaviour) => {
                self.server(number).hosted_server.set_behaviour(behaviour);
            }
            FaultKind::DrainServer(number) | FaultKind::RemoveServer(number) => {
                self.remove_server(number, matches!(kind, FaultKind::DrainServer(_))).await;
            }
            FaultKind::RestartServer(number) => self.restart_server(number).await,
            FaultKind::CoolServer(number) => {
                self.server(number).hosted_server.set_cold(WARM_UP.duration);
            }
            FaultKind::InvalidEntry => {
                self.platform.put_raw_row(TableName::Servers, "junk", "{\"address\":");
            }
            FaultKind::NewConfig => {
                self.version += 1;
                self.platform.put_config(&versioned_config(self.version));
            }
            FaultKind::KillDaemon(number) => {
                let daemon = self.daemon(number);
                daemon.process.kill();
                let callers = daemon.process.callers;
                self.killed_or_suspended.push(callers);
                self.replace_daemon(number).await;
            }
            FaultKind::TerminateDaemon(number) => {
                self.daemon(number).process.terminate();
                self.replace_daemon(number).await;
            }
            FaultKind::TerminateDaemonTwice(number) => {
                let process = &self.daemon(number).process;
                process.terminate();
                process.reload_settings();
                process.terminate();
                self.replace_daemon(number).await;
            }
            FaultKind::SuspendDaemon(number) => {
                let daemon = self.daemon(number);
                daemon.process.signal(Signal::STOP);
                let callers = daemon.process.callers;
                self.killed_or_suspended.push(callers);
            }
            FaultKind::CutServers(number) => {
                let process_id = self.daemon(number).process.process_id();
                self.server_cuts.add(process_id);
                // Those of the other daemons are reset too, and opened again.
                for server in &self.servers {
                    server.proxy.reset_open_connections();
                }
            }
            FaultKind::EndServerCuts => self.server_cuts.end(),
            FaultKind::ResumeDaemons => self.resume_daemons(),
            FaultKind::ReloadSettings(number) => self.daemon(number).process.reload_settings(),
            FaultKind::ToggleEvacuation(number) => {
                let zone = ZONES[number % ZONES.len()];
                self.set_evacuated(zone, !self.evacuated.contains_key(zone));
            }
        }
    }

    /// Evacuates a zone, or takes it back. One zone is always left.
    fn set_evacuated(&mut self, zone: &'static str, is_evacuated: bool) {
        if !is_evacuated {
            self.platform.set_evacuated(zone, false);
            self.evacuated.remove(zone);
        } else if self.evacuated.len() + 1 < ZONES.len() {
            self.platform.set_evacuated(zone, true);
            self.evacuated.insert(zone, Instant::now());
        }
    }

    /// Ends all faults. The zones with servers that may all have left stay evacuated, or become so.
    pub(crate) async fn end_faults(&mut self) {
        self.faults_ended_at = Some(Instant::now());
        let [permanent_zone, _, last_zone] = ZONES;
        self.set_evacuated(permanent_zone, false);
        if !self.evacuated.contains_key(last_zone) {
            self.set_evacuated(last_zone, true);
        }
        self.store_fault_at = Instant::now();
        self.platform.set_behaviour(StoreBehaviour::Serve);
        self.platform.set_delay(Duration::ZERO);
        self.end_store_partitions();
        self.server_cuts.end();
        self.resume_daemons();
        for server in &self.servers {
            server.hosted_server.set_behaviour(NORMAL_BEHAVIOUR);
        }
        self.version += 1;
        self.platform.put_config(&versioned_config(self.version));
    }

    fn end_store_partitions(&mut self) {
        self.store_fault_at = Instant::now();
        for daemon in &self.daemons {
            daemon.store_proxy.end_partition();
        }
    }

    fn resume_daemons(&mut self) {
        for daemon in &self.daemons {
            daemon.process.signal(Signal::CONT);
        }
    }

    /// Marks a server as leaving if `is_announced`, otherwise removes it from the list, and adds
    /// another one. Does nothing for a permanent server or one that has already left.
    async fn remove_server(&mut self, number: usize, is_announced: bool) {
        let index = number % self.servers.len();
        if index < PERMANENT_SERVERS || self.servers[index].left_at.is_some() {
            return;
        }
        let server = &mut self.servers[index];
        server.left_at = Some(Instant::now());
        server.restarts.abort();
        let sequence = server.record.sequence + 1;
        let started_at_ms = server.record.started_at_ms + server.hosted_server.restart_count();
        let record = server.record.clone();
        let leaving = ServerRecord { is_leaving: true, sequence, started_at_ms, ..record };
        match is_announced {
            true => self.platform.put_server(&leaving),
            false => self.platform.remove_server(leaving.id.as_str()),
        }
        self.add_server().await;
    }

    /// Starts a new incarnation of a server with the same ID at another address.
    async fn restart_server(&mut self, number: usize) {
        let index = number % self.servers.len();
        if index < PERMANENT_SERVERS || self.servers[index].left_at.is_some() {
            return;
        }
        self.servers[index].restarts.abort();
        let old = self.servers[index].record.clone();
        let server = HostedServer::start(old.id.as_str(), "orders", NORMAL_BEHAVIOUR).await;
        let record =
            ServerRecord { started_at_ms: old.started_at_ms + MAX_CRASHES, sequence: 1, ..old };
        self.register_server(server, record).await;
        self.servers[index].left_at = Some(Instant::now());
    }

    /// Starts a daemon that replaces a killed or terminated one.
    async fn replace_daemon(&mut self, number: usize) {
        let index = number % self.daemons.len();
        // The old daemon may still listen on its relay address, so its replacement gets a new one.
        let relay = free_address();
        let daemon = self.start_daemon(relay).await;
        let old = std::mem::replace(&mut self.daemons[index], daemon);
        self.terminated.push(old.process.callers);
        if let Some(relay_index) = self.relays.iter().position(|address| *address == old.relay) {
            self.relays[relay_index] = relay;
        }
        self.replaced_daemons.push(old);
        self.publish_caller_addresses();
    }

    fn publish_caller_addresses(&self) {
        let addresses = self.daemons.iter().map(|daemon| daemon.process.callers).collect();
        *self.caller_addresses.lock().expect("caller lock is never poisoned") = addresses;
    }

    fn server(&self, number: usize) -> &SoakServer {
        &self.servers[number % self.servers.len()]
    }

    fn daemon(&mut self, number: usize) -> &mut SoakDaemon {
        let index = number % self.daemons.len();
        &mut self.daemons[index]
    }
}

/// Returns the configuration of a version: the standard routes, and a route of this version only.
pub(crate) fn versioned_config(version: u64) -> RouteTable {
    let mut routes = standard_routes();
    let prefix = version_prefix(version);
    routes.push(hosted_route(&prefix, ExecutionSemantics::Idempotent, &[("orders", 1)]));
    for route in &mut routes {
        route.timeout = Duration::from_secs(3);
        route.target_latency = Duration::from_secs(1);
    }
    let mut config = hosted_config(version, routes);
    for info in config.services.values_mut() {
        info.warm_up = Some(WARM_UP);
    }
    config
}

/// Returns the prefix of the route that only this version has.
pub(crate) fn version_prefix(version: u64) -> String {
    format!("/version-{version}/")
}
