//! A store, workers, daemons and clients as one deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, free_addresses};
use crate::http::call;
use crate::store::Store;
use crate::worker::{Worker, WorkerOptions};

/// Host of all routes.
pub const HOST: &str = "stones.example";

pub struct Fleet {
    pub workers: Vec<Arc<Worker>>,
    pub daemons: Vec<Arc<Daemon>>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A request of a client and its answer; status 0 if there was none.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub status: u16,
}

impl Fleet {
    /// Starts daemons, the first three of which are the seeds. Returns `None` if one does not start.
    pub fn start(store: &Arc<Store>, workers: Vec<Arc<Worker>>, daemons: usize) -> Option<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let addresses = free_addresses(daemons * 4);
        let own = |number: usize| -> [SocketAddr; 4] {
            addresses[number * 4..number * 4 + 4].try_into().expect("four")
        };
        let relays: Vec<SocketAddr> = (0..daemons.min(3)).map(|number| own(number)[3]).collect();
        let zones = ["north", "south", "east"];
        let started = (0..daemons).map(|number| {
            let (name, zone) = (format!("edge-{number}"), zones[number % 3]);
            let daemon = Daemon::start(&folder, &name, zone, own(number), store.address, &relays);
            Arc::new(daemon)
        });
        let fleet = Fleet { daemons: started.collect(), workers, folder };
        let is_ready =
            fleet.daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10)));
        is_ready.then_some(fleet)
    }
}

/// Clients that send requests at a steady rate, each on a new connection, to the daemons in turn.
pub struct Clients {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    is_over: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
}

impl Clients {
    pub fn start(
        daemons: &[Arc<Daemon>],
        prefix: &str,
        first: &'static str,
        path: &'static str,
        per_s: f64,
        deadline: Duration,
    ) -> Clients {
        let clients =
            Clients { sent: Arc::default(), is_over: Arc::default(), open: Arc::default() };
        let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
        let (sent, is_over, open) =
            (Arc::clone(&clients.sent), Arc::clone(&clients.is_over), Arc::clone(&clients.open));
        let prefix = prefix.to_owned();
        thread::spawn(move || {
            let started_at = Instant::now();
            for number in 0u64.. {
                let at = started_at + Duration::from_secs_f64(number as f64 / per_s);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let (sent, open) = (Arc::clone(&sent), Arc::clone(&open));
                let (callers, id) =
                    (callers[number as usize % callers.len()], format!("{prefix}{number:06}"));
                open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let answer = send(callers, &id, first, path, deadline);
                    sent.lock().unwrap().push(answer);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        clients
    }

    /// Ends the sending and waits for the answers.
    pub fn end(&self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_secs(12);
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.sent.lock().unwrap().clone()
    }
}

pub fn send(callers: SocketAddr, id: &str, method: &str, path: &str, deadline: Duration) -> Sent {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Mustardrail-Request-Id", id.to_owned()),
        ("X-Mustardrail-Deadline-Ms", deadline.as_millis().to_string()),
    ];
    let at = Instant::now();
    let first = format!("{method} {path}{id} HTTP/1.1");
    let body = if method == "GET" { String::new() } else { format!("order {id}") };
    let answer =
        call(callers, &first, &headers, body.as_bytes(), deadline + Duration::from_secs(1));
    let status = answer.map_or(0, |answer| answer.status());
    Sent { id: id.to_owned(), at, status }
}

/// A configuration with one service, whose workers may be cold, and two routes to it.
pub fn put_config(store: &Store, version: u32, service: &str) {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","kind":"{kind}","timeout_s":4,"target_latency_s":0.6,"priority":1,"max_attempts":2,"service":"{service}"}}"#
        )
    };
    let config = format!(
        r#"{{"version":"{version:08x}","services":[{{"name":"{service}","health_path":"/healthz","max_connections":880,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":4.1}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"hosts":[{{"host":"{HOST}","paths":[{},{}]}}]}}"#,
        route("read", "idempotent"),
        route("order", "non_idempotent")
    );
    store.put("op", "config", &config);
}

pub fn worker_options(id: &str, service: &str, tells_load: bool) -> WorkerOptions {
    WorkerOptions {
        id: id.into(),
        service: service.into(),
        zone: "north".into(),
        slots: 4,
        queue: 4,
        work: Duration::from_millis(50),
        tells_load,
        heartbeat: Duration::from_millis(1500),
        crash_per_s: 0,
        body_bytes: 0,
    }
}

/// The largest number of requests that were sent and arrived at a worker within one second of a
/// period, and when that second began.
pub fn worst_second(
    worker: &Worker,
    sent: &[Sent],
    from: Instant,
    until: Instant,
) -> (usize, Instant) {
    let sent_at: BTreeMap<&str, Instant> =
        sent.iter().map(|request| (request.id.as_str(), request.at)).collect();
    let arrivals: Vec<(Instant, Instant)> = worker
        .arrivals()
        .iter()
        .filter_map(|arrival| Some((*sent_at.get(arrival.id.as_str())?, arrival.at)))
        .filter(|(_, at)| (from..until).contains(at))
        .collect();
    let second = Duration::from_secs(1);
    let count = |start: Instant| {
        let inside =
            |(sent, arrived): &&(Instant, Instant)| *sent >= start && *arrived < start + second;
        arrivals.iter().filter(inside).count()
    };
    let starts = arrivals.iter().map(|(sent, _)| *sent).filter(|start| *start >= from);
    starts.map(|start| (count(start), start)).max().unwrap_or((0, from))
}

pub fn outcome_counts(sent: &[Sent]) -> String {
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for request in sent {
        *counts.entry(request.status).or_default() += 1;
    }
    let counts: Vec<String> =
        counts.iter().map(|(status, count)| format!("{status}: {count}")).collect();
    counts.join(", ")
}
