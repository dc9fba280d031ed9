//! Relays: entry VMs that read the store of the hosting platform and send updates to other entry
//! VMs.
//!
//! Without relays, every change causes a store call by every entry VM. A relay gives no guarantee:
//! it reports the age of its state, and a subscriber reads the store itself when that state is too
//! old or the relay is silent. So a faulty or slow relay costs extra store calls, but never
//! violates a guarantee of the load balancer.

use std::collections::{BTreeSet, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::time::{Instant, interval, sleep, timeout};

use limits::{MemberId, ShareLedger, share_divisor};
use model::{FastMap, StoreVersion};
use observe::{Logger, info, warn};
use quarantine::{CrashBoard, CrashReport};
use routes::{RouteTable, ServerChange, ServerRecord};

use crate::transfer::PeerStream;
use crate::wire::{CborSocket, EncodedMessage, PeerError, connection_ended};

/// Time without a sent byte after which a subscriber counts as gone. It may have vanished without
/// closing the connection.
const SEND_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Capacity of the queue of messages to one subscriber. A subscriber that falls further behind is
/// disconnected and subscribes again.
const SUBSCRIBER_QUEUE_CAPACITY: usize = 64;

/// Number of recent changes of the server list kept for subscribers that hold an earlier version.
/// A subscriber with a version before all of them receives the full list.
const CHANGE_HISTORY_CAPACITY: usize = 64;

/// Part of the timeout of a subscription that may pass until the connection is open.
const CONNECT_TIMEOUT_RATIO: f64 = 0.25;

/// Maximum number of VMs that reach backend servers in one message.
const MAX_HELPERS: usize = 8;

/// Interval at which relays tell each other of VMs that reach backend servers.
pub const HELPER_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Versions that a subscriber already holds; its first message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersions {
    /// Version of the configuration.
    pub config: Option<u64>,
    /// Store version of the server list.
    pub servers: Option<StoreVersion>,
    /// Whether the subscriber accepts compressed messages; older versions of the daemon don't.
    #[serde(default)]
    pub accepts_compressed: bool,
    /// Whether the subscriber exchanges crash reports; older versions of the daemon don't.
    #[serde(default)]
    pub exchanges_crash_reports: bool,
    /// Whether the subscriber is another relay, which only exchanges crash reports.
    #[serde(default)]
    pub is_relay: bool,
}

/// A message from a subscriber to a relay that exchanges crash reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// Crash reports, of which the relay may hold some already.
    CrashReports(Vec<CrashReport>),
    /// Which VMs reach backend servers, as far as the sender knows: itself, or subscribers of another
    /// relay.
    Helpers {
        /// Their caller addresses.
        callers: Vec<SocketAddr>,
        /// Whether the sender reaches none and needs other VMs.
        needs_helpers: bool,
    },
}

/// A message from a relay to a subscriber.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// The newest configuration.
    Config(RouteTable),
    /// The full list of servers at a store version.
    Servers {
        /// The store version.
        version: StoreVersion,
        /// The servers.
        records: Vec<ServerRecord>,
    },
    /// Changes of the list between two store versions.
    Changes {
        /// Store version before the changes.
        after: StoreVersion,
        /// Store version after the changes.
        version: StoreVersion,
        /// The changes in the order of their occurrence.
        changes: Vec<ServerChange>,
    },
    /// Crash reports, of which the subscriber may hold some already. Between relays, an empty list
    /// is the keep-alive message.
    CrashReports(Vec<CrashReport>),
    /// Caller addresses of some VMs that reach backend servers: for a subscriber that reaches none,
    /// and for other relays.
    Helpers(Vec<SocketAddr>),
    /// Keep-alive message.
    #[serde(rename = "Alive")]
    KeepAlive {
        /// Milliseconds since the store last confirmed the relay's state.
        age_ms: u64,
        /// Whether the relay's calls to the store for the list of servers fail.
        #[serde(rename = "is_store_away")]
        is_store_unreachable: bool,
        /// Number of equal shares into which the relay's part of a fleet-wide budget is divided, of
        /// which the subscriber has one. It is higher than the number of subscribers while shares
        /// of former subscribers still count.
        members: u32,
        /// Turns of the subscriber; `None` shortly after it subscribed, while other subscribers may
        /// not know its turn yet, and from an older version of the daemon.
        #[serde(default)]
        turns: Option<SubscriberTurns>,
        /// Era of the store in the relay's server list.
        #[serde(default)]
        era: u64,
        /// Milliseconds on the relay's steady clock; `None` from an older version of the daemon.
        #[serde(default)]
        clock_ms: Option<u64>,
    },
}

/// Turns in which a relay's subscribers and the relay itself use what only one of them may use at a
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberTurns {
    /// Turn of the receiver in each round. Invariant: less than `count`.
    pub index: u32,
    /// Number of turns in a round.
    pub count: u32,
    /// Milliseconds on the relay's steady clock.
    pub clock_ms: u64,
}

/// Times of a relay, which follow the bounds of the hosting platform.
#[derive(Debug, Clone, Copy)]
pub struct RelayTiming {
    /// Interval between two keep-alive messages.
    pub keep_alive_interval: Duration,
    /// Timeout for receiving the first message of a subscriber.
    pub handshake_timeout: Duration,
    /// How long what a member takes from a fleet-wide budget counts against it.
    pub budget_window: Duration,
    /// Age of the state above which subscribers leave the relay.
    pub max_state_age: Duration,
    /// How long a member uses its share and its turns after the message that brought them.
    /// Invariant: longer than `keep_alive_interval`.
    pub share_validity: Duration,
}

/// State of a relay, and the channel to its subscribers.
pub struct RelayHub {
    timing: RelayTiming,
    /// Membership of the relay itself.
    own_membership: Membership,
    crashes: Arc<CrashBoard>,
    state: Mutex<HubState>,
    updates: broadcast::Sender<EncodedMessage>,
}

struct HubState {
    config: Option<LatestMessage<u64>>,
    servers: Option<LatestMessage<StoreVersion>>,
    /// Invariant: each entry starts at the version at which the previous one ends; the last ends at
    /// the version of `servers`.
    changes: VecDeque<EncodedChanges>,
    config_confirmed_at: Option<Instant>,
    servers_confirmed_at: Option<Instant>,
    is_store_unreachable: bool,
    shares: ShareLedger,
    next_member: u64,
    /// Caller addresses of VMs that reach backend servers, by the connection that told of them: of a
    /// subscriber or another relay.
    helpers: FastMap<HelperSource, Vec<SocketAddr>>,
    next_connection: u64,
    /// Turns in use: 0 is the relay's own, the others are those of subscribers.
    used_turns: BTreeSet<u32>,
    /// Start of the clock that the subscribers share.
    started_at: Instant,
}

/// Where a relay knows VMs from that reach backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum HelperSource {
    /// The relay itself.
    Own,
    /// A connection from a subscriber.
    Subscriber(u64),
    /// A connection from another relay.
    Relay(u64),
    /// A connection to another relay.
    DialedRelay(SocketAddr),
}

/// A connection whose other end tells which VMs reach backend servers. What it told is forgotten
/// when this is dropped.
struct HelperConnection<'a> {
    hub: &'a RelayHub,
    source: HelperSource,
}

impl Drop for HelperConnection<'_> {
    fn drop(&mut self) {
        self.hub.state().helpers.remove(&self.source);
    }
}

/// A member among which this relay divides budgets and turns: a subscriber, or the relay itself.
#[derive(Debug, Clone, Copy)]
struct Membership {
    id: MemberId,
    turn: u32,
    joined_at: Instant,
}

/// A subscriber's membership, which ends when this is dropped.
struct MembershipGuard<'a> {
    hub: &'a RelayHub,
    membership: Membership,
}

impl Drop for MembershipGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.hub.state();
        state.used_turns.remove(&self.membership.turn);
        state.shares.leave(self.membership.id, Instant::now());
    }
}

/// Encoded changes of the server list between two store versions.
struct EncodedChanges {
    after: StoreVersion,
    version: StoreVersion,
    message: EncodedMessage,
}

/// The latest message of one kind: the configuration or the server list.
struct LatestMessage<V> {
    version: V,
    message: RelayMessage,
    /// The encoded message, set when a subscriber first needs it.
    encoded: Option<EncodedMessage>,
}

impl<V> LatestMessage<V> {
    fn new(version: V, message: RelayMessage) -> Self {
        Self { version, message, encoded: None }
    }

    fn encode(&mut self) -> Result<EncodedMessage, PeerError> {
        if let Some(encoded) = &self.encoded {
            return Ok(encoded.clone());
        }
        let encoded = EncodedMessage::new(&self.message)?;
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }
}

impl HubState {
    /// Adds a member with the lowest free turn.
    fn join(&mut self, now: Instant) -> Membership {
        let mut turns = 0..;
        let free = turns.find(|turn| !self.used_turns.contains(turn));
        let turn = free.expect("there are fewer members than numbers");
        self.used_turns.insert(turn);
        let id = MemberId(self.next_member);
        self.next_member += 1;
        self.shares.join(id);
        Membership { id, turn, joined_at: now }
    }

    fn turns(&self, index: u32, now: Instant) -> SubscriberTurns {
        let count = self.used_turns.last().map_or(1, |last| last + 1);
        SubscriberTurns { index, count, clock_ms: self.clock_ms(now) }
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    fn push_changes(&mut self, changes: EncodedChanges) {
        if self.changes.len() == CHANGE_HISTORY_CAPACITY {
            self.changes.pop_front();
        }
        self.changes.push_back(changes);
    }

    /// Returns the changes that a subscriber whose list is at version `held` lacks; `None` if the
    /// change history doesn't reach back to that version, so that it needs the full list.
    fn changes_after(&self, held: StoreVersion) -> Option<Vec<EncodedMessage>> {
        let newest = self.servers.as_ref()?.version;
        let missing: Vec<&EncodedChanges> =
            self.changes.iter().filter(|changes| changes.version > held).collect();
        let is_gapless = match missing.first() {
            Some(first) => first.after <= held,
            None => held >= newest,
        };
        is_gapless.then(|| missing.into_iter().map(|changes| changes.message.clone()).collect())
    }
}

impl RelayHub {
    /// Creates a hub without subscribers, which exchanges the reports on `crashes` with them.
    /// `is_first_start` says that no relay of the fleet has ever run before.
    pub fn new(timing: RelayTiming, is_first_start: bool, crashes: Arc<CrashBoard>) -> Self {
        let now = Instant::now();
        let retention = timing.budget_window + timing.share_validity;
        let mut state = HubState {
            config: None,
            servers: None,
            changes: VecDeque::new(),
            config_confirmed_at: None,
            servers_confirmed_at: None,
            is_store_unreachable: false,
            shares: ShareLedger::new(retention, is_first_start, now),
            next_member: 0,
            helpers: FastMap::default(),
            next_connection: 0,
            used_turns: BTreeSet::new(),
            started_at: now,
        };
        let own_membership = state.join(now);
        Self {
            timing,
            own_membership,
            crashes,
            state: Mutex::new(state),
            updates: broadcast::Sender::new(SUBSCRIBER_QUEUE_CAPACITY),
        }
    }

    /// Records that the store confirmed the configuration.
    pub fn confirm_config(&self, now: Instant) {
        self.state().config_confirmed_at = Some(now);
    }

    /// Records that the store confirmed the list of servers.
    pub fn confirm_servers(&self, now: Instant) {
        let mut state = self.state();
        state.servers_confirmed_at = Some(now);
        state.is_store_unreachable = false;
    }

    /// Records that calls to the store for the list of servers fail.
    pub fn set_store_unreachable(&self) {
        self.state().is_store_unreachable = true;
    }

    /// Sends a configuration to the subscribers and keeps it for later ones.
    pub fn publish_config(&self, table: &RouteTable) -> Result<(), PeerError> {
        let mut latest = LatestMessage::new(table.version.0, RelayMessage::Config(table.clone()));
        let mut state = self.state();
        if self.updates.receiver_count() > 0 {
            self.broadcast(latest.encode()?);
        }
        state.config = Some(latest);
        Ok(())
    }

    /// Sends the changes since the last published list to the subscribers, or the full list if
    /// there are no `changes` or no previous list. Keeps the list for later subscribers.
    pub fn publish_servers(
        &self,
        version: StoreVersion,
        records: Vec<ServerRecord>,
        changes: Option<Vec<ServerChange>>,
    ) -> Result<(), PeerError> {
        let mut latest = LatestMessage::new(version, RelayMessage::Servers { version, records });
        let mut state = self.state();
        let after = state.servers.as_ref().map(|latest| latest.version);
        match after.zip(changes) {
            Some((after, changes)) => {
                let message =
                    EncodedMessage::new(&RelayMessage::Changes { after, version, changes })?;
                self.broadcast(message.clone());
                state.push_changes(EncodedChanges { after, version, message });
            }
            None => {
                state.changes.clear();
                if self.updates.receiver_count() > 0 {
                    self.broadcast(latest.encode()?);
                }
            }
        }
        state.servers = Some(latest);
        Ok(())
    }

    /// Sends a message to all subscribers. The caller holds the state lock, so that a new
    /// subscriber receives each message once and in order.
    fn broadcast(&self, message: EncodedMessage) {
        // The send fails only if no subscriber is left.
        let _ = self.updates.send(message);
    }

    /// Returns the number of equal shares of its part of a fleet-wide budget of which the relay
    /// itself has one.
    pub fn own_share_divisor(&self, now: Instant) -> u32 {
        share_divisor(self.state().shares.grant(self.own_membership.id, now))
    }

    /// Returns the relay's own turns; `None` shortly after its start.
    pub fn own_turns(&self, now: Instant) -> Option<SubscriberTurns> {
        self.known_turns(&self.state(), &self.own_membership, now)
    }

    /// Returns the turns of a member once each other member knows of its turn, or no longer uses
    /// the turns that it got before.
    fn known_turns(
        &self,
        state: &HubState,
        membership: &Membership,
        now: Instant,
    ) -> Option<SubscriberTurns> {
        let known_from = membership.joined_at + self.timing.share_validity;
        (now >= known_from).then(|| state.turns(membership.turn, now))
    }

    fn join(&self) -> MembershipGuard<'_> {
        MembershipGuard { hub: self, membership: self.state().join(Instant::now()) }
    }

    /// Returns a keep-alive message for a subscriber; `None` until the store has confirmed both the
    /// configuration and the server list, and while updates are queued for the subscriber: it would
    /// take the state without them for confirmed.
    fn keep_alive(
        &self,
        updates: &broadcast::Receiver<EncodedMessage>,
        membership: &Membership,
        now: Instant,
    ) -> Option<RelayMessage> {
        let mut state = self.state();
        if !updates.is_empty() {
            return None;
        }
        let oldest_confirmed_at = state.config_confirmed_at?.min(state.servers_confirmed_at?);
        let age_ms = now.saturating_duration_since(oldest_confirmed_at).as_millis() as u64;
        let members = share_divisor(state.shares.grant(membership.id, now));
        Some(RelayMessage::KeepAlive {
            age_ms,
            is_store_unreachable: state.is_store_unreachable,
            members,
            turns: self.known_turns(&state, membership, now),
            era: state.servers.as_ref().map_or(0, |latest| latest.version.era),
            clock_ms: Some(state.clock_ms(now)),
        })
    }

    /// Returns a keep-alive message if the relay's state is so old that subscribers leave it.
    fn stale_keep_alive(
        &self,
        updates: &broadcast::Receiver<EncodedMessage>,
        membership: &Membership,
        now: Instant,
    ) -> Result<Option<EncodedMessage>, PeerError> {
        let max_age_ms = self.timing.max_state_age.as_millis() as u64;
        match self.keep_alive(updates, membership, now) {
            Some(message @ RelayMessage::KeepAlive { age_ms, .. }) if age_ms > max_age_ms => {
                EncodedMessage::new(&message).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Returns the messages that a new subscriber lacks, and a receiver of later ones.
    fn subscribe(
        &self,
        held: &HeldVersions,
    ) -> Result<(Vec<EncodedMessage>, broadcast::Receiver<EncodedMessage>), PeerError> {
        let mut state = self.state();
        let mut missing = Vec::new();
        if let Some(latest) =
            state.config.as_mut().filter(|latest| held.config < Some(latest.version))
        {
            missing.push(latest.encode()?);
        }
        match held.servers.and_then(|held| state.changes_after(held)) {
            Some(changes) => missing.extend(changes),
            None => {
                if let Some(latest) = state.servers.as_mut() {
                    missing.push(latest.encode()?);
                }
            }
        }
        Ok((missing, self.updates.subscribe()))
    }

    /// Records whether the relay itself reaches backend servers, and its caller address.
    pub fn set_own_access(&self, callers: SocketAddr, reaches_servers: bool) {
        let helpers = if reaches_servers { vec![callers] } else { Vec::new() };
        self.set_helpers(HelperSource::Own, helpers);
    }

    /// Records which VMs another relay knows that reach backend servers.
    pub fn set_relay_helpers(&self, relay: SocketAddr, helpers: Vec<SocketAddr>) {
        self.set_helpers(HelperSource::DialedRelay(relay), helpers);
    }

    /// Returns some VMs that reach backend servers.
    pub fn helpers(&self) -> Vec<SocketAddr> {
        self.sample_helpers(|_| true)
    }

    /// Returns some VMs that reach backend servers, of this relay and its own subscribers.
    pub fn own_helpers(&self) -> Vec<SocketAddr> {
        self.sample_helpers(|source| {
            matches!(source, HelperSource::Own | HelperSource::Subscriber(_))
        })
    }

    fn sample_helpers(&self, is_included: impl Fn(&HelperSource) -> bool) -> Vec<SocketAddr> {
        let state = self.state();
        let included = state.helpers.iter().filter(|(source, _)| is_included(source));
        let mut helpers: Vec<SocketAddr> =
            included.flat_map(|(_, helpers)| helpers).copied().collect();
        drop(state);
        helpers.shuffle(&mut rand::rng());
        helpers.truncate(MAX_HELPERS);
        helpers
    }

    fn set_helpers(&self, source: HelperSource, mut helpers: Vec<SocketAddr>) {
        helpers.truncate(MAX_HELPERS);
        self.state().helpers.insert(source, helpers);
    }

    fn connect_helpers(&self, source: impl Fn(u64) -> HelperSource) -> HelperConnection<'_> {
        let mut state = self.state();
        let number = state.next_connection;
        state.next_connection += 1;
        drop(state);
        HelperConnection { hub: self, source: source(number) }
    }

    /// Applies a message from a connection, and its size. Returns whether the other end needs VMs
    /// that reach backend servers, if the message tells.
    fn apply(
        &self,
        connection: &HelperConnection<'_>,
        (message, _): (SubscriberMessage, u64),
    ) -> Option<bool> {
        match message {
            SubscriberMessage::CrashReports(reports) => {
                self.crashes.merge(&reports, Instant::now());
                None
            }
            SubscriberMessage::Helpers { callers, needs_helpers } => {
                self.set_helpers(connection.source, callers);
                Some(needs_helpers)
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().expect("hub lock is never poisoned")
    }
}

/// Serves subscribers until the future is dropped.
pub async fn serve_relay(listener: TcpListener, hub: Arc<RelayHub>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, subscriber)) => {
                let (hub, log) = (Arc::clone(&hub), log.clone());
                tokio::spawn(async move {
                    let Err(error) = serve_connection(stream, &hub).await;
                    info!(log, "relay: subscriber disconnected"; "subscriber" => %subscriber,
                        "reason" => %error);
                });
            }
            Err(error) => {
                warn!(log, "relay: accept failed"; "reason" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, hub: &RelayHub) -> Result<Infallible, PeerError> {
    stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
    serve_subscriber(stream, hub).await
}

/// Serves one subscriber until the connection ends.
pub async fn serve_subscriber(
    stream: impl PeerStream + 'static,
    hub: &RelayHub,
) -> Result<Infallible, PeerError> {
    let (mut socket, held) = timeout(hub.timing.handshake_timeout, accept_subscriber(stream))
        .await
        .map_err(|_| PeerError::TimedOut)??;
    if held.is_relay {
        return exchange_crash_reports(socket, hub).await;
    }
    let member = hub.join();
    let (missing, mut updates) = hub.subscribe(&held)?;
    let mut state = Vec::new();
    // A subscriber that has just started must not use old state before it knows its age.
    state.extend(hub.stale_keep_alive(&updates, &member.membership, Instant::now())?);
    state.extend(missing);
    for message in state {
        let bytes = message.bytes(held.accepts_compressed);
        socket.send_encoded_unless_stalled(bytes, SEND_STALL_TIMEOUT).await?;
    }
    let mut keep_alive_ticks = interval(hub.timing.keep_alive_interval);
    let mut crash_feed = hub.crashes.feed();
    let connection = hub.connect_helpers(HelperSource::Subscriber);
    let mut needs_helpers = false;
    loop {
        let message = tokio::select! {
            biased;
            message = updates.recv() => message.map_err(|error| connection_ended(&error))?,
            reports = crash_feed.next(), if held.exchanges_crash_reports => {
                EncodedMessage::new(&RelayMessage::CrashReports(reports))?
            }
            received = socket.receive(), if held.exchanges_crash_reports => {
                needs_helpers = hub.apply(&connection, received?).unwrap_or(needs_helpers);
                if !needs_helpers {
                    continue;
                }
                EncodedMessage::new(&RelayMessage::Helpers(hub.helpers()))?
            }
            _ = keep_alive_ticks.tick() => {
                if needs_helpers {
                    let helpers = EncodedMessage::new(&RelayMessage::Helpers(hub.helpers()))?;
                    let bytes = helpers.bytes(held.accepts_compressed);
                    socket.send_encoded_unless_stalled(bytes, SEND_STALL_TIMEOUT).await?;
                }
                match hub.keep_alive(&updates, &member.membership, Instant::now()) {
                    Some(keep_alive) => EncodedMessage::new(&keep_alive)?,
                    None => continue,
                }
            }
        };
        let bytes = message.bytes(held.accepts_compressed);
        socket.send_encoded_unless_stalled(bytes, SEND_STALL_TIMEOUT).await?;
    }
}

/// Exchanges crash reports with another relay until the connection ends.
async fn exchange_crash_reports(
    mut socket: CborSocket,
    hub: &RelayHub,
) -> Result<Infallible, PeerError> {
    let mut keep_alive_ticks = interval(hub.timing.keep_alive_interval);
    let mut helper_ticks = interval(HELPER_INTERVAL);
    let mut crash_feed = hub.crashes.feed();
    let connection = hub.connect_helpers(HelperSource::Relay);
    loop {
        let message = tokio::select! {
            biased;
            reports = crash_feed.next() => RelayMessage::CrashReports(reports),
            received = socket.receive() => {
                hub.apply(&connection, received?);
                continue;
            }
            _ = helper_ticks.tick() => RelayMessage::Helpers(hub.own_helpers()),
            _ = keep_alive_ticks.tick() => RelayMessage::CrashReports(Vec::new()),
        };
        let message = EncodedMessage::new(&message)?;
        socket.send_encoded_unless_stalled(message.bytes(true), SEND_STALL_TIMEOUT).await?;
    }
}

async fn accept_subscriber(
    stream: impl PeerStream + 'static,
) -> Result<(CborSocket, HeldVersions), PeerError> {
    let mut socket = CborSocket::accept(Box::new(stream)).await?;
    let (held, _) = socket.receive().await?;
    Ok((socket, held))
}

/// A subscription to a relay.
pub struct RelaySubscription {
    socket: CborSocket,
}

impl RelaySubscription {
    /// Subscribes to the relay at `address`, which sends only what is newer than `held`; fails if
    /// that takes longer than `handshake_timeout`.
    pub async fn open(
        address: SocketAddr,
        held: &HeldVersions,
        handshake_timeout: Duration,
    ) -> Result<Self, PeerError> {
        match timeout(handshake_timeout, Self::connect(address, held, handshake_timeout)).await {
            Ok(opened) => opened,
            Err(_) => Err(PeerError::TimedOut),
        }
    }

    async fn connect(
        address: SocketAddr,
        held: &HeldVersions,
        handshake_timeout: Duration,
    ) -> Result<Self, PeerError> {
        // Even a busy relay accepts a connection at once, since its kernel does. One that is down
        // must not delay the subscription to the next.
        let connect_timeout = handshake_timeout.mul_f64(CONNECT_TIMEOUT_RATIO);
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| PeerError::TimedOut)?
            .map_err(|error| connection_ended(&error))?;
        stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
        Self::start(stream, &address.to_string(), held).await
    }

    /// Subscribes on a connected stream to the relay `host`.
    pub async fn start(
        stream: impl PeerStream + 'static,
        host: &str,
        held: &HeldVersions,
    ) -> Result<Self, PeerError> {
        let mut socket = CborSocket::connect(&format!("ws://{host}/"), Box::new(stream)).await?;
        socket.send(held).await?;
        Ok(Self { socket })
    }

    /// Receives the next message; fails if the relay sends no byte for `silence_timeout`.
    pub async fn next(&mut self, silence_timeout: Duration) -> Result<RelayMessage, PeerError> {
        let (message, _) = self.socket.receive_unless_silent(silence_timeout).await?;
        Ok(message)
    }

    /// Sends crash reports; fails if the relay accepts no byte for too long.
    pub async fn send_crash_reports(&mut self, reports: Vec<CrashReport>) -> Result<(), PeerError> {
        self.send(&SubscriberMessage::CrashReports(reports)).await
    }

    /// Sends a message; fails if the relay accepts no byte for too long.
    pub async fn send(&mut self, message: &SubscriberMessage) -> Result<(), PeerError> {
        let message = EncodedMessage::new(message)?;
        self.socket.send_encoded_unless_stalled(message.bytes(true), SEND_STALL_TIMEOUT).await
    }
}
