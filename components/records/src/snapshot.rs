//! The whole configuration at one revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use model::{AccountId, RecordKey, RecordKind, RevisionNumber, SchemaVersion, VersionedRecord};

use crate::change::{ChangeEntry, RecordChange};

/// A record with the revision that last wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Revision of the last write to this record.
    pub revision: RevisionNumber,
    /// The record.
    pub record: VersionedRecord,
}

/// All records at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConfigSnapshot {
    /// Revision of the last applied change; 0 before the first.
    revision: RevisionNumber,
    /// Invariant: every record's revision is at most the snapshot's.
    records: BTreeMap<RecordKey, StoredRecord>,
}

/// What came of applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The snapshot is now at the change's revision.
    Applied,
    /// The snapshot already held the change.
    AlreadyApplied,
    /// Changes between are missing; nothing was applied.
    Gap,
}

impl ConfigSnapshot {
    /// A snapshot of these records.
    pub fn new(revision: RevisionNumber, records: Vec<StoredRecord>) -> Self {
        let records =
            records.into_iter().map(|stored| (stored.record.key.clone(), stored)).collect();
        Self { revision, records }
    }

    /// Revision of the last applied change.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// All records in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = &StoredRecord> {
        self.records.values()
    }

    /// One record.
    pub fn find(&self, key: &RecordKey) -> Option<&StoredRecord> {
        self.records.get(key)
    }

    /// All records of an account.
    pub fn account_records(&self, account: &AccountId) -> impl Iterator<Item = &StoredRecord> {
        self.records.values().filter(move |stored| stored.record.key.account == *account)
    }

    /// The records that an account's traffic uses at a schema version: for each kind and name
    /// the highest version that is not above it.
    pub fn effective_records(
        &self,
        account: &AccountId,
        schema: SchemaVersion,
    ) -> Vec<&StoredRecord> {
        let mut effective: Vec<&StoredRecord> = Vec::new();
        for stored in self.account_records(account).filter(|s| s.record.key.schema <= schema) {
            // Keys are ordered by schema last, so a higher version follows the lower one.
            match effective.last_mut() {
                Some(last) if is_same_except_schema(&last.record.key, &stored.record.key) => {
                    *last = stored;
                }
                _ => effective.push(stored),
            }
        }
        effective
    }

    /// Applies the next change; a change already held or out of order alters nothing.
    pub fn apply(&mut self, entry: &ChangeEntry) -> ApplyOutcome {
        if entry.revision <= self.revision {
            return ApplyOutcome::AlreadyApplied;
        }
        if entry.revision != self.revision.next() {
            return ApplyOutcome::Gap;
        }
        self.revision = entry.revision;
        match &entry.change {
            RecordChange::Put(record) => {
                let stored = StoredRecord { revision: entry.revision, record: record.clone() };
                self.records.insert(record.key.clone(), stored);
            }
            RecordChange::Retire(key) => {
                self.records.remove(key);
            }
        }
        ApplyOutcome::Applied
    }

    /// All accounts that have a client account record.
    pub fn accounts(&self) -> Vec<AccountId> {
        self.records
            .keys()
            .filter(|key| key.kind == RecordKind::ClientAccount)
            .map(|key| key.account.clone())
            .collect()
    }
}

fn is_same_except_schema(left: &RecordKey, right: &RecordKey) -> bool {
    left.account == right.account && left.kind == right.kind && left.name == right.name
}
