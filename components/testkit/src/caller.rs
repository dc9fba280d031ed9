//! A caller that sends one request on a connection of its own.

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
    /// Where to.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with query.
    pub path: Box<str>,
    /// Header fields; `host` among them.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Bytes,
    /// Longest time for the whole answer.
    pub patience: Duration,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why there was no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// No connection could be opened.
    Refused,
    /// The connection broke before the head of the answer.
    BrokeBefore,
    /// The connection broke within the body.
    Truncated,
    /// There was no whole answer in time.
    TooLate,
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
            patience: Duration::from_secs(20),
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
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }
}

impl CallAnswer {
    /// A header field as text; empty when missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The outcome header.
    pub fn outcome(&self) -> &str {
        self.header("mustardrail-outcome")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null when it is not.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A connection that carries one request after the other.
pub struct KeptCaller {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for KeptCaller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl KeptCaller {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> Result<Self, CallFault> {
        let stream = TcpStream::connect(address).await.map_err(|_| CallFault::Refused)?;
        stream.set_nodelay(true).map_err(|_| CallFault::Refused)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| CallFault::Refused)?;
        let task = tokio::spawn(async move {
            // Its errors reach the caller through the sender.
            let _ = connection.await;
        });
        Ok(Self { sender, task })
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&mut self, request: &CallRequest) -> Result<CallAnswer, CallFault> {
        match timeout(request.patience, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallFault::TooLate),
        }
    }

    async fn exchange(&mut self, request: &CallRequest) -> Result<CallAnswer, CallFault> {
        let mut built = Request::builder().method(request.method.clone()).uri(&*request.path);
        for (name, value) in &request.headers {
            built = built.header(&**name, &**value);
        }
        let built = built.body(Full::new(request.body.clone())).expect("tests send valid requests");
        self.sender.ready().await.map_err(|_| CallFault::BrokeBefore)?;
        let answer = self.sender.send_request(built).await.map_err(|_| CallFault::BrokeBefore)?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|_| CallFault::Truncated)?.to_bytes();
        Ok(CallAnswer { status: head.status.as_u16(), headers: head.headers, body })
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub async fn call(request: &CallRequest) -> Result<CallAnswer, CallFault> {
    let exchange = async { KeptCaller::connect(request.address).await?.send(request).await };
    match timeout(request.patience, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(CallFault::TooLate),
    }
}
