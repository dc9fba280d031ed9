//! CBOR messages over a WebSocket.

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Maximum size of a message. All records of the largest planned fleet take about 2 MB.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

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
    /// The peer sent or accepted no message in time.
    #[display("peer timed out")]
    TimedOut,
}

/// A WebSocket that carries CBOR messages.
pub(crate) struct CborSocket {
    socket: WebSocketStream<TcpStream>,
}

impl CborSocket {
    pub(crate) fn new(socket: WebSocketStream<TcpStream>) -> Self {
        Self { socket }
    }

    pub(crate) fn config() -> WebSocketConfig {
        WebSocketConfig::default()
            .max_message_size(Some(MAX_MESSAGE_BYTES))
            .max_frame_size(Some(MAX_MESSAGE_BYTES))
    }

    /// Sends a message and returns its encoded size in bytes.
    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> Result<u64, PeerError> {
        let bytes = encode(message)?;
        let size = bytes.len() as u64;
        self.send_encoded(bytes).await?;
        Ok(size)
    }

    /// Sends a message that is already encoded, so that one encoding serves many receivers.
    pub(crate) async fn send_encoded(&mut self, bytes: Bytes) -> Result<(), PeerError> {
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
                Message::Binary(bytes) => return decode(&bytes),
                Message::Close(_) => return Err(connection_ended(&"closed")),
                Message::Text(_) => return Err(malformed_message(&"unexpected text message")),
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
            }
        }
    }
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Bytes, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|error| connection_ended(&error))?;
    Ok(bytes.into())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, u64), PeerError> {
    let value = ciborium::from_reader(bytes).map_err(|error| malformed_message(&error))?;
    Ok((value, bytes.len() as u64))
}

pub(crate) fn connection_ended(reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::ConnectionEnded { reason: reason.to_string().into() }
}

fn malformed_message(reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::Malformed { reason: reason.to_string().into() }
}
