//! Some workers send late copies of a few of their answers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{send, Attempt};
use crate::fleet::{keep_registered, start_vms, wait_ready, write_config, Route, TempFolder, Vm};
use crate::random::Random;
use crate::store::Store;
use crate::worker::{OnFull, Worker, WorkerOptions};
use crate::{CaseInput, Verdict};

/// Services, each with one worker.
const SERVICES: [&str; 16] = [
    "kaha", "ukit", "patunay", "talaan", "orden", "deposito", "larawan", "resibo", "bayad",
    "libro", "bato", "lapida", "lagda", "sulat", "tala", "ulat",
];

/// Share of the workers that send late copies, and share of their answers that they send twice.
const FAULTY_WORKERS: f64 = 0.5;
const LATE_COPIES: f64 = 0.03;

/// Times for which workers send late copies, one after the other with a pause.
const WINDOWS: u32 = 8;
const WINDOW: Duration = Duration::from_secs(5);
const WINDOW_PAUSE: Duration = Duration::from_millis(1_500);

/// Requests that arrive for a service at an entry VM at nearly the same time.
const BURST: usize = 10;

/// Time over which the requests of a burst are spread, in seconds.
const BURST_SPREAD_S: f64 = 0.03;

/// Pause after a burst, in seconds.
const PAUSE_S: f64 = 2.2;

pub fn run(input: &CaseInput) -> Verdict {
    let folder = TempFolder::create("late-copy");
    let store = Store::start();
    let faulty = (SERVICES.len() as f64 * FAULTY_WORKERS) as usize;
    let workers: Vec<Arc<Worker>> = SERVICES
        .iter()
        .enumerate()
        .map(|(index, service)| {
            let is_faulty = input.has_trouble && index < faulty;
            let options = WorkerOptions {
                id: format!("i-{service}-1"),
                service: (*service).into(),
                zone: ["maynila", "pampanga", "batangas"][index % 3].into(),
                slots: 4,
                queue: 0,
                work: Duration::from_millis(20),
                spread: 0.5,
                round_trip: Duration::from_millis(1),
                keep_alive_s: 3,
                on_full: OnFull::Shed,
                tells_load: false,
                answer_bytes: 0,
                late_copies: if is_faulty { LATE_COPIES } else { 0.0 },
            };
            Worker::start(options, &input.record)
        })
        .collect();
    let routes = SERVICES.map(|service| Route {
        prefix: format!("/{service}/"),
        kind: "non_idempotent",
        service: service.into(),
        timeout_s: 2.0,
        target_s: 0.8,
        max_attempts: 2,
    });
    write_config(&store, &routes);
    let stop = Arc::new(AtomicBool::new(false));
    keep_registered(&store, &workers, &stop);
    let zones = ["maynila", "pampanga", "batangas"];
    let vms = start_vms(&input.daemon, &folder.0, &store, &zones);
    if !wait_ready(&vms) {
        return Verdict::NotRun("an entry VM did not become ready".into());
    }
    let until = Instant::now() + (WINDOW + WINDOW_PAUSE) * WINDOWS;
    std::thread::scope(|scope| {
        let workers = &workers;
        scope.spawn(move || {
            let set = |is_garbling: bool| {
                workers
                    .iter()
                    .for_each(|worker| worker.is_garbling.store(is_garbling, Ordering::Relaxed));
            };
            for window in 1..=WINDOWS {
                input.record.note(&format!("garble {window} begins"));
                set(true);
                std::thread::sleep(WINDOW);
                set(false);
                input.record.note(&format!("garble {window} ends"));
                std::thread::sleep(WINDOW_PAUSE);
            }
        });
        for vm in &vms {
            for service in SERVICES {
                scope.spawn(move || send_bursts(input, vm, service, until));
            }
        }
    });
    std::thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    judge(input, &workers)
}

fn send_bursts(input: &CaseInput, vm: &Vm, service: &str, until: Instant) {
    let random = Random::new();
    let pause = |seconds: f64| std::thread::sleep(Duration::from_secs_f64(seconds));
    pause(random.next() * PAUSE_S);
    let path = format!("/{service}/2f");
    while Instant::now() < until {
        std::thread::scope(|scope| {
            for _ in 0..BURST {
                let (random, path) = (&random, &path);
                scope.spawn(move || {
                    pause(random.next() * BURST_SPREAD_S);
                    let deadline = Duration::from_millis(2_000);
                    let (method, vm_name) = ("POST", vm.name.as_str());
                    let attempt = Attempt { vm: vm.callers, vm_name, method, path, deadline };
                    send(&input.record, &attempt)
                });
            }
        });
        pause(PAUSE_S);
    }
}

fn judge(input: &CaseInput, workers: &[Arc<Worker>]) -> Verdict {
    let requests = input.record.requests();
    let mut twice = Vec::new();
    let mut refused = Vec::new();
    for (id, request) in &requests {
        if request.runs.len() > 1 {
            twice.push(id.as_str());
        }
        if request.status.is_some_and(|status| [408, 421, 429, 503].contains(&status))
            && !request.runs.is_empty()
        {
            refused.push(id.as_str());
        }
    }
    let ok = requests.values().filter(|request| request.status == Some(200)).count();
    let copies: u64 = workers.iter().map(|worker| worker.copies.load(Ordering::Relaxed)).sum();
    let text = format!(
        "{} requests, {ok} answered 200, {copies} late copies; run more than once: {} {:?}; \
         answered 503 or alike and run: {} {:?}",
        requests.len(),
        twice.len(),
        &twice[..twice.len().min(3)],
        refused.len(),
        &refused[..refused.len().min(3)]
    );
    if requests.len() < 100 || ok == 0 {
        return Verdict::NotRun(text);
    }
    match twice.is_empty() && refused.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
