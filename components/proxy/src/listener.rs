//! Accepts callers' connections over HTTP/1 and HTTP/2.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use observe::{Logger, warn};

use crate::caller_stream::{LastResponse, read_plain, wrap_caller_stream};
use crate::handler::RequestHandler;

/// Largest number of requests in flight on an HTTP/2 connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Largest number of header fields in an HTTP/1 request.
const MAX_HEADER_FIELDS: usize = 100;

/// Delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval of HTTP/2 pings to callers, and timeout for their acknowledgement.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Time without a new connection after which a stopped listener closes.
const LAST_ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// Longest time that a stopped listener accepts connections.
const MAX_LAST_ACCEPT_TIME: Duration = Duration::from_millis(500);

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Largest number of open connections.
    pub max_connections: u32,
    /// Largest size of a request's head, in bytes.
    pub max_header_bytes: u32,
    /// Timeout for receiving a request's whole head over HTTP/1. It limits idle connections too.
    pub header_timeout: Duration,
}

/// Accepts connections and serves them until it is stopped.
pub struct CallerListener {
    listener: TcpListener,
    handler: Arc<RequestHandler>,
    builder: auto::Builder<TokioExecutor>,
    connection_permits: Arc<Semaphore>,
    /// `None` once the shutdown has begun.
    graceful_shutdown: Mutex<Option<GracefulShutdown>>,
    log: Logger,
}

impl CallerListener {
    /// Creates a listener on an open socket.
    pub fn new(
        listener: TcpListener,
        handler: Arc<RequestHandler>,
        limits: ListenerLimits,
        log: Logger,
    ) -> Self {
        Self {
            listener,
            handler,
            builder: http_builder(limits),
            connection_permits: Arc::new(Semaphore::new(limits.max_connections as usize)),
            graceful_shutdown: Mutex::new(Some(GracefulShutdown::new())),
            log,
        }
    }

    /// Accepts connections until `stop` becomes true, then waits for the requests in flight.
    pub async fn serve(self, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        loop {
            let permit = tokio::select! {
                permit = Arc::clone(&self.connection_permits).acquire_owned() => permit,
                () = wait_for_stop(&mut stop) => break,
            };
            // The semaphore is never closed.
            let Ok(permit) = permit else { break };
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, caller)) => {
                        if let Some(serving) = self.serve_connection(stream, caller, permit) {
                            connections.spawn(serving);
                        }
                    }
                    Err(error) => {
                        warn!(self.log, "callers: accept failed"; "reason" => %error);
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = wait_for_stop(&mut stop) => break,
            }
            while connections.try_join_next().is_some() {}
        }
        let until = last_accept_time(Instant::now());
        while let Ok(permit) = Arc::clone(&self.connection_permits).try_acquire_owned()
            && let Some((stream, caller)) = accept_waiting(&self.listener, until).await
        {
            if let Some(serving) = self.serve_connection(stream, caller, permit) {
                connections.spawn(serving);
            }
        }
        let graceful_shutdown =
            self.graceful_shutdown.lock().expect("shutdown lock is never poisoned").take();
        drop(self.listener);
        if let Some(graceful_shutdown) = graceful_shutdown {
            graceful_shutdown.shutdown().await;
        }
        while connections.join_next().await.is_some() {}
    }

    /// Returns a future that serves a connection; `None` if the shutdown has begun.
    fn serve_connection(
        &self,
        stream: TcpStream,
        caller: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Option<impl Future<Output = ()> + use<>> {
        // A failure is ignored: without TCP_NODELAY, the connection only has more delay.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&self.handler);
        let is_http10 = Arc::new(AtomicBool::new(false));
        let last_is_http10 = Arc::clone(&is_http10);
        let (stream, close_watch, served_stream) = wrap_caller_stream(stream, read_plain);
        let service = service_fn(move |request: Request<Incoming>| {
            last_is_http10.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
            let handler = Arc::clone(&handler);
            close_watch.handle(request, move |request| handler.handle(request, caller.ip()))
        });
        let connection = self.builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let graceful_shutdown =
            self.graceful_shutdown.lock().expect("shutdown lock is never poisoned");
        let connection = graceful_shutdown.as_ref()?.watch(connection);
        Some(async move {
            // Errors are caused by the caller (resets, malformed requests, timeouts) or by a response
            // that broke off.
            let error = connection.await.err().and_then(|error| error.downcast().ok());
            let is_http10 = is_http10.load(Ordering::Relaxed);
            served_stream.close(LastResponse::new(error.as_deref(), is_http10)).await;
            drop(permit);
        })
    }
}

/// Accepts a connection that was opened before the listener closes; `None` if there seems to be no
/// further one. The kernel resets those that are not accepted, with the requests sent on them.
pub(crate) async fn accept_waiting(
    listener: &TcpListener,
    until: Instant,
) -> Option<(TcpStream, SocketAddr)> {
    let wait = LAST_ACCEPT_WAIT.min(until.saturating_duration_since(Instant::now()));
    timeout(wait, listener.accept()).await.ok()?.ok()
}

/// Returns the time until which a listener that is stopped at `now` accepts connections at most.
pub(crate) fn last_accept_time(now: Instant) -> Instant {
    now + MAX_LAST_ACCEPT_TIME
}

/// Waits until `stop` becomes true or its sender is dropped.
pub(crate) async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

fn http_builder(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(limits.max_header_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .max_header_list_size(limits.max_header_bytes)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL);
    builder
}
