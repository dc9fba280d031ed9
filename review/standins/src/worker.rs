//! Stand-in for a worker.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{response, Connection, Message};
use crate::random::Random;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a worker checks whether the connection of a request is closed.
const CLOSE_CHECK: Duration = Duration::from_millis(1);

/// What a worker does with a request that it can't queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OnFull {
    /// It answers 503 and states that it hasn't run the request.
    Shed,
    /// It never answers it, nor any further request on that connection.
    Hang,
}

#[derive(Debug, Clone)]
pub struct WorkerOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that it queues beside those that run.
    pub queue: usize,
    /// Mean time of a run.
    pub work: Duration,
    /// Largest deviation from it, as a fraction.
    pub spread: f64,
    /// Time on the way from an entry VM to the worker and back.
    pub round_trip: Duration,
    /// Lifetime of an idle connection that the worker states, in seconds.
    pub keep_alive_s: u32,
    pub on_full: OnFull,
    pub tells_load: bool,
    /// Length of the body of its answers, at least.
    pub answer_bytes: usize,
    /// Share of its answers of which a second copy arrives late, at the point where the next
    /// response on the connection is expected.
    pub late_copies: f64,
}

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

pub struct Worker {
    pub options: WorkerOptions,
    pub address: SocketAddr,
    slots: Mutex<Slots>,
    freed: Condvar,
    random: Random,
    pub copies: AtomicU64,
    /// Whether it sends late copies now.
    pub is_garbling: AtomicBool,
    sequence: AtomicU64,
    /// Time until which it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// Requests per second at which it crashes while it is cold.
    crash_rate: f64,
    /// When the last requests arrived.
    arrivals: Mutex<VecDeque<Instant>>,
    crashed: AtomicBool,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(options: WorkerOptions, record: &Arc<Record>) -> Arc<Self> {
        Self::start_with(options, f64::INFINITY, record)
    }

    /// Starts a worker that crashes for good at more than `crash_rate` requests in a second while it is
    /// cold.
    pub fn start_with(options: WorkerOptions, crash_rate: f64, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let worker = Arc::new(Self {
            options,
            address: listener.local_addr().expect("the socket is bound"),
            slots: Mutex::default(),
            freed: Condvar::new(),
            random: Random::new(),
            copies: AtomicU64::new(0),
            is_garbling: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            cold_until: Mutex::default(),
            crash_rate,
            arrivals: Mutex::default(),
            crashed: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&worker);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&served);
                if worker.has_crashed() {
                    return;
                }
                std::thread::spawn(move || worker.serve(Connection::new(stream)));
            }
        });
        worker
    }

    /// Writes the worker's entry to the store.
    pub fn register(&self, store: &Store, state: &str) {
        let WorkerOptions { id, service, zone, slots, .. } = &self.options;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{service}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"warmup_left_s\":{:.3}}}}}",
            self.address,
            self.warm_up_left().as_secs_f64()
        );
        store.put("servers", id, &entry);
    }

    /// Becomes cold without a restart. Its health responses say so at once, its entry with the next
    /// heartbeat.
    pub fn become_cold(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    pub fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::Relaxed)
    }

    /// Counts a request, and crashes if there were too many for a cold worker.
    fn count_arrival(&self) {
        let now = Instant::now();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|first| *first + Duration::from_secs(1) < now) {
            arrivals.pop_front();
        }
        let cold_until = *self.cold_until.lock().unwrap();
        if cold_until.is_none_or(|until| until < now) {
            return;
        }
        let cold_since = cold_until.map(|until| until - self.cold_time());
        let count = arrivals.iter().filter(|at| Some(**at) >= cold_since).count();
        if count as f64 > self.crash_rate && !self.crashed.swap(true, Ordering::Relaxed) {
            self.record.note(&format!("{} crashes: {count} requests in a second", self.options.id));
        }
    }

    fn cold_time(&self) -> Duration {
        Duration::from_secs_f64(crate::fleet::WARM_UP_S)
    }

    fn warm_up_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    fn serve(&self, mut connection: Connection) {
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(request) = connection.read() {
            std::thread::sleep(self.options.round_trip);
            let is_garbling = self.is_garbling.load(Ordering::Relaxed);
            if let Some(copy) = late_copy.take().filter(|_| is_garbling) {
                self.copies.fetch_add(1, Ordering::Relaxed);
                self.record.note(&format!("{} sends a late copy of an answer", self.options.id));
                if connection.write(&copy).is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(&request, &mut connection) else {
                self.record.note(&format!("{} dropped a request", self.options.id));
                // It answers nothing on this connection any more.
                while connection.read().is_ok() {}
                return;
            };
            if self.has_crashed() || connection.write(&answer).is_err() {
                return;
            }
            let is_request = request.header("x-mustardrail-request-id").is_some();
            if is_request && self.is_copied() {
                late_copy = Some(answer);
            }
        }
    }

    /// Whether the next answer is one of those that are sent twice.
    fn is_copied(&self) -> bool {
        self.is_garbling.load(Ordering::Relaxed) && self.random.next() < self.options.late_copies
    }

    /// Returns the answer; `None` if there is none.
    fn answer(&self, request: &Message, connection: &mut Connection) -> Option<Vec<u8>> {
        let own_id = self.options.id.as_str();
        let load = self.load();
        let keep_alive = format!("timeout={}", self.options.keep_alive_s);
        let mut headers = vec![("X-Mustardrail-Instance-Id", own_id), ("Keep-Alive", &*keep_alive)];
        if self.options.tells_load {
            headers.push(("X-Mustardrail-Server-Load", &load));
        }
        if request.target() == "/healthz" {
            let left = self.warm_up_left().as_millis().to_string();
            headers.push(("X-Mustardrail-Warmup-Ms", &left));
            return Some(response("200 OK", &headers, b""));
        }
        let Some(id) = request.header("x-mustardrail-request-id") else {
            headers.push(("X-Mustardrail-Not-Executed", "1"));
            return Some(response("400 Bad Request", &headers, b""));
        };
        headers.push(("X-Mustardrail-Request-Id", id));
        if request
            .header("x-mustardrail-expect-instance")
            .is_some_and(|expected| expected != own_id)
        {
            return Some(response("421 Misdirected Request", &headers, b""));
        }
        self.record.arrived(id, own_id);
        self.count_arrival();
        if !self.enter() {
            if self.options.on_full == OnFull::Hang {
                return None;
            }
            self.record.note(&format!("{own_id} refuses {id}"));
            headers.push(("X-Mustardrail-Not-Executed", "1"));
            return Some(response("503 Service Unavailable", &headers, b"queue is full\n"));
        }
        self.record.ran(id, own_id);
        let is_done = self.run(connection);
        self.slots.lock().unwrap().running -= 1;
        self.freed.notify_all();
        let stamp = format!("{own_id}.{id}");
        headers.push(("X-Mustardrail-Server-Stamp", &stamp));
        let text = if is_done { "done" } else { "cancelled" };
        self.record.note(&format!("{own_id} ends the run of {id}: {text}"));
        let mut body = format!("{text} {id} at {own_id}\n");
        let missing = self.options.answer_bytes.saturating_sub(body.len());
        body.extend(std::iter::repeat_n('.', missing));
        Some(response("200 OK", &headers, body.as_bytes()))
    }

    /// Waits for a slot; returns `false` if the queue is full.
    fn enter(&self) -> bool {
        let mut slots = self.slots.lock().unwrap();
        if slots.running >= self.options.slots {
            if slots.waiting >= self.options.queue {
                return false;
            }
            slots.waiting += 1;
            while slots.running >= self.options.slots {
                slots = self.freed.wait(slots).unwrap();
            }
            slots.waiting -= 1;
        }
        slots.running += 1;
        true
    }

    /// Works on a request; returns `false` if its connection was closed meanwhile.
    fn run(&self, connection: &mut Connection) -> bool {
        let until = Instant::now() + self.options.work.mul_f64(self.work_factor());
        while Instant::now() < until {
            std::thread::sleep(CLOSE_CHECK.min(until.saturating_duration_since(Instant::now())));
            if connection.is_closed() || self.has_crashed() {
                return false;
            }
        }
        true
    }

    fn work_factor(&self) -> f64 {
        1.0 + self.options.spread * (2.0 * self.random.next() - 1.0)
    }

    fn load(&self) -> String {
        let slots = self.slots.lock().unwrap();
        format!("{},{},{},100", slots.running, slots.waiting, self.options.slots)
    }
}
