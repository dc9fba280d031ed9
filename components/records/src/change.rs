//! Write requests from operators, and the changes that result from accepted ones.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use model::{AccountId, OperationId, RecordKey, RevisionNumber, VersionedRecord};

/// Kind of write to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WriteVerb {
    /// Creates a record that does not exist yet.
    #[display("put")]
    Put,
    /// Replaces a record that is still at the base revision.
    #[display("replace")]
    Replace,
    /// Deletes a record that is still at the base revision.
    #[display("retire")]
    Retire,
}

/// A write request from an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteRequest {
    /// Identifies the write across retries.
    pub operation: OperationId,
    /// Kind of write.
    pub verb: WriteVerb,
    /// Key of the record to write.
    pub key: RecordKey,
    /// Revision that the write is based on; `None` only for put.
    pub base: Option<RevisionNumber>,
    /// New content of the record; `None` only for retire.
    pub record: Option<VersionedRecord>,
}

impl WriteRequest {
    /// Returns a request, with a new operation ID, that creates a record.
    pub fn put(record: VersionedRecord) -> Self {
        Self {
            operation: OperationId::random(),
            verb: WriteVerb::Put,
            key: record.key.clone(),
            base: None,
            record: Some(record),
        }
    }
}

/// Effect of an accepted write on the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordChange {
    /// Creates or replaces the record with this content.
    Put(VersionedRecord),
    /// Deletes the record.
    Retire(RecordKey),
}

impl RecordChange {
    /// Returns the key of the changed record.
    pub fn key(&self) -> &RecordKey {
        match self {
            Self::Put(record) => &record.key,
            Self::Retire(key) => key,
        }
    }
}

/// One accepted write in the fleet-wide order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Position in the order. Invariant: one more than that of the previous entry.
    pub revision: RevisionNumber,
    /// Operation that the operator requested.
    pub operation: OperationId,
    /// Account of the operator key that authorized the write.
    pub actor: AccountId,
    /// Effect of the write.
    pub change: RecordChange,
}
