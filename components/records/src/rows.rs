//! Layout of the records' rows in the table that all entry VMs share.
//!
//! `config/revision` holds the counter that every accepted write increments by one, so that all
//! writes have one total order. In the same transaction, each write also updates its record row and
//! adds a history row, a change row from which entry VMs catch up, and an operation row from which
//! the result of the write is read if the response was lost.

use serde::{Deserialize, Serialize};
use serde_json::json;

use model::{AccountId, OperationId, RecordKey, RevisionNumber};
use store::{CommitRequest, RowCondition, RowWrite, TableRow};

use crate::change::{ChangeEntry, RecordChange};
use crate::snapshot::StoredRecord;

/// Key of the row that holds the newest revision.
pub const REVISION_KEY: &str = "config/revision";

/// Key prefix of the record rows, which hold the current content of each record.
pub const RECORD_PREFIX: &str = "config/record/";

/// Key prefix of the change rows, which sort by revision.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Number of change rows kept for entry VMs that catch up. A VM that is further behind loads all
/// records.
const RETAINED_CHANGES: u64 = 10_000;

/// Content of an operation row: the result of an accepted write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperationRow {
    /// Revision assigned to the write.
    pub revision: RevisionNumber,
    /// Key of the record that was written.
    pub key: RecordKey,
}

/// Returns the key of a change row.
pub fn change_key(revision: RevisionNumber) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// Returns the key of an operation row.
pub fn operation_key(account: &AccountId, operation: &OperationId) -> String {
    format!("config/operation/{account}/{operation}")
}

/// Returns the key prefix of a record's history rows.
pub fn history_prefix(key: &RecordKey) -> String {
    format!("config/history/{key}/")
}

/// Returns the transaction that commits an admitted change. `revision_row_version` is the version
/// of the revision row that the admission was based on; `None` if that row does not exist yet.
pub fn build_commit(entry: &ChangeEntry, revision_row_version: Option<u64>) -> CommitRequest {
    let operation_row_key = operation_key(&entry.actor, &entry.operation);
    let key = entry.change.key();
    let record_key = format!("{RECORD_PREFIX}{key}");
    let history_key = format!("{}{:020}", history_prefix(key), entry.revision.0);
    let operation_row = OperationRow { revision: entry.revision, key: key.clone() };
    let record_write = match &entry.change {
        RecordChange::Put(record) => {
            RowWrite::put(&record_key, json!({ "revision": entry.revision, "record": record }))
        }
        RecordChange::Retire(_) => RowWrite::delete(&record_key),
    };
    let mut writes = vec![
        RowWrite::put(REVISION_KEY, json!({ "revision": entry.revision })),
        record_write,
        RowWrite::put(&history_key, json!(entry)),
        RowWrite::put(&change_key(entry.revision), json!(entry)),
        RowWrite::put(&operation_row_key, json!(operation_row)),
    ];
    if let Some(expired) = entry.revision.0.checked_sub(RETAINED_CHANGES) {
        writes.push(RowWrite::delete(&change_key(RevisionNumber(expired))));
    }
    let revision_condition =
        RowCondition { key: REVISION_KEY.into(), version: revision_row_version };
    CommitRequest {
        conditions: vec![revision_condition, RowCondition::absent(&operation_row_key)],
        writes,
    }
}

/// Decodes the revision row; returns 0 if it does not exist yet or holds no revision.
pub fn decode_revision(row: Option<&TableRow>) -> RevisionNumber {
    row.and_then(|row| row.value["revision"].as_u64())
        .map_or_else(RevisionNumber::default, Into::into)
}

/// Decodes a change row; returns `None` if its content is not a change.
pub fn decode_change(row: &TableRow) -> Option<ChangeEntry> {
    serde_json::from_value(row.value.clone()).ok()
}

/// Decodes a record row; returns `None` if its content is not a record.
pub fn decode_record(row: &TableRow) -> Option<StoredRecord> {
    serde_json::from_value(row.value.clone()).ok()
}

/// Decodes an operation row; returns `None` if its content is not an operation.
pub fn decode_operation(row: &TableRow) -> Option<OperationRow> {
    serde_json::from_value(row.value.clone()).ok()
}
