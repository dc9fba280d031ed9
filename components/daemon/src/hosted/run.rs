//! Starts the components of a hosted entry VM and shuts them down in order.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, interval, sleep_until, timeout, timeout_at};

use balance::{PlacementOptions, SendTurns};
use board::{HostedBoard, ShutdownTimes};
use limits::AttemptLimits;
use observe::{BatchedLogger, FLUSH_INTERVAL, HostedMetrics, Logger, info, slog_level, warn};
use proxy::{
    AccountQuotas, HostedHandler, HostedListener, HostedOptions, HostedServices, MAX_SEND_DELAY,
};
use quarantine::CrashBoard;
use settings::HostedSettings;

use crate::hosted::control::{HostedControl, crash_limits};
use crate::hosted::platform_view::PlatformView;
use crate::hosted::readiness::{ReadinessContext, serve_readiness};
use crate::hosted::relay_role::quota_limits;
use crate::hosted::settings_watcher::SettingsWatcher;
use crate::run::{DaemonError, listen, start_error};
use crate::shutdown::StopSignals;

/// Time for the log thread to write the last lines before the process exits.
const FINAL_LOG_WRITE_TIME: Duration = Duration::from_millis(50);

/// Part of the exit margin in which the last responses are written.
const FINAL_RESPONSE_RATIO: f64 = 0.5;

/// Time between two sweeps that close connections which were idle for too long.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Bytes in a GB, the unit of the price of transfers between zones.
const BYTES_PER_GB: f64 = 1e9;

/// Largest request body that is buffered completely in memory.
const MAX_BUFFERED_BODY_BYTES: u64 = 1 << 20;

/// Longest pause between two chunks of a request body.
const MAX_BODY_PAUSE: Duration = Duration::from_secs(10);

/// Runs a hosted entry VM until SIGTERM or SIGINT.
pub fn run_hosted(path: &Path, settings: HostedSettings) -> Result<(), DaemonError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| start_error("runtime", &error))?;
    let logs = BatchedLogger::start(slog_level(settings.log_level))
        .map_err(|error| start_error("log thread", &error))?;
    let result = runtime.block_on(run(path.to_owned(), settings, logs.clone()));
    logs.flush();
    std::thread::sleep(FINAL_LOG_WRITE_TIME);
    result
}

async fn run(
    path: PathBuf,
    settings: HostedSettings,
    logs: BatchedLogger,
) -> Result<(), DaemonError> {
    let log = logs.logger();
    let timing = settings
        .timing()
        .map_err(|error| start_error("settings", &std::io::Error::other(error)))?;
    let mut signals = StopSignals::new().map_err(|error| start_error("signals", &error))?;
    let hangups = hangup_signal(&log);
    let settings_watcher = SettingsWatcher::new(&path, settings.clone(), hangups, log.clone());
    let current_settings = settings_watcher.subscribe();
    let board = Arc::new(HostedBoard::default());
    let metrics = HostedMetrics::new();
    let services = Arc::new(new_services(&settings, &board, &metrics, &log));
    let mut background = JoinSet::new();
    background.spawn(flush_logs(logs));
    let callers = listen(settings.callers, "callers").await?;
    let readiness = listen(settings.readiness, "readiness").await?;
    let context = ReadinessContext {
        board: Arc::clone(&board),
        services: Arc::clone(&services),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    background.spawn(serve_readiness(readiness, context.clone()));
    let crashes = Arc::new(CrashBoard::new(crash_limits(&settings, &timing)));
    if let Some(address) = settings.metrics {
        // The metrics port is the same in every deployment, so another process may already use it.
        match listen(address, "metrics").await {
            Ok(listener) => {
                background.spawn(serve_readiness(listener, context));
            }
            Err(error) => {
                warn!(log, "metrics: served at the readiness address only"; "reason" => %error);
            }
        }
    }
    let view = Arc::new(PlatformView::new(
        Arc::clone(&board),
        Arc::clone(&services),
        Arc::clone(&crashes),
        metrics.clone(),
        timing.lapsed_entry_retention,
        log.clone(),
    ));
    let limits = attempt_limits(&settings);
    let control =
        HostedControl::start(Arc::clone(&view), current_settings.clone(), limits, timing).await?;
    background.spawn(control.run());
    let expiring_view = Arc::clone(&view);
    background.spawn(async move { expiring_view.run_evacuation_expiry().await });
    background.spawn(async move { view.run_server_expiry().await });
    background.spawn(sweep_idle_connections(Arc::clone(&services)));
    let (checked_services, checked_board) = (Arc::clone(&services), Arc::clone(&board));
    background.spawn(async move { checked_services.run_access_checks(&checked_board).await });
    background.spawn(settings_watcher.run());
    let handler = Arc::new(HostedHandler::new(
        Arc::clone(&board),
        services,
        crashes,
        platform::wire_interface(),
        metrics,
        HostedOptions {
            max_buffered_body_bytes: MAX_BUFFERED_BODY_BYTES,
            body_idle_timeout: MAX_BODY_PAUSE,
        },
        log.clone(),
    ));
    let (stop_sender, stop_receiver) = watch::channel(false);
    let listener = HostedListener::new(callers, Arc::clone(&handler), log.clone());
    let mut serving = tokio::spawn(listener.serve(stop_receiver));
    info!(log, "daemon: started"; "vm" => &*settings.vm, "zone" => %settings.zone,
        "callers" => %settings.callers, "store" => %settings.store);
    signals.wait().await;
    let stopped_at = Instant::now();
    let settings = Arc::clone(&current_settings.borrow());
    // They were checked when they were loaded.
    let timing = settings.timing().unwrap_or(timing);
    let shutdown = ShutdownTimes {
        limited_from: stopped_at + timing.drain_notice,
        exit_at: stopped_at + settings.shutdown_grace().saturating_sub(timing.exit_margin),
    };
    info!(log, "daemon: shutdown begins"; "in_flight" => handler.in_flight());
    board.start_drain(shutdown);
    sleep_until(shutdown.limited_from).await;
    // Sending fails only if the listener has already ended.
    let _ = stop_sender.send(true);
    let has_drained = timeout_at(shutdown.exit_at, &mut serving).await.is_ok();
    if !has_drained {
        board.end_requests();
        // Ends without a result if callers don't close their connections.
        let _ = timeout(timing.exit_margin.mul_f64(FINAL_RESPONSE_RATIO), serving).await;
    }
    info!(log, "daemon: stopped"; "in_flight" => handler.in_flight(), "whole" => has_drained);
    Ok(())
}

fn new_services(
    settings: &HostedSettings,
    board: &Arc<HostedBoard>,
    metrics: &HostedMetrics,
    log: &Logger,
) -> HostedServices {
    let placement = PlacementOptions {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        zone_cost_per_kib: settings.cross_zone_requests_per_gb * 1024.0 / BYTES_PER_GB,
    };
    let turns = SendTurns::unassigned(settings.relays.len(), rand::random(), Instant::now());
    let (board, metrics) = (Arc::clone(board), metrics.clone());
    let quotas = AccountQuotas::new(quota_limits(settings), metrics.clone());
    let limits = attempt_limits(settings);
    HostedServices::new(placement, limits, turns, quotas, board, metrics, log.clone())
}

fn attempt_limits(settings: &HostedSettings) -> AttemptLimits {
    let retries = settings.retries;
    AttemptLimits {
        ratio: retries.ratio,
        // Set at run time, because only a relay knows how many VMs share the slack.
        slack: 0.0,
        window: Duration::from_secs_f64(retries.window_s),
        arrival_delay: MAX_SEND_DELAY,
    }
}

/// Returns SIGHUP, whose default action ends the process; `None` if it can't be handled.
fn hangup_signal(log: &Logger) -> Option<Signal> {
    signal(SignalKind::hangup())
        .inspect_err(|error| warn!(log, "settings: can't handle SIGHUP"; "reason" => %error))
        .ok()
}

async fn flush_logs(logs: BatchedLogger) {
    let mut ticks = interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        logs.flush();
    }
}

async fn sweep_idle_connections(services: Arc<HostedServices>) {
    let mut ticks = interval(IDLE_SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        services.close_idle_connections(Instant::now());
    }
}
