//! Connections to backend servers. Each carries one request at a time and is used again only
//! after a whole exchange.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use board::AtomicInstant;
use model::FastMap;

use crate::body::SendBody;
use crate::watch_io::WatchedStream;

/// Longest time to open a connection. A new connection takes about 1 ms.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Longest time that an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Longest silence after which a connection may carry a request that must not run twice: something
/// between the two ends may have lost track of an older one.
const TRUSTED_SILENCE: Duration = Duration::from_secs(1);

/// Time before the end of a server's keep-alive time at which a connection is given up.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Time after an answer in which a faulty server may still send a second one.
const SURPLUS_ANSWER_TIME: Duration = Duration::from_secs(2);

/// An open connection. Dropping it closes it.
pub(crate) struct BackendConnection {
    pub(crate) sender: SendRequest<SendBody>,
    address: SocketAddr,
    received_at: Arc<AtomicInstant>,
    idle_since: Instant,
    /// How long it may stay idle.
    max_idle: Duration,
    /// When a request on it was last answered; probes don't count.
    answered_at: Option<Instant>,
    task: AbortHandle,
    /// Connections open to this address, this one included.
    open: Arc<AtomicUsize>,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        // Without this an unanswered request would keep the connection open.
        self.task.abort();
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Which idle connections may be used for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionTrust {
    /// Any; a silent one costs a second try.
    Any,
    /// Only one that received a byte a moment ago.
    RecentlyHeard,
    /// Only one that received a byte a moment ago, and on which no request was answered lately: a
    /// second answer to that one could still come.
    Quiet,
    /// None; a new one must be opened.
    New,
}

/// Connections to the backend servers of a service.
pub(crate) struct ConnectionPool {
    servers: Mutex<FastMap<SocketAddr, ServerConnections>>,
    /// Idle connections kept to one server.
    idle_limit: usize,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::with_idle_limit(usize::MAX)
    }
}

#[derive(Default)]
struct ServerConnections {
    /// Invariant: each is after a whole exchange, though its task may not have noticed yet.
    idle: Vec<BackendConnection>,
    /// Connections open, idle or not.
    open: Arc<AtomicUsize>,
}

impl ConnectionPool {
    /// A pool that keeps so many idle connections to one server.
    pub(crate) fn with_idle_limit(idle_limit: usize) -> Self {
        Self { servers: Mutex::default(), idle_limit }
    }

    /// Takes an idle connection, if one may be used.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        trust: ConnectionTrust,
        now: Instant,
    ) -> Option<BackendConnection> {
        if trust == ConnectionTrust::New {
            return None;
        }
        let mut servers = self.servers.lock().expect("pool lock is never poisoned");
        let idle = &mut servers.get_mut(&address)?.idle;
        idle.retain(|connection| connection.may_live(now));
        let position = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready() && connection.has(trust, now))?;
        Some(idle.swap_remove(position))
    }

    /// Opens a connection, after closing idle ones if there would be more than `limit`.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        limit: usize,
    ) -> io::Result<BackendConnection> {
        let open = self.reserve(address, limit)?;
        open_connection(address, open).await
    }

    /// Keeps a connection after a whole exchange.
    pub(crate) fn put(&self, mut connection: BackendConnection, now: Instant) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = now;
        let mut servers = self.servers.lock().expect("pool lock is never poisoned");
        let idle = &mut servers.entry(connection.address).or_default().idle;
        if idle.len() < self.idle_limit {
            idle.push(connection);
        }
    }

    /// Closes connections that were idle too long or lead to servers that are gone.
    pub(crate) fn sweep(&self, is_known: impl Fn(&SocketAddr) -> bool, now: Instant) {
        let mut servers = self.servers.lock().expect("pool lock is never poisoned");
        for (address, connections) in servers.iter_mut() {
            let is_known = is_known(address);
            connections.idle.retain(|connection| is_known && connection.may_live(now));
        }
        servers.retain(|_, connections| connections.open.load(Ordering::Acquire) > 0);
    }

    fn reserve(&self, address: SocketAddr, limit: usize) -> io::Result<OpenReservation> {
        let mut servers = self.servers.lock().expect("pool lock is never poisoned");
        let connections = servers.entry(address).or_default();
        while connections.open.load(Ordering::Acquire) >= limit {
            if connections.idle.is_empty() {
                return Err(io::Error::other("all connections to this server are in use"));
            }
            connections.idle.swap_remove(0);
        }
        connections.open.fetch_add(1, Ordering::AcqRel);
        Ok(OpenReservation { open: Some(Arc::clone(&connections.open)) })
    }
}

impl BackendConnection {
    /// Notes that a request on it was answered, and how long the server keeps it open from now on.
    pub(crate) fn note_answer(&mut self, now: Instant, keep_alive: Option<Duration>) {
        self.answered_at = Some(now);
        self.limit_idle(keep_alive);
    }

    /// Takes over how long the server keeps an idle connection open, less what is on the way.
    pub(crate) fn limit_idle(&mut self, keep_alive: Option<Duration>) {
        if let Some(time) = keep_alive {
            self.max_idle = time.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_IDLE);
        }
    }

    fn may_live(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.idle_since + self.max_idle
    }

    fn has(&self, trust: ConnectionTrust, now: Instant) -> bool {
        let is_heard = now < self.received_at.get() + TRUSTED_SILENCE;
        let is_quiet = self.answered_at.is_none_or(|at| now >= at + SURPLUS_ANSWER_TIME);
        match trust {
            ConnectionTrust::Any => true,
            ConnectionTrust::RecentlyHeard => is_heard,
            ConnectionTrust::Quiet => is_heard && is_quiet,
            ConnectionTrust::New => false,
        }
    }
}

/// A place among the open connections, given back when opening fails or is cancelled.
struct OpenReservation {
    open: Option<Arc<AtomicUsize>>,
}

impl OpenReservation {
    fn keep(mut self) -> Arc<AtomicUsize> {
        self.open.take().unwrap_or_default()
    }
}

impl Drop for OpenReservation {
    fn drop(&mut self) {
        if let Some(open) = &self.open {
            open.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

async fn open_connection(
    address: SocketAddr,
    reservation: OpenReservation,
) -> io::Result<BackendConnection> {
    let stream = timeout(CONNECT_TIME, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let now = Instant::now();
    let received_at = Arc::new(AtomicInstant::new(now));
    received_at.set(now);
    let watched = WatchedStream::new(stream, Arc::clone(&received_at));
    let (sender, connection) =
        http1::handshake(TokioIo::new(watched)).await.map_err(io::Error::other)?;
    // The connection's errors reach the exchange through its sender.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(BackendConnection {
        sender,
        address,
        received_at,
        idle_since: now,
        max_idle: MAX_IDLE,
        answered_at: None,
        task: task.abort_handle(),
        open: reservation.keep(),
    })
}
