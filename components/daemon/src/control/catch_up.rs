//! Reads what the platform's table holds beyond a known revision.

use model::RevisionNumber;
use records::{
    CHANGE_PREFIX, ChangeEntry, ConfigSnapshot, RECORD_PREFIX, REVISION_KEY, change_key,
    decode_change, decode_record, decode_revision,
};
use store::{ScanRequest, StoreError, TableClient};

/// Change rows in one answer.
const PAGE_CHANGES: usize = 200;

/// Changes from which loading all records is cheaper than applying each change.
const MAX_CHANGES: u64 = 1_000;

/// What the table holds.
#[derive(Debug)]
pub(crate) struct CatchUpNews {
    /// The newest revision when the read began, or later.
    pub(crate) revision: RevisionNumber,
    /// Version of the revision row; `None` when nothing was ever written.
    pub(crate) revision_row: Option<u64>,
    /// What is needed to get there.
    pub(crate) content: NewsContent,
}

#[derive(Debug)]
pub(crate) enum NewsContent {
    /// Changes in order, none if the known revision is the newest.
    Changes(Vec<ChangeEntry>),
    /// All records.
    Whole(ConfigSnapshot),
}

impl CatchUpNews {
    /// Brings a snapshot up to date.
    pub(crate) fn apply_to(self, snapshot: &mut ConfigSnapshot) {
        match self.content {
            NewsContent::Changes(entries) => {
                for entry in &entries {
                    snapshot.apply(entry);
                }
            }
            NewsContent::Whole(whole) if whole.revision() > snapshot.revision() => {
                *snapshot = whole;
            }
            NewsContent::Whole(_) => {}
        }
    }
}

/// Reads what is newer than `known`.
pub(crate) async fn catch_up(
    table: &TableClient,
    known: RevisionNumber,
) -> Result<CatchUpNews, StoreError> {
    let row = table.read(REVISION_KEY).await?;
    let revision = decode_revision(row.as_ref());
    let revision_row = row.map(|row| row.version);
    if revision <= known {
        let content = NewsContent::Changes(Vec::new());
        return Ok(CatchUpNews { revision, revision_row, content });
    }
    if revision.0 - known.0 <= MAX_CHANGES
        && let Some(entries) = read_changes(table, known, revision).await?
    {
        return Ok(CatchUpNews { revision, revision_row, content: NewsContent::Changes(entries) });
    }
    let whole = load_whole(table, revision).await?;
    Ok(CatchUpNews { revision, revision_row, content: NewsContent::Whole(whole) })
}

/// The changes after `known` up to `revision`; `None` when some are no longer kept.
async fn read_changes(
    table: &TableClient,
    known: RevisionNumber,
    revision: RevisionNumber,
) -> Result<Option<Vec<ChangeEntry>>, StoreError> {
    let mut entries: Vec<ChangeEntry> = Vec::new();
    let mut last = known;
    while last < revision {
        let request = ScanRequest {
            prefix: CHANGE_PREFIX.into(),
            after: change_key(last).into(),
            limit: PAGE_CHANGES,
        };
        let rows = table.scan(&request).await?;
        for entry in rows.iter().map_while(decode_change) {
            if entry.revision != last.next() {
                return Ok(None);
            }
            last = entry.revision;
            entries.push(entry);
        }
        if rows.is_empty() || last < revision && rows.len() < PAGE_CHANGES {
            return Ok(None);
        }
    }
    entries.retain(|entry| entry.revision <= revision);
    Ok(Some(entries))
}

/// All records at a revision. The rows are read a page at a time while writes go on, so the
/// changes that came meanwhile are applied over them.
async fn load_whole(
    table: &TableClient,
    from: RevisionNumber,
) -> Result<ConfigSnapshot, StoreError> {
    let rows = table.scan_all(RECORD_PREFIX).await?;
    let records = rows.iter().filter_map(decode_record).collect();
    let mut snapshot = ConfigSnapshot::new(from, records);
    let newest = decode_revision(table.read(REVISION_KEY).await?.as_ref());
    if let Some(entries) = read_changes(table, from, newest).await? {
        for entry in &entries {
            snapshot.apply(entry);
        }
    }
    Ok(snapshot)
}
