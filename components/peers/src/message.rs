//! Messages between entry VMs.

use serde::{Deserialize, Serialize};

use model::{RevisionNumber, ServerId};
use records::{ChangeEntry, StoredRecord};

/// A message between mutually authenticated entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Heartbeat, answered by `Ack`.
    #[serde(rename = "Beat")]
    Heartbeat(PeerHeartbeat),
    /// Response to `Heartbeat` and `Changes` with the state after applying that message.
    #[serde(rename = "Echo")]
    Ack(PeerAck),
    /// Consecutive changes in order of revision.
    Changes(Vec<ChangeEntry>),
    /// Requests the changes after a revision, answered by `Changes` or `Records`.
    Fetch(RevisionNumber),
    /// All records at a revision.
    Records(RevisionNumber, Vec<StoredRecord>),
    /// Notification that a backend server is leaving.
    Leaving(ServerId),
}

/// Content of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Revision of the configuration in force at the sender.
    pub revision: RevisionNumber,
    /// Send time in microseconds of the sender's own clock, returned in the acknowledgement.
    pub stamp_us: u64,
}

/// State that acknowledges a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAck {
    /// Revision of the configuration in force at the sender.
    pub revision: RevisionNumber,
    /// Milliseconds since the sender's last read of the table started; `None` if there was none.
    pub table_age_ms: Option<u64>,
    /// `stamp_us` of the acknowledged heartbeat; `None` for other messages. The reported state
    /// counts as of that time, because the acknowledgement may have waited for a long time in the
    /// buffers of a suspended process.
    pub stamp_us: Option<u64>,
}
