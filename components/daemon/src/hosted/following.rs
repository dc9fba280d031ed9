//! Learns the configuration and the backend servers: from the platform's store, or from an entry VM
//! that reads the store for others.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use board::HostedBoard;
use model::jittered;
use observe::{HostedMetrics, Logger, debug, info, warn};
use peers::{PeerFault, RelayHub, RelayMessage, RelaySubscription};
use platform::{PlatformStore, TableName, TableRow, read_config_row, read_server_row};
use proxy::HostedServices;
use routes::{RouteTable, ServerBook, ServerChange};

use crate::hosted::table::{TableFollower, TableNews};

/// Age of a relay's knowledge from which the store is asked instead. A relay confirms at least once
/// a second, and what is accepted must be known after 2 s.
const RELAY_MAX_AGE: Duration = Duration::from_millis(1_300);

/// Silence of a relay after which the store is asked instead: three signs of life missed.
const RELAY_SILENCE: Duration = Duration::from_millis(800);

/// Mean time for which the store is asked directly before a relay is tried again.
const DIRECT_TIME: Duration = Duration::from_secs(6);

/// The same at most after the start, until the first configuration and list have come.
const FIRST_DIRECT_TIME: Duration = Duration::from_millis(1_500);

/// What following needs.
#[derive(Clone)]
pub(crate) struct FollowingParts {
    pub(crate) store: Arc<PlatformStore>,
    /// How long one call to the store waits for changes.
    pub(crate) feed_wait: Duration,
    /// Pause after changes, so that changes that come together need one call.
    pub(crate) change_pause: Duration,
    /// Relays to subscribe to; none for a VM that is a relay itself.
    pub(crate) relays: Vec<SocketAddr>,
    pub(crate) hub: Arc<RelayHub>,
    pub(crate) board: Arc<HostedBoard>,
    pub(crate) services: Arc<HostedServices>,
    pub(crate) metrics: HostedMetrics,
    pub(crate) log: Logger,
}

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

/// Learns from wherever it can.
pub(crate) struct Follower {
    parts: FollowingParts,
    servers: Mutex<ServerKnowledge>,
}

/// Why a subscription ended.
#[derive(derive_more::Display)]
enum SubscriptionEnd {
    #[display("{_0}")]
    Broken(PeerFault),
    #[display("relay's knowledge is {_0} ms old")]
    Old(u64),
    #[display("a change is missing")]
    Gap,
}

impl Follower {
    pub(crate) fn new(parts: FollowingParts) -> Self {
        Self { parts, servers: Mutex::default() }
    }

    /// Follows until it is dropped.
    pub(crate) async fn run(self) {
        // At first the store itself: after a loss of all VMs the relays know nothing yet.
        if !self.parts.relays.is_empty() {
            tokio::select! {
                _ = self.parts.board.first_routes(FIRST_DIRECT_TIME) => {}
                () = self.follow_store(FIRST_DIRECT_TIME) => {}
            }
        }
        loop {
            if let Some(relay) = self.choose_relay() {
                let end = self.follow_relay(relay).await;
                info!(self.parts.log, "relay: lost, asking the store"; "relay" => %relay,
                    "reason" => %end);
            }
            self.follow_store(jittered(DIRECT_TIME)).await;
        }
    }

    /// Asks the store itself, for a while where there are relays.
    async fn follow_store(&self, time: Duration) {
        let until = Instant::now() + time;
        tokio::select! {
            () = self.follow_config() => {}
            () = self.follow_servers() => {}
            () = sleep_until(until), if !self.parts.relays.is_empty() => {}
        }
    }

    fn choose_relay(&self) -> Option<SocketAddr> {
        let mut relays = self.parts.relays.clone();
        relays.shuffle(&mut rand::rng());
        relays.pop()
    }

    async fn follow_relay(&self, relay: SocketAddr) -> SubscriptionEnd {
        let mut subscription = match RelaySubscription::open(relay).await {
            Ok(subscription) => subscription,
            Err(fault) => return SubscriptionEnd::Broken(fault),
        };
        info!(self.parts.log, "relay: subscribed"; "relay" => %relay);
        loop {
            let message = match subscription.next(RELAY_SILENCE).await {
                Ok(message) => message,
                Err(fault) => return SubscriptionEnd::Broken(fault),
            };
            if let Some(end) = self.take_message(message) {
                return end;
            }
        }
    }

    fn take_message(&self, message: RelayMessage) -> Option<SubscriptionEnd> {
        match message {
            RelayMessage::Config(table) => self.take_config(table),
            RelayMessage::Servers { version, records } => {
                let listed = records.into_iter().map(ServerChange::Present).collect();
                self.take_listing(version, listed);
            }
            RelayMessage::Changes { after, version, changes } => {
                let known = self.knowledge().version;
                if known.is_none_or(|known| known < after) {
                    return Some(SubscriptionEnd::Gap);
                }
                self.take_changes(version, changes);
            }
            RelayMessage::Alive { age_ms } => {
                if u128::from(age_ms) > RELAY_MAX_AGE.as_millis() {
                    return Some(SubscriptionEnd::Old(age_ms));
                }
            }
        }
        None
    }

    async fn follow_config(&self) {
        let mut follower = TableFollower::new(&self.parts, TableName::Operator, None);
        loop {
            let Some((_, TableNews::Listed(rows) | TableNews::Changed(rows))) =
                follower.next().await
            else {
                continue;
            };
            for row in &rows {
                self.apply_config(row);
            }
            self.parts.hub.confirm_config(Instant::now());
            if !rows.is_empty() {
                sleep(jittered(self.parts.change_pause)).await;
            }
        }
    }

    fn apply_config(&self, row: &TableRow) {
        match read_config_row(row) {
            Ok(Some(table)) => self.take_config(table),
            Ok(None) => {}
            Err(fault) => self.note_fault(&fault),
        }
    }

    fn take_config(&self, table: RouteTable) {
        let (version, routes) = (table.version, table.route_count());
        if !self.parts.board.set_routes(table) {
            return;
        }
        self.parts.metrics.version.set(version.0 as i64);
        info!(self.parts.log, "config: in force"; "version" => version.0, "routes" => routes);
        if let Some(table) = self.parts.board.routes() {
            self.note_told(self.parts.hub.tell_config(&table));
        }
    }

    async fn follow_servers(&self) {
        let known = self.knowledge().version;
        let mut follower = TableFollower::new(&self.parts, TableName::Servers, known);
        loop {
            let expiry = self.knowledge().book.next_expiry();
            let news = match expiry {
                // A call that is dropped here is asked again from the same version.
                Some(at) => match timeout_at(at, follower.next()).await {
                    Ok(news) => news,
                    Err(_) => {
                        self.expire();
                        continue;
                    }
                },
                None => follower.next().await,
            };
            let Some((version, news)) = news else {
                if follower.is_failing() {
                    self.knowledge().book.note_outage();
                }
                continue;
            };
            self.parts.hub.confirm_servers(Instant::now());
            let has_changes = match news {
                TableNews::Listed(rows) => {
                    self.take_listing(version, self.read_changes(&rows));
                    true
                }
                TableNews::Changed(rows) => {
                    self.take_changes(version, self.read_changes(&rows));
                    !rows.is_empty()
                }
            };
            if has_changes {
                sleep(jittered(self.parts.change_pause)).await;
            }
        }
    }

    /// Takes in a whole list, unless a newer one is known.
    fn take_listing(&self, version: u64, listed: Vec<ServerChange>) {
        let now = Instant::now();
        let mut knowledge = self.knowledge();
        if !knowledge.accept(version, now) {
            return;
        }
        knowledge.book.take_listing(listed, now);
        self.publish(&knowledge, None);
        self.parts.board.note_servers();
    }

    fn take_changes(&self, version: u64, changes: Vec<ServerChange>) {
        let now = Instant::now();
        let mut knowledge = self.knowledge();
        if !knowledge.accept(version, now) {
            return;
        }
        if !changes.is_empty() {
            knowledge.book.take_changes(changes.clone(), now);
            self.publish(&knowledge, Some(changes));
        }
    }

    fn expire(&self) {
        let mut knowledge = self.knowledge();
        if knowledge.book.expire(Instant::now()) {
            self.publish(&knowledge, None);
        }
    }

    fn publish(&self, knowledge: &ServerKnowledge, changes: Option<Vec<ServerChange>>) {
        let book = &knowledge.book;
        self.parts.services.set_servers(book.servers(), Instant::now());
        self.parts.metrics.servers.set(book.len() as i64);
        let leaving = book.servers().filter(|record| record.is_leaving).count();
        info!(self.parts.log, "servers: list taken over"; "servers" => book.len(),
            "leaving" => leaving, "version" => knowledge.version);
        if let Some(version) = knowledge.version {
            let records = book.listed().cloned().collect();
            self.note_told(self.parts.hub.tell_servers(version, records, changes));
        }
    }

    fn read_changes(&self, rows: &[TableRow]) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        for row in rows {
            match read_server_row(row) {
                Ok(change) => {
                    debug!(self.parts.log, "servers: entry"; "change" => ?change,
                        "row" => row.version);
                    changes.push(change);
                }
                Err(fault) => self.note_fault(&fault),
            }
        }
        changes
    }

    fn note_fault(&self, fault: &dyn Display) {
        warn!(self.parts.log, "store: entry left out"; "reason" => %fault);
    }

    fn note_told(&self, told: Result<(), PeerFault>) {
        if let Err(fault) = told {
            warn!(self.parts.log, "relay: news can't be told"; "reason" => %fault);
        }
    }

    fn knowledge(&self) -> MutexGuard<'_, ServerKnowledge> {
        self.servers.lock().expect("knowledge lock is never poisoned")
    }
}
