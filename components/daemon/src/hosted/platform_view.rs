//! The configuration and the backend servers as this entry VM last received them, from the store or
//! from a relay.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

use board::HostedBoard;
use model::StoreVersion;
use observe::{HostedMetrics, Logger, info, warn};
use peers::{HeldVersions, PeerError, RelayHub};
use proxy::HostedServices;
use quarantine::CrashBoard;
use routes::{CONFIG_FORMAT, RouteTable, ServerChange, ServerRegistry};

use crate::hosted::evacuation_state::EvacuationState;

/// Where a configuration came from.
pub(crate) struct ConfigSource {
    /// The store, or the address of a relay.
    pub(crate) name: Box<str>,
    /// Time at which the source had confirmed the configuration that was held before.
    pub(crate) confirmed_at: Option<Instant>,
}

impl ConfigSource {
    fn confirmed_ago_ms(&self) -> Option<u64> {
        self.confirmed_at.map(|at| at.elapsed().as_millis() as u64)
    }
}

/// The list of servers and its version.
struct ServerListState {
    registry: ServerRegistry,
    /// Version of the store that the list reflects; `None` before the first listing.
    version: Option<StoreVersion>,
}

impl ServerListState {
    /// Records a response that reflects a version of the store. Returns `false` if a newer version
    /// is held.
    fn accept_version(&mut self, version: StoreVersion, now: Instant) -> bool {
        if self.version.is_some_and(|held| version < held) {
            return false;
        }
        self.version = Some(version);
        self.registry.mark_reachable(now);
        true
    }
}

/// This VM's view of the platform. Versions never decrease, whatever the source of an update.
pub(crate) struct PlatformView {
    pub(crate) board: Arc<HostedBoard>,
    pub(crate) services: Arc<HostedServices>,
    pub(crate) crashes: Arc<CrashBoard>,
    pub(crate) metrics: HostedMetrics,
    pub(crate) log: Logger,
    /// Sends updates to subscribers; `None` unless this VM is a relay.
    hub: Mutex<Option<Arc<RelayHub>>>,
    /// Whether this VM reads the store itself because no relay has a fresh state.
    is_without_relay: AtomicBool,
    /// Whether the last relay that spoke said that its own calls to the store fail.
    outage_known: watch::Sender<bool>,
    pub(super) evacuations: EvacuationState,
    servers: Mutex<ServerListState>,
    /// Notified when the list of servers has changed.
    servers_changed: Notify,
}

impl PlatformView {
    pub(crate) fn new(
        board: Arc<HostedBoard>,
        services: Arc<HostedServices>,
        crashes: Arc<CrashBoard>,
        metrics: HostedMetrics,
        lapsed_retention: Duration,
        log: Logger,
    ) -> Self {
        let registry = ServerRegistry::new(lapsed_retention);
        metrics.evacuated_zones.set(-1);
        Self {
            board,
            services,
            crashes,
            metrics,
            log,
            hub: Mutex::default(),
            is_without_relay: AtomicBool::new(false),
            outage_known: watch::Sender::new(false),
            evacuations: EvacuationState::new(lapsed_retention),
            servers: Mutex::new(ServerListState { registry, version: None }),
            servers_changed: Notify::new(),
        }
    }

    /// Returns the hub of this VM; `None` unless it is a relay.
    pub(crate) fn hub(&self) -> Option<Arc<RelayHub>> {
        self.lock_hub().clone()
    }

    /// Publishes the state that is held, and all later updates, to the subscribers of a hub.
    pub(crate) fn set_hub(&self, hub: Arc<RelayHub>) {
        *self.lock_hub() = Some(Arc::clone(&hub));
        let evacuations = self.evacuations.lock();
        if let Some(version) = evacuations.version() {
            self.log_encode_failure(hub.publish_evacuations(version, evacuations.listed_zones()));
        }
        drop(evacuations);
        if let Some(table) = self.board.routes() {
            self.log_encode_failure(hub.publish_config(&table));
        }
        let servers = self.lock_servers();
        if let Some(version) = servers.version {
            let records = servers.registry.listed_servers().cloned().collect();
            self.log_encode_failure(hub.publish_servers(version, records, None));
        }
    }

    /// Ends the publication of updates.
    pub(crate) fn remove_hub(&self) {
        *self.lock_hub() = None;
    }

    /// Changes how long entries are retained that lapsed in an outage.
    pub(crate) fn set_lapsed_retention(&self, retention: Duration) {
        self.lock_servers().registry.set_lapsed_retention(retention);
        self.evacuations.lock().set_retention(retention);
    }

    /// Records whether this VM reads the store itself because no relay has a fresh state.
    pub(crate) fn set_without_relay(&self, is_without_relay: bool) {
        self.is_without_relay.store(is_without_relay, Ordering::Relaxed);
    }

    /// Whether this VM has a relay or is one.
    pub(crate) fn has_relay(&self) -> bool {
        !self.is_without_relay.load(Ordering::Relaxed)
    }

    /// Records whether a relay says that its own calls to the store fail.
    pub(crate) fn set_outage_known(&self, is_outage_known: bool) {
        self.outage_known
            .send_if_modified(|known| std::mem::replace(known, is_outage_known) != is_outage_known);
    }

    /// Returns a receiver of whether relays say that the store is unreachable for them too.
    pub(crate) fn watch_known_outage(&self) -> watch::Receiver<bool> {
        self.outage_known.subscribe()
    }

    /// Versions held, which a relay need not send again.
    pub(crate) fn held_versions(&self) -> HeldVersions {
        let config = self.board.version().map(|version| version.0);
        HeldVersions {
            config,
            servers: self.servers_version(),
            accepts_compressed: true,
            exchanges_crash_reports: true,
            is_relay: false,
            format: CONFIG_FORMAT,
            evacuations: self.evacuations.version(),
        }
    }

    /// Version of the store that the list of servers reflects.
    pub(crate) fn servers_version(&self) -> Option<StoreVersion> {
        self.lock_servers().version
    }

    /// Puts a configuration in force and forwards it to subscribers, unless its version is not
    /// newer.
    pub(crate) fn apply_config(&self, table: RouteTable, source: &ConfigSource) {
        let (version, routes) = (table.version, table.route_count());
        let accounts = table.accounts.as_ref().map(|accounts| accounts.accounts.len());
        if !self.board.set_routes(table) {
            return;
        }
        let has_new_services =
            self.board.routes().is_some_and(|table| self.services.apply_config(&table));
        if has_new_services {
            let servers = self.lock_servers();
            self.services.set_servers(servers.registry.eligible_servers(), Instant::now());
        }
        self.metrics.config_version.set(version.0 as i64);
        info!(self.log, "config: in force"; "version" => version.0, "routes" => routes,
            "accounts" => accounts, "source" => %source.name, "confirmed_ago_ms" => source.confirmed_ago_ms());
        if let (Some(hub), Some(table)) = (self.hub(), self.board.routes()) {
            self.log_encode_failure(hub.publish_config(&table));
        }
    }

    /// Replaces the list of servers, unless a newer version is held.
    pub(crate) fn apply_listing(&self, version: StoreVersion, listed: Vec<ServerChange>) {
        let now = Instant::now();
        let mut servers = self.lock_servers();
        let held_version = servers.version;
        if !servers.accept_version(version, now) {
            return;
        }
        if let Some(held) = held_version.filter(|held| held.era < version.era) {
            servers.registry.mark_restored(now);
            warn!(self.log, "store: returned from an older copy"; "version" => %version,
                "held" => %held, "listed" => listed.len(), "known" => servers.registry.len());
        }
        self.metrics.store_era.set(version.era as i64);
        servers.registry.apply_listing(listed, now);
        self.publish_servers(&servers, None);
        self.board.mark_servers_received();
    }

    /// Applies changes of the list of servers, unless a newer version is held.
    pub(crate) fn apply_changes(&self, version: StoreVersion, changes: Vec<ServerChange>) {
        let now = Instant::now();
        let mut servers = self.lock_servers();
        if !servers.accept_version(version, now) {
            return;
        }
        if !changes.is_empty() {
            servers.registry.apply_changes(changes.clone(), now);
            self.publish_servers(&servers, Some(changes));
        }
    }

    /// Records whether the store is unreachable, as this VM or its relay observed.
    pub(crate) fn set_store_unreachable(&self, is_unreachable: bool) {
        let mut servers = self.lock_servers();
        match is_unreachable {
            true => servers.registry.mark_unreachable(),
            false => servers.registry.mark_reachable(Instant::now()),
        }
    }

    /// Removes servers whose entries have been missing for too long after an outage, and applies late
    /// entries that their servers don't correct, until the future is dropped.
    pub(crate) async fn run_server_expiry(&self) {
        loop {
            let changed = self.servers_changed.notified();
            let next_expiry = self.lock_servers().registry.next_expiry();
            match next_expiry {
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = changed => {}
                },
                None => changed.await,
            }
            let mut servers = self.lock_servers();
            if servers.registry.remove_expired(Instant::now()) {
                self.publish_servers(&servers, None);
            }
        }
    }

    fn publish_servers(&self, servers: &ServerListState, changes: Option<Vec<ServerChange>>) {
        let registry = &servers.registry;
        self.servers_changed.notify_waiters();
        self.services.set_servers(registry.eligible_servers(), Instant::now());
        self.metrics.servers.set(registry.len() as i64);
        let leaving = registry.eligible_servers().filter(|record| record.is_leaving).count();
        info!(self.log, "servers: list applied"; "servers" => registry.len(),
            "leaving" => leaving, "version" => servers.version.map(|version| version.to_string()));
        if let (Some(hub), Some(version)) = (self.hub(), servers.version) {
            let records = registry.listed_servers().cloned().collect();
            self.log_encode_failure(hub.publish_servers(version, records, changes));
        }
    }

    pub(super) fn log_encode_failure(&self, encoded: Result<(), PeerError>) {
        if let Err(error) = encoded {
            warn!(self.log, "relay: can't encode an update for subscribers"; "reason" => %error);
        }
    }

    fn lock_hub(&self) -> MutexGuard<'_, Option<Arc<RelayHub>>> {
        self.hub.lock().expect("hub lock is never poisoned")
    }

    fn lock_servers(&self) -> MutexGuard<'_, ServerListState> {
        self.servers.lock().expect("server list lock is never poisoned")
    }
}
