//! Fake servers whose responses are written byte by byte, for those that violate the protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balance::ServerLoad;
use hyper::header::{HeaderMap, HeaderValue};
use model::RequestRate;
use platform::{
    wire_interface, write_limit_header, write_load_header, write_not_run_header,
    write_warm_up_header,
};
use routes::{ServerRecord, ServiceName};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::hosted::HEALTH_PATH;
use crate::reserved_ports::listen_at_new_port;

/// Bytes of each write of a response without end.
const CHUNK_BYTES: usize = 16 << 10;

/// A fake server on a loopback port, which runs a script for each connection.
pub struct RawServer {
    /// Its entry in the platform's server list.
    pub record: ServerRecord,
    state: Arc<RawState>,
}

#[derive(Default)]
struct RawState {
    runs: AtomicU64,
    /// Start and end of each response without end.
    endless: Mutex<Vec<(Instant, Option<Instant>)>>,
    endless_bytes: AtomicU64,
}

/// A connection to a fake server.
pub struct RawConnection {
    stream: TcpStream,
    state: Arc<RawState>,
}

/// The head of a request that a fake server received.
#[derive(Debug, Clone)]
pub struct RawRequest {
    head: String,
}

fn server_record(id: &str, address: SocketAddr) -> ServerRecord {
    ServerRecord {
        id: id.parse().expect("the name is valid"),
        started_at_ms: 1,
        sequence: 1,
        address,
        service: ServiceName("orders".into()),
        zone: "zone-a".parse().expect("the name is valid"),
        slots: 4,
        is_leaving: false,
        slow_start_remaining: Duration::ZERO,
    }
}

impl RawServer {
    /// Starts a fake server of the service "orders" that runs `script` for each connection, until
    /// that returns `None` or the connection ends.
    pub async fn start<Script>(
        id: &str,
        script: impl Fn(RawConnection) -> Script + Send + 'static,
    ) -> Self
    where
        Script: Future<Output = Option<()>> + Send + 'static,
    {
        let listener = listen_at_new_port();
        let address = listener.local_addr().expect("a bound socket has an address");
        let state = Arc::new(RawState::default());
        let shared_state = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&shared_state);
                tokio::spawn(script(RawConnection { stream, state }));
            }
        });
        Self { record: server_record(id, address), state }
    }

    /// Number of requests, other than health checks, that scripts have run.
    pub fn run_count(&self) -> u64 {
        self.state.runs.load(Ordering::SeqCst)
    }

    /// Longest time that a response without end was sent; `None` if one still is or none was.
    pub fn longest_endless_response(&self) -> Option<Duration> {
        let endless = self.state.endless.lock().expect("response lock is never poisoned");
        let times: Option<Vec<Duration>> =
            endless.iter().map(|(start, end)| Some((*end)?.duration_since(*start))).collect();
        times?.into_iter().max()
    }

    /// Bytes of responses without end that were accepted by the receiver.
    pub fn endless_bytes(&self) -> u64 {
        self.state.endless_bytes.load(Ordering::SeqCst)
    }
}

impl RawConnection {
    /// Reads the next request with its body; `None` if the connection ended.
    pub async fn next_request(&mut self) -> Option<RawRequest> {
        let request = self.next_head().await?;
        self.read_body(request.content_length()).await?;
        Some(request)
    }

    /// Reads the head of the next request; `None` if the connection ended.
    pub async fn next_head(&mut self) -> Option<RawRequest> {
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            received.push(self.stream.read_u8().await.ok()?);
        }
        let request = RawRequest { head: String::from_utf8(received).ok()? };
        if !request.is_probe() {
            self.state.runs.fetch_add(1, Ordering::SeqCst);
        }
        Some(request)
    }

    /// Reads bytes of a body; `None` if the connection ended.
    pub async fn read_body(&mut self, bytes: usize) -> Option<()> {
        let mut body = vec![0; bytes];
        self.stream.read_exact(&mut body).await.ok()?;
        Some(())
    }

    /// Reads and discards what arrives until the other end closes or resets the connection.
    pub async fn wait_for_end(&mut self) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while self.stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    }

    /// Waits up to `max_wait` for a request. Returns whether one has arrived or the connection has
    /// ended.
    pub async fn wait_for_request(&mut self, max_wait: Duration) -> bool {
        timeout(max_wait, self.stream.readable()).await.is_ok()
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, bytes: &str) -> Option<()> {
        self.stream.write_all(bytes.as_bytes()).await.ok()
    }

    /// Makes the connection end with a reset when it is dropped.
    pub fn reset(&self) {
        let socket = SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("the option is supported");
    }

    /// Sends a response with a status line, header lines and a body.
    pub async fn respond(&mut self, status: &str, headers: &str, body: &str) -> Option<()> {
        let length = body.len();
        self.send(&format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}"))
            .await
    }

    /// Sends `start`, then `repeated` again and again until the receiver closes the connection,
    /// with a pause between.
    pub async fn send_without_end(
        &mut self,
        start: &str,
        repeated: &str,
        pause: Duration,
    ) -> Option<()> {
        let index = {
            let mut endless = self.state.endless.lock().expect("response lock is never poisoned");
            endless.push((Instant::now(), None));
            endless.len() - 1
        };
        let mut bytes = repeated.to_owned();
        while pause.is_zero() && bytes.len() < CHUNK_BYTES {
            bytes.push_str(repeated);
        }
        let mut sent = self.send(start).await;
        let mut unread = [0; 1];
        while sent.is_some() {
            sent = self.stream.write_all(bytes.as_bytes()).await.ok();
            self.state.endless_bytes.fetch_add(bytes.len() as u64, Ordering::SeqCst);
            if !pause.is_zero() {
                tokio::select! {
                    // The end of the connection, or of its requests.
                    _ = self.stream.read(&mut unread) => sent = None,
                    () = tokio::time::sleep(pause) => {}
                }
            }
        }
        let mut endless = self.state.endless.lock().expect("response lock is never poisoned");
        endless[index].1 = Some(Instant::now());
        None
    }
}

/// Returns the header line of a load report with these figures.
pub fn load_header(figures: &str) -> String {
    let mut headers = HeaderMap::new();
    write_load_header(&mut headers, ServerLoad { running: 0, waiting: 0, slots: 1, slowness: 1.0 });
    header_lines(&headers, |_| figures.into())
}

/// Returns the header line with which a server names a limit.
pub fn limit_header(text: &str) -> String {
    let mut headers = HeaderMap::new();
    write_limit_header(&mut headers, RequestRate(1.0));
    header_lines(&headers, |_| text.into())
}

/// Returns the header line with which a server says how long it stays cold.
pub fn warm_up_header(text: &str) -> String {
    let mut headers = HeaderMap::new();
    write_warm_up_header(&mut headers, Duration::ZERO);
    header_lines(&headers, |_| text.into())
}

/// Returns the header line of a response to a request that was not run.
pub fn not_run_header() -> String {
    let mut headers = HeaderMap::new();
    write_not_run_header(&mut headers);
    header_lines(&headers, |value| value.to_str().unwrap_or_default().into())
}

fn header_lines(headers: &HeaderMap, text: impl Fn(&HeaderValue) -> String) -> String {
    headers.iter().map(|(name, value)| format!("{name}: {}\r\n", text(value))).collect()
}

impl RawRequest {
    /// Whether it is a health check.
    pub fn is_probe(&self) -> bool {
        self.head.contains(&format!(" {HEALTH_PATH} "))
    }

    /// The request ID; empty if it has none.
    pub fn id(&self) -> &str {
        self.header(wire_interface().headers.request_id.as_str())
    }

    /// Header lines that a response to it needs, with the request ID and the server's signature.
    pub fn response_headers(&self) -> String {
        let names = wire_interface().headers;
        format!("{}: {}\r\n{}: signed\r\n", names.request_id, self.id(), names.signature)
    }

    /// Length of its body, 0 if the head has none.
    pub fn content_length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    fn header(&self, name: &str) -> &str {
        let line = self.head.lines().find(|line| line.to_lowercase().starts_with(name));
        line.and_then(|line| line.split_once(':')).map_or("", |(_, value)| value.trim())
    }
}
