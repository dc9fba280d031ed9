//! Writes that operators ask for, and the changes that come of accepted ones.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use model::{AccountId, OperationId, RecordKey, RevisionNumber, VersionedRecord};

/// What an operator wants done to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WriteVerb {
    /// Creates a record that does not exist.
    #[display("put")]
    Put,
    /// Writes a record over the revision that the operator saw.
    #[display("replace")]
    Replace,
    /// Removes the record at the revision that the operator saw.
    #[display("retire")]
    Retire,
}

/// A write as an operator sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteRequest {
    /// Identifies this write however often it is sent.
    pub operation: OperationId,
    /// What to do.
    pub verb: WriteVerb,
    /// The record to do it to.
    pub key: RecordKey,
    /// The revision that the operator saw; `None` only for put.
    pub base: Option<RevisionNumber>,
    /// The new record; `None` only for retire.
    pub record: Option<VersionedRecord>,
}

impl WriteRequest {
    /// A new operation that creates a record.
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

/// What an accepted write does to the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordChange {
    /// The record exists with this content.
    Put(VersionedRecord),
    /// The record no longer exists.
    Retire(RecordKey),
}

impl RecordChange {
    /// The record that changes.
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
    /// Position in the order. Invariant: one more than that of the entry before.
    pub revision: RevisionNumber,
    /// The operator's write.
    pub operation: OperationId,
    /// The account whose key made the write.
    pub actor: AccountId,
    /// What changed.
    pub change: RecordChange,
}
