//! What an entry VM knows of the configuration and the backend servers, whoever told it.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use board::HostedBoard;
use observe::{HostedMetrics, Logger, info, warn};
use peers::{HeldVersions, PeerError, RelayHub};
use proxy::HostedServices;
use routes::{RouteTable, ServerBook, ServerChange};

/// What is known of the list of servers.
#[derive(Default)]
struct ServerKnowledge {
    book: ServerBook,
    /// Version of the store that the book shows; `None` before the first listing.
    version: Option<u64>,
}

impl ServerKnowledge {
    /// Notes an answer that shows a version of the store; `false` when a newer one is known.
    fn accept(&mut self, version: u64, now: Instant) -> bool {
        if self.version.is_some_and(|known| version < known) {
            return false;
        }
        self.version = Some(version);
        self.book.note_contact(now);
        true
    }
}

/// What is known. Versions never go back, whoever brings them.
pub(crate) struct Knowledge {
    pub(crate) board: Arc<HostedBoard>,
    pub(crate) services: Arc<HostedServices>,
    /// Where subscribers are told; only at a relay.
    pub(crate) hub: Option<Arc<RelayHub>>,
    pub(crate) metrics: HostedMetrics,
    pub(crate) log: Logger,
    servers: Mutex<ServerKnowledge>,
    /// Tells that the list of servers has changed.
    list_changed: Notify,
}

impl Knowledge {
    pub(crate) fn new(
        board: Arc<HostedBoard>,
        services: Arc<HostedServices>,
        hub: Option<Arc<RelayHub>>,
        metrics: HostedMetrics,
        log: Logger,
    ) -> Self {
        Self {
            board,
            services,
            hub,
            metrics,
            log,
            servers: Mutex::default(),
            list_changed: Notify::new(),
        }
    }

    /// The versions that are known, which a relay need not tell again.
    pub(crate) fn versions(&self) -> HeldVersions {
        let config = self.board.version().map(|version| version.0);
        HeldVersions { config, servers: self.servers_version() }
    }

    /// Version of the store that the list of servers shows.
    pub(crate) fn servers_version(&self) -> Option<u64> {
        self.servers().version
    }

    /// Puts a configuration in force unless it is old.
    pub(crate) fn take_config(&self, table: RouteTable) {
        let (version, routes) = (table.version, table.route_count());
        if !self.board.set_routes(table) {
            return;
        }
        self.metrics.version.set(version.0 as i64);
        info!(self.log, "config: in force"; "version" => version.0, "routes" => routes);
        if let (Some(hub), Some(table)) = (&self.hub, self.board.routes()) {
            self.note_told(hub.publish_config(&table));
        }
    }

    /// Takes in a whole list of servers, unless a newer one is known.
    pub(crate) fn take_listing(&self, version: u64, listed: Vec<ServerChange>) {
        let now = Instant::now();
        let mut servers = self.servers();
        if !servers.accept(version, now) {
            return;
        }
        servers.book.take_listing(listed, now);
        self.publish(&servers, None);
        self.board.note_servers();
    }

    /// Takes in changes of the list of servers.
    pub(crate) fn take_changes(&self, version: u64, changes: Vec<ServerChange>) {
        let now = Instant::now();
        let mut servers = self.servers();
        if !servers.accept(version, now) {
            return;
        }
        if !changes.is_empty() {
            servers.book.take_changes(changes.clone(), now);
            self.publish(&servers, Some(changes));
        }
    }

    /// Notes whether the store can be asked for its list of servers.
    pub(crate) fn note_store(&self, is_away: bool) {
        let mut servers = self.servers();
        match is_away {
            true => servers.book.note_outage(),
            false => servers.book.note_contact(Instant::now()),
        }
    }

    /// Drops servers that have been missing for too long since an outage, until it is dropped.
    pub(crate) async fn run_expiry(&self) {
        loop {
            let changed = self.list_changed.notified();
            let next = self.servers().book.next_expiry();
            match next {
                Some(at) => sleep_until(at).await,
                None => changed.await,
            }
            let mut servers = self.servers();
            if servers.book.expire(Instant::now()) {
                self.publish(&servers, None);
            }
        }
    }

    fn publish(&self, servers: &ServerKnowledge, changes: Option<Vec<ServerChange>>) {
        let book = &servers.book;
        self.list_changed.notify_waiters();
        self.services.set_servers(book.servers(), Instant::now());
        self.metrics.servers.set(book.len() as i64);
        let leaving = book.servers().filter(|record| record.is_leaving).count();
        info!(self.log, "servers: list taken over"; "servers" => book.len(),
            "leaving" => leaving, "version" => servers.version);
        if let (Some(hub), Some(version)) = (&self.hub, servers.version) {
            let records = book.listed().cloned().collect();
            self.note_told(hub.publish_servers(version, records, changes));
        }
    }

    fn note_told(&self, told: Result<(), PeerError>) {
        if let Err(fault) = told {
            warn!(self.log, "relay: news can't be told"; "reason" => %fault);
        }
    }

    fn servers(&self) -> MutexGuard<'_, ServerKnowledge> {
        self.servers.lock().expect("knowledge lock is never poisoned")
    }
}
