//! Receives updates from relays: entry VMs that read the store for others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use balance::AssignedTurns;
use limits::slack_share;
use model::jittered;
use observe::info;
use peers::{
    MessageDelay, PeerError, RelayMessage, RelaySubscription, SubscriberMessage, SubscriberTurns,
    connect_first,
};
use routes::{CONFIG_FORMAT, ServerChange};
use settings::{HostedSettings, HostedTiming};

use crate::hosted::platform_view::{ConfigSource, PlatformView};
use crate::hosted::settings_watcher::SettingsReceiver;

/// Subscribes to one relay at a time and moves on to the next when it fails or is stale.
pub(crate) struct RelaySubscriber {
    settings: SettingsReceiver,
    view: Arc<PlatformView>,
    timing: HostedTiming,
}

/// Why a subscription ended.
#[derive(derive_more::Display)]
enum SubscriptionEnd {
    #[display("{_0}")]
    Failed(PeerError),
    #[display("relay's state is {_0} ms old")]
    Stale(u64),
    #[display("relay's server list is of the earlier era {_0} of the store")]
    EarlierEra(u64),
    #[display("a change of the server list is missing")]
    MissingChange,
    #[display("the settings name it as a relay no longer")]
    NotNamed,
    /// What its configuration leaves out, such as client accounts, is not known to be absent.
    #[display("relay's configuration is of an older format: {_0}")]
    OlderFormat(u32),
}

impl RelaySubscriber {
    pub(crate) fn new(
        settings: SettingsReceiver,
        view: Arc<PlatformView>,
        timing: HostedTiming,
    ) -> Self {
        Self { settings, view, timing }
    }

    /// Receives updates from relays until the future is dropped. Sends the time at which the state
    /// of a fresh relay was last confirmed to `confirmations`.
    pub(crate) async fn run(&self, confirmations: &watch::Sender<Option<Instant>>) {
        let mut settings = self.settings.clone();
        let mut pause = self.timing.subscription_retry_pause;
        loop {
            let mut relays = other_relays(&settings.borrow_and_update());
            relays.shuffle(&mut rand::rng());
            let mut opened = tokio::select! {
                opened = self.connect_first(&mut relays) => opened,
                // The relays may be others now.
                Ok(()) = settings.changed() => continue,
            };
            for (index, relay) in relays.iter().enumerate() {
                let is_last = index + 1 == relays.len();
                let stale_allowed_until =
                    is_last.then(|| Instant::now() + jittered(self.timing.last_relay_grace));
                if !self.settings.borrow().relays.contains(relay) {
                    continue;
                }
                let end = match self.subscribe(*relay, opened.take()).await {
                    Ok(subscription) => {
                        let mut source =
                            ConfigSource { name: relay.to_string().into(), confirmed_at: None };
                        let updates = self.receive_updates(
                            subscription,
                            *relay,
                            &mut source,
                            confirmations,
                            stale_allowed_until,
                        );
                        let end = updates.await;
                        // A relay of an older version stays useless until it is replaced.
                        if !matches!(end, SubscriptionEnd::OlderFormat(_)) {
                            pause = self.timing.subscription_retry_pause;
                        }
                        end
                    }
                    Err(error) => SubscriptionEnd::Failed(error),
                };
                self.view.services.quotas.disconnect();
                if matches!(end, SubscriptionEnd::Failed(_)) {
                    self.view.set_outage_known(false);
                }
                // Without a relay this VM's share of the slack is unknown.
                self.view.services.set_slack(0.0, Instant::now());
                info!(self.view.log, "relay: subscription failed"; "relay" => %relay,
                    "reason" => %end);
            }
            tokio::select! {
                () = sleep(jittered(pause)) => pause = self.timing.last_relay_grace.min(pause * 2),
                Ok(()) = settings.changed() => pause = self.timing.subscription_retry_pause,
            }
        }
    }

    /// Connects to the first relay that accepts a connection, and moves it to the front of `relays`,
    /// while this VM has no configuration: callers wait for it, and the other relays may be down.
    async fn connect_first(&self, relays: &mut [SocketAddr]) -> Option<TcpStream> {
        if relays.is_empty() || self.view.board.version().is_some() {
            return None;
        }
        let handshake_timeout = self.timing.relay_handshake_timeout;
        let (first, stream) = connect_first(relays, handshake_timeout).await;
        let index = relays.iter().position(|relay| *relay == first)?;
        relays[..=index].rotate_right(1);
        Some(stream)
    }

    /// Subscribes to a relay, on `opened` if that is a connection to it.
    async fn subscribe(
        &self,
        relay: SocketAddr,
        opened: Option<TcpStream>,
    ) -> Result<RelaySubscription, PeerError> {
        let held = self.view.held_versions();
        let handshake_timeout = self.timing.relay_handshake_timeout;
        let subscription = match opened {
            Some(stream) => {
                RelaySubscription::open_on(stream, relay, &held, handshake_timeout).await?
            }
            None => RelaySubscription::open(relay, &held, handshake_timeout).await?,
        };
        info!(self.view.log, "relay: subscribed"; "relay" => %relay);
        Ok(subscription)
    }

    /// Applies updates of one relay until it fails or its state is stale. Until
    /// `stale_allowed_until`, stale state does not end the subscription.
    async fn receive_updates(
        &self,
        mut subscription: RelaySubscription,
        relay: SocketAddr,
        source: &mut ConfigSource,
        confirmations: &watch::Sender<Option<Instant>>,
        mut stale_allowed_until: Option<Instant>,
    ) -> SubscriptionEnd {
        let mut delays = MessageDelay::new(self.timing.keep_alive_interval);
        let mut crash_feed = self.view.crashes.feed();
        // Older versions of the daemon don't exchange crash reports.
        let mut exchanges_crash_reports = false;
        // An older version of the daemon, which grants no credits, is left at its first message.
        let mut grants_credits = false;
        let mut settings = self.settings.clone();
        let mut lost_servers = self.view.board.watch_lost_servers();
        // The first message tells it to the relay.
        lost_servers.mark_changed();
        loop {
            if !settings.borrow_and_update().relays.contains(&relay) {
                return SubscriptionEnd::NotNamed;
            }
            let received = tokio::select! {
                Ok(()) = settings.changed() => Ok(None),
                received = subscription.next(self.timing.relay_silence_timeout) => {
                    received.map(Some)
                }
                _ = lost_servers.changed(), if exchanges_crash_reports => {
                    let needs_helpers = *lost_servers.borrow_and_update();
                    subscription.send(&self.access_message(needs_helpers)).await.map(|()| None)
                }
                reports = crash_feed.next(), if exchanges_crash_reports => {
                    subscription.send_crash_reports(reports).await.map(|()| None)
                }
                requests = self.view.services.quotas.next_requests(), if grants_credits => {
                    let message = SubscriberMessage::CreditRequests(requests);
                    subscription.send(&message).await.map(|()| None)
                }
            };
            let message = match received {
                Ok(Some(message)) => message,
                Ok(None) => continue,
                Err(error) => return SubscriptionEnd::Failed(error),
            };
            if let Some(format) = older_format(&message) {
                return SubscriptionEnd::OlderFormat(format);
            }
            exchanges_crash_reports |= matches!(message, RelayMessage::CrashReports(_));
            let now = Instant::now();
            let mut delay = Duration::ZERO;
            if let RelayMessage::KeepAlive { age_ms, era, clock_ms, is_store_unreachable, .. } =
                message
            {
                self.view.set_outage_known(is_store_unreachable);
                if !grants_credits {
                    grants_credits = true;
                    self.view.services.quotas.connect();
                }
                if self.view.servers_version().is_some_and(|held| held.era > era) {
                    return SubscriptionEnd::EarlierEra(era);
                }
                let age = Duration::from_millis(age_ms);
                if let Some(clock_ms) = clock_ms {
                    delay = delays.observe(Duration::from_millis(clock_ms), now);
                }
                if age <= self.timing.max_relay_state_age {
                    source.confirmed_at = now.checked_sub(age + delay);
                    confirmations.send_replace(source.confirmed_at);
                    // If this relay becomes stale later, another one may be fresh.
                    stale_allowed_until = None;
                } else if stale_allowed_until.is_none_or(|until| now >= until) {
                    return SubscriptionEnd::Stale(age_ms);
                }
            }
            let sent_at = now.checked_sub(delay).unwrap_or(now);
            if let Some(end) = self.apply_message(message, source, sent_at) {
                return end;
            }
        }
    }

    /// Tells a relay whether this VM reaches backend servers.
    fn access_message(&self, needs_helpers: bool) -> SubscriberMessage {
        let own = self.settings.borrow().callers;
        let callers = if needs_helpers { Vec::new() } else { vec![own] };
        SubscriberMessage::Helpers { callers, needs_helpers }
    }

    fn apply_message(
        &self,
        message: RelayMessage,
        source: &ConfigSource,
        sent_at: Instant,
    ) -> Option<SubscriptionEnd> {
        let view = &self.view;
        match message {
            RelayMessage::Evacuations { version, zones } => {
                view.apply_evacuations(version, &zones, &source.name);
            }
            // Only relays borrow credits.
            RelayMessage::CreditRequests(_) => {}
            RelayMessage::CreditGrants(grants) => view.services.quotas.apply_grants(&grants),
            RelayMessage::Config(table) => view.apply_config(table, source),
            RelayMessage::Servers { version, records } => {
                let listed = records.into_iter().map(ServerChange::Present).collect();
                view.apply_listing(version, listed);
            }
            RelayMessage::Changes { after, version, changes } => {
                if view.servers_version().is_none_or(|held| held < after) {
                    return Some(SubscriptionEnd::MissingChange);
                }
                view.apply_changes(version, changes);
            }
            RelayMessage::Helpers(mut helpers) => {
                let own = self.settings.borrow().callers;
                helpers.retain(|helper| *helper != own);
                view.board.set_helpers(helpers);
            }
            RelayMessage::CrashReports(reports) => view.crashes.merge(&reports, Instant::now()),
            RelayMessage::KeepAlive { is_store_unreachable, members, relays, turns, .. } => {
                view.set_store_unreachable(is_store_unreachable);
                let validity = self.timing.relay_silence_timeout;
                let settings = self.settings.borrow();
                // An older version of the daemon doesn't tell by which number it divides.
                let known = |relays: u32| match relays {
                    0 => settings.relays.len() as u32,
                    relays => relays,
                };
                let share = slack_share(settings.retries.slack, known(relays) as usize, members);
                view.services.set_slack(share, sent_at + validity);
                if let Some(turns) = turns {
                    let relays = known(turns.relays);
                    view.services.quotas.set_fleet_size(turns.count.saturating_mul(relays));
                    let assigned = assigned_turns(&turns, sent_at, validity);
                    view.services.assign_turns(&assigned, relays);
                }
            }
        }
        None
    }
}

/// Returns the relays other than this VM, which is one without subscribers if its port can't be
/// opened.
fn other_relays(settings: &HostedSettings) -> Vec<SocketAddr> {
    settings.relays.iter().copied().filter(|relay| *relay != settings.relay).collect()
}

/// Returns the format of a relay's configuration that lacks parts which this VM must not take for
/// absent. The relay knows nothing of the evacuations either, and must confirm no state.
fn older_format(message: &RelayMessage) -> Option<u32> {
    let format = match message {
        RelayMessage::Config(table) => table.format,
        RelayMessage::KeepAlive { format, .. } => *format,
        _ => return None,
    };
    (format < CONFIG_FORMAT).then_some(format)
}

/// Returns the turns that a relay assigned at `sent_at`, for `validity`.
pub(crate) fn assigned_turns(
    turns: &SubscriberTurns,
    sent_at: Instant,
    validity: Duration,
) -> AssignedTurns {
    AssignedTurns {
        count: turns.count,
        index: turns.index,
        clock: Duration::from_millis(turns.clock_ms),
        read_at: sent_at,
        validity,
    }
}
