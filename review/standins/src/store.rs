//! Stand-in for the platform's store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{query, response, Connection, Message};
use crate::json::{parse, quote, Value};

/// Largest number of rows in one response.
const PAGE_ROWS: usize = 500;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Row {
    /// Value in base64; `None` if the row was deleted.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    /// Rows by table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
}

pub struct Store {
    pub address: SocketAddr,
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("the socket is bound"),
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let row = Row { value: Some(encode(value.as_bytes())), version: tables.version };
        tables.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            std::thread::sleep(ANSWER_TIME);
            let answer = self.answer(&request);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let path = request.target().split('?').next().unwrap_or("");
        let fields = query(request.target());
        let field = |name: &str| {
            let found = fields.iter().find(|(key, _)| key == name);
            found.map_or("", |(_, value)| value.as_str())
        };
        let json = [("Content-Type", "application/json")];
        match (request.method(), path) {
            ("GET", "/rows-get") => {
                let limit = field("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
                let page =
                    self.page(field("table"), field("part"), field("from"), field("to"), limit);
                response("200 OK", &json, page.as_bytes())
            }
            ("GET", "/rows-feed") => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                response("200 OK", &json, self.feed(field("table"), after, wait).as_bytes())
            }
            ("POST", "/rows-tx") => match parse(&request.body) {
                Some(transaction) => self.commit(&transaction),
                None => response("400 Bad Request", &json, b"{}"),
            },
            _ => response("404 Not Found", &json, b"{}"),
        }
    }

    fn page(&self, table: &str, part: &str, from: &str, to: &str, limit: usize) -> String {
        let tables = self.tables.lock().unwrap();
        let live = tables.rows.iter().filter(|((row_table, row_part, key), row)| {
            row_table == table
                && row_part == part
                && key.as_str() >= from
                && (to.is_empty() || key.as_str() < to)
                && row.value.is_some()
        });
        let rows: Vec<String> = live.map(|(key, row)| encode_row(key, row)).collect();
        let has_more = rows.len() > limit;
        let shown = &rows[..rows.len().min(limit)];
        self.rows_message(shown, has_more, tables.version)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut tables = self.tables.lock().unwrap();
        loop {
            let mut changed: Vec<_> = tables
                .rows
                .iter()
                .filter(|((row_table, _, _), row)| row_table == table && row.version > after)
                .collect();
            changed.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<String> =
                    changed.into_iter().map(|(key, row)| encode_row(key, row)).collect();
                return self.rows_message(&rows, false, tables.version);
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn commit(&self, transaction: &Value) -> Vec<u8> {
        let json = [("Content-Type", "application/json")];
        let key = |row: &Value| {
            let text = |name: &str| row.get(name).and_then(Value::text).unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let entries = |name: &str| transaction.get(name).map_or(&[][..], Value::list);
        let mut tables = self.tables.lock().unwrap();
        let is_met = entries("expected_rev").iter().all(|row| {
            let version = row.get("ver").and_then(Value::number).unwrap_or(0.0) as u64;
            let held = tables.rows.get(&key(row)).filter(|held| held.value.is_some());
            held.map_or(0, |held| held.version) == version
        });
        if !is_met {
            return response("412 Precondition Failed", &json, b"{\"rows\":[]}");
        }
        tables.version += 1;
        let version = tables.version;
        for row in entries("upserts") {
            let value = row.get("value").and_then(Value::text).unwrap_or("").to_owned();
            tables.rows.insert(key(row), Row { value: Some(value), version });
        }
        for row in entries("deletes") {
            tables.rows.insert(key(row), Row { value: None, version });
        }
        self.changed.notify_all();
        response("200 OK", &json, format!("{{\"ver\":{version}}}").as_bytes())
    }

    fn rows_message(&self, rows: &[String], has_more: bool, version: u64) -> String {
        let now = self.started.elapsed().as_secs_f64();
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{version},\"now_s\":{now:.3}}}"
        )
    }
}

fn encode_row((table, part, key): &(String, String, String), row: &Row) -> String {
    let content = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{content},\"ver\":{}}}",
        quote(table),
        quote(part),
        quote(key),
        row.version
    )
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(number >> (18 - 6 * digit) & 63) as usize]));
            }
        }
    }
    text
}
