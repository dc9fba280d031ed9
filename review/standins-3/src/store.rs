//! A stand-in for the platform's store: rows with versions, transactions, feeds and objects.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_message};
use crate::json::{Json, base64};

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value in base64, version, and whether the row exists.
    rows: BTreeMap<RowKey, (String, u64, bool)>,
    version: u64,
    objects: BTreeMap<String, Vec<u8>>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("it is bound"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(row_key, (base64(value.as_bytes()), version, true));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let first = format!("HTTP/1.1 {status} Status");
            let headers = [("Content-Type", "application/json".to_owned())];
            if write_message(&mut writer, &first, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
        };
        let name_after = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
        match (request.method(), path) {
            ("GET", "/rows-get") => (200, self.get_rows(&field)),
            ("GET", "/rows-feed") => (200, self.feed(&field)),
            ("GET", "/rows-parts") => (200, br#"{"parts":[""]}"#.to_vec()),
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/blob-list") => (200, br#"{"names":[],"has_more":false}"#.to_vec()),
            _ => {
                let mut rows = self.rows.lock().unwrap();
                if let Some(name) = name_after("/blob-put/") {
                    rows.objects.insert(name, request.body.clone());
                    return (200, b"{}".to_vec());
                }
                let name = name_after("/blob-get/").unwrap_or_default();
                match rows.objects.get(&name) {
                    Some(object) => (200, object.clone()),
                    None => (404, b"{}".to_vec()),
                }
            }
        }
    }

    fn get_rows(&self, field: &dyn Fn(&str) -> Option<String>) -> Vec<u8> {
        let (table, part) = (field("table").unwrap_or_default(), field("part").unwrap_or_default());
        let (from, to) = (field("from").unwrap_or_default(), field("to"));
        let rows = self.rows.lock().unwrap();
        let listed = rows.rows.iter().filter(|((row_table, row_part, key), (_, _, exists))| {
            *exists
                && *row_table == table
                && *row_part == part
                && *key >= from
                && to.as_ref().is_none_or(|to| key < to)
        });
        let listed: Vec<String> = listed.map(|(key, row)| encode(key, row)).collect();
        self.rows_answer(&listed, rows.version)
    }

    fn feed(&self, field: &dyn Fn(&str) -> Option<String>) -> Vec<u8> {
        let table = field("table").unwrap_or_default();
        let after: u64 = field("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = field("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changed: Vec<_> = rows
                .rows
                .iter()
                .filter(|((row_table, _, _), (_, version, _))| {
                    *row_table == table && *version > after
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, (_, version, _))| *version);
                let changed: Vec<String> =
                    changed.iter().map(|(key, row)| encode(key, row)).collect();
                return self.rows_answer(&changed, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn rows_answer(&self, rows: &[String], version: u64) -> Vec<u8> {
        let now = self.started_at.elapsed().as_secs_f64();
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"has_more":false,"ver":{version},"now_s":{now:.3}}}"#).into()
    }

    fn transact(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, b"{}".to_vec());
        };
        let key = |row: &Json| {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let writes = call.get("upserts").list().iter().chain(call.get("deletes").list());
        if writes.clone().any(|row| matches!(row.get("table").text(), "op" | "servers")) {
            return (403, b"{}".to_vec());
        }
        let mut rows = self.rows.lock().unwrap();
        let held = |rows: &Rows, key: &RowKey| match rows.rows.get(key) {
            Some((_, version, true)) => *version,
            _ => 0,
        };
        let expected = call.get("expected_rev").list();
        if expected.iter().any(|row| held(&rows, &key(row)) != row.get("ver").number() as u64) {
            let current = expected.iter().filter_map(|row| rows.rows.get_key_value(&key(row)));
            let current: Vec<String> =
                current.filter(|(_, row)| row.2).map(|(key, row)| encode(key, row)).collect();
            return (412, self.rows_answer(&current, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("upserts").list() {
            rows.rows.insert(key(row), (row.get("value").text().to_owned(), version, true));
        }
        for row in call.get("deletes").list() {
            rows.rows.insert(key(row), (String::new(), version, false));
        }
        self.changed.notify_all();
        (200, self.rows_answer(&[], version))
    }
}

fn encode((table, part, key): &RowKey, (value, version, exists): &(String, u64, bool)) -> String {
    let deleted = if *exists { "" } else { r#","deleted":true"# };
    format!(
        r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{value}","ver":{version}{deleted}}}"#
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8(digits).unwrap_or_default();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
