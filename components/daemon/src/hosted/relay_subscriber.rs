//! Learns from entry VMs that read the store for others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use limits::slack_part;
use model::jittered;
use observe::info;
use peers::{PeerFault, RelayMessage, RelaySubscription};
use routes::ServerChange;

use crate::hosted::platform_view::PlatformView;

/// Age of a relay's knowledge from which another relay is tried. A relay confirms at least once a
/// second; the store is asked a little later.
const MAX_RELAY_STATE_AGE: Duration = Duration::from_millis(1_100);

/// Silence of a relay after which it counts as lost: three signs of life missed.
const RELAY_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Mean time that a relay has to become fresh when all others were lost or not fresh either.
const LAST_RELAY_GRACE: Duration = Duration::from_secs(2);

/// Mean pause before the relays are tried again after all were lost; it doubles up to the last
/// patience. All VMs may start at the same time, in any order.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows one relay after the other.
pub(crate) struct RelaySubscriber {
    relays: Vec<SocketAddr>,
    view: Arc<PlatformView>,
    /// Slack of the fleet's budget of further arrivals.
    slack: f64,
}

/// Why a subscription ended.
#[derive(derive_more::Display)]
enum SubscriptionEnd {
    #[display("{_0}")]
    Failed(PeerFault),
    #[display("relay's knowledge is {_0} ms old")]
    Stale(u64),
    #[display("a change is missing")]
    MissingChange,
}

impl RelaySubscriber {
    pub(crate) fn new(relays: Vec<SocketAddr>, view: Arc<PlatformView>, slack: f64) -> Self {
        Self { relays, view, slack }
    }

    /// Follows relays until it is dropped; tells when one last confirmed what is known.
    pub(crate) async fn run(&self, confirmations: &watch::Sender<Option<Instant>>) {
        let mut relays = self.relays.clone();
        let mut pause = INITIAL_RETRY_PAUSE;
        loop {
            relays.shuffle(&mut rand::rng());
            for (index, relay) in relays.iter().enumerate() {
                let is_last = index + 1 == relays.len();
                let stale_allowed_until =
                    is_last.then(|| Instant::now() + jittered(LAST_RELAY_GRACE));
                let subscription = self.subscribe(*relay).await;
                if subscription.is_ok() {
                    pause = INITIAL_RETRY_PAUSE;
                }
                let end = match subscription {
                    Ok(subscription) => {
                        self.receive_updates(subscription, confirmations, stale_allowed_until).await
                    }
                    Err(fault) => SubscriptionEnd::Failed(fault),
                };
                // Without a relay nobody says how much of the slack is this VM's.
                self.view.services.set_slack(0.0);
                info!(self.view.log, "relay: lost"; "relay" => %relay, "reason" => %end);
            }
            sleep(jittered(pause)).await;
            pause = LAST_RELAY_GRACE.min(pause * 2);
        }
    }

    async fn subscribe(&self, relay: SocketAddr) -> Result<RelaySubscription, PeerFault> {
        let held = self.view.held_versions();
        let subscription = RelaySubscription::open(relay, &held).await?;
        info!(self.view.log, "relay: subscribed"; "relay" => %relay);
        Ok(subscription)
    }

    /// Follows one relay until it is lost or its knowledge is old. With a time in `old_until`, it is
    /// followed until then though its knowledge is old.
    async fn receive_updates(
        &self,
        mut subscription: RelaySubscription,
        confirmations: &watch::Sender<Option<Instant>>,
        mut stale_allowed_until: Option<Instant>,
    ) -> SubscriptionEnd {
        loop {
            let message = match subscription.next(RELAY_SILENCE_TIMEOUT).await {
                Ok(message) => message,
                Err(fault) => return SubscriptionEnd::Failed(fault),
            };
            if let RelayMessage::Alive { age_ms, .. } = message {
                let now = Instant::now();
                let age = Duration::from_millis(age_ms);
                if age <= MAX_RELAY_STATE_AGE {
                    confirmations.send_replace(now.checked_sub(age));
                    // From now on another relay is as good a choice when this one's is old.
                    stale_allowed_until = None;
                } else if stale_allowed_until.is_none_or(|until| now >= until) {
                    return SubscriptionEnd::Stale(age_ms);
                }
            }
            if let Some(end) = self.apply_message(message) {
                return end;
            }
        }
    }

    fn apply_message(&self, message: RelayMessage) -> Option<SubscriptionEnd> {
        let view = &self.view;
        match message {
            RelayMessage::Config(table) => view.apply_config(table),
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
            RelayMessage::Alive { is_store_away, members, .. } => {
                view.set_store_unreachable(is_store_away);
                let slack_share = slack_part(self.slack, self.relays.len(), members);
                view.services.set_slack(slack_share);
            }
        }
        None
    }
}
