//! Follows one table of the platform's store from a listing on.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use model::jittered;
use observe::{HostedMetrics, Logger, info, warn};
use platform::{ChangedRows, FeedAnswer, TableName, TableRow};
use store::StoreError;

use crate::hosted::following::StoreCalls;

/// Pause after a failed call, and after a listing older than what is known.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Follows one table.
pub(crate) struct TableFollower<'a> {
    calls: &'a StoreCalls,
    metrics: &'a HostedMetrics,
    log: &'a Logger,
    table: TableName,
    /// Version up to which changes are known; `None` when the table must be listed.
    known: Option<u64>,
    /// Version of the newest answer, also before a listing was asked for again.
    newest: u64,
    /// Failed calls in a row.
    failures: u32,
    /// What the last call took beyond its wait for changes.
    delay: Duration,
}

/// What a call brought.
pub(crate) enum TableNews {
    /// The whole table.
    Listed(Vec<TableRow>),
    /// Changed rows, perhaps none.
    Changed(Vec<TableRow>),
}

impl<'a> TableFollower<'a> {
    /// Follows from a known version on, or from a listing.
    pub(crate) fn new(
        calls: &'a StoreCalls,
        metrics: &'a HostedMetrics,
        log: &'a Logger,
        table: TableName,
        known: Option<u64>,
    ) -> Self {
        let newest = known.unwrap_or(0);
        let delay = Duration::ZERO;
        Self { calls, metrics, log, table, known, newest, failures: 0, delay }
    }

    /// Whether the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Waits for the next answer of the store and its version; `None` after a call that brought
    /// nothing usable.
    pub(crate) async fn next(&mut self) -> Option<(u64, TableNews)> {
        let turn = Arc::clone(&self.calls.failing_turn);
        let _turn = match self.is_failing() {
            true => Some(turn.lock().await),
            false => None,
        };
        self.metrics.store_calls.inc();
        match self.known {
            Some(known) => self.follow(known).await,
            None => self.list().await,
        }
    }

    async fn list(&mut self) -> Option<(u64, TableNews)> {
        let listed = match self.calls.store.list(self.table).await {
            Ok(listed) => listed,
            Err(error) => return self.fail(&error).await,
        };
        self.succeed();
        if listed.version < self.newest {
            warn!(self.log, "store: listing is older than what is known";
                "table" => %self.table, "version" => listed.version, "known" => self.newest);
            sleep(jittered(FIRST_FAILURE_PAUSE)).await;
            return None;
        }
        let version = listed.version;
        Some((version, TableNews::Listed(self.take(listed))))
    }

    async fn follow(&mut self, known: u64) -> Option<(u64, TableNews)> {
        let begun_at = Instant::now();
        let wait = self.wait();
        match self.calls.store.follow(self.table, known, wait).await {
            Ok(FeedAnswer::Changed(changed)) => {
                self.succeed();
                if changed.rows.is_empty() {
                    self.delay = begun_at.elapsed().saturating_sub(wait);
                }
                let version = changed.version;
                Some((version, TableNews::Changed(self.take(changed))))
            }
            Ok(FeedAnswer::HistoryGone) => {
                info!(self.log, "store: history is gone, listing again";
                    "table" => %self.table, "known" => known);
                self.known = None;
                None
            }
            Err(error) => self.fail(&error).await,
        }
    }

    /// How long the next call waits for changes. A slow store's answer comes later by its delay, and
    /// a failing one is only asked whether it answers.
    fn wait(&self) -> Duration {
        match self.is_failing() {
            true => Duration::ZERO,
            false => self.calls.feed_wait.saturating_sub(self.delay),
        }
    }

    fn take(&mut self, changed: ChangedRows) -> Vec<TableRow> {
        self.known = Some(changed.version);
        self.newest = self.newest.max(changed.version);
        changed.rows
    }

    fn succeed(&mut self) {
        if self.failures > 0 {
            info!(self.log, "store: regained"; "table" => %self.table,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    async fn fail<T>(&mut self, error: &StoreError) -> Option<T> {
        self.metrics.store_failures.inc();
        if self.failures == 0 {
            warn!(self.log, "store: lost"; "table" => %self.table, "reason" => %error);
        }
        let pause = FIRST_FAILURE_PAUSE * 2u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        sleep(jittered(pause.min(self.calls.longest_failure_pause))).await;
        None
    }
}
