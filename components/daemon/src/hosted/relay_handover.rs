//! The handover from one set of relays to the next.
//!
//! The settings of the VMs change at different moments, so a former relay may still use the part of a
//! new one. A relay that starts, or whose part grows, doesn't know which VMs were relays before. The
//! store knows: the set in effect is recorded there, until it is settled with the former relays and
//! those that stay. A relay that starts again in a settled set has no handover, and one that stays
//! keeps its part. Any other one, and one without the store, takes the handover time, and longer while
//! a former relay still accepts connections.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use model::jittered;
use observe::info;
use peers::RelayHub;
use platform::table_client;
use settings::HostedTiming;
use store::{CommitOutcome, CommitRequest, RowCondition, RowWrite, StoreError, TableClient};

use crate::hosted::platform_view::PlatformView;
use crate::hosted::settings_watcher::SettingsReceiver;

/// Key of the row.
const RELAY_SET_KEY: &str = "relays";

/// Interval at which former relays are checked, and the longest time for one check.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The relays as the store has them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct RelaySet {
    /// Addresses in ascending order.
    relays: Vec<SocketAddr>,
    /// Relays of earlier sets that may still be in use. Invariant: ascending, none of `relays`.
    #[serde(default)]
    former: Vec<SocketAddr>,
    /// Those of `relays` that have been relays since before the last settled set was replaced.
    #[serde(default)]
    staying: Vec<SocketAddr>,
    /// Largest number of relays since then.
    #[serde(default)]
    most_relays: usize,
    /// Whether all VMs know the set.
    is_settled: bool,
}

impl RelaySet {
    /// Returns a set that all VMs know.
    fn settled(relays: &[SocketAddr]) -> Self {
        Self { relays: relays.to_vec(), is_settled: true, ..Self::default() }
    }

    /// Returns the set of `relays` in place of this one.
    fn replaced_by(&self, relays: &[SocketAddr]) -> Self {
        let earlier = self.relays.iter().chain(&self.former);
        let mut former: Vec<_> = earlier.copied().filter(|relay| !relays.contains(relay)).collect();
        former.sort_unstable();
        former.dedup();
        let (staying, most_relays) = match self.is_settled {
            true => (&self.relays, self.relays.len()),
            false => (&self.staying, self.most_relays),
        };
        Self {
            relays: relays.to_vec(),
            former,
            staying: staying.iter().copied().filter(|relay| relays.contains(relay)).collect(),
            most_relays: most_relays.max(relays.len()),
            is_settled: false,
        }
    }
}

/// A set that is recorded, with the version of its row.
struct RecordedSet {
    set: RelaySet,
    version: Option<u64>,
}

/// Ends the handovers of a relay.
pub(crate) struct RelayHandover {
    pub(crate) hub: Arc<RelayHub>,
    pub(crate) settings: SettingsReceiver,
    pub(crate) view: Arc<PlatformView>,
    pub(crate) timing: HostedTiming,
    /// Time after a change of the set until all VMs know of it.
    pub(crate) handover_time: Duration,
}

impl RelayHandover {
    /// Records the set of a relay that starts, and later changes, until the future is dropped.
    /// `is_first_start` says that no relay of the fleet has run before.
    pub(crate) async fn run(self, mut is_first_start: bool) {
        let mut settings = self.settings.clone();
        let mut relays = sorted_relays(&settings);
        loop {
            let settle = async {
                self.settle(&relays, is_first_start).await;
                pending::<()>().await;
            };
            let changed = async {
                loop {
                    if settings.changed().await.is_err() {
                        pending::<()>().await;
                    }
                    let changed = sorted_relays(&settings);
                    if changed != relays {
                        return changed;
                    }
                }
            };
            relays = tokio::select! {
                () = settle => return,
                changed = changed => changed,
            };
            is_first_start = false;
        }
    }

    /// Records a set, waits until its handover is over, and records that it is settled.
    async fn settle(&self, relays: &[SocketAddr], is_first_start: bool) {
        let earliest_end = Instant::now() + self.handover_time;
        let store = self.settings.borrow().store;
        let table = table_client(store, self.timing.store_call_timeout);
        let mut pause = self.timing.first_retry_pause;
        loop {
            match self.try_settle(&table, relays, earliest_end, is_first_start).await {
                Ok(true) => return,
                // Another VM has written the row meanwhile, maybe one with other settings.
                Ok(false) => {}
                Err(error) => {
                    self.view.metrics.store_failures.inc();
                    info!(self.view.log, "relay: can't record the set of relays; trying again";
                        "reason" => %error);
                }
            }
            sleep(jittered(pause)).await;
            pause = self.timing.max_failure_pause.min(pause * 2);
        }
    }

    /// Returns `false` if another VM has written the row meanwhile.
    async fn try_settle(
        &self,
        table: &TableClient,
        relays: &[SocketAddr],
        earliest_end: Instant,
        is_first_start: bool,
    ) -> Result<bool, StoreError> {
        let Some(RecordedSet { set, version }) = self.record(table, relays, is_first_start).await?
        else {
            return Ok(false);
        };
        if set.is_settled {
            let now = Instant::now();
            if self.hub.set_handover_end(now, now) {
                info!(self.view.log, "relay: the set of relays was settled before");
            }
            return Ok(true);
        }
        if set.staying.contains(&self.settings.borrow().relay) {
            self.hub.keep_part(set.most_relays, Instant::now());
        }
        self.wait_for_former(&set.former, earliest_end).await;
        Ok(self.write(table, &RelaySet::settled(relays), version).await?.is_some())
    }

    /// Records a set unless the store has it already; `None` if another VM has written the row
    /// meanwhile.
    async fn record(
        &self,
        table: &TableClient,
        relays: &[SocketAddr],
        is_first_start: bool,
    ) -> Result<Option<RecordedSet>, StoreError> {
        self.view.metrics.store_calls.inc();
        let row = table.read(RELAY_SET_KEY).await?;
        let version = row.as_ref().map(|row| row.version);
        // A row that can't be read is replaced like a missing one.
        let stored = row.and_then(|row| RelaySet::deserialize(row.value).ok()).unwrap_or_default();
        if stored.relays == relays {
            return Ok(Some(RecordedSet { set: stored, version }));
        }
        let set = match is_first_start {
            true => RelaySet::settled(relays),
            false => stored.replaced_by(relays),
        };
        let written = self.write(table, &set, version).await?;
        Ok(written.map(|version| RecordedSet { set, version: Some(version) }))
    }

    /// Writes a set if the row has a version, or doesn't exist if that is `None`. Returns the new
    /// version; `None` if another VM has written the row meanwhile.
    async fn write(
        &self,
        table: &TableClient,
        set: &RelaySet,
        version: Option<u64>,
    ) -> Result<Option<u64>, StoreError> {
        self.view.metrics.store_calls.inc();
        let condition = RowCondition { key: RELAY_SET_KEY.into(), version };
        let write = RowWrite::put(RELAY_SET_KEY, json!(set));
        let request = CommitRequest { conditions: vec![condition], writes: vec![write] };
        match table.commit(&request).await {
            CommitOutcome::Committed(version) => Ok(Some(version)),
            CommitOutcome::Conflict(_) => Ok(None),
            CommitOutcome::Unknown(error) => Err(error),
        }
    }

    /// Waits for the end of the handover, `earliest_end` or later: former relays that still serve
    /// subscribers prolong it, since their settings are late.
    async fn wait_for_former(&self, former: &[SocketAddr], earliest_end: Instant) {
        loop {
            let serving = join_all(former.iter().map(|relay| is_serving(*relay))).await;
            let now = Instant::now();
            if serving.contains(&true) {
                self.hub.set_handover_end(earliest_end.max(now + 3 * CHECK_INTERVAL), now);
            } else if now >= earliest_end {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}

fn sorted_relays(settings: &SettingsReceiver) -> Vec<SocketAddr> {
    let mut relays = settings.borrow().relays.clone();
    relays.sort_unstable();
    relays
}

/// Whether a VM accepts connections of subscribers.
async fn is_serving(relay: SocketAddr) -> bool {
    matches!(timeout(CHECK_INTERVAL, TcpStream::connect(relay)).await, Ok(Ok(_)))
}
