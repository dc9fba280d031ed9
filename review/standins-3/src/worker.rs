//! A stand-in for a worker: slots, a short queue, health checks and heartbeats, as the pages
//! describe them.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, write_message};
use crate::store::Store;

#[derive(Clone)]
pub struct WorkerOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
    /// Whether its responses have `X-Mustardrail-Server-Load`.
    pub tells_load: bool,
    pub heartbeat: Duration,
    /// Requests in one second, while it is cold, at which it crashes; 0 if it never does.
    pub crash_per_s: usize,
    /// Bytes of the body of an answer; a request whose path contains `big` gets `BIG_BYTES`.
    pub body_bytes: usize,
}

/// Bytes of the body of a large answer.
pub const BIG_BYTES: usize = 2 << 20;

/// Bytes of a large answer after which it breaks off, and the time until then.
const BROKEN_BYTES: usize = 3 << 19;
const BREAK_DELAY: Duration = Duration::from_millis(150);

/// A request that arrived, whether it ran or not.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    pub ran: bool,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

pub struct Worker {
    pub options: WorkerOptions,
    pub address: SocketAddr,
    store: Arc<Store>,
    load: Mutex<Load>,
    freed: Condvar,
    arrivals: Mutex<Vec<Arrival>>,
    /// Since when and until when it is cold, or was last.
    cold_period: Mutex<Option<(Instant, Instant)>>,
    last_beat_at: Mutex<Instant>,
    sequence: AtomicU64,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    pub health_checks: AtomicU64,
    /// Whether the next large answer breaks off.
    pub breaks_next_big: AtomicBool,
    pub answers: AtomicU64,
    born_ms: u64,
}

impl Worker {
    pub fn start(store: &Arc<Store>, options: WorkerOptions) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Worker {
            options,
            address: listener.local_addr().expect("it is bound"),
            store: Arc::clone(store),
            load: Mutex::default(),
            freed: Condvar::new(),
            arrivals: Mutex::default(),
            cold_period: Mutex::default(),
            last_beat_at: Mutex::new(Instant::now()),
            sequence: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
            health_checks: AtomicU64::new(0),
            breaks_next_big: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            born_ms: born.as_millis() as u64,
        });
        let accepting = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_down.load(Ordering::SeqCst) {
                    // The listening socket of a crashed worker would refuse it.
                    continue;
                }
                if let Ok(kept) = stream.try_clone() {
                    accepting.streams.lock().unwrap().push(kept);
                }
                let worker = Arc::clone(&accepting);
                thread::spawn(move || worker.serve(stream));
            }
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || beating.beat_on());
        worker
    }

    fn beat_on(&self) {
        loop {
            if !self.is_down() {
                self.beat();
            }
            thread::sleep(self.options.heartbeat);
        }
    }

    /// Writes the worker's entry.
    pub fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let WorkerOptions { id, service, zone, slots, .. } = &self.options;
        let left = self.cold_left().as_secs_f64();
        let entry = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready","sequence":{sequence},"warmup_left_s":{left:.3}}}}}"#,
            self.address, self.born_ms
        );
        self.store.put("servers", id, &entry);
        *self.last_beat_at.lock().unwrap() = Instant::now();
    }

    pub fn last_beat_at(&self) -> Instant {
        *self.last_beat_at.lock().unwrap()
    }

    /// The worker becomes cold from now on.
    pub fn become_cold(&self, time: Duration) {
        let now = Instant::now();
        *self.cold_period.lock().unwrap() = Some((now, now + time));
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Whether the worker has got more requests in the last second, while cold, than it survives.
    fn is_overrun(&self, now: Instant) -> bool {
        let Some((since, until)) = *self.cold_period.lock().unwrap() else {
            return false;
        };
        let from = since.max(now.checked_sub(Duration::from_secs(1)).unwrap_or(since));
        let arrivals = self.arrivals.lock().unwrap();
        let recent = arrivals.iter().rev().take_while(|arrival| arrival.at >= from).count();
        self.options.crash_per_s > 0 && now < until && recent >= self.options.crash_per_s
    }

    fn cold_left(&self) -> Duration {
        let period = *self.cold_period.lock().unwrap();
        period.map_or(Duration::ZERO, |(_, until)| until.saturating_duration_since(Instant::now()))
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, mut headers, body) = self.answer(&request);
            if self.is_down() {
                return;
            }
            if let Some(id) = request.header("x-mustardrail-request-id") {
                headers.push(("X-Mustardrail-Request-Id", id.to_owned()));
            }
            headers.push(("Keep-Alive", "timeout=10".to_owned()));
            if self.options.tells_load {
                let load = self.load.lock().unwrap();
                let Load { running, waiting } = &*load;
                let text = format!("{running},{waiting},{},100", self.options.slots);
                headers.push(("X-Mustardrail-Server-Load", text));
            }
            let first = format!("HTTP/1.1 {status} Status");
            self.answers.fetch_add(1, Ordering::SeqCst);
            let is_big = status == 200 && body.len() == BIG_BYTES;
            if is_big && self.breaks_next_big.swap(false, Ordering::SeqCst) {
                break_off(&mut writer, &first, &headers, &body);
                return;
            }
            if write_message(&mut writer, &first, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<(&'static str, String)>, Vec<u8>) {
        if request.target() == "/healthz" {
            self.health_checks.fetch_add(1, Ordering::SeqCst);
            // Where workers tell no load, a health check waits for a slot like any other request.
            if !self.options.tells_load {
                if !self.enter() {
                    return (503, vec![("X-Mustardrail-Not-Executed", "1".into())], Vec::new());
                }
                self.leave();
            }
            let mut headers = vec![("X-Mustardrail-Instance-Id", self.options.id.clone())];
            let left = self.cold_left().as_millis();
            headers.push(("X-Mustardrail-Warmup-Ms", left.to_string()));
            return (200, headers, Vec::new());
        }
        let expected = request.header("x-mustardrail-expect-instance");
        if expected.is_some_and(|expected| expected != self.options.id) {
            let id = vec![("X-Mustardrail-Instance-Id", self.options.id.clone())];
            return (421, id, Vec::new());
        }
        let Some(id) = request.header("x-mustardrail-request-id").map(str::to_owned) else {
            return (400, vec![("X-Mustardrail-Not-Executed", "1".into())], Vec::new());
        };
        let at = Instant::now();
        let deadline_ms =
            request.header("x-mustardrail-deadline-ms").and_then(|text| text.parse().ok());
        let deadline = at + Duration::from_millis(deadline_ms.unwrap_or(60_000));
        self.arrivals.lock().unwrap().push(Arrival { id: id.clone(), at, ran: false });
        if self.is_overrun(at) {
            self.crash();
            return (500, Vec::new(), Vec::new());
        }
        if !self.enter() || Instant::now() >= deadline {
            return (503, vec![("X-Mustardrail-Not-Executed", "1".into())], Vec::new());
        }
        let mut arrivals = self.arrivals.lock().unwrap();
        if let Some(arrival) = arrivals.iter_mut().rev().find(|arrival| arrival.id == id) {
            arrival.ran = true;
        }
        drop(arrivals);
        let factor = if self.cold_left().is_zero() { 1 } else { 2 };
        let is_whole = work(self.options.work * factor, deadline);
        self.leave();
        if !is_whole {
            return (504, Vec::new(), Vec::new());
        }
        let stamp = format!("stamp.{}.{id}", self.options.id);
        let mut body = format!("done {id} ").into_bytes();
        let bytes =
            if request.target().contains("big") { BIG_BYTES } else { self.options.body_bytes };
        body.resize(bytes.max(body.len()), b'.');
        (200, vec![("X-Mustardrail-Server-Stamp", stamp)], body)
    }

    /// Waits for a slot; `false` if the queue is full.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.options.slots {
            if load.waiting >= self.options.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.options.slots {
                load = self.freed.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}

/// Sends a part of an answer, and closes the connection a little later.
fn break_off(stream: &mut TcpStream, first: &str, headers: &[(&str, String)], body: &[u8]) {
    let mut bytes = Vec::new();
    if write_message(&mut bytes, first, headers, body).is_ok() {
        let _ = stream.write_all(&bytes[..BROKEN_BYTES]);
        thread::sleep(BREAK_DELAY);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Works until the end or the deadline. Returns whether the work is done.
fn work(time: Duration, deadline: Instant) -> bool {
    let until = Instant::now() + time;
    thread::sleep(until.min(deadline).saturating_duration_since(Instant::now()));
    until <= deadline
}
