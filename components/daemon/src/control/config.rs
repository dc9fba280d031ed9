//! Activates accepted configurations and decides whether the active one may still be served.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use board::{ActiveConfig, Blackboard, DrainNotice};
use members::{FreshnessTracker, PeerReport, ServingState};
use model::{FastMap, RevisionNumber, VmId, jittered};
use observe::{DaemonMetrics, Logger, error, info, warn};
use peers::{PeerAck, PeerEvent, PeerMessage, PeerOutbox};
use records::{ApplyOutcome, ChangeEntry, ConfigSnapshot, RoutingTable};
use store::{StoreError, TableClient};

use crate::control::peering::listed_entry_vm_addresses;
use crate::control::propagation::PropagationTracker;
use crate::control::table_update::{TableUpdate, read_table_update};

/// How long a confirmation that the configuration is the newest remains valid.
const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(8);

/// Mean interval between reads of the table's newest revision.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks whether the configuration may be served.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of changes kept in memory for peers that fetch them.
const MAX_RECENT_CHANGES: usize = 512;

/// Messages to the configuration controller.
#[derive(Debug)]
pub(crate) enum ConfigMessage {
    /// Requests a read of the table.
    Poll,
    /// Result of a read of the table, with the time just before the read was sent.
    Polled(Instant, Result<TableUpdate, StoreError>),
    /// Requests a check whether the configuration may be served.
    Evaluate,
    /// Event of a peer connection.
    PeerEvent(PeerEvent),
    /// The table accepted a write that this entry VM sent.
    WriteAccepted(ChangeEntry),
    /// This entry VM detected that a backend server is draining.
    ServerLeaving(DrainNotice),
}

/// Dependencies of the configuration controller.
pub(crate) struct ConfigArguments {
    pub(crate) table: TableClient,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) propagation: PropagationTracker,
    /// Epoch of the timestamps in heartbeats.
    pub(crate) stamp_epoch: Instant,
    pub(crate) log: Logger,
}

/// Actor that keeps the configuration up to date.
pub(crate) struct ConfigController;

/// State of the configuration controller.
pub(crate) struct ConfigState {
    arguments: ConfigArguments,
    snapshot: ConfigSnapshot,
    /// The newest changes, oldest first. Invariant: without gaps, and the last one has the
    /// snapshot's revision.
    recent_changes: VecDeque<ChangeEntry>,
    tracker: FreshnessTracker,
    outboxes: FastMap<VmId, PeerOutbox>,
    is_polling: bool,
    was_serving: bool,
    /// Whether the snapshot has a record that this version of the program can't read.
    has_unreadable_record: bool,
}

impl Actor for ConfigController {
    type Msg = ConfigMessage;
    type State = ConfigState;
    type Arguments = ConfigArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ConfigMessage>,
        arguments: ConfigArguments,
    ) -> Result<ConfigState, ActorProcessingErr> {
        myself.send_interval(EVALUATION_INTERVAL, || ConfigMessage::Evaluate);
        myself.cast(ConfigMessage::Poll)?;
        Ok(ConfigState {
            arguments,
            snapshot: ConfigSnapshot::default(),
            recent_changes: VecDeque::new(),
            tracker: FreshnessTracker::new(CONFIRMATION_VALIDITY),
            outboxes: FastMap::default(),
            is_polling: false,
            was_serving: false,
            has_unreadable_record: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<ConfigMessage>,
        message: ConfigMessage,
        state: &mut ConfigState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigMessage::Poll => state.poll(&myself),
            ConfigMessage::Polled(started_at, update) => {
                state.handle_table_update(started_at, update);
            }
            ConfigMessage::Evaluate => state.update_serving_state(),
            ConfigMessage::PeerEvent(event) => state.handle_peer_event(&myself, event),
            ConfigMessage::WriteAccepted(entry) => state.handle_accepted_write(&myself, entry),
            ConfigMessage::ServerLeaving(notice) => {
                state.send_to_all_peers(&PeerMessage::Leaving(notice.server));
            }
        }
        Ok(())
    }
}

impl ConfigState {
    /// Schedules the next poll and reads the table in a separate task, so that a slow table does
    /// not delay heartbeats.
    fn poll(&mut self, myself: &ActorRef<ConfigMessage>) {
        // Jitter keeps the VMs from reading the table all at once when it is reachable again.
        let delay = jittered(POLL_INTERVAL);
        myself.send_after(delay, || ConfigMessage::Poll);
        if self.is_polling {
            return;
        }
        self.is_polling = true;
        let (table, known_revision) = (self.arguments.table.clone(), self.snapshot.revision());
        let myself = myself.clone();
        self.arguments.metrics.table_reads.inc();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let update = read_table_update(&table, known_revision).await;
            // Sending fails only while the process exits.
            let _ = myself.cast(ConfigMessage::Polled(started_at, update));
        });
    }

    fn handle_table_update(
        &mut self,
        started_at: Instant,
        update: Result<TableUpdate, StoreError>,
    ) {
        self.is_polling = false;
        let update = match update {
            Ok(update) => update,
            Err(error) => {
                warn!(self.arguments.log, "config: can't read table"; "reason" => %error);
                return;
            }
        };
        let table_revision = update.revision;
        let previous_revision = self.snapshot.revision();
        update.apply_to(&mut self.snapshot);
        if self.snapshot.revision() > previous_revision {
            self.recent_changes.clear();
            self.activate_snapshot();
        }
        if self.snapshot.revision() >= table_revision {
            self.tracker.record_table_read(started_at);
        }
        self.update_serving_state();
    }

    fn handle_accepted_write(&mut self, myself: &ActorRef<ConfigMessage>, entry: ChangeEntry) {
        match self.apply_changes(std::slice::from_ref(&entry)) {
            ApplyOutcome::Gap => {
                // The missing changes were accepted through other entry VMs; the poll reads them.
                let _ = myself.cast(ConfigMessage::Poll);
            }
            ApplyOutcome::Applied | ApplyOutcome::AlreadyApplied => {}
        }
        self.send_to_all_peers(&PeerMessage::Changes(vec![entry]));
    }

    fn handle_peer_event(&mut self, myself: &ActorRef<ConfigMessage>, event: PeerEvent) {
        match event {
            PeerEvent::Connected(vm, outbox) => {
                info!(self.arguments.log, "peers: connected"; "peer" => %vm);
                self.outboxes.insert(vm, outbox);
            }
            PeerEvent::Disconnected(vm) => {
                self.outboxes.remove(&vm);
            }
            PeerEvent::Received(vm, message, outbox) => {
                self.handle_peer_message(myself, &vm, message, &outbox);
            }
        }
    }

    fn handle_peer_message(
        &mut self,
        myself: &ActorRef<ConfigMessage>,
        vm: &VmId,
        message: PeerMessage,
        outbox: &PeerOutbox,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                enqueue_message(outbox, PeerMessage::Ack(self.build_ack(Some(heartbeat.stamp_us))));
                self.fetch_if_newer(heartbeat.revision, outbox);
            }
            PeerMessage::Ack(ack) => {
                self.record_ack(vm, &ack);
                self.fetch_if_newer(ack.revision, outbox);
            }
            PeerMessage::Changes(entries) => {
                let outcome = self.apply_changes(&entries);
                enqueue_message(outbox, PeerMessage::Ack(self.build_ack(None)));
                if outcome == ApplyOutcome::Gap {
                    enqueue_message(outbox, PeerMessage::Fetch(self.snapshot.revision()));
                    let _ = myself.cast(ConfigMessage::Poll);
                }
            }
            PeerMessage::Fetch(known_revision) => {
                enqueue_message(outbox, self.build_fetch_response(known_revision));
            }
            PeerMessage::Records(revision, records) if revision > self.snapshot.revision() => {
                self.snapshot = ConfigSnapshot::new(revision, records);
                self.recent_changes.clear();
                self.activate_snapshot();
            }
            PeerMessage::Records(..) => {}
            PeerMessage::Leaving(server) => {
                self.arguments.board.send_notice(DrainNotice { server, is_local: false });
            }
        }
    }

    fn record_ack(&mut self, vm: &VmId, ack: &PeerAck) {
        self.arguments.propagation.record_revision(vm, ack.revision);
        let Some(stamp_us) = ack.stamp_us else {
            return;
        };
        let reported_at = self.arguments.stamp_epoch + Duration::from_micros(stamp_us);
        let confirmed_at =
            ack.table_age_ms.and_then(|age| reported_at.checked_sub(Duration::from_millis(age)));
        let report = PeerReport { reported_at, confirmed_at, revision: ack.revision };
        self.tracker.record_report(vm.clone(), report);
    }

    fn build_ack(&self, stamp_us: Option<u64>) -> PeerAck {
        let table_age_ms =
            self.tracker.local_confirmed_at().map(|at| at.elapsed().as_millis() as u64);
        PeerAck { revision: self.snapshot.revision(), table_age_ms, stamp_us }
    }

    fn fetch_if_newer(&self, revision: RevisionNumber, outbox: &PeerOutbox) {
        if revision > self.snapshot.revision() {
            enqueue_message(outbox, PeerMessage::Fetch(self.snapshot.revision()));
        }
    }

    fn build_fetch_response(&self, known_revision: RevisionNumber) -> PeerMessage {
        let newer: Vec<ChangeEntry> = self
            .recent_changes
            .iter()
            .filter(|entry| entry.revision > known_revision)
            .cloned()
            .collect();
        let is_gapless = newer.first().is_some_and(|first| first.revision == known_revision.next());
        if is_gapless || known_revision >= self.snapshot.revision() {
            return PeerMessage::Changes(newer);
        }
        let records = self.snapshot.records().cloned().collect();
        PeerMessage::Records(self.snapshot.revision(), records)
    }

    fn apply_changes(&mut self, entries: &[ChangeEntry]) -> ApplyOutcome {
        let previous_revision = self.snapshot.revision();
        let mut last_outcome = ApplyOutcome::AlreadyApplied;
        for entry in entries {
            last_outcome = self.snapshot.apply(entry);
            match last_outcome {
                ApplyOutcome::Applied => self.push_recent_change(entry),
                ApplyOutcome::Gap => break,
                ApplyOutcome::AlreadyApplied => {}
            }
        }
        if self.snapshot.revision() > previous_revision {
            self.activate_snapshot();
        }
        last_outcome
    }

    fn push_recent_change(&mut self, entry: &ChangeEntry) {
        self.recent_changes.push_back(entry.clone());
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    fn activate_snapshot(&mut self) {
        let revision = self.snapshot.revision();
        match RoutingTable::compile(&self.snapshot) {
            Ok(routing) => {
                let config = ActiveConfig { snapshot: self.snapshot.clone(), routing };
                self.arguments.board.set_config(config);
                self.arguments.metrics.config_revision.set(revision.0 as i64);
                self.has_unreadable_record = false;
                info!(self.arguments.log, "config: in force"; "revision" => revision.0);
            }
            Err(faults) => {
                // The active routes may be outdated, so this VM stops serving.
                self.has_unreadable_record = true;
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                error!(self.arguments.log,
                    "config: records can't be read by this version; serving stops";
                    "revision" => revision.0, "faults" => faults.join("; "));
            }
        }
    }

    fn update_serving_state(&mut self) {
        let board = &self.arguments.board;
        let fleet = board.fleet();
        let is_known_peer = |vm: &VmId| fleet.is_member(vm) || self.outboxes.contains_key(vm);
        self.tracker.retain_peers(is_known_peer);
        self.arguments.propagation.retain_members(is_known_peer);
        let member_count = match fleet.members.len() {
            0 => listed_entry_vm_addresses(board).len(),
            count => count,
        };
        let now = Instant::now();
        let state = match self.has_unreadable_record {
            true => ServingState::Stale,
            false => self.tracker.serving_state(now, self.snapshot.revision(), member_count),
        };
        match state {
            ServingState::Fresh(until) | ServingState::Outage(until) => {
                board.set_config_expiry(until);
            }
            ServingState::Stale => {}
        }
        if self.has_unreadable_record {
            board.set_config_expiry(now);
        }
        let is_serving = board.has_valid_config(now);
        if is_serving != self.was_serving {
            self.was_serving = is_serving;
            info!(self.arguments.log, "config: serving state changed"; "serving" => is_serving,
                "revision" => self.snapshot.revision().0, "state" => format!("{state:?}"));
        }
    }

    fn send_to_all_peers(&self, message: &PeerMessage) {
        for outbox in self.outboxes.values() {
            enqueue_message(outbox, message.clone());
        }
    }
}

/// Queues a message, or drops it if the outbox is full. The next heartbeat compensates for the
/// loss: it carries the revision, and a peer with an older one fetches the changes.
fn enqueue_message(outbox: &PeerOutbox, message: PeerMessage) {
    let _ = outbox.try_send(message);
}
