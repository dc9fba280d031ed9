//! Deletes claims whose retention time has passed.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::sleep;

use board::Blackboard;
use claims::{CLAIM_PREFIX, decode_claim, is_past_retention};
use model::VmId;
use observe::{DaemonMetrics, Logger, info};
use store::{CommitRequest, RowCondition, RowWrite, ScanRequest, TableClient, TableRow};

/// Time for which a claim is kept, so that a repeated request finds it.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Pause before the scan of each page.
const PAGE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of rows in one page.
const ROWS_PER_PAGE: usize = 200;

/// Scans all claims page by page and deletes the expired ones, until the task is aborted. Only the
/// member with the lowest slot does this. Concurrent deletion by two members is harmless, because
/// each delete is conditional on the row's version.
pub(crate) async fn delete_expired_claims(
    vm: VmId,
    table: TableClient,
    board: Arc<Blackboard>,
    metrics: DaemonMetrics,
    log: Logger,
) {
    let mut cursor: Box<str> = "".into();
    loop {
        sleep(PAGE_INTERVAL).await;
        let has_lowest_slot =
            board.fleet().members.first().is_some_and(|member| member.row.vm == vm);
        if !has_lowest_slot {
            continue;
        }
        let request = ScanRequest {
            prefix: CLAIM_PREFIX.into(),
            after: cursor.clone(),
            limit: ROWS_PER_PAGE,
        };
        metrics.table_reads.inc();
        let Ok(rows) = table.scan(&request).await else {
            continue;
        };
        cursor = match rows.last() {
            Some(last) if rows.len() == ROWS_PER_PAGE => last.key.clone(),
            _ => "".into(),
        };
        let expired: Vec<&TableRow> = rows.iter().filter(|row| is_expired(row)).collect();
        if expired.is_empty() {
            continue;
        }
        metrics.table_commits.inc();
        let outcome = table.commit(&build_delete_request(&expired)).await;
        info!(log, "claims: deletion of expired claims finished"; "count" => expired.len(),
            "outcome" => format!("{outcome:?}"));
    }
}

fn is_expired(row: &TableRow) -> bool {
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    decode_claim(row).is_some_and(|claim| is_past_retention(&claim, now_ms, CLAIM_RETENTION))
}

fn build_delete_request(rows: &[&TableRow]) -> CommitRequest {
    CommitRequest {
        conditions: rows
            .iter()
            .map(|row| RowCondition::at_version(&row.key, row.version))
            .collect(),
        writes: rows.iter().map(|row| RowWrite::delete(&row.key)).collect(),
    }
}
