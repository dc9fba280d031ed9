//! The fleet of a soak, and how faults are brought about in it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::TableName;
use rustix::process::Signal;
use tokio::time::Instant;

use routes::{ExecutionSemantics, RouteTable, ServerRecord};

use crate::daemons::free_port;
use crate::hosted::{
    HostedBehaviour, HostedDaemon, HostedServer, hosted_config, hosted_route, standard_routes,
};
use crate::platform_server::{PlatformStandIn, StoreBehaviour};
use crate::relay::CutRelay;
use crate::soak::SoakSize;
use crate::soak::faults::FaultKind;

/// How servers treat requests while nothing is wrong.
const CALM_BEHAVIOUR: HostedBehaviour = HostedBehaviour::Run(Duration::from_millis(20));

/// Servers that always stay, so that there is something to serve with.
const STAYING_SERVERS: usize = 2;

/// A server, the relay in front of it, and whether it left.
pub(crate) struct SoakServer {
    pub(crate) server: HostedServer,
    relay: CutRelay,
    pub(crate) record: ServerRecord,
    /// When it left the list.
    pub(crate) left_at: Option<Instant>,
}

/// A daemon and where it serves as a relay.
pub(crate) struct SoakDaemon {
    pub(crate) process: HostedDaemon,
    relay: SocketAddr,
    /// Its own way to the store.
    store: CutRelay,
}

/// Everything of one soak.
pub(crate) struct SoakFleet {
    program: PathBuf,
    pub(crate) platform: PlatformStandIn,
    pub(crate) servers: Vec<SoakServer>,
    pub(crate) daemons: Vec<SoakDaemon>,
    /// Daemons that end after SIGTERM.
    ending: Vec<SoakDaemon>,
    relays: Vec<SocketAddr>,
    callers: Arc<Mutex<Vec<SocketAddr>>>,
    pub(crate) version: u64,
    /// Daemons that were killed or frozen.
    pub(crate) harmed: Vec<SocketAddr>,
    /// Daemons that were asked to end.
    pub(crate) terminated: Vec<SocketAddr>,
    /// When the store was last harmed, or came back.
    pub(crate) store_harmed_at: Instant,
    started: usize,
}

impl SoakFleet {
    pub(crate) async fn start(program: &Path, size: SoakSize) -> Self {
        let (daemons, servers) = match size {
            SoakSize::Few => (3, 6),
            SoakSize::Many => (12, 24),
        };
        let platform = PlatformStandIn::start().await;
        let relays: Vec<SocketAddr> = (0..2).map(|_| free_port()).collect();
        let mut fleet = Self {
            program: program.to_owned(),
            platform,
            servers: Vec::new(),
            daemons: Vec::new(),
            ending: Vec::new(),
            relays,
            callers: Arc::default(),
            version: 1,
            harmed: Vec::new(),
            terminated: Vec::new(),
            store_harmed_at: Instant::now(),
            started: 0,
        };
        fleet.platform.put_config(&config_of(1));
        for _ in 0..servers {
            fleet.add_server().await;
        }
        for number in 0..daemons {
            let relay = fleet.relays.get(number).copied().unwrap_or_else(free_port);
            let daemon = fleet.spawn(relay).await;
            fleet.daemons.push(daemon);
        }
        for daemon in &mut fleet.daemons {
            daemon.process.wait_ready().await;
        }
        fleet.share_callers();
        fleet
    }

    /// Where callers may connect, as it changes.
    pub(crate) fn callers(&self) -> Arc<Mutex<Vec<SocketAddr>>> {
        Arc::clone(&self.callers)
    }

    /// Where the daemons' logs lie.
    pub(crate) fn logs(&self) -> Vec<Box<str>> {
        let all = self.daemons.iter().chain(&self.ending);
        all.map(|daemon| daemon.process.log_path().display().to_string().into()).collect()
    }

    async fn spawn(&self, relay: SocketAddr) -> SoakDaemon {
        let store = CutRelay::start(self.platform.address()).await;
        let process = HostedDaemon::start_with(&self.program, store.address, relay, &self.relays);
        SoakDaemon { process, relay, store }
    }

    async fn add_server(&mut self) {
        let id = format!("s-{}", self.started);
        self.started += 1;
        let server = HostedServer::start(&id, "orders", CALM_BEHAVIOUR).await;
        let record = server.record.clone();
        self.enlist(server, record).await;
    }

    /// Lists a server under a record, at the address of a relay in front of it.
    async fn enlist(&mut self, server: HostedServer, record: ServerRecord) {
        let relay = CutRelay::start(server.record.address).await;
        let record = ServerRecord { address: relay.address, ..record };
        self.platform.put_server(&record);
        self.servers.push(SoakServer { server, relay, record, left_at: None });
    }

    /// Brings a fault about.
    pub(crate) async fn bring_about(&mut self, kind: &FaultKind) {
        match *kind {
            FaultKind::Store(behaviour) => {
                self.store_harmed_at = Instant::now();
                self.platform.set_behaviour(behaviour);
            }
            FaultKind::StoreDelay(ms) => {
                self.store_harmed_at = Instant::now();
                self.platform.set_delay(Duration::from_millis(ms));
            }
            FaultKind::Compact => self.platform.forget_history(),
            FaultKind::SilenceStore(number) => {
                self.store_harmed_at = Instant::now();
                self.daemon(number).store.silence();
            }
            FaultKind::CutStore(number) => {
                self.store_harmed_at = Instant::now();
                self.daemon(number).store.cut();
            }
            FaultKind::RestoreStore => self.restore_store(),
            FaultKind::ForgetServer(number) => self.server(number).relay.forget(),
            FaultKind::SilenceServer(number) => self.server(number).relay.silence(),
            FaultKind::Server(number, behaviour) => {
                self.server(number).server.set_behaviour(behaviour);
            }
            FaultKind::Leave(number) | FaultKind::Remove(number) => {
                self.leave(number, matches!(kind, FaultKind::Leave(_))).await;
            }
            FaultKind::Reborn(number) => self.reborn(number).await,
            FaultKind::Junk => self.platform.put_raw(TableName::Servers, "junk", "{\"address\":"),
            FaultKind::Config => {
                self.version += 1;
                self.platform.put_config(&config_of(self.version));
            }
            FaultKind::Kill(number) => {
                let daemon = self.daemon(number);
                daemon.process.kill();
                let callers = daemon.process.callers;
                self.harmed.push(callers);
                self.replace(number).await;
            }
            FaultKind::Terminate(number) => {
                self.daemon(number).process.terminate();
                self.replace(number).await;
            }
            FaultKind::TerminateTwice(number) => {
                let process = &self.daemon(number).process;
                process.terminate();
                process.hang_up();
                process.terminate();
                self.replace(number).await;
            }
            FaultKind::Freeze(number) => {
                let daemon = self.daemon(number);
                daemon.process.signal(Signal::STOP);
                let callers = daemon.process.callers;
                self.harmed.push(callers);
            }
            FaultKind::Thaw => self.thaw(),
            FaultKind::HangUp(number) => self.daemon(number).process.hang_up(),
        }
    }

    /// Ends all faults.
    pub(crate) async fn clear(&mut self) {
        self.store_harmed_at = Instant::now();
        self.platform.set_behaviour(StoreBehaviour::Serve);
        self.platform.set_delay(Duration::ZERO);
        self.restore_store();
        self.thaw();
        for server in &self.servers {
            server.server.set_behaviour(CALM_BEHAVIOUR);
        }
        self.version += 1;
        self.platform.put_config(&config_of(self.version));
    }

    fn restore_store(&mut self) {
        self.store_harmed_at = Instant::now();
        for daemon in &self.daemons {
            daemon.store.restore();
        }
    }

    fn thaw(&mut self) {
        for daemon in &self.daemons {
            daemon.process.signal(Signal::CONT);
        }
    }

    async fn leave(&mut self, number: usize, says_so: bool) {
        let number = number % self.servers.len();
        if number < STAYING_SERVERS || self.servers[number].left_at.is_some() {
            return;
        }
        let server = &mut self.servers[number];
        server.left_at = Some(Instant::now());
        let sequence = server.record.sequence + 1;
        let leaving = ServerRecord { is_leaving: true, sequence, ..server.record.clone() };
        match says_so {
            true => self.platform.put_server(&leaving),
            false => self.platform.remove_server(leaving.id.as_str()),
        }
        self.add_server().await;
    }

    /// Starts another life of a server under its identity, at another address.
    async fn reborn(&mut self, number: usize) {
        let number = number % self.servers.len();
        if number < STAYING_SERVERS || self.servers[number].left_at.is_some() {
            return;
        }
        let old = self.servers[number].record.clone();
        let server = HostedServer::start(old.id.as_str(), "orders", CALM_BEHAVIOUR).await;
        let record = ServerRecord { started_at_ms: old.started_at_ms + 1, sequence: 1, ..old };
        self.enlist(server, record).await;
        self.servers[number].left_at = Some(Instant::now());
    }

    /// Starts a daemon in the place of one that ends.
    async fn replace(&mut self, number: usize) {
        let number = number % self.daemons.len();
        // A port that still closes is not taken over; relays come back at their addresses.
        let relay = free_port();
        let daemon = self.spawn(relay).await;
        let old = std::mem::replace(&mut self.daemons[number], daemon);
        self.terminated.push(old.process.callers);
        if let Some(place) = self.relays.iter().position(|known| *known == old.relay) {
            self.relays[place] = relay;
        }
        self.ending.push(old);
        self.share_callers();
    }

    fn share_callers(&self) {
        let addresses = self.daemons.iter().map(|daemon| daemon.process.callers).collect();
        *self.callers.lock().expect("caller lock is never poisoned") = addresses;
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
pub(crate) fn config_of(version: u64) -> RouteTable {
    let mut routes = standard_routes();
    let prefix = marker(version);
    routes.push(hosted_route(&prefix, ExecutionSemantics::Idempotent, &[("orders", 1)]));
    for route in &mut routes {
        route.timeout = Duration::from_secs(3);
        route.target_latency = Duration::from_secs(1);
    }
    hosted_config(version, routes)
}

/// Prefix of the route that only one version has.
pub(crate) fn marker(version: u64) -> String {
    format!("/version-{version}/")
}
