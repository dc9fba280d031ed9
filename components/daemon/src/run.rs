//! Starts the daemon's parts and ends them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use derive_more::{Display, Error};
use ractor::{Actor, ActorRef};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, interval};

use balance::BalanceOptions;
use board::Blackboard;
use members::{LeaseTimes, MemberRow, SlotLease};
use observe::{DaemonMetrics, Logger, TraceExporter, error, info, start_logs};
use peers::{PeerIdentity, accept_peers};
use platform::{ListClient, TableClient};
use proxy::{CallerListener, ClaimDesk, ListenerLimits, RequestHandler, ServiceTable, run_claims};
use settings::DaemonSettings;

use crate::control::{
    ConfigArguments, ConfigController, ConfigMessage, FleetArguments, FleetController,
    FleetMessage, PeeringArguments, ProbeArguments, SpreadView, control_cpu_seconds, follow_list,
    run_peering, run_probes, sweep_claims,
};
use crate::operators::{OperatorDesk, serve_operators};
use crate::shutdown::StopSignals;

/// Events of peer connections that may wait for the configuration controller.
const PEER_EVENTS: usize = 1_024;

/// Time between two checks of services, servers and connections.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that the control thread takes to give back its slot.
const RELEASE_TIME: Duration = Duration::from_secs(3);

/// Why the daemon could not start or go on.
#[derive(Debug, Display, Error)]
pub enum DaemonFault {
    /// A listener could not be opened.
    #[display("can't listen on {address} for {purpose}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system said.
        reason: Box<str>,
    },
    /// A runtime or thread could not be started.
    #[display("can't start {part}: {reason}")]
    Start {
        /// What could not be started.
        part: &'static str,
        /// What the system said.
        reason: Box<str>,
    },
    /// The control thread ended before shutdown.
    #[display("control thread ended unexpectedly")]
    ControlEnded,
}

/// The platform's services as the daemon uses them.
#[derive(Clone)]
pub(crate) struct PlatformClients {
    /// For control.
    pub(crate) table: TableClient,
    /// For claims, so that what control costs can be told apart.
    pub(crate) claim_table: TableClient,
    pub(crate) list: ListClient,
}

/// What both runtimes share.
#[derive(Clone)]
struct SharedParts {
    settings: Arc<DaemonSettings>,
    board: Arc<Blackboard>,
    services: Arc<ServiceTable>,
    metrics: DaemonMetrics,
    clients: PlatformClients,
    log: Logger,
}

/// Runs the daemon until a signal ends it.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), DaemonFault> {
    let deadline = settings.platform.call_deadline();
    let clients = PlatformClients {
        table: TableClient::over_http(settings.platform.table, deadline),
        claim_table: TableClient::over_http(settings.platform.table, deadline),
        list: ListClient::over_http(settings.platform.list, deadline),
    };
    run_with(settings, clients, || {})
}

/// Runs the daemon on given platform clients; `on_start` is called when all listeners are open.
pub(crate) fn run_with(
    settings: DaemonSettings,
    clients: PlatformClients,
    on_start: impl FnOnce() + Send + 'static,
) -> Result<(), DaemonFault> {
    let log = start_logs(settings.log_level, settings.log_format);
    let now = Instant::now();
    let board = Arc::new(Blackboard::new(settings.fleet_slots, now));
    let zone = settings.zone.clone();
    let services = Arc::new(ServiceTable::new(Arc::clone(&board), zone, BalanceOptions::default()));
    let shared = SharedParts {
        settings: Arc::new(settings),
        board,
        services,
        metrics: DaemonMetrics::new(),
        clients,
        log,
    };
    let data = data_runtime()?;
    let control = ControlThread::start(&shared, &data)?;
    let end = data.block_on(run_data(shared.clone(), control, on_start));
    // Requests in flight have ended; what is left are idle connections.
    data.shutdown_background();
    info!(shared.log, "daemon: stopped");
    end
}

fn data_runtime() -> Result<Runtime, DaemonFault> {
    let threads = thread::available_parallelism().map_or(2, std::num::NonZero::get);
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("data")
        .enable_all()
        .build()
        .map_err(|error| start_fault("data runtime", &error))
}

async fn run_data(
    shared: SharedParts,
    mut control: ControlThread,
    on_start: impl FnOnce(),
) -> Result<(), DaemonFault> {
    let mut signals = StopSignals::new().map_err(|error| start_fault("signals", &error))?;
    let settings = Arc::clone(&shared.settings);
    let traces = start_traces(&shared);
    let desk = Arc::new(ClaimDesk::new(
        settings.vm.clone(),
        shared.clients.claim_table.clone(),
        Arc::clone(&shared.board),
        shared.metrics.clone(),
    ));
    let handler = Arc::new(RequestHandler::new(
        Arc::clone(&shared.board),
        Arc::clone(&shared.services),
        Arc::clone(&desk),
        shared.metrics.clone(),
        traces.clone(),
        &settings.limits,
    ));
    let mut background = JoinSet::new();
    background.spawn(run_claims(desk));
    background.spawn(follow_board(shared.clone()));
    let listener = listen(settings.callers, "callers").await?;
    let limits = ListenerLimits {
        connections: settings.limits.connections,
        header_bytes: settings.limits.header_bytes,
        header_time: settings.limits.header_time(),
    };
    let listener = CallerListener::new(listener, Arc::clone(&handler), limits, shared.log.clone());
    let (stop, stopped) = watch::channel(false);
    let serving = tokio::spawn(listener.serve(stopped));
    info!(shared.log, "daemon: started"; "vm" => %settings.vm,
        "callers" => %settings.callers, "operators" => %settings.operators);
    on_start();
    let end = tokio::select! {
        () = signals.wait() => Ok(()),
        () = control.ended() => Err(DaemonFault::ControlEnded),
    };
    info!(shared.log, "daemon: shutdown begins"; "in_flight" => handler.in_flight());
    shared.board.begin_drain();
    // The platform's balancer gets time to notice before connections are refused.
    tokio::time::sleep(settings.shutdown_notice()).await;
    // Without a receiver the listener has ended already.
    let _ = stop.send(true);
    let _ = serving.await;
    handler.drained().await;
    control.stop().await;
    traces.stop();
    end
}

fn start_traces(shared: &SharedParts) -> TraceExporter {
    let Some(collector) = &shared.settings.trace_collector else {
        return TraceExporter::default();
    };
    match TraceExporter::start(collector, shared.settings.vm.as_str()) {
        Ok(exporter) => exporter,
        Err(reason) => {
            error!(shared.log, "traces: exporter can't start"; "reason" => &*reason);
            TraceExporter::default()
        }
    }
}

/// Brings what the control thread learned to the servers of all services.
async fn follow_board(shared: SharedParts) {
    let mut servers = shared.board.watch_servers();
    let mut signs = shared.board.watch_signs();
    let mut syncs = interval(SYNC_INTERVAL);
    loop {
        tokio::select! {
            _ = syncs.tick() => shared.services.sync(Instant::now()),
            changed = servers.changed() => {
                if changed.is_err() {
                    return;
                }
                shared.services.sync(Instant::now());
            }
            sign = signs.recv() => {
                if let Ok(sign) = sign {
                    shared.services.mark_leaving(&sign.server, Instant::now());
                }
            }
        }
    }
}

/// The control thread, seen from the data runtime.
struct ControlThread {
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<()>,
}

impl ControlThread {
    fn start(shared: &SharedParts, data: &Runtime) -> Result<Self, DaemonFault> {
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

    async fn ended(&mut self) {
        let _ = (&mut self.ended).await;
    }

    async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            // A control thread that has ended needs no telling.
            let _ = stop.send(());
        }
        let _ = tokio::time::timeout(RELEASE_TIME, self.ended).await;
    }
}

async fn run_control(
    shared: SharedParts,
    data: tokio::runtime::Handle,
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
    let spread = config.spread.clone();
    spawn_peers(&mut tasks, &shared, &config, peers);
    spawn_signs(&mut tasks, &shared, config.actor.clone());
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
    let desk = Arc::new(OperatorDesk {
        vm: shared.settings.vm.clone(),
        table: shared.clients.table.clone(),
        list: shared.clients.list.clone(),
        board: Arc::clone(&shared.board),
        config: config.actor.clone(),
        spread,
        metrics: shared.metrics.clone(),
        first_key_sha256: shared.settings.first_key_sha256.to_ascii_lowercase().into(),
        log: shared.log.clone(),
    });
    tasks.spawn(serve_operators(operators, desk));
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
    spread: SpreadView,
    stamp_base: Instant,
}

async fn start_controllers(
    shared: &SharedParts,
) -> Result<(ConfigHandle, ActorRef<FleetMessage>), ractor::SpawnErr> {
    let settings = &shared.settings;
    let spread = SpreadView::new();
    let stamp_base = Instant::now();
    let arguments = ConfigArguments {
        table: shared.clients.table.clone(),
        board: Arc::clone(&shared.board),
        metrics: shared.metrics.clone(),
        spread: spread.clone(),
        stamp_base,
        log: shared.log.clone(),
    };
    let (config, _) = Actor::spawn(None, ConfigController, arguments).await?;
    let row = MemberRow::new(settings.vm.clone(), settings.peers, settings.zone.clone());
    let arguments = FleetArguments {
        lease: SlotLease::new(row, settings.fleet_slots, LeaseTimes::default()),
        table: shared.clients.table.clone(),
        board: Arc::clone(&shared.board),
        metrics: shared.metrics.clone(),
        slots: settings.fleet_slots,
        log: shared.log.clone(),
    };
    let (fleet, _) = Actor::spawn(None, FleetController, arguments).await?;
    Ok((ConfigHandle { actor: config, spread, stamp_base }, fleet))
}

fn spawn_peers(
    tasks: &mut JoinSet<()>,
    shared: &SharedParts,
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
fn spawn_signs(tasks: &mut JoinSet<()>, shared: &SharedParts, actor: ActorRef<ConfigMessage>) {
    let mut signs = shared.board.watch_signs();
    tasks.spawn(async move {
        loop {
            match signs.recv().await {
                Ok(sign) if sign.is_own => {
                    if actor.cast(ConfigMessage::Sign(sign)).is_err() {
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

async fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, DaemonFault> {
    TcpListener::bind(address).await.map_err(|error| DaemonFault::Listen {
        address,
        purpose,
        reason: error.to_string().into(),
    })
}

fn start_fault(part: &'static str, reason: &std::io::Error) -> DaemonFault {
    DaemonFault::Start { part, reason: reason.to_string().into() }
}
