//! The platform's store on one loopback port: rows, changes of rows, transactions and objects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use model::ServerId;
use platform::{
    RowRange, StoreRequest, TableName, TableRow, VersionedRows, encode_config_row, encode_names,
    encode_rows, encode_server_row, group_service_name, parse_store_request,
};
use routes::{RouteTable, ServerRecord};
use store::{CommitOutcome, CommitRequest, MemoryTable, ScanRequest, ServerEntry, ServerState};

use crate::web::{WebBody, WebServer, never};

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreBehaviour {
    /// Answers.
    #[default]
    Serve,
    /// Closes connections without an answer.
    Reset,
    /// Answers with this status.
    Refuse(u16),
    /// Never answers calls that come or are pending meanwhile.
    Silent,
}

/// A platform that can be slow, down, or lose answers after they took effect.
pub struct PlatformStandIn {
    server: WebServer,
    state: Arc<PlatformState>,
}

#[derive(Default)]
struct PlatformState {
    table: MemoryTable,
    objects: Mutex<BTreeMap<Box<str>, Bytes>>,
    rows: Mutex<RowLog>,
    changed: Notify,
    behaviour: Mutex<StoreBehaviour>,
    is_down: AtomicBool,
    delay_ms: AtomicU64,
    /// Commits whose answers are still to be lost after they took effect.
    lost_answers: AtomicU64,
    /// Listings that are still to be answered with the rows of this version.
    stale: Mutex<Option<VersionedRows>>,
    reads: AtomicU64,
    commits: AtomicU64,
}

/// Rows that operators and servers wrote.
#[derive(Default)]
struct RowLog {
    version: u64,
    /// Changes up to here are forgotten.
    forgotten: u64,
    /// Deleted rows stay, marked.
    rows: BTreeMap<(Box<str>, Box<str>), TableRow>,
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

    /// Changes how calls are treated from now on, those that are pending too.
    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        *self.state.behaviour.lock().expect("behaviour lock is never poisoned") = behaviour;
        self.state.changed.notify_waiters();
    }

    /// Replaces the list of backend servers of the product's own interface.
    pub fn set_servers(&self, servers: Vec<ServerEntry>) {
        let records: Vec<ServerRecord> = servers.iter().map(record_of).collect();
        self.set_records(&records);
    }

    /// Changes what the list says of one backend server.
    pub fn set_server_state(&self, id: &str, state: ServerState) {
        let id: ServerId = id.parse().expect("the name is valid");
        let known = self.state.row(TableName::Servers, id.as_str());
        let Ok(routes::ServerChange::Present(record)) =
            platform::parse_server_row(&known.expect("the server is listed"))
        else {
            panic!("the entry of {id} can't be read");
        };
        let is_leaving = state == ServerState::Leaving;
        self.put_server(&ServerRecord { is_leaving, sequence: record.sequence + 1, ..record });
    }

    /// Replaces the whole list of servers.
    pub fn set_records(&self, records: &[ServerRecord]) {
        let listed = self.state.log().keys(TableName::Servers);
        for key in listed {
            if !records.iter().any(|record| record.id.as_str() == &*key) {
                self.remove_server(&key);
            }
        }
        for record in records {
            self.put_server(record);
        }
    }

    /// Writes a server's entry.
    pub fn put_server(&self, record: &ServerRecord) {
        self.state.put(TableName::Servers, encode_server_row(record));
    }

    /// Writes an entry with any content.
    pub fn put_raw(&self, table: TableName, key: &str, value: &str) {
        let value = Bytes::copy_from_slice(value.as_bytes());
        let row = TableRow {
            partition: "".into(),
            key: key.into(),
            value,
            version: 0,
            is_deleted: false,
        };
        self.state.put(table, row);
    }

    /// Removes a server's entry.
    pub fn remove_server(&self, id: &str) {
        let row = TableRow {
            partition: "".into(),
            key: id.into(),
            value: Bytes::new(),
            version: 0,
            is_deleted: true,
        };
        self.state.put(TableName::Servers, row);
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, table: &RouteTable) {
        self.state.put(TableName::Operator, encode_config_row(table));
    }

    /// Forgets the history of changes.
    pub fn forget_history(&self) {
        let mut log = self.state.log();
        log.forgotten = log.version;
        drop(log);
        self.state.changed.notify_waiters();
    }

    /// Answers the next listing with the servers as they are now, whatever changes until then.
    pub fn keep_stale_listing(&self) {
        let listed = self.state.log().changed(TableName::Servers, 0, true);
        *self.state.stale.lock().expect("stale lock is never poisoned") = Some(listed);
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

impl RowLog {
    fn keys(&self, table: TableName) -> Vec<Box<str>> {
        self.changed(table, 0, true).rows.into_iter().map(|row| row.key).collect()
    }

    /// Rows changed after a version, in the order of their changes or keys.
    fn changed(&self, table: TableName, after: u64, only_present: bool) -> VersionedRows {
        let name = table.to_string();
        let mut rows: Vec<TableRow> = self
            .rows
            .iter()
            .filter(|((table, _), row)| **table == *name && row.version > after)
            .filter(|(_, row)| !(only_present && row.is_deleted))
            .map(|(_, row)| row.clone())
            .collect();
        if !only_present {
            rows.sort_by_key(|row| row.version);
        }
        VersionedRows { rows, version: self.version }
    }
}

impl PlatformState {
    fn log(&self) -> MutexGuard<'_, RowLog> {
        self.rows.lock().expect("row lock is never poisoned")
    }

    fn row(&self, table: TableName, key: &str) -> Option<TableRow> {
        self.log().rows.get(&(table.to_string().into(), key.into())).cloned()
    }

    fn put(&self, table: TableName, mut row: TableRow) {
        let mut log = self.log();
        log.version += 1;
        row.version = log.version;
        log.rows.insert((table.to_string().into(), row.key.clone()), row);
        drop(log);
        self.changed.notify_waiters();
    }

    async fn answer(&self, request: Request<Incoming>) -> Option<Response<WebBody>> {
        let method = request.method().clone();
        let uri = request.uri().clone();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let delay = self.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        let call = match parse_store_request(&method, &uri, body) {
            Ok(call) => call,
            Err(reason) => return Some(status(StatusCode::BAD_REQUEST, reason)),
        };
        if let Some(end) = self.refuse().await {
            return end;
        }
        self.serve(call).await
    }

    /// How a call ends that is not served.
    async fn refuse(&self) -> Option<Option<Response<WebBody>>> {
        let behaviour = *self.behaviour.lock().expect("behaviour lock is never poisoned");
        match behaviour {
            StoreBehaviour::Serve => None,
            StoreBehaviour::Reset => Some(None),
            StoreBehaviour::Refuse(code) => {
                let code = StatusCode::from_u16(code).expect("a status");
                Some(Some(status(code, String::new())))
            }
            StoreBehaviour::Silent => std::future::pending().await,
        }
    }

    async fn serve(&self, call: StoreRequest) -> Option<Response<WebBody>> {
        let is_of_product = !matches!(
            call,
            StoreRequest::Rows(TableName::Operator | TableName::Servers, _)
                | StoreRequest::Feed(..)
        );
        if is_of_product && self.is_down.load(Ordering::SeqCst) {
            return None;
        }
        match call {
            StoreRequest::Rows(TableName::Mustardrail, range) => {
                self.reads.fetch_add(1, Ordering::SeqCst);
                Some(whole(self.product_rows(&range)))
            }
            StoreRequest::Rows(table, _) => Some(whole(self.listing(table))),
            StoreRequest::Feed(table, after, wait) => self.feed(table, after, wait).await,
            StoreRequest::Commit(request) => self.commit(&request),
            StoreRequest::PutObject(name, content) => {
                self.objects().insert(name, content);
                Some(whole(Bytes::new()))
            }
            StoreRequest::GetObject(name) => Some(match self.objects().get(&name) {
                Some(content) => whole(content.clone()),
                None => status(StatusCode::NOT_FOUND, String::new()),
            }),
            StoreRequest::DeleteObject(name) => {
                self.objects().remove(&name);
                Some(whole(Bytes::new()))
            }
            StoreRequest::ListObjects(prefix, after) => {
                let mut names: Vec<Box<str>> = self.objects().keys().cloned().collect();
                names.retain(|name| name.starts_with(&*prefix) && *name > after);
                Some(whole(encode_names(names)))
            }
        }
    }

    fn objects(&self) -> MutexGuard<'_, BTreeMap<Box<str>, Bytes>> {
        self.objects.lock().expect("object lock is never poisoned")
    }

    fn listing(&self, table: TableName) -> Bytes {
        let stale = self.stale.lock().expect("stale lock is never poisoned").take();
        let listed = stale.unwrap_or_else(|| self.log().changed(table, 0, true));
        encode_rows(&listed, false)
    }

    fn product_rows(&self, range: &RowRange) -> Bytes {
        let limit = range.limit.unwrap_or(usize::MAX);
        let request = ScanRequest { prefix: "".into(), after: "".into(), limit: usize::MAX };
        let mut rows: Vec<TableRow> = self
            .table
            .scan(&request)
            .into_iter()
            .filter(|row| row.key >= range.from)
            .filter(|row| range.to.as_ref().is_none_or(|to| row.key < *to))
            .take(limit.saturating_add(1))
            .map(|row| TableRow {
                partition: "".into(),
                key: row.key,
                value: row.value.to_string().into(),
                version: row.version,
                is_deleted: false,
            })
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let version = rows.iter().map(|row| row.version).max().unwrap_or(0);
        encode_rows(&VersionedRows { rows, version }, has_more)
    }

    async fn feed(
        &self,
        table: TableName,
        after: u64,
        wait: Duration,
    ) -> Option<Response<WebBody>> {
        let until = Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if let Some(end) = self.refuse().await {
                return end;
            }
            let (changed, forgotten) = {
                let log = self.log();
                (log.changed(table, after, false), log.forgotten)
            };
            if after < forgotten {
                return Some(status(StatusCode::GONE, String::new()));
            }
            if !changed.rows.is_empty() || Instant::now() >= until {
                return Some(whole(encode_rows(&changed, false)));
            }
            let _ = timeout_at(until, notified).await;
        }
    }

    fn commit(&self, request: &CommitRequest) -> Option<Response<WebBody>> {
        self.commits.fetch_add(1, Ordering::SeqCst);
        let outcome = self.table.commit(request);
        let is_lost = self
            .lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1))
            .is_ok();
        if is_lost {
            return None;
        }
        match outcome {
            CommitOutcome::Committed(version) => {
                Some(whole(encode_rows(&VersionedRows { rows: Vec::new(), version }, false)))
            }
            CommitOutcome::Conflict(_) => {
                let rows = request.conditions.iter().filter_map(|condition| {
                    let row = self.table.read(&condition.key)?;
                    Some(TableRow {
                        partition: "".into(),
                        key: row.key,
                        value: row.value.to_string().into(),
                        version: row.version,
                        is_deleted: false,
                    })
                });
                let current = VersionedRows { rows: rows.collect(), version: 0 };
                let mut answer = whole(encode_rows(&current, false));
                *answer.status_mut() = StatusCode::PRECONDITION_FAILED;
                Some(answer)
            }
            CommitOutcome::Unknown(_) => None,
        }
    }
}

fn record_of(entry: &ServerEntry) -> ServerRecord {
    ServerRecord {
        id: entry.id.clone(),
        started_ms: 0,
        sequence: 1,
        address: entry.address,
        service: group_service_name(entry.account.as_str(), entry.group.as_str()),
        zone: entry.zone.clone(),
        slots: 1,
        is_leaving: entry.state == ServerState::Leaving,
        slow_start_left: Duration::ZERO,
    }
}

fn whole(content: Bytes) -> Response<WebBody> {
    Response::new(Full::new(content).map_err(never).boxed_unsync())
}

fn status(code: StatusCode, text: String) -> Response<WebBody> {
    let mut response = whole(text.into());
    *response.status_mut() = code;
    response
}
