//! Development mode: a daemon with an in-memory platform, sample records and sample backend servers
//! in one process.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use model::{AccountId, ServerId};
use records::{ConfigSnapshot, WriteRequest, admit_write, build_commit, hash_key};
use settings::DaemonSettings;
use store::{MemoryTable, ServerEntry, ServerListClient, ServerState, TableClient};

use crate::run::{DaemonError, PlatformClients, run_with_clients};

/// Number of backend servers of the sample service.
const SAMPLE_SERVER_COUNT: u16 = 3;

/// Concurrent requests per sample server.
const SAMPLE_SLOTS: u32 = 4;

/// Key of the sample fleet operator. Valid only in this process.
const SAMPLE_OPERATOR_KEY: &str = "dev-operator-key";

/// Time between two readiness checks of the daemon.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the development mode until SIGTERM or SIGINT.
pub fn run_dev() -> Result<(), DaemonError> {
    let table = Arc::new(MemoryTable::new());
    let servers = start_sample_servers()?;
    write_sample_records(&table);
    let clients = PlatformClients {
        table: TableClient::in_memory(Arc::clone(&table)),
        claim_table: TableClient::in_memory(Arc::clone(&table)),
        list: ServerListClient::in_memory(Arc::new(Mutex::new(servers))),
    };
    let [callers, operators, peers] = unused_addresses()?;
    let settings = sample_settings(callers, operators, peers);
    run_with_clients(settings, clients, move || {
        thread::spawn(move || print_commands_when_ready(callers, operators));
    })
}

fn sample_settings(
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
) -> DaemonSettings {
    let settings = json!({
        "vm": "dev-1",
        "zone": "dev",
        "callers": callers,
        "operators": operators,
        "peers": peers,
        "peer_key": format!("{:032x}", rand::random::<u128>()),
        "first_key_sha256": hash_key(SAMPLE_OPERATOR_KEY),
        "platform": { "table": "127.0.0.1:1", "list": "127.0.0.1:1" },
        "fleet_slots": 4,
        "log_level": "warning",
        "log_format": "terminal",
        "shutdown_notice_ms": 0,
    });
    serde_json::from_value(settings).expect("sample settings are valid")
}

/// Prints example commands once the daemon is ready, so that the first one succeeds.
fn print_commands_when_ready(callers: SocketAddr, operators: SocketAddr) {
    while !is_ready(operators) {
        thread::sleep(READY_POLL_INTERVAL);
    }
    println!("try: curl -s -i -H 'Host: sample.example' http://{callers}/hello");
    println!(
        "operate: cargo run --release --bin mustardrail -- --address {operators} \
         --key {SAMPLE_OPERATOR_KEY} list"
    );
}

fn is_ready(operators: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let Ok(mut stream) = std::net::TcpStream::connect(operators) else {
        return false;
    };
    let request = "GET /readyz HTTP/1.1\r\nHost: dev\r\nConnection: close\r\n\r\n";
    let mut response = String::new();
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_to_string(&mut response).is_ok()
        && response.starts_with("HTTP/1.1 200")
}

fn unused_addresses() -> Result<[SocketAddr; 3], DaemonError> {
    // All three listeners stay open until the end, so that the ports differ.
    let listeners = [bind_unused_port()?, bind_unused_port()?, bind_unused_port()?];
    let address = |listener: &StdListener| {
        listener.local_addr().map_err(|error| start_error("sample listeners", &error))
    };
    Ok([address(&listeners[0])?, address(&listeners[1])?, address(&listeners[2])?])
}

fn bind_unused_port() -> Result<StdListener, DaemonError> {
    StdListener::bind((Ipv4Addr::LOCALHOST, 0))
        .map_err(|error| start_error("sample listeners", &error))
}

fn start_error(component: &'static str, error: &std::io::Error) -> DaemonError {
    DaemonError::Start { component, reason: error.to_string().into() }
}

fn write_sample_records(table: &MemoryTable) {
    let records = [
        json!({
            "schema": 1, "kind": "client-account", "account": "sample", "name": "sample",
            "spec": { "hosts": ["sample.example"], "runs_schema": 2 },
        }),
        json!({
            "schema": 2, "kind": "service", "account": "sample", "name": "greeter",
            "spec": {
                "group": "greeter", "slots": SAMPLE_SLOTS, "connections": 64, "timeout_ms": 2_000,
                "probes_per_s": 2,
            },
        }),
        json!({
            "schema": 2, "kind": "routing-policy", "account": "sample", "name": "front",
            "spec": {
                "rules": [{ "host": "sample.example", "path_prefix": "/", "service": "greeter" }],
            },
        }),
    ];
    let fleet: AccountId = "fleet".parse().expect("the fleet account name is valid");
    let mut snapshot = ConfigSnapshot::default();
    let mut revision_row = None;
    for record in records {
        let record = model::parse_record(&record).expect("sample records are valid");
        let request = WriteRequest::put(record);
        let entry = admit_write(&snapshot, &request, &fleet, &model::RecordSpec::newest_schema)
            .expect("sample records are valid");
        if let store::CommitOutcome::Committed(version) =
            table.commit(&build_commit(&entry, revision_row))
        {
            revision_row = Some(version);
        }
        snapshot.apply(&entry);
    }
}

fn start_sample_servers() -> Result<Vec<ServerEntry>, DaemonError> {
    let mut entries = Vec::new();
    for number in 1..=SAMPLE_SERVER_COUNT {
        let listener = bind_unused_port()?;
        let address =
            listener.local_addr().map_err(|error| start_error("sample servers", &error))?;
        let id: ServerId = format!("greeter-{number}").parse().expect("the name is valid");
        entries.push(ServerEntry {
            id: id.clone(),
            address,
            zone: "dev".parse().expect("the name is valid"),
            account: "sample".parse().expect("the name is valid"),
            group: "greeter".parse().expect("the name is valid"),
            state: ServerState::Live,
        });
        thread::Builder::new()
            .name(format!("sample-{number}"))
            .spawn(move || run_sample_server(listener, &id))
            .map_err(|error| start_error("sample servers", &error))?;
    }
    Ok(entries)
}

fn run_sample_server(listener: StdListener, id: &ServerId) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else {
        return;
    };
    runtime.block_on(async move {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        let Ok(listener) = TcpListener::from_std(listener) else {
            return;
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let id = id.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let response = greeting_response(&id, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
}

fn greeting_response(id: &ServerId, path: &str) -> Response<Full<Bytes>> {
    let body: Value = json!({ "server": id, "path": path });
    let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
    let headers = response.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    headers.insert(
        "endpoint-load-metrics",
        hyper::header::HeaderValue::from_static("TEXT named_metrics.in_flight=0"),
    );
    response
}
