//! Connections between entry VMs: WebSocket with CBOR messages, authenticated by a shared key.

mod handshake;
mod link;
mod message;
mod wire;

pub use handshake::PeerIdentity;
pub use link::{PeerEvent, PeerOutbox, accept_peers, dial_peer};
pub use message::{PeerBeat, PeerEcho, PeerMessage};
pub use wire::PeerFault;
