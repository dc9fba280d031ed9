//! All entry VMs lose power right after a configuration was acknowledged. Those that the settings name
//! as seeds never come back. Are the requests of client accounts served again?

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Route, config, connect, keyed_request_head, request_id};
use crate::daemon::{Fleet, RECOVERY_S};
use crate::http::Reader;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Exchange, Next, Worker};

const VMS: usize = 5;
const SEEDS: usize = 3;
const WORKERS: usize = 8;
const SLOTS: usize = 3;
const RUN_TIME: Duration = Duration::from_millis(60);

/// Client accounts with the quota of the example of `fleetbench wire`. All of them together send 60
/// requests a second, an eighth of their quotas.
const ACCOUNTS: [(&str, &str); 3] =
    [("yefi830", "rjvz48wuakn2ftimaj3n"), ("seba162", "r26tta828m82thhkmgjq"), ("ziny151", "k3")];
const QUOTA_PER_S: u32 = 153;
const REQUESTS_PER_S: f64 = 60.0;

const TIME_BEFORE: Duration = Duration::from_secs(5);
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Time after the fault at which the settings name seeds that run (`seed_lag_s`).
const SEED_LAG: Duration = Duration::from_secs(3);

/// Time for which requests are judged, from the end of the recovery time on.
const JUDGED_TIME: Duration = Duration::from_secs(10);

const DEADLINE_MS: u64 = 2_500;

/// Smallest part of the requests that must be served.
const MIN_SERVED: f64 = 0.25;

/// Requests of one phase.
#[derive(Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn ratio(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    let routes = [Route {
        prefix: "/lepu270/",
        kind: "idempotent",
        service: "kotvisko",
        timeout_s: 2.5,
        target_s: 0.6,
    }];
    let accounts: Vec<String> = ACCOUNTS
        .iter()
        .map(|(name, key)| {
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":0,\
                 \"rate_per_s\":{QUOTA_PER_S},\"burst\":{QUOTA_PER_S}}}"
            )
        })
        .collect();
    let accounts = format!("[{}]", accounts.join(","));
    store.put("op", "config", &config(1, &routes, &accounts));
    for number in 1..=WORKERS {
        let record = record.clone();
        let handler =
            move |worker: &Worker, exchange: &mut Exchange| handle(worker, exchange, &record);
        Worker::start(&store, &format!("i-{number:08x}"), "kotvisko", SLOTS, Box::new(handler))
            .map_err(|error| error.to_string())?;
    }
    let mut fleet = Fleet::start(&store, VMS)?;
    record.line("the VMs are ready");
    let all: Vec<usize> = (0..VMS).collect();
    let before = send_for(TIME_BEFORE, &fleet, &all, record);
    record.line(&format!("before the fault: {} of {} served", before.served, before.sent));

    store.put("op", "config", &config(2, &routes, &accounts));
    all.iter().for_each(|index| fleet.kill(*index));
    record.line("a configuration was acknowledged; all VMs have lost power");
    let fault_at = record.now();
    thread::sleep(DOWN_TIME);
    let back: Vec<usize> = if has_trouble { (SEEDS..VMS).collect() } else { all };
    for index in &back {
        fleet.restart(*index)?;
        record.line(&format!("VM {} is back and ready", index + 1));
    }
    let back_at = record.now();
    thread::sleep((fault_at + SEED_LAG).saturating_sub(record.now()));
    if has_trouble {
        fleet.change_seeds(&back)?;
        record.line("the settings of the VMs that run name these as seeds; SIGHUP sent");
    }
    let recovered_at = back_at + Duration::from_secs(RECOVERY_S);
    let recovering = send_for(recovered_at.saturating_sub(record.now()), &fleet, &back, record);
    record.line(&format!(
        "in the {RECOVERY_S} s after: {} of {} served",
        recovering.served, recovering.sent
    ));
    let after = send_for(JUDGED_TIME, &fleet, &back, record);
    record.line(&format!("later than that: {} of {} served", after.served, after.sent));
    if !fleet.is_running() {
        return Err("a daemon has ended".into());
    }
    if before.ratio() < MIN_SERVED {
        return Err("too few requests were served before the fault".into());
    }
    Ok(if after.ratio() < MIN_SERVED { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests of all accounts to the VMs in turn, each on a new connection.
fn send_for(time: Duration, fleet: &Fleet, vms: &[usize], record: &Record) -> Count {
    let until = record.now() + time;
    let mut clients = Vec::new();
    let served = Arc::new(Mutex::new(0));
    while record.now() < until {
        let index = clients.len();
        let front = fleet.front(vms[index % vms.len()]);
        let (_, key) = ACCOUNTS[index % ACCOUNTS.len()];
        let (served, record) = (Arc::clone(&served), record.clone());
        clients.push(thread::spawn(move || {
            if is_served(front, key, &record).unwrap_or(false) {
                *served.lock().unwrap() += 1;
            }
        }));
        thread::sleep(Duration::from_secs_f64(1.0 / REQUESTS_PER_S));
    }
    let sent = clients.len();
    // A client that panicked was not served.
    clients.into_iter().for_each(|client| drop(client.join()));
    let served = *served.lock().unwrap();
    Count { sent, served }
}

fn is_served(front: SocketAddr, key: &str, record: &Record) -> std::io::Result<bool> {
    let id = request_id();
    record.line(&format!("client {id}: sends to {front}"));
    let mut stream = connect(front)?;
    let head = keyed_request_head("GET", "/lepu270/2f", &id, DEADLINE_MS, 0, Some(key));
    stream.write_all(head.as_bytes())?;
    let mut reader = Reader::new(stream);
    reader.set_timeout(Duration::from_millis(DEADLINE_MS + 1_000))?;
    let response = reader.response()?;
    record.line(&format!("client {id}: {}", response.head.start_line));
    Ok(response.head.status() == 200)
}

fn handle(worker: &Worker, exchange: &mut Exchange, record: &Record) -> std::io::Result<Next> {
    let head = exchange.head.clone();
    exchange.reader.body(&head)?;
    let slot = worker.slot();
    record.line(&format!("worker {} {}: runs it", worker.id, exchange.request_id));
    thread::sleep(RUN_TIME);
    drop(slot);
    let answer = worker.success_head(&exchange.request_id, 2) + "ok";
    exchange.stream.write_all(answer.as_bytes())?;
    Ok(Next::Continue)
}
