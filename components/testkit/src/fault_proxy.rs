//! A TCP proxy that injects faults: it drops all bytes or resets connections without notice, as a
//! firewall or NAT gateway does after losing its connection table, or limits the bandwidth.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::process_cuts::ProcessCuts;
use crate::reserved_ports::listen_at_new_port;

/// Bytes that are read at once from an unlimited connection.
const BUFFER_BYTES: usize = 16 << 10;

/// Pause between two chunks of a connection with limited bandwidth.
const CHUNK_PAUSE: Duration = Duration::from_millis(20);

/// Forwards connections to one address until a fault is injected.
pub struct FaultProxy {
    /// The address at which the proxy listens.
    pub address: SocketAddr,
    /// Incremented by each fault. Connections opened in an earlier generation are affected.
    generation: Arc<AtomicU64>,
    /// Whether affected connections are reset at their next byte, instead of dropping it.
    is_resetting: Arc<AtomicBool>,
    /// Whether new connections are accepted but not forwarded.
    is_partitioned: Arc<AtomicBool>,
    /// Bytes per second in each direction of a connection; 0 for no limit.
    bandwidth: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultProxy {
    /// Starts a proxy to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        Self::start_with_cuts(target, ProcessCuts::default()).await
    }

    /// Starts a proxy to `target` that forwards no new connections of the processes in `cuts`.
    pub(crate) async fn start_with_cuts(target: SocketAddr, cuts: ProcessCuts) -> Self {
        let listener = listen_at_new_port();
        let address = listener.local_addr().expect("a bound socket has an address");
        let generation = Arc::new(AtomicU64::new(0));
        let is_partitioned = Arc::new(AtomicBool::new(false));
        let is_resetting = Arc::new(AtomicBool::new(false));
        let (current_generation, partitioned) =
            (Arc::clone(&generation), Arc::clone(&is_partitioned));
        let resetting = Arc::clone(&is_resetting);
        let bandwidth = Arc::new(AtomicU64::new(0));
        let current_bandwidth = Arc::clone(&bandwidth);
        let task = tokio::spawn(async move {
            let mut blackholed = Vec::new();
            while let Ok((client, client_address)) = listener.accept().await {
                if partitioned.load(Ordering::SeqCst) || cuts.applies_to(client_address) {
                    blackholed.push(client);
                    continue;
                }
                let generation_at_accept = current_generation.load(Ordering::SeqCst);
                let state = ConnectionState {
                    generation_at_accept,
                    current_generation: Arc::clone(&current_generation),
                    is_resetting: Arc::clone(&resetting),
                    bandwidth: Arc::clone(&current_bandwidth),
                };
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(target).await else {
                        return;
                    };
                    // Nagle's algorithm would add latency to tests.
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    let requests = copy_bytes(client_read, server_write, state.clone());
                    let responses = copy_bytes(server_read, client_write, state);
                    // A reset of one direction closes both.
                    let _ = tokio::try_join!(requests, responses);
                });
            }
        });
        Self { address, generation, is_resetting, is_partitioned, bandwidth, task }
    }

    /// Limits each direction of each connection to `bytes_per_second`.
    pub fn limit_bandwidth(&self, bytes_per_second: u64) {
        self.bandwidth.store(bytes_per_second, Ordering::SeqCst);
    }

    /// Refuses new connections from now on.
    pub fn refuse(&self) {
        self.task.abort();
    }

    /// Drops all bytes on open and new connections.
    pub fn partition(&self) {
        self.is_partitioned.store(true, Ordering::SeqCst);
        self.blackhole_open_connections();
    }

    /// Forwards new connections again after `partition`.
    pub fn end_partition(&self) {
        self.is_partitioned.store(false, Ordering::SeqCst);
    }

    /// Drops all further bytes on the open connections. New connections are forwarded.
    pub fn blackhole_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Resets each open connection when the next bytes arrive on it. Connections affected by later
    /// faults are reset too.
    pub fn reset_open_connections(&self) {
        self.is_resetting.store(true, Ordering::SeqCst);
        self.blackhole_open_connections();
    }
}

/// State of one connection, for both directions.
#[derive(Clone)]
struct ConnectionState {
    /// Generation of the proxy in which the connection was accepted.
    generation_at_accept: u64,
    current_generation: Arc<AtomicU64>,
    is_resetting: Arc<AtomicBool>,
    bandwidth: Arc<AtomicU64>,
}

impl ConnectionState {
    /// Returns the bytes that may be forwarded at once, and the pause after them.
    fn chunk(&self) -> (usize, Duration) {
        match self.bandwidth.load(Ordering::SeqCst) {
            0 => (BUFFER_BYTES, Duration::ZERO),
            bandwidth => {
                let bytes = (bandwidth as f64 * CHUNK_PAUSE.as_secs_f64()) as usize;
                (bytes.clamp(1, BUFFER_BYTES), CHUNK_PAUSE)
            }
        }
    }
}

/// The proxy reset a connection.
struct ConnectionReset;

/// Forwards one direction of a connection until it ends or a fault applies to it.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: ConnectionState,
) -> Result<(), ConnectionReset> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let (chunk_bytes, pause) = state.chunk();
        let Ok(count) = from.read(&mut buffer[..chunk_bytes]).await else {
            return Ok(());
        };
        if state.current_generation.load(Ordering::SeqCst) != state.generation_at_accept {
            if state.is_resetting.load(Ordering::SeqCst) {
                let reset = from.as_ref().set_zero_linger();
                reset.expect("the linger time of an open socket can be set");
                return Err(ConnectionReset);
            }
            // Drops these bytes, and all later ones including the end of the stream.
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return Ok(());
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
}
