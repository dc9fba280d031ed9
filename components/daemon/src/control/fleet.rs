//! Leases a slot for this entry VM and tracks the members of the fleet.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::Instant;

use board::{Blackboard, FleetView};
use members::{SLOT_PREFIX, SlotLease};
use model::jittered;
use observe::{DaemonMetrics, Logger, info, warn};
use store::{CommitOutcome, StoreError, TableClient, TableRow};

/// Mean interval between scans of the slots.
const SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// Mean interval between scans of the slots while this VM holds none.
const NO_SLOT_SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// Messages to the fleet controller.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// Requests a scan of the slots.
    Scan,
    /// Result of a scan, with the time just before it was sent.
    Scanned(Instant, Result<Vec<TableRow>, StoreError>),
    /// Outcome of a write to this VM's slot.
    CommitFinished(CommitOutcome),
    /// Releases the slot. Replies once the attempt has finished.
    Release(RpcReplyPort<()>),
}

/// Dependencies of the fleet controller.
pub(crate) struct FleetArguments {
    pub(crate) lease: SlotLease,
    pub(crate) table: TableClient,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) slot_count: u32,
    pub(crate) log: Logger,
}

/// Actor that renews the slot lease and publishes the fleet's members.
pub(crate) struct FleetController;

/// State of the fleet controller.
pub(crate) struct FleetState {
    arguments: FleetArguments,
    is_scanning: bool,
    is_released: bool,
    had_slot: bool,
}

impl Actor for FleetController {
    type Msg = FleetMessage;
    type State = FleetState;
    type Arguments = FleetArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<FleetMessage>,
        arguments: FleetArguments,
    ) -> Result<FleetState, ActorProcessingErr> {
        myself.cast(FleetMessage::Scan)?;
        Ok(FleetState { arguments, is_scanning: false, is_released: false, had_slot: false })
    }

    async fn handle(
        &self,
        myself: ActorRef<FleetMessage>,
        message: FleetMessage,
        state: &mut FleetState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            FleetMessage::Scan => state.scan(&myself),
            FleetMessage::Scanned(started_at, rows) => {
                state.handle_scan_result(&myself, started_at, rows);
            }
            FleetMessage::CommitFinished(outcome) => {
                state.arguments.lease.apply_outcome(&outcome);
                state.publish_view();
            }
            FleetMessage::Release(reply) => state.release(reply).await,
        }
        Ok(())
    }
}

impl FleetState {
    fn scan(&mut self, myself: &ActorRef<FleetMessage>) {
        if self.is_released {
            return;
        }
        let has_slot = self.arguments.lease.held_slot(Instant::now()).is_some();
        let interval = if has_slot { SCAN_INTERVAL } else { NO_SLOT_SCAN_INTERVAL };
        let delay = jittered(interval);
        myself.send_after(delay, || FleetMessage::Scan);
        if self.is_scanning {
            return;
        }
        self.is_scanning = true;
        self.arguments.metrics.table_reads.inc();
        let (table, myself) = (self.arguments.table.clone(), myself.clone());
        tokio::spawn(async move {
            let started_at = Instant::now();
            let rows = table.scan_all(SLOT_PREFIX).await;
            let _ = myself.cast(FleetMessage::Scanned(started_at, rows));
        });
    }

    fn handle_scan_result(
        &mut self,
        myself: &ActorRef<FleetMessage>,
        started_at: Instant,
        rows: Result<Vec<TableRow>, StoreError>,
    ) {
        self.is_scanning = false;
        match rows {
            Ok(rows) => self.arguments.lease.apply_scan(&rows, started_at),
            Err(error) => {
                warn!(self.arguments.log, "fleet: can't read slots"; "reason" => %error);
                self.publish_view();
                return;
            }
        }
        self.publish_view();
        if self.is_released {
            return;
        }
        let request = self.arguments.lease.plan_commit(Instant::now(), &mut rand::rng());
        if let Some(request) = request {
            self.arguments.metrics.table_commits.inc();
            let (table, myself) = (self.arguments.table.clone(), myself.clone());
            tokio::spawn(async move {
                let outcome = table.commit(&request).await;
                let _ = myself.cast(FleetMessage::CommitFinished(outcome));
            });
        }
    }

    async fn release(&mut self, reply: RpcReplyPort<()>) {
        self.is_released = true;
        let request = self.arguments.lease.plan_release();
        self.publish_view();
        if let Some(request) = request {
            // If the commit fails, the lease expires by itself.
            let outcome = self.arguments.table.commit(&request).await;
            info!(self.arguments.log, "fleet: slot release finished";
                "outcome" => format!("{outcome:?}"));
        }
        // Sending fails if the shutdown no longer waits for the reply.
        let _ = reply.send(());
    }

    fn publish_view(&mut self) {
        let held_slot = self.arguments.lease.held_slot(Instant::now());
        if held_slot.is_some() != self.had_slot {
            self.had_slot = held_slot.is_some();
            let slot = held_slot.map(|held| held.slot);
            info!(self.arguments.log, "fleet: slot changed"; "slot" => format!("{slot:?}"));
        }
        let members = self.arguments.lease.members();
        self.arguments.metrics.members.set(members.len() as i64);
        self.arguments.board.set_fleet(FleetView {
            members,
            held_slot,
            slot_count: self.arguments.slot_count,
        });
    }
}
