//! A worker of a service that doesn't tell its load becomes cold again while it serves requests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::client::{send, Attempt};
use crate::fleet::{
    keep_registered, start_vms, wait_ready, write_config_with, Balancer, Route, TempFolder,
    WARM_UP_PER_S, WARM_UP_S,
};
use crate::random::Random;
use crate::store::Store;
use crate::worker::{OnFull, Worker, WorkerOptions};
use crate::{CaseInput, Verdict};

const ZONES: [&str; 3] = ["maynila", "pampanga", "batangas"];

const WORKERS: usize = 6;

const CLIENTS: usize = 26;

/// Number of times that a worker becomes cold, and the time between two of them.
const ROUNDS: usize = 6;
const ROUND: Duration = Duration::from_secs(4);

/// Requests that a cold worker may get in a second: `warmup_per_s` x `cold_over` + `cold_slack`.
const BOUND: f64 = WARM_UP_PER_S * 1.5 + 8.0;

/// Requests in a second at which a cold worker crashes.
const CRASH_RATE: f64 = 1.4 * BOUND;

pub fn run(input: &CaseInput) -> Verdict {
    let folder = TempFolder::create("cold");
    let store = Store::start();
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|index| {
            let options = WorkerOptions {
                id: format!("i-kaha-{index}"),
                service: "kaha".into(),
                zone: ZONES[index % ZONES.len()].into(),
                slots: 4,
                queue: 4,
                work: Duration::from_millis(80),
                spread: 0.5,
                round_trip: Duration::from_millis(1),
                keep_alive_s: 10,
                on_full: OnFull::Shed,
                tells_load: false,
                answer_bytes: 0,
                late_copies: 0.0,
            };
            Worker::start_with(options, CRASH_RATE, &input.record)
        })
        .collect();
    let route = Route {
        prefix: "/deposito/".into(),
        kind: "non_idempotent",
        service: "kaha".into(),
        timeout_s: 2.0,
        target_s: 0.4,
        max_attempts: 2,
    };
    write_config_with(&store, &[route], true);
    let stop = Arc::new(AtomicBool::new(false));
    keep_registered(&store, &workers, &stop);
    let vms = start_vms(&input.daemon, &folder.0, &store, &ZONES);
    if !wait_ready(&vms) {
        return Verdict::NotRun("an entry VM did not become ready".into());
    }
    let balancer = Balancer::new(&vms);
    let is_over = AtomicBool::new(false);
    let cold = std::thread::scope(|scope| {
        let (balancer, vms, is_over) = (&balancer, &vms, &is_over);
        for client in 0..CLIENTS {
            scope.spawn(move || {
                let random = Random::new();
                while !is_over.load(Ordering::Relaxed) {
                    let vm = balancer.choose(vms, ZONES[client % ZONES.len()], &random);
                    let (method, path, vm_name) = ("POST", "/deposito/2f", vm.name.as_str());
                    let deadline = Duration::from_secs(2);
                    let attempt = Attempt { vm: vm.callers, vm_name, method, path, deadline };
                    send(&input.record, &attempt);
                    std::thread::sleep(Duration::from_secs_f64(0.1 * random.next()));
                }
            });
        }
        std::thread::sleep(ROUND);
        let random = Random::new();
        let mut cold = Vec::new();
        for round in 0..ROUNDS {
            // At any time of its heartbeat.
            std::thread::sleep(ROUND.mul_f64(0.9 + 0.2 * random.next()));
            let worker = &workers[round % WORKERS];
            let at = input.record.now();
            if input.has_trouble {
                worker.become_cold(Duration::from_secs_f64(WARM_UP_S));
                input.record.note(&format!("{} is cold again", worker.options.id));
            }
            cold.push((at, worker.options.id.clone()));
            std::thread::sleep(Duration::from_secs(2));
            if worker.has_crashed() {
                break;
            }
        }
        std::thread::sleep(ROUND);
        is_over.store(true, Ordering::Relaxed);
        cold
    });
    stop.store(true, Ordering::Relaxed);
    judge(input, &cold)
}

/// FAILBACK: requests at a cold worker in any second, sent and arrived inside that second.
fn judge(input: &CaseInput, cold: &[(f64, String)]) -> Verdict {
    let requests = input.record.requests();
    let answered = requests.values().filter(|request| request.status == Some(200)).count();
    let mut most = Vec::new();
    let mut usual = 0;
    for (at, worker) in cold {
        let count_in = |from: f64, to: f64| {
            let mut times: Vec<(f64, f64)> = requests
                .values()
                .flat_map(|request| {
                    request.arrivals.iter().map(|arrival| (request.sent_at, arrival))
                })
                .filter(|(_, (id, arrived_at))| {
                    id == worker && *arrived_at >= from && *arrived_at < to
                })
                .map(|(sent_at, (_, arrived_at))| (sent_at, *arrived_at))
                .collect();
            times.sort_by(|one, other| one.1.total_cmp(&other.1));
            let windows = times.iter().map(|(_, end)| {
                let is_inside = |(sent_at, arrived_at): &&(f64, f64)| {
                    *sent_at > end - 1.0 && *sent_at >= from && arrived_at <= end
                };
                times.iter().filter(is_inside).count()
            });
            windows.max().unwrap_or(0)
        };
        most.push(count_in(*at, at + WARM_UP_S));
        usual = usual.max(count_in(at - 2.0, *at));
    }
    let is_checked = input.has_trouble;
    let broken_off = requests
        .values()
        .filter(|request| request.status == Some(502) && !request.runs.is_empty())
        .count();
    let over = most.iter().filter(|count| **count as f64 > BOUND).count();
    let text = format!(
        "{} requests, {answered} answered 200; most requests in a second at a worker while it was cold: \
         {most:?}, allowed {BOUND:.2}; at a warm worker: {usual}; \
         orders that ran and were answered 502: {broken_off}",
        requests.len()
    );
    if answered < 1_000 {
        return Verdict::NotRun(text);
    }
    match over > 0 && is_checked {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
