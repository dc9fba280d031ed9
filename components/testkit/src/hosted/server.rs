//! Servers that speak the users' way.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep};

use balance::ServerLoad;
use platform::{wire_interface, write_load_header, write_not_run_header};
use routes::{ServerRecord, ServiceName, WireInterface};

use crate::backend::truncated;
use crate::hosted::HEALTH_PATH;
use crate::web::{WebBody, WebServer, never};

/// Requests that a server runs at a time.
const SLOTS: u32 = 4;

/// Identity of the server that has an address now which served another one.
const OTHER_ID: &str = "other-server";

/// How a server treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostedBehaviour {
    /// Runs each request for this long.
    Run(Duration),
    /// Has no room, and says that it did not run the request.
    Shed,
    /// Runs the request and closes the connection without an answer.
    RunAndBreak,
    /// Runs the request and breaks off within the answer, chunked every second time.
    Truncate,
    /// Answers with another request's identity.
    Foreign,
    /// Answers without signature.
    Unsigned,
    /// Answers with an encoded body, which is not its own.
    Encoded,
    /// Runs the request and answers with this status.
    Fail(u16),
    /// Another server has this address now.
    OtherServer,
    /// Runs one request and closes its connection; from then on another server has the address.
    RunAndMove,
}

/// A request that a server began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostedRun {
    /// Identity of the caller's attempt.
    pub id: Box<str>,
    /// Method and path with query.
    pub target: Box<str>,
    /// The body.
    pub body: Bytes,
    /// Milliseconds that were left.
    pub deadline_ms: u64,
    /// When it began.
    pub began_at: Instant,
    /// Whether the caller's connection closed before the end.
    pub is_cancelled: bool,
}

/// A server on a loopback port.
pub struct HostedServer {
    /// Its entry in the list.
    pub record: ServerRecord,
    server: WebServer,
    state: Arc<ServerState>,
}

struct ServerState {
    id: Box<str>,
    wire: WireInterface,
    behaviour: Mutex<HostedBehaviour>,
    /// Status with which it answers health checks.
    health: Mutex<StatusCode>,
    runs: Mutex<Vec<HostedRun>>,
    arrivals: AtomicU64,
}

impl HostedServer {
    /// Starts a server of a service.
    pub async fn start(id: &str, service: &str, behaviour: HostedBehaviour) -> Self {
        let state = Arc::new(ServerState {
            id: id.into(),
            wire: wire_interface(),
            behaviour: Mutex::new(behaviour),
            health: Mutex::new(StatusCode::OK),
            runs: Mutex::default(),
            arrivals: AtomicU64::new(0),
        });
        let running = Arc::clone(&state);
        let server = WebServer::start(move |request| {
            let state = Arc::clone(&running);
            async move { state.answer(request).await }
        })
        .await;
        let record = ServerRecord {
            id: id.parse().expect("the name is valid"),
            started_ms: 1,
            sequence: 1,
            address: server.address,
            service: ServiceName(service.into()),
            zone: "zone-a".parse().expect("the name is valid"),
            slots: SLOTS,
            is_leaving: false,
            slow_start_left: Duration::ZERO,
        };
        Self { record, server, state }
    }

    /// Changes how it treats requests from now on.
    pub fn set_behaviour(&self, behaviour: HostedBehaviour) {
        *self.state.behaviour.lock().expect("behaviour lock is never poisoned") = behaviour;
    }

    /// Changes the status with which it answers health checks, whatever is true.
    pub fn set_health(&self, status: StatusCode) {
        *self.state.health.lock().expect("health lock is never poisoned") = status;
    }

    /// What it began to run.
    pub fn runs(&self) -> Vec<HostedRun> {
        self.state.runs.lock().expect("run lock is never poisoned").clone()
    }

    /// Requests that reached it, run or not.
    pub fn arrivals(&self) -> u64 {
        self.state.arrivals.load(Ordering::SeqCst)
    }

    /// Connections that it accepted.
    pub fn connections(&self) -> u64 {
        self.server.connections.load(Ordering::SeqCst)
    }
}

/// Marks a run as cancelled unless it ends.
struct RunGuard<'a> {
    state: &'a ServerState,
    index: usize,
    is_ended: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            let mut runs = self.state.runs.lock().expect("run lock is never poisoned");
            runs[self.index].is_cancelled = true;
        }
    }
}

impl ServerState {
    async fn answer(&self, request: Request<Incoming>) -> Option<Response<WebBody>> {
        if request.uri().path() == HEALTH_PATH {
            let status = *self.health.lock().expect("health lock is never poisoned");
            return Some(self.respond(status, Bytes::new()));
        }
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        let behaviour = *self.behaviour.lock().expect("behaviour lock is never poisoned");
        let names = &self.wire.headers;
        let id = request.headers().get(&names.request_id).cloned();
        let expected = request.headers().get(&names.expected_server);
        let own_id = match behaviour {
            HostedBehaviour::OtherServer => OTHER_ID,
            _ => &self.id,
        };
        if expected.is_some_and(|name| name.as_bytes() != own_id.as_bytes()) {
            return Some(self.respond(StatusCode::MISDIRECTED_REQUEST, Bytes::new()));
        }
        if behaviour == HostedBehaviour::Shed {
            let mut response = self.respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            write_not_run_header(response.headers_mut());
            return Some(response);
        }
        let mut guard = self.begin(request).await?;
        if let HostedBehaviour::Run(time) = behaviour {
            sleep(time).await;
        }
        guard.is_ended = true;
        let text = Bytes::from(format!("{} ran it", self.id));
        let mut response = match behaviour {
            HostedBehaviour::RunAndBreak => return None,
            HostedBehaviour::RunAndMove => {
                let moved = HostedBehaviour::OtherServer;
                *self.behaviour.lock().expect("behaviour lock is never poisoned") = moved;
                return None;
            }
            HostedBehaviour::Truncate => truncated(self.runs_so_far().is_multiple_of(2)),
            HostedBehaviour::Fail(status) => {
                self.respond(StatusCode::from_u16(status).expect("a status"), text)
            }
            _ => self.respond(StatusCode::OK, text),
        };
        let headers = response.headers_mut();
        let own_id = id.unwrap_or_else(|| HeaderValue::from_static("none"));
        headers.insert(&names.request_id, own_id);
        headers.insert(&names.signature, HeaderValue::from_static("signed"));
        match behaviour {
            HostedBehaviour::Foreign => {
                headers.insert(&names.request_id, HeaderValue::from_static("another"));
            }
            HostedBehaviour::Unsigned => {
                headers.remove(&names.signature);
            }
            HostedBehaviour::Encoded => {
                headers.insert(CONTENT_ENCODING, HeaderValue::from_static("gzip"));
            }
            _ => {}
        }
        Some(response)
    }

    fn runs_so_far(&self) -> usize {
        self.runs.lock().expect("run lock is never poisoned").len()
    }

    async fn begin(&self, request: Request<Incoming>) -> Option<RunGuard<'_>> {
        let (head, body) = request.into_parts();
        let names = &self.wire.headers;
        let text = |name| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let body = body.collect().await.ok()?.to_bytes();
        let run = HostedRun {
            id: text(&names.request_id).into(),
            target: format!("{} {}", head.method, head.uri).into(),
            body,
            deadline_ms: text(&names.deadline_ms).parse().unwrap_or(0),
            began_at: Instant::now(),
            is_cancelled: false,
        };
        let mut runs = self.runs.lock().expect("run lock is never poisoned");
        runs.push(run);
        Some(RunGuard { state: self, index: runs.len() - 1, is_ended: false })
    }

    fn respond(&self, status: StatusCode, body: Bytes) -> Response<WebBody> {
        let mut response = Response::new(Full::new(body).map_err(never).boxed_unsync());
        *response.status_mut() = status;
        let figures = ServerLoad { running: 0, waiting: 0, slots: SLOTS, slowness: 1.0 };
        write_load_header(response.headers_mut(), figures);
        let id = HeaderValue::from_str(&self.id).expect("names are valid header values");
        response.headers_mut().insert(&self.wire.headers.responding_server, id);
        response
    }
}
