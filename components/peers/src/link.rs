//! Keeps connections to peers: each entry VM dials every other one.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use model::{VmId, jittered};
use observe::{DaemonMetrics, Logger, info, warn};

use crate::handshake::PeerIdentity;
use crate::message::{PeerBeat, PeerMessage};
use crate::wire::{CborSocket, PeerFault};

/// Time between two heartbeats.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a connection is given up: two heartbeats missed and a margin.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Longest time to connect and authenticate.
const HANDSHAKE_TIME: Duration = Duration::from_secs(2);

/// First and longest pause between two tries to connect.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Messages that may wait for one peer. A slow peer loses the newest and fetches them later.
const OUTBOX_MESSAGES: usize = 64;

/// Connections from peers that may be open or authenticating.
const MAX_ACCEPTED: usize = 1_024;

/// Where messages to one peer are put.
pub type PeerOutbox = mpsc::Sender<PeerMessage>;

/// Something that happened on a peer connection.
#[derive(Debug)]
pub enum PeerEvent {
    /// A dialed peer was authenticated; messages to it go here.
    Connected(VmId, PeerOutbox),
    /// A message came; answers to it go to the outbox.
    Received(VmId, PeerMessage, PeerOutbox),
    /// A dialed peer's connection ended.
    Disconnected(VmId),
}

/// Keeps a connection to the peer at `address` until the task is aborted.
pub async fn dial_peer(
    address: SocketAddr,
    identity: PeerIdentity,
    events: mpsc::Sender<PeerEvent>,
    beat: impl Fn() -> PeerBeat + Clone + Send + 'static,
    metrics: DaemonMetrics,
    log: Logger,
) {
    let mut pause = FIRST_PAUSE;
    loop {
        match timeout(HANDSHAKE_TIME, connect(address, &identity)).await {
            // A VM finds itself in lists of peers too.
            Ok(Ok((_, vm))) if vm == identity.vm => return,
            Ok(Ok((socket, vm))) => {
                pause = FIRST_PAUSE;
                let fault = run_dialed(socket, &vm, &events, &beat, &metrics).await;
                info!(log, "peers: connection ended"; "peer" => %vm, "reason" => %fault);
                if events.send(PeerEvent::Disconnected(vm)).await.is_err() {
                    return;
                }
            }
            Ok(Err(PeerFault::WrongKey)) => {
                warn!(log, "peers: peer has another key"; "address" => %address);
            }
            Ok(Err(_)) | Err(_) => {}
        }
        // Jitter keeps a fleet from dialing a returning peer all at once.
        sleep(jittered(pause)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
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
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_ACCEPTED));
    loop {
        let Ok(place) = std::sync::Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "peers: accept failed"; "reason" => %error);
                sleep(FIRST_PAUSE).await;
                continue;
            }
        };
        let (identity, events, metrics) = (identity.clone(), events.clone(), metrics.clone());
        let log = log.clone();
        tokio::spawn(async move {
            match timeout(HANDSHAKE_TIME, admit(stream, &identity)).await {
                Ok(Ok((socket, vm))) => {
                    run_accepted(socket, &vm, &events, &metrics).await;
                }
                Ok(Err(fault)) => warn!(log, "peers: peer refused"; "reason" => %fault),
                Err(_) => warn!(log, "peers: peer did not authenticate in time"),
            }
            drop(place);
        });
    }
}

async fn connect(
    address: SocketAddr,
    identity: &PeerIdentity,
) -> Result<(CborSocket, VmId), PeerFault> {
    let ended = |reason: String| PeerFault::Ended { reason: reason.into() };
    let stream = TcpStream::connect(address).await.map_err(|error| ended(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| ended(error.to_string()))?;
    let url = format!("ws://{address}/peers");
    let (socket, _) = client_async_with_config(url, stream, Some(CborSocket::config()))
        .await
        .map_err(|error| ended(error.to_string()))?;
    let mut socket = CborSocket::new(socket);
    let vm = identity.greet(&mut socket).await?;
    Ok((socket, vm))
}

async fn admit(
    stream: TcpStream,
    identity: &PeerIdentity,
) -> Result<(CborSocket, VmId), PeerFault> {
    let ended = |reason: String| PeerFault::Ended { reason: reason.into() };
    stream.set_nodelay(true).map_err(|error| ended(error.to_string()))?;
    let socket = accept_async_with_config(stream, Some(CborSocket::config()))
        .await
        .map_err(|error| ended(error.to_string()))?;
    let mut socket = CborSocket::new(socket);
    let vm = identity.admit(&mut socket).await?;
    Ok((socket, vm))
}

async fn run_dialed(
    mut socket: CborSocket,
    vm: &VmId,
    events: &mpsc::Sender<PeerEvent>,
    beat: &impl Fn() -> PeerBeat,
    metrics: &DaemonMetrics,
) -> PeerFault {
    let (outbox, mut outgoing) = mpsc::channel(OUTBOX_MESSAGES);
    if events.send(PeerEvent::Connected(vm.clone(), outbox.clone())).await.is_err() {
        return PeerFault::Ended { reason: "stopping".into() };
    }
    let mut beats = interval(BEAT_INTERVAL);
    let mut heard_at = Instant::now();
    loop {
        let step = tokio::select! {
            received = socket.receive::<PeerMessage>() => {
                heard_at = Instant::now();
                take_in(received, vm, events, &outbox, metrics).await
            }
            Some(message) = outgoing.recv() => send(&mut socket, &message, metrics).await,
            _ = beats.tick() => {
                if heard_at.elapsed() > SILENCE_LIMIT {
                    return PeerFault::Silent;
                }
                send(&mut socket, &PeerMessage::Beat(beat()), metrics).await
            }
        };
        if let Err(fault) = step {
            return fault;
        }
    }
}

async fn run_accepted(
    mut socket: CborSocket,
    vm: &VmId,
    events: &mpsc::Sender<PeerEvent>,
    metrics: &DaemonMetrics,
) {
    let (outbox, mut outgoing) = mpsc::channel(OUTBOX_MESSAGES);
    loop {
        let step = tokio::select! {
            received = timeout(SILENCE_LIMIT, socket.receive::<PeerMessage>()) => match received {
                Ok(received) => take_in(received, vm, events, &outbox, metrics).await,
                Err(_) => Err(PeerFault::Silent),
            },
            Some(message) = outgoing.recv() => send(&mut socket, &message, metrics).await,
        };
        if step.is_err() {
            return;
        }
    }
}

async fn take_in(
    received: Result<(PeerMessage, u64), PeerFault>,
    vm: &VmId,
    events: &mpsc::Sender<PeerEvent>,
    outbox: &PeerOutbox,
    metrics: &DaemonMetrics,
) -> Result<(), PeerFault> {
    let (message, size) = received?;
    metrics.peer_bytes.inc_by(size);
    let event = PeerEvent::Received(vm.clone(), message, outbox.clone());
    events.send(event).await.map_err(|_| PeerFault::Ended { reason: "stopping".into() })
}

async fn send(
    socket: &mut CborSocket,
    message: &PeerMessage,
    metrics: &DaemonMetrics,
) -> Result<(), PeerFault> {
    // A peer that takes nothing in must not hold up this connection's heartbeats for ever.
    let size =
        timeout(SILENCE_LIMIT, socket.send(message)).await.map_err(|_| PeerFault::Silent)??;
    metrics.peer_bytes.inc_by(size);
    Ok(())
}
