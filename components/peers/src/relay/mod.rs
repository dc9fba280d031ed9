//! Relays: entry VMs that read the store of the hosting platform and send updates to other entry
//! VMs.
//!
//! Without relays, every change causes a store call by every entry VM. A relay gives no guarantee:
//! it reports the age of its state, and a subscriber reads the store itself when that state is too
//! old or the relay is silent. So a faulty or slow relay costs extra store calls, but never
//! violates a guarantee of the load balancer.

use std::time::Duration;

mod credits;
mod helpers;
mod hub;
mod messages;
mod server;
mod subscription;

pub use credits::CreditConnection;
pub use hub::{BudgetShare, RelayHub, RelayTiming};
pub use messages::{HeldVersions, RelayMessage, SubscriberMessage, SubscriberTurns};
pub use server::{HELPER_INTERVAL, serve_relay, serve_subscriber};
pub use subscription::{RelaySubscription, connect_first};

/// Time without a sent byte after which the other end counts as gone. It may have vanished without
/// closing the connection.
const SEND_STALL_TIMEOUT: Duration = Duration::from_secs(2);
