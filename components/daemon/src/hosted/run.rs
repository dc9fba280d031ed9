//! Starts the components of a hosted entry VM and shuts them down in order.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, interval, sleep_until, timeout, timeout_at};

use balance::{ColdBound, PlacementOptions, SendTurns};
use board::{HostedBoard, ShutdownTimes};
use limits::{AttemptLimits, QuotaLimits, slack_share};
use observe::{BatchedLogger, FLUSH_INTERVAL, HostedMetrics, Logger, info, slog_level, warn};
use peers::{RelayHub, RelayTiming, serve_relay};
use platform::PlatformStore;
use proxy::{
    AccountQuotas, HostedHandler, HostedListener, HostedOptions, HostedServices, MAX_SEND_DELAY,
};
use quarantine::{CrashBoard, CrashLimits};
use settings::{HostedSettings, HostedTiming, SettingsError, load_hosted_settings};

use crate::hosted::crash_exchange::CrashExchange;
use crate::hosted::platform_view::PlatformView;
use crate::hosted::platform_watcher::{PlatformWatcher, ReadAges};
use crate::hosted::readiness::{ReadinessContext, serve_readiness};
use crate::hosted::relay_subscriber::{RelaySubscriber, assigned_turns};
use crate::hosted::store_calls::StoreCallConfig;
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
    let crashes = Arc::new(CrashBoard::new(CrashLimits {
        crashes: settings.quarantine.crashes,
        settle_time: timing.crash_settle_time,
        quarantine_time: Duration::from_secs_f64(settings.quarantine.time_s),
    }));
    let hub = start_relay(&settings, &timing, &crashes, &mut background, &log).await?;
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
        hub,
        Arc::clone(&crashes),
        metrics.clone(),
        timing.lapsed_entry_retention,
        log.clone(),
    ));
    if let Some(hub) = &view.hub {
        let own_membership = OwnMembership {
            hub: Arc::clone(hub),
            board: Arc::clone(&board),
            services: Arc::clone(&services),
            settings: settings.clone(),
            timing,
        };
        background.spawn(own_membership.run());
        let limits = quota_limits(&settings);
        background.spawn(request_own_credits(Arc::clone(hub), Arc::clone(&services), limits));
    }
    background.spawn(new_platform_watcher(&settings, &timing, &view).run());
    let expiring_view = Arc::clone(&view);
    background.spawn(async move { expiring_view.run_evacuation_expiry().await });
    background.spawn(async move { view.run_server_expiry().await });
    background.spawn(sweep_idle_connections(Arc::clone(&services)));
    let (checked_services, checked_board) = (Arc::clone(&services), Arc::clone(&board));
    background.spawn(async move { checked_services.run_access_checks(&checked_board).await });
    background.spawn(log_settings_reloads(path, settings.clone(), log.clone()));
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

/// Serves subscribers if this VM is one of the relays. Otherwise the port stays closed, so that a
/// VM that takes this one for a relay fails to connect immediately.
async fn start_relay(
    settings: &HostedSettings,
    timing: &HostedTiming,
    crashes: &Arc<CrashBoard>,
    background: &mut JoinSet<()>,
    log: &Logger,
) -> Result<Option<Arc<RelayHub>>, DaemonError> {
    if !settings.relays.contains(&settings.relay) {
        return Ok(None);
    }
    let listener = listen(settings.relay, "relay").await?;
    let relay_timing = RelayTiming {
        keep_alive_interval: timing.keep_alive_interval,
        handshake_timeout: timing.relay_handshake_timeout,
        budget_window: attempt_limits(settings).retention(),
        max_state_age: timing.max_relay_state_age,
        share_validity: timing.relay_silence_timeout,
        quotas: quota_limits(settings),
    };
    let hub = Arc::new(RelayHub::new(relay_timing, settings.first_start, Arc::clone(crashes)));
    for relay in settings.relays.iter().filter(|relay| settings.relay < **relay) {
        // The other one of two relays connects to this one.
        let (crashes, hub) = (Arc::clone(crashes), Arc::clone(&hub));
        let exchange = CrashExchange::new(*relay, crashes, hub, *timing, log.clone());
        background.spawn(exchange.run());
    }
    background.spawn(serve_relay(listener, Arc::clone(&hub), log.clone()));
    Ok(Some(hub))
}

fn new_platform_watcher(
    settings: &HostedSettings,
    timing: &HostedTiming,
    view: &Arc<PlatformView>,
) -> PlatformWatcher {
    let store = PlatformStore::new(settings.store, timing.store_call_timeout);
    let is_relay = view.hub.is_some();
    let store = Arc::new(store);
    let failing_call_lock = Arc::default();
    let call_config = match is_relay {
        true => StoreCallConfig {
            store,
            long_poll_wait: timing.relay_poll_wait,
            batching_pause: timing.relay_batching_pause,
            first_retry_pause: timing.relay_first_retry_pause,
            max_failure_pause: timing.relay_max_failure_pause,
            known_outage_pause: timing.known_outage_pause,
            failing_call_lock,
        },
        false => StoreCallConfig {
            store,
            long_poll_wait: timing.long_poll_wait,
            batching_pause: timing.batching_pause,
            first_retry_pause: timing.first_retry_pause,
            max_failure_pause: timing.max_failure_pause,
            known_outage_pause: timing.known_outage_pause,
            failing_call_lock,
        },
    };
    let subscriber = (!is_relay && !settings.relays.is_empty()).then(|| {
        let relays = settings.relays.clone();
        let slack = settings.retries.slack;
        RelaySubscriber::new(relays, settings.callers, Arc::clone(view), slack, *timing)
    });
    let ages = ReadAges {
        first_read_delay: timing.first_read_delay,
        direct_read_age: timing.direct_read_age,
    };
    PlatformWatcher::new(Arc::clone(view), call_config, subscriber, ages)
}

/// What a relay has from its own hub, like each of its subscribers.
struct OwnMembership {
    hub: Arc<RelayHub>,
    board: Arc<HostedBoard>,
    services: Arc<HostedServices>,
    settings: HostedSettings,
    timing: HostedTiming,
}

impl OwnMembership {
    /// Updates the relay's share and turns, and exchanges with the hub which VMs reach backend
    /// servers, until the future is dropped.
    async fn run(self) {
        let mut lost_servers = self.board.watch_lost_servers();
        let mut ticks = interval(self.timing.keep_alive_interval);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = lost_servers.changed() => {}
            }
            let has_lost_servers = *lost_servers.borrow_and_update();
            self.update_access(has_lost_servers);
            self.update_share(Instant::now());
        }
    }

    /// Tells the hub whether the relay reaches backend servers, and takes other VMs from it if not.
    fn update_access(&self, has_lost_servers: bool) {
        self.hub.set_own_access(self.settings.callers, !has_lost_servers);
        if has_lost_servers {
            self.board.set_helpers(self.hub.helpers());
        }
    }

    /// Updates the relay's share of the retry budget's slack, which is divided among its subscribers
    /// and itself, and its turns.
    fn update_share(&self, now: Instant) {
        let retries = &self.settings.retries;
        let validity = self.timing.relay_silence_timeout;
        let divisor = self.hub.own_share_divisor(now);
        let share = slack_share(retries.slack, self.settings.relays.len(), divisor);
        self.services.set_slack(share, now + validity);
        if let Some(turns) = self.hub.own_turns(now) {
            self.services.assign_turns(&assigned_turns(&turns, now, validity));
        }
    }
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
    let bound = settings.cold_servers.map(|cold| ColdBound { over: cold.over, slack: cold.slack });
    let quotas = AccountQuotas::new(quota_limits(settings), metrics.clone());
    let limits = attempt_limits(settings);
    HostedServices::new(placement, limits, turns, quotas, board, metrics, log.clone())
        .with_cold_bound(bound)
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

fn quota_limits(settings: &HostedSettings) -> QuotaLimits {
    let quotas = settings.quotas;
    QuotaLimits {
        over: quotas.over,
        slack: quotas.slack,
        window: Duration::from_secs_f64(quotas.window_s),
        relays: settings.relays.len(),
    }
}

/// Requests the credits of a relay's own callers from its hub, without messages, and continues
/// without loans that are late, until the future is dropped.
async fn request_own_credits(
    hub: Arc<RelayHub>,
    services: Arc<HostedServices>,
    limits: QuotaLimits,
) {
    let quotas = &services.quotas;
    let mut credits = hub.connect_own_credits();
    quotas.connect();
    let mut ticks = interval(limits.loan_validity());
    loop {
        tokio::select! {
            requests = quotas.next_requests() => credits.request(&requests),
            messages = credits.next() => quotas.apply_grants(&messages.grants),
            _ = ticks.tick() => hub.expire_loans(),
        }
    }
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

/// Rereads the settings on SIGHUP and only logs whether they changed: addresses and budgets stay in
/// effect until the next start.
async fn log_settings_reloads(path: PathBuf, settings: HostedSettings, log: Logger) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            warn!(log, "settings: can't handle SIGHUP"; "reason" => %error);
            return;
        }
    };
    while hangups.recv().await.is_some() {
        log_reload(load_hosted_settings(&path), &settings, &log);
    }
}

fn log_reload(
    loaded: Result<HostedSettings, SettingsError>,
    settings: &HostedSettings,
    log: &Logger,
) {
    match loaded {
        Ok(loaded) if loaded == *settings => info!(log, "settings: reloaded, nothing changed"),
        Ok(_) => warn!(log, "settings: changed; a restart is needed to apply them"),
        Err(error) => warn!(log, "settings: reload failed"; "reason" => %error),
    }
}
