//! Starts the daemon's components and shuts them down in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use derive_more::{Display, Error};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, interval};

use balance::BalanceOptions;
use board::Blackboard;
use observe::{DaemonMetrics, Logger, TraceExporter, error, info, start_logger};
use proxy::{
    CallerListener, ClaimCoordinator, ListenerLimits, RequestHandler, ServiceTable,
    run_claim_transactions,
};
use settings::DaemonSettings;
use store::{ServerListClient, TableClient};

use crate::control::ControlThread;
use crate::shutdown::StopSignals;

/// Time between two periodic synchronizations of services, servers and connections.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why the daemon failed to start or stopped unexpectedly.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// A listener could not be opened.
    #[display("can't listen on {address} for {purpose}: {reason}")]
    Listen {
        address: SocketAddr,
        /// Role of the listener, for example "callers".
        purpose: &'static str,
        /// Error of the operating system.
        reason: Box<str>,
    },
    /// A runtime or thread could not be started.
    #[display("can't start {component}: {reason}")]
    Start {
        /// Component that failed to start.
        component: &'static str,
        /// Error of the operating system.
        reason: Box<str>,
    },
    /// The control thread ended before a shutdown was requested.
    #[display("control thread ended unexpectedly")]
    ControlEnded,
}

/// Clients of the platform's table and server list.
#[derive(Clone)]
pub(crate) struct PlatformClients {
    /// Used by the control thread.
    pub(crate) table: TableClient,
    /// Used for claims. A separate client, so that the bytes of the control thread are counted
    /// separately.
    pub(crate) claim_table: TableClient,
    pub(crate) list: ServerListClient,
}

/// State and clients shared by the data runtime and the control thread.
#[derive(Clone)]
pub(crate) struct SharedContext {
    pub(crate) settings: Arc<DaemonSettings>,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) services: Arc<ServiceTable>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) clients: PlatformClients,
    pub(crate) log: Logger,
}

/// Runs the daemon until SIGTERM or SIGINT.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), DaemonError> {
    let call_timeout = settings.platform.call_timeout();
    let clients = PlatformClients {
        table: platform::table_client(settings.platform.table, call_timeout),
        claim_table: platform::table_client(settings.platform.table, call_timeout),
        list: platform::server_list_client(settings.platform.list, call_timeout),
    };
    run_with_clients(settings, clients, || {})
}

/// Runs the daemon with the given platform clients. Calls `on_start` once all listeners are open.
pub(crate) fn run_with_clients(
    settings: DaemonSettings,
    clients: PlatformClients,
    on_start: impl FnOnce() + Send + 'static,
) -> Result<(), DaemonError> {
    let log = start_logger(settings.log_level, settings.log_format);
    let now = Instant::now();
    let board = Arc::new(Blackboard::new(settings.fleet_slots, now));
    let zone = settings.zone.clone();
    let services = Arc::new(ServiceTable::new(Arc::clone(&board), zone, BalanceOptions::default()));
    let shared = SharedContext {
        settings: Arc::new(settings),
        board,
        services,
        metrics: DaemonMetrics::new(),
        clients,
        log,
    };
    let data_runtime = build_data_runtime()?;
    let control = ControlThread::start(&shared, &data_runtime)?;
    let result = data_runtime.block_on(run_data_runtime(shared.clone(), control, on_start));
    // All requests have ended; only idle connections are left.
    data_runtime.shutdown_background();
    info!(shared.log, "daemon: stopped");
    result
}

fn build_data_runtime() -> Result<Runtime, DaemonError> {
    let threads = thread::available_parallelism().map_or(2, std::num::NonZero::get);
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("data")
        .enable_all()
        .build()
        .map_err(|error| start_error("data runtime", &error))
}

async fn run_data_runtime(
    shared: SharedContext,
    mut control: ControlThread,
    on_start: impl FnOnce(),
) -> Result<(), DaemonError> {
    let mut signals = StopSignals::new().map_err(|error| start_error("signals", &error))?;
    let settings = Arc::clone(&shared.settings);
    let traces = start_trace_exporter(&shared);
    let coordinator = Arc::new(ClaimCoordinator::new(
        settings.vm.clone(),
        shared.clients.claim_table.clone(),
        Arc::clone(&shared.board),
        shared.metrics.clone(),
    ));
    let handler = Arc::new(RequestHandler::new(
        Arc::clone(&shared.board),
        Arc::clone(&shared.services),
        Arc::clone(&coordinator),
        shared.metrics.clone(),
        traces.clone(),
        &settings.limits,
    ));
    let mut background = JoinSet::new();
    background.spawn(run_claim_transactions(coordinator));
    background.spawn(sync_services(shared.clone()));
    let listener = listen(settings.callers, "callers").await?;
    let limits = ListenerLimits {
        max_connections: settings.limits.connections,
        max_header_bytes: settings.limits.header_bytes,
        header_timeout: settings.limits.header_timeout(),
    };
    let listener = CallerListener::new(listener, Arc::clone(&handler), limits, shared.log.clone());
    let (stop_sender, stop_receiver) = watch::channel(false);
    let serving = tokio::spawn(listener.serve(stop_receiver));
    info!(shared.log, "daemon: started"; "vm" => %settings.vm,
        "callers" => %settings.callers, "operators" => %settings.operators);
    on_start();
    let result = tokio::select! {
        () = signals.wait() => Ok(()),
        () = control.wait_until_ended() => Err(DaemonError::ControlEnded),
    };
    info!(shared.log, "daemon: shutdown begins"; "in_flight" => handler.in_flight());
    shared.board.start_drain();
    // Gives the load balancer in front of the entry VMs time to notice the failed readiness
    // check before connections are refused.
    tokio::time::sleep(settings.shutdown_notice()).await;
    // Sending fails only if the listener has already ended.
    let _ = stop_sender.send(true);
    let _ = serving.await;
    handler.wait_until_drained().await;
    control.stop().await;
    traces.stop();
    result
}

fn start_trace_exporter(shared: &SharedContext) -> TraceExporter {
    let Some(collector) = &shared.settings.trace_collector else {
        return TraceExporter::default();
    };
    match TraceExporter::start(collector, shared.settings.vm.as_str()) {
        Ok(exporter) => exporter,
        Err(reason) => {
            error!(shared.log, "traces: can't start the exporter"; "reason" => &*reason);
            TraceExporter::default()
        }
    }
}

/// Applies server list changes and drain notices from the board to all services.
async fn sync_services(shared: SharedContext) {
    let mut servers = shared.board.watch_servers();
    let mut notices = shared.board.watch_notices();
    let mut sync_ticks = interval(SYNC_INTERVAL);
    loop {
        tokio::select! {
            _ = sync_ticks.tick() => shared.services.sync(Instant::now()),
            changed = servers.changed() => {
                if changed.is_err() {
                    return;
                }
                shared.services.sync(Instant::now());
            }
            notice = notices.recv() => {
                if let Ok(notice) = notice {
                    shared.services.mark_leaving(&notice.server, Instant::now());
                }
            }
        }
    }
}

/// Binds a TCP listener.
pub(crate) async fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|error| DaemonError::Listen {
        address,
        purpose,
        reason: error.to_string().into(),
    })
}

/// Returns the error for a component that failed to start.
pub(crate) fn start_error(component: &'static str, reason: &std::io::Error) -> DaemonError {
    DaemonError::Start { component, reason: reason.to_string().into() }
}
