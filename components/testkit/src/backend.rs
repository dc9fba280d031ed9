//! A backend server with slots, load reports and many ways to misbehave.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use crate::web::{WebBody, WebServer, never};

/// How a backend server treats requests.
#[derive(Debug, Clone, PartialEq)]
pub enum BackendBehaviour {
    /// Runs each request in a slot for this long.
    Serve(Duration),
    /// Runs and answers with this status at once.
    Fail(u16),
    /// Answers 503 without running anything.
    Shed,
    /// Runs the request, then closes the connection without an answer.
    RunAndDisconnect,
    /// Closes the connection without running anything.
    Disconnect,
    /// Runs the request and breaks off in the middle of the answer, which is chunked every second
    /// time.
    Truncate,
    /// Takes requests and never answers.
    Hang,
    /// Serves, and says in each answer that it is leaving.
    ServeDraining(Duration),
}

/// A request that a backend server began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedRequest {
    /// Method and path with query.
    pub target: Box<str>,
    /// The `x-request` header, by which tests tell requests apart.
    pub tag: Box<str>,
    /// The whole body.
    pub body: Bytes,
    /// When it began.
    pub started_at: Instant,
    /// The `traceparent` header.
    pub traceparent: Box<str>,
    /// Whether it has the `x-chunked` header, by which tests ask for a chunked answer.
    pub has_chunked_header: bool,
}

/// A backend server on a loopback port.
pub struct FakeBackend {
    server: WebServer,
    state: Arc<BackendState>,
}

struct BackendState {
    name: Box<str>,
    behaviour: Mutex<BackendBehaviour>,
    slots: Semaphore,
    in_flight: AtomicUsize,
    served: Mutex<Vec<ServedRequest>>,
    request_count: AtomicU64,
    probe_times: Mutex<Vec<Instant>>,
}

impl FakeBackend {
    /// Starts a backend server.
    pub async fn start(name: &str, slots: usize, behaviour: BackendBehaviour) -> Self {
        let state = Arc::new(BackendState {
            name: name.into(),
            behaviour: Mutex::new(behaviour),
            slots: Semaphore::new(slots),
            in_flight: AtomicUsize::new(0),
            served: Mutex::default(),
            request_count: AtomicU64::new(0),
            probe_times: Mutex::default(),
        });
        let handler_state = Arc::clone(&state);
        let server = WebServer::start(move |request| {
            let state = Arc::clone(&handler_state);
            async move { state.handle(request).await }
        })
        .await;
        Self { server, state }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes how it treats requests from now on.
    pub fn set_behaviour(&self, behaviour: BackendBehaviour) {
        *self.state.behaviour.lock().expect("behaviour lock is never poisoned") = behaviour;
    }

    /// All requests that it began to run.
    pub fn served_requests(&self) -> Vec<ServedRequest> {
        self.state.served.lock().expect("record lock is never poisoned").clone()
    }

    /// How often it began to run the request with a tag.
    pub fn run_count(&self, tag: &str) -> usize {
        self.served_requests().iter().filter(|served| &*served.tag == tag).count()
    }

    /// Requests that reached it, whether it ran them or not; probes do not count.
    pub fn request_count(&self) -> u64 {
        self.state.request_count.load(Ordering::SeqCst)
    }

    /// Connections that it accepted.
    pub fn connection_count(&self) -> u64 {
        self.server.connection_count.load(Ordering::SeqCst)
    }

    /// When it was probed.
    pub fn probe_times(&self) -> Vec<Instant> {
        self.state.probe_times.lock().expect("probe lock is never poisoned").clone()
    }
}

impl BackendState {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<WebBody>> {
        if request.uri().path() == "/load" {
            self.probe_times.lock().expect("probe lock is never poisoned").push(Instant::now());
            return Some(self.response_with_load(StatusCode::OK, Bytes::new()));
        }
        self.request_count.fetch_add(1, Ordering::SeqCst);
        let behaviour = self.behaviour.lock().expect("behaviour lock is never poisoned").clone();
        match behaviour {
            BackendBehaviour::Serve(time) => self.serve(request, time).await,
            BackendBehaviour::ServeDraining(time) => {
                let mut response = self.serve(request, time).await?;
                response.headers_mut().insert("mustardrail-drain", HeaderValue::from_static("1"));
                Some(response)
            }
            BackendBehaviour::Fail(status) => {
                self.record_run(request).await?;
                let status = StatusCode::from_u16(status).expect("tests use valid statuses");
                Some(self.response_with_load(status, Bytes::new()))
            }
            BackendBehaviour::Shed => {
                Some(self.response_with_load(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()))
            }
            BackendBehaviour::RunAndDisconnect => {
                self.record_run(request).await?;
                None
            }
            BackendBehaviour::Disconnect => None,
            BackendBehaviour::Truncate => {
                self.record_run(request).await?;
                Some(truncated(self.request_count.load(Ordering::SeqCst).is_multiple_of(2)))
            }
            BackendBehaviour::Hang => {
                std::future::pending::<()>().await;
                None
            }
        }
    }

    async fn serve(&self, request: Request<Incoming>, time: Duration) -> Option<Response<WebBody>> {
        let _counted = InFlightGuard::new(&self.in_flight);
        let _slot = self.slots.acquire().await.ok()?;
        let served = self.record_run(request).await?;
        if !time.is_zero() {
            sleep(time).await;
        }
        let body = Bytes::from(format!("{} {} {}", self.name, served.tag, served.body.len()));
        let mut response = self.response_with_load(StatusCode::OK, body.clone());
        if served.has_chunked_header {
            let frames = futures_util::stream::iter([Ok(Frame::data(body))]);
            *response.body_mut() = StreamBody::new(frames).boxed_unsync();
        }
        Some(response)
    }

    /// Records that a request began to run.
    async fn record_run(&self, request: Request<Incoming>) -> Option<ServedRequest> {
        let (head, body) = request.into_parts();
        let text = |name: &str| -> Box<str> {
            head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().into()
        };
        let body = body.collect().await.ok()?.to_bytes();
        let served = ServedRequest {
            target: format!("{} {}", head.method, head.uri).into(),
            tag: text("x-request"),
            body,
            started_at: Instant::now(),
            traceparent: text("traceparent"),
            has_chunked_header: head.headers.contains_key("x-chunked"),
        };
        self.served.lock().expect("record lock is never poisoned").push(served.clone());
        Some(served)
    }

    fn response_with_load(&self, status: StatusCode, body: Bytes) -> Response<WebBody> {
        let mut response = Response::new(Full::new(body).map_err(never).boxed_unsync());
        *response.status_mut() = status;
        // The request that is being answered no longer counts.
        let others = self.in_flight.load(Ordering::SeqCst).saturating_sub(1);
        let report = format!("TEXT named_metrics.in_flight={others}");
        let report = HeaderValue::from_str(&report).expect("reports are valid header values");
        response.headers_mut().insert("endpoint-load-metrics", report);
        response
    }
}

struct InFlightGuard<'a> {
    count: &'a AtomicUsize,
}

impl<'a> InFlightGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self { count }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// An answer that breaks off after a few bytes; unless chunked it promises 1,000.
pub(crate) fn truncated(is_chunked: bool) -> Response<WebBody> {
    let (sender, receiver) = tokio::sync::mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(2);
    tokio::spawn(async move {
        // A caller that has gone reads nothing.
        let _ = sender.send(Ok(Frame::data(Bytes::from_static(b"partial")))).await;
        let _ = sender.send(Err(std::io::Error::other("truncated on purpose"))).await;
    });
    let stream = StreamBody::new(ReceiverStream { receiver });
    let mut response = Response::new(stream.boxed_unsync());
    if !is_chunked {
        response.headers_mut().insert("content-length", HeaderValue::from_static("1000"));
    }
    response
}

struct ReceiverStream<T> {
    receiver: tokio::sync::mpsc::Receiver<T>,
}

impl<T> futures_util::Stream for ReceiverStream<T> {
    type Item = T;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<T>> {
        self.receiver.poll_recv(context)
    }
}
