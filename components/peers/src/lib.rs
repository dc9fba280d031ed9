//! Connections between entry VMs: CBOR messages over WebSocket. Peers on the product's own
//! interface authenticate each other with a shared key. Relays on a hosting platform don't
//! authenticate subscribers, because only the platform's VMs can reach them.

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
