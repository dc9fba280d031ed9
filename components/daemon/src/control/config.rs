//! Brings accepted configurations into force and decides whether they may still be served.

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

use crate::control::catch_up::{CatchUpNews, catch_up};
use crate::control::peering::listed_entry_vms;
use crate::control::propagation::PropagationView;

/// Time for which a confirmation of the configuration is good.
const CONFIRMATION_TIME: Duration = Duration::from_secs(8);

/// Mean time between two looks at the table's newest revision.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two decisions whether the configuration may be served.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(250);

/// Changes kept in memory for peers that fetch them.
const KEPT_CHANGES: usize = 512;

/// Messages to the controller.
#[derive(Debug)]
pub(crate) enum ConfigMessage {
    /// Time to read the table.
    Poll,
    /// A read of the table that began then has ended.
    Polled(Instant, Result<CatchUpNews, StoreError>),
    /// Time to decide whether the configuration may be served.
    Evaluate,
    /// Something happened on a peer connection.
    Peer(PeerEvent),
    /// This entry VM had a write accepted by the table.
    Accepted(ChangeEntry),
    /// A backend server is leaving.
    Drain(DrainNotice),
}

/// What the controller works with.
pub(crate) struct ConfigArguments {
    pub(crate) table: TableClient,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) propagation: PropagationView,
    /// Zero of the stamps in heartbeats.
    pub(crate) stamp_base: Instant,
    pub(crate) log: Logger,
}

/// The controller.
pub(crate) struct ConfigController;

/// What the controller knows.
pub(crate) struct ConfigState {
    arguments: ConfigArguments,
    snapshot: ConfigSnapshot,
    /// The newest changes. Invariant: without gaps, and the last one is the snapshot's revision.
    recent: VecDeque<ChangeEntry>,
    tracker: FreshnessTracker,
    outboxes: FastMap<VmId, PeerOutbox>,
    is_polling: bool,
    was_serving: bool,
    /// Whether the snapshot has a record that this program can't read.
    is_unreadable: bool,
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
        myself.send_interval(EVALUATE_INTERVAL, || ConfigMessage::Evaluate);
        myself.cast(ConfigMessage::Poll)?;
        Ok(ConfigState {
            arguments,
            snapshot: ConfigSnapshot::default(),
            recent: VecDeque::new(),
            tracker: FreshnessTracker::new(CONFIRMATION_TIME),
            outboxes: FastMap::default(),
            is_polling: false,
            was_serving: false,
            is_unreadable: false,
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
            ConfigMessage::Polled(begun_at, news) => state.take_news(begun_at, news),
            ConfigMessage::Evaluate => state.update_serving(),
            ConfigMessage::Peer(event) => state.take_event(&myself, event),
            ConfigMessage::Accepted(entry) => state.take_accepted(&myself, entry),
            ConfigMessage::Drain(notice) => state.tell_peers(&PeerMessage::Leaving(notice.server)),
        }
        Ok(())
    }
}

impl ConfigState {
    /// Reads the table in a task of its own, so that a slow table holds up no heartbeat.
    fn poll(&mut self, myself: &ActorRef<ConfigMessage>) {
        // Jitter keeps a fleet from reading a returning table all at once.
        let pause = jittered(POLL_INTERVAL);
        myself.send_after(pause, || ConfigMessage::Poll);
        if self.is_polling {
            return;
        }
        self.is_polling = true;
        let (table, known) = (self.arguments.table.clone(), self.snapshot.revision());
        let myself = myself.clone();
        self.arguments.metrics.table_reads.inc();
        tokio::spawn(async move {
            let begun_at = Instant::now();
            let news = catch_up(&table, known).await;
            // The controller ends only with the process.
            let _ = myself.cast(ConfigMessage::Polled(begun_at, news));
        });
    }

    fn take_news(&mut self, begun_at: Instant, news: Result<CatchUpNews, StoreError>) {
        self.is_polling = false;
        let news = match news {
            Ok(news) => news,
            Err(error) => {
                warn!(self.arguments.log, "config: table can't be read"; "reason" => %error);
                return;
            }
        };
        let newest = news.revision;
        let before = self.snapshot.revision();
        news.apply_to(&mut self.snapshot);
        if self.snapshot.revision() > before {
            self.recent.clear();
            self.put_in_force();
        }
        if self.snapshot.revision() >= newest {
            self.tracker.record_table_read(begun_at);
        }
        self.update_serving();
    }

    fn take_accepted(&mut self, myself: &ActorRef<ConfigMessage>, entry: ChangeEntry) {
        match self.apply_changes(std::slice::from_ref(&entry)) {
            ApplyOutcome::Gap => {
                // The changes before it were accepted elsewhere and are still to be read.
                let _ = myself.cast(ConfigMessage::Poll);
            }
            ApplyOutcome::Applied | ApplyOutcome::Known => {}
        }
        self.tell_peers(&PeerMessage::Changes(vec![entry]));
    }

    fn take_event(&mut self, myself: &ActorRef<ConfigMessage>, event: PeerEvent) {
        match event {
            PeerEvent::Connected(vm, outbox) => {
                info!(self.arguments.log, "peers: connected"; "peer" => %vm);
                self.outboxes.insert(vm, outbox);
            }
            PeerEvent::Disconnected(vm) => {
                self.outboxes.remove(&vm);
            }
            PeerEvent::Received(vm, message, outbox) => {
                self.take_message(myself, &vm, message, &outbox);
            }
        }
    }

    fn take_message(
        &mut self,
        myself: &ActorRef<ConfigMessage>,
        vm: &VmId,
        message: PeerMessage,
        outbox: &PeerOutbox,
    ) {
        match message {
            PeerMessage::Heartbeat(beat) => {
                answer(outbox, PeerMessage::Ack(self.echo(Some(beat.stamp_us))));
                self.fetch_if_newer(beat.revision, outbox);
            }
            PeerMessage::Ack(echo) => {
                self.take_echo(vm, &echo);
                self.fetch_if_newer(echo.revision, outbox);
            }
            PeerMessage::Changes(entries) => {
                let outcome = self.apply_changes(&entries);
                answer(outbox, PeerMessage::Ack(self.echo(None)));
                if outcome == ApplyOutcome::Gap {
                    answer(outbox, PeerMessage::Fetch(self.snapshot.revision()));
                    let _ = myself.cast(ConfigMessage::Poll);
                }
            }
            PeerMessage::Fetch(known) => answer(outbox, self.changes_after(known)),
            PeerMessage::Records(revision, records) if revision > self.snapshot.revision() => {
                self.snapshot = ConfigSnapshot::new(revision, records);
                self.recent.clear();
                self.put_in_force();
            }
            PeerMessage::Records(..) => {}
            PeerMessage::Leaving(server) => {
                self.arguments.board.send_notice(DrainNotice { server, is_own: false });
            }
        }
    }

    fn take_echo(&mut self, vm: &VmId, echo: &PeerAck) {
        self.arguments.propagation.hear(vm, echo.revision);
        let Some(stamp_us) = echo.stamp_us else {
            return;
        };
        let reported_at = self.arguments.stamp_base + Duration::from_micros(stamp_us);
        let confirmed_at =
            echo.table_age_ms.and_then(|age| reported_at.checked_sub(Duration::from_millis(age)));
        let report = PeerReport { reported_at, confirmed_at, revision: echo.revision };
        self.tracker.record_report(vm.clone(), report);
    }

    fn echo(&self, stamp_us: Option<u64>) -> PeerAck {
        let table_age_ms =
            self.tracker.local_confirmed_at().map(|at| at.elapsed().as_millis() as u64);
        PeerAck { revision: self.snapshot.revision(), table_age_ms, stamp_us }
    }

    fn fetch_if_newer(&self, revision: RevisionNumber, outbox: &PeerOutbox) {
        if revision > self.snapshot.revision() {
            answer(outbox, PeerMessage::Fetch(self.snapshot.revision()));
        }
    }

    fn changes_after(&self, known: RevisionNumber) -> PeerMessage {
        let later: Vec<ChangeEntry> =
            self.recent.iter().filter(|entry| entry.revision > known).cloned().collect();
        let reaches_back = later.first().is_some_and(|first| first.revision == known.next());
        if reaches_back || known >= self.snapshot.revision() {
            return PeerMessage::Changes(later);
        }
        let records = self.snapshot.records().cloned().collect();
        PeerMessage::Records(self.snapshot.revision(), records)
    }

    fn apply_changes(&mut self, entries: &[ChangeEntry]) -> ApplyOutcome {
        let before = self.snapshot.revision();
        let mut last = ApplyOutcome::Known;
        for entry in entries {
            last = self.snapshot.apply(entry);
            match last {
                ApplyOutcome::Applied => self.keep_change(entry),
                ApplyOutcome::Gap => break,
                ApplyOutcome::Known => {}
            }
        }
        if self.snapshot.revision() > before {
            self.put_in_force();
        }
        last
    }

    fn keep_change(&mut self, entry: &ChangeEntry) {
        self.recent.push_back(entry.clone());
        if self.recent.len() > KEPT_CHANGES {
            self.recent.pop_front();
        }
    }

    fn put_in_force(&mut self) {
        let revision = self.snapshot.revision();
        match RoutingTable::compile(&self.snapshot) {
            Ok(routing) => {
                let config = ActiveConfig { snapshot: self.snapshot.clone(), routing };
                self.arguments.board.set_config(config);
                self.arguments.metrics.config_revision.set(revision.0 as i64);
                self.is_unreadable = false;
                info!(self.arguments.log, "config: in force"; "revision" => revision.0);
            }
            Err(faults) => {
                // The former routes may be old now, so this VM stops serving.
                self.is_unreadable = true;
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                error!(self.arguments.log, "config: can't be read by this version";
                    "revision" => revision.0, "faults" => faults.join("; "));
            }
        }
    }

    fn update_serving(&mut self) {
        let board = &self.arguments.board;
        let fleet = board.fleet();
        let is_known = |vm: &VmId| fleet.is_member(vm) || self.outboxes.contains_key(vm);
        self.tracker.retain_peers(is_known);
        self.arguments.propagation.retain(is_known);
        let members = match fleet.members.len() {
            0 => listed_entry_vms(board).len(),
            count => count,
        };
        let now = Instant::now();
        let state = match self.is_unreadable {
            true => ServingState::Stale,
            false => self.tracker.serving_state(now, self.snapshot.revision(), members),
        };
        match state {
            ServingState::Fresh(until) | ServingState::Outage(until) => {
                board.set_serve_until(until);
            }
            ServingState::Stale => {}
        }
        if self.is_unreadable {
            board.set_serve_until(now);
        }
        let is_serving = board.may_serve(now);
        if is_serving != self.was_serving {
            self.was_serving = is_serving;
            info!(self.arguments.log, "config: serving changed"; "serving" => is_serving,
                "revision" => self.snapshot.revision().0, "state" => format!("{state:?}"));
        }
    }

    fn tell_peers(&self, message: &PeerMessage) {
        for outbox in self.outboxes.values() {
            answer(outbox, message.clone());
        }
    }
}

/// Puts a message into an outbox; a full one loses it, and the next heartbeat makes up for it.
fn answer(outbox: &PeerOutbox, message: PeerMessage) {
    let _ = outbox.try_send(message);
}
