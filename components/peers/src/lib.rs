//! Connections between entry VMs: WebSocket with CBOR messages. Peers of the product's own interface
//! authenticate each other by a shared key; relays on a hosting platform are reached only by its VMs.

mod connection;
mod handshake;
mod message;
mod relay;
mod wire;

pub use connection::{PeerEvent, PeerOutbox, accept_peers, dial_peer};
pub use handshake::PeerIdentity;
pub use message::{PeerAck, PeerHeartbeat, PeerMessage};
pub use relay::{HeldVersions, RelayHub, RelayMessage, RelaySubscription, serve_relay};
pub use wire::PeerError;
