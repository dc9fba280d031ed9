//! Backend servers as the platform's list names them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use model::{ServerId, ZoneName};

use crate::table::ServiceName;

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its identity.
    pub id: ServerId,
    /// When this life of it began, in Unix milliseconds; 0 where the list doesn't tell. Invariant:
    /// with `id` and `address` it names one life, which shares nothing with another.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Counts the entries that this life of it has written; a lower one is late.
    pub sequence: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// How much longer it stays slow after its start.
    #[serde(rename = "warmup_left")]
    pub slow_start_left: Duration,
}

impl ServerRecord {
    /// Whether two records name the same life of a server.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms && self.address == other.address
    }

    /// Whether this record was written before another of the same server and came late.
    pub fn is_older_than(&self, other: &Self) -> bool {
        match self.is_same_incarnation(other) {
            true => self.sequence < other.sequence,
            false => self.started_ms < other.started_ms,
        }
    }
}

/// One change of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// A server is there with these properties.
    Present(ServerRecord),
    /// The server with this identity is no longer listed.
    Absent(ServerId),
}
