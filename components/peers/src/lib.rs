//! Connections between entry VMs: CBOR messages over WebSocket.
//!
//! Peers exchange changes of mustardrail's own records and authenticate each other with a shared
//! key. Relays send the configuration of a hosting platform to subscribers, and don't authenticate
//! them, because only the platform's VMs can reach a relay.

mod connection;
mod delay;
mod handshake;
mod message;
mod relay;
mod transfer;
mod wire;

pub use connection::{PeerEvent, PeerOutbox, accept_peers, dial_peer};
pub use delay::MessageDelay;
pub use handshake::PeerIdentity;
pub use message::{PeerAck, PeerHeartbeat, PeerMessage};
pub use relay::{
    BudgetShare, CreditConnection, HELPER_INTERVAL, HeldVersions, RelayHub, RelayMessage,
    RelaySubscription, RelayTiming, SubscriberMessage, SubscriberTurns, connect_first, serve_relay,
    serve_subscriber,
};
pub use transfer::PeerStream;
pub use wire::PeerError;
