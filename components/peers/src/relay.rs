//! Relays: entry VMs that read the platform's store and tell others what changed.
//!
//! Without them every change wakes a call of every entry VM. A relay makes no promise: it says how
//! old its own knowledge is, and a subscriber that finds it too old or silent reads the store
//! itself. So a wrong or slow relay costs calls, never a rule.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use limits::MemberCount;
use observe::{Logger, info, warn};
use routes::{RouteTable, ServerChange, ServerRecord};

use crate::wire::{CborSocket, PeerFault, encode, ended};

/// Time between two signs of life of a relay.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time to connect to a relay, and for a subscriber to say what it knows.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Longest time to send a message to a subscriber, which may be gone without a sign.
const SEND_TIME: Duration = Duration::from_secs(2);

/// Messages that may wait for one subscriber; a slower one is cut off and subscribes anew.
const WAITING_MESSAGES: usize = 64;

/// Changes of the list that are kept for subscribers that know an earlier version. One that knows
/// less is told the whole list.
const KEPT_CHANGES: usize = 64;

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a subscriber knows already: its first message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of the configuration.
    pub config: Option<u64>,
    /// Version of the store that the list of servers shows.
    pub servers: Option<u64>,
}

/// What a relay tells a subscriber.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// The newest configuration.
    Config(RouteTable),
    /// The whole list of servers at a version of the store.
    Servers {
        /// The version.
        version: u64,
        /// The servers.
        records: Vec<ServerRecord>,
    },
    /// What changed in the list between two versions of the store.
    Changes {
        /// The version before.
        after: u64,
        /// The version behind.
        version: u64,
        /// The changes in order.
        changes: Vec<ServerChange>,
    },
    /// Sign of life.
    Alive {
        /// Milliseconds since the store last confirmed what the relay knows.
        age_ms: u64,
        /// Whether the relay's calls to the store fail.
        is_store_away: bool,
        /// Entry VMs among which the relay divides its part of shared budgets.
        members: u32,
    },
}

/// What a relay knows, and its subscribers.
pub struct RelayHub {
    state: Mutex<HubState>,
    news: broadcast::Sender<Bytes>,
}

struct HubState {
    config: Option<KnownNews>,
    servers: Option<KnownNews>,
    /// Invariant: each begins at the version at which the one before ends; the last ends at the
    /// version of `servers`.
    changes: VecDeque<KnownChanges>,
    config_confirmed: Option<Instant>,
    servers_confirmed: Option<Instant>,
    is_store_away: bool,
    members: MemberCount,
}

/// What changed in the list between two versions of the store, in its encoding.
struct KnownChanges {
    after: u64,
    version: u64,
    message: Bytes,
}

/// The newest of one kind of news.
struct KnownNews {
    version: u64,
    message: RelayMessage,
    /// The message in its encoding, once a subscriber needed it.
    encoded: Option<Bytes>,
}

impl KnownNews {
    fn new(version: u64, message: RelayMessage) -> Self {
        Self { version, message, encoded: None }
    }

    fn encode(&mut self) -> Result<Bytes, PeerFault> {
        if let Some(encoded) = &self.encoded {
            return Ok(encoded.clone());
        }
        let encoded = encode(&self.message)?;
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }
}

impl HubState {
    fn keep_changes(&mut self, changes: KnownChanges) {
        if self.changes.len() == KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(changes);
    }

    /// What a subscriber that knows a version of the list must be told; `None` when only the whole
    /// list will do.
    fn changes_since(&self, known: u64) -> Option<Vec<Bytes>> {
        let newest = self.servers.as_ref()?.version;
        let untold: Vec<&KnownChanges> =
            self.changes.iter().filter(|changes| changes.version > known).collect();
        let is_gapless = match untold.first() {
            Some(first) => first.after <= known,
            None => known >= newest,
        };
        is_gapless.then(|| untold.into_iter().map(|changes| changes.message.clone()).collect())
    }
}

impl RelayHub {
    /// A hub without subscribers; what a member took of a shared budget counts for `window`.
    pub fn new(window: Duration) -> Self {
        let state = HubState {
            config: None,
            servers: None,
            changes: VecDeque::new(),
            config_confirmed: None,
            servers_confirmed: None,
            is_store_away: false,
            members: MemberCount::new(window, Instant::now()),
        };
        Self { state: Mutex::new(state), news: broadcast::Sender::new(WAITING_MESSAGES) }
    }

    /// Notes that the store confirmed the configuration.
    pub fn confirm_config(&self, now: Instant) {
        self.state().config_confirmed = Some(now);
    }

    /// Notes that the store confirmed the list of servers.
    pub fn confirm_servers(&self, now: Instant) {
        let mut state = self.state();
        state.servers_confirmed = Some(now);
        state.is_store_away = false;
    }

    /// Notes that a call to the store for the list of servers failed.
    pub fn note_outage(&self) {
        self.state().is_store_away = true;
    }

    /// Tells subscribers of a configuration.
    pub fn tell_config(&self, table: &RouteTable) -> Result<(), PeerFault> {
        let mut news = KnownNews::new(table.version.0, RelayMessage::Config(table.clone()));
        let mut state = self.state();
        if self.news.receiver_count() > 0 {
            self.send(news.encode()?);
        }
        state.config = Some(news);
        Ok(())
    }

    /// Tells subscribers what changed since they were told last, or the whole list; keeps the list for
    /// later subscribers.
    pub fn tell_servers(
        &self,
        version: u64,
        records: Vec<ServerRecord>,
        changes: Option<Vec<ServerChange>>,
    ) -> Result<(), PeerFault> {
        let mut news = KnownNews::new(version, RelayMessage::Servers { version, records });
        let mut state = self.state();
        let after = state.servers.as_ref().map(|known| known.version);
        match after.zip(changes) {
            Some((after, changes)) => {
                let message = encode(&RelayMessage::Changes { after, version, changes })?;
                self.send(message.clone());
                state.keep_changes(KnownChanges { after, version, message });
            }
            None => {
                state.changes.clear();
                if self.news.receiver_count() > 0 {
                    self.send(news.encode()?);
                }
            }
        }
        state.servers = Some(news);
        Ok(())
    }

    /// Called under the lock, so that a new subscriber gets each message once and in order.
    fn send(&self, message: Bytes) {
        // The last subscriber may have left.
        let _ = self.news.send(message);
    }

    /// Entry VMs among which this relay divides its part of shared budgets, itself among them.
    pub fn members(&self, now: Instant) -> u32 {
        let mut state = self.state();
        state.members.record(self.news.receiver_count() as u32 + 1, now);
        state.members.peak(now)
    }

    /// A sign of life; `None` before the relay knows anything.
    fn alive(&self, now: Instant) -> Option<RelayMessage> {
        let members = self.members(now);
        let state = self.state();
        let oldest = state.config_confirmed?.min(state.servers_confirmed?);
        let age_ms = now.saturating_duration_since(oldest).as_millis() as u64;
        Some(RelayMessage::Alive { age_ms, is_store_away: state.is_store_away, members })
    }

    /// What a new subscriber must be told, and what comes after it.
    fn subscribe(
        &self,
        known: &KnownVersions,
    ) -> Result<(Vec<Bytes>, broadcast::Receiver<Bytes>), PeerFault> {
        let mut state = self.state();
        let mut untold = Vec::new();
        if let Some(news) = state.config.as_mut().filter(|news| known.config < Some(news.version)) {
            untold.push(news.encode()?);
        }
        match known.servers.and_then(|known| state.changes_since(known)) {
            Some(changes) => untold.extend(changes),
            None => {
                if let Some(news) = state.servers.as_mut() {
                    untold.push(news.encode()?);
                }
            }
        }
        Ok((untold, self.news.subscribe()))
    }

    fn state(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().expect("hub lock is never poisoned")
    }
}

/// Serves subscribers until it is dropped.
pub async fn serve_relay(listener: TcpListener, hub: Arc<RelayHub>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, subscriber)) => {
                let (hub, log) = (Arc::clone(&hub), log.clone());
                tokio::spawn(async move {
                    let Err(fault) = serve_subscriber(stream, &hub).await;
                    info!(log, "relay: subscriber ended"; "subscriber" => %subscriber,
                        "reason" => %fault);
                });
            }
            Err(error) => {
                warn!(log, "relay: accept failed"; "reason" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_subscriber(
    stream: TcpStream,
    hub: &RelayHub,
) -> Result<std::convert::Infallible, PeerFault> {
    let (mut socket, known) =
        timeout(CONNECT_TIME, accept_subscriber(stream)).await.map_err(|_| PeerFault::Silent)??;
    let (untold, mut news) = hub.subscribe(&known)?;
    for message in untold {
        send(&mut socket, message).await?;
    }
    let mut beats = interval(ALIVE_INTERVAL);
    loop {
        let message = tokio::select! {
            message = news.recv() => message.map_err(|error| ended(&error))?,
            _ = beats.tick() => match hub.alive(Instant::now()) {
                Some(alive) => encode(&alive)?,
                None => continue,
            },
        };
        send(&mut socket, message).await?;
    }
}

async fn accept_subscriber(stream: TcpStream) -> Result<(CborSocket, KnownVersions), PeerFault> {
    stream.set_nodelay(true).map_err(|error| ended(&error))?;
    let config = Some(CborSocket::config());
    let socket = accept_async_with_config(stream, config).await.map_err(|error| ended(&error))?;
    let mut socket = CborSocket::new(socket);
    let (known, _) = socket.receive().await?;
    Ok((socket, known))
}

async fn send(socket: &mut CborSocket, message: Bytes) -> Result<(), PeerFault> {
    timeout(SEND_TIME, socket.send_encoded(message)).await.map_err(|_| PeerFault::Silent)?
}

/// A subscription to a relay.
pub struct RelaySubscription {
    socket: CborSocket,
}

impl RelaySubscription {
    /// Subscribes to the relay at `address`, which need not tell what is known.
    pub async fn open(address: SocketAddr, known: &KnownVersions) -> Result<Self, PeerFault> {
        match timeout(CONNECT_TIME, Self::connect(address, known)).await {
            Ok(opened) => opened,
            Err(_) => Err(PeerFault::Silent),
        }
    }

    async fn connect(address: SocketAddr, known: &KnownVersions) -> Result<Self, PeerFault> {
        let stream = TcpStream::connect(address).await.map_err(|error| ended(&error))?;
        stream.set_nodelay(true).map_err(|error| ended(&error))?;
        let config = Some(CborSocket::config());
        let request = format!("ws://{address}/");
        let (socket, _) = client_async_with_config(request, stream, config)
            .await
            .map_err(|error| ended(&error))?;
        let mut socket = CborSocket::new(socket);
        socket.send(known).await?;
        Ok(Self { socket })
    }

    /// The next message; fails when the relay is silent for `patience`.
    pub async fn next(&mut self, patience: Duration) -> Result<RelayMessage, PeerFault> {
        match timeout(patience, self.socket.receive()).await {
            Ok(received) => received.map(|(message, _)| message),
            Err(_) => Err(PeerFault::Silent),
        }
    }
}
