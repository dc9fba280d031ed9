//! Starts the control thread and everything on it.

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

use crate::control::config::{ConfigArguments, ConfigController, ConfigMessage};
use crate::control::fleet::{FleetArguments, FleetController, FleetMessage};
use crate::control::listing::follow_list;
use crate::control::peering::{PeeringArguments, run_peering};
use crate::control::probing::{ProbeArguments, run_probes};
use crate::control::propagation::PropagationView;
use crate::control::sweeping::sweep_claims;
use crate::control::thread::control_cpu_seconds;
use crate::operators::{OperatorApi, serve_operators};
use crate::run::{DaemonFault, SharedContext, listen, start_fault};

/// Events of peer connections that may wait for the configuration controller.
const PEER_EVENTS: usize = 1_024;

/// Longest time that the control thread takes to give back its slot.
const RELEASE_TIME: Duration = Duration::from_secs(3);

/// The control thread, seen from the data runtime.
pub(crate) struct ControlThread {
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<()>,
}

impl ControlThread {
    /// Starts the thread; its listeners are open when this returns.
    pub(crate) fn start(shared: &SharedContext, data: &Runtime) -> Result<Self, DaemonFault> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| start_fault("control runtime", &error))?;
        let settings = &shared.settings;
        let operators = runtime.block_on(listen(settings.operators, "operators"))?;
        let peers = runtime.block_on(listen(settings.peers, "peers"))?;
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let (shared, data) = (shared.clone(), data.handle().clone());
        thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                runtime.block_on(run_control(shared, data, operators, peers, stopped));
                // Dropping the sender tells the data runtime, also after a panic.
                drop(end);
            })
            .map_err(|error| start_fault("control thread", &error))?;
        Ok(Self { stop: Some(stop), ended })
    }

    /// Waits until the thread ends.
    pub(crate) async fn ended(&mut self) {
        let _ = (&mut self.ended).await;
    }

    /// Gives the slot back and ends the thread.
    pub(crate) async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            // A control thread that has ended needs no telling.
            let _ = stop.send(());
        }
        let _ = tokio::time::timeout(RELEASE_TIME, self.ended).await;
    }
}

async fn run_control(
    shared: SharedContext,
    data: Handle,
    operators: TcpListener,
    peers: TcpListener,
    stopped: oneshot::Receiver<()>,
) {
    let mut tasks = JoinSet::new();
    let (config, fleet) = match start_controllers(&shared).await {
        Ok(started) => started,
        Err(reason) => {
            error!(shared.log, "daemon: controllers can't start"; "reason" => %reason);
            return;
        }
    };
    let propagation = config.propagation.clone();
    spawn_peers(&mut tasks, &shared, &config, peers);
    spawn_notices(&mut tasks, &shared, config.actor.clone());
    tasks.spawn(follow_list(
        shared.clients.list.clone(),
        Arc::clone(&shared.board),
        shared.log.clone(),
    ));
    tasks.spawn(run_probes(ProbeArguments {
        board: Arc::clone(&shared.board),
        services: Arc::clone(&shared.services),
        metrics: shared.metrics.clone(),
        data,
    }));
    tasks.spawn(sweep_claims(
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
        _ = stopped => {}
        _ = tasks.join_next() => {
            error!(shared.log, "daemon: a control task ended");
            return;
        }
    }
    // The slot goes back only after the last probe and connection.
    let _ = ractor::call_t!(fleet, FleetMessage::Release, RELEASE_TIME.as_millis() as u64);
    if let Some(seconds) = control_cpu_seconds() {
        info!(shared.log, "daemon: control thread ends"; "cpu_seconds" => seconds);
    }
}

/// The configuration controller and what others need to work with it.
struct ConfigHandle {
    actor: ActorRef<ConfigMessage>,
    propagation: PropagationView,
    stamp_base: Instant,
}

async fn start_controllers(
    shared: &SharedContext,
) -> Result<(ConfigHandle, ActorRef<FleetMessage>), ractor::SpawnErr> {
    let settings = &shared.settings;
    let propagation = PropagationView::new();
    let stamp_base = Instant::now();
    let arguments = ConfigArguments {
        table: shared.clients.table.clone(),
        board: Arc::clone(&shared.board),
        metrics: shared.metrics.clone(),
        propagation: propagation.clone(),
        stamp_base,
        log: shared.log.clone(),
    };
    let (config, _) = Actor::spawn(None, ConfigController, arguments).await?;
    let row = MemberRow::new(settings.vm.clone(), settings.peers, settings.zone.clone());
    let arguments = FleetArguments {
        lease: SlotLease::new(row, settings.fleet_slots, LeaseTiming::default()),
        table: shared.clients.table.clone(),
        board: Arc::clone(&shared.board),
        metrics: shared.metrics.clone(),
        slots: settings.fleet_slots,
        log: shared.log.clone(),
    };
    let (fleet, _) = Actor::spawn(None, FleetController, arguments).await?;
    Ok((ConfigHandle { actor: config, propagation, stamp_base }, fleet))
}

fn spawn_peers(
    tasks: &mut JoinSet<()>,
    shared: &SharedContext,
    config: &ConfigHandle,
    listener: TcpListener,
) {
    let settings = &shared.settings;
    let identity = PeerIdentity::new(settings.vm.clone(), &settings.peer_key);
    let (events, mut received) = mpsc::channel(PEER_EVENTS);
    tasks.spawn(accept_peers(
        listener,
        identity.clone(),
        events.clone(),
        shared.metrics.clone(),
        shared.log.clone(),
    ));
    tasks.spawn(run_peering(PeeringArguments {
        identity,
        own_address: settings.peers,
        board: Arc::clone(&shared.board),
        events,
        metrics: shared.metrics.clone(),
        stamp_base: config.stamp_base,
        log: shared.log.clone(),
    }));
    let actor = config.actor.clone();
    tasks.spawn(async move {
        while let Some(event) = received.recv().await {
            if actor.cast(ConfigMessage::Peer(event)).is_err() {
                return;
            }
        }
    });
}

/// Tells peers of the signs of leaving that this VM saw itself.
fn spawn_notices(tasks: &mut JoinSet<()>, shared: &SharedContext, actor: ActorRef<ConfigMessage>) {
    let mut notices = shared.board.watch_notices();
    tasks.spawn(async move {
        loop {
            match notices.recv().await {
                Ok(notice) if notice.is_local => {
                    if actor.cast(ConfigMessage::Drain(notice)).is_err() {
                        return;
                    }
                }
                // A lost sign comes again with the platform's list.
                Ok(_) | Err(tokio::sync::broadcast::error::RecvError::Lagged(_)) => {}
                Err(tokio::sync::broadcast::error::RecvError::Closed) => return,
            }
        }
    });
}
