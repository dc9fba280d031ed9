//! Starts the parts of a hosted entry VM and ends them in order.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, interval, sleep, timeout};

use balance::PlacementOptions;
use board::HostedBoard;
use limits::{ArrivalLimits, slack_part};
use observe::{BatchedLogs, FLUSH_INTERVAL, HostedMetrics, Logger, info, level_of, warn};
use peers::{RelayHub, serve_relay};
use platform::PlatformStore;
use proxy::{HostedHandler, HostedListener, HostedOptions, HostedServices};
use settings::{HostedSettings, SettingsFault, load_hosted_settings};

use crate::hosted::following::{Follower, StoreCalls};
use crate::hosted::knowledge::Knowledge;
use crate::hosted::readiness::{ReadinessParts, serve_readiness};
use crate::hosted::subscribing::Subscriber;
use crate::run::{DaemonFault, listen, start_fault};
use crate::shutdown::StopSignals;

/// Part of the contact time for which one call waits for changes. A call that was pending in an
/// outage, or on a connection that went silent, is never answered, and nothing but its end shows it:
/// wait and answer together must end well within the contact time.
const FEED_WAIT_PART: f64 = 0.55;

/// The same for a relay, whose subscribers need a confirmation at least once a second.
const RELAY_WAIT_PART: f64 = 0.28;

/// Pause after changes, so that changes that come together need one call. Both bounds of the
/// platform, for a configuration in force and for a leaving server, are 2 s or more.
const CHANGE_PAUSE: Duration = Duration::from_millis(300);

/// The same for a relay, which is asked to be fresh.
const RELAY_CHANGE_PAUSE: Duration = Duration::from_millis(100);

/// Part of the contact time that an answer of the store may take beyond what it was asked to wait.
const STORE_CALL_PART: f64 = 0.22;

/// Time from SIGTERM until new connections are refused. The platform asks once a second, and sends
/// none after two misses. What was taken before has the rest of the grace time to end.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace time at which the process ends in any case.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Time that the writing thread has for the last log lines.
const LAST_LINES_TIME: Duration = Duration::from_millis(50);

/// Time between two looks for connections that were idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Delay that is worth as much as a way to another availability zone and back: 0.5 ms each way.
const ZONE_COST: Duration = Duration::from_millis(1);

/// Delay that is worth as much as a KiB between zones, by the users' prices: 5 KB at 9,000 a GB
/// are a 20th of a request's worth, as are 10 ms of a target of 200 ms.
const ZONE_COST_PER_KIB: Duration = Duration::from_micros(2_000);

/// Part of the budgets' window for which a relay counts members that are gone: the window and the
/// step by which it slides.
const MEMBER_WINDOW_PART: f64 = 1.1;

/// Time between two looks of a relay at its own part of the slack.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest pause between failed calls to the store. A VM counts as in touch 3 s after the store's
/// return, and its relay tells it of the return earlier.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_600);

/// The same for a relay.
const RELAY_FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// Largest request body that is kept in memory whole.
const KEPT_BODY_BYTES: u64 = 1 << 20;

/// Longest pause within a request body.
const BODY_PAUSE: Duration = Duration::from_secs(10);

/// Runs a hosted entry VM until a signal ends it.
pub fn run_hosted(path: &Path, settings: HostedSettings) -> Result<(), DaemonFault> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| start_fault("runtime", &error))?;
    let logs = BatchedLogs::start(level_of(settings.log_level))
        .map_err(|error| start_fault("log thread", &error))?;
    let end = runtime.block_on(run(path.to_owned(), settings, logs.clone()));
    logs.flush();
    std::thread::sleep(LAST_LINES_TIME);
    end
}

async fn run(
    path: PathBuf,
    settings: HostedSettings,
    logs: BatchedLogs,
) -> Result<(), DaemonFault> {
    let log = logs.logger();
    let mut signals = StopSignals::new().map_err(|error| start_fault("signals", &error))?;
    let board = Arc::new(HostedBoard::default());
    let metrics = HostedMetrics::new();
    let services = Arc::new(new_services(&settings));
    let mut background = JoinSet::new();
    background.spawn(flush_logs(logs));
    let callers = listen(settings.callers, "callers").await?;
    let readiness = listen(settings.readiness, "readiness").await?;
    let parts =
        ReadinessParts { board: Arc::clone(&board), metrics: metrics.clone(), log: log.clone() };
    background.spawn(serve_readiness(readiness, parts.clone()));
    let hub = start_relay(&settings, &mut background, &log).await?;
    if let Some(address) = settings.metrics {
        // The port is the same on every deployment, so that another listener may have it.
        match listen(address, "metrics").await {
            Ok(listener) => {
                background.spawn(serve_readiness(listener, parts));
            }
            Err(fault) => warn!(log, "metrics: only at the readiness address"; "reason" => %fault),
        }
    }
    let knowledge = Arc::new(Knowledge::new(
        Arc::clone(&board),
        Arc::clone(&services),
        hub,
        metrics.clone(),
        log.clone(),
    ));
    if let Some(hub) = &knowledge.hub {
        let (hub, services) = (Arc::clone(hub), Arc::clone(&services));
        background.spawn(share_slack(hub, services, settings.clone()));
    }
    background.spawn(new_follower(&settings, &knowledge).run());
    background.spawn(async move { knowledge.run_expiry().await });
    background.spawn(sweep(Arc::clone(&services)));
    background.spawn(follow_settings(path, settings.clone(), log.clone()));
    let handler = Arc::new(HostedHandler::new(
        Arc::clone(&board),
        services,
        platform::wire_interface(),
        metrics,
        HostedOptions { kept_body_bytes: KEPT_BODY_BYTES, body_pause: BODY_PAUSE },
        log.clone(),
    ));
    let (stop, stopped) = watch::channel(false);
    let listener = HostedListener::new(callers, Arc::clone(&handler), log.clone());
    let serving = tokio::spawn(listener.serve(stopped));
    info!(log, "daemon: started"; "vm" => &*settings.vm, "zone" => %settings.zone,
        "callers" => %settings.callers, "store" => %settings.store);
    signals.wait().await;
    let ends_at = Instant::now() + settings.grace().saturating_sub(GRACE_MARGIN);
    info!(log, "daemon: shutdown begins"; "in_flight" => handler.in_flight());
    board.begin_drain();
    sleep(NOTICE_TIME).await;
    // Without a receiver the listener has ended already.
    let _ = stop.send(true);
    let rest = ends_at.saturating_duration_since(Instant::now());
    let is_whole = timeout(rest, serving).await.is_ok();
    info!(log, "daemon: stopped"; "in_flight" => handler.in_flight(), "whole" => is_whole);
    Ok(())
}

/// Serves subscribers where this VM is one of the relays. Elsewhere the port stays closed, so that
/// a VM that holds this one for a relay knows at once.
async fn start_relay(
    settings: &HostedSettings,
    background: &mut JoinSet<()>,
    log: &Logger,
) -> Result<Option<Arc<RelayHub>>, DaemonFault> {
    if !settings.relays.contains(&settings.relay) {
        return Ok(None);
    }
    let listener = listen(settings.relay, "relay").await?;
    let window = Duration::from_secs_f64(settings.retries.window_s).mul_f64(MEMBER_WINDOW_PART);
    let hub = Arc::new(RelayHub::new(window));
    background.spawn(serve_relay(listener, Arc::clone(&hub), log.clone()));
    Ok(Some(hub))
}

fn new_follower(settings: &HostedSettings, knowledge: &Arc<Knowledge>) -> Follower {
    let store = PlatformStore::new(settings.store, settings.contact().mul_f64(STORE_CALL_PART));
    let is_relay = knowledge.hub.is_some();
    let (wait_part, change_pause, longest_failure_pause) = match is_relay {
        true => (RELAY_WAIT_PART, RELAY_CHANGE_PAUSE, RELAY_FAILURE_PAUSE),
        false => (FEED_WAIT_PART, CHANGE_PAUSE, FAILURE_PAUSE),
    };
    let calls = StoreCalls {
        store: Arc::new(store),
        feed_wait: settings.contact().mul_f64(wait_part),
        change_pause,
        longest_failure_pause,
        failing_turn: Arc::default(),
    };
    let subscriber = (!is_relay && !settings.relays.is_empty()).then(|| {
        let relays = settings.relays.clone();
        Subscriber::new(relays, Arc::clone(knowledge), settings.retries.slack)
    });
    Follower::new(Arc::clone(knowledge), calls, subscriber)
}

/// Divides the part of the budgets' slack that a relay has among its subscribers and itself.
async fn share_slack(hub: Arc<RelayHub>, services: Arc<HostedServices>, settings: HostedSettings) {
    let mut ticks = interval(SHARE_INTERVAL);
    loop {
        ticks.tick().await;
        let members = hub.member_count(Instant::now());
        let part = slack_part(settings.retries.slack, settings.relays.len(), members);
        services.set_slack(part);
    }
}

fn new_services(settings: &HostedSettings) -> HostedServices {
    let placement = PlacementOptions {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        zone_cost: ZONE_COST,
        zone_cost_per_kib: ZONE_COST_PER_KIB,
    };
    let retries = settings.retries;
    let limits = ArrivalLimits {
        ratio: retries.ratio,
        // Only a relay knows how many VMs share it.
        slack: 0.0,
        window: Duration::from_secs_f64(retries.window_s),
    };
    HostedServices::new(placement, limits)
}

async fn flush_logs(logs: BatchedLogs) {
    let mut ticks = interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        logs.flush();
    }
}

async fn sweep(services: Arc<HostedServices>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        services.sweep(Instant::now());
    }
}

/// Reads the settings again on SIGHUP. Addresses and budgets hold until the next start; a change of
/// them is only told.
async fn follow_settings(path: PathBuf, settings: HostedSettings, log: Logger) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            warn!(log, "settings: SIGHUP can't be followed"; "reason" => %error);
            return;
        }
    };
    while hangups.recv().await.is_some() {
        note_reload(load_hosted_settings(&path), &settings, &log);
    }
}

fn note_reload(
    loaded: Result<HostedSettings, SettingsFault>,
    settings: &HostedSettings,
    log: &Logger,
) {
    match loaded {
        Ok(loaded) if loaded == *settings => info!(log, "settings: read again, nothing changed"),
        Ok(_) => warn!(log, "settings: changed; they hold from the next start"),
        Err(fault) => warn!(log, "settings: can't be read again"; "reason" => %fault),
    }
}
