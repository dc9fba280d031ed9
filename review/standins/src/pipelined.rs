//! Entry VMs are stopped and started in turn while clients send further look-ups before the first one
//! is answered.

use std::collections::VecDeque;
use std::io::Read;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{next_id, request_bytes};
use crate::fleet::{
    keep_registered, start_vms, wait_ready, write_config, Balancer, Route, TempFolder, Vm, GRACE_S,
    SIGTERM,
};
use crate::random::Random;
use crate::store::Store;
use crate::worker::{OnFull, Worker, WorkerOptions};
use crate::{CaseInput, Verdict};

const ZONES: [&str; 4] = ["norte-bilbao", "norte-bilbao", "norte-oviedo", "norte-oviedo"];

const CLIENTS: usize = 12;

/// Requests of a connection that a client sends before the first one is answered.
const PIPELINED: usize = 8;

const ANSWER_BYTES: usize = 30_000;

/// Bytes per second that a client receives: a link of 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 10e6 / 8.0;

const DEADLINE: Duration = Duration::from_secs(4);

pub fn run(input: &CaseInput) -> Verdict {
    let folder = TempFolder::create("pipelined");
    let store = Store::start();
    let workers: Vec<Arc<Worker>> = (0..8)
        .map(|index| {
            let options = WorkerOptions {
                id: format!("i-preguntas-{index}"),
                service: "preguntas".into(),
                zone: ZONES[index % ZONES.len()].into(),
                slots: 16,
                queue: 16,
                work: Duration::from_millis(60),
                spread: 0.5,
                round_trip: Duration::from_millis(1),
                keep_alive_s: 10,
                on_full: OnFull::Shed,
                tells_load: true,
                answer_bytes: ANSWER_BYTES,
                late_copies: 0.0,
            };
            Worker::start(options, &input.record)
        })
        .collect();
    let route = Route {
        prefix: "/preguntas/".into(),
        kind: "idempotent",
        service: "preguntas".into(),
        timeout_s: 4.0,
        target_s: 1.0,
        max_attempts: 2,
    };
    write_config(&store, &[route]);
    let stop = Arc::new(AtomicBool::new(false));
    keep_registered(&store, &workers, &stop);
    let vms = start_vms(&input.daemon, &folder.0, &store, &ZONES);
    if !wait_ready(&vms) {
        return Verdict::NotRun("an entry VM did not become ready".into());
    }
    let balancer = Balancer::new(&vms);
    let (is_over, has_ended) = (AtomicBool::new(false), AtomicBool::new(false));
    let stops = std::thread::scope(|scope| {
        let (balancer, vms, has_ended, is_over) = (&balancer, &vms, &has_ended, &is_over);
        for (index, vm) in vms.iter().enumerate() {
            scope.spawn(move || balancer.check(index, vm, has_ended));
        }
        for client in 0..CLIENTS {
            scope.spawn(move || {
                let random = Random::new();
                while !is_over.load(Ordering::Relaxed) {
                    let vm = balancer.choose(vms, ZONES[client % ZONES.len()], &random);
                    if use_connection(input, vm, is_over).is_none() {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
        std::thread::sleep(Duration::from_secs(5));
        let mut stops = Vec::new();
        for vm in vms {
            if !input.has_trouble {
                std::thread::sleep(Duration::from_secs_f64(GRACE_S));
                continue;
            }
            let stopped_at = Instant::now();
            stops.push((input.record.now(), vm.name.clone()));
            input.record.note(&format!("SIGTERM to {}", vm.name));
            vm.signal(SIGTERM);
            while vm.is_running() && stopped_at.elapsed().as_secs_f64() < GRACE_S {
                std::thread::sleep(Duration::from_millis(10));
            }
            input.record.note(&format!("{} has ended", vm.name));
            vm.restart();
            if !wait_ready(std::slice::from_ref(vm)) {
                return None;
            }
            std::thread::sleep(Duration::from_secs(4));
        }
        is_over.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_secs(2));
        has_ended.store(true, Ordering::Relaxed);
        Some(stops)
    });
    stop.store(true, Ordering::Relaxed);
    match stops {
        Some(stops) => judge(input, &stops),
        None => Verdict::NotRun("an entry VM did not start again".into()),
    }
}

/// What a client reads from a connection, at the speed of its link.
struct SlowReader {
    stream: TcpStream,
    rest: Vec<u8>,
    /// Time until which the link is busy with what was read.
    busy_until: Instant,
}

impl SlowReader {
    fn fill(&mut self) -> Option<()> {
        std::thread::sleep(self.busy_until.saturating_duration_since(Instant::now()));
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        self.rest.extend_from_slice(&buffer[..count]);
        let busy = Duration::from_secs_f64(count as f64 / LINK_BYTES_PER_S);
        self.busy_until = self.busy_until.max(Instant::now()) + busy;
        Some(())
    }

    /// Reads one answer; returns its status, its request id, and whether it closes the connection.
    fn read_answer(&mut self) -> Option<(u16, String, bool)> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).to_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.map(|value| value.trim_start_matches(':').trim().to_owned())
        };
        let length: usize = field("content-length").and_then(|text| text.parse().ok())?;
        while self.rest.len() < end + 4 + length {
            self.fill()?;
        }
        self.rest.drain(..end + 4 + length);
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let closes = field("connection").is_some_and(|value| value.contains("close"));
        Some((status, field("x-mustardrail-request-id").unwrap_or_default(), closes))
    }
}

/// Sends look-ups on one connection until it ends or an answer closes it. Returns `None` if it can't be
/// opened.
fn use_connection(input: &CaseInput, vm: &Vm, is_over: &AtomicBool) -> Option<()> {
    let record = &input.record;
    let mut stream = TcpStream::connect_timeout(&vm.callers, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(2)));
    let reading = stream.try_clone().ok()?;
    let mut reader = SlowReader { stream: reading, rest: Vec::new(), busy_until: Instant::now() };
    let mut waiting: VecDeque<String> = VecDeque::new();
    loop {
        while waiting.len() < PIPELINED && !is_over.load(Ordering::Relaxed) {
            let id = next_id();
            let request = request_bytes("GET", "/preguntas/2f", &id, DEADLINE);
            record.sent(&id, &vm.name);
            waiting.push_back(id);
            if std::io::Write::write_all(&mut stream, &request).is_err() {
                break;
            }
        }
        let Some(id) = waiting.pop_front() else {
            return Some(());
        };
        let Some((status, answered_id, closes)) = reader.read_answer() else {
            // The first one that was not answered, and all behind it.
            record.answered(&id, 0);
            waiting.iter().for_each(|id| record.answered(id, 0));
            return Some(());
        };
        if status == 200 && answered_id != id {
            record.note(&format!("foreign answer: {answered_id} for {id}"));
        }
        record.answered(&id, status);
        if closes {
            // What was sent behind counts as not read.
            waiting.iter().for_each(|id| record.note(&format!("{id} was sent behind a close")));
            return Some(());
        }
    }
}

/// LOST: a request was passed on to a worker, and its connection ends without a complete answer around
/// a SIGTERM.
fn judge(input: &CaseInput, stops: &[(f64, String)]) -> Verdict {
    let requests = input.record.requests();
    let (mut answered, mut behind) = (0, 0);
    let mut lost = Vec::new();
    for (id, request) in &requests {
        answered += u32::from(request.status == Some(200));
        if request.status != Some(0) {
            continue;
        }
        let stop = stops.iter().find(|(at, vm)| {
            *vm == request.vm && request.ended_at > *at && request.ended_at < at + GRACE_S + 1.0
        });
        let is_in_time = request.ended_at < request.sent_at + DEADLINE.as_secs_f64() - 0.1;
        match stop.filter(|_| is_in_time) {
            Some((at, _)) if !request.runs.is_empty() => lost.push(format!(
                "{id} sent {:.2} s after the SIGTERM, cut after {:.2} s",
                request.sent_at - at,
                request.ended_at - request.sent_at
            )),
            _ => behind += 1,
        }
    }
    let text = format!(
        "{} requests, {answered} answered 200; run by a worker, and the connection ended without a whole \
         answer around a SIGTERM: {} {:?}; not passed on, or at other times: {behind}",
        requests.len(),
        lost.len(),
        &lost[..lost.len().min(3)]
    );
    if answered < 1_000 {
        return Verdict::NotRun(text);
    }
    match lost.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
