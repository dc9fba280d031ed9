//! Follows the platform's store: the configuration and the list of backend servers.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use board::HostedBoard;
use model::jittered;
use observe::{HostedMetrics, Logger, debug, info, warn};
use platform::{
    ChangedRows, FeedAnswer, PlatformStore, TableName, TableRow, read_config_row, read_server_row,
};
use proxy::HostedServices;
use routes::{ServerBook, ServerChange};
use store::StoreError;

/// Part of the contact time for which one call waits for changes. A call that was pending in an
/// outage, or on a connection that went silent, is never answered, and nothing but its end shows it:
/// wait and answer together must end well within the contact time.
const FEED_WAIT_PART: f64 = 0.55;

/// Pause after changes, so that changes that come together need one call. Both bounds of the
/// platform, for a configuration in force and for a leaving server, are 2 s or more.
const CHANGE_PAUSE: Duration = Duration::from_millis(300);

/// Pause after a failed call, and after a listing older than what is known.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls in a row. A VM counts as in touch 3 s after the store's return.
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// What following needs.
#[derive(Clone)]
pub(crate) struct FollowingParts {
    pub(crate) store: Arc<PlatformStore>,
    /// Time after an outage from which the store's content must be known again.
    pub(crate) contact: Duration,
    pub(crate) board: Arc<HostedBoard>,
    pub(crate) services: Arc<HostedServices>,
    pub(crate) metrics: HostedMetrics,
    pub(crate) log: Logger,
}

/// Follows one table from a listing on.
struct TableFollower {
    parts: FollowingParts,
    table: TableName,
    /// Version up to which changes are known; `None` when the table must be listed.
    known: Option<u64>,
    /// Version of the newest answer, also before a listing was asked for again.
    newest: u64,
    /// Failed calls in a row.
    failures: u32,
}

/// What a call brought.
enum TableNews {
    Listed(Vec<TableRow>),
    Changed(Vec<TableRow>),
}

impl TableFollower {
    fn new(parts: FollowingParts, table: TableName) -> Self {
        Self { parts, table, known: None, newest: 0, failures: 0 }
    }

    /// Waits for the next answer of the store; `None` after a call that brought nothing usable.
    async fn next(&mut self) -> Option<TableNews> {
        self.parts.metrics.store_calls.inc();
        match self.known {
            Some(known) => self.follow(known).await,
            None => self.list().await,
        }
    }

    async fn list(&mut self) -> Option<TableNews> {
        let listed = match self.parts.store.list(self.table).await {
            Ok(listed) => listed,
            Err(error) => return self.fail(&error).await,
        };
        self.succeed();
        if listed.version < self.newest {
            warn!(self.parts.log, "store: listing is older than what is known";
                "table" => %self.table, "version" => listed.version, "known" => self.newest);
            sleep(jittered(FIRST_FAILURE_PAUSE)).await;
            return None;
        }
        Some(TableNews::Listed(self.take(listed)))
    }

    async fn follow(&mut self, known: u64) -> Option<TableNews> {
        let wait = self.parts.contact.mul_f64(FEED_WAIT_PART);
        match self.parts.store.follow(self.table, known, wait).await {
            Ok(FeedAnswer::Changed(changed)) => {
                self.succeed();
                Some(TableNews::Changed(self.take(changed)))
            }
            Ok(FeedAnswer::HistoryGone) => {
                info!(self.parts.log, "store: history is gone, listing again";
                    "table" => %self.table, "known" => known);
                self.known = None;
                None
            }
            Err(error) => self.fail(&error).await,
        }
    }

    fn take(&mut self, changed: ChangedRows) -> Vec<TableRow> {
        self.known = Some(changed.version);
        self.newest = self.newest.max(changed.version);
        changed.rows
    }

    fn succeed(&mut self) {
        if self.failures > 0 {
            info!(self.parts.log, "store: regained"; "table" => %self.table,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    async fn fail(&mut self, error: &StoreError) -> Option<TableNews> {
        self.parts.metrics.store_failures.inc();
        if self.failures == 0 {
            warn!(self.parts.log, "store: lost"; "table" => %self.table, "reason" => %error);
        }
        let pause = FIRST_FAILURE_PAUSE * 2u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        sleep(jittered(pause.min(LONGEST_FAILURE_PAUSE))).await;
        None
    }
}

/// Follows the configuration.
pub(crate) async fn follow_config(parts: FollowingParts) {
    let mut follower = TableFollower::new(parts.clone(), TableName::Operator);
    loop {
        let Some(TableNews::Listed(rows) | TableNews::Changed(rows)) = follower.next().await else {
            continue;
        };
        for row in &rows {
            apply_config(&parts, row);
        }
        if !rows.is_empty() {
            sleep(jittered(CHANGE_PAUSE)).await;
        }
    }
}

fn apply_config(parts: &FollowingParts, row: &TableRow) {
    match read_config_row(row) {
        Ok(Some(table)) => {
            let (version, routes) = (table.version, table.route_count());
            if parts.board.set_routes(table) {
                parts.metrics.version.set(version.0 as i64);
                info!(parts.log, "config: in force"; "version" => version.0, "routes" => routes,
                    "row" => row.version);
            }
        }
        Ok(None) => {}
        Err(fault) => note_fault(&parts.log, &fault),
    }
}

/// Follows the list of backend servers.
pub(crate) async fn follow_servers(parts: FollowingParts) {
    let mut follower = TableFollower::new(parts.clone(), TableName::Servers);
    let mut book = ServerBook::default();
    let mut has_listed = false;
    loop {
        let expiry = book.next_expiry();
        let news = match expiry {
            // A call that is dropped here is asked again from the same version.
            Some(at) => match timeout_at(at, follower.next()).await {
                Ok(news) => news,
                Err(_) => {
                    sleep_until(at).await;
                    book.expire(Instant::now());
                    publish(&parts, &book);
                    continue;
                }
            },
            None => follower.next().await,
        };
        let now = Instant::now();
        let Some(news) = news else {
            if follower.failures > 0 {
                book.note_outage();
            }
            continue;
        };
        book.note_contact(now);
        let has_changes = match news {
            TableNews::Listed(rows) => {
                book.take_listing(read_changes(&parts.log, &rows), now);
                has_listed = true;
                true
            }
            TableNews::Changed(rows) => {
                let changes = read_changes(&parts.log, &rows);
                let has_changes = !changes.is_empty();
                book.take_changes(changes, now);
                has_changes
            }
        };
        if has_changes {
            publish(&parts, &book);
            if has_listed {
                parts.board.note_servers();
            }
            sleep(jittered(CHANGE_PAUSE)).await;
        }
    }
}

fn read_changes(log: &Logger, rows: &[TableRow]) -> Vec<ServerChange> {
    let mut changes = Vec::new();
    for row in rows {
        match read_server_row(row) {
            Ok(change) => {
                debug!(log, "servers: entry"; "change" => ?change, "row" => row.version);
                changes.push(change);
            }
            Err(fault) => note_fault(log, &fault),
        }
    }
    changes
}

fn note_fault(log: &Logger, fault: &dyn Display) {
    warn!(log, "store: entry left out"; "reason" => %fault);
}

fn publish(parts: &FollowingParts, book: &ServerBook) {
    parts.services.set_servers(book.servers(), Instant::now());
    parts.metrics.servers.set(book.len() as i64);
    let leaving = book.servers().filter(|record| record.is_leaving).count();
    info!(parts.log, "servers: list taken over"; "servers" => book.len(), "leaving" => leaving);
}
