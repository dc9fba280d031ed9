//! Callers that write and read bytes.

use std::net::SocketAddr;
use std::time::Duration;

use platform::wire_interface;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::caller::CallRequest;

/// Longest wait for a response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller that writes and reads bytes.
pub struct RawCaller {
    /// The connection to the daemon.
    pub stream: TcpStream,
    /// Bytes that were received and not yet returned.
    pub received: Vec<u8>,
}

/// A response as a raw caller reads it.
#[derive(Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// The status.
    pub status: u16,
    /// Request ID in the response; empty if there is none.
    pub id: String,
    /// Whether the connection closes after the response.
    pub closes: bool,
}

impl RawCaller {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.expect("the daemon listens"))
    }

    /// Opens a connection whose receive buffer is small, so that most of what the daemon sends waits
    /// at the daemon's end.
    pub async fn connect_with_receive_buffer(address: SocketAddr, bytes: u32) -> Self {
        let opened = Self::try_connect_with_receive_buffer(address, bytes).await;
        opened.expect("the daemon listens")
    }

    /// Opens such a connection; `None` if the daemon doesn't listen.
    pub async fn try_connect_with_receive_buffer(address: SocketAddr, bytes: u32) -> Option<Self> {
        let socket = TcpSocket::new_v4().expect("a socket is free");
        socket.set_recv_buffer_size(bytes).expect("the option is supported");
        socket.connect(address).await.ok().map(Self::new)
    }

    fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("the option is supported");
        Self { stream, received: Vec::new() }
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the daemon reads");
    }

    /// Sends bytes; returns whether the connection still accepted them.
    pub async fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Reads the next response; `None` if the connection ends before it.
    pub async fn next_response(&mut self) -> Option<RawResponse> {
        let end = self.read_until(|bytes| {
            let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
            end.map(|start| start + 4)
        });
        let head = String::from_utf8(end.await?).expect("heads are text").to_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
            line.unwrap_or_default().to_owned()
        };
        let length: usize = field("content-length").parse().unwrap_or(0);
        self.read_until(|bytes| (bytes.len() >= length).then_some(length)).await?;
        Some(RawResponse {
            status: head[9..12].parse().expect("a response has a status"),
            id: field(wire_interface().headers.request_id.as_str()),
            closes: field("connection") == "close",
        })
    }

    /// Reads the bytes up to an end; `None` if the connection ends before it.
    async fn read_until(&mut self, end: impl Fn(&[u8]) -> Option<usize>) -> Option<Vec<u8>> {
        loop {
            if let Some(end) = end(&self.received) {
                return Some(self.received.drain(..end).collect());
            }
            let reading = self.stream.read_buf(&mut self.received);
            let count = timeout(RESPONSE_TIMEOUT, reading).await.expect("the daemon responds");
            if count.ok()? == 0 {
                return None;
            }
        }
    }

    /// Whether no byte of a response has arrived.
    pub fn has_no_response(&mut self) -> bool {
        self.received.is_empty() && self.stream.try_read_buf(&mut self.received).is_err()
    }
}

/// Sends a request with HTTP/1.0, where a body of unknown length ends with the connection. Returns the
/// status and body of what looks like a whole response; `None` if it broke off.
pub async fn call_with_http10(request: &CallRequest) -> Option<(u16, Vec<u8>)> {
    let mut caller = RawCaller::connect(request.address).await;
    caller.send(&request_text(request).replace("HTTP/1.1", "HTTP/1.0")).await;
    let mut received = Vec::new();
    let reading = caller.stream.read_to_end(&mut received);
    timeout(RESPONSE_TIMEOUT, reading).await.expect("the daemon responds").ok()?;
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    let body = received[end..].to_vec();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = length.is_none_or(|length| length.trim().parse::<usize>() == Ok(body.len()));
    is_whole.then_some((head[9..12].parse().ok()?, body))
}

/// The bytes of a request. Its body must be text.
pub fn request_text(request: &CallRequest) -> String {
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !request.body.is_empty() {
        text += &format!("content-length: {}\r\n", request.body.len());
    }
    text + "\r\n" + std::str::from_utf8(&request.body).expect("bodies are text")
}
