//! On a hosting platform: entries of the server list that others write.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use hyper::Method;
use platform::TableName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routes::ServerRecord;
use testkit::{
    FakePlatform, HostedBehaviour, HostedDaemon, HostedFleet, HostedServer, ServerList, call,
    eventually, free_address, hosted_config, hosted_request, standard_routes,
};
use tokio::task::JoinSet;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Requests of each step of a test.
const STEP_REQUESTS: u64 = 30;

/// Entries that name no server.
const INVALID_ENTRIES: [&str; 4] = [
    "{",
    r#"{"address": "127.0.0.1:9"}"#,
    r#"{"address": "127.0.0.1:9", "info": {"service": "orders", "zone": "zone-a", "version": "1",
        "slots": 9}, "status": {"state": "starting", "sequence": 9, "warmup_left_s": 0}}"#,
    r#"{"address": "127.0.0.1:9", "info": {"service": "orders", "zone": "zone-a", "version": "1",
        "slots": -9}, "status": {"state": "ready", "sequence": 9, "warmup_left_s": 0}}"#,
];

/// Guards against requests to servers that invalid entries seem to name, against a list that is
/// lost because of them, and against a log line for each of their repeats.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_entries_name_no_server_and_the_others_hold() {
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 2, behaviour).await;
    for _ in 0..3 {
        for (number, entry) in INVALID_ENTRIES.iter().enumerate() {
            fleet.platform.put_raw_row(TableName::Servers, &format!("other-{number}"), entry);
        }
        // The entry of a server is replaced.
        fleet.platform.put_raw_row(TableName::Servers, "s-0", INVALID_ENTRIES[0]);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let invalid_lines = || fleet.daemon.log_lines_containing("servers: ignored an invalid entry");
    eventually("the entries are logged", async || invalid_lines().len() > INVALID_ENTRIES.len())
        .await;
    let before = fleet.servers[0].request_count();
    assert_eq!(fleet.send_requests(STEP_REQUESTS).await, STEP_REQUESTS);
    assert_eq!(fleet.servers[0].request_count(), before, "its entry names no server");
    let lines = invalid_lines();
    assert_eq!(lines.len(), INVALID_ENTRIES.len() + 1, "each entry is logged once");
    let fields: Vec<&str> = lines.iter().filter_map(|line| line["field"].as_str()).collect();
    for field in ["value", "info", "status.state", "info.slots"] {
        assert!(fields.contains(&field), "{field} is named in {fields:?}");
    }
    // The server writes its entry again.
    let mut record = fleet.servers[0].record.clone();
    record.sequence += 1;
    fleet.platform.put_server(&record);
    eventually("the server is used again", async || {
        fleet.send_requests(1).await;
        fleet.servers[0].request_count() > before
    })
    .await;
}

/// Guards against servers of a service that is only configured later.
#[tokio::test(flavor = "multi_thread")]
async fn servers_of_a_service_that_no_configuration_names_are_used_once_one_does() {
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    let mut fleet = HostedFleet::start(Path::new(DAEMON_PATH), 1, behaviour).await;
    let later = testkit::HostedServer::start("s-later", "later", behaviour).await;
    fleet.platform.put_server(&later.record);
    eventually("the list is applied", async || {
        let lines = fleet.daemon.log_lines_containing("servers: list applied");
        lines.iter().any(|line| line["servers"] == 2)
    })
    .await;
    assert_eq!(fleet.send_requests(STEP_REQUESTS).await, STEP_REQUESTS);
    assert_eq!(later.request_count(), 0);
    let route =
        testkit::hosted_route("/later/", routes::ExecutionSemantics::Idempotent, &[("later", 1)]);
    let mut routes = testkit::standard_routes();
    routes.push(route);
    fleet.platform.put_config(&testkit::hosted_config(2, routes));
    eventually("the configuration is in force", async || {
        fleet.daemon.log_lines_containing("config: in force").len() == 2
    })
    .await;
    let response = testkit::call(&fleet.request(hyper::Method::GET, "/later/1")).await;
    assert_eq!(response.expect("the daemon responds").status, 200);
    assert_eq!(later.request_count(), 1);
    fleet.servers.push(later);
}

/// Seeds that are played, unless the environment sets more.
const SEEDS: u64 = 3;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_ODD_SEEDS";

/// Odd entries of a seed, and the pause after each.
const ODD_ENTRIES: usize = 40;
const ODD_ENTRY_PAUSE: Duration = Duration::from_millis(30);

const HEARTBEAT: Duration = Duration::from_millis(300);

const ODD_NUMBERS: [&str; 14] = [
    "1e400",
    "-1e400",
    "1e308",
    "1e-320",
    "9007199254740993",
    "18446744073709551615",
    "18446744073709551616",
    "4294967296",
    "-1",
    "-0.0",
    "0.5",
    "1E2",
    "NaN",
    "007",
];

const ODD_ADDRESSES: [&str; 12] = [
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1",
    "0.0.0.0:1",
    "255.255.255.255:9",
    "[::1]:9",
    "localhost:80",
    "",
    "127.0.0.1:18446744073709551616",
    "127.0.0.1: 80",
];

/// Depths around the limits of parsers, and as deep as fits into a row.
const ODD_DEPTHS: [usize; 6] = [10, 127, 128, 129, 2_000, 8_000];

const ODD_KEYS: [&str; 8] = [
    "other-1",
    "other-2",
    "s-0",
    "s-1",
    "s-2",
    "s 0",
    "\u{0}",
    "a-key-that-is-too-long-for-a-name",
];

fn nested(rng: &mut StdRng) -> String {
    let depth = ODD_DEPTHS[rng.random_range(0..ODD_DEPTHS.len())];
    let (open, close) = [("[", "]"), ("{\"a\":", "}")][rng.random_range(0..2)];
    let core = ["1", "", "null"][rng.random_range(0..3)];
    open.repeat(depth) + core + &close.repeat(depth)
}

/// Draws an entry that is odd in some of its fields.
fn draw_entry(rng: &mut StdRng) -> String {
    if rng.random_bool(0.1) {
        return nested(rng);
    }
    let mut field = |usual: &str, odd: &[&str], is_text: bool| {
        let is_odd = rng.random_bool(0.25);
        match rng.random_range(0..6) {
            0 if is_odd => nested(rng),
            _ if is_odd && is_text => format!("\"{}\"", odd[rng.random_range(0..odd.len())]),
            _ if is_odd => odd[rng.random_range(0..odd.len())].to_owned(),
            _ if is_text => format!("\"{usual}\""),
            _ => usual.to_owned(),
        }
    };
    let address = field("127.0.0.1:9", &ODD_ADDRESSES, true);
    let born = field("1", &ODD_NUMBERS, false);
    let zone = field("zone-a", &["", "Zone A", "z\u{fffd}"], true);
    let slots = field("4", &ODD_NUMBERS, false);
    let state = field("ready", &["", "READY", "draining"], true);
    let sequence = field("7", &ODD_NUMBERS, false);
    let warm_up = field("0", &ODD_NUMBERS, false);
    let extra = field("null", &ODD_NUMBERS, false);
    format!(
        r#"{{"address":{address},"born":{born},"extra":{extra},"info":{{"service":"orders",
        "zone":{zone},"version":"1","slots":{slots}}},"status":{{"state":{state},
        "sequence":{sequence},"warmup_left_s":{warm_up}}}}}"#
    )
}

/// Renews the entry of a server again and again, as servers do.
async fn keep_registered(list: ServerList, mut record: ServerRecord, is_leaving: Arc<AtomicBool>) {
    loop {
        record.sequence += 1;
        record.is_leaving = is_leaving.load(Ordering::SeqCst);
        list.renew_server(&record);
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Sends idempotent requests to a daemon, whatever their responses.
async fn send_to(daemon: &HostedDaemon, count: usize) {
    for number in 0..count {
        let id = format!("{}-{number}", rand::random::<u64>());
        let _ = call(&hosted_request(daemon.callers, &id, Method::GET, "/read/1", 5_000)).await;
    }
}

async fn check_odd_entries(seed: u64) {
    let program = Path::new(DAEMON_PATH);
    let platform = FakePlatform::start().await;
    platform.put_config(&hosted_config(1, standard_routes()));
    let mut servers = Vec::new();
    let mut heartbeats = JoinSet::new();
    let mut leaving_flags = Vec::new();
    for number in 0..3 {
        let behaviour = HostedBehaviour::Run(Duration::ZERO);
        let server = HostedServer::start(&format!("s-{number}"), "orders", behaviour).await;
        let is_leaving = Arc::new(AtomicBool::new(false));
        let record = server.record.clone();
        heartbeats.spawn(keep_registered(platform.server_list(), record, Arc::clone(&is_leaving)));
        leaving_flags.push(is_leaving);
        servers.push(server);
    }
    // One daemon reads the store, the other one follows it.
    let relay = free_address();
    let address = platform.address();
    let mut daemons = [
        HostedDaemon::start_with_relays(program, address, relay, &[relay]),
        HostedDaemon::start_with_relays(program, address, free_address(), &[relay]),
    ];
    for daemon in &mut daemons {
        daemon.wait_ready().await;
    }
    let mut rng = StdRng::seed_from_u64(seed);
    for number in 0..ODD_ENTRIES {
        let key = ODD_KEYS[rng.random_range(0..ODD_KEYS.len())];
        platform.put_raw_row(TableName::Servers, key, &draw_entry(&mut rng));
        send_to(&daemons[number % 2], 1).await;
        tokio::time::sleep(ODD_ENTRY_PAUSE).await;
    }
    for daemon in &mut daemons {
        for server in &servers {
            let before = server.request_count();
            eventually("the server is used again", async || {
                send_to(daemon, 3).await;
                server.request_count() > before
            })
            .await;
        }
        // Its list still follows the servers.
        assert_eq!(daemon.exit_status(), None, "seed {seed}");
        assert!(daemon.log_text().find("panicked").is_none(), "seed {seed}");
    }
    leaving_flags[2].store(true, Ordering::SeqCst);
    for daemon in &daemons {
        eventually("the server that leaves gets no requests", async || {
            let before = servers[2].request_count();
            send_to(daemon, 20).await;
            servers[2].request_count() == before
        })
        .await;
    }
}

/// Guards against VMs that end, or stop following the list, because of one odd entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_end_no_vm_and_the_list_is_followed() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    join_all((1..=seeds.unwrap_or(SEEDS)).map(check_odd_entries)).await;
}
