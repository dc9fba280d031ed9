//! A loopback HTTP/1.1 server for the fakes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::reserved_ports::{listen_again, listen_at_new_port};

/// Body of a response; an error closes the connection within the body.
pub(crate) type WebBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A running server, stopped on drop.
pub(crate) struct WebServer {
    pub(crate) address: SocketAddr,
    pub(crate) connection_count: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for WebServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl WebServer {
    /// Serves on a free port. `handler` returns `None` to close the connection without a response.
    pub(crate) async fn start<F, R>(handler: F) -> Self
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
        R: Future<Output = Option<Response<WebBody>>> + Send + 'static,
    {
        Self::start_with(listen_at_new_port(), handler)
    }

    /// Serves on the address of a stopped server like `start`.
    pub(crate) fn start_again<F, R>(address: SocketAddr, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
        R: Future<Output = Option<Response<WebBody>>> + Send + 'static,
    {
        Ok(Self::start_with(listen_again(address)?, handler))
    }

    fn start_with<F, R>(listener: TcpListener, handler: F) -> Self
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
        R: Future<Output = Option<Response<WebBody>>> + Send + 'static,
    {
        let address = listener.local_addr().expect("a bound socket has an address");
        let connection_count = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&connection_count);
        let task = tokio::spawn(async move {
            let mut open_connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while open_connections.try_join_next().is_some() {}
                counted.fetch_add(1, Ordering::Relaxed);
                // Nagle's algorithm would add latency to tests.
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                open_connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let response = handler(request);
                        async move { response.await.ok_or(ClosedWithoutResponse) }
                    });
                    // Clients close connections early in some tests.
                    let _ = http1::Builder::new()
                        .half_close(false)
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Self { address, connection_count, task }
    }
}

/// The error with which a handler closes a connection without a response.
#[derive(Debug)]
struct ClosedWithoutResponse;

impl std::fmt::Display for ClosedWithoutResponse {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("closed without a response")
    }
}

impl std::error::Error for ClosedWithoutResponse {}

/// Converts an error that cannot occur into the error type of `WebBody`.
pub(crate) fn never(error: Infallible) -> std::io::Error {
    match error {}
}
