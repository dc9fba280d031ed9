//! Watches one table of the platform's store: lists it, then polls its changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use model::{StoreVersion, jittered};
use observe::{info, warn};
use platform::{FeedResponse, TableName, TableRow, VersionedRows};
use store::StoreError;

use crate::hosted::platform_view::PlatformView;
use crate::hosted::store_calls::StoreCallConfig;

/// Doublings of the pause between failed calls, which is limited by its maximum too.
const MAX_PAUSE_DOUBLINGS: u32 = 8;

/// Watches one table.
pub(crate) struct TableWatcher<'a> {
    call_config: &'a StoreCallConfig,
    view: &'a PlatformView,
    table: TableName,
    /// Version up to which changes were received; `None` if the table must be listed.
    held_version: Option<StoreVersion>,
    /// Newest version received. Unlike `held_version`, it is kept when the table must be listed
    /// again.
    newest_version: StoreVersion,
    /// Consecutive failed calls.
    failures: u32,
    /// Time that the last call without changes took beyond its long-poll wait.
    response_delay: Duration,
}

/// Rows that one call to the store returned.
pub(crate) enum TableUpdate {
    /// The whole table.
    Listed(Vec<TableRow>),
    /// Rows that changed; possibly none.
    Changed(Vec<TableRow>),
}

impl<'a> TableWatcher<'a> {
    /// Creates a watcher that continues from `held_version`, or lists the table if it is `None`.
    pub(crate) fn new(
        call_config: &'a StoreCallConfig,
        view: &'a PlatformView,
        table: TableName,
        held_version: Option<StoreVersion>,
    ) -> Self {
        let newest_version = held_version.unwrap_or_default();
        let response_delay = Duration::ZERO;
        Self { call_config, view, table, held_version, newest_version, failures: 0, response_delay }
    }

    /// Whether the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Calls the store once and returns the update with its version. Returns `None` if the call
    /// failed, the listing is outdated or the change history has expired.
    pub(crate) async fn next_update(&mut self) -> Option<(StoreVersion, TableUpdate)> {
        let call_lock = Arc::clone(&self.call_config.failing_call_lock);
        let _guard = match self.is_failing() {
            true => Some(call_lock.lock().await),
            false => None,
        };
        self.view.metrics.store_calls.inc();
        match self.held_version {
            Some(version) => self.poll_changes(version).await,
            None => self.list_table().await,
        }
    }

    async fn list_table(&mut self) -> Option<(StoreVersion, TableUpdate)> {
        let listed = match self.call_config.store.list(self.table).await {
            Ok(listed) => listed,
            Err(error) => return self.record_failure(&error).await,
        };
        self.record_success();
        if listed.version < self.newest_version {
            warn!(self.view.log, "store: ignored a listing older than the version held";
                "table" => %self.table, "version" => %listed.version,
                "known" => %self.newest_version);
            sleep(jittered(self.call_config.first_retry_pause)).await;
            return None;
        }
        let version = listed.version;
        Some((version, TableUpdate::Listed(self.advance_version(listed))))
    }

    async fn poll_changes(
        &mut self,
        after_version: StoreVersion,
    ) -> Option<(StoreVersion, TableUpdate)> {
        let started_at = Instant::now();
        let wait = self.long_poll_wait();
        match self.call_config.store.poll_changes(self.table, after_version, wait).await {
            Ok(FeedResponse::Changed(changed)) => {
                self.record_success();
                if changed.rows.is_empty() {
                    self.response_delay = started_at.elapsed().saturating_sub(wait);
                }
                let version = changed.version;
                Some((version, TableUpdate::Changed(self.advance_version(changed))))
            }
            Ok(FeedResponse::HistoryExpired) => {
                info!(self.view.log, "store: change history is not available; listing the table again";
                    "table" => %self.table, "known" => %after_version);
                self.held_version = None;
                None
            }
            Err(error) => self.record_failure(&error).await,
        }
    }

    /// Returns how long the next call waits for changes. The response delay of a slow store is
    /// subtracted; a failing store is only checked for reachability, without waiting for changes.
    fn long_poll_wait(&self) -> Duration {
        match self.is_failing() {
            true => Duration::ZERO,
            false => self.call_config.long_poll_wait.saturating_sub(self.response_delay),
        }
    }

    fn advance_version(&mut self, received: VersionedRows) -> Vec<TableRow> {
        self.held_version = Some(received.version);
        self.newest_version = self.newest_version.max(received.version);
        received.rows
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            info!(self.view.log, "store: reachable again"; "table" => %self.table,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    async fn record_failure<T>(&mut self, error: &StoreError) -> Option<T> {
        self.view.metrics.store_failures.inc();
        if self.failures == 0 {
            warn!(self.view.log, "store: unreachable"; "table" => %self.table, "reason" => %error);
        }
        let doublings = match self.pause_during_known_outage().await {
            true => 0,
            false => self.failures.min(MAX_PAUSE_DOUBLINGS),
        };
        self.failures += 1;
        let pause = self.call_config.first_retry_pause * 2u32.pow(doublings);
        sleep(jittered(pause.min(self.call_config.max_failure_pause))).await;
        None
    }

    /// Waits while relays say that their calls fail too, but no longer than the pause for that case:
    /// a relay that fails, or reaches the store again, ends the wait. Returns whether they said so.
    async fn pause_during_known_outage(&self) -> bool {
        let mut known_outage = self.view.watch_known_outage();
        if !*known_outage.borrow() {
            return false;
        }
        let pause = jittered(self.call_config.known_outage_pause);
        // Ends without a result if the pause is over first.
        let _ = timeout(pause, known_outage.wait_for(|is_known| !is_known)).await;
        true
    }
}
