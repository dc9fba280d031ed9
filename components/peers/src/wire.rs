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

/// Largest message in bytes; all records of the largest planned fleet take about 2 MB.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Why a peer connection ended.
#[derive(Debug, Display, Error)]
pub enum PeerFault {
    /// The connection broke or was closed.
    #[display("peer connection ended: {reason}")]
    Ended {
        /// What happened.
        reason: Box<str>,
    },
    /// A message was not CBOR of the expected shape.
    #[display("peer sent a malformed message: {reason}")]
    Malformed {
        /// What was wrong.
        reason: Box<str>,
    },
    /// The peer does not know the shared key.
    #[display("peer does not know the peer key")]
    WrongKey,
    /// The peer sent nothing for too long.
    #[display("peer was silent for too long")]
    Silent,
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

    /// Sends a message; returns its size in bytes.
    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> Result<u64, PeerFault> {
        let bytes = encode(message)?;
        let size = bytes.len() as u64;
        self.send_encoded(bytes).await?;
        Ok(size)
    }

    /// Sends a message that was encoded before, for many receivers of one message.
    pub(crate) async fn send_encoded(&mut self, bytes: Bytes) -> Result<(), PeerFault> {
        self.socket.send(Message::binary(bytes)).await.map_err(|error| ended(&error))
    }

    /// Receives the next message and its size in bytes. May be cancelled without losing one.
    pub(crate) async fn receive<T: DeserializeOwned>(&mut self) -> Result<(T, u64), PeerFault> {
        loop {
            let message = match self.socket.next().await {
                Some(message) => message.map_err(|error| ended(&error))?,
                None => return Err(ended(&"closed")),
            };
            match message {
                Message::Binary(bytes) => return decode(&bytes),
                Message::Close(_) => return Err(ended(&"closed")),
                Message::Text(_) => return Err(malformed(&"text message")),
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
            }
        }
    }
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Bytes, PeerFault> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|error| ended(&error))?;
    Ok(bytes.into())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, u64), PeerFault> {
    let value = ciborium::from_reader(bytes).map_err(|error| malformed(&error))?;
    Ok((value, bytes.len() as u64))
}

pub(crate) fn ended(reason: &dyn std::fmt::Display) -> PeerFault {
    PeerFault::Ended { reason: reason.to_string().into() }
}

fn malformed(reason: &dyn std::fmt::Display) -> PeerFault {
    PeerFault::Malformed { reason: reason.to_string().into() }
}
