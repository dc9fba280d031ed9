//! Two of a zone's three entry VMs are stopped at the same time while clients open many connections.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{send, Attempt};
use crate::fleet::{
    keep_registered, start_vms, wait_ready, write_config, Balancer, Route, TempFolder, GRACE_S,
    SIGTERM,
};
use crate::random::Random;
use crate::store::Store;
use crate::worker::{OnFull, Worker, WorkerOptions};
use crate::{CaseInput, Verdict};

const ZONE: &str = "dewan-a";
const VMS: usize = 3;

/// Number of VMs that get SIGTERM at the same time.
const STOPPED: usize = 2;

const ROUNDS: usize = 4;

/// Clients of look-ups and of orders, which send one request after the other.
const LOOKUP_CLIENTS: usize = 48;
const ORDER_CLIENTS: usize = 90;

const ORDER_WORK: Duration = Duration::from_millis(3_000);
const ORDER_DEADLINE: Duration = Duration::from_secs(8);
const ORDER_TIMEOUT_S: f64 = 6.0;

/// Time after its SIGTERM from which a VM may break off no request that is sent to it, in seconds.
const EXCUSED_S: f64 = 3.0;

pub fn run(input: &CaseInput) -> Verdict {
    let folder = TempFolder::create("late-accept");
    let store = Store::start();
    let worker = |service: &str, index: usize, work: Duration| {
        let options = WorkerOptions {
            id: format!("i-{service}-{index}"),
            service: service.into(),
            zone: ZONE.into(),
            slots: 4,
            queue: 16,
            work,
            spread: 0.2,
            round_trip: Duration::from_millis(1),
            keep_alive_s: 10,
            on_full: OnFull::Shed,
            tells_load: true,
            answer_bytes: 0,
            late_copies: 0.0,
        };
        Worker::start(options, &input.record)
    };
    let lookups = (0..6).map(|index| worker("stokbaca", index, Duration::from_millis(8)));
    let orders = (0..26).map(|index| worker("pesanan", index, ORDER_WORK));
    let workers: Vec<Arc<Worker>> = lookups.chain(orders).collect();
    let route = |name: &str, kind: &'static str, timeout_s: f64, target_s: f64| Route {
        prefix: format!("/{name}/"),
        kind,
        service: name.into(),
        timeout_s,
        target_s,
        max_attempts: 2,
    };
    let routes = [
        route("stokbaca", "idempotent", 3.0, 0.8),
        route("pesanan", "non_idempotent", ORDER_TIMEOUT_S, 4.0),
    ];
    write_config(&store, &routes);
    let stop = Arc::new(AtomicBool::new(false));
    keep_registered(&store, &workers, &stop);
    let vms = start_vms(&input.daemon, &folder.0, &store, &[ZONE; VMS]);
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
        for client in 0..LOOKUP_CLIENTS + ORDER_CLIENTS {
            scope.spawn(move || {
                let random = Random::new();
                let (method, path, deadline) = match client < LOOKUP_CLIENTS {
                    true => ("GET", "/stokbaca/2f", Duration::from_secs(6)),
                    false => ("POST", "/pesanan/2f", ORDER_DEADLINE),
                };
                while !is_over.load(Ordering::Relaxed) {
                    let vm = balancer.choose(vms, ZONE, &random);
                    let vm_name = vm.name.as_str();
                    let attempt = Attempt { vm: vm.callers, vm_name, method, path, deadline };
                    send(&input.record, &attempt);
                    std::thread::sleep(Duration::from_secs_f64(0.02 * random.next()));
                }
            });
        }
        std::thread::sleep(Duration::from_secs(5));
        let mut stops = Vec::new();
        for round in 0..ROUNDS {
            if !input.has_trouble {
                std::thread::sleep(Duration::from_secs(10));
                continue;
            }
            let stopped: Vec<_> = (0..STOPPED).map(|index| &vms[(round + index) % VMS]).collect();
            let stopped_at = Instant::now();
            for vm in &stopped {
                stops.push((input.record.now(), vm.name.clone()));
                input.record.note(&format!("SIGTERM to {}", vm.name));
                vm.signal(SIGTERM);
            }
            while stopped.iter().any(|vm| vm.is_running())
                && stopped_at.elapsed().as_secs_f64() < GRACE_S
            {
                std::thread::sleep(Duration::from_millis(10));
            }
            input.record.note("both have ended");
            stopped.iter().for_each(|vm| vm.restart());
            if !wait_ready(vms) {
                return None;
            }
            std::thread::sleep(Duration::from_secs(4));
        }
        is_over.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_secs(4));
        has_ended.store(true, Ordering::Relaxed);
        Some(stops)
    });
    stop.store(true, Ordering::Relaxed);
    match stops {
        Some(stops) => judge(input, &stops),
        None => Verdict::NotRun("an entry VM did not start again".into()),
    }
}

/// LOST, for requests that were sent more than 3 s after the SIGTERM: no work of a worker excuses them.
fn judge(input: &CaseInput, stops: &[(f64, String)]) -> Verdict {
    let requests = input.record.requests();
    let (mut answered, mut excused, mut late) = (0, 0, 0);
    let mut lost = Vec::new();
    for (id, request) in &requests {
        answered += u32::from(request.status == Some(200));
        let stop = stops.iter().find(|(at, vm)| {
            *vm == request.vm && request.sent_at > *at && request.sent_at < at + GRACE_S
        });
        let Some((stopped_at, _)) = stop else {
            continue;
        };
        let is_late = request.sent_at > stopped_at + EXCUSED_S + 0.02;
        late += u32::from(is_late && request.status == Some(200));
        let limit = request.sent_at + ORDER_TIMEOUT_S.min(ORDER_DEADLINE.as_secs_f64());
        let is_cut = request.status == Some(0)
            && !request.runs.is_empty()
            && request.ended_at < limit - 0.05
            && request.ended_at < stopped_at + GRACE_S + 1.0;
        match is_cut && is_late {
            true => lost.push(format!(
                "{id} sent {:.2} s after the SIGTERM, cut after {:.2} s",
                request.sent_at - stopped_at,
                request.ended_at - request.sent_at
            )),
            false => excused += u32::from(is_cut),
        }
    }
    let text = format!(
        "{} requests, {answered} answered 200; sent more than 3 s after the SIGTERM of their VM: {late} \
         answered 200, {} cut while a worker ran them {:?}; sent before and cut: {excused}",
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
