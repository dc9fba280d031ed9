//! A hosted fleet: the platform's store, servers that speak its way, and daemons as processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use balance::LoadFigures;
use model::RevisionNumber;
use platform::{wire_interface, write_load, write_not_run};
use routes::{
    CallerLimits, HostedRoute, RepeatRule, RoutePart, RouteTable, ServerRecord, ServiceInfo,
    ServiceName, WireInterface,
};

use crate::backend::truncated;
use crate::caller::{CallRequest, call};
use crate::daemons::{free_port, log_target};
use crate::platform_server::PlatformStandIn;
use crate::web::{WebBody, WebServer, never};

/// Path of the servers' health checks.
const HEALTH_PATH: &str = "/health";

/// Requests that a server runs at a time.
const SLOTS: u32 = 4;

/// Longest time until something becomes true; CI runs with every core busy.
const PATIENCE: Duration = Duration::from_secs(60);

/// Host of all routes.
pub const HOSTED_HOST: &str = "shop.test";

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
            born_ms: 1,
            sequence: 1,
            address: server.address,
            service: ServiceName(service.into()),
            zone: "zone-a".parse().expect("the name is valid"),
            slots: SLOTS,
            is_leaving: false,
            warmup_left: Duration::ZERO,
        };
        Self { record, server, state }
    }

    /// Changes how it treats requests from now on.
    pub fn set_behaviour(&self, behaviour: HostedBehaviour) {
        *self.state.behaviour.lock().expect("behaviour lock is never poisoned") = behaviour;
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
            return Some(self.respond(StatusCode::OK, Bytes::new()));
        }
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        let behaviour = *self.behaviour.lock().expect("behaviour lock is never poisoned");
        let names = &self.wire.headers;
        let id = request.headers().get(&names.request_id).cloned();
        let expected = request.headers().get(&names.expected_server);
        let is_other = expected.is_some_and(|name| name.as_bytes() != self.id.as_bytes());
        if is_other || behaviour == HostedBehaviour::OtherServer {
            return Some(self.respond(StatusCode::MISDIRECTED_REQUEST, Bytes::new()));
        }
        if behaviour == HostedBehaviour::Shed {
            let mut response = self.respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            write_not_run(response.headers_mut());
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
        let figures = LoadFigures { running: 0, waiting: 0, slots: SLOTS, slowness: 1.0 };
        write_load(response.headers_mut(), figures);
        let id = HeaderValue::from_str(&self.id).expect("names are valid header values");
        response.headers_mut().insert(&self.wire.headers.answering_server, id);
        response
    }
}

/// A route of the test host that leads to services with weights.
pub fn hosted_route(prefix: &str, repeat: RepeatRule, parts: &[(&str, u32)]) -> HostedRoute {
    HostedRoute {
        name: prefix.into(),
        prefix: prefix.into(),
        repeat,
        timeout: Duration::from_secs(20),
        target: Duration::from_secs(10),
        priority: 1,
        max_attempts: 2,
        parts: parts
            .iter()
            .map(|(service, weight)| RoutePart {
                service: ServiceName((*service).into()),
                weight: *weight,
            })
            .collect(),
    }
}

/// A configuration of the test host.
pub fn hosted_config(version: u64, routes: Vec<HostedRoute>) -> RouteTable {
    let services = routes.iter().flat_map(|route| &route.parts).map(|part| {
        let info = ServiceInfo { health_path: HEALTH_PATH.into(), connections: 200 };
        (part.service.clone(), info)
    });
    let limits = CallerLimits {
        header_bytes: 16 << 10,
        body_bytes: 8 << 20,
        header_time: Duration::from_secs(30),
        idle_time: Duration::from_secs(30),
    };
    let mut table = RouteTable::new(RevisionNumber(version), services.collect(), limits);
    table.add_host(HOSTED_HOST, routes);
    table
}

/// A hosted daemon as a process; it is killed when dropped.
pub struct HostedDaemon {
    child: Child,
    log: PathBuf,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
}

impl HostedDaemon {
    /// Starts a daemon on a store.
    pub fn start(program: &Path, store: SocketAddr) -> Self {
        Self::start_with(program, store, free_port(), &[])
    }

    /// Starts a daemon that reads the store itself or through relays.
    pub fn start_with(
        program: &Path,
        store: SocketAddr,
        relay: SocketAddr,
        relays: &[SocketAddr],
    ) -> Self {
        let (callers, readiness) = (free_port(), free_port());
        let settings = json!({
            "vm": "entry-1", "zone": "zone-a", "callers": callers, "readiness": readiness,
            "store": store, "relay": relay, "relays": relays, "grace_s": 30, "contact_s": 3,
            "retries": { "ratio": 0.2, "slack": 120, "window_s": 10 },
        });
        let name = format!("mustardrail-hosted-{}-{}.json", std::process::id(), callers.port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).expect("the temporary folder can be written");
        let log = path.with_extension("log");
        let output = std::fs::File::create(&log).expect("the temporary folder can be written");
        let child = Command::new(program)
            .arg("--hosted")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log_target())
            .spawn()
            .expect("the daemon can be started");
        Self { child, log, callers, readiness }
    }

    /// Lines that it has logged so far which hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<Value> {
        let log = std::fs::read_to_string(&self.log).expect("the log can be read");
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(|line| serde_json::from_str(line).expect("log lines are JSON")).collect()
    }

    /// Where its log lies.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// The status with which it answers a question for readiness.
    pub async fn readiness(&self) -> Option<u16> {
        let request = CallRequest::get(self.readiness, "test", "/readyz");
        call(&request).await.ok().map(|answer| answer.status)
    }

    /// Waits until it says that it is ready.
    pub async fn wait_ready(&self) {
        eventually("the daemon is ready", async || self.readiness().await == Some(200)).await;
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("process ids are positive");
        kill_process(pid, signal).expect("the daemon can be signalled");
    }

    /// Begins a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Lets it read its settings again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended, and how.
    pub fn exit_status(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the daemon can be waited for")?;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for HostedDaemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A store, servers and one daemon.
pub struct HostedFleet {
    /// The store.
    pub platform: PlatformStandIn,
    /// The servers.
    pub servers: Vec<HostedServer>,
    /// The daemon.
    pub daemon: HostedDaemon,
    requests: AtomicU64,
}

impl HostedFleet {
    /// Starts a fleet with `count` servers of the service "orders", and routes "/read/"
    /// (idempotent) and "/order/" (once) to it.
    pub async fn start(program: &Path, count: usize, behaviour: HostedBehaviour) -> Self {
        let mut servers = Vec::new();
        for number in 0..count {
            servers.push(HostedServer::start(&format!("s-{number}"), "orders", behaviour).await);
        }
        let platform = PlatformStandIn::start().await;
        platform.put_config(&hosted_config(1, standard_routes()));
        for server in &servers {
            platform.put_server(&server.record);
        }
        let daemon = HostedDaemon::start(program, platform.address());
        daemon.wait_ready().await;
        Self { platform, servers, daemon, requests: AtomicU64::new(0) }
    }

    /// A request with an identity of its own.
    pub fn request(&self, method: hyper::Method, path: &str) -> CallRequest {
        let number = self.requests.fetch_add(1, Ordering::SeqCst);
        let names = wire_interface().headers;
        let mut request = CallRequest::get(self.daemon.callers, HOSTED_HOST, path)
            .with(names.request_id.as_str(), &format!("request-{number}"))
            .with(names.deadline_ms.as_str(), "20000");
        request.method = method;
        request
    }

    /// An idempotent request.
    pub fn lookup(&self) -> CallRequest {
        self.request(hyper::Method::GET, "/read/1")
    }

    /// A request that may run once.
    pub fn order(&self, body: &str) -> CallRequest {
        let mut request = self.request(hyper::Method::POST, "/order/1?kind=stone");
        request.body = Bytes::copy_from_slice(body.as_bytes());
        request
    }

    /// All runs at all servers.
    pub fn runs(&self) -> Vec<HostedRun> {
        self.servers.iter().flat_map(HostedServer::runs).collect()
    }

    /// How often a request ran.
    pub fn runs_of(&self, request: &CallRequest) -> usize {
        let id = request_id(request);
        self.runs().iter().filter(|run| *run.id == *id).count()
    }

    /// Changes how all servers treat requests.
    pub fn set_behaviour(&self, behaviour: HostedBehaviour) {
        for server in &self.servers {
            server.set_behaviour(behaviour);
        }
    }
}

/// The routes of a standard fleet.
pub fn standard_routes() -> Vec<HostedRoute> {
    vec![
        hosted_route("/read/", RepeatRule::Idempotent, &[("orders", 1)]),
        hosted_route("/order/", RepeatRule::Once, &[("orders", 1)]),
    ]
}

/// The identity of a request.
pub fn request_id(request: &CallRequest) -> Box<str> {
    let name = wire_interface().headers.request_id;
    let field = request.headers.iter().find(|(known, _)| **known == *name.as_str());
    field.map(|(_, value)| value.clone()).expect("the request has an identity")
}

/// Waits until something is true; fails with `what` when it takes too long.
pub async fn eventually(what: &str, mut is_true: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is_true().await {
        assert!(Instant::now() < until, "it never came that {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
