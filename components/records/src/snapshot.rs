//! Snapshot of the complete configuration at one revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use model::{AccountId, RecordKey, RecordKind, RevisionNumber, SchemaVersion, VersionedRecord};

use crate::change::{ChangeEntry, RecordChange};

/// A record with the revision of its last write.
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
    /// Invariant: no record has a higher revision than the snapshot.
    records: BTreeMap<RecordKey, StoredRecord>,
}

/// Outcome of applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The snapshot is now at the change's revision.
    Applied,
    /// The snapshot already included the change.
    AlreadyApplied,
    /// Changes before this one are missing; nothing was applied.
    Gap,
}

impl ConfigSnapshot {
    /// Creates a snapshot from records.
    pub fn new(revision: RevisionNumber, records: Vec<StoredRecord>) -> Self {
        let records =
            records.into_iter().map(|stored| (stored.record.key.clone(), stored)).collect();
        Self { revision, records }
    }

    /// Returns the revision of the last applied change.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns all records, ordered by key.
    pub fn records(&self) -> impl Iterator<Item = &StoredRecord> {
        self.records.values()
    }

    /// Returns the record with this key.
    pub fn find_record(&self, key: &RecordKey) -> Option<&StoredRecord> {
        self.records.get(key)
    }

    /// Returns all records of an account, ordered by key.
    pub fn account_records(&self, account: &AccountId) -> impl Iterator<Item = &StoredRecord> {
        self.records.values().filter(move |stored| stored.record.key.account == *account)
    }

    /// Returns the records that apply to an account's traffic at a schema version: for each kind
    /// and name, the one with the highest schema version up to that version.
    pub fn effective_records(
        &self,
        account: &AccountId,
        schema: SchemaVersion,
    ) -> Vec<&StoredRecord> {
        let mut effective: Vec<&StoredRecord> = Vec::new();
        for stored in
            self.account_records(account).filter(|stored| stored.record.key.schema <= schema)
        {
            // Keys sort by schema version last, so a higher version directly follows a lower one.
            match effective.last_mut() {
                Some(last) if is_same_except_schema(&last.record.key, &stored.record.key) => {
                    *last = stored;
                }
                _ => effective.push(stored),
            }
        }
        effective
    }

    /// Applies the next change. A change that was already applied or is out of order has no effect.
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

    /// Returns all accounts that have a client account record.
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
