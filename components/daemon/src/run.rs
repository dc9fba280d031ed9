//! Starts the daemon's parts and ends them in order.

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
use observe::{DaemonMetrics, Logger, TraceExporter, error, info, start_logs};
use proxy::{
    CallerListener, ClaimCoordinator, ListenerLimits, RequestHandler, ServiceTable,
    run_claim_transactions,
};
use settings::DaemonSettings;
use store::{ListClient, TableClient};

use crate::control::ControlThread;
use crate::shutdown::StopSignals;

/// Time between two checks of services, servers and connections.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

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
pub(crate) struct SharedParts {
    pub(crate) settings: Arc<DaemonSettings>,
    pub(crate) board: Arc<Blackboard>,
    pub(crate) services: Arc<ServiceTable>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) clients: PlatformClients,
    pub(crate) log: Logger,
}

/// Runs the daemon until a signal ends it.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), DaemonFault> {
    let deadline = settings.platform.call_deadline();
    let clients = PlatformClients {
        table: platform::table_client(settings.platform.table, deadline),
        claim_table: platform::table_client(settings.platform.table, deadline),
        list: platform::list_client(settings.platform.list, deadline),
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
    handler.wait_until_drained().await;
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
    let mut notices = shared.board.watch_notices();
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
            notice = notices.recv() => {
                if let Ok(notice) = notice {
                    shared.services.mark_leaving(&notice.server, Instant::now());
                }
            }
        }
    }
}

/// Opens a listener.
pub(crate) async fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, DaemonFault> {
    TcpListener::bind(address).await.map_err(|error| DaemonFault::Listen {
        address,
        purpose,
        reason: error.to_string().into(),
    })
}

/// A fault of a part that can't be started.
pub(crate) fn start_fault(part: &'static str, reason: &std::io::Error) -> DaemonFault {
    DaemonFault::Start { part, reason: reason.to_string().into() }
}
