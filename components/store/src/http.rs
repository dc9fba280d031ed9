//! A small HTTP client whose calls have a timeout and make at most one attempt.
//!
//! The timeout applies to the head of a response, and to each silence within its body.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum size of a response body that is read into memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Bytes of a response body that must arrive per call timeout on average, so that a body without end
/// ends its call. The slowest link in use transfers more than a hundred times as much.
const MIN_BYTES_PER_TIMEOUT: u32 = 1 << 10;

/// Estimated size of the head of a request or response, for `transferred_bytes`. The request heads
/// of this client have 80 bytes.
const ESTIMATED_HEAD_BYTES: u64 = 90;

/// Maximum number of idle connections to one platform address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Longest timeout for opening a connection; a shorter timeout of calls applies to it too. A call
/// that waits long for its response must not wait as long for a connection: in a network partition
/// the first packet is lost, and the kernel sends the next one only seconds later.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time before the kernel sends a keep-alive probe, and the interval between probes. One
/// second is the minimum that the kernel accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Error of a call to the platform that returned no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("platform call {path} failed: {reason}")]
pub struct StoreError {
    /// URL path of the call.
    pub path: Box<str>,
    /// What went wrong.
    pub reason: Box<str>,
}

/// HTTP client for one address. A connection is not reused after a call on it failed or timed out.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    call_timeout: Duration,
    idle_connections: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    transferred_bytes: AtomicU64,
}

impl HttpClient {
    /// Creates a client for `address` whose calls time out when the response does not start, or
    /// does not continue, for `call_timeout`.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            address,
            call_timeout,
            idle_connections: Mutex::new(Vec::new()),
            transferred_bytes: AtomicU64::new(0),
        }
    }

    /// Returns the bytes sent and received so far.
    pub fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes.load(Ordering::Relaxed)
    }

    /// Sends a request and reads the whole response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let response = self.send_with_timeout(method, path, body, self.call_timeout).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request with `head_timeout` in place of the client's own timeout, until the head of
    /// the response arrives.
    pub async fn send_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        head_timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let sent = timeout(head_timeout, self.send_request(method, path, body)).await;
        let (sender, response) =
            sent.map_err(|_| store_error(path, &format!("no response within {head_timeout:?}")))??;
        let (head, body) = response.into_parts();
        let body = self.read_body(path, body).await?;
        self.push_idle(sender);
        self.transferred_bytes
            .fetch_add(ESTIMATED_HEAD_BYTES + body.len() as u64, Ordering::Relaxed);
        Ok(Response::from_parts(head, body))
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), StoreError> {
        let mut sender = self.acquire_connection(path).await?;
        self.transferred_bytes
            .fetch_add(ESTIMATED_HEAD_BYTES + body.len() as u64, Ordering::Relaxed);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .body(Full::new(body))
            .map_err(|error| store_error(path, &error))?;
        let response =
            sender.send_request(request).await.map_err(|error| store_error(path, &error))?;
        Ok((sender, response))
    }

    /// Reads a whole response body. The more of it has arrived, the longer it may take: on a slow
    /// link a large one would never fit into the timeout of a call.
    async fn read_body(&self, path: &str, body: Incoming) -> Result<Bytes, StoreError> {
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut received = BytesMut::new();
        let started_at = Instant::now();
        loop {
            let expected_timeouts = 1 + received.len() as u32 / MIN_BYTES_PER_TIMEOUT;
            let late_at = started_at + self.call_timeout * expected_timeouts;
            let silent_at = Instant::now() + self.call_timeout;
            let frame = timeout_at(silent_at.min(late_at), body.frame()).await.map_err(|_| {
                let (elapsed, bytes) = (started_at.elapsed(), received.len());
                store_error(path, &format!("only {bytes} bytes of a body in {elapsed:?}"))
            })?;
            let Some(frame) = frame else {
                return Ok(received.freeze());
            };
            let frame = frame.map_err(|error| store_error(path, &error))?;
            if let Some(data) = frame.data_ref() {
                received.extend_from_slice(data);
            }
        }
    }

    async fn acquire_connection(&self, path: &str) -> Result<SendRequest<Full<Bytes>>, StoreError> {
        while let Some(mut sender) = self.pop_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let connect_timeout = MAX_CONNECT_TIMEOUT.min(self.call_timeout);
        let stream = timeout(connect_timeout, TcpStream::connect(self.address))
            .await
            .map_err(|_| store_error(path, &format!("no connection within {connect_timeout:?}")))?
            .map_err(|error| store_error(path, &error))?;
        stream.set_nodelay(true).map_err(|error| store_error(path, &error))?;
        enable_keepalive(&stream).map_err(|error| store_error(path, &error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| store_error(path, &error))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle_connections.lock().expect("idle list lock is never poisoned").pop()
    }

    fn push_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle_connections.lock().expect("idle list lock is never poisoned");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }
}

/// Makes the kernel detect a connection that no longer exists at the other end.
fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(KEEPALIVE_INTERVAL * KEEPALIVE_PROBES))
}

fn store_error(path: &str, reason: &dyn std::fmt::Display) -> StoreError {
    StoreError { path: path.into(), reason: reason.to_string().into() }
}
