//! The measurements: real daemons as processes against the platform stand-in.

use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};
use store::{ServerEntry, ServerState};
use testkit::{
    BackendBehaviour, CallRequest, FLEET_KEY, ProcessUsage, TestFleet, TestService, account_record,
    call, policy_record, read_metric, service_record,
};
use tokio::time::{Instant, interval, sleep};

use crate::SlopeSeries;

const DAEMON: &str = "target/release/mustardraild";

/// Time from the last change to the beginning of a measurement.
const SETTLE: Duration = Duration::from_secs(4);

/// Length of a measurement.
const WINDOW: Duration = Duration::from_secs(8);

/// What one daemon's control costs in a window, a second.
#[derive(Debug, Clone, Copy)]
struct ControlCost {
    /// Percent of a core.
    cpu_percent: f64,
    /// Bytes to and from peers.
    peer_bytes: f64,
    /// Bytes to and from table and list.
    platform_bytes: f64,
    /// Resident memory in MB.
    resident_mb: f64,
    table_reads: f64,
    table_commits: f64,
}

/// All measurements, or the one with a name.
pub(crate) async fn all(only: Option<&str>) -> Vec<SlopeSeries> {
    let mut all = Vec::new();
    let wants = |name: &str| only.is_none_or(|only| only == name);
    if wants("vms") {
        all.extend(entry_vms().await);
    }
    if wants("workers") {
        all.extend(workers().await);
    }
    if wants("services") {
        all.extend(services().await);
    }
    if wants("accounts") {
        all.extend(accounts().await);
    }
    if wants("changes") {
        all.extend(changes().await);
    }
    if wants("claims") {
        all.extend(claims().await);
    }
    all
}

async fn cost(fleet: &TestFleet, window: Duration) -> ControlCost {
    let daemon = &fleet.daemons[0];
    let names = [
        "mustardrail_control_cpu_seconds",
        "mustardrail_peer_bytes_total",
        "mustardrail_table_reads_total",
        "mustardrail_table_commits_total",
        "mustardrail_platform_bytes_total",
    ];
    let mut before = [0.0; 5];
    for (value, name) in before.iter_mut().zip(names) {
        *value = read_metric(daemon.operators, name).await;
    }
    let begun_at = Instant::now();
    sleep(window).await;
    let mut rates = [0.0; 5];
    for ((rate, name), before) in rates.iter_mut().zip(names).zip(before) {
        let now = read_metric(daemon.operators, name).await;
        *rate = (now - before) / begun_at.elapsed().as_secs_f64();
    }
    ControlCost {
        cpu_percent: rates[0] * 100.0,
        peer_bytes: rates[1],
        table_reads: rates[2],
        table_commits: rates[3],
        platform_bytes: rates[4],
        resident_mb: ProcessUsage::read(daemon.id()).resident_bytes as f64 / 1e6,
    }
}

/// A name and the part of the cost that it names.
type CostEffect = (&'static str, fn(&ControlCost) -> f64);

fn series(
    cause: &'static str,
    points: &[(f64, ControlCost)],
    effects: &[CostEffect],
) -> Vec<SlopeSeries> {
    effects
        .iter()
        .map(|(effect, measure)| SlopeSeries {
            cause: cause.into(),
            effect: (*effect).into(),
            points: points.iter().map(|(x, cost)| (*x, measure(cost))).collect(),
        })
        .collect()
}

async fn entry_vms() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [2, 5, 10, 20, 40] {
        let mut fleet = TestFleet::without_daemons(Path::new(DAEMON)).await;
        for _ in 0..count {
            fleet.add_daemon(&json!({ "fleet_slots": 64, "log_level": "error" }));
        }
        fleet.wait_members(count).await;
        sleep(SETTLE).await;
        points.push((count as f64, cost(&fleet, WINDOW).await));
    }
    series(
        "entry VMs",
        &points,
        &[
            ("control cpu, % of a core", |cost| cost.cpu_percent),
            ("peer bytes/s", |cost| cost.peer_bytes),
            ("platform bytes/s", |cost| cost.platform_bytes),
            ("resident MB", |cost| cost.resident_mb),
            ("table reads/s", |cost| cost.table_reads),
            ("table commits/s", |cost| cost.table_commits),
        ],
    )
}

fn listed(count: usize) -> Vec<ServerEntry> {
    (0..count)
        .map(|number| ServerEntry {
            id: format!("worker-{number}").parse().expect("the name is valid"),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone-a".parse().expect("the name is valid"),
            account: "shop".parse().expect("the name is valid"),
            group: format!("group-{}", number % 20).parse().expect("the name is valid"),
            state: ServerState::Live,
        })
        .collect()
}

/// The list changes once a second, which is far more often than planned.
async fn workers() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [100, 1_000, 2_500, 4_800] {
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        put_services(&fleet, 20).await;
        let mut entries = listed(count);
        fleet.platform.set_servers(entries.clone());
        sleep(SETTLE).await;
        let changing = async {
            let mut ticks = interval(Duration::from_secs(1));
            for number in 0..WINDOW.as_secs() as usize {
                ticks.tick().await;
                let id = format!("replaced-{number}");
                entries[number].id = id.parse().expect("the name is valid");
                fleet.platform.set_servers(entries.clone());
            }
        };
        let (cost, ()) = tokio::join!(cost(&fleet, WINDOW), changing);
        points.push((count as f64, cost));
    }
    series(
        "workers",
        &points,
        &[
            ("control cpu with a list change a second, % of a core", |cost| cost.cpu_percent),
            ("resident MB with that list", |cost| cost.resident_mb),
            ("platform bytes/s with a list change a second", |cost| cost.platform_bytes),
        ],
    )
}

async fn put_services(fleet: &TestFleet, count: usize) {
    fleet.put_record(&account_record("shop", &["shop.test"])).await;
    for number in 0..count {
        fleet.put_record(&service_record("shop", &format!("group-{number}"), &Value::Null)).await;
    }
    let rules: Vec<Value> = (0..count.min(250))
        .map(|number| {
            json!({
                "host": "shop.test",
                "path_prefix": format!("/{number}"),
                "service": format!("group-{number}"),
            })
        })
        .collect();
    fleet.put_record(&policy_record("shop", "front", &json!(rules))).await;
}

async fn services() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [20, 70, 130, 190] {
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        put_services(&fleet, count).await;
        fleet.platform.set_servers(listed(100));
        sleep(SETTLE).await;
        points.push((count as f64, cost(&fleet, WINDOW).await));
    }
    series(
        "services",
        &points,
        &[
            ("control cpu, % of a core, by services", |cost| cost.cpu_percent),
            ("resident MB by services", |cost| cost.resident_mb),
        ],
    )
}

async fn accounts() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [25, 100, 200, 400] {
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        for number in 0..count {
            let account = format!("account-{number}");
            fleet.put_record(&account_record(&account, &[&format!("{account}.test")])).await;
        }
        sleep(SETTLE).await;
        points.push((f64::from(count), cost(&fleet, WINDOW).await));
    }
    series(
        "accounts",
        &points,
        &[
            ("control cpu, % of a core, by accounts", |cost| cost.cpu_percent),
            ("resident MB by accounts", |cost| cost.resident_mb),
        ],
    )
}

/// Changes at a fleet of five with 100 records; the observed daemon learns of them from a peer.
async fn changes() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [0_u32, 10, 20, 40] {
        let mut fleet = TestFleet::start(Path::new(DAEMON), 5).await;
        put_services(&fleet, 100).await;
        sleep(SETTLE).await;
        // Writes go to the last daemon, and the first is observed.
        fleet.daemons.swap(0, 4);
        let writer = fleet.daemons[4].operators;
        let changing = async {
            if count == 0 {
                return;
            }
            let mut ticks = interval(WINDOW / count);
            for number in 0..count {
                ticks.tick().await;
                let record = service_record("shop", &format!("new-{number}"), &Value::Null);
                let message = json!({ "verb": "put", "record": record }).to_string();
                let request = CallRequest::post(writer, "test", "/v1/records", message)
                    .with_header("authorization", &format!("Bearer {FLEET_KEY}"));
                call(&request).await.expect("the write is answered");
            }
        };
        let (cost, ()) = tokio::join!(cost(&fleet, WINDOW), changing);
        points.push((f64::from(count) / WINDOW.as_secs_f64(), cost));
    }
    series(
        "changes/s",
        &points,
        &[
            ("control cpu, % of a core, by changes", |cost| cost.cpu_percent),
            ("peer bytes/s by changes", |cost| cost.peer_bytes),
            ("platform bytes/s by changes", |cost| cost.platform_bytes),
        ],
    )
}

/// Orders with a key at one daemon.
async fn claims() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for rate in [10_u32, 50, 100, 200] {
        let behaviour = BackendBehaviour::Serve(Duration::from_millis(1));
        let service = TestService::start("shop", "orders", 3, 16, &behaviour).await;
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        fleet.platform.set_servers(service.entries.clone());
        fleet.put_account("shop", &service, &json!({})).await;
        fleet.wait_serving("shop.test").await;
        let callers = fleet.daemons[0].callers;
        let sending = async {
            let mut ticks = interval(Duration::from_secs(1) / rate);
            let mut calls = tokio::task::JoinSet::new();
            for number in 0..rate * WINDOW.as_secs() as u32 {
                ticks.tick().await;
                let request = CallRequest::post(callers, "shop.test", "/orders", "one stone")
                    .with_header("idempotency-key", &format!("key-{number}"));
                calls.spawn(async move { call(&request).await });
            }
            while calls.join_next().await.is_some() {}
        };
        let (cost, ()) = tokio::join!(cost(&fleet, WINDOW), sending);
        points.push((f64::from(rate), cost));
    }
    series(
        "orders with a key a second",
        &points,
        &[
            ("table commits/s by orders", |cost| cost.table_commits),
            ("control cpu, % of a core, by orders", |cost| cost.cpu_percent),
        ],
    )
}
