//! Measures daemon processes against a fake platform.

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

/// Time between the last change and the start of a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);

const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// Costs of one daemon's control plane: rates averaged over a measurement, and memory at its end.
#[derive(Debug, Clone, Copy)]
struct ControlCost {
    /// Processor time as a percentage of one core.
    cpu_percent: f64,
    /// Bytes sent to and received from peers.
    peer_bytes_per_s: f64,
    /// Bytes sent to and received from the platform's table and server list.
    platform_bytes_per_s: f64,
    resident_mb: f64,
    table_reads_per_s: f64,
    table_commits_per_s: f64,
}

/// Runs all measurements, or only the selected one.
pub(crate) async fn measure_all(selection: Option<&str>) -> Vec<SlopeSeries> {
    let mut all_series = Vec::new();
    let is_selected = |name: &str| selection.is_none_or(|selection| selection == name);
    if is_selected("vms") {
        all_series.extend(measure_by_entry_vms().await);
    }
    if is_selected("workers") {
        all_series.extend(measure_by_workers().await);
    }
    if is_selected("services") {
        all_series.extend(measure_by_services().await);
    }
    if is_selected("accounts") {
        all_series.extend(measure_by_accounts().await);
    }
    if is_selected("changes") {
        all_series.extend(measure_by_changes().await);
    }
    if is_selected("claims") {
        all_series.extend(measure_by_claims().await);
    }
    all_series
}

async fn measure_control_cost(fleet: &TestFleet, duration: Duration) -> ControlCost {
    let daemon = &fleet.daemons[0];
    let names = [
        "mustardrail_control_cpu_seconds",
        "mustardrail_peer_bytes_total",
        "mustardrail_table_reads_total",
        "mustardrail_table_commits_total",
        "mustardrail_platform_bytes_total",
    ];
    let mut values_before = [0.0; 5];
    for (value, name) in values_before.iter_mut().zip(names) {
        *value = read_metric(daemon.operators, name).await;
    }
    let started_at = Instant::now();
    sleep(duration).await;
    let mut rates = [0.0; 5];
    for ((rate, name), before) in rates.iter_mut().zip(names).zip(values_before) {
        let value = read_metric(daemon.operators, name).await;
        *rate = (value - before) / started_at.elapsed().as_secs_f64();
    }
    ControlCost {
        cpu_percent: rates[0] * 100.0,
        peer_bytes_per_s: rates[1],
        table_reads_per_s: rates[2],
        table_commits_per_s: rates[3],
        platform_bytes_per_s: rates[4],
        resident_mb: ProcessUsage::read(daemon.id()).resident_bytes as f64 / 1e6,
    }
}

/// The name of a series, and the function that reads its value from a cost.
type NamedEffect = (&'static str, fn(&ControlCost) -> f64);

fn slope_series(
    cause: &'static str,
    points: &[(f64, ControlCost)],
    effects: &[NamedEffect],
) -> Vec<SlopeSeries> {
    effects
        .iter()
        .map(|(effect, value_of)| SlopeSeries {
            cause: cause.into(),
            effect: (*effect).into(),
            points: points.iter().map(|(x, cost)| (*x, value_of(cost))).collect(),
        })
        .collect()
}

async fn measure_by_entry_vms() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [2, 5, 10, 20, 40] {
        let mut fleet = TestFleet::without_daemons(Path::new(DAEMON)).await;
        for _ in 0..count {
            fleet.add_daemon(&json!({ "fleet_slots": 64, "log_level": "error" }));
        }
        fleet.wait_members(count).await;
        sleep(SETTLE_TIME).await;
        points.push((count as f64, measure_control_cost(&fleet, MEASUREMENT_TIME).await));
    }
    slope_series(
        "entry VMs",
        &points,
        &[
            ("control cpu, % of a core", |cost| cost.cpu_percent),
            ("peer bytes/s", |cost| cost.peer_bytes_per_s),
            ("platform bytes/s", |cost| cost.platform_bytes_per_s),
            ("resident MB", |cost| cost.resident_mb),
            ("table reads/s", |cost| cost.table_reads_per_s),
            ("table commits/s", |cost| cost.table_commits_per_s),
        ],
    )
}

fn server_list(count: usize) -> Vec<ServerEntry> {
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

/// Measures with backend servers (workers) in the server list. The list changes once per second,
/// which is far more often than planned.
async fn measure_by_workers() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [100, 1_000, 2_500, 4_800] {
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        put_services(&fleet, 20).await;
        let mut entries = server_list(count);
        fleet.platform.set_servers(entries.clone());
        sleep(SETTLE_TIME).await;
        let changes = async {
            let mut ticks = interval(Duration::from_secs(1));
            for number in 0..MEASUREMENT_TIME.as_secs() as usize {
                ticks.tick().await;
                let id = format!("replaced-{number}");
                entries[number].id = id.parse().expect("the name is valid");
                fleet.platform.set_servers(entries.clone());
            }
        };
        let (cost, ()) = tokio::join!(measure_control_cost(&fleet, MEASUREMENT_TIME), changes);
        points.push((count as f64, cost));
    }
    slope_series(
        "workers",
        &points,
        &[
            ("control cpu with a list change a second, % of a core", |cost| cost.cpu_percent),
            ("resident MB with that list", |cost| cost.resident_mb),
            ("platform bytes/s with a list change a second", |cost| cost.platform_bytes_per_s),
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

async fn measure_by_services() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [20, 70, 130, 190] {
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        put_services(&fleet, count).await;
        fleet.platform.set_servers(server_list(100));
        sleep(SETTLE_TIME).await;
        points.push((count as f64, measure_control_cost(&fleet, MEASUREMENT_TIME).await));
    }
    slope_series(
        "services",
        &points,
        &[
            ("control cpu, % of a core, by services", |cost| cost.cpu_percent),
            ("resident MB by services", |cost| cost.resident_mb),
        ],
    )
}

async fn measure_by_accounts() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [25, 100, 200, 400] {
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        for number in 0..count {
            let account = format!("account-{number}");
            fleet.put_record(&account_record(&account, &[&format!("{account}.test")])).await;
        }
        sleep(SETTLE_TIME).await;
        points.push((f64::from(count), measure_control_cost(&fleet, MEASUREMENT_TIME).await));
    }
    slope_series(
        "accounts",
        &points,
        &[
            ("control cpu, % of a core, by accounts", |cost| cost.cpu_percent),
            ("resident MB by accounts", |cost| cost.resident_mb),
        ],
    )
}

/// Measures configuration changes in a fleet of five daemons with 100 services. The measured daemon
/// receives them from a peer.
async fn measure_by_changes() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for count in [0_u32, 10, 20, 40] {
        let mut fleet = TestFleet::start(Path::new(DAEMON), 5).await;
        put_services(&fleet, 100).await;
        sleep(SETTLE_TIME).await;
        // `measure_control_cost` reads the first daemon, and writes go to the last.
        fleet.daemons.swap(0, 4);
        let writer_address = fleet.daemons[4].operators;
        let changes = async {
            if count == 0 {
                return;
            }
            let mut ticks = interval(MEASUREMENT_TIME / count);
            for number in 0..count {
                ticks.tick().await;
                let record = service_record("shop", &format!("new-{number}"), &Value::Null);
                let message = json!({ "verb": "put", "record": record }).to_string();
                let request = CallRequest::post(writer_address, "test", "/v1/records", message)
                    .with_header("authorization", &format!("Bearer {FLEET_KEY}"));
                call(&request).await.expect("the write gets a response");
            }
        };
        let (cost, ()) = tokio::join!(measure_control_cost(&fleet, MEASUREMENT_TIME), changes);
        points.push((f64::from(count) / MEASUREMENT_TIME.as_secs_f64(), cost));
    }
    slope_series(
        "changes/s",
        &points,
        &[
            ("control cpu, % of a core, by changes", |cost| cost.cpu_percent),
            ("peer bytes/s by changes", |cost| cost.peer_bytes_per_s),
            ("platform bytes/s by changes", |cost| cost.platform_bytes_per_s),
        ],
    )
}

/// Measures requests with an idempotency key at one daemon.
async fn measure_by_claims() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for rate in [10_u32, 50, 100, 200] {
        let behaviour = BackendBehaviour::Serve(Duration::from_millis(1));
        let service = TestService::start("shop", "orders", 3, 16, &behaviour).await;
        let fleet = TestFleet::start(Path::new(DAEMON), 1).await;
        fleet.platform.set_servers(service.entries.clone());
        fleet.put_account("shop", &service, &json!({})).await;
        fleet.wait_serving("shop.test").await;
        let caller_address = fleet.daemons[0].callers;
        let load = async {
            let mut ticks = interval(Duration::from_secs(1) / rate);
            let mut calls = tokio::task::JoinSet::new();
            for number in 0..rate * MEASUREMENT_TIME.as_secs() as u32 {
                ticks.tick().await;
                let request =
                    CallRequest::post(caller_address, "shop.test", "/orders", "one stone")
                        .with_header("idempotency-key", &format!("key-{number}"));
                calls.spawn(async move { call(&request).await });
            }
            while calls.join_next().await.is_some() {}
        };
        let (cost, ()) = tokio::join!(measure_control_cost(&fleet, MEASUREMENT_TIME), load);
        points.push((f64::from(rate), cost));
    }
    slope_series(
        "orders with a key a second",
        &points,
        &[
            ("table commits/s by orders", |cost| cost.table_commits_per_s),
            ("control cpu, % of a core, by orders", |cost| cost.cpu_percent),
        ],
    )
}
