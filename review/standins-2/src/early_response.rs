//! A worker answers long uploads with success before it has read all of them, keeps the connection
//! and reads on. Do all bytes of an upload reach it that the client has sent?

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
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
const WORKERS: usize = 3;
const SLOTS: usize = 4;
const RUN_TIME: Duration = Duration::from_millis(150);

/// Bytes of a long upload, below the `max_body_bytes` of the configuration, and of an ordinary one.
const LONG_BYTES: usize = 3 << 20;
const ORDINARY_BYTES: usize = 60_000;

/// Bytes of a long upload that the worker has read when it answers.
const READ_BEFORE_ANSWER: usize = 128 << 10;

/// A client's link: a piece and the pause after it, 16 Mbit/s.
const PIECE_BYTES: usize = 64 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(32);

const LONG_UPLOADS: usize = 24;
const LONG_PAUSE: Duration = Duration::from_millis(400);
const ORDINARY_UPLOADS: usize = 150;
const ORDINARY_PAUSE: Duration = Duration::from_millis(80);

const DEADLINE_MS: u64 = 8_000;

/// Time for the last bytes to arrive after the client has sent them.
const ARRIVAL_TIME: Duration = Duration::from_secs(3);

/// What a worker got of an upload.
#[derive(Clone, Copy)]
struct Received {
    bytes: usize,
    checksum: u64,
    is_whole: bool,
}

type Uploads = Arc<Mutex<HashMap<String, Received>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    let routes = [Route {
        prefix: "/puka111/",
        kind: "upload",
        service: "patunay",
        timeout_s: 8.0,
        target_s: 2.0,
    }];
    store.put("op", "config", &config(1, &routes, ""));
    let uploads = Uploads::default();
    for number in 1..=WORKERS {
        let (uploads, record) = (Arc::clone(&uploads), record.clone());
        let handler = move |worker: &Worker, exchange: &mut Exchange| {
            handle(worker, exchange, has_trouble, &uploads, &record)
        };
        Worker::start(&store, &format!("i-{number:08x}"), "patunay", SLOTS, Box::new(handler))
            .map_err(|error| error.to_string())?;
    }
    let fleet = Fleet::start(&store, VMS)?;
    record.line("the VMs are ready");
    let fronts: Vec<SocketAddr> = (0..VMS).map(|index| fleet.front(index)).collect();
    let ordinary_record = record.clone();
    let ordinary = thread::spawn(move || {
        let sending = (0..ORDINARY_UPLOADS).map(|index| {
            let (front, record) = (fronts[index % VMS], ordinary_record.clone());
            thread::sleep(ORDINARY_PAUSE);
            thread::spawn(move || upload(front, ORDINARY_BYTES, &record))
        });
        let sending: Vec<_> = sending.collect();
        sending.into_iter().filter_map(|thread| thread.join().ok()).flatten().count()
    });
    thread::sleep(Duration::from_secs(2));
    let mut sending = Vec::new();
    for index in 0..LONG_UPLOADS {
        let (front, record) = (fleet.front(index % VMS), record.clone());
        sending.push(thread::spawn(move || upload(front, LONG_BYTES, &record)));
        thread::sleep(LONG_PAUSE);
    }
    let succeeded: Vec<String> =
        sending.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect();
    let ordinary = ordinary.join().unwrap_or(0);
    if !fleet.is_running() {
        return Err("a daemon has ended".into());
    }
    let expected = checksum(&body(LONG_BYTES));
    let uploads = uploads.lock().unwrap();
    let mut changed = 0;
    for id in &succeeded {
        let received = uploads.get(id).copied();
        let is_same = received.is_some_and(|upload| upload.is_whole && upload.checksum == expected);
        if !is_same {
            changed += 1;
            let bytes = received.map_or(0, |upload| upload.bytes);
            record.line(&format!(
                "CHANGED {id}: the client sent {LONG_BYTES} bytes and got the worker's success, the \
                 worker that ran it got {bytes} bytes and the end of its connection"
            ));
        }
    }
    record.line(&format!(
        "ordinary uploads served: {ordinary} of {ORDINARY_UPLOADS}; long uploads sent whole and \
         answered with success: {} of {LONG_UPLOADS}; of these with a body changed: {changed}",
        succeeded.len()
    ));
    if succeeded.is_empty() {
        return Err("no long upload was answered with success".into());
    }
    Ok(if changed > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Runs a request. A long one is answered before its body is in, if `answers_early`.
fn handle(
    worker: &Worker,
    exchange: &mut Exchange,
    answers_early: bool,
    uploads: &Uploads,
    record: &Record,
) -> std::io::Result<Next> {
    let length = exchange.head.content_length();
    let id = exchange.request_id.clone();
    let is_early = answers_early && length == LONG_BYTES;
    let read_before = if is_early { READ_BEFORE_ANSWER } else { length };
    let mut received = Received { bytes: 0, checksum: CHECKSUM_START, is_whole: false };
    read_up_to(exchange, read_before, &mut received);
    if received.bytes < read_before {
        record.line(&format!("worker {} {id}: got {} bytes", worker.id, received.bytes));
        return Ok(Next::Close);
    }
    let slot = worker.slot();
    record.line(&format!("worker {} {id}: runs it", worker.id));
    thread::sleep(RUN_TIME);
    drop(slot);
    let answer = worker.success_head(&id, 2) + "ok";
    exchange.stream.write_all(answer.as_bytes())?;
    read_up_to(exchange, length, &mut received);
    received.is_whole = received.bytes == length;
    record.line(&format!("worker {} {id}: got {} of {length} bytes", worker.id, received.bytes));
    uploads.lock().unwrap().insert(id, received);
    Ok(if received.is_whole { Next::Continue } else { Next::Close })
}

/// Reads until `length` bytes of the body were read, or the connection ends.
fn read_up_to(exchange: &mut Exchange, length: usize, received: &mut Received) {
    while received.bytes < length {
        let Ok(bytes) = exchange.reader.some(length - received.bytes) else {
            return;
        };
        received.bytes += bytes.len();
        received.checksum = add_to_checksum(received.checksum, &bytes);
    }
}

/// Sends an upload at the pace of the client's link, and returns its id if the whole of it was sent
/// and the answer is a success of a worker. The connection stays open until the worker could read
/// all of it.
fn upload(front: SocketAddr, length: usize, record: &Record) -> Option<String> {
    let id = request_id();
    let mut stream = connect(front).ok()?;
    let mut reader = Reader::new(stream.try_clone().ok()?);
    reader.set_timeout(Duration::from_millis(DEADLINE_MS + 1_000)).ok()?;
    record.line(&format!("client {id}: sends {length} bytes to {front}"));
    let (answer_record, answer_id) = (record.clone(), id.clone());
    let answer = thread::spawn(move || {
        let response = reader.response();
        let text = match &response {
            Ok(response) => response.head.start_line.clone(),
            Err(error) => format!("no answer: {error}"),
        };
        answer_record.line(&format!("client {answer_id}: {text}"));
        response.is_ok_and(|response| {
            response.head.status() == 200
                && response.head.field("x-mustardrail-server-stamp").is_some()
        })
    });
    let head = request_head("POST", "/puka111/2f", &id, DEADLINE_MS, length);
    let mut sent = stream.write_all(head.as_bytes());
    for piece in body(length).chunks(PIECE_BYTES) {
        sent = sent.and_then(|()| stream.write_all(piece));
        thread::sleep(PIECE_PAUSE);
    }
    match &sent {
        Ok(()) => record.line(&format!("client {id}: has sent all of it")),
        Err(error) => record.line(&format!("client {id}: could not send all of it: {error}")),
    }
    let is_success = answer.join().unwrap_or(false);
    if length == LONG_BYTES {
        thread::sleep(ARRIVAL_TIME);
    }
    (sent.is_ok() && is_success).then_some(id)
}

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

/// FNV-1a.
const CHECKSUM_START: u64 = 0xcbf2_9ce4_8422_2325;

fn add_to_checksum(checksum: u64, bytes: &[u8]) -> u64 {
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(checksum, step)
}

fn checksum(bytes: &[u8]) -> u64 {
    add_to_checksum(CHECKSUM_START, bytes)
}
