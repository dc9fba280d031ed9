//! The platform's store: rows, pages of rows, and the feed of changes. It answers within
//! milliseconds and loses nothing. Writes of the daemons (`POST /rows-tx`) get 503, "nothing was
//! done": in these cases the daemons have nothing that must be kept.

use std::collections::BTreeMap;
use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};
use crate::json::{base64, quote};

const MAX_PAGE_ROWS: usize = 500;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    version: u64,
    /// By table and key. A row without a value was deleted.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

impl Store {
    pub fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                // An error ends the connection.
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a row; the store's answer is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let row = (state.version, Some(base64(value.as_bytes())));
        state.rows.insert((table.into(), key.into()), row);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        loop {
            let head = reader.head()?;
            reader.body(&head)?;
            let (status, body) = self.answer(&head);
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            );
            stream.write_all(text.as_bytes())?;
        }
    }

    fn answer(&self, head: &Head) -> (u16, String) {
        let target = head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        match path {
            "/rows-get" => (200, self.page(query)),
            "/rows-feed" => (200, self.feed(query)),
            "/rows-tx" => (503, "{}".into()),
            _ => (404, "{}".into()),
        }
    }

    fn page(&self, query: &str) -> String {
        let (table, from) = (parameter(query, "table"), parameter(query, "from"));
        let state = self.state.0.lock().unwrap();
        let rows = state
            .rows
            .iter()
            .filter(|((of, key), (_, value))| *of == table && *key >= from && value.is_some());
        let rows: Vec<String> = rows.map(|(name, row)| encode_row(name, row)).collect();
        let has_more = rows.len() > MAX_PAGE_ROWS;
        let shown = &rows[..rows.len().min(MAX_PAGE_ROWS)];
        let version = state.version;
        format!("{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{version}}}", shown.join(","))
    }

    /// Waits until a row of the table has changed, or for as long as the caller wants.
    fn feed(&self, query: &str) -> String {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changed = state.rows.iter();
            let changed =
                changed.filter(|((of, _), (version, _))| *of == table && *version > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (version, _))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<String> =
                    changed.into_iter().map(|(name, row)| encode_row(name, row)).collect();
                return format!("{{\"rows\":[{}],\"ver\":{}}}", rows.join(","), state.version);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn encode_row((table, key): &(String, String), (version, value): &(u64, Option<String>)) -> String {
    let content = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".into(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"ver\":{version},{content}}}",
        quote(table),
        quote(key)
    )
}

/// Returns a parameter of a query. The names and keys of these cases need no escapes but `%2F` and
/// the `%00` with which a page continues.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("");
    value.replace("%2F", "/").replace("%00", "\0")
}
