//! Crash reports in the platform's store.
//!
//! VMs exchange their reports through relays. The store has those that matter after a restart of all
//! VMs, and replaces the exchange for VMs that have no relay.

use std::sync::Arc;
use std::time::SystemTime;

use tokio::sync::broadcast::error::RecvError;
use tokio::time::{Instant, sleep};

use model::{FastSet, jittered};
use observe::{info, warn};
use platform::{TableName, TableRow, encode_crash_row, parse_crash_row};
use quarantine::{CrashReport, Fingerprint};
use store::StoreError;

use crate::hosted::platform_view::PlatformView;
use crate::hosted::store_calls::StoreCallConfig;
use crate::hosted::table_watcher::{TableUpdate, TableWatcher};

/// Number of reports about a request from which they are stored. Most requests that share a crash
/// never meet another one.
const MIN_STORED_REPORTS: usize = 2;

/// Maximum number of rows in a transaction of the store.
const MAX_TRANSACTION_ROWS: usize = 100;

/// Writes crash reports to the store, and reads them.
pub(crate) struct CrashStore {
    view: Arc<PlatformView>,
    call_config: StoreCallConfig,
}

impl CrashStore {
    pub(crate) fn new(view: Arc<PlatformView>, call_config: StoreCallConfig) -> Self {
        Self { view, call_config }
    }

    /// Stores the reports about requests that this VM reported, until the future is dropped.
    pub(crate) async fn run_writer(&self) {
        let mut own_reports = self.view.crashes.own_reports();
        let mut unwritten: FastSet<Fingerprint> = FastSet::default();
        loop {
            match own_reports.recv().await {
                Ok(content) => unwritten.extend([content]),
                // Reports about other requests are written with the next report about them.
                Err(RecvError::Lagged(_)) => continue,
                Err(RecvError::Closed) => return,
            }
            while let Ok(content) = own_reports.try_recv() {
                unwritten.insert(content);
            }
            let reports = self.reports_to_store(&unwritten);
            if reports.is_empty() || self.write(&reports).await {
                unwritten.clear();
            }
        }
    }

    /// Returns the reports about requests of which there are enough.
    fn reports_to_store(&self, contents: &FastSet<Fingerprint>) -> Vec<CrashReport> {
        let min_reports = match self.view.has_relay() {
            true => MIN_STORED_REPORTS,
            false => 1,
        };
        let now = Instant::now();
        let by_content = contents.iter().map(|content| self.view.crashes.reports_of(*content, now));
        by_content.filter(|reports| reports.len() >= min_reports).flatten().collect()
    }

    /// Writes reports. Returns whether all were written; if not, they are written with the next one.
    async fn write(&self, reports: &[CrashReport]) -> bool {
        let now = SystemTime::now();
        let rows: Vec<TableRow> =
            reports.iter().map(|report| encode_crash_row(report, now)).collect();
        for rows in rows.chunks(MAX_TRANSACTION_ROWS) {
            if let Err(error) = self.call_store(rows, &[]).await {
                warn!(self.view.log, "crashes: can't store reports; retrying with the next one";
                    "reason" => %error, "reports" => reports.len());
                return false;
            }
        }
        true
    }

    /// Reads the stored reports once, and deletes those that have expired.
    pub(crate) async fn load(&self) {
        let mut watcher = self.watcher();
        loop {
            if let Some((_, TableUpdate::Listed(rows))) = watcher.next_update().await {
                let expired = self.apply(&rows);
                self.delete(&expired).await;
                return;
            }
        }
    }

    /// Exchanges reports through the store until the future is dropped, for a VM without a relay.
    pub(crate) async fn exchange(&self) {
        // A relay that is left is replaced within this time in most cases.
        sleep(jittered(self.call_config.long_poll_wait)).await;
        self.write(&self.view.crashes.snapshot(Instant::now())).await;
        let mut watcher = self.watcher();
        loop {
            if let Some((_, TableUpdate::Listed(rows) | TableUpdate::Changed(rows))) =
                watcher.next_update().await
            {
                self.apply(&rows);
            }
        }
    }

    fn watcher(&self) -> TableWatcher<'_> {
        TableWatcher::new(&self.call_config, &self.view, TableName::Crashes, None)
    }

    /// Applies rows. Returns the keys of those that can be deleted.
    fn apply(&self, rows: &[TableRow]) -> Vec<Box<str>> {
        let now = SystemTime::now();
        let mut expired = Vec::new();
        let mut reports = Vec::new();
        for row in rows.iter().filter(|row| !row.is_deleted) {
            match parse_crash_row(row, now) {
                Ok(report) if self.view.crashes.is_expired(&report) => {
                    expired.push(row.key.clone());
                }
                Ok(report) => reports.push(report),
                Err(error) => {
                    warn!(self.view.log, "crashes: ignored an invalid report"; "reason" => %error);
                }
            }
        }
        self.view.crashes.merge(&reports, Instant::now());
        expired
    }

    async fn delete(&self, keys: &[Box<str>]) {
        for keys in keys.chunks(MAX_TRANSACTION_ROWS) {
            if let Err(error) = self.call_store(&[], keys).await {
                info!(self.view.log, "crashes: can't delete expired reports; left to the next start";
                    "reason" => %error);
                return;
            }
        }
    }

    async fn call_store(
        &self,
        rows: &[TableRow],
        deleted_keys: &[Box<str>],
    ) -> Result<(), StoreError> {
        let metrics = &self.view.metrics;
        metrics.store_calls.inc();
        let result =
            self.call_config.store.write_rows(TableName::Crashes, rows, deleted_keys).await;
        if result.is_err() {
            metrics.store_failures.inc();
        }
        result
    }
}
