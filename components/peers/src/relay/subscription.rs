//! A connection to a relay.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use quarantine::CrashReport;

use crate::relay::SEND_STALL_TIMEOUT;
use crate::relay::messages::{HeldVersions, RelayMessage, SubscriberMessage};
use crate::transfer::PeerStream;
use crate::wire::{CborSocket, EncodedMessage, PeerError, connection_ended};

/// Part of the timeout of a subscription that may pass until the connection is open.
const CONNECT_TIMEOUT_RATIO: f64 = 0.25;

/// Pause until the next relay is tried in addition, as a part of the timeout of a subscription. A
/// relay that runs accepts a connection within a few milliseconds.
const NEXT_RELAY_RATIO: f64 = 0.05;

/// Factor of that pause after each round.
const NEXT_RELAY_BACKOFF: f64 = 1.5;

/// Longest such pause, as a part of the timeout of a subscription.
const MAX_NEXT_RELAY_RATIO: f64 = 0.5;

/// A subscription to a relay.
pub struct RelaySubscription {
    socket: CborSocket,
}

/// Connects to the first of several relays that accepts a connection, and tries them in turn until
/// one does. The next one is tried in addition as soon as the one before is late.
///
/// Load pattern: all VMs start at the same moment, the relays among the last ones.
pub async fn connect_first(
    relays: &[SocketAddr],
    handshake_timeout: Duration,
) -> (SocketAddr, TcpStream) {
    let mut connecting = FuturesUnordered::new();
    let mut pause = handshake_timeout.mul_f64(NEXT_RELAY_RATIO);
    loop {
        for relay in relays {
            connecting.push(async move { (*relay, connect(*relay, handshake_timeout).await) });
            let next_at = Instant::now() + pause;
            while let Ok(Some((relay, connected))) = timeout_at(next_at, connecting.next()).await {
                if let Ok(stream) = connected {
                    return (relay, stream);
                }
            }
            sleep_until(next_at).await;
        }
        pause =
            pause.mul_f64(NEXT_RELAY_BACKOFF).min(handshake_timeout.mul_f64(MAX_NEXT_RELAY_RATIO));
    }
}

/// Opens a connection to a relay. Even a busy relay accepts one at once, since its kernel does. One
/// that is down must not delay the subscription to the next.
async fn connect(address: SocketAddr, handshake_timeout: Duration) -> Result<TcpStream, PeerError> {
    let connect_timeout = handshake_timeout.mul_f64(CONNECT_TIMEOUT_RATIO);
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| PeerError::TimedOut)?
        .map_err(|error| connection_ended(&error))?;
    stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
    Ok(stream)
}

impl RelaySubscription {
    /// Subscribes to the relay at `address`, which sends only what is newer than `held`; fails if
    /// that takes longer than `handshake_timeout`.
    pub async fn open(
        address: SocketAddr,
        held: &HeldVersions,
        handshake_timeout: Duration,
    ) -> Result<Self, PeerError> {
        let opening = async {
            let stream = connect(address, handshake_timeout).await?;
            Self::start(stream, &address.to_string(), held).await
        };
        timeout(handshake_timeout, opening).await.map_err(|_| PeerError::TimedOut)?
    }

    /// Subscribes on a connection to the relay at `address`; fails if that takes longer than
    /// `handshake_timeout`.
    pub async fn open_on(
        stream: TcpStream,
        address: SocketAddr,
        held: &HeldVersions,
        handshake_timeout: Duration,
    ) -> Result<Self, PeerError> {
        let host = address.to_string();
        timeout(handshake_timeout, Self::start(stream, &host, held))
            .await
            .map_err(|_| PeerError::TimedOut)?
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
