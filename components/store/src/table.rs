//! Data types of the platform's transactional table.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::http::StoreError;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row. Rows are scanned in byte order of their keys.
    pub key: Box<str>,
    /// Version that the table assigned to the last write. Invariant: it increases with every write.
    pub version: u64,
    /// The content.
    pub value: Value,
}

/// A condition on a row that must be met for a commit to take effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: Box<str>,
    /// Version that the row must have; `None` if the row must not exist.
    pub version: Option<u64>,
}

impl RowCondition {
    /// Requires that the row does not exist.
    pub fn absent(key: &str) -> Self {
        Self { key: key.into(), version: None }
    }

    /// Requires that the row has this version.
    pub fn at_version(key: &str, version: u64) -> Self {
        Self { key: key.into(), version: Some(version) }
    }
}

/// A write to one row in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: Box<str>,
    /// The new content; `None` deletes the row.
    pub value: Option<Value>,
}

impl RowWrite {
    /// Creates or replaces a row.
    pub fn put(key: &str, value: Value) -> Self {
        Self { key: key.into(), value: Some(value) }
    }

    /// Deletes a row.
    pub fn delete(key: &str) -> Self {
        Self { key: key.into(), value: None }
    }
}

/// A transaction: if all conditions are met, all writes take effect, otherwise none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Conditions that must all be met.
    pub conditions: Vec<RowCondition>,
    /// Writes to apply.
    pub writes: Vec<RowWrite>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// All writes took effect, at this version.
    Committed(u64),
    /// Nothing was written. The conditions on the rows with these keys were not met.
    Conflict(Vec<Box<str>>),
    /// The response is missing or unusable. The transaction may have taken effect, or may still do
    /// so.
    Unknown(StoreError),
}

/// A scan of rows in key order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys to read.
    pub prefix: Box<str>,
    /// Exclusive lower bound of the keys to read.
    pub after: Box<str>,
    /// Maximum number of rows to return.
    pub limit: usize,
}
