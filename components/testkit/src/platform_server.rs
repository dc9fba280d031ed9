//! A fake hosting platform on a loopback port: its store with rows, row changes, transactions and
//! objects.

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

use model::{ServerId, StoreVersion, ZoneName};
use platform::{
    RowRange, StoreRequest, TableName, TableRow, VersionedRows, encode_config_row,
    encode_evacuation_row, encode_names, encode_rows, encode_server_row, group_service_name,
    parse_store_request, write_era_header,
};
use routes::{AccountEntry, RouteTable, ServerRecord};
use store::{CommitOutcome, CommitRequest, MemoryTable, ScanRequest, ServerEntry, ServerState};

use crate::web::{WebBody, WebServer, never};

/// How the fake store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreBehaviour {
    /// Responds normally.
    #[default]
    Serve,
    /// Closes connections without a response.
    Disconnect,
    /// Responds with this status.
    Refuse(u16),
    /// Never responds to calls that arrive or are pending while this is set.
    Hang,
}

/// A fake platform that can be slow or down, and can lose the responses to applied commits.
pub struct FakePlatform {
    server: WebServer,
    state: Arc<PlatformState>,
}

#[derive(Default)]
struct PlatformState {
    table: MemoryTable,
    objects: Mutex<BTreeMap<Box<str>, Bytes>>,
    rows: Mutex<RowLog>,
    change_notify: Notify,
    behaviour: Mutex<StoreBehaviour>,
    is_down: AtomicBool,
    delay_ms: AtomicU64,
    /// Number of further commits that are applied without a response.
    commit_responses_to_lose: AtomicU64,
    /// Rows for the next listing, instead of the current ones.
    stale_listing: Mutex<Option<VersionedRows>>,
    read_count: AtomicU64,
    commit_count: AtomicU64,
}

/// Writes entries of a fake platform's server list.
#[derive(Clone)]
pub struct ServerList(Arc<PlatformState>);

impl ServerList {
    /// Writes an entry.
    pub fn put_server(&self, record: &ServerRecord) {
        self.0.put_row(TableName::Servers, encode_server_row(record));
    }

    /// Writes the entry of a server like the platform does: it changes only if more than its sequence
    /// number does.
    pub fn renew_server(&self, record: &ServerRecord) {
        let row = self.0.find_row(TableName::Servers, record.id.as_str());
        let held = row.and_then(|row| platform::parse_server_row(&row).ok());
        let is_unchanged = matches!(held, Some(routes::ServerChange::Present(held))
            if ServerRecord { sequence: record.sequence, ..held.clone() } == *record
                && held.sequence <= record.sequence);
        if !is_unchanged {
            self.put_server(record);
        }
    }
}

/// A copy of the operator and server tables.
pub struct TableCopy(RowLog);

/// Rows of the operator and server tables.
#[derive(Clone, Default)]
struct RowLog {
    /// Number of times that the store returned from a copy; no response names it while it is 0.
    era: u64,
    version: u64,
    /// Changes up to this version are no longer available.
    compacted_version: u64,
    /// Deleted rows stay and are marked as deleted.
    rows: BTreeMap<(Box<str>, Box<str>), TableRow>,
}

impl FakePlatform {
    /// Starts an empty platform.
    pub async fn start() -> Self {
        let state = Arc::new(PlatformState::default());
        let handler_state = Arc::clone(&state);
        let server = WebServer::start(move |request| {
            let state = Arc::clone(&handler_state);
            async move { state.handle(request).await }
        })
        .await;
        Self { server, state }
    }

    /// The address at which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The table in which daemons store records, members and claims.
    pub fn table(&self) -> &MemoryTable {
        &self.state.table
    }

    /// Makes the daemons' table and the object store unavailable or available again. The operator
    /// and server tables stay available.
    pub fn set_down(&self, is_down: bool) {
        self.state.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Delays every response.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Applies the next `count` commits, but closes their connections without a response.
    pub fn lose_commit_responses(&self, count: u64) {
        self.state.commit_responses_to_lose.store(count, Ordering::SeqCst);
    }

    /// Changes how calls are handled, including those that wait for changes.
    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        *self.state.behaviour.lock().expect("behaviour lock is never poisoned") = behaviour;
        self.state.change_notify.notify_waiters();
    }

    /// Replaces the server list with entries in the format of the crate `store`.
    pub fn set_servers(&self, servers: Vec<ServerEntry>) {
        let records: Vec<ServerRecord> = servers.iter().map(server_record).collect();
        self.set_server_records(&records);
    }

    /// Changes the state of one backend server in the server list.
    pub fn set_server_state(&self, id: &str, state: ServerState) {
        let id: ServerId = id.parse().expect("the name is valid");
        let row = self.state.find_row(TableName::Servers, id.as_str());
        let Ok(routes::ServerChange::Present(record)) =
            platform::parse_server_row(&row.expect("the server is listed"))
        else {
            panic!("invalid server entry for {id}");
        };
        let is_leaving = state == ServerState::Leaving;
        self.put_server(&ServerRecord { is_leaving, sequence: record.sequence + 1, ..record });
    }

    /// Replaces the server list.
    pub fn set_server_records(&self, records: &[ServerRecord]) {
        let listed = self.state.row_log().keys(TableName::Servers);
        for key in listed {
            if !records.iter().any(|record| record.id.as_str() == &*key) {
                self.remove_server(&key);
            }
        }
        for record in records {
            self.put_server(record);
        }
    }

    /// Writes an entry of the server list.
    pub fn put_server(&self, record: &ServerRecord) {
        self.server_list().put_server(record);
    }

    /// Returns the server list, for tasks that write to it.
    pub fn server_list(&self) -> ServerList {
        ServerList(Arc::clone(&self.state))
    }

    /// Writes a row with an unchecked value.
    pub fn put_raw_row(&self, table: TableName, key: &str, value: &str) {
        let value = Bytes::copy_from_slice(value.as_bytes());
        let row = TableRow {
            partition: "".into(),
            key: key.into(),
            value,
            version: 0,
            is_deleted: false,
        };
        self.state.put_row(table, row);
    }

    /// Removes an entry from the server list.
    pub fn remove_server(&self, id: &str) {
        let row = TableRow {
            partition: "".into(),
            key: id.into(),
            value: Bytes::new(),
            version: 0,
            is_deleted: true,
        };
        self.state.put_row(TableName::Servers, row);
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, table: &RouteTable) {
        self.state.put_row(TableName::Operator, encode_config_row(table, None));
    }

    /// Writes the operator's configuration with client accounts.
    pub fn put_config_with_accounts(&self, table: &RouteTable, accounts: &[AccountEntry]) {
        self.state.put_row(TableName::Operator, encode_config_row(table, Some(accounts)));
    }

    /// Evacuates a zone, or takes it back.
    pub fn set_evacuated(&self, zone: &str, is_evacuated: bool) {
        let zone: ZoneName = zone.parse().expect("the name is valid");
        self.state.put_row(TableName::Operator, encode_evacuation_row(&zone, is_evacuated));
    }

    /// Returns a copy of the operator and server tables.
    pub fn copy_tables(&self) -> TableCopy {
        TableCopy(self.state.row_log().clone())
    }

    /// Replaces the operator and server tables by a copy. Changes since then are gone, and their
    /// versions are given out again.
    pub fn return_from_copy(&self, copy: &TableCopy) {
        let mut log = self.state.row_log();
        *log = RowLog { era: log.era + 1, ..copy.0.clone() };
        drop(log);
        self.state.change_notify.notify_waiters();
    }

    /// Discards the change history, so that daemons with an older version must list all rows again.
    pub fn compact_history(&self) {
        let mut log = self.state.row_log();
        log.compacted_version = log.version;
        drop(log);
        self.state.change_notify.notify_waiters();
    }

    /// Serves the current server list at the next listing, regardless of changes until then.
    pub fn serve_stale_listing_once(&self) {
        let listed = self.state.row_log().changed_rows(TableName::Servers, 0, true);
        *self.state.stale_listing.lock().expect("listing lock is never poisoned") = Some(listed);
    }

    /// Number of reads of the daemons' table.
    pub fn read_count(&self) -> u64 {
        self.state.read_count.load(Ordering::SeqCst)
    }

    /// Number of commits received.
    pub fn commit_count(&self) -> u64 {
        self.state.commit_count.load(Ordering::SeqCst)
    }
}

impl RowLog {
    fn keys(&self, table: TableName) -> Vec<Box<str>> {
        self.changed_rows(table, 0, true).rows.into_iter().map(|row| row.key).collect()
    }

    /// Returns the rows changed after a version: all in the order of their changes, or only those
    /// that are not deleted, in the order of their keys.
    fn changed_rows(&self, table: TableName, after: u64, only_present: bool) -> VersionedRows {
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
        VersionedRows { rows, version: StoreVersion { era: self.era, number: self.version } }
    }
}

impl PlatformState {
    fn row_log(&self) -> MutexGuard<'_, RowLog> {
        self.rows.lock().expect("row lock is never poisoned")
    }

    fn find_row(&self, table: TableName, key: &str) -> Option<TableRow> {
        self.row_log().rows.get(&(table.to_string().into(), key.into())).cloned()
    }

    fn put_row(&self, table: TableName, mut row: TableRow) {
        let mut log = self.row_log();
        log.version += 1;
        row.version = log.version;
        log.rows.insert((table.to_string().into(), row.key.clone()), row);
        drop(log);
        self.change_notify.notify_waiters();
    }

    async fn handle(&self, request: Request<Incoming>) -> Option<Response<WebBody>> {
        let method = request.method().clone();
        let uri = request.uri().clone();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let delay = self.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        let call = match parse_store_request(&method, &uri, body) {
            Ok(call) => call,
            Err(reason) => return Some(status_response(StatusCode::BAD_REQUEST, reason)),
        };
        if let Some(result) = self.fault_result().await {
            return result;
        }
        let mut response = self.serve_call(call).await?;
        let era = self.row_log().era;
        if era > 0 {
            write_era_header(response.headers_mut(), era);
        }
        Some(response)
    }

    /// Returns the result of a call under a fault: a response, or an inner `None` to close the
    /// connection. Returns `None` without a fault, and never returns for `Hang`.
    async fn fault_result(&self) -> Option<Option<Response<WebBody>>> {
        let behaviour = *self.behaviour.lock().expect("behaviour lock is never poisoned");
        match behaviour {
            StoreBehaviour::Serve => None,
            StoreBehaviour::Disconnect => Some(None),
            StoreBehaviour::Refuse(code) => {
                let code = StatusCode::from_u16(code).expect("tests use valid statuses");
                Some(Some(status_response(code, String::new())))
            }
            StoreBehaviour::Hang => std::future::pending().await,
        }
    }

    async fn serve_call(&self, call: StoreRequest) -> Option<Response<WebBody>> {
        let can_be_down = !matches!(
            call,
            StoreRequest::Rows(TableName::Operator | TableName::Servers, _)
                | StoreRequest::Feed(..)
        );
        if can_be_down && self.is_down.load(Ordering::SeqCst) {
            return None;
        }
        match call {
            StoreRequest::Rows(TableName::Mustardrail, range) => {
                self.read_count.fetch_add(1, Ordering::SeqCst);
                Some(ok_response(self.mustardrail_rows(&range)))
            }
            StoreRequest::Rows(table, _) => Some(ok_response(self.listing(table))),
            StoreRequest::Feed(table, after, wait) => {
                self.wait_for_changes(table, after, wait).await
            }
            StoreRequest::Commit(request) => self.commit(&request),
            StoreRequest::WriteRows(table, rows) => {
                for row in rows {
                    self.put_row(table, row);
                }
                Some(ok_response(encode_rows(&VersionedRows::default(), false)))
            }
            StoreRequest::PutObject(name, content) => {
                self.objects().insert(name, content);
                Some(ok_response(Bytes::new()))
            }
            StoreRequest::GetObject(name) => Some(match self.objects().get(&name) {
                Some(content) => ok_response(content.clone()),
                None => status_response(StatusCode::NOT_FOUND, String::new()),
            }),
            StoreRequest::DeleteObject(name) => {
                self.objects().remove(&name);
                Some(ok_response(Bytes::new()))
            }
            StoreRequest::ListObjects(prefix, after) => {
                let mut names: Vec<Box<str>> = self.objects().keys().cloned().collect();
                names.retain(|name| name.starts_with(&*prefix) && *name > after);
                Some(ok_response(encode_names(names)))
            }
        }
    }

    fn objects(&self) -> MutexGuard<'_, BTreeMap<Box<str>, Bytes>> {
        self.objects.lock().expect("object lock is never poisoned")
    }

    fn listing(&self, table: TableName) -> Bytes {
        let stale = self.stale_listing.lock().expect("listing lock is never poisoned").take();
        let listed = stale.unwrap_or_else(|| self.row_log().changed_rows(table, 0, true));
        encode_rows(&listed, false)
    }

    fn mustardrail_rows(&self, range: &RowRange) -> Bytes {
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
        encode_rows(&VersionedRows { rows, version: StoreVersion::without_era(version) }, has_more)
    }

    async fn wait_for_changes(
        &self,
        table: TableName,
        after: u64,
        wait: Duration,
    ) -> Option<Response<WebBody>> {
        let deadline = Instant::now() + wait;
        loop {
            let notified = self.change_notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if let Some(result) = self.fault_result().await {
                return result;
            }
            let (changed, compacted_version) = {
                let log = self.row_log();
                (log.changed_rows(table, after, false), log.compacted_version)
            };
            if after < compacted_version || after > changed.version.number {
                return Some(status_response(StatusCode::GONE, String::new()));
            }
            if !changed.rows.is_empty() || Instant::now() >= deadline {
                return Some(ok_response(encode_rows(&changed, false)));
            }
            let _ = timeout_at(deadline, notified).await;
        }
    }

    fn commit(&self, request: &CommitRequest) -> Option<Response<WebBody>> {
        self.commit_count.fetch_add(1, Ordering::SeqCst);
        let outcome = self.table.commit(request);
        let is_response_lost = self
            .commit_responses_to_lose
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1))
            .is_ok();
        if is_response_lost {
            return None;
        }
        match outcome {
            CommitOutcome::Committed(version) => {
                let version = StoreVersion::without_era(version);
                Some(ok_response(encode_rows(&VersionedRows { rows: Vec::new(), version }, false)))
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
                let version = StoreVersion::default();
                let current = VersionedRows { rows: rows.collect(), version };
                let mut response = ok_response(encode_rows(&current, false));
                *response.status_mut() = StatusCode::PRECONDITION_FAILED;
                Some(response)
            }
            CommitOutcome::Unknown(_) => None,
        }
    }
}

fn server_record(entry: &ServerEntry) -> ServerRecord {
    ServerRecord {
        id: entry.id.clone(),
        started_at_ms: 0,
        sequence: 1,
        address: entry.address,
        service: group_service_name(entry.account.as_str(), entry.group.as_str()),
        zone: entry.zone.clone(),
        slots: 1,
        is_leaving: entry.state == ServerState::Leaving,
        slow_start_remaining: Duration::ZERO,
    }
}

fn ok_response(content: Bytes) -> Response<WebBody> {
    Response::new(Full::new(content).map_err(never).boxed_unsync())
}

fn status_response(code: StatusCode, text: String) -> Response<WebBody> {
    let mut response = ok_response(text.into());
    *response.status_mut() = code;
    response
}
