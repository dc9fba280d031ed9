//! Accepts callers' connections over HTTP/1.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use observe::{Logger, warn};

use crate::hosted::handler::HostedHandler;
use crate::listener::stopped;

/// Pause after an accept that failed, for example because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle connections that are kept open before a configuration says how long.
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);

/// Header fields that one request may have.
const MAX_HEADERS: usize = 100;

/// Least buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections and serves them until it is told to stop.
pub struct HostedListener {
    listener: TcpListener,
    handler: Arc<HostedHandler>,
    log: Logger,
}

impl HostedListener {
    /// A listener on an open socket.
    pub fn new(listener: TcpListener, handler: Arc<HostedHandler>, log: Logger) -> Self {
        Self { listener, handler, log }
    }

    /// Accepts until `stop` turns true, then lets every request in flight end.
    pub async fn serve(self, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let told = stop.clone();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(self.connection(stream, told.clone()));
                    }
                    Err(error) => {
                        warn!(self.log, "callers: accept failed"; "reason" => %error);
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = stopped(&mut stop) => break,
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    fn connection(
        &self,
        stream: TcpStream,
        mut stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + use<> {
        // A connection without this option only has more delay.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&self.handler);
        let builder = self.builder();
        async move {
            let service = service_fn(move |request| Arc::clone(&handler).handle(request));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            tokio::select! {
                // Errors here are the caller's: resets, bad requests, time limits.
                _ = connection.as_mut() => return,
                () = stopped(&mut stop) => {}
            }
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }

    fn builder(&self) -> http1::Builder {
        let limits = self.handler.caller_limits();
        let idle_time = limits.as_ref().map_or(FIRST_IDLE_TIME, |limits| limits.idle_timeout);
        let header_bytes = limits.as_ref().map_or(0, |limits| limits.max_header_bytes as usize);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // Counts from the end of the request before, so it bounds idle connections too.
            .header_read_timeout(idle_time)
            .max_headers(MAX_HEADERS)
            .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES));
        builder
    }
}
