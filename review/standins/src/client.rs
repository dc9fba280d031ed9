//! Stand-in for a client: one attempt on a new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::fleet::HOST;
use crate::http::{Connection, Message};
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a request id that was not used before.
pub fn next_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

pub struct Attempt<'a> {
    pub vm: SocketAddr,
    pub vm_name: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub deadline: Duration,
}

/// Sends a request on a new connection and returns its id and the answer; `None` if the connection
/// ended without one, or could not be opened. Only a request that was sent is recorded.
pub fn send(record: &Record, attempt: &Attempt<'_>) -> (String, Option<Message>) {
    let id = next_id();
    let Ok(mut connection) = Connection::open(attempt.vm, Duration::from_secs(1)) else {
        return (id, None);
    };
    let answer = send_on(record, attempt, &id, &mut connection);
    (id, answer)
}

/// Sends a request on an open connection.
pub fn send_on(
    record: &Record,
    attempt: &Attempt<'_>,
    id: &str,
    connection: &mut Connection,
) -> Option<Message> {
    let Attempt { method, path, deadline, .. } = attempt;
    let request = request_bytes(method, path, id, *deadline);
    let _ = connection.stream.set_read_timeout(Some(*deadline + Duration::from_millis(200)));
    record.sent(id, attempt.vm_name);
    let answer = match connection.write(&request) {
        Ok(()) => connection.read().ok(),
        Err(_) => None,
    };
    record.answered(id, answer.as_ref().map_or(0, Message::status));
    answer
}

/// Encodes a request.
pub fn request_bytes(method: &str, path: &str, id: &str, deadline: Duration) -> Vec<u8> {
    let body = if method == "GET" { String::new() } else { format!("order {id}") };
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Mustardrail-Request-Id: {id}\r\n\
         X-Mustardrail-Deadline-Ms: {}\r\n{length}\r\n{body}",
        deadline.as_millis()
    );
    request.into_bytes()
}
