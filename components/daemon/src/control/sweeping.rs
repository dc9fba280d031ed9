//! Deletes claims that are past their retention time.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::sleep;

use board::Blackboard;
use claims::{CLAIM_PREFIX, is_past_retention, read_claim};
use model::VmId;
use observe::{DaemonMetrics, Logger, info};
use store::{CommitRequest, RowCondition, RowWrite, ScanRequest, TableClient, TableRow};

/// How long a claim answers repeated requests.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time between two pages.
const PAGE_INTERVAL: Duration = Duration::from_secs(5);

/// Rows in one page.
const PAGE_ROWS: usize = 200;

/// Walks over all claims, a page at a time. Only the member with the lowest slot does it; two at
/// a time do no harm, since each delete is conditional on the row's version.
pub(crate) async fn sweep_claims(
    vm: VmId,
    table: TableClient,
    board: Arc<Blackboard>,
    metrics: DaemonMetrics,
    log: Logger,
) {
    let mut after: Box<str> = "".into();
    loop {
        sleep(PAGE_INTERVAL).await;
        let is_first = board.fleet().members.first().is_some_and(|member| member.row.vm == vm);
        if !is_first {
            continue;
        }
        let request =
            ScanRequest { prefix: CLAIM_PREFIX.into(), after: after.clone(), limit: PAGE_ROWS };
        metrics.table_reads.inc();
        let Ok(rows) = table.scan(&request).await else {
            continue;
        };
        after = match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS => last.key.clone(),
            _ => "".into(),
        };
        let expired: Vec<&TableRow> = rows.iter().filter(|row| is_expired(row)).collect();
        if expired.is_empty() {
            continue;
        }
        metrics.table_commits.inc();
        let outcome = table.commit(&delete_all(&expired)).await;
        info!(log, "claims: expired ones deleted"; "count" => expired.len(),
            "outcome" => format!("{outcome:?}"));
    }
}

fn is_expired(row: &TableRow) -> bool {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64);
    read_claim(row).is_some_and(|claim| is_past_retention(&claim, now, RETENTION))
}

fn delete_all(rows: &[&TableRow]) -> CommitRequest {
    CommitRequest {
        conditions: rows
            .iter()
            .map(|row| RowCondition::at_version(&row.key, row.version))
            .collect(),
        writes: rows.iter().map(|row| RowWrite::delete(&row.key)).collect(),
    }
}
