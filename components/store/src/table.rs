//! Messages of the platform's transactional table.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::http::StoreError;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key; rows are scanned in the byte order of their keys.
    pub key: Box<str>,
    /// Version that the table gave to the last write. Invariant: it grows with every write.
    pub version: u64,
    /// The content.
    pub value: Value,
}

/// What must hold of a row for a commit to take effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: Box<str>,
    /// The row's version; `None` for a row that must not exist.
    pub version: Option<u64>,
}

impl RowCondition {
    /// The row must not exist.
    pub fn absent(key: &str) -> Self {
        Self { key: key.into(), version: None }
    }

    /// The row must have this version.
    pub fn at_version(key: &str, version: u64) -> Self {
        Self { key: key.into(), version: Some(version) }
    }
}

/// A write of a commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: Box<str>,
    /// The new content; `None` deletes the row.
    pub value: Option<Value>,
}

impl RowWrite {
    /// Writes a row.
    pub fn put(key: &str, value: Value) -> Self {
        Self { key: key.into(), value: Some(value) }
    }

    /// Deletes a row.
    pub fn delete(key: &str) -> Self {
        Self { key: key.into(), value: None }
    }
}

/// One transaction: all writes take effect if all conditions hold, else none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What is written.
    pub writes: Vec<RowWrite>,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// All writes took effect, with this version.
    Committed(u64),
    /// Nothing was written; these rows failed their condition.
    Conflict(Vec<Box<str>>),
    /// Nobody here knows whether it took effect, or still will.
    Unknown(StoreError),
}

/// A scan in key order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: Box<str>,
    /// Only keys after this one.
    pub after: Box<str>,
    /// Most rows in one answer.
    pub limit: usize,
}
