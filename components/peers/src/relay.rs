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

use crate::wire::{CborSocket, PeerError, connection_ended, encode};

/// Time between two signs of life of a relay.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time to connect to a relay, and for a subscriber to say what it knows.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time to send a message to a subscriber, which may be gone without a sign.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages that may wait for one subscriber; a slower one is cut off and subscribes anew.
const SUBSCRIBER_QUEUE_CAPACITY: usize = 64;

/// Changes of the list that are kept for subscribers that know an earlier version. One that knows
/// less is told the whole list.
const CHANGE_HISTORY_CAPACITY: usize = 64;

/// Pause after an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a subscriber knows already: its first message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersions {
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
    #[serde(rename = "Alive")]
    KeepAlive {
        /// Milliseconds since the store last confirmed what the relay knows.
        age_ms: u64,
        /// Whether the relay's calls to the store fail.
        #[serde(rename = "is_store_away")]
        is_store_unreachable: bool,
        /// Entry VMs among which the relay divides its part of shared budgets.
        members: u32,
    },
}

/// What a relay knows, and its subscribers.
pub struct RelayHub {
    state: Mutex<HubState>,
    updates: broadcast::Sender<Bytes>,
}

struct HubState {
    config: Option<LatestMessage>,
    servers: Option<LatestMessage>,
    /// Invariant: each begins at the version at which the one before ends; the last ends at the
    /// version of `servers`.
    changes: VecDeque<EncodedChanges>,
    config_confirmed_at: Option<Instant>,
    servers_confirmed_at: Option<Instant>,
    is_store_unreachable: bool,
    members: MemberCount,
}

/// What changed in the list between two versions of the store, in its encoding.
struct EncodedChanges {
    after: u64,
    version: u64,
    message: Bytes,
}

/// The newest of one kind of news.
struct LatestMessage {
    version: u64,
    message: RelayMessage,
    /// The message in its encoding, once a subscriber needed it.
    encoded: Option<Bytes>,
}

impl LatestMessage {
    fn new(version: u64, message: RelayMessage) -> Self {
        Self { version, message, encoded: None }
    }

    fn encode(&mut self) -> Result<Bytes, PeerError> {
        if let Some(encoded) = &self.encoded {
            return Ok(encoded.clone());
        }
        let encoded = encode(&self.message)?;
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }
}

impl HubState {
    fn push_changes(&mut self, changes: EncodedChanges) {
        if self.changes.len() == CHANGE_HISTORY_CAPACITY {
            self.changes.pop_front();
        }
        self.changes.push_back(changes);
    }

    /// What a subscriber that knows a version of the list must be told; `None` when only the whole
    /// list will do.
    fn changes_after(&self, held: u64) -> Option<Vec<Bytes>> {
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
    /// A hub without subscribers; what a member took of a shared budget counts for `window`.
    pub fn new(window: Duration) -> Self {
        let state = HubState {
            config: None,
            servers: None,
            changes: VecDeque::new(),
            config_confirmed_at: None,
            servers_confirmed_at: None,
            is_store_unreachable: false,
            members: MemberCount::new(window, Instant::now()),
        };
        Self {
            state: Mutex::new(state),
            updates: broadcast::Sender::new(SUBSCRIBER_QUEUE_CAPACITY),
        }
    }

    /// Notes that the store confirmed the configuration.
    pub fn confirm_config(&self, now: Instant) {
        self.state().config_confirmed_at = Some(now);
    }

    /// Notes that the store confirmed the list of servers.
    pub fn confirm_servers(&self, now: Instant) {
        let mut state = self.state();
        state.servers_confirmed_at = Some(now);
        state.is_store_unreachable = false;
    }

    /// Notes that a call to the store for the list of servers failed.
    pub fn set_store_unreachable(&self) {
        self.state().is_store_unreachable = true;
    }

    /// Tells subscribers of a configuration.
    pub fn publish_config(&self, table: &RouteTable) -> Result<(), PeerError> {
        let mut latest = LatestMessage::new(table.version.0, RelayMessage::Config(table.clone()));
        let mut state = self.state();
        if self.updates.receiver_count() > 0 {
            self.broadcast(latest.encode()?);
        }
        state.config = Some(latest);
        Ok(())
    }

    /// Tells subscribers what changed since they were told last, or the whole list; keeps the list for
    /// later subscribers.
    pub fn publish_servers(
        &self,
        version: u64,
        records: Vec<ServerRecord>,
        changes: Option<Vec<ServerChange>>,
    ) -> Result<(), PeerError> {
        let mut latest = LatestMessage::new(version, RelayMessage::Servers { version, records });
        let mut state = self.state();
        let after = state.servers.as_ref().map(|latest| latest.version);
        match after.zip(changes) {
            Some((after, changes)) => {
                let message = encode(&RelayMessage::Changes { after, version, changes })?;
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

    /// Called under the lock, so that a new subscriber gets each message once and in order.
    fn broadcast(&self, message: Bytes) {
        // The last subscriber may have left.
        let _ = self.updates.send(message);
    }

    /// Entry VMs among which this relay divides its part of shared budgets, itself among them.
    pub fn member_count(&self, now: Instant) -> u32 {
        let mut state = self.state();
        state.members.note(self.updates.receiver_count() as u32 + 1, now);
        state.members.most(now)
    }

    /// A sign of life; `None` before the relay knows anything.
    fn keep_alive(&self, now: Instant) -> Option<RelayMessage> {
        let members = self.member_count(now);
        let state = self.state();
        let oldest_confirmed_at = state.config_confirmed_at?.min(state.servers_confirmed_at?);
        let age_ms = now.saturating_duration_since(oldest_confirmed_at).as_millis() as u64;
        Some(RelayMessage::KeepAlive {
            age_ms,
            is_store_unreachable: state.is_store_unreachable,
            members,
        })
    }

    /// What a new subscriber must be told, and what comes after it.
    fn subscribe(
        &self,
        held: &HeldVersions,
    ) -> Result<(Vec<Bytes>, broadcast::Receiver<Bytes>), PeerError> {
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
                    let Err(error) = serve_subscriber(stream, &hub).await;
                    info!(log, "relay: subscriber ended"; "subscriber" => %subscriber,
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

async fn serve_subscriber(
    stream: TcpStream,
    hub: &RelayHub,
) -> Result<std::convert::Infallible, PeerError> {
    let (mut socket, held) = timeout(CONNECT_TIMEOUT, accept_subscriber(stream))
        .await
        .map_err(|_| PeerError::TimedOut)??;
    let (missing, mut updates) = hub.subscribe(&held)?;
    for message in missing {
        send_encoded(&mut socket, message).await?;
    }
    let mut keep_alive_ticks = interval(KEEP_ALIVE_INTERVAL);
    loop {
        let message = tokio::select! {
            message = updates.recv() => message.map_err(|error| connection_ended(&error))?,
            _ = keep_alive_ticks.tick() => match hub.keep_alive(Instant::now()) {
                Some(keep_alive) => encode(&keep_alive)?,
                None => continue,
            },
        };
        send_encoded(&mut socket, message).await?;
    }
}

async fn accept_subscriber(stream: TcpStream) -> Result<(CborSocket, HeldVersions), PeerError> {
    stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
    let config = Some(CborSocket::config());
    let socket =
        accept_async_with_config(stream, config).await.map_err(|error| connection_ended(&error))?;
    let mut socket = CborSocket::new(socket);
    let (held, _) = socket.receive().await?;
    Ok((socket, held))
}

async fn send_encoded(socket: &mut CborSocket, message: Bytes) -> Result<(), PeerError> {
    timeout(SEND_TIMEOUT, socket.send_encoded(message)).await.map_err(|_| PeerError::TimedOut)?
}

/// A subscription to a relay.
pub struct RelaySubscription {
    socket: CborSocket,
}

impl RelaySubscription {
    /// Subscribes to the relay at `address`, which need not tell what is known.
    pub async fn open(address: SocketAddr, held: &HeldVersions) -> Result<Self, PeerError> {
        match timeout(CONNECT_TIMEOUT, Self::connect(address, held)).await {
            Ok(opened) => opened,
            Err(_) => Err(PeerError::TimedOut),
        }
    }

    async fn connect(address: SocketAddr, held: &HeldVersions) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(address).await.map_err(|error| connection_ended(&error))?;
        stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
        let config = Some(CborSocket::config());
        let request = format!("ws://{address}/");
        let (socket, _) = client_async_with_config(request, stream, config)
            .await
            .map_err(|error| connection_ended(&error))?;
        let mut socket = CborSocket::new(socket);
        socket.send(held).await?;
        Ok(Self { socket })
    }

    /// The next message; fails when the relay is silent for `patience`.
    pub async fn next(&mut self, silence_timeout: Duration) -> Result<RelayMessage, PeerError> {
        match timeout(silence_timeout, self.socket.receive()).await {
            Ok(received) => received.map(|(message, _)| message),
            Err(_) => Err(PeerError::TimedOut),
        }
    }
}
