//! Reads the configuration changes in the platform's table that are newer than a given revision.

use model::RevisionNumber;
use records::{
    CHANGE_PREFIX, ChangeEntry, ConfigSnapshot, RECORD_PREFIX, REVISION_KEY, change_key,
    decode_change, decode_record, decode_revision,
};
use store::{ScanRequest, StoreError, TableClient};

/// Maximum number of change rows in one scan response.
const CHANGES_PER_PAGE: usize = 200;

/// Number of missing changes above which loading all records is cheaper than applying each change.
const MAX_REPLAYED_CHANGES: u64 = 1_000;

/// Configuration changes in the table that a snapshot is missing.
#[derive(Debug)]
pub(crate) struct TableUpdate {
    /// Revision of the table as read: the newest one when the read started, or a later one.
    pub(crate) revision: RevisionNumber,
    /// Version of the revision row; `None` if nothing has been written yet.
    pub(crate) revision_row_version: Option<u64>,
    /// Changes or records that bring a snapshot to `revision` or later.
    pub(crate) content: UpdateContent,
}

/// Form in which a table update contains the changes.
#[derive(Debug)]
pub(crate) enum UpdateContent {
    /// Single changes in order of revision; empty if the snapshot is up to date.
    Changes(Vec<ChangeEntry>),
    /// All records, with the changes applied.
    Snapshot(ConfigSnapshot),
}

impl TableUpdate {
    /// Brings a snapshot up to date. Never replaces newer content with older.
    pub(crate) fn apply_to(self, snapshot: &mut ConfigSnapshot) {
        match self.content {
            UpdateContent::Changes(entries) => {
                for entry in &entries {
                    snapshot.apply(entry);
                }
            }
            UpdateContent::Snapshot(loaded) if loaded.revision() > snapshot.revision() => {
                *snapshot = loaded;
            }
            UpdateContent::Snapshot(_) => {}
        }
    }
}

/// Reads the changes after `known_revision`, or all records if too many changes are missing or some
/// are no longer stored.
pub(crate) async fn read_table_update(
    table: &TableClient,
    known_revision: RevisionNumber,
) -> Result<TableUpdate, StoreError> {
    let row = table.read(REVISION_KEY).await?;
    let revision = decode_revision(row.as_ref());
    let revision_row_version = row.map(|row| row.version);
    if revision <= known_revision {
        let content = UpdateContent::Changes(Vec::new());
        return Ok(TableUpdate { revision, revision_row_version, content });
    }
    if revision.0 - known_revision.0 <= MAX_REPLAYED_CHANGES
        && let Some(entries) = read_changes(table, known_revision, revision).await?
    {
        return Ok(TableUpdate {
            revision,
            revision_row_version,
            content: UpdateContent::Changes(entries),
        });
    }
    let loaded = load_snapshot(table, revision).await?;
    Ok(TableUpdate { revision, revision_row_version, content: UpdateContent::Snapshot(loaded) })
}

/// Returns the changes after `known_revision` up to `revision`, or `None` if some are no longer
/// stored.
async fn read_changes(
    table: &TableClient,
    known_revision: RevisionNumber,
    revision: RevisionNumber,
) -> Result<Option<Vec<ChangeEntry>>, StoreError> {
    let mut entries: Vec<ChangeEntry> = Vec::new();
    let mut last_revision = known_revision;
    while last_revision < revision {
        let request = ScanRequest {
            prefix: CHANGE_PREFIX.into(),
            after: change_key(last_revision).into(),
            limit: CHANGES_PER_PAGE,
        };
        let rows = table.scan(&request).await?;
        for entry in rows.iter().map_while(decode_change) {
            if entry.revision != last_revision.next() {
                return Ok(None);
            }
            last_revision = entry.revision;
            entries.push(entry);
        }
        if rows.is_empty() || last_revision < revision && rows.len() < CHANGES_PER_PAGE {
            return Ok(None);
        }
    }
    entries.retain(|entry| entry.revision <= revision);
    Ok(Some(entries))
}

/// Loads all records. Writes continue while the rows are read page by page, so the changes after
/// `base_revision` are applied on top of them.
async fn load_snapshot(
    table: &TableClient,
    base_revision: RevisionNumber,
) -> Result<ConfigSnapshot, StoreError> {
    let rows = table.scan_all(RECORD_PREFIX).await?;
    let records = rows.iter().filter_map(decode_record).collect();
    let mut snapshot = ConfigSnapshot::new(base_revision, records);
    let newest = decode_revision(table.read(REVISION_KEY).await?.as_ref());
    if let Some(entries) = read_changes(table, base_revision, newest).await? {
        for entry in &entries {
            snapshot.apply(entry);
        }
    }
    Ok(snapshot)
}
