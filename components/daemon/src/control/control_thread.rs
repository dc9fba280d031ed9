//! Starts and stops the control thread and its tasks.

use std::sync::Arc;
use std::thread;

use ractor::{Actor, ActorRef};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant};

use members::{LeaseTiming, MemberRow, SlotLease};
use observe::{error, info};
use peers::{PeerIdentity, accept_peers};

use crate::control::claim_expiry::delete_expired_claims;
use crate::control::config::{ConfigArguments, ConfigController, ConfigMessage};
use crate::control::cpu_time::thread_cpu_seconds;
use crate::control::fleet::{FleetArguments, FleetController, FleetMessage};
use crate::control::peering::{PeeringArguments, maintain_peer_connections};
use crate::control::probing::{ProbeArguments, run_probes};
use crate::control::propagation::PropagationTracker;
use crate::control::server_list::poll_server_list;
use crate::operators::{OperatorApi, serve_operators};
use crate::run::{DaemonError, SharedContext, listen, start_error};

/// Maximum number of peer events queued for the configuration controller.
const PEER_EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Maximum time for the release of the slot at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Handle of the control thread, held by the data runtime.
pub(crate) struct ControlThread {
    stop_sender: Option<oneshot::Sender<()>>,
    end_receiver: oneshot::Receiver<()>,
}

impl ControlThread {
    /// Starts the thread. Its listeners are open when this returns.
    pub(crate) fn start(
        shared: &SharedContext,
        data_runtime: &Runtime,
    ) -> Result<Self, DaemonError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| start_error("control runtime", &error))?;
        let settings = &shared.settings;
        let operators = runtime.block_on(listen(settings.operators, "operators"))?;
        let peers = runtime.block_on(listen(settings.peers, "peers"))?;
        let (stop_sender, stop_receiver) = oneshot::channel();
        let (end_sender, end_receiver) = oneshot::channel();
        let (shared, data_runtime) = (shared.clone(), data_runtime.handle().clone());
        thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                runtime.block_on(run_control_tasks(
                    shared,
                    data_runtime,
                    operators,
                    peers,
                    stop_receiver,
                ));
                // Dropping the sender notifies the data runtime, also after a panic.
                drop(end_sender);
            })
            .map_err(|error| start_error("control thread", &error))?;
        Ok(Self { stop_sender: Some(stop_sender), end_receiver })
    }

    /// Waits until the thread has ended.
    pub(crate) async fn wait_until_ended(&mut self) {
        let _ = (&mut self.end_receiver).await;
    }

    /// Releases the slot and ends the thread.
    pub(crate) async fn stop(mut self) {
        if let Some(sender) = self.stop_sender.take() {
            // Sending fails only if the control thread has already ended.
            let _ = sender.send(());
        }
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, self.end_receiver).await;
    }
}

async fn run_control_tasks(
    shared: SharedContext,
    data_runtime: Handle,
    operators: TcpListener,
    peers: TcpListener,
    stop_receiver: oneshot::Receiver<()>,
) {
    let mut tasks = JoinSet::new();
    let (config, fleet) = match start_controllers(&shared).await {
        Ok(started) => started,
        Err(reason) => {
            error!(shared.log, "daemon: can't start controllers"; "reason" => %reason);
            return;
        }
    };
    let propagation = config.propagation.clone();
    spawn_peer_tasks(&mut tasks, &shared, &config, peers);
    spawn_notice_forwarding(&mut tasks, &shared, config.actor.clone());
    tasks.spawn(poll_server_list(
        shared.clients.list.clone(),
        Arc::clone(&shared.board),
        shared.log.clone(),
    ));
    tasks.spawn(run_probes(ProbeArguments {
        board: Arc::clone(&shared.board),
        services: Arc::clone(&shared.services),
        metrics: shared.metrics.clone(),
        data_runtime,
    }));
    tasks.spawn(delete_expired_claims(
        shared.settings.vm.clone(),
        shared.clients.table.clone(),
        Arc::clone(&shared.board),
        shared.metrics.clone(),
        shared.log.clone(),
    ));
    let api = Arc::new(OperatorApi {
        vm: shared.settings.vm.clone(),
        table: shared.clients.table.clone(),
        list: shared.clients.list.clone(),
        board: Arc::clone(&shared.board),
        config: config.actor.clone(),
        propagation,
        metrics: shared.metrics.clone(),
        first_key_sha256: shared.settings.first_key_sha256.to_ascii_lowercase().into(),
        log: shared.log.clone(),
    });
    tasks.spawn(serve_operators(operators, api));
    tokio::select! {
        _ = stop_receiver => {}
        _ = tasks.join_next() => {
            error!(shared.log, "daemon: control task ended unexpectedly");
            return;
        }
    }
    // The slot is released only after the callers' connections have ended, because the data runtime
    // requests the stop then. No probe is scheduled once the release has started.
    let _ = ractor::call_t!(fleet, FleetMessage::Release, RELEASE_TIMEOUT.as_millis() as u64);
    if let Some(seconds) = thread_cpu_seconds() {
        info!(shared.log, "daemon: control thread stopping"; "cpu_seconds" => seconds);
    }
}

/// The configuration controller and the state that it shares with other tasks.
struct ConfigHandle {
    actor: ActorRef<ConfigMessage>,
    propagation: PropagationTracker,
    stamp_epoch: Instant,
}

async fn start_controllers(
    shared: &SharedContext,
) -> Result<(ConfigHandle, ActorRef<FleetMessage>), ractor::SpawnErr> {
    let settings = &shared.settings;
    let propagation = PropagationTracker::new();
    let stamp_epoch = Instant::now();
    let arguments = ConfigArguments {
        table: shared.clients.table.clone(),
        board: Arc::clone(&shared.board),
        metrics: shared.metrics.clone(),
        propagation: propagation.clone(),
        stamp_epoch,
        log: shared.log.clone(),
    };
    let (config, _) = Actor::spawn(None, ConfigController, arguments).await?;
    let row = MemberRow::new(settings.vm.clone(), settings.peers, settings.zone.clone());
    let arguments = FleetArguments {
        lease: SlotLease::new(row, settings.fleet_slots, LeaseTiming::default()),
        table: shared.clients.table.clone(),
        board: Arc::clone(&shared.board),
        metrics: shared.metrics.clone(),
        slot_count: settings.fleet_slots,
        log: shared.log.clone(),
    };
    let (fleet, _) = Actor::spawn(None, FleetController, arguments).await?;
    Ok((ConfigHandle { actor: config, propagation, stamp_epoch }, fleet))
}

fn spawn_peer_tasks(
    tasks: &mut JoinSet<()>,
    shared: &SharedContext,
    config: &ConfigHandle,
    listener: TcpListener,
) {
    let settings = &shared.settings;
    let identity = PeerIdentity::new(settings.vm.clone(), &settings.peer_key);
    let (events, mut event_receiver) = mpsc::channel(PEER_EVENT_QUEUE_CAPACITY);
    tasks.spawn(accept_peers(
        listener,
        identity.clone(),
        events.clone(),
        shared.metrics.clone(),
        shared.log.clone(),
    ));
    tasks.spawn(maintain_peer_connections(PeeringArguments {
        identity,
        local_address: settings.peers,
        board: Arc::clone(&shared.board),
        events,
        metrics: shared.metrics.clone(),
        stamp_epoch: config.stamp_epoch,
        log: shared.log.clone(),
    }));
    let actor = config.actor.clone();
    tasks.spawn(async move {
        while let Some(event) = event_receiver.recv().await {
            if actor.cast(ConfigMessage::PeerEvent(event)).is_err() {
                return;
            }
        }
    });
}

/// Notifies peers of draining backend servers, but only of drains that this VM detected itself.
fn spawn_notice_forwarding(
    tasks: &mut JoinSet<()>,
    shared: &SharedContext,
    actor: ActorRef<ConfigMessage>,
) {
    let mut notices = shared.board.watch_notices();
    tasks.spawn(async move {
        loop {
            match notices.recv().await {
                Ok(notice) if notice.is_local => {
                    if actor.cast(ConfigMessage::ServerLeaving(notice)).is_err() {
                        return;
                    }
                }
                // Notices from peers are not forwarded. A missed notice only delays the drain until
                // the platform's list of backend servers shows it.
                Ok(_) | Err(tokio::sync::broadcast::error::RecvError::Lagged(_)) => {}
                Err(tokio::sync::broadcast::error::RecvError::Closed) => return,
            }
        }
    });
}
