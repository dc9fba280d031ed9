//! A connection to a relay.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use quarantine::CrashReport;

use crate::relay::SEND_STALL_TIMEOUT;
use crate::relay::messages::{HeldVersions, RelayMessage, SubscriberMessage};
use crate::transfer::PeerStream;
use crate::wire::{CborSocket, EncodedMessage, PeerError, connection_ended};

/// Part of the timeout of a subscription that may pass until the connection is open.
const CONNECT_TIMEOUT_RATIO: f64 = 0.25;

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
