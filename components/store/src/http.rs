//! A small HTTP client whose calls have a deadline and at most one try each.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest answer in bytes that is read into memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Bytes of a request's or an answer's head as counted; the heads that this client sends have 80.
const ESTIMATED_HEAD_BYTES: u64 = 90;

/// Most idle connections kept to one platform address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Longest time to open a connection. A call that waits long for its answer must not wait as long
/// for a connection: behind a partition its first packet is lost, and the next is seconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Silence after which the kernel asks whether the other end is still there, and the interval
/// between its questions. One second is the smallest that the kernel takes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered questions after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Why a call to the platform gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("platform call {path} failed: {reason}")]
pub struct StoreError {
    /// Path of the call.
    pub path: Box<str>,
    /// What went wrong.
    pub reason: Box<str>,
}

/// Sends requests to one address. Connections that failed or timed out are not used again.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    call_timeout: Duration,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    transferred_bytes: AtomicU64,
}

impl HttpClient {
    /// A client for `address` whose calls take at most `deadline`.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            address,
            call_timeout,
            idle: Mutex::new(Vec::new()),
            transferred_bytes: AtomicU64::new(0),
        }
    }

    /// Bytes sent and received so far.
    pub fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes.load(Ordering::Relaxed)
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        self.send_with_timeout(method, path, body, self.call_timeout).await
    }

    /// Sends a request whose answer may take longer or less long than the client's deadline.
    pub async fn send_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        match timeout(call_timeout, self.exchange(method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(store_error(path, &format!("no answer in {call_timeout:?}"))),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
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
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| store_error(path, &error))?;
        self.push_idle(sender);
        let body = body.to_bytes();
        self.transferred_bytes
            .fetch_add(ESTIMATED_HEAD_BYTES + body.len() as u64, Ordering::Relaxed);
        Ok((status, body))
    }

    async fn acquire_connection(&self, path: &str) -> Result<SendRequest<Full<Bytes>>, StoreError> {
        while let Some(mut sender) = self.pop_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| store_error(path, &format!("no connection in {CONNECT_TIMEOUT:?}")))?
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
        self.idle.lock().expect("idle list lock is never poisoned").pop()
    }

    fn push_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().expect("idle list lock is never poisoned");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }
}

/// Lets the kernel notice a connection of which the other end no longer knows.
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
