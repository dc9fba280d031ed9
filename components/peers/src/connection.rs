//! Connections to peers. Each entry VM dials every other one.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, timeout};

use model::{VmId, jittered};
use observe::{DaemonMetrics, Logger, info, warn};

use crate::handshake::PeerIdentity;
use crate::message::{PeerHeartbeat, PeerMessage};
use crate::wire::{CborSocket, PeerError, connection_ended, encode};

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a received byte, or with a message of which no byte can be sent, after which a
/// connection is closed: two missed heartbeats plus a margin.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout for connecting and authenticating.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Initial and maximum delay between two connection attempts.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Capacity of the queue of messages to one peer. A slow peer misses the newest messages and
/// fetches them later.
const OUTBOX_CAPACITY: usize = 64;

/// Maximum number of connections from peers, including those that are still authenticating.
const MAX_ACCEPTED_CONNECTIONS: usize = 1_024;

/// Sending end of the queue of messages to one peer.
pub type PeerOutbox = mpsc::Sender<PeerMessage>;

/// An event on a peer connection.
#[derive(Debug)]
pub enum PeerEvent {
    /// A dialed peer was authenticated; messages to it go to the outbox.
    Connected(VmId, PeerOutbox),
    /// A message was received; responses to it go to the outbox.
    Received(VmId, PeerMessage, PeerOutbox),
    /// A dialed peer's connection ended.
    Disconnected(VmId),
}

/// Maintains a connection to the peer at `address` until the task is aborted. Returns only if the
/// peer is this VM itself or the receiver of `events` was dropped.
pub async fn dial_peer(
    address: SocketAddr,
    identity: PeerIdentity,
    events: mpsc::Sender<PeerEvent>,
    heartbeat: impl Fn() -> PeerHeartbeat + Clone + Send + 'static,
    metrics: DaemonMetrics,
    log: Logger,
) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match timeout(HANDSHAKE_TIMEOUT, connect_to_peer(address, &identity)).await {
            // The list of addresses may contain that of this VM.
            Ok(Ok((_, vm))) if vm == identity.vm => return,
            Ok(Ok((socket, vm))) => {
                backoff = INITIAL_BACKOFF;
                let error = run_dialed_connection(socket, &vm, &events, &heartbeat, &metrics).await;
                info!(log, "peers: connection ended"; "peer" => %vm, "reason" => %error);
                if events.send(PeerEvent::Disconnected(vm)).await.is_err() {
                    return;
                }
            }
            Ok(Err(PeerError::KeyMismatch)) => {
                warn!(log, "peers: dialed peer has a different peer key"; "address" => %address);
            }
            Ok(Err(_)) | Err(_) => {}
        }
        // Jitter prevents the whole fleet from dialing a restarted peer at the same time.
        sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Accepts connections from peers until the task is aborted.
pub async fn accept_peers(
    listener: TcpListener,
    identity: PeerIdentity,
    events: mpsc::Sender<PeerEvent>,
    metrics: DaemonMetrics,
    log: Logger,
) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_ACCEPTED_CONNECTIONS));
    loop {
        let Ok(permit) = std::sync::Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "peers: accept failed"; "reason" => %error);
                sleep(INITIAL_BACKOFF).await;
                continue;
            }
        };
        let (identity, events, metrics) = (identity.clone(), events.clone(), metrics.clone());
        let log = log.clone();
        tokio::spawn(async move {
            match timeout(HANDSHAKE_TIMEOUT, accept_peer(stream, &identity)).await {
                Ok(Ok((socket, vm))) => {
                    run_accepted_connection(socket, &vm, &events, &metrics).await;
                }
                Ok(Err(error)) => {
                    warn!(log, "peers: incoming connection rejected"; "reason" => %error);
                }
                Err(_) => warn!(log, "peers: incoming connection timed out during authentication"),
            }
            drop(permit);
        });
    }
}

async fn connect_to_peer(
    address: SocketAddr,
    identity: &PeerIdentity,
) -> Result<(CborSocket, VmId), PeerError> {
    let stream = TcpStream::connect(address).await.map_err(|error| connection_ended(&error))?;
    stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
    let mut socket =
        CborSocket::connect(&format!("ws://{address}/peers"), Box::new(stream)).await?;
    let vm = identity.authenticate_as_dialer(&mut socket).await?;
    Ok((socket, vm))
}

async fn accept_peer(
    stream: TcpStream,
    identity: &PeerIdentity,
) -> Result<(CborSocket, VmId), PeerError> {
    stream.set_nodelay(true).map_err(|error| connection_ended(&error))?;
    let mut socket = CborSocket::accept(Box::new(stream)).await?;
    let vm = identity.authenticate_as_acceptor(&mut socket).await?;
    Ok((socket, vm))
}

async fn run_dialed_connection(
    mut socket: CborSocket,
    vm: &VmId,
    events: &mpsc::Sender<PeerEvent>,
    heartbeat: &impl Fn() -> PeerHeartbeat,
    metrics: &DaemonMetrics,
) -> PeerError {
    let (outbox, mut outgoing) = mpsc::channel(OUTBOX_CAPACITY);
    if events.send(PeerEvent::Connected(vm.clone(), outbox.clone())).await.is_err() {
        return PeerError::ConnectionEnded { reason: "stopping".into() };
    }
    let mut heartbeat_ticks = interval(HEARTBEAT_INTERVAL);
    loop {
        let result = tokio::select! {
            received = socket.receive::<PeerMessage>() => {
                forward_message(received, vm, events, &outbox, metrics).await
            }
            Some(message) = outgoing.recv() => send_message(&mut socket, &message, metrics).await,
            _ = heartbeat_ticks.tick() => {
                if socket.last_received_at().elapsed() > PEER_TIMEOUT {
                    return PeerError::TimedOut;
                }
                send_message(&mut socket, &PeerMessage::Heartbeat(heartbeat()), metrics).await
            }
        };
        if let Err(error) = result {
            return error;
        }
    }
}

async fn run_accepted_connection(
    mut socket: CborSocket,
    vm: &VmId,
    events: &mpsc::Sender<PeerEvent>,
    metrics: &DaemonMetrics,
) {
    let (outbox, mut outgoing) = mpsc::channel(OUTBOX_CAPACITY);
    loop {
        let result = tokio::select! {
            received = socket.receive_unless_silent::<PeerMessage>(PEER_TIMEOUT) => {
                forward_message(received, vm, events, &outbox, metrics).await
            }
            Some(message) = outgoing.recv() => send_message(&mut socket, &message, metrics).await,
        };
        if result.is_err() {
            return;
        }
    }
}

async fn forward_message(
    received: Result<(PeerMessage, u64), PeerError>,
    vm: &VmId,
    events: &mpsc::Sender<PeerEvent>,
    outbox: &PeerOutbox,
    metrics: &DaemonMetrics,
) -> Result<(), PeerError> {
    let (message, size) = received?;
    metrics.peer_bytes.inc_by(size);
    let event = PeerEvent::Received(vm.clone(), message, outbox.clone());
    events.send(event).await.map_err(|_| PeerError::ConnectionEnded { reason: "stopping".into() })
}

async fn send_message(
    socket: &mut CborSocket,
    message: &PeerMessage,
    metrics: &DaemonMetrics,
) -> Result<(), PeerError> {
    let encoded = encode(message)?;
    let size = encoded.len() as u64;
    // A peer that stops reading must not block this connection's heartbeats forever.
    socket.send_encoded_unless_stalled(encoded, PEER_TIMEOUT).await?;
    metrics.peer_bytes.inc_by(size);
    Ok(())
}
