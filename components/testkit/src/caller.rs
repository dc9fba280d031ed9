//! HTTP/1.1 callers: one request on a new connection, or several requests on one connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A request to send.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Address of the server.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with query.
    pub path: Box<str>,
    /// Header fields, including `host`.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Bytes,
    /// Longest time until the whole response is read.
    pub timeout: Duration,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Reason why a call got no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened.
    ConnectFailed,
    /// The connection closed before the response head.
    ConnectionClosed,
    /// The connection closed within the response body.
    Truncated,
    /// The timeout expired before the response was complete.
    TimedOut,
}

impl CallRequest {
    /// A GET request.
    pub fn get(address: SocketAddr, host: &str, path: &str) -> Self {
        Self {
            address,
            method: Method::GET,
            path: path.into(),
            headers: vec![("host".into(), host.into())],
            body: Bytes::new(),
            timeout: Duration::from_secs(20),
        }
    }

    /// A POST request.
    pub fn post(address: SocketAddr, host: &str, path: &str, body: impl Into<Bytes>) -> Self {
        let mut request = Self::get(address, host, path);
        request.method = Method::POST;
        request.body = body.into();
        request
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }
}

impl CallResponse {
    /// A header field as text; empty if missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The `mustardrail-outcome` header.
    pub fn outcome(&self) -> &str {
        self.header("mustardrail-outcome")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A connection that carries requests one after the other.
pub struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CallerConnection {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await.map_err(|_| CallError::ConnectFailed)?;
        stream.set_nodelay(true).map_err(|_| CallError::ConnectFailed)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| CallError::ConnectFailed)?;
        let task = tokio::spawn(async move {
            // The sender reports connection errors to the caller.
            let _ = connection.await;
        });
        Ok(Self { sender, task })
    }

    /// Sends a request and reads the whole response.
    pub async fn send(&mut self, request: &CallRequest) -> Result<CallResponse, CallError> {
        match timeout(request.timeout, self.exchange(request)).await {
            Ok(response) => response,
            Err(_) => Err(CallError::TimedOut),
        }
    }

    async fn exchange(&mut self, request: &CallRequest) -> Result<CallResponse, CallError> {
        let mut builder = Request::builder().method(request.method.clone()).uri(&*request.path);
        for (name, value) in &request.headers {
            builder = builder.header(&**name, &**value);
        }
        let http_request =
            builder.body(Full::new(request.body.clone())).expect("tests send valid requests");
        self.sender.ready().await.map_err(|_| CallError::ConnectionClosed)?;
        let response = self
            .sender
            .send_request(http_request)
            .await
            .map_err(|_| CallError::ConnectionClosed)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallError::Truncated)?.to_bytes();
        Ok(CallResponse { status: head.status.as_u16(), headers: head.headers, body })
    }
}

/// Sends a request on a new connection and reads the whole response.
pub async fn call(request: &CallRequest) -> Result<CallResponse, CallError> {
    let exchange = async { CallerConnection::connect(request.address).await?.send(request).await };
    match timeout(request.timeout, exchange).await {
        Ok(response) => response,
        Err(_) => Err(CallError::TimedOut),
    }
}
