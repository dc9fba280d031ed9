//! Connections between entry VMs: WebSocket with CBOR messages. Peers of the product's own interface
//! authenticate each other by a shared key; relays on a hosting platform are reached only by its VMs.

mod handshake;
mod link;
mod message;
mod relay;
mod wire;

pub use handshake::PeerIdentity;
pub use link::{PeerEvent, PeerOutbox, accept_peers, dial_peer};
pub use message::{PeerBeat, PeerEcho, PeerMessage};
pub use relay::{KnownVersions, RelayHub, RelayMessage, RelaySubscription, serve_relay};
pub use wire::PeerFault;
