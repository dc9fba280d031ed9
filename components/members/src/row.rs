//! Rows of the shared table that store the fleet's slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use model::{AttemptId, RecordKind, RecordSpec, SchemaVersion, VmId, ZoneName};

/// Key prefix of the slot rows.
pub const SLOT_PREFIX: &str = "fleet/slot/";

/// Returns the key of a slot's row.
pub fn slot_key(slot: u32) -> String {
    format!("{SLOT_PREFIX}{slot:05}")
}

/// Content of a slot's row, written by the holder of the slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// ID of the holder.
    pub vm: VmId,
    /// ID of the holder's process run.
    #[serde(rename = "run")]
    pub run_id: AttemptId,
    /// Number of this renewal within the run.
    #[serde(rename = "beat")]
    pub renewal: u64,
    /// Address at which the holder accepts peer connections.
    pub peer_address: SocketAddr,
    /// The holder's availability zone.
    pub zone: ZoneName,
    /// Newest schema version that the holder can read, by record kind.
    #[serde(rename = "reads")]
    pub readable_schemas: BTreeMap<RecordKind, SchemaVersion>,
}

impl MemberRow {
    /// Creates the first row of a process run.
    pub fn new(vm: VmId, peer_address: SocketAddr, zone: ZoneName) -> Self {
        let kinds = [
            RecordKind::ClientAccount,
            RecordKind::Service,
            RecordKind::RoutingPolicy,
            RecordKind::OperatorKey,
        ];
        let readable_schemas = kinds.map(|kind| (kind, RecordSpec::newest_schema(kind))).into();
        Self { vm, run_id: AttemptId::random(), renewal: 0, peer_address, zone, readable_schemas }
    }
}

/// A live member.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberEntry {
    /// The slot that it holds.
    pub slot: u32,
    /// The row that it wrote.
    pub row: MemberRow,
}

/// Returns the newest schema version of a kind that every member and this program can read.
pub fn newest_common_schema(members: &[MemberEntry], kind: RecordKind) -> SchemaVersion {
    members
        .iter()
        .map(|member| member.row.readable_schemas.get(&kind).copied().unwrap_or(SchemaVersion(1)))
        .fold(RecordSpec::newest_schema(kind), Ord::min)
}
