//! CBOR messages over a WebSocket.

use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::transfer::{MonitoredStream, PeerStream, TransferProgress, monitor};

/// Maximum size of a message, before compression. All records of the largest planned fleet take
/// about 2 MB.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Size from which a message is compressed.
const MIN_COMPRESSED_BYTES: usize = 1 << 10;

/// Time for which bytes are awaited even if the last one was received long ago: after a process has
/// been stopped, those that arrived meanwhile are not read yet.
const RECEIVE_GRACE: Duration = Duration::from_millis(50);

/// First bytes of a gzip header (RFC 1952).
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Why a peer connection ended.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// The connection failed or was closed.
    #[display("peer connection ended: {reason}")]
    ConnectionEnded {
        /// Cause of the end.
        reason: Box<str>,
    },
    /// A message was not CBOR or did not have the expected structure.
    #[display("peer sent a malformed message: {reason}")]
    Malformed {
        /// Description of the decoding error.
        reason: Box<str>,
    },
    /// The peer failed to prove that it knows the shared key.
    #[display("peer authentication failed: the peer key differs")]
    KeyMismatch,
    /// The peer did not open the connection in time, or accepted no byte of a message for too long.
    #[display("peer timed out")]
    TimedOut,
    /// The peer sent no byte for too long.
    #[display("peer is silent; {received_bytes} bytes received since its last message")]
    Silent {
        /// Bytes received since the last complete message.
        received_bytes: u64,
    },
}

/// A WebSocket that carries CBOR messages.
pub(crate) struct CborSocket {
    socket: WebSocketStream<MonitoredStream>,
    received: TransferProgress,
    sent: TransferProgress,
    /// Bytes received when the last message was complete.
    complete_bytes: u64,
}

impl CborSocket {
    /// Opens a WebSocket to `url` on a connected stream.
    pub(crate) async fn connect(url: &str, stream: Box<dyn PeerStream>) -> Result<Self, PeerError> {
        let (stream, received, sent) = monitor(stream);
        let (socket, _) = client_async_with_config(url, stream, Some(socket_config()))
            .await
            .map_err(|error| connection_ended(&error))?;
        Ok(Self { socket, received, sent, complete_bytes: 0 })
    }

    /// Accepts a WebSocket on a connected stream.
    pub(crate) async fn accept(stream: Box<dyn PeerStream>) -> Result<Self, PeerError> {
        let (stream, received, sent) = monitor(stream);
        let socket = accept_async_with_config(stream, Some(socket_config()))
            .await
            .map_err(|error| connection_ended(&error))?;
        Ok(Self { socket, received, sent, complete_bytes: 0 })
    }

    /// Receives the next message and its encoded size in bytes; fails if the peer sends no byte for
    /// `silence_timeout`.
    pub(crate) async fn receive_unless_silent<T: DeserializeOwned>(
        &mut self,
        silence_timeout: Duration,
    ) -> Result<(T, u64), PeerError> {
        let progress = self.received.clone();
        // The time since the last byte counts, also if this was called again since then.
        let now = Instant::now();
        let earliest = now.checked_sub(silence_timeout.saturating_sub(RECEIVE_GRACE));
        let active_since = self.last_received_at().max(earliest.unwrap_or(now));
        match progress.wait_unless_stalled(self.receive(), silence_timeout, active_since).await {
            Some(received) => received,
            None => Err(PeerError::Silent { received_bytes: self.pending_bytes() }),
        }
    }

    /// Sends an encoded message; fails if the peer accepts no byte for `stall_timeout`.
    pub(crate) async fn send_encoded_unless_stalled(
        &mut self,
        bytes: Bytes,
        stall_timeout: Duration,
    ) -> Result<(), PeerError> {
        let progress = self.sent.clone();
        let sending = self.send_encoded(bytes);
        let sent = progress.wait_unless_stalled(sending, stall_timeout, Instant::now()).await;
        sent.unwrap_or(Err(PeerError::TimedOut))
    }

    /// Returns the time at which the last byte was received.
    pub(crate) fn last_received_at(&self) -> Instant {
        self.received.last_transfer_at()
    }

    /// Returns the bytes received since the last complete message.
    fn pending_bytes(&self) -> u64 {
        self.received.bytes() - self.complete_bytes
    }

    /// Sends a message and returns its encoded size in bytes.
    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> Result<u64, PeerError> {
        let bytes = encode(message)?;
        let size = bytes.len() as u64;
        self.send_encoded(bytes).await?;
        Ok(size)
    }

    async fn send_encoded(&mut self, bytes: Bytes) -> Result<(), PeerError> {
        self.socket.send(Message::binary(bytes)).await.map_err(|error| connection_ended(&error))
    }

    /// Receives the next message and its encoded size in bytes. Cancel-safe: no message is lost.
    pub(crate) async fn receive<T: DeserializeOwned>(&mut self) -> Result<(T, u64), PeerError> {
        loop {
            let message = match self.socket.next().await {
                Some(message) => message.map_err(|error| connection_ended(&error))?,
                None => return Err(connection_ended(&"closed")),
            };
            match message {
                Message::Binary(bytes) => {
                    self.complete_bytes = self.received.bytes();
                    return decode(&bytes);
                }
                Message::Close(_) => return Err(connection_ended(&"closed")),
                Message::Text(_) => return Err(malformed_message(&"unexpected text message")),
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
            }
        }
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Bytes, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|error| connection_ended(&error))?;
    Ok(bytes.into())
}

/// An encoded message for several receivers, of which some may not accept compressed messages.
#[derive(Debug, Clone)]
pub(crate) struct EncodedMessage {
    plain: Bytes,
    /// `None` for a message that is too small to gain from compression.
    compressed: Option<Bytes>,
}

impl EncodedMessage {
    pub(crate) fn new<T: Serialize>(message: &T) -> Result<Self, PeerError> {
        let plain = encode(message)?;
        let compressed = match plain.len() >= MIN_COMPRESSED_BYTES {
            true => Some(compress(&plain).map_err(|error| connection_ended(&error))?),
            false => None,
        };
        Ok(Self { plain, compressed })
    }

    /// Returns the bytes to send to a receiver.
    pub(crate) fn bytes(&self, accepts_compressed: bool) -> Bytes {
        match &self.compressed {
            Some(compressed) if accepts_compressed => compressed.clone(),
            _ => self.plain.clone(),
        }
    }
}

fn compress(bytes: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    Ok(encoder.finish()?.into())
}

/// Decodes a message that may be compressed: no CBOR item starts with the bytes of a gzip header.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, u64), PeerError> {
    let size = bytes.len() as u64;
    let value = match bytes.starts_with(&GZIP_MAGIC) {
        true => {
            let mut plain = Vec::new();
            let mut decoder = GzDecoder::new(bytes).take(MAX_MESSAGE_BYTES as u64);
            decoder.read_to_end(&mut plain).map_err(|error| malformed_message(&error))?;
            ciborium::from_reader(plain.as_slice())
        }
        false => ciborium::from_reader(bytes),
    };
    Ok((value.map_err(|error| malformed_message(&error))?, size))
}

pub(crate) fn connection_ended(reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::ConnectionEnded { reason: reason.to_string().into() }
}

fn malformed_message(reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::Malformed { reason: reason.to_string().into() }
}
