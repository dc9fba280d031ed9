//! Backend servers as entries of the platform's list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use model::{ServerId, ZoneName};

use crate::table::ServiceName;

/// Entry of a backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Identity, which a restarted server may keep.
    pub id: ServerId,
    /// Start of this incarnation of the server, in Unix milliseconds; 0 if the list has no start
    /// time. Invariant: `id`, `address` and this time together identify one incarnation, which
    /// shares no state with any other.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// Sequence number of the entry within this incarnation. A single entry with a lower number
    /// than the one held has arrived late.
    pub sequence: u64,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Number of requests that the server can run concurrently.
    pub slots: u32,
    /// Whether the server is draining and accepts no new requests.
    pub is_leaving: bool,
    /// Remaining time of the slow start, during which the server runs requests more slowly.
    #[serde(rename = "warmup_left")]
    pub slow_start_remaining: Duration,
}

impl ServerRecord {
    /// Whether two records belong to the same incarnation of a server.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_at_ms == other.started_at_ms
            && self.address == other.address
    }

    /// Whether this record of a server was written before `other` and arrived late.
    pub fn is_older_than(&self, other: &Self) -> bool {
        match self.is_same_incarnation(other) {
            true => self.sequence < other.sequence,
            false => self.started_at_ms < other.started_at_ms,
        }
    }
}

/// A change of one entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// A server is listed with these properties.
    Present(ServerRecord),
    /// The server with this identity is no longer listed.
    Absent(ServerId),
}
