//! Accepts callers' connections over HTTP/1.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use observe::{Logger, warn};

use crate::byte_budget::ByteBudget;
use crate::caller_stream::{CloseWatch, LastResponse};
use crate::hosted::handler::HostedHandler;
use crate::hosted::pipelining::Pipeline;
use crate::listener::{accept_waiting, last_accept_time, wait_for_stop};

/// Delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Idle timeout of connections that are accepted before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 100;

/// Bytes of all connections for requests that wait for the response before them.
const MAX_PIPELINED_BYTES: usize = 16 << 20;

/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// Time for which a stopped listener waits for the first request of a connection. Its caller has
/// opened the connection to send one.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Accepts connections and serves them until it is stopped.
pub struct HostedListener {
    listener: TcpListener,
    handler: Arc<HostedHandler>,
    pipeline_budget: ByteBudget,
    log: Logger,
}

impl HostedListener {
    /// Creates a listener on an open socket.
    pub fn new(listener: TcpListener, handler: Arc<HostedHandler>, log: Logger) -> Self {
        Self { listener, handler, pipeline_budget: ByteBudget::new(MAX_PIPELINED_BYTES), log }
    }

    /// Accepts connections until `stop` becomes true, then waits for the requests in flight.
    pub async fn serve(self, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let connection_stop = stop.clone();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(self.serve_connection(stream, connection_stop.clone()));
                    }
                    Err(error) => {
                        warn!(self.log, "callers: accept failed"; "reason" => %error);
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = wait_for_stop(&mut stop) => break,
            }
        }
        let until = last_accept_time(Instant::now());
        while let Some((stream, _)) = accept_waiting(&self.listener, until).await {
            connections.spawn(self.serve_connection(stream, connection_stop.clone()));
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + use<> {
        // A failure is ignored: without TCP_NODELAY, the connection only has more delay.
        let _ = stream.set_nodelay(true);
        let builder = self.http_builder();
        let handler = Arc::clone(&self.handler);
        let pipeline = Pipeline::new(handler, self.pipeline_budget.clone(), builder.clone());
        async move {
            let (stream, close_watch, served_stream) = pipeline.wrap(stream);
            let last_response =
                serve_requests(stream, &close_watch, &builder, pipeline, stop).await;
            served_stream.close(last_response).await;
        }
    }

    fn http_builder(&self) -> http1::Builder {
        let limits = self.handler.caller_limits();
        let idle_timeout =
            limits.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        let max_header_bytes = limits.as_ref().map_or(0, |limits| limits.max_header_bytes as usize);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // Starts at the end of the previous request, so it limits idle connections too.
            .header_read_timeout(idle_timeout)
            .max_headers(MAX_HEADER_FIELDS)
            .max_buf_size(max_header_bytes.max(MIN_READ_BUFFER_BYTES));
        builder
    }
}

/// Serves the requests of a connection until it ends. Requests that were started and are not
/// answered then are cancelled.
async fn serve_requests(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    close_watch: &CloseWatch,
    builder: &http1::Builder,
    pipeline: Pipeline,
    stop: watch::Receiver<bool>,
) -> LastResponse {
    let service =
        service_fn(|request| close_watch.handle(request, |request| pipeline.handle(request)));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = match serve_until_stopped(&pipeline, connection.as_mut(), stop).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    // Errors are caused by the caller (resets, malformed requests, timeouts) or by a response that
    // broke off.
    LastResponse::new(result.err().as_ref(), pipeline.is_http10())
}

/// Waits until a connection ends, or after a stop until it may be shut down gracefully. That closes
/// it after the response in progress.
async fn serve_until_stopped(
    pipeline: &Pipeline,
    mut connection: impl Future<Output = hyper::Result<()>> + Unpin,
    mut stop: watch::Receiver<bool>,
) -> Option<hyper::Result<()>> {
    tokio::select! {
        result = &mut connection => return Some(result),
        () = wait_for_stop(&mut stop) => {}
    }
    // A graceful shutdown closes a connection whose first request has not been read, even if it has
    // been sent. The connection closes after that request anyway.
    if !pipeline.has_request()
        && let Ok(result) = timeout(FIRST_REQUEST_WAIT, &mut connection).await
    {
        return Some(result);
    }
    tokio::select! {
        result = &mut connection => Some(result),
        () = pipeline.finish_started_requests() => None,
    }
}
