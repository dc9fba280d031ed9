//! A fake backend server with slots, load reports and a choice of failures.

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

/// How a fake backend server handles requests.
#[derive(Debug, Clone, PartialEq)]
pub enum BackendBehaviour {
    /// Runs each request in a slot for this time.
    Serve(Duration),
    /// Runs the request and responds with this status at once.
    Fail(u16),
    /// Responds with 503 without running the request.
    Shed,
    /// Runs the request, then closes the connection without a response.
    RunAndDisconnect,
    /// Closes the connection without running the request.
    Disconnect,
    /// Runs the request and truncates the response body; every second response is chunked.
    Truncate,
    /// Accepts requests and never responds.
    Hang,
    /// Serves, and announces in each response that the server drains.
    ServeDraining(Duration),
}

/// A request that a fake backend server started to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedRequest {
    /// Method and path with query.
    pub target: Box<str>,
    /// Value of the `x-request` header, with which tests identify requests.
    pub tag: Box<str>,
    /// The whole body.
    pub body: Bytes,
    /// When the run started.
    pub started_at: Instant,
    /// Value of the `traceparent` header.
    pub traceparent: Box<str>,
    /// Whether the request has the `x-chunked` header, with which tests ask for a chunked response.
    pub has_chunked_header: bool,
}

/// A fake backend server on a loopback port.
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
    /// Starts a fake backend server with `slots` concurrent requests at most.
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

    /// The address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes how subsequent requests are handled.
    pub fn set_behaviour(&self, behaviour: BackendBehaviour) {
        *self.state.behaviour.lock().expect("behaviour lock is never poisoned") = behaviour;
    }

    /// All requests that the server started to run.
    pub fn served_requests(&self) -> Vec<ServedRequest> {
        self.state.served.lock().expect("request lock is never poisoned").clone()
    }

    /// How many times the server started to run the request with this tag.
    pub fn run_count(&self, tag: &str) -> usize {
        self.served_requests().iter().filter(|served| &*served.tag == tag).count()
    }

    /// Number of requests received, run or not, without load probes.
    pub fn request_count(&self) -> u64 {
        self.state.request_count.load(Ordering::SeqCst)
    }

    /// Number of accepted connections.
    pub fn connection_count(&self) -> u64 {
        self.server.connection_count.load(Ordering::SeqCst)
    }

    /// Times of all load probes.
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
            BackendBehaviour::Serve(run_time) => self.serve(request, run_time).await,
            BackendBehaviour::ServeDraining(run_time) => {
                let mut response = self.serve(request, run_time).await?;
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
                Some(truncated_response(
                    self.request_count.load(Ordering::SeqCst).is_multiple_of(2),
                    TRUNCATED_BYTES,
                ))
            }
            BackendBehaviour::Hang => {
                std::future::pending::<()>().await;
                None
            }
        }
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        run_time: Duration,
    ) -> Option<Response<WebBody>> {
        let _guard = InFlightGuard::new(&self.in_flight);
        let _slot = self.slots.acquire().await.ok()?;
        let served = self.record_run(request).await?;
        if !run_time.is_zero() {
            sleep(run_time).await;
        }
        let body = Bytes::from(format!("{} {} {}", self.name, served.tag, served.body.len()));
        let mut response = self.response_with_load(StatusCode::OK, body.clone());
        if served.has_chunked_header {
            let frames = futures_util::stream::iter([Ok(Frame::data(body))]);
            *response.body_mut() = StreamBody::new(frames).boxed_unsync();
        }
        Some(response)
    }

    /// Reads a request and records that its run started.
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
        self.served.lock().expect("request lock is never poisoned").push(served.clone());
        Some(served)
    }

    fn response_with_load(&self, status: StatusCode, body: Bytes) -> Response<WebBody> {
        let mut response = Response::new(Full::new(body).map_err(never).boxed_unsync());
        *response.status_mut() = status;
        // The report excludes the request that this response completes.
        let other_requests = self.in_flight.load(Ordering::SeqCst).saturating_sub(1);
        let report = format!("TEXT named_metrics.in_flight={other_requests}");
        let report = HeaderValue::from_str(&report).expect("reports are valid header values");
        response.headers_mut().insert("endpoint-load-metrics", report);
        response
    }
}

/// Counts a request as in flight until dropped.
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

/// Bytes of a truncated response that are sent.
pub(crate) const TRUNCATED_BYTES: usize = 100;

/// Time in which the bytes of a truncated response leave the server before its connection breaks.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Returns a response whose body fails after `sent` bytes. Unless it is chunked, its declared length
/// is ten times as many.
pub(crate) fn truncated_response(is_chunked: bool, sent: usize) -> Response<WebBody> {
    let (sender, receiver) = tokio::sync::mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(2);
    tokio::spawn(async move {
        // The send fails if the client has already disconnected.
        let _ = sender.send(Ok(Frame::data(Bytes::from(vec![b'p'; sent])))).await;
        tokio::time::sleep(TRUNCATION_DELAY).await;
        let _ = sender.send(Err(std::io::Error::other("truncated on purpose"))).await;
    });
    let stream = StreamBody::new(ReceiverStream { receiver });
    let mut response = Response::new(stream.boxed_unsync());
    if !is_chunked {
        response.headers_mut().insert("content-length", HeaderValue::from(10 * sent));
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
