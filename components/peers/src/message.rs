//! Messages between entry VMs.

use serde::{Deserialize, Serialize};

use model::{RevisionNumber, ServerId};
use records::{ChangeEntry, StoredRecord};

/// A message between entry VMs that have authenticated each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Heartbeat; answered by `Echo`.
    #[serde(rename = "Beat")]
    Heartbeat(PeerHeartbeat),
    /// Answer to `Beat` and `Changes`: the state after taking the message in.
    #[serde(rename = "Echo")]
    Ack(PeerAck),
    /// Changes in order of revision, without gaps.
    Changes(Vec<ChangeEntry>),
    /// Asks for the changes after a revision; answered by `Changes` or `Records`.
    Fetch(RevisionNumber),
    /// All records at a revision.
    Records(RevisionNumber, Vec<StoredRecord>),
    /// A backend server is leaving.
    Leaving(ServerId),
}

/// What a heartbeat tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Revision of the configuration in force at the sender.
    pub revision: RevisionNumber,
    /// When it was sent, in microseconds of the sender's own clock; comes back in the echo.
    pub stamp_us: u64,
}

/// What an echo tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAck {
    /// Revision of the configuration in force at the sender.
    pub revision: RevisionNumber,
    /// Milliseconds since the sender's last read of the table began; `None` if never.
    pub table_age_ms: Option<u64>,
    /// Stamp of the heartbeat that is answered. What an echo tells counts as of that time: an echo
    /// may have waited long in the buffers of a process that was frozen.
    pub stamp_us: Option<u64>,
}
