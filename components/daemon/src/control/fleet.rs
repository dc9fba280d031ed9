//! Holds this entry VM's slot and follows the other members.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::Instant;

use board::{Blackboard, FleetView};
use members::{SLOT_PREFIX, SlotLease};
use model::jittered;
use observe::{DaemonMetrics, Logger, info, warn};
use store::{CommitOutcome, StoreError, TableClient, TableRow};

/// Mean time between two looks at the slots.
const SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two looks until a slot is held.
const EAGER_INTERVAL: Duration = Duration::from_millis(500);

/// Messages to the controller.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// Time to look at the slots.
    Scan,
    /// A look that began then has ended.
    Scanned(Instant, Result<Vec<TableRow>, StoreError>),
    /// A write to this VM's slot has ended.
    Settled(CommitOutcome),
    /// Gives the slot back; answered when that has ended.
    Release(RpcReplyPort<()>),
}

/// What the controller works with.
pub(crate) struct FleetArguments {
    pub(crate) lease: SlotLease,
    pub(crate) table: TableClient,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) slots: u32,
    pub(crate) log: Logger,
}

/// The controller.
pub(crate) struct FleetController;

/// What the controller knows.
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
            FleetMessage::Scanned(begun_at, rows) => state.take_scan(&myself, begun_at, rows),
            FleetMessage::Settled(outcome) => {
                state.arguments.lease.apply_outcome(&outcome);
                state.publish();
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
        let held = self.arguments.lease.held_slot(Instant::now()).is_some();
        let interval = if held { SCAN_INTERVAL } else { EAGER_INTERVAL };
        let pause = jittered(interval);
        myself.send_after(pause, || FleetMessage::Scan);
        if self.is_scanning {
            return;
        }
        self.is_scanning = true;
        self.arguments.metrics.table_reads.inc();
        let (table, myself) = (self.arguments.table.clone(), myself.clone());
        tokio::spawn(async move {
            let begun_at = Instant::now();
            let rows = table.scan_all(SLOT_PREFIX).await;
            let _ = myself.cast(FleetMessage::Scanned(begun_at, rows));
        });
    }

    fn take_scan(
        &mut self,
        myself: &ActorRef<FleetMessage>,
        begun_at: Instant,
        rows: Result<Vec<TableRow>, StoreError>,
    ) {
        self.is_scanning = false;
        match rows {
            Ok(rows) => self.arguments.lease.apply_scan(&rows, begun_at),
            Err(error) => {
                warn!(self.arguments.log, "fleet: slots can't be read"; "reason" => %error);
                self.publish();
                return;
            }
        }
        self.publish();
        if self.is_released {
            return;
        }
        let plan = self.arguments.lease.plan_commit(Instant::now(), &mut rand::rng());
        if let Some(request) = plan {
            self.arguments.metrics.table_commits.inc();
            let (table, myself) = (self.arguments.table.clone(), myself.clone());
            tokio::spawn(async move {
                let outcome = table.commit(&request).await;
                let _ = myself.cast(FleetMessage::Settled(outcome));
            });
        }
    }

    async fn release(&mut self, reply: RpcReplyPort<()>) {
        self.is_released = true;
        let plan = self.arguments.lease.plan_release();
        self.publish();
        if let Some(request) = plan {
            // If it fails, the lease lapses by itself.
            let outcome = self.arguments.table.commit(&request).await;
            info!(self.arguments.log, "fleet: slot given back"; "outcome" => format!("{outcome:?}"));
        }
        // The shutdown may have stopped waiting.
        let _ = reply.send(());
    }

    fn publish(&mut self) {
        let held = self.arguments.lease.held_slot(Instant::now());
        if held.is_some() != self.had_slot {
            self.had_slot = held.is_some();
            let slot = held.map(|held| held.slot);
            info!(self.arguments.log, "fleet: slot changed"; "slot" => format!("{slot:?}"));
        }
        let members = self.arguments.lease.members();
        self.arguments.metrics.members.set(members.len() as i64);
        self.arguments.board.set_fleet(FleetView {
            members,
            held_slot: held,
            slot_count: self.arguments.slots,
        });
    }
}
