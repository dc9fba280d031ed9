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
use peers::{PeerError, RelayMessage, RelaySubscription};
use routes::ServerChange;

use crate::hosted::knowledge::Knowledge;

/// Age of a relay's knowledge from which another relay is tried. A relay confirms at least once a
/// second; the store is asked a little later.
const RELAY_MAX_AGE: Duration = Duration::from_millis(1_100);

/// Silence of a relay after which it counts as lost: three signs of life missed.
const RELAY_SILENCE: Duration = Duration::from_millis(800);

/// Mean time that a relay has to become fresh when all others were lost or not fresh either.
const LAST_PATIENCE: Duration = Duration::from_secs(2);

/// Mean pause before the relays are tried again after all were lost; it doubles up to the last
/// patience. All VMs may start at the same time, in any order.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Follows one relay after the other.
pub(crate) struct Subscriber {
    relays: Vec<SocketAddr>,
    knowledge: Arc<Knowledge>,
    /// Slack of the fleet's budget of further arrivals.
    slack: f64,
}

/// Why a subscription ended.
#[derive(derive_more::Display)]
enum SubscriptionEnd {
    #[display("{_0}")]
    Broken(PeerError),
    #[display("relay's knowledge is {_0} ms old")]
    Old(u64),
    #[display("a change is missing")]
    Gap,
}

impl Subscriber {
    pub(crate) fn new(relays: Vec<SocketAddr>, knowledge: Arc<Knowledge>, slack: f64) -> Self {
        Self { relays, knowledge, slack }
    }

    /// Follows relays until it is dropped; tells when one last confirmed what is known.
    pub(crate) async fn run(&self, confirmed: &watch::Sender<Option<Instant>>) {
        let mut relays = self.relays.clone();
        let mut pause = FIRST_PAUSE;
        loop {
            relays.shuffle(&mut rand::rng());
            for (number, relay) in relays.iter().enumerate() {
                let is_last = number + 1 == relays.len();
                let old_until = is_last.then(|| Instant::now() + jittered(LAST_PATIENCE));
                let subscription = self.subscribe(*relay).await;
                if subscription.is_ok() {
                    pause = FIRST_PAUSE;
                }
                let end = match subscription {
                    Ok(subscription) => self.follow(subscription, confirmed, old_until).await,
                    Err(fault) => SubscriptionEnd::Broken(fault),
                };
                // Without a relay nobody says how much of the slack is this VM's.
                self.knowledge.services.set_slack(0.0);
                info!(self.knowledge.log, "relay: lost"; "relay" => %relay, "reason" => %end);
            }
            sleep(jittered(pause)).await;
            pause = LAST_PATIENCE.min(pause * 2);
        }
    }

    async fn subscribe(&self, relay: SocketAddr) -> Result<RelaySubscription, PeerError> {
        let known = self.knowledge.versions();
        let subscription = RelaySubscription::open(relay, &known).await?;
        info!(self.knowledge.log, "relay: subscribed"; "relay" => %relay);
        Ok(subscription)
    }

    /// Follows one relay until it is lost or its knowledge is old. With a time in `old_until`, it is
    /// followed until then though its knowledge is old.
    async fn follow(
        &self,
        mut subscription: RelaySubscription,
        confirmed: &watch::Sender<Option<Instant>>,
        mut old_until: Option<Instant>,
    ) -> SubscriptionEnd {
        loop {
            let message = match subscription.next(RELAY_SILENCE).await {
                Ok(message) => message,
                Err(fault) => return SubscriptionEnd::Broken(fault),
            };
            if let RelayMessage::KeepAlive { age_ms, .. } = message {
                let now = Instant::now();
                let age = Duration::from_millis(age_ms);
                if age <= RELAY_MAX_AGE {
                    confirmed.send_replace(now.checked_sub(age));
                    // From now on another relay is as good a choice when this one's is old.
                    old_until = None;
                } else if old_until.is_none_or(|until| now >= until) {
                    return SubscriptionEnd::Old(age_ms);
                }
            }
            if let Some(end) = self.take(message) {
                return end;
            }
        }
    }

    fn take(&self, message: RelayMessage) -> Option<SubscriptionEnd> {
        let knowledge = &self.knowledge;
        match message {
            RelayMessage::Config(table) => knowledge.take_config(table),
            RelayMessage::Servers { version, records } => {
                let listed = records.into_iter().map(ServerChange::Present).collect();
                knowledge.take_listing(version, listed);
            }
            RelayMessage::Changes { after, version, changes } => {
                if knowledge.servers_version().is_none_or(|known| known < after) {
                    return Some(SubscriptionEnd::Gap);
                }
                knowledge.take_changes(version, changes);
            }
            RelayMessage::KeepAlive { is_store_unreachable, members, .. } => {
                knowledge.note_store(is_store_unreachable);
                let part = slack_part(self.slack, self.relays.len(), members);
                knowledge.services.set_slack(part);
            }
        }
        None
    }
}
