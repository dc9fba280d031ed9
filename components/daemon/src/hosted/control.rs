//! Keeps an entry VM in line with its settings: where its state comes from, and whether it is a
//! relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use balance::ColdBound;
use limits::AttemptLimits;
use observe::{info, warn};
use platform::PlatformStore;
use quarantine::CrashLimits;
use settings::{HostedSettings, HostedTiming};

use crate::hosted::platform_view::PlatformView;
use crate::hosted::platform_watcher::{PlatformWatcher, ReadAges};
use crate::hosted::relay_role::RelayRole;
use crate::hosted::relay_subscriber::RelaySubscriber;
use crate::hosted::settings_watcher::SettingsReceiver;
use crate::hosted::store_calls::StoreCallConfig;
use crate::run::{DaemonError, listen};

/// Pause after the port for subscribers could not be opened.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Runs the watcher of the platform and, while the settings name this VM, the relay.
pub(crate) struct HostedControl {
    view: Arc<PlatformView>,
    settings: SettingsReceiver,
    attempt_limits: AttemptLimits,
    timing: HostedTiming,
    relay: Option<RelayRole>,
}

/// What a watcher of the platform depends on. It goes on while this stays the same.
#[derive(PartialEq)]
struct WatcherBasis {
    is_relay: bool,
    /// Whether there are relays to subscribe to.
    has_relays: bool,
    store: SocketAddr,
    timing: HostedTiming,
}

impl HostedControl {
    /// Creates the control of a VM that starts, as a relay if its settings name it as one.
    pub(crate) async fn start(
        view: Arc<PlatformView>,
        settings: SettingsReceiver,
        attempt_limits: AttemptLimits,
        timing: HostedTiming,
    ) -> Result<Self, DaemonError> {
        let started = Arc::clone(&settings.borrow());
        let mut control = Self { view, settings, attempt_limits, timing, relay: None };
        control.apply_limits(&started);
        if started.is_relay() {
            control.start_relay(&started, started.first_start).await?;
        }
        Ok(control)
    }

    /// Follows the settings until the future is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let settings = Arc::clone(&self.settings.borrow_and_update());
            let basis = self.watcher_basis(&settings);
            // The watcher of another basis may have been reading the store.
            self.view.set_without_relay(false);
            let watcher = self.new_watcher(&settings, &basis);
            tokio::select! {
                () = watcher.run() => {}
                () = self.follow_settings(&basis) => {}
            }
        }
    }

    /// Puts changed settings in effect until the watcher of the platform has to be another one.
    async fn follow_settings(&mut self, basis: &WatcherBasis) {
        loop {
            let settings = Arc::clone(&self.settings.borrow_and_update());
            // They were checked when they were loaded.
            self.timing = settings.timing().unwrap_or(self.timing);
            self.apply_limits(&settings);
            let has_role = self.update_relay(&settings, basis.timing).await;
            if self.watcher_basis(&settings) != *basis {
                return;
            }
            tokio::select! {
                changed = self.settings.changed() => match changed {
                    Ok(()) => {}
                    // The settings stay as they are.
                    Err(_) => std::future::pending().await,
                },
                () = sleep(LISTEN_RETRY_PAUSE), if !has_role => {}
            }
        }
    }

    /// Starts, updates or stops the relay. Returns `false` if it could not be started.
    async fn update_relay(&mut self, settings: &HostedSettings, previous: HostedTiming) -> bool {
        let must_stop = !settings.is_relay() || self.timing != previous;
        if let Some(relay) = self.relay.take_if(|_| must_stop) {
            relay.stop().await;
            info!(self.view.log, "relay: stopped, since the settings have changed");
        }
        match &mut self.relay {
            Some(relay) => relay.update(settings),
            None if settings.is_relay() => match self.start_relay(settings, false).await {
                Ok(()) => info!(self.view.log, "relay: started, since the settings have changed"),
                Err(error) => {
                    warn!(self.view.log, "relay: can't serve subscribers; trying again";
                        "reason" => %error);
                    return false;
                }
            },
            None => {}
        }
        true
    }

    async fn start_relay(
        &mut self,
        settings: &HostedSettings,
        is_first_start: bool,
    ) -> Result<(), DaemonError> {
        let listener = listen(settings.relay, "relay").await?;
        let (view, limits) = (&self.view, &self.attempt_limits);
        let relay =
            RelayRole::start(listener, view, &self.settings, limits, self.timing, is_first_start);
        self.relay = Some(relay);
        Ok(())
    }

    /// Puts the agreed limits in effect.
    fn apply_limits(&self, settings: &HostedSettings) {
        let services = &self.view.services;
        services.set_attempt_ratio(settings.retries.ratio);
        services.quotas.set_limits(settings.quotas.over, settings.quotas.slack);
        let bound = settings.cold_servers;
        services.set_cold_bound(bound.map(|cold| ColdBound { over: cold.over, slack: cold.slack }));
        self.view.set_lapsed_retention(self.timing.lapsed_entry_retention);
        self.view.crashes.set_limits(crash_limits(settings, &self.timing));
    }

    fn watcher_basis(&self, settings: &HostedSettings) -> WatcherBasis {
        WatcherBasis {
            is_relay: self.relay.is_some(),
            has_relays: !settings.relays.is_empty(),
            store: settings.store,
            timing: self.timing,
        }
    }

    fn new_watcher(&self, settings: &HostedSettings, basis: &WatcherBasis) -> PlatformWatcher {
        let timing = basis.timing;
        let config = call_config(settings, &timing, basis.is_relay);
        let subscriber = (!basis.is_relay && basis.has_relays)
            .then(|| RelaySubscriber::new(self.settings.clone(), Arc::clone(&self.view), timing));
        let ages = ReadAges {
            first_read_delay: timing.first_read_delay,
            direct_read_age: timing.direct_read_age,
        };
        PlatformWatcher::new(Arc::clone(&self.view), config, subscriber, ages)
    }
}

/// Returns when a request that crashes its servers is refused, and for how long.
pub(crate) fn crash_limits(settings: &HostedSettings, timing: &HostedTiming) -> CrashLimits {
    CrashLimits {
        crashes: settings.quarantine.crashes,
        settle_time: timing.crash_settle_time,
        quarantine_time: Duration::from_secs_f64(settings.quarantine.time_s),
    }
}

fn call_config(
    settings: &HostedSettings,
    timing: &HostedTiming,
    is_relay: bool,
) -> StoreCallConfig {
    let store = Arc::new(PlatformStore::new(settings.store, timing.store_call_timeout));
    let failing_call_lock = Arc::default();
    match is_relay {
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
    }
}
