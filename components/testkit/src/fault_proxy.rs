//! A TCP relay that can go silent or forget its connections, as something between two ends that lost
//! track of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Relays connections to one address.
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections made before this generation are lost.
    generation: Arc<AtomicU64>,
    /// Whether lost connections are reset at the next byte instead of being silent.
    is_resetting: Arc<AtomicBool>,
    /// Whether new connections are silent too.
    is_partitioned: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultProxy {
    /// Starts relaying to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let generation = Arc::new(AtomicU64::new(0));
        let is_partitioned = Arc::new(AtomicBool::new(false));
        let is_resetting = Arc::new(AtomicBool::new(false));
        let (current_generation, partitioned) =
            (Arc::clone(&generation), Arc::clone(&is_partitioned));
        let resetting = Arc::clone(&is_resetting);
        let task = tokio::spawn(async move {
            let mut blackholed = Vec::new();
            while let Ok((client, _)) = listener.accept().await {
                if partitioned.load(Ordering::SeqCst) {
                    blackholed.push(client);
                    continue;
                }
                let opened_in = current_generation.load(Ordering::SeqCst);
                let state = ConnectionState {
                    opened_in,
                    generation: Arc::clone(&current_generation),
                    is_resetting: Arc::clone(&resetting),
                };
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(target).await else {
                        return;
                    };
                    // Latency of tests must not depend on Nagle's algorithm.
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    let requests = copy_bytes(client_read, server_write, state.clone());
                    let responses = copy_bytes(server_read, client_write, state);
                    // A reset of one direction drops both.
                    let _ = tokio::try_join!(requests, responses);
                });
            }
        });
        Self { address, generation, is_resetting, is_partitioned, task }
    }

    /// Makes all connections silent, those of now and new ones.
    pub fn partition(&self) {
        self.is_partitioned.store(true, Ordering::SeqCst);
        self.blackhole_open_connections();
    }

    /// Lets new connections work again after `cut`.
    pub fn end_partition(&self) {
        self.is_partitioned.store(false, Ordering::SeqCst);
    }

    /// Makes all connections of now silent for good; new ones work.
    pub fn blackhole_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Forgets all connections of now without a sign: whatever is sent on them next is reset.
    pub fn reset_open_connections(&self) {
        self.is_resetting.store(true, Ordering::SeqCst);
        self.blackhole_open_connections();
    }
}

/// What one connection needs to know of its relay.
#[derive(Clone)]
struct ConnectionState {
    opened_in: u64,
    generation: Arc<AtomicU64>,
    is_resetting: Arc<AtomicBool>,
}

/// A connection was reset.
struct ConnectionReset;

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: ConnectionState,
) -> Result<(), ConnectionReset> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return Ok(());
        };
        if state.generation.load(Ordering::SeqCst) != state.opened_in {
            if state.is_resetting.load(Ordering::SeqCst) {
                let reset = from.as_ref().set_zero_linger();
                reset.expect("a connection can be set to end in a reset");
                return Err(ConnectionReset);
            }
            // Bytes vanish, and so does the end of the stream.
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return Ok(());
        }
    }
}
