//! Clients leave before their deadline while their uploads wait at the entry VM for a worker. Do
//! their requests reach a worker later than half a second after that?

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
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
const WORKERS: usize = 6;
const SLOTS: usize = 2;
const RUN_TIME: Duration = Duration::from_millis(260);

const UPLOAD_BYTES: usize = 2 << 20;

/// Uploads that the workers can run in a second are 46; a burst is 1.7 times the usual traffic.
const USUAL_PER_S: f64 = 40.0;
const BURST_FACTOR: f64 = 1.7;
/// Bursts of 3 s every 10 s.
const BURST_PERIOD_S: u64 = 10;
const BURST_FROM_S: u64 = 7;
const LENGTH: Duration = Duration::from_secs(60);

/// A fifth of the clients leave within half of the objective.
const LEAVING_EVERY: usize = 5;
const TARGET_S: f64 = 2.0;
const LEAVE_AFTER: Duration = Duration::from_millis(250);
const DEADLINE_MS: u64 = 4_000;

/// Time after the close from which an arrival at a worker is late.
const LATE_AFTER: Duration = Duration::from_millis(500);

/// More than a few late arrivals break the rule.
const A_FEW: usize = 5;

type Times = Arc<Mutex<HashMap<String, Duration>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    let routes = [Route {
        prefix: "/puka111/",
        kind: "upload",
        service: "patunay",
        timeout_s: 4.0,
        target_s: TARGET_S,
    }];
    store.put("op", "config", &config(1, &routes, ""));
    let (arrivals, closes) = (Times::default(), Times::default());
    for number in 1..=WORKERS {
        let (arrivals, record) = (Arc::clone(&arrivals), record.clone());
        let handler = move |worker: &Worker, exchange: &mut Exchange| {
            handle(worker, exchange, &arrivals, &record)
        };
        Worker::start(&store, &format!("i-{number:08x}"), "patunay", SLOTS, Box::new(handler))
            .map_err(|error| error.to_string())?;
    }
    let fleet = Fleet::start(&store, VMS)?;
    record.line("the VMs are ready");
    let body: Arc<Vec<u8>> = Arc::new((0..UPLOAD_BYTES).map(|index| index as u8).collect());
    let started_at = record.now();
    let mut clients = Vec::new();
    loop {
        let elapsed = record.now() - started_at;
        if elapsed >= LENGTH {
            break;
        }
        let is_burst = elapsed.as_secs() % BURST_PERIOD_S >= BURST_FROM_S;
        let rate = if is_burst { USUAL_PER_S * BURST_FACTOR } else { USUAL_PER_S };
        let index = clients.len();
        let leaves = has_trouble && index % LEAVING_EVERY == 0;
        let (front, record) = (fleet.front(index % VMS), record.clone());
        let (body, closes) = (Arc::clone(&body), Arc::clone(&closes));
        clients.push(thread::spawn(move || upload(front, &body, leaves, &closes, &record)));
        thread::sleep(Duration::from_secs_f64(1.0 / rate));
    }
    let total = clients.len();
    let served = clients.into_iter().filter_map(|client| client.join().ok()).filter(|is| *is);
    let served = served.count();
    thread::sleep(Duration::from_secs(3));
    if !fleet.is_running() {
        return Err("a daemon has ended".into());
    }
    let (arrivals, closes) = (arrivals.lock().unwrap(), closes.lock().unwrap());
    let mut late = 0;
    for (id, closed_at) in closes.iter() {
        let arrived_at = arrivals.get(id).filter(|at| **at > *closed_at + LATE_AFTER);
        if let Some(arrived_at) = arrived_at {
            late += 1;
            let delay = (*arrived_at - *closed_at).as_secs_f64();
            record.line(&format!("LATE {id}: reached a worker {delay:.2} s after the close"));
        }
    }
    record.line(&format!(
        "uploads {total}, served {served}, given up {}, of these late at a worker: {late}",
        closes.len()
    ));
    if served == 0 {
        return Err("no upload was served".into());
    }
    Ok(if late > A_FEW { Verdict::Broken } else { Verdict::Held })
}

fn handle(
    worker: &Worker,
    exchange: &mut Exchange,
    arrivals: &Times,
    record: &Record,
) -> std::io::Result<Next> {
    let id = exchange.request_id.clone();
    arrivals.lock().unwrap().entry(id.clone()).or_insert_with(|| record.now());
    record.line(&format!("worker {} {id}: receives it", worker.id));
    let slot = worker.slot();
    let head = exchange.head.clone();
    exchange.reader.body(&head)?;
    record.line(&format!("worker {} {id}: runs it", worker.id));
    thread::sleep(RUN_TIME);
    drop(slot);
    let answer = worker.success_head(&id, 2) + "ok";
    exchange.stream.write_all(answer.as_bytes())?;
    Ok(Next::Continue)
}

/// Sends an upload, and leaves early or waits for the answer. Returns whether it was a success.
fn upload(front: SocketAddr, body: &[u8], leaves: bool, closes: &Times, record: &Record) -> bool {
    let id = request_id();
    let started_at = record.now();
    let Ok(mut stream) = connect(front) else {
        return false;
    };
    record.line(&format!("client {id}: sends {} bytes to {front}", body.len()));
    let head = request_head("POST", "/puka111/2f", &id, DEADLINE_MS, body.len());
    let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body));
    if leaves {
        let reader = stream.try_clone().map(Reader::new);
        let left = (started_at + LEAVE_AFTER).saturating_sub(record.now());
        let is_answered = reader.is_ok_and(|mut reader| {
            reader.set_timeout(left.max(Duration::from_millis(1))).is_ok() && reader.head().is_ok()
        });
        if is_answered {
            record.line(&format!("client {id}: was answered before it would leave"));
            return false;
        }
        // An error means that the connection is closed already.
        let _ = stream.shutdown(Shutdown::Both);
        drop(stream);
        closes.lock().unwrap().insert(id.clone(), record.now());
        record.line(&format!("client {id}: has closed its connection"));
        return false;
    }
    if sent.is_err() {
        return false;
    }
    let mut reader = Reader::new(stream);
    if reader.set_timeout(Duration::from_millis(DEADLINE_MS + 1_000)).is_err() {
        return false;
    }
    match reader.response() {
        Ok(response) => {
            record.line(&format!("client {id}: {}", response.head.start_line));
            response.head.status() == 200
        }
        Err(error) => {
            record.line(&format!("client {id}: no answer: {error}"));
            false
        }
    }
}
