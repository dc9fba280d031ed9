//! Messages between a relay and its subscribers, and between relays.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use limits::{CreditGrant, CreditRequest};
use model::{StoreVersion, ZoneName};
use quarantine::CrashReport;
use routes::{RouteTable, ServerChange, ServerRecord};

/// Versions that a subscriber already holds; its first message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersions {
    /// Version of the configuration.
    pub config: Option<u64>,
    /// Store version of the server list.
    pub servers: Option<StoreVersion>,
    /// Whether the subscriber accepts compressed messages; older versions of the daemon don't.
    #[serde(default)]
    pub accepts_compressed: bool,
    /// Whether the subscriber exchanges crash reports; older versions of the daemon don't.
    #[serde(default)]
    pub exchanges_crash_reports: bool,
    /// Whether the subscriber is another relay, which only exchanges crash reports.
    #[serde(default)]
    pub is_relay: bool,
    /// Format of configurations that the subscriber uses; 0 from an older version of the daemon,
    /// which understands neither evacuations nor credits.
    #[serde(default)]
    pub format: u32,
    /// Store version of the evacuated zones.
    #[serde(default)]
    pub evacuations: Option<StoreVersion>,
}

impl HeldVersions {
    /// Whether the sender understands messages about credits.
    pub(super) fn understands_credits(&self) -> bool {
        self.format > 0
    }
}

/// A message from a subscriber to a relay that exchanges crash reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// Crash reports, of which the relay may hold some already.
    CrashReports(Vec<CrashReport>),
    /// Requests for credits, one for each account.
    CreditRequests(Vec<CreditRequest>),
    /// Responses of another relay to credit requests.
    CreditGrants(Vec<CreditGrant>),
    /// Which VMs reach backend servers, as far as the sender knows: itself, or subscribers of another
    /// relay.
    Helpers {
        /// Their caller addresses.
        callers: Vec<SocketAddr>,
        /// Whether the sender reaches none and needs other VMs.
        needs_helpers: bool,
    },
}

/// A message from a relay to a subscriber.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// The newest configuration.
    Config(RouteTable),
    /// The full list of servers at a store version.
    Servers {
        /// The store version.
        version: StoreVersion,
        /// The servers.
        records: Vec<ServerRecord>,
    },
    /// Changes of the list between two store versions.
    Changes {
        /// Store version before the changes.
        after: StoreVersion,
        /// Store version after the changes.
        version: StoreVersion,
        /// The changes in the order of their occurrence.
        changes: Vec<ServerChange>,
    },
    /// Availability zones that are evacuated at a store version. Not sent to older versions of the
    /// daemon.
    Evacuations {
        /// The store version.
        version: StoreVersion,
        /// The zones.
        zones: Vec<ZoneName>,
    },
    /// Responses to credit requests. Not sent to older versions of the daemon. Between relays, an
    /// empty list says that the sender lends and borrows credits.
    CreditGrants(Vec<CreditGrant>),
    /// Requests for credits to another relay.
    CreditRequests(Vec<CreditRequest>),
    /// Crash reports, of which the subscriber may hold some already. Between relays, an empty list
    /// is the keep-alive message.
    CrashReports(Vec<CrashReport>),
    /// Caller addresses of some VMs that reach backend servers: for a subscriber that reaches none,
    /// and for other relays.
    Helpers(Vec<SocketAddr>),
    /// Keep-alive message.
    #[serde(rename = "Alive")]
    KeepAlive {
        /// Milliseconds since the store last confirmed the relay's state.
        age_ms: u64,
        /// Whether the relay's calls to the store for the list of servers fail.
        #[serde(rename = "is_store_away")]
        is_store_unreachable: bool,
        /// Number of equal shares into which the relay's part of a fleet-wide budget is divided, of
        /// which the subscriber has one. It is higher than the number of subscribers while shares
        /// of former subscribers still count.
        members: u32,
        /// Number of equal parts into which a fleet-wide budget is divided, of which the relay has
        /// one; 0 from an older version of the daemon.
        #[serde(default)]
        relays: u32,
        /// Turns of the subscriber; `None` shortly after it subscribed, while other subscribers may
        /// not know its turn yet, and from an older version of the daemon.
        #[serde(default)]
        turns: Option<SubscriberTurns>,
        /// Era of the store in the relay's server list.
        #[serde(default)]
        era: u64,
        /// Milliseconds on the relay's steady clock; `None` from an older version of the daemon.
        #[serde(default)]
        clock_ms: Option<u64>,
        /// Format of the relay's configuration; 0 from an older version of the daemon.
        #[serde(default)]
        format: u32,
    },
}

/// Turns in which a relay's subscribers and the relay itself use what only one of them may use at a
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberTurns {
    /// Turn of the receiver in each round. Invariant: less than `count`.
    pub index: u32,
    /// Number of turns in a round.
    pub count: u32,
    /// Number of equal parts into which what is used in turns is divided, of which the relay has
    /// one; 0 from an older version of the daemon.
    #[serde(default)]
    pub relays: u32,
    /// Milliseconds on the relay's steady clock.
    pub clock_ms: u64,
}
