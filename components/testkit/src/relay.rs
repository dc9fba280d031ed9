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
pub struct CutRelay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections made before this generation are lost.
    generation: Arc<AtomicU64>,
    /// Whether lost connections are reset at the next byte instead of being silent.
    is_resetting: Arc<AtomicBool>,
    /// Whether new connections are silent too.
    is_cut: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Drop for CutRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CutRelay {
    /// Starts relaying to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let generation = Arc::new(AtomicU64::new(0));
        let is_cut = Arc::new(AtomicBool::new(false));
        let is_resetting = Arc::new(AtomicBool::new(false));
        let (current, cut) = (Arc::clone(&generation), Arc::clone(&is_cut));
        let resetting = Arc::clone(&is_resetting);
        let task = tokio::spawn(async move {
            let mut kept_silent = Vec::new();
            while let Ok((near, _)) = listener.accept().await {
                if cut.load(Ordering::SeqCst) {
                    kept_silent.push(near);
                    continue;
                }
                let born = current.load(Ordering::SeqCst);
                let life = ConnectionLife {
                    born,
                    generation: Arc::clone(&current),
                    is_resetting: Arc::clone(&resetting),
                };
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(target).await else {
                        return;
                    };
                    // Latency of tests must not depend on Nagle's algorithm.
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (near_read, near_write) = near.into_split();
                    let (far_read, far_write) = far.into_split();
                    let forth = pump(near_read, far_write, life.clone());
                    let back = pump(far_read, near_write, life);
                    // A reset of one direction drops both.
                    let _ = tokio::try_join!(forth, back);
                });
            }
        });
        Self { address, generation, is_resetting, is_cut, task }
    }

    /// Makes all connections silent, those of now and new ones.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        self.silence();
    }

    /// Lets new connections work again after `cut`.
    pub fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Makes all connections of now silent for good; new ones work.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Forgets all connections of now without a sign: whatever is sent on them next is reset.
    pub fn forget(&self) {
        self.is_resetting.store(true, Ordering::SeqCst);
        self.silence();
    }
}

/// What one connection needs to know of its relay.
#[derive(Clone)]
struct ConnectionLife {
    born: u64,
    generation: Arc<AtomicU64>,
    is_resetting: Arc<AtomicBool>,
}

/// A connection was reset.
struct ConnectionReset;

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    life: ConnectionLife,
) -> Result<(), ConnectionReset> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return Ok(());
        };
        if life.generation.load(Ordering::SeqCst) != life.born {
            if life.is_resetting.load(Ordering::SeqCst) {
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
