//! Requests of clients, and the configuration for them.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "hulo84.example";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a new request id.
pub fn request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Opens a connection to an entry VM.
pub fn connect(front: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns the head of a request with a body of this length.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    keyed_request_head(method, path, id, deadline_ms, length, None)
}

/// Returns the head of a request with the key of a client account.
pub fn keyed_request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    length: usize,
    key: Option<&str>,
) -> String {
    let key_field = key.map_or(String::new(), |key| format!("Authorization: Token {key}\r\n"));
    let body_field = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Mustardrail-Request-Id: {id}\r\n\
         X-Mustardrail-Deadline-Ms: {deadline_ms}\r\n{key_field}{body_field}\r\n"
    )
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub target_s: f64,
}

/// Returns a configuration with the limits of the examples of `fleetbench wire`.
/// `accounts` is empty, or the list of client accounts in JSON.
pub fn config(version: u32, routes: &[Route], accounts: &str) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":220}}")
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            format!(
                "{{\"name\":\"r-{index}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout_s\":{},\
             \"target_latency_s\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":2,\
             \"public\":false}}",
                route.prefix, route.kind, route.timeout_s, route.target_s, route.service,
            )
        })
        .collect();
    let accounts = match accounts {
        "" => String::new(),
        list => format!("\"tenants\":{list},"),
    };
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\
         {accounts}\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(","),
    )
}
