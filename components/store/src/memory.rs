//! In-memory transactional table, for `--dev` and for test doubles of the platform.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Mutex;

use crate::table::{CommitOutcome, CommitRequest, RowCondition, ScanRequest, TableRow};

/// A transactional table in memory.
#[derive(Debug, Default)]
pub struct MemoryTable {
    inner: Mutex<TableState>,
}

#[derive(Debug, Default)]
struct TableState {
    rows: BTreeMap<Box<str>, TableRow>,
    /// Version of the last commit. Invariant: at least the version of every row.
    version: u64,
}

impl MemoryTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads one row.
    pub fn read(&self, key: &str) -> Option<TableRow> {
        self.state().rows.get(key).cloned()
    }

    /// Reads rows in key order.
    pub fn scan(&self, request: &ScanRequest) -> Vec<TableRow> {
        let from: &str =
            if request.after > request.prefix { &request.after } else { &request.prefix };
        let state = self.state();
        state
            .rows
            .range::<str, _>((Bound::Included(from), Bound::Unbounded))
            .map(|(_, row)| row)
            .filter(|row| row.key > request.after)
            .take_while(|row| row.key.starts_with(&*request.prefix))
            .take(request.limit)
            .cloned()
            .collect()
    }

    /// Runs one transaction.
    pub fn commit(&self, request: &CommitRequest) -> CommitOutcome {
        let mut state = self.state();
        let failed: Vec<Box<str>> = request
            .conditions
            .iter()
            .filter(|condition| !state.is_met(condition))
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        state.version += 1;
        let version = state.version;
        for write in &request.writes {
            match &write.value {
                Some(value) => {
                    let row = TableRow { key: write.key.clone(), version, value: value.clone() };
                    state.rows.insert(write.key.clone(), row);
                }
                None => {
                    state.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Committed(version)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, TableState> {
        // A panic while the lock is held could break the invariant, so a poisoned lock may end the
        // process.
        self.inner.lock().expect("table lock is never poisoned")
    }
}

impl TableState {
    fn is_met(&self, condition: &RowCondition) -> bool {
        self.rows.get(&condition.key).map(|row| row.version) == condition.version
    }
}
