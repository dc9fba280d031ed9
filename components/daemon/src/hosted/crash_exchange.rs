//! Exchanges crash reports between relays, so that the subscribers of all of them know each report,
//! tells which VMs reach backend servers, and lends and borrows credits of client accounts.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::{Instant, interval, sleep};

use limits::CreditMessages;
use model::jittered;
use observe::{Logger, info};
use peers::{
    CreditConnection, HELPER_INTERVAL, HeldVersions, PeerError, RelayHub, RelayMessage,
    RelaySubscription, SubscriberMessage,
};
use quarantine::CrashBoard;
use routes::CONFIG_FORMAT;
use settings::HostedTiming;

/// Exchanges crash reports with one other relay.
pub(crate) struct CrashExchange {
    relay: SocketAddr,
    crashes: Arc<CrashBoard>,
    hub: Arc<RelayHub>,
    timing: HostedTiming,
    log: Logger,
}

impl CrashExchange {
    pub(crate) fn new(
        relay: SocketAddr,
        crashes: Arc<CrashBoard>,
        hub: Arc<RelayHub>,
        timing: HostedTiming,
        log: Logger,
    ) -> Self {
        Self { relay, crashes, hub, timing, log }
    }

    /// Exchanges reports until the future is dropped. Connects again whenever the connection ends.
    pub(crate) async fn run(self) {
        let mut pause = self.timing.subscription_retry_pause;
        loop {
            let held = HeldVersions {
                exchanges_crash_reports: true,
                is_relay: true,
                format: CONFIG_FORMAT,
                ..HeldVersions::default()
            };
            let handshake_timeout = self.timing.relay_handshake_timeout;
            let error = match RelaySubscription::open(self.relay, &held, handshake_timeout).await {
                Ok(connection) => {
                    pause = self.timing.subscription_retry_pause;
                    self.exchange(connection).await
                }
                Err(error) => error,
            };
            info!(self.log, "relay: exchange of crash reports failed; connecting again";
                "relay" => %self.relay, "reason" => %error);
            self.hub.set_relay_helpers(self.relay, Vec::new());
            sleep(jittered(pause)).await;
            pause = self.timing.last_relay_grace.min(pause * 2);
        }
    }

    async fn exchange(&self, mut connection: RelaySubscription) -> PeerError {
        let mut crash_feed = self.crashes.feed();
        let mut helper_ticks = interval(HELPER_INTERVAL);
        // `None` while the other relay is not known to understand credits.
        let mut credits: Option<CreditConnection<'_>> = None;
        loop {
            let result = tokio::select! {
                received = connection.next(self.timing.relay_silence_timeout) => {
                    received.map(|message| self.apply(message, &mut credits))
                }
                _ = helper_ticks.tick() => {
                    let callers = self.hub.own_helpers();
                    let message = SubscriberMessage::Helpers { callers, needs_helpers: false };
                    connection.send(&message).await
                }
                reports = crash_feed.next() => connection.send_crash_reports(reports).await,
                messages = next_credit_messages(&mut credits) => {
                    send_credit_messages(&mut connection, messages).await
                }
            };
            if let Err(error) = result {
                return error;
            }
        }
    }

    fn apply<'a>(&'a self, message: RelayMessage, credits: &mut Option<CreditConnection<'a>>) {
        match message {
            RelayMessage::CrashReports(reports) => self.crashes.merge(&reports, Instant::now()),
            RelayMessage::CreditGrants(grants) => {
                credits.get_or_insert_with(|| self.hub.connect_lender()).apply_loans(&grants);
            }
            RelayMessage::CreditRequests(requests) => {
                credits.get_or_insert_with(|| self.hub.connect_lender()).lend(&requests);
            }
            RelayMessage::Helpers(helpers) => self.hub.set_relay_helpers(self.relay, helpers),
            // An older version of the daemon takes this relay for a subscriber.
            _ => {}
        }
    }
}

async fn next_credit_messages(credits: &mut Option<CreditConnection<'_>>) -> CreditMessages {
    match credits {
        Some(credits) => credits.next().await,
        None => pending().await,
    }
}

async fn send_credit_messages(
    connection: &mut RelaySubscription,
    messages: CreditMessages,
) -> Result<(), PeerError> {
    if !messages.requests.is_empty() {
        connection.send(&SubscriberMessage::CreditRequests(messages.requests)).await?;
    }
    if !messages.grants.is_empty() {
        connection.send(&SubscriberMessage::CreditGrants(messages.grants)).await?;
    }
    Ok(())
}
