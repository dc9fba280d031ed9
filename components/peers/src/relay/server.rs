//! Serves the subscribers of a relay, and other relays.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, yield_now};
use tokio::time::{Instant, interval, sleep, timeout};

use limits::CreditMessages;
use observe::{Logger, info, warn};

use crate::relay::SEND_STALL_TIMEOUT;
use crate::relay::helpers::HelperSource;
use crate::relay::hub::RelayHub;
use crate::relay::messages::{HeldVersions, RelayMessage};
use crate::transfer::PeerStream;
use crate::wire::{CborSocket, EncodedMessage, PeerError, connection_ended};

/// Interval at which relays tell each other of VMs that reach backend servers.
pub const HELPER_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves subscribers until the future is dropped, which closes their connections.
pub async fn serve_relay(listener: TcpListener, hub: Arc<RelayHub>, log: Logger) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, subscriber)) => {
                let (hub, log) = (Arc::clone(&hub), log.clone());
                connections.spawn(async move {
                    let Err(error) = serve_connection(stream, &hub).await;
                    info!(log, "relay: subscriber disconnected"; "subscriber" => %subscriber,
                        "reason" => %error);
                });
            }
            Err(error) => {
                warn!(log, "relay: accept failed"; "reason" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, hub: &RelayHub) -> Result<Infallible, PeerError> {
    stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
    serve_subscriber(stream, hub).await
}

/// Serves one subscriber until the connection ends.
pub async fn serve_subscriber(
    stream: impl PeerStream + 'static,
    hub: &RelayHub,
) -> Result<Infallible, PeerError> {
    let (mut socket, held) = timeout(hub.timing.handshake_timeout, accept_subscriber(stream))
        .await
        .map_err(|_| PeerError::TimedOut)??;
    if held.is_relay {
        return exchange_with_relay(socket, hub, &held).await;
    }
    let member = hub.join();
    let (missing, mut updates) = hub.subscribe(&held)?;
    let mut state = Vec::new();
    // A subscriber that has just started must not use old state before it knows its age.
    state.extend(hub.stale_keep_alive(&updates, &member.membership, Instant::now())?);
    state.extend(missing);
    for message in state {
        send(&mut socket, &message, held.accepts_compressed).await?;
    }
    let mut keep_alive_ticks = interval(hub.timing.keep_alive_interval);
    let mut crash_feed = hub.crashes.feed();
    let connection = hub.helpers.connect(HelperSource::Subscriber);
    let mut credits = hub.credits.connect();
    let mut needs_helpers = false;
    loop {
        let message = tokio::select! {
            biased;
            update = updates.recv() => {
                let update = update.map_err(|error| connection_ended(&error))?;
                if held.format < update.min_format {
                    continue;
                }
                update.message
            }
            reports = crash_feed.next(), if held.exchanges_crash_reports => {
                EncodedMessage::new(&RelayMessage::CrashReports(reports))?
            }
            received = socket.receive(), if held.exchanges_crash_reports => {
                let needs = hub.apply(&connection, &credits, false, received?);
                needs_helpers = needs.unwrap_or(needs_helpers);
                // One that sends without a pause must not delay the others.
                yield_now().await;
                if !needs_helpers {
                    continue;
                }
                EncodedMessage::new(&RelayMessage::Helpers(hub.helpers()))?
            }
            messages = credits.next() => {
                EncodedMessage::new(&RelayMessage::CreditGrants(messages.grants))?
            }
            _ = keep_alive_ticks.tick() => {
                if needs_helpers {
                    let helpers = EncodedMessage::new(&RelayMessage::Helpers(hub.helpers()))?;
                    send(&mut socket, &helpers, held.accepts_compressed).await?;
                }
                match hub.keep_alive(&updates, &member.membership, Instant::now()) {
                    Some(keep_alive) => EncodedMessage::new(&keep_alive)?,
                    None => continue,
                }
            }
        };
        send(&mut socket, &message, held.accepts_compressed).await?;
    }
}

/// Exchanges crash reports and credits with another relay until the connection ends.
async fn exchange_with_relay(
    mut socket: CborSocket,
    hub: &RelayHub,
    held: &HeldVersions,
) -> Result<Infallible, PeerError> {
    let mut keep_alive_ticks = interval(hub.timing.keep_alive_interval);
    let mut helper_ticks = interval(HELPER_INTERVAL);
    let mut crash_feed = hub.crashes.feed();
    let connection = hub.helpers.connect(HelperSource::Relay);
    // An older version of the daemon requests no credits, and must not be requested any.
    let mut credits = match held.understands_credits() {
        true => hub.credits.connect_relay(),
        false => hub.credits.connect(),
    };
    if held.understands_credits() {
        let greeting = EncodedMessage::new(&RelayMessage::CreditGrants(Vec::new()))?;
        send(&mut socket, &greeting, true).await?;
    }
    loop {
        let message = tokio::select! {
            biased;
            reports = crash_feed.next() => RelayMessage::CrashReports(reports),
            received = socket.receive() => {
                hub.apply(&connection, &credits, true, received?);
                yield_now().await;
                continue;
            }
            CreditMessages { requests, grants } = credits.next() => {
                if !requests.is_empty() {
                    let message = EncodedMessage::new(&RelayMessage::CreditRequests(requests))?;
                    send(&mut socket, &message, true).await?;
                }
                if grants.is_empty() {
                    continue;
                }
                RelayMessage::CreditGrants(grants)
            }
            _ = helper_ticks.tick() => RelayMessage::Helpers(hub.own_helpers()),
            _ = keep_alive_ticks.tick() => RelayMessage::CrashReports(Vec::new()),
        };
        let message = EncodedMessage::new(&message)?;
        send(&mut socket, &message, true).await?;
    }
}

async fn send(
    socket: &mut CborSocket,
    message: &EncodedMessage,
    accepts_compressed: bool,
) -> Result<(), PeerError> {
    let bytes = message.bytes(accepts_compressed);
    socket.send_encoded_unless_stalled(bytes, SEND_STALL_TIMEOUT).await
}

async fn accept_subscriber(
    stream: impl PeerStream + 'static,
) -> Result<(CborSocket, HeldVersions), PeerError> {
    let mut socket = CborSocket::accept(Box::new(stream)).await?;
    let (held, _) = socket.receive().await?;
    Ok((socket, held))
}
