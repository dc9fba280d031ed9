//! Workers become cold again while they are in use.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::fleet::{
    Clients, Fleet, Sent, outcome_counts, put_config, worker_options, worst_second,
};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

const SERVICE: &str = "ukit";

/// `warmup_s` of the configuration.
const COLD_TIME: Duration = Duration::from_secs(3);

/// `warmup_per_s` x `cold_over` + `cold_slack` of the configuration and the settings.
const MAX_PER_SECOND: f64 = 4.1 * 1.5 + 8.0;

/// Requests in one second at which a cold worker crashes: "a rate well above" `warmup_per_s`. A
/// system that keeps the bound never gets there.
const CRASH_PER_SECOND: usize = 20;

/// Time that the deployment runs before the first worker becomes cold.
const WARM_TIME: Duration = Duration::from_secs(8);

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_secs(8);

/// Time since the worker's last heartbeat at which it becomes cold.
const TIME_SINCE_BEAT: Duration = Duration::from_millis(200);

pub struct ColdCase {
    /// Whether the workers tell their load in their responses.
    pub tells_load: bool,
    pub workers: usize,
    /// Requests per second and worker.
    pub per_worker: f64,
    pub events: usize,
}

pub fn run(record: &Record, has_trouble: bool, case: &ColdCase) -> u8 {
    let store = Store::start();
    put_config(&store, 1, SERVICE);
    let workers = (0..case.workers).map(|number| {
        let mut options = worker_options(&format!("i-{number}"), SERVICE, case.tells_load);
        options.crash_per_s = CRASH_PER_SECOND;
        Worker::start(&store, options)
    });
    let workers = workers.collect();
    let Some(fleet) = Fleet::start(&store, workers, 6) else {
        record.line("the daemons did not start");
        return 2;
    };
    record.line("all daemons are ready");
    let per_s = case.per_worker * case.workers as f64;
    let deadline = Duration::from_secs(4);
    let clients = Clients::start(&fleet.daemons, "r", "POST", "/order/", per_s, deadline);
    std::thread::sleep(WARM_TIME);
    let mut events: Vec<(usize, Instant, u64)> = Vec::new();
    for event in 0..case.events {
        let number = event % case.workers;
        let worker = &fleet.workers[number];
        while worker.last_beat_at().elapsed() > TIME_SINCE_BEAT {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(TIME_SINCE_BEAT.saturating_sub(worker.last_beat_at().elapsed()));
        let checks = worker.health_checks.load(Ordering::SeqCst);
        events.push((number, Instant::now(), checks));
        if has_trouble {
            worker.become_cold(COLD_TIME);
            record.line(format!("i-{number} became cold for {} s", COLD_TIME.as_secs()));
        }
        std::thread::sleep(COLD_TIME);
        let checks = worker.health_checks.load(Ordering::SeqCst) - checks;
        record.line(format!(
            "i-{number} got {checks} health checks in these {} s",
            COLD_TIME.as_secs()
        ));
        if worker.is_down() {
            break;
        }
        std::thread::sleep(EVENT_INTERVAL - COLD_TIME);
    }
    let sent = clients.end();
    write_requests(record, &fleet, &sent);
    let mut worst = 0;
    for (number, from, _) in &events {
        let worker = &fleet.workers[*number];
        let (count, start) = worst_second(worker, &sent, *from, *from + COLD_TIME);
        let start = start.duration_since(record.started_at).as_secs_f64();
        worst = worst.max(count);
        let text = format!(
            "i-{number}: {count} requests were sent and arrived in the second from {start:.3} on; allowed while it is cold: {MAX_PER_SECOND:.2}; crashed: {}",
            worker.is_down()
        );
        record.line(&text);
        println!("{text}");
    }
    let lost = lost_runs(&fleet, &sent);
    let text =
        format!("answers: {}; orders that ran and got no 200: {lost}", outcome_counts(&sent));
    record.line(&text);
    println!("{text}");
    u8::from(has_trouble && worst as f64 > MAX_PER_SECOND)
}

/// Number of requests that a worker began to run and whose client got no success.
fn lost_runs(fleet: &Fleet, sent: &[Sent]) -> usize {
    let failed: Vec<&str> = sent
        .iter()
        .filter(|request| request.status != 200)
        .map(|request| request.id.as_str())
        .collect();
    let arrivals = fleet.workers.iter().flat_map(|worker| worker.arrivals());
    arrivals.filter(|arrival| arrival.ran && failed.contains(&arrival.id.as_str())).count()
}

fn write_requests(record: &Record, fleet: &Fleet, sent: &[Sent]) {
    let seconds = |at: Instant| at.duration_since(record.started_at).as_secs_f64();
    for worker in &fleet.workers {
        for arrival in worker.arrivals() {
            let (id, ran) = (&arrival.id, arrival.ran);
            record.line(format!(
                "{} got {id} at {:.3}, ran: {ran}",
                worker.options.id,
                seconds(arrival.at)
            ));
        }
    }
    for request in sent {
        let (id, status) = (&request.id, request.status);
        record.line(format!("client sent {id} at {:.3}, answer: {status}", seconds(request.at)));
    }
}
