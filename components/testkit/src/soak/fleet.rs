//! The fleet of a soak, and how faults are brought about in it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::TableName;
use rustix::process::Signal;
use tokio::time::Instant;

use routes::{ExecutionSemantics, RouteTable, ServerRecord};

use crate::daemons::free_address;
use crate::fault_proxy::FaultProxy;
use crate::hosted::{
    HostedBehaviour, HostedDaemon, HostedServer, hosted_config, hosted_route, standard_routes,
};
use crate::platform_server::{FakePlatform, StoreBehaviour};
use crate::soak::SoakSize;
use crate::soak::faults::FaultKind;

/// How servers treat requests while nothing is wrong.
const NORMAL_BEHAVIOUR: HostedBehaviour = HostedBehaviour::Run(Duration::from_millis(20));

/// Servers that always stay, so that there is something to serve with.
const PERMANENT_SERVERS: usize = 2;

/// A server, the relay in front of it, and whether it left.
pub(crate) struct SoakServer {
    pub(crate) server: HostedServer,
    proxy: FaultProxy,
    pub(crate) record: ServerRecord,
    /// When it left the list.
    pub(crate) left_at: Option<Instant>,
}

/// A daemon and where it serves as a relay.
pub(crate) struct SoakDaemon {
    pub(crate) process: HostedDaemon,
    relay: SocketAddr,
    /// Its own way to the store.
    store_proxy: FaultProxy,
}

/// Everything of one soak.
pub(crate) struct SoakFleet {
    program: PathBuf,
    pub(crate) platform: FakePlatform,
    pub(crate) servers: Vec<SoakServer>,
    pub(crate) daemons: Vec<SoakDaemon>,
    /// Daemons that end after SIGTERM.
    terminating: Vec<SoakDaemon>,
    relays: Vec<SocketAddr>,
    caller_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    pub(crate) version: u64,
    /// Daemons that were killed or frozen.
    pub(crate) killed_or_suspended: Vec<SocketAddr>,
    /// Daemons that were asked to end.
    pub(crate) terminated: Vec<SocketAddr>,
    /// When the store was last harmed, or came back.
    pub(crate) store_fault_at: Instant,
    started_servers: usize,
}

impl SoakFleet {
    pub(crate) async fn start(program: &Path, size: SoakSize) -> Self {
        let (daemons, servers) = match size {
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
            terminating: Vec::new(),
            relays,
            caller_addresses: Arc::default(),
            version: 1,
            killed_or_suspended: Vec::new(),
            terminated: Vec::new(),
            store_fault_at: Instant::now(),
            started_servers: 0,
        };
        fleet.platform.put_config(&versioned_config(1));
        for _ in 0..servers {
            fleet.add_server().await;
        }
        for number in 0..daemons {
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

    /// Where callers may connect, as it changes.
    pub(crate) fn caller_addresses(&self) -> Arc<Mutex<Vec<SocketAddr>>> {
        Arc::clone(&self.caller_addresses)
    }

    /// Where the daemons' logs lie.
    pub(crate) fn log_paths(&self) -> Vec<Box<str>> {
        let daemons = self.daemons.iter().chain(&self.terminating);
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
        self.started_servers += 1;
        let server = HostedServer::start(&id, "orders", NORMAL_BEHAVIOUR).await;
        let record = server.record.clone();
        self.register_server(server, record).await;
    }

    /// Lists a server under a record, at the address of a relay in front of it.
    async fn register_server(&mut self, server: HostedServer, record: ServerRecord) {
        let proxy = FaultProxy::start(server.record.address).await;
        let record = ServerRecord { address: proxy.address, ..record };
        self.platform.put_server(&record);
        self.servers.push(SoakServer { server, proxy, record, left_at: None });
    }

    /// Brings a fault about.
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
                self.server(number).server.set_behaviour(behaviour);
            }
            FaultKind::DrainServer(number) | FaultKind::RemoveServer(number) => {
                self.remove_server(number, matches!(kind, FaultKind::DrainServer(_))).await;
            }
            FaultKind::RestartServer(number) => self.restart_server(number).await,
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
            FaultKind::ResumeDaemons => self.resume_daemons(),
            FaultKind::ReloadSettings(number) => self.daemon(number).process.reload_settings(),
        }
    }

    /// Ends all faults.
    pub(crate) async fn end_faults(&mut self) {
        self.store_fault_at = Instant::now();
        self.platform.set_behaviour(StoreBehaviour::Serve);
        self.platform.set_delay(Duration::ZERO);
        self.end_store_partitions();
        self.resume_daemons();
        for server in &self.servers {
            server.server.set_behaviour(NORMAL_BEHAVIOUR);
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

    async fn remove_server(&mut self, number: usize, announces_drain: bool) {
        let number = number % self.servers.len();
        if number < PERMANENT_SERVERS || self.servers[number].left_at.is_some() {
            return;
        }
        let server = &mut self.servers[number];
        server.left_at = Some(Instant::now());
        let sequence = server.record.sequence + 1;
        let leaving = ServerRecord { is_leaving: true, sequence, ..server.record.clone() };
        match announces_drain {
            true => self.platform.put_server(&leaving),
            false => self.platform.remove_server(leaving.id.as_str()),
        }
        self.add_server().await;
    }

    /// Starts another life of a server under its identity, at another address.
    async fn restart_server(&mut self, number: usize) {
        let number = number % self.servers.len();
        if number < PERMANENT_SERVERS || self.servers[number].left_at.is_some() {
            return;
        }
        let old = self.servers[number].record.clone();
        let server = HostedServer::start(old.id.as_str(), "orders", NORMAL_BEHAVIOUR).await;
        let record = ServerRecord { started_ms: old.started_ms + 1, sequence: 1, ..old };
        self.register_server(server, record).await;
        self.servers[number].left_at = Some(Instant::now());
    }

    /// Starts a daemon in the place of one that ends.
    async fn replace_daemon(&mut self, number: usize) {
        let number = number % self.daemons.len();
        // A port that still closes is not taken over; relays come back at their addresses.
        let relay = free_address();
        let daemon = self.start_daemon(relay).await;
        let old = std::mem::replace(&mut self.daemons[number], daemon);
        self.terminated.push(old.process.callers);
        if let Some(index) = self.relays.iter().position(|address| *address == old.relay) {
            self.relays[index] = relay;
        }
        self.terminating.push(old);
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
        let number = number % self.daemons.len();
        &mut self.daemons[number]
    }
}

/// The configuration of a version: the standard routes, and one that only this version has.
pub(crate) fn versioned_config(version: u64) -> RouteTable {
    let mut routes = standard_routes();
    let prefix = version_prefix(version);
    routes.push(hosted_route(&prefix, ExecutionSemantics::Idempotent, &[("orders", 1)]));
    for route in &mut routes {
        route.timeout = Duration::from_secs(3);
        route.target_latency = Duration::from_secs(1);
    }
    hosted_config(version, routes)
}

/// Prefix of the route that only one version has.
pub(crate) fn version_prefix(version: u64) -> String {
    format!("/version-{version}/")
}
