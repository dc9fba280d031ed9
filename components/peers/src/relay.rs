//! Relays: entry VMs that read the platform's store and tell others what changed.
//!
//! Without them every change wakes a call of every entry VM. A relay makes no promise: it says how
//! old its own knowledge is, and a subscriber that finds it too old or silent reads the store
//! itself. So a wrong or slow relay costs calls, never a rule.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use observe::{Logger, info, warn};
use routes::{RouteTable, ServerChange, ServerRecord};

use crate::wire::{CborSocket, PeerFault, encode, ended};

/// Time between two signs of life of a relay.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time to connect to a relay.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Messages that may wait for one subscriber; a slower one is cut off and subscribes anew.
const WAITING_MESSAGES: usize = 64;

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    },
}

/// What a relay knows, and its subscribers.
pub struct RelayHub {
    state: Mutex<HubState>,
    news: broadcast::Sender<Bytes>,
}

#[derive(Default)]
struct HubState {
    config: Option<Bytes>,
    servers: Option<Bytes>,
    /// Version of the list that subscribers were told last.
    told_version: u64,
    config_confirmed: Option<Instant>,
    servers_confirmed: Option<Instant>,
}

impl Default for RelayHub {
    fn default() -> Self {
        Self { state: Mutex::default(), news: broadcast::Sender::new(WAITING_MESSAGES) }
    }
}

impl RelayHub {
    /// Notes that the store confirmed the configuration.
    pub fn confirm_config(&self, now: Instant) {
        self.state().config_confirmed = Some(now);
    }

    /// Notes that the store confirmed the list of servers.
    pub fn confirm_servers(&self, now: Instant) {
        self.state().servers_confirmed = Some(now);
    }

    /// Tells subscribers of a configuration.
    pub fn tell_config(&self, table: &RouteTable) -> Result<(), PeerFault> {
        let message = encode(&RelayMessage::Config(table.clone()))?;
        self.state().config = Some(message.clone());
        // Without a subscriber there is nobody to tell.
        let _ = self.news.send(message);
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
        let whole = encode(&RelayMessage::Servers { version, records })?;
        let mut state = self.state();
        let after = std::mem::replace(&mut state.told_version, version);
        let news = match changes {
            Some(changes) => encode(&RelayMessage::Changes { after, version, changes })?,
            None => whole.clone(),
        };
        state.servers = Some(whole);
        // Sent under the lock, so that a new subscriber gets each message once and in order.
        let _ = self.news.send(news);
        Ok(())
    }

    /// Age of what the relay knows; `None` before it knows anything.
    fn age(&self, now: Instant) -> Option<Duration> {
        let state = self.state();
        let oldest = state.config_confirmed?.min(state.servers_confirmed?);
        Some(now.saturating_duration_since(oldest))
    }

    /// What a new subscriber must know, and what comes after it.
    fn subscribe(&self) -> (Vec<Bytes>, broadcast::Receiver<Bytes>) {
        let state = self.state();
        let known = state.config.iter().chain(&state.servers).cloned().collect();
        (known, self.news.subscribe())
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
    let config = Some(CborSocket::config());
    let socket = accept_async_with_config(stream, config).await.map_err(|error| ended(&error))?;
    let mut socket = CborSocket::new(socket);
    let (known, mut news) = hub.subscribe();
    for message in known {
        socket.send_encoded(message).await?;
    }
    let mut beats = interval(ALIVE_INTERVAL);
    loop {
        tokio::select! {
            message = news.recv() => {
                let message = message.map_err(|error| ended(&error))?;
                socket.send_encoded(message).await?;
            }
            _ = beats.tick() => {
                if let Some(age) = hub.age(Instant::now()) {
                    let age_ms = age.as_millis() as u64;
                    socket.send(&RelayMessage::Alive { age_ms }).await?;
                }
            }
        }
    }
}

/// A subscription to a relay.
pub struct RelaySubscription {
    socket: CborSocket,
}

impl RelaySubscription {
    /// Subscribes to the relay at `address`.
    pub async fn open(address: SocketAddr) -> Result<Self, PeerFault> {
        match timeout(CONNECT_TIME, Self::connect(address)).await {
            Ok(opened) => opened,
            Err(_) => Err(PeerFault::Silent),
        }
    }

    async fn connect(address: SocketAddr) -> Result<Self, PeerFault> {
        let stream = TcpStream::connect(address).await.map_err(|error| ended(&error))?;
        stream.set_nodelay(true).map_err(|error| ended(&error))?;
        let config = Some(CborSocket::config());
        let request = format!("ws://{address}/");
        let (socket, _) = client_async_with_config(request, stream, config)
            .await
            .map_err(|error| ended(&error))?;
        Ok(Self { socket: CborSocket::new(socket) })
    }

    /// The next message; fails when the relay is silent for `patience`.
    pub async fn next(&mut self, patience: Duration) -> Result<RelayMessage, PeerFault> {
        match timeout(patience, self.socket.receive()).await {
            Ok(received) => received.map(|(message, _)| message),
            Err(_) => Err(PeerFault::Silent),
        }
    }
}
