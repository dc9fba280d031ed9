//! Entry VMs are stopped and started in turn while some requests wait at workers that never respond
//! to a request that they can't queue.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{send, Attempt};
use crate::fleet::{
    keep_registered, start_vms, wait_ready, write_config, Balancer, Route, TempFolder, Vm, GRACE_S,
    SIGTERM,
};
use crate::random::Random;
use crate::store::Store;
use crate::worker::{OnFull, Worker, WorkerOptions};
use crate::{CaseInput, Verdict};

const ZONES: [&str; 4] = ["dewan-a", "dewan-a", "dewan-b", "dewan-b"];

const WORKERS: usize = 3;

/// Clients that send one request after the other.
const CLIENTS: usize = 32;

const DEADLINE: Duration = Duration::from_secs(8);

const TIMEOUT_S: f64 = 6.0;

/// Time before the first SIGTERM.
const START: Duration = Duration::from_secs(6);

/// Time of a SIGTERM, in seconds since the start of the record, and its VM.
type Stop = (f64, String);

pub fn run(input: &CaseInput) -> Verdict {
    let folder = TempFolder::create("shutdown");
    let store = Store::start();
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|index| {
            let options = WorkerOptions {
                id: format!("i-pesanan-{index}"),
                service: "pesanan".into(),
                zone: ZONES[index].into(),
                slots: 4,
                queue: 1,
                work: Duration::from_millis(370),
                spread: 0.5,
                round_trip: Duration::from_millis(1),
                keep_alive_s: 10,
                on_full: OnFull::Hang,
                tells_load: true,
                answer_bytes: 0,
                late_copies: 0.0,
            };
            Worker::start(options, &input.record)
        })
        .collect();
    let route = Route {
        prefix: "/confirm/".into(),
        kind: "non_idempotent",
        service: "pesanan".into(),
        timeout_s: TIMEOUT_S,
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
                    let (method, path, vm_name) = ("POST", "/confirm/2f", vm.name.as_str());
                    let attempt =
                        Attempt { vm: vm.callers, vm_name, method, path, deadline: DEADLINE };
                    send(&input.record, &attempt);
                    std::thread::sleep(Duration::from_secs_f64(0.2 * random.next()));
                }
            });
        }
        std::thread::sleep(START);
        let stops = stop_in_turn(input, vms);
        is_over.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_secs(1));
        has_ended.store(true, Ordering::Relaxed);
        stops
    });
    stop.store(true, Ordering::Relaxed);
    match stops {
        Some(stops) => judge(input, &stops),
        None => Verdict::NotRun("an entry VM did not start again".into()),
    }
}

/// Sends SIGTERM to one VM after the other, kills those that run beyond the grace time, and starts
/// them again.
fn stop_in_turn(input: &CaseInput, vms: &[Vm]) -> Option<Vec<Stop>> {
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
        std::thread::sleep(Duration::from_secs(3));
    }
    Some(stops)
}

/// LOST: a whole request was read and passed on to a worker, and its connection ends without an answer
/// around a SIGTERM. Not counted are those whose deadline or timeout was reached, and those at which a
/// worker works, or which a worker ran and broke off.
fn judge(input: &CaseInput, stops: &[Stop]) -> Verdict {
    let requests = input.record.requests();
    let mut lost = Vec::new();
    let (mut running, mut answered, mut hanging) = (0, 0, 0);
    for (id, request) in &requests {
        answered += u32::from(request.status == Some(200));
        let is_silent = !request.arrivals.is_empty() && request.runs.is_empty();
        hanging += u32::from(is_silent);
        if request.status != Some(0) {
            continue;
        }
        let limit = request.sent_at + TIMEOUT_S.min(DEADLINE.as_secs_f64());
        let is_planned = stops.iter().any(|(at, vm)| {
            *vm == request.vm && request.ended_at > *at && request.ended_at < at + GRACE_S + 1.0
        });
        if !is_planned || request.ended_at > limit - 0.05 {
            continue;
        }
        match is_silent {
            true => lost.push(format!("{id} after {:.2} s", request.ended_at - request.sent_at)),
            false => running += 1,
        }
    }
    let text = format!(
        "{} requests, {answered} answered 200, {hanging} passed on and not run; ended without an \
         answer around a SIGTERM before their deadline and timeout: {} that no worker ran {:?}, \
         {running} others",
        requests.len(),
        lost.len(),
        &lost[..lost.len().min(3)]
    );
    if answered < 100 {
        return Verdict::NotRun(text);
    }
    match lost.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
