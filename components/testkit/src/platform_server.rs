//! The platform's table, object store and VM list on one loopback port.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::sleep;

use store::{CommitAnswer, CommitOutcome, MemoryTable, ServerEntry, ServerList, ServerState};

use crate::web::{WebBody, WebServer, never};

/// A platform that can be slow, down, or lose answers after they took effect.
pub struct PlatformStandIn {
    server: WebServer,
    state: Arc<PlatformState>,
}

#[derive(Default)]
struct PlatformState {
    table: MemoryTable,
    objects: Mutex<BTreeMap<Box<str>, Bytes>>,
    servers: Mutex<(u64, Vec<ServerEntry>)>,
    is_down: AtomicBool,
    delay_ms: AtomicU64,
    /// Commits whose answers are still to be lost after they took effect.
    lost_answers: AtomicU64,
    reads: AtomicU64,
    commits: AtomicU64,
}

impl PlatformStandIn {
    /// Starts an empty platform.
    pub async fn start() -> Self {
        let state = Arc::new(PlatformState::default());
        let served = Arc::clone(&state);
        let server = WebServer::start(move |request| {
            let state = Arc::clone(&served);
            async move { state.answer(request).await }
        })
        .await;
        Self { server, state }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The table's content.
    pub fn table(&self) -> &MemoryTable {
        &self.state.table
    }

    /// Takes table and object store down or up again. The VM list stays.
    pub fn set_down(&self, is_down: bool) {
        self.state.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Loses the answers of the next commits, after they took effect.
    pub fn lose_answers(&self, count: u64) {
        self.state.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Replaces the list of backend servers.
    pub fn set_servers(&self, servers: Vec<ServerEntry>) {
        let mut list = self.state.servers.lock().expect("list lock is never poisoned");
        *list = (list.0 + 1, servers);
    }

    /// Changes what the list says of one backend server.
    pub fn set_server_state(&self, id: &str, state: ServerState) {
        let mut list = self.state.servers.lock().expect("list lock is never poisoned");
        list.0 += 1;
        for entry in list.1.iter_mut().filter(|entry| entry.id.as_str() == id) {
            entry.state = state;
        }
    }

    /// Reads and scans so far.
    pub fn reads(&self) -> u64 {
        self.state.reads.load(Ordering::SeqCst)
    }

    /// Commits so far.
    pub fn commits(&self) -> u64 {
        self.state.commits.load(Ordering::SeqCst)
    }
}

impl PlatformState {
    async fn answer(&self, request: Request<Incoming>) -> Option<Response<WebBody>> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let delay = self.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        if path == "/vms/list" {
            return Some(self.list(&serde_json::from_slice(&body).ok()?));
        }
        if self.is_down.load(Ordering::SeqCst) {
            return None;
        }
        if let Some(name) = path.strip_prefix("/objects/").filter(|_| method != Method::POST) {
            return Some(self.object(&method, name, body));
        }
        let message: Value = serde_json::from_slice(&body).ok()?;
        match path.as_str() {
            "/table/read" => {
                self.reads.fetch_add(1, Ordering::SeqCst);
                Some(answer(&self.table.read(message["key"].as_str()?)))
            }
            "/table/scan" => {
                self.reads.fetch_add(1, Ordering::SeqCst);
                Some(answer(&self.table.scan(&serde_json::from_value(message).ok()?)))
            }
            "/table/commit" => self.commit(message),
            "/objects/list" => Some(self.object_names(message["prefix"].as_str()?)),
            _ => Some(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn commit(&self, message: Value) -> Option<Response<WebBody>> {
        self.commits.fetch_add(1, Ordering::SeqCst);
        let outcome = self.table.commit(&serde_json::from_value(message).ok()?);
        let is_lost = self
            .lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1))
            .is_ok();
        if is_lost {
            return None;
        }
        match outcome {
            CommitOutcome::Done(version) => Some(answer(&CommitAnswer::Done(version))),
            CommitOutcome::Conflict(keys) => Some(answer(&CommitAnswer::Conflict(keys))),
            CommitOutcome::Unknown(_) => None,
        }
    }

    fn list(&self, message: &Value) -> Response<WebBody> {
        let list = self.servers.lock().expect("list lock is never poisoned");
        let is_known = message["known_version"].as_u64() == Some(list.0);
        let entries = (!is_known).then(|| list.1.clone());
        answer(&ServerList { version: list.0, entries })
    }

    fn object(&self, method: &Method, name: &str, body: Bytes) -> Response<WebBody> {
        let mut objects = self.objects.lock().expect("object lock is never poisoned");
        match *method {
            Method::PUT => {
                objects.insert(name.into(), body);
                answer(&json!({}))
            }
            Method::GET => match objects.get(name) {
                Some(content) => whole(content.clone()),
                None => empty(StatusCode::NOT_FOUND),
            },
            _ => {
                objects.remove(name);
                answer(&json!({}))
            }
        }
    }

    fn object_names(&self, prefix: &str) -> Response<WebBody> {
        let objects = self.objects.lock().expect("object lock is never poisoned");
        answer(&objects.keys().filter(|name| name.starts_with(prefix)).collect::<Vec<_>>())
    }
}

fn answer<T: Serialize>(value: &T) -> Response<WebBody> {
    whole(serde_json::to_vec(value).expect("stand-in answers are JSON").into())
}

fn whole(content: Bytes) -> Response<WebBody> {
    Response::new(Full::new(content).map_err(never).boxed_unsync())
}

fn empty(status: StatusCode) -> Response<WebBody> {
    let mut response = whole(Bytes::new());
    *response.status_mut() = status;
    response
}
