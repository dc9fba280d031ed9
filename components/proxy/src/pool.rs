//! Pools of connections to backend servers. A connection carries one request at a time and is
//! reused only after a complete exchange.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

use board::AtomicInstant;
use model::FastMap;

use crate::body::BackendRequestBody;
use crate::wrapped_stream::WrappedStream;

/// Timeout for opening a connection, which takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes of a response's head, or of its body, that one connection keeps. A longer head is refused.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Longest time that a connection is kept idle.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);

/// Longest time since the last received byte at which a connection may carry a request that must
/// not run twice. After a longer silence, a device on the network path may have dropped the
/// connection's state.
const RECENT_ACTIVITY_WINDOW: Duration = Duration::from_secs(1);

/// Time before the end of a server's keep-alive timeout at which an idle connection is closed, so
/// that no request is sent while the server closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Time after a response in which a faulty server may still send a second one.
const SURPLUS_RESPONSE_WINDOW: Duration = Duration::from_secs(2);

/// Longest time for the rest of a request body after the whole response to the request.
const MAX_REST_TIME: Duration = Duration::from_secs(60);

/// An open connection, which closes when it is dropped.
pub(crate) struct BackendConnection {
    pub(crate) sender: SendRequest<BackendRequestBody>,
    address: SocketAddr,
    last_received_at: Arc<AtomicInstant>,
    idle_since: Instant,
    /// Longest time that it may stay idle.
    max_idle_time: Duration,
    /// Time of the last response to a request; responses to probes don't count.
    last_response_at: Option<Instant>,
    /// Whether any response was received on it, so that a late copy of that one may follow.
    has_responded: bool,
    /// Whether the last request had a body, which may still be on its way after the response.
    has_request_body: bool,
    task: AbortHandle,
    /// Number of open connections to this address, including this one.
    open_count: Arc<AtomicUsize>,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        // Without this, a request that has no response yet would keep the connection open.
        self.task.abort();
        self.open_count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Closes a connection at a deadline until it is dropped.
pub(crate) struct CloseGuard {
    timer: AbortHandle,
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// The idle connections that a request may reuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReusePolicy {
    /// Any. If the connection no longer responds, the request costs a second attempt.
    Any,
    /// Only one that received data within `RECENT_ACTIVITY_WINDOW`.
    RecentlyActive,
    /// Only one that received data within `RECENT_ACTIVITY_WINDOW`, but no response to a request
    /// within `SURPLUS_RESPONSE_WINDOW`, since a faulty server could still send a second one.
    NoRecentResponse,
    /// None, so that a new connection is opened. For a further attempt at the same server: a late
    /// copy of the response to the earlier one has the request ID of this one too.
    Never,
}

/// Connections to the backend servers of one service.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    servers: Arc<Mutex<FastMap<SocketAddr, ServerConnections>>>,
    /// Largest number of idle connections to one server.
    idle_limit: usize,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::with_idle_limit(usize::MAX)
    }
}

#[derive(Default)]
struct ServerConnections {
    /// Invariant: the last exchange on each is complete, although its task may not have processed
    /// the end yet.
    idle: Vec<BackendConnection>,
    /// Number of open connections, idle or in use.
    open_count: Arc<AtomicUsize>,
}

impl ConnectionPool {
    /// Creates a pool that keeps at most `idle_limit` idle connections to one server.
    pub(crate) fn with_idle_limit(idle_limit: usize) -> Self {
        Self { servers: Arc::default(), idle_limit }
    }

    /// Takes an idle connection out of the pool, if there is one that the policy allows.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        reuse_policy: ReusePolicy,
        now: Instant,
    ) -> Option<BackendConnection> {
        if reuse_policy == ReusePolicy::Never {
            return None;
        }
        let mut servers = self.servers.lock().expect("pool lock is never poisoned");
        let idle = &mut servers.get_mut(&address)?.idle;
        idle.retain(|connection| connection.is_usable(now));
        let position = idle.iter().rposition(|connection| {
            connection.sender.is_ready() && connection.satisfies(reuse_policy, now)
        })?;
        Some(idle.swap_remove(position))
    }

    /// Opens a connection. Closes idle ones first if the server would have more than
    /// `max_connections`, and fails with `ErrorKind::ResourceBusy` if that is not enough.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        max_connections: usize,
    ) -> io::Result<BackendConnection> {
        let reservation = self.reserve(address, max_connections)?;
        open_connection(address, reservation).await
    }

    /// Returns a connection after the whole response to a request, refusals included, was read on
    /// it. `keep_alive` is the timeout that the server sent with the response.
    pub(crate) fn put_responded(
        &self,
        mut connection: BackendConnection,
        keep_alive: Option<Duration>,
        now: Instant,
    ) {
        connection.last_response_at = Some(now);
        connection.apply_keep_alive(keep_alive);
        self.put_idle(connection, now);
    }

    /// Adds a connection to the idle ones after the whole response, once the request has been sent
    /// too. It is closed instead if the limit of idle connections is reached.
    pub(crate) fn put_idle(&self, connection: BackendConnection, now: Instant) {
        if !connection.may_be_sending() {
            self.add_idle(connection, now);
            return;
        }
        let pool = self.clone();
        tokio::spawn(async move {
            if let Some(connection) = connection.finish_request().await {
                pool.add_idle(connection, Instant::now());
            }
        });
    }

    fn add_idle(&self, mut connection: BackendConnection, now: Instant) {
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

    /// Closes idle connections that have expired or whose server is no longer listed.
    pub(crate) fn close_stale(&self, is_listed: impl Fn(&SocketAddr) -> bool, now: Instant) {
        let mut servers = self.servers.lock().expect("pool lock is never poisoned");
        for (address, connections) in servers.iter_mut() {
            let is_listed = is_listed(address);
            connections.idle.retain(|connection| is_listed && connection.is_usable(now));
        }
        servers.retain(|_, connections| connections.open_count.load(Ordering::Acquire) > 0);
    }

    fn reserve(&self, address: SocketAddr, max_connections: usize) -> io::Result<OpenReservation> {
        let mut servers = self.servers.lock().expect("pool lock is never poisoned");
        let connections = servers.entry(address).or_default();
        while connections.open_count.load(Ordering::Acquire) >= max_connections {
            if connections.idle.is_empty() {
                return Err(io::ErrorKind::ResourceBusy.into());
            }
            connections.idle.swap_remove(0);
        }
        connections.open_count.fetch_add(1, Ordering::AcqRel);
        Ok(OpenReservation { open_count: Some(Arc::clone(&connections.open_count)) })
    }
}

impl BackendConnection {
    /// Closes the connection at `deadline`, even if the rest of a response is not being read, unless
    /// the returned guard is dropped before.
    pub(crate) fn close_at(&self, deadline: Instant) -> CloseGuard {
        let connection = self.task.clone();
        let timer = tokio::spawn(async move {
            sleep_until(deadline).await;
            connection.abort();
        });
        CloseGuard { timer: timer.abort_handle() }
    }

    /// Sends a request, and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<BackendRequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<BackendRequestBody>>> {
        self.has_request_body = !request.body().is_end_stream();
        self.sender.try_send_request(request).await
    }

    /// Closes the connection after the whole response, once the request has been sent too.
    pub(crate) fn close_after_request(self) {
        if self.may_be_sending() {
            tokio::spawn(self.finish_request());
        }
    }

    /// Whether a part of the request may be unsent. A server may respond before it has read all.
    fn may_be_sending(&self) -> bool {
        self.has_request_body && !self.sender.is_ready()
    }

    /// Sends the rest of a request. Returns the connection if it can be used again.
    async fn finish_request(mut self) -> Option<Self> {
        let finished = timeout(MAX_REST_TIME, self.sender.ready()).await;
        finished.is_ok_and(|ready| ready.is_ok()).then_some(self)
    }

    /// Returns the server's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a response was received on it before.
    pub(crate) fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Records a response. Limits the idle time by the keep-alive timeout that the server sent with
    /// it, less a margin for network delay.
    pub(crate) fn apply_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.has_responded = true;
        if let Some(keep_alive) = keep_alive {
            self.max_idle_time = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_IDLE_TIME);
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.idle_since + self.max_idle_time
    }

    fn satisfies(&self, reuse_policy: ReusePolicy, now: Instant) -> bool {
        let is_recently_active = now < self.last_received_at.get() + RECENT_ACTIVITY_WINDOW;
        let is_past_surplus_window =
            self.last_response_at.is_none_or(|at| now >= at + SURPLUS_RESPONSE_WINDOW);
        match reuse_policy {
            ReusePolicy::Any => true,
            ReusePolicy::RecentlyActive => is_recently_active,
            ReusePolicy::NoRecentResponse => is_recently_active && is_past_surplus_window,
            ReusePolicy::Never => false,
        }
    }
}

/// Reserves one of a server's connections while it is opened. Releases it if opening fails or is
/// cancelled.
struct OpenReservation {
    open_count: Option<Arc<AtomicUsize>>,
}

impl OpenReservation {
    fn into_open_count(mut self) -> Arc<AtomicUsize> {
        self.open_count.take().unwrap_or_default()
    }
}

impl Drop for OpenReservation {
    fn drop(&mut self) {
        if let Some(open_count) = &self.open_count {
            open_count.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// Wraps a stream so that each read that returns data sets `last_received_at` to the current time.
fn timestamped(
    stream: TcpStream,
    last_received_at: Arc<AtomicInstant>,
) -> impl AsyncRead + AsyncWrite + Unpin {
    WrappedStream::new(stream, move |stream, context, buffer| {
        let before = buffer.filled().len();
        let polled = Pin::new(stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            last_received_at.set(Instant::now());
        }
        polled
    })
}

async fn open_connection(
    address: SocketAddr,
    reservation: OpenReservation,
) -> io::Result<BackendConnection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let now = Instant::now();
    let last_received_at = Arc::new(AtomicInstant::new(now));
    last_received_at.set(now);
    let stream = timestamped(stream, Arc::clone(&last_received_at));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // The exchange receives the connection's errors through `sender`.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(BackendConnection {
        sender,
        address,
        last_received_at,
        idle_since: now,
        max_idle_time: MAX_IDLE_TIME,
        last_response_at: None,
        has_responded: false,
        has_request_body: false,
        task: task.abort_handle(),
        open_count: reservation.into_open_count(),
    })
}
