//! A client sends look-ups behind a download, and the download breaks off.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::fleet::{Clients, Fleet, HOST, outcome_counts, worker_options};
use crate::http::read_head;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

const PACKS: &str = "galeria";
const READS: &str = "preguntas";

const DAEMONS: usize = 6;

/// Time in which each daemon gets some 80 other downloads.
const ROUND_PAUSE: Duration = Duration::from_secs(12);

/// Look-ups that the client sends behind a download.
const LOOKUPS: usize = 8;

/// Lost requests that the rule allows.
const MAX_LOST: usize = 3;

/// `x` of `garble`: the largest part of its answers that a worker breaks off.
const BROKEN_SHARE: f64 = 0.02;

const DEADLINE: Duration = Duration::from_secs(3);

pub fn run(record: &Record, has_trouble: bool) -> u8 {
    let store = Store::start();
    put_config(&store);
    let worker = |number: usize| {
        let service = if number < 2 { PACKS } else { READS };
        let mut options = worker_options(&format!("i-{number}"), service, true);
        options.slots = 8;
        options.work = Duration::from_millis(if number < 2 { 30 } else { 300 });
        options.body_bytes = if number < 2 { 60_000 } else { 2_000 };
        Worker::start(&store, options)
    };
    let workers: Vec<Arc<Worker>> = (0..6).map(worker).collect();
    let Some(fleet) = Fleet::start(&store, workers, DAEMONS) else {
        record.line("the daemons did not start");
        return 2;
    };
    record.line("all daemons are ready");
    let packs = Clients::start(&fleet.daemons, "p", "GET", "/pack/", 40.0, DEADLINE);
    let reads = Clients::start(&fleet.daemons, "r", "GET", "/read/", 10.0, DEADLINE);
    std::thread::sleep(Duration::from_secs(12));
    // One of the two workers breaks off one answer.
    let broken = &fleet.workers[0];
    let answers = broken.answers.load(Ordering::SeqCst);
    broken.breaks_next_big.store(has_trouble, Ordering::SeqCst);
    record.line(format!(
        "i-0 has given {answers} answers; its next large one breaks off: {has_trouble}"
    ));
    let mut lost = 0;
    for attempt in 0..2 * DAEMONS {
        if attempt == DAEMONS {
            // By then the daemons have forgotten the long answers of the first round.
            std::thread::sleep(ROUND_PAUSE);
        }
        let callers = fleet.daemons[attempt % DAEMONS].callers;
        let ids: Vec<String> = (0..=LOOKUPS).map(|number| format!("c{attempt}-{number}")).collect();
        let sent_at = Instant::now();
        let answered = send_pipelined(callers, &ids);
        for (id, answer) in ids.iter().zip(&answered) {
            record.line(format!("client sent {id} on one connection, answer: {answer}"));
        }
        std::thread::sleep(Duration::from_millis(600));
        for (id, answer) in ids.iter().zip(&answered).skip(1) {
            let runs: Vec<String> =
                fleet.workers.iter().filter_map(|worker| run_of(worker, id, sent_at)).collect();
            record.line(format!("{id} was passed on to: {runs:?}"));
            lost += usize::from(answer == "none" && !runs.is_empty());
        }
        if has_trouble && !broken.breaks_next_big.load(Ordering::SeqCst) {
            break;
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let answers = broken.answers.load(Ordering::SeqCst);
    let (packs, reads) = (packs.end(), reads.end());
    let allowed = answers as f64 * BROKEN_SHARE;
    let text = format!(
        "{lost} look-ups were passed on to sound workers, and their connection was closed without an answer; allowed: {MAX_LOST}; i-0 broke off {} of {answers} answers (at most {allowed:.1}); other clients, downloads: {}; look-ups: {}",
        u8::from(has_trouble),
        outcome_counts(&packs),
        outcome_counts(&reads)
    );
    record.line(&text);
    println!("{text}");
    u8::from(lost > MAX_LOST)
}

fn run_of(worker: &Worker, id: &str, sent_at: Instant) -> Option<String> {
    let arrivals = worker.arrivals();
    let arrival = arrivals.iter().find(|arrival| arrival.id == id && arrival.ran)?;
    let after = arrival.at.saturating_duration_since(sent_at).as_millis();
    Some(format!("{} after {after} ms", worker.options.id))
}

/// Sends a download and look-ups behind it at once. Returns what came for each.
fn send_pipelined(callers: SocketAddr, ids: &[String]) -> Vec<String> {
    let mut answers = vec!["none".to_owned(); ids.len()];
    let Ok(mut stream) = TcpStream::connect(callers) else { return answers };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut text = String::new();
    for (number, id) in ids.iter().enumerate() {
        let path = if number == 0 { format!("/pack/big-{id}") } else { format!("/read/{id}") };
        text += &format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Mustardrail-Request-Id: {id}\r\nX-Mustardrail-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
    }
    if stream.write_all(text.as_bytes()).is_err() {
        return answers;
    }
    let mut reader = BufReader::new(stream);
    for answer in &mut answers {
        let Ok(Some(head)) = read_head(&mut reader) else { break };
        let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            *answer = format!("{}, broken off", head.status());
            break;
        }
        *answer = head.status().to_string();
    }
    answers
}

fn put_config(store: &Store) {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_connections":220,"protocol":"h1","tls":false}}"#
        )
    };
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","kind":"{kind}","timeout_s":3,"target_latency_s":1.2,"priority":1,"max_attempts":2,"service":"{service}"}}"#
        )
    };
    let config = format!(
        r#"{{"version":"00000001","services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"hosts":[{{"host":"{HOST}","paths":[{},{}]}}]}}"#,
        service(PACKS),
        service(READS),
        route("pack", "download", PACKS),
        route("read", "idempotent", READS)
    );
    store.put("op", "config", &config);
}
