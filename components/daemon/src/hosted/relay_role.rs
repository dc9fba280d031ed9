//! What an entry VM does as a relay, while the settings name it as one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, interval};

use limits::{AttemptLimits, QuotaLimits, slack_share};
use model::FastMap;
use peers::{RelayHub, RelayTiming, serve_relay};
use proxy::HostedServices;
use settings::{HostedSettings, HostedTiming};

use crate::hosted::crash_exchange::CrashExchange;
use crate::hosted::platform_view::PlatformView;
use crate::hosted::relay_handover::RelayHandover;
use crate::hosted::relay_subscriber::assigned_turns;
use crate::hosted::settings_watcher::{SETTINGS_CHECK_INTERVAL, SettingsReceiver};

/// Serves subscribers and exchanges reports and credits with the other relays.
pub(crate) struct RelayRole {
    hub: Arc<RelayHub>,
    view: Arc<PlatformView>,
    timing: HostedTiming,
    /// Address of this relay.
    address: SocketAddr,
    /// All relays in the settings.
    relays: BTreeSet<SocketAddr>,
    tasks: JoinSet<()>,
    /// Connections to the other relays that this one opens.
    exchanges: FastMap<SocketAddr, AbortHandle>,
}

impl RelayRole {
    /// Starts to serve subscribers on an open socket. `is_first_start` says that no relay of the
    /// fleet has ever run before.
    pub(crate) fn start(
        listener: TcpListener,
        view: &Arc<PlatformView>,
        settings: &SettingsReceiver,
        attempt_limits: &AttemptLimits,
        timing: HostedTiming,
        is_first_start: bool,
    ) -> Self {
        let receiver = settings.clone();
        let settings = Arc::clone(&receiver.borrow());
        let relay_timing = RelayTiming {
            keep_alive_interval: timing.keep_alive_interval,
            handshake_timeout: timing.relay_handshake_timeout,
            budget_window: attempt_limits.retention(),
            max_state_age: timing.max_relay_state_age,
            share_validity: timing.relay_silence_timeout,
            handover_time: settings.relay_change_time() + SETTINGS_CHECK_INTERVAL,
            quotas: quota_limits(&settings),
        };
        let hub = RelayHub::new(relay_timing, is_first_start, Arc::clone(&view.crashes));
        let hub = Arc::new(hub);
        view.set_hub(Arc::clone(&hub));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_relay(listener, Arc::clone(&hub), view.log.clone()));
        let own_membership = OwnMembership {
            hub: Arc::clone(&hub),
            view: Arc::clone(view),
            settings: receiver.clone(),
            timing,
        };
        tasks.spawn(own_membership.run());
        let handover = RelayHandover {
            hub: Arc::clone(&hub),
            settings: receiver,
            view: Arc::clone(view),
            timing,
            handover_time: relay_timing.handover_time,
        };
        tasks.spawn(handover.run(is_first_start));
        let services = Arc::clone(&view.services);
        tasks.spawn(request_own_credits(Arc::clone(&hub), services, relay_timing.quotas));
        let (view, address) = (Arc::clone(view), settings.relay);
        let relays = settings.relays.iter().copied().collect();
        let exchanges = FastMap::default();
        let mut role = Self { hub, view, timing, address, relays, tasks, exchanges };
        role.update(&settings);
        role
    }

    /// Puts changed settings in effect, which still name this VM as a relay.
    pub(crate) fn update(&mut self, settings: &HostedSettings) {
        let now = Instant::now();
        let relays: BTreeSet<SocketAddr> = settings.relays.iter().copied().collect();
        if self.relays != relays {
            self.hub.change_relays(relays.len(), now);
            self.relays = relays;
        }
        self.hub.change_quota_limits(settings.quotas.over, settings.quotas.slack, now);
        self.exchanges.retain(|relay, exchange| {
            let is_named = settings.relays.contains(relay);
            if !is_named {
                exchange.abort();
                self.hub.set_relay_helpers(*relay, Vec::new());
            }
            is_named
        });
        // The other one of two relays connects to this one.
        for relay in settings.relays.iter().filter(|relay| self.address < **relay) {
            if !self.exchanges.contains_key(relay) {
                let (crashes, hub) = (Arc::clone(&self.view.crashes), Arc::clone(&self.hub));
                let log = self.view.log.clone();
                let exchange = CrashExchange::new(*relay, crashes, hub, self.timing, log);
                self.exchanges.insert(*relay, self.tasks.spawn(exchange.run()));
            }
        }
    }

    /// Closes the connections of subscribers, and uses nothing more of the relay's part of what the
    /// relays divide.
    pub(crate) async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.view.remove_hub();
        self.view.services.quotas.disconnect();
        self.view.services.set_slack(0.0, Instant::now());
    }
}

/// What a relay has from its own hub, like each of its subscribers.
struct OwnMembership {
    hub: Arc<RelayHub>,
    view: Arc<PlatformView>,
    settings: SettingsReceiver,
    timing: HostedTiming,
}

impl OwnMembership {
    /// Updates the relay's share and turns, and exchanges with the hub which VMs reach backend
    /// servers, until the future is dropped.
    async fn run(self) {
        let mut lost_servers = self.view.board.watch_lost_servers();
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
        self.hub.set_own_access(self.settings.borrow().callers, !has_lost_servers);
        if has_lost_servers {
            self.view.board.set_helpers(self.hub.helpers());
        }
    }

    /// Updates the relay's share of the retry budget's slack, which is divided among its subscribers
    /// and itself, and its turns.
    fn update_share(&self, now: Instant) {
        let services = &self.view.services;
        let validity = self.timing.relay_silence_timeout;
        let share = self.hub.own_share(now);
        let slack = self.settings.borrow().retries.slack;
        let slack = slack_share(slack, share.relays as usize, share.members);
        services.set_slack(slack, now + validity);
        if let Some(turns) = self.hub.own_turns(now) {
            services.quotas.set_fleet_size(turns.count.saturating_mul(turns.relays));
            services.assign_turns(&assigned_turns(&turns, now, validity), turns.relays);
        }
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

/// Returns how far accounts may exceed their quotas, and among how many relays these are divided.
pub(crate) fn quota_limits(settings: &HostedSettings) -> QuotaLimits {
    let quotas = settings.quotas;
    QuotaLimits {
        over: quotas.over,
        slack: quotas.slack,
        window: std::time::Duration::from_secs_f64(quotas.window_s),
        relays: settings.relays.len(),
    }
}
