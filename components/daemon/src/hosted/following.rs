//! Learns the configuration and the backend servers: from the platform's store, or from an entry VM
//! that reads the store for others.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, watch};
use tokio::time::{Instant, sleep, sleep_until};

use model::jittered;
use observe::{debug, warn};
use platform::{PlatformStore, TableName, TableRow, read_config_row, read_server_row};
use routes::ServerChange;

use crate::hosted::knowledge::Knowledge;
use crate::hosted::subscribing::Subscriber;
use crate::hosted::table::{TableFollower, TableNews};

/// Age of what is known from which the store is asked. What is accepted must be known after 2 s.
const DIRECT_AGE: Duration = Duration::from_millis(1_300);

/// How the store is asked.
#[derive(Clone)]
pub(crate) struct StoreCalls {
    pub(crate) store: Arc<PlatformStore>,
    /// How long one call to the store waits for changes, with its answer's way.
    pub(crate) feed_wait: Duration,
    /// Pause after changes, so that changes that come together need one call.
    pub(crate) change_pause: Duration,
    /// Longest pause after failed calls in a row.
    pub(crate) longest_failure_pause: Duration,
    /// Held for one call while calls fail, so that only one of the two tables is asked for.
    pub(crate) failing_turn: Arc<Mutex<()>>,
}

/// When the store is asked by a VM whose knowledge was confirmed at some time; at once by one that
/// knows nothing.
fn direct_at(confirmed_at: Option<Instant>, now: Instant) -> Instant {
    confirmed_at.map_or(now, |at| at + DIRECT_AGE)
}

fn is_confirmed(confirmed_at: Option<Instant>) -> bool {
    let now = Instant::now();
    now < direct_at(confirmed_at, now)
}

/// Learns from wherever it can.
pub(crate) struct Follower {
    knowledge: Arc<Knowledge>,
    calls: StoreCalls,
    /// `None` for a VM that is a relay itself.
    subscriber: Option<Subscriber>,
}

impl Follower {
    pub(crate) fn new(
        knowledge: Arc<Knowledge>,
        calls: StoreCalls,
        subscriber: Option<Subscriber>,
    ) -> Self {
        Self { knowledge, calls, subscriber }
    }

    /// Follows until it is dropped.
    pub(crate) async fn run(self) {
        match &self.subscriber {
            None => self.follow_store().await,
            Some(subscriber) => {
                let confirmed = watch::Sender::new(None);
                tokio::join!(subscriber.run(&confirmed), self.follow_when_old(&confirmed));
            }
        }
    }

    /// Asks the store itself while no relay has confirmed lately what is known. Right after the
    /// start that is one listing: after a loss of all VMs no relay knows anything yet.
    async fn follow_when_old(&self, confirmed: &watch::Sender<Option<Instant>>) {
        let mut last = confirmed.subscribe();
        loop {
            let confirmed_at = *last.borrow_and_update();
            let is_first = confirmed_at.is_none();
            tokio::select! {
                () = sleep_until(direct_at(confirmed_at, Instant::now())) => {}
                _ = last.changed() => continue,
            }
            tokio::select! {
                _ = last.wait_for(|at| is_confirmed(*at)) => {}
                () = self.knowledge.board.learn(), if is_first => {
                    confirmed.send_replace(Some(Instant::now()));
                }
                () = self.follow_store() => {}
            }
        }
    }

    /// Asks the store until it is dropped.
    async fn follow_store(&self) {
        tokio::join!(self.follow_config(), self.follow_servers());
    }

    async fn follow_config(&self) {
        let metrics = &self.knowledge.metrics;
        let log = &self.knowledge.log;
        let mut follower = TableFollower::new(&self.calls, metrics, log, TableName::Operator, None);
        loop {
            let Some((_, TableNews::Listed(rows) | TableNews::Changed(rows))) =
                follower.next().await
            else {
                continue;
            };
            for row in &rows {
                self.apply_config(row);
            }
            if let Some(hub) = &self.knowledge.hub {
                hub.confirm_config(Instant::now());
            }
            if !rows.is_empty() {
                sleep(jittered(self.calls.change_pause)).await;
            }
        }
    }

    fn apply_config(&self, row: &TableRow) {
        match read_config_row(row) {
            Ok(Some(table)) => self.knowledge.take_config(table),
            Ok(None) => {}
            Err(fault) => self.note_fault(&fault),
        }
    }

    async fn follow_servers(&self) {
        let knowledge = &self.knowledge;
        let known = knowledge.servers_version();
        let (metrics, log) = (&knowledge.metrics, &knowledge.log);
        let mut follower = TableFollower::new(&self.calls, metrics, log, TableName::Servers, known);
        loop {
            let Some((version, news)) = follower.next().await else {
                if follower.is_failing() {
                    self.note_outage();
                }
                continue;
            };
            knowledge.note_store(false);
            if let Some(hub) = &knowledge.hub {
                hub.confirm_servers(Instant::now());
            }
            let has_changes = match news {
                TableNews::Listed(rows) => {
                    knowledge.take_listing(version, self.read_changes(&rows));
                    true
                }
                TableNews::Changed(rows) => {
                    knowledge.take_changes(version, self.read_changes(&rows));
                    !rows.is_empty()
                }
            };
            if has_changes {
                sleep(jittered(self.calls.change_pause)).await;
            }
        }
    }

    fn note_outage(&self) {
        self.knowledge.note_store(true);
        if let Some(hub) = &self.knowledge.hub {
            hub.set_store_unreachable();
        }
    }

    fn read_changes(&self, rows: &[TableRow]) -> Vec<ServerChange> {
        let mut changes = Vec::new();
        for row in rows {
            match read_server_row(row) {
                Ok(change) => {
                    debug!(self.knowledge.log, "servers: entry"; "change" => ?change,
                        "row" => row.version);
                    changes.push(change);
                }
                Err(fault) => self.note_fault(&fault),
            }
        }
        changes
    }

    fn note_fault(&self, fault: &dyn Display) {
        warn!(self.knowledge.log, "store: entry left out"; "reason" => %fault);
    }
}
