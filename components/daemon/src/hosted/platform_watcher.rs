//! Keeps the configuration and the list of backend servers up to date, from the platform's store or
//! from a relay: an entry VM that reads the store for others.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use model::{StoreVersion, jittered};
use observe::{debug, warn};
use platform::{TableName, TableRow, parse_config_row, parse_evacuation_row, parse_server_row};
use routes::{EvacuationChange, ServerChange};

use crate::hosted::crash_store::CrashStore;
use crate::hosted::entry_log::EntryLog;
use crate::hosted::platform_view::{ConfigSource, PlatformView};
use crate::hosted::relay_subscriber::RelaySubscriber;
use crate::hosted::store_calls::StoreCallConfig;
use crate::hosted::table_watcher::{TableUpdate, TableWatcher};

/// Source of updates that were read from the store, in log lines.
const STORE_SOURCE: &str = "store";

/// When a VM that has relays reads the store itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadAges {
    /// Mean time after the start, while no relay has confirmed a state.
    pub(crate) first_read_delay: Duration,
    /// Age of the state.
    pub(crate) direct_read_age: Duration,
}

/// Updates the view of the platform from relays, or from the store if no relay's state is fresh.
pub(crate) struct PlatformWatcher {
    view: Arc<PlatformView>,
    call_config: StoreCallConfig,
    crash_store: CrashStore,
    entry_log: EntryLog,
    /// `None` for a VM that is a relay itself.
    subscriber: Option<RelaySubscriber>,
    ages: ReadAges,
}

impl PlatformWatcher {
    pub(crate) fn new(
        view: Arc<PlatformView>,
        call_config: StoreCallConfig,
        subscriber: Option<RelaySubscriber>,
        ages: ReadAges,
    ) -> Self {
        let crash_store = CrashStore::new(Arc::clone(&view), call_config.clone());
        Self { view, call_config, crash_store, entry_log: EntryLog::default(), subscriber, ages }
    }

    /// Updates the view until the future is dropped.
    pub(crate) async fn run(self) {
        tokio::join!(self.crash_store.run_writer(), self.run_watch());
    }

    async fn run_watch(&self) {
        match &self.subscriber {
            None => self.watch_store().await,
            Some(subscriber) => {
                let confirmations = watch::Sender::new(None);
                tokio::join!(
                    subscriber.run(&confirmations),
                    self.watch_store_when_stale(&confirmations)
                );
            }
        }
    }

    /// Reads the store directly while no relay has recently confirmed the state. A VM without state
    /// first waits for that of a relay: if all VMs start at once, their calls would delay those of
    /// the relays.
    async fn watch_store_when_stale(&self, confirmations: &watch::Sender<Option<Instant>>) {
        let mut confirmation_receiver = confirmations.subscribe();
        let first_read_at = Instant::now() + jittered(self.ages.first_read_delay);
        loop {
            let confirmed_at = *confirmation_receiver.borrow_and_update();
            let read_at = confirmed_at.map_or(first_read_at, |at| at + self.ages.direct_read_age);
            tokio::select! {
                () = sleep_until(read_at) => {}
                _ = confirmation_receiver.changed() => continue,
            }
            let is_fresh = |confirmed_at: &Option<Instant>| {
                confirmed_at.is_some_and(|at| Instant::now() < at + self.ages.direct_read_age)
            };
            self.view.set_without_relay(true);
            tokio::select! {
                _ = confirmation_receiver.wait_for(is_fresh) => {}
                () = self.watch_store() => {}
            }
            self.view.set_without_relay(false);
        }
    }

    /// Watches the tables of the store until the future is dropped.
    ///
    /// A VM that holds a state first finds out with one table whether it reaches the store. In an
    /// outage all VMs read it at the same time, and each table would multiply their calls.
    async fn watch_store(&self) {
        let is_reachable = watch::Sender::new(self.view.servers_version().is_none());
        let mut reachability = is_reachable.subscribe();
        let watch_others = async {
            // Waiting fails only if the sender is dropped, which this future doesn't outlive.
            let _ = reachability.wait_for(|is_reachable| *is_reachable).await;
            tokio::join!(self.watch_servers(), self.read_crashes());
        };
        tokio::join!(self.watch_config(&is_reachable), watch_others);
    }

    async fn read_crashes(&self) {
        match &self.subscriber {
            None => self.crash_store.load().await,
            Some(_) => self.crash_store.exchange().await,
        }
    }

    /// Watches the configuration and the evacuations, and sets `is_reachable` at the first
    /// successful call.
    async fn watch_config(&self, is_reachable: &watch::Sender<bool>) {
        let mut watcher =
            TableWatcher::new(&self.call_config, &self.view, TableName::Operator, None);
        loop {
            let Some((version, update)) = watcher.next_update().await else {
                if watcher.is_failing() && !*is_reachable.borrow() {
                    self.mark_store_unreachable();
                }
                continue;
            };
            is_reachable.send_if_modified(|known| !std::mem::replace(known, true));
            // Before the configuration, which may make this VM ready.
            self.apply_evacuations(version, &update);
            let (TableUpdate::Listed(rows) | TableUpdate::Changed(rows)) = update;
            for row in &rows {
                self.apply_config_row(row);
            }
            if let Some(hub) = self.view.hub() {
                hub.confirm_config(Instant::now());
            }
            if !rows.is_empty() {
                sleep(jittered(self.call_config.batching_pause)).await;
            }
        }
    }

    fn apply_evacuations(&self, version: StoreVersion, update: &TableUpdate) {
        let (TableUpdate::Listed(rows) | TableUpdate::Changed(rows)) = update;
        let mut changes = Vec::new();
        for row in rows {
            match parse_evacuation_row(row) {
                Ok(change) => changes.extend(change),
                Err(error) => self.log_invalid_row(&error),
            }
        }
        match update {
            TableUpdate::Listed(_) => {
                let listed = changes.into_iter().filter_map(EvacuationChange::into_started);
                self.view.apply_evacuations(version, &listed.collect::<Vec<_>>(), STORE_SOURCE);
            }
            TableUpdate::Changed(_) if changes.is_empty() => {}
            TableUpdate::Changed(_) => {
                self.view.apply_evacuation_changes(version, changes, STORE_SOURCE);
            }
        }
    }

    fn apply_config_row(&self, row: &TableRow) {
        match parse_config_row(row) {
            Ok(Some(table)) => {
                let source = ConfigSource { name: STORE_SOURCE.into(), confirmed_at: None };
                self.view.apply_config(table, &source);
            }
            Ok(None) => {}
            Err(error) => self.log_invalid_row(&error),
        }
    }

    async fn watch_servers(&self) {
        let view = &self.view;
        let held_version = view.servers_version();
        let mut watcher =
            TableWatcher::new(&self.call_config, view, TableName::Servers, held_version);
        loop {
            let Some((version, update)) = watcher.next_update().await else {
                if watcher.is_failing() {
                    self.mark_store_unreachable();
                }
                continue;
            };
            view.set_store_unreachable(false);
            if let Some(hub) = view.hub() {
                hub.confirm_servers(Instant::now());
            }
            let has_changes = match update {
                TableUpdate::Listed(rows) => {
                    view.apply_listing(version, self.parse_server_rows(&rows));
                    true
                }
                TableUpdate::Changed(rows) => {
                    view.apply_changes(version, self.parse_server_rows(&rows));
                    !rows.is_empty()
                }
            };
            if has_changes {
                sleep(jittered(self.call_config.batching_pause)).await;
            }
        }
    }

    fn mark_store_unreachable(&self) {
        self.view.set_store_unreachable(true);
        if let Some(hub) = self.view.hub() {
            hub.set_store_unreachable();
        }
    }

    fn parse_server_rows(&self, rows: &[TableRow]) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        for row in rows {
            match parse_server_row(row) {
                Ok(change) => {
                    debug!(self.view.log, "servers: received entry"; "change" => ?change,
                        "row" => row.version);
                    changes.push(change);
                }
                Err(error) => {
                    self.entry_log.record(&error, &self.view.log);
                    // What it replaced no longer counts.
                    changes.extend(error.server.map(ServerChange::Absent));
                }
            }
        }
        changes
    }

    fn log_invalid_row(&self, error: &dyn Display) {
        warn!(self.view.log, "store: ignored an invalid entry"; "reason" => %error);
    }
}
