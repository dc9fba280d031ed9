//! Clients send further idempotent requests before the first one has been answered. Workers break
//! off some long answers to the first one. Are the others answered that were passed on?

use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Route, config, connect, request_head, request_id};
use crate::daemon::Fleet;
use crate::http::Reader;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Exchange, Next, Worker};

const VMS: usize = 3;
const WORKERS: usize = 10;
const SLOTS: usize = 4;

/// Half of the workers break off every fiftieth of their long answers (`garble`: share .5, x .02).
const FAULTY_WORKERS: usize = 5;
const ANSWERS_PER_FAULT: usize = 50;

const LONG_RUN_TIME: Duration = Duration::from_millis(100);
const SHORT_RUN_TIME: Duration = Duration::from_millis(100);

/// Bytes of a long answer, and of those that are sent of one that is broken off.
const LONG_BYTES: usize = 1_500_000;
const BROKEN_BYTES: usize = 1_300_000;
const SHORT_BYTES: usize = 1_500;

const CLIENTS: usize = 12;
const CONNECTIONS_PER_CLIENT: usize = 200;
/// Requests of a connection: the long one first.
const PATHS: [&str; 3] = ["/leny950/long", "/leny950/short", "/leny950/short"];

const DEADLINE_MS: u64 = 6_000;

/// More than three are lost: the rule is broken.
const ALLOWED_LOST: usize = 3;

type RunIds = Arc<Mutex<HashSet<String>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    let routes = [Route {
        prefix: "/leny950/",
        kind: "idempotent",
        service: "talaan",
        timeout_s: 6.0,
        target_s: 2.0,
    }];
    store.put("op", "config", &config(1, &routes, ""));
    let sound_runs = RunIds::default();
    for number in 1..=WORKERS {
        let is_sound = number > FAULTY_WORKERS;
        let (runs, record, answers) =
            (Arc::clone(&sound_runs), record.clone(), AtomicUsize::new(0));
        let handler = move |worker: &Worker, exchange: &mut Exchange| {
            let answer_count = match exchange.head.word(1).ends_with("long") {
                true => answers.fetch_add(1, Ordering::SeqCst) + 1,
                false => 0,
            };
            let is_due = answer_count > 0 && answer_count % ANSWERS_PER_FAULT == 0;
            let breaks_off = has_trouble && !is_sound && is_due;
            handle(worker, exchange, breaks_off, is_sound.then_some(&runs), &record)
        };
        Worker::start(&store, &format!("i-{number:08x}"), "talaan", SLOTS, Box::new(handler))
            .map_err(|error| error.to_string())?;
    }
    let fleet = Fleet::start(&store, VMS)?;
    record.line("the VMs are ready");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (fleet.front(client % VMS), record.clone());
            thread::spawn(move || {
                let connections = 0..CONNECTIONS_PER_CLIENT;
                let unanswered = connections.flat_map(|_| play_connection(front, &record));
                unanswered.collect::<Vec<String>>()
            })
        })
        .collect();
    let unanswered: Vec<String> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    thread::sleep(Duration::from_millis(500));
    if !fleet.is_running() {
        return Err("a daemon has ended".into());
    }
    let runs = sound_runs.lock().unwrap();
    let lost: Vec<&String> = unanswered.iter().filter(|id| runs.contains(*id)).collect();
    for id in &lost {
        record.line(&format!(
            "LOST {id}: passed on to a sound worker, which ran it, and its client's connection was \
             closed without an answer to it"
        ));
    }
    record.line(&format!(
        "connections {}, requests {}, lost {}",
        CLIENTS * CONNECTIONS_PER_CLIENT,
        CLIENTS * CONNECTIONS_PER_CLIENT * PATHS.len(),
        lost.len()
    ));
    if runs.is_empty() {
        return Err("no request was run".into());
    }
    Ok(if lost.len() > ALLOWED_LOST { Verdict::Broken } else { Verdict::Held })
}

/// Runs a request. `breaks_off`: the answer ends before its stated length, with the connection.
/// `sound_runs` gets the requests of the workers that never break off.
fn handle(
    worker: &Worker,
    exchange: &mut Exchange,
    breaks_off: bool,
    sound_runs: Option<&RunIds>,
    record: &Record,
) -> std::io::Result<Next> {
    let head = exchange.head.clone();
    exchange.reader.body(&head)?;
    let is_long = head.word(1).ends_with("long");
    let (run_time, length) = match is_long {
        true => (LONG_RUN_TIME, LONG_BYTES),
        false => (SHORT_RUN_TIME, SHORT_BYTES),
    };
    let slot = worker.slot();
    record.line(&format!("worker {} {}: runs it", worker.id, exchange.request_id));
    if let Some(runs) = sound_runs {
        runs.lock().unwrap().insert(exchange.request_id.clone());
    }
    thread::sleep(run_time);
    drop(slot);
    let answer = worker.success_head(&exchange.request_id, length);
    exchange.stream.write_all(answer.as_bytes())?;
    if breaks_off {
        exchange.stream.write_all(&vec![b'a'; BROKEN_BYTES])?;
        record.line(&format!("worker {} {}: breaks off", worker.id, exchange.request_id));
        exchange.stream.shutdown(std::net::Shutdown::Both)?;
        return Ok(Next::Close);
    }
    exchange.stream.write_all(&vec![b'a'; length])?;
    Ok(Next::Continue)
}

/// Sends the requests of one connection without a pause, and reads the answers. Returns the requests
/// without an answer, other than the one whose answer was broken off.
fn play_connection(front: SocketAddr, record: &Record) -> Vec<String> {
    let ids: Vec<String> = PATHS.iter().map(|_| request_id()).collect();
    let Ok(mut stream) = connect(front) else {
        record.line(&format!("client: no connection to {front}"));
        return Vec::new();
    };
    let heads = PATHS.iter().zip(&ids);
    let bytes: String =
        heads.map(|(path, id)| request_head("GET", path, id, DEADLINE_MS, 0)).collect();
    record.line(&format!("client {}: sends {} requests to {front}", ids.join(" "), ids.len()));
    let Ok(mut reader) = stream.try_clone().map(Reader::new) else {
        return Vec::new();
    };
    let is_sent = reader.set_timeout(Duration::from_millis(DEADLINE_MS + 1_000)).is_ok()
        && stream.write_all(bytes.as_bytes()).is_ok();
    if !is_sent {
        return Vec::new();
    }
    for (index, id) in ids.iter().enumerate() {
        match reader.response() {
            Ok(response) => record.line(&format!("client {id}: {}", response.head.start_line)),
            Err(error) => {
                record.line(&format!("client {id}: the answer or the connection ended: {error}"));
                let behind = ids[index + 1..].to_vec();
                return behind;
            }
        }
    }
    Vec::new()
}
