//! Follows one table of the platform's store from a listing on.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use model::jittered;
use observe::{HostedMetrics, Logger, info, warn};
use platform::{ChangedRows, FeedAnswer, TableName, TableRow};
use store::StoreError;

use crate::hosted::platform_watcher::StoreCallConfig;

/// Pause after a failed call, and after a listing older than what is known.
const INITIAL_FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Follows one table.
pub(crate) struct TableWatcher<'a> {
    call_config: &'a StoreCallConfig,
    metrics: &'a HostedMetrics,
    log: &'a Logger,
    table: TableName,
    /// Version up to which changes are known; `None` when the table must be listed.
    held_version: Option<u64>,
    /// Version of the newest answer, also before a listing was asked for again.
    newest_version: u64,
    /// Failed calls in a row.
    failures: u32,
    /// What the last call took beyond its wait for changes.
    response_delay: Duration,
}

/// What a call brought.
pub(crate) enum TableUpdate {
    /// The whole table.
    Listed(Vec<TableRow>),
    /// Changed rows, perhaps none.
    Changed(Vec<TableRow>),
}

impl<'a> TableWatcher<'a> {
    /// Follows from a known version on, or from a listing.
    pub(crate) fn new(
        call_config: &'a StoreCallConfig,
        metrics: &'a HostedMetrics,
        log: &'a Logger,
        table: TableName,
        held_version: Option<u64>,
    ) -> Self {
        let newest_version = held_version.unwrap_or(0);
        let response_delay = Duration::ZERO;
        Self {
            call_config,
            metrics,
            log,
            table,
            held_version,
            newest_version,
            failures: 0,
            response_delay,
        }
    }

    /// Whether the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Waits for the next answer of the store and its version; `None` after a call that brought
    /// nothing usable.
    pub(crate) async fn next_update(&mut self) -> Option<(u64, TableUpdate)> {
        let call_lock = Arc::clone(&self.call_config.failing_call_lock);
        let _guard = match self.is_failing() {
            true => Some(call_lock.lock().await),
            false => None,
        };
        self.metrics.store_calls.inc();
        match self.held_version {
            Some(version) => self.poll_changes(version).await,
            None => self.list_table().await,
        }
    }

    async fn list_table(&mut self) -> Option<(u64, TableUpdate)> {
        let listed = match self.call_config.store.list(self.table).await {
            Ok(listed) => listed,
            Err(error) => return self.record_failure(&error).await,
        };
        self.record_success();
        if listed.version < self.newest_version {
            warn!(self.log, "store: listing is older than what is known";
                "table" => %self.table, "version" => listed.version, "known" => self.newest_version);
            sleep(jittered(INITIAL_FAILURE_PAUSE)).await;
            return None;
        }
        let version = listed.version;
        Some((version, TableUpdate::Listed(self.advance_version(listed))))
    }

    async fn poll_changes(&mut self, after_version: u64) -> Option<(u64, TableUpdate)> {
        let started_at = Instant::now();
        let wait = self.long_poll_wait();
        match self.call_config.store.follow(self.table, after_version, wait).await {
            Ok(FeedAnswer::Changed(changed)) => {
                self.record_success();
                if changed.rows.is_empty() {
                    self.response_delay = started_at.elapsed().saturating_sub(wait);
                }
                let version = changed.version;
                Some((version, TableUpdate::Changed(self.advance_version(changed))))
            }
            Ok(FeedAnswer::HistoryGone) => {
                info!(self.log, "store: history is gone, listing again";
                    "table" => %self.table, "known" => after_version);
                self.held_version = None;
                None
            }
            Err(error) => self.record_failure(&error).await,
        }
    }

    /// How long the next call waits for changes. A slow store's answer comes later by its delay, and
    /// a failing one is only asked whether it answers.
    fn long_poll_wait(&self) -> Duration {
        match self.is_failing() {
            true => Duration::ZERO,
            false => self.call_config.long_poll_wait.saturating_sub(self.response_delay),
        }
    }

    fn advance_version(&mut self, changed: ChangedRows) -> Vec<TableRow> {
        self.held_version = Some(changed.version);
        self.newest_version = self.newest_version.max(changed.version);
        changed.rows
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            info!(self.log, "store: regained"; "table" => %self.table,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    async fn record_failure<T>(&mut self, error: &StoreError) -> Option<T> {
        self.metrics.store_failures.inc();
        if self.failures == 0 {
            warn!(self.log, "store: lost"; "table" => %self.table, "reason" => %error);
        }
        let pause = INITIAL_FAILURE_PAUSE * 2u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        sleep(jittered(pause.min(self.call_config.max_failure_pause))).await;
        None
    }
}
