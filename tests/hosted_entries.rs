//! On a hosting platform: entries of the server list that others write.

use std::path::Path;
use std::time::Duration;

use platform::TableName;
use testkit::{HostedBehaviour, HostedFleet, eventually};

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
