//! End-to-end tests of daemons and operator commands in processes of their own, with stand-ins for
//! the platform and the backend servers.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use serde_json::{Value, json};
use testkit::{
    BackendBehaviour, CallRequest, FLEET_KEY, TestFleet, TestService, account_record, call,
    service_record,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");
const COMMAND_PATH: &str = env!("CARGO_BIN_EXE_mustardrail");
const SERVE_BEHAVIOUR: BackendBehaviour = BackendBehaviour::Serve(Duration::from_millis(1));

fn run_command(address: &str, key: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(COMMAND_PATH)
        .args(["--address", address, "--key", key])
        .args(arguments)
        .output()
        .expect("the command can be started");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code(), text)
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_through_every_daemon() {
    let mut fleet = TestFleet::start(Path::new(DAEMON_PATH), 3).await;
    let service = TestService::start("samahan", "talaan", 6, 2, &SERVE_BEHAVIOUR).await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("samahan", &service, &json!({})).await;
    fleet.wait_serving("samahan.test").await;
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let tag = format!("tag-{number}");
        let request = CallRequest::get(daemon.callers, "samahan.test", "/records/7")
            .with_header("x-request", &tag);
        let response = call(&request).await.expect("the daemon responds");
        assert_eq!(response.status, 200);
        assert!(response.text().contains(&tag), "{}", response.text());
        assert_eq!(service.run_count(&tag), 1);
    }
    for daemon in &mut fleet.daemons {
        daemon.terminate();
        assert_eq!(daemon.wait_exit().await, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn record_replaced_under_load_takes_effect_at_every_daemon() {
    let fleet = TestFleet::start(Path::new(DAEMON_PATH), 3).await;
    let service = TestService::start("kilang", "stokbaca", 6, 4, &SERVE_BEHAVIOUR).await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("kilang", &service, &json!({})).await;
    fleet.wait_serving("kilang.test").await;
    let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let load = tokio::spawn(async move {
        for number in 0..150 {
            let address = addresses[number % addresses.len()];
            let response = call(&CallRequest::get(address, "kilang.test", "/stock")).await;
            assert_eq!(response.expect("the daemon responds").status, 200);
        }
    });
    let show_request = CallRequest::get(
        fleet.daemons[1].operators,
        "test",
        "/v1/records/kilang/service/stokbaca/2",
    )
    .with_header("authorization", &format!("Bearer {FLEET_KEY}"));
    let base = call(&show_request).await.expect("the daemon responds").json()["revision"].clone();
    let record = service_record("kilang", "stokbaca", &json!({ "timeout_ms": 7_000 }));
    let message = json!({ "verb": "replace", "record": record, "base": base });
    let first = fleet.write_record(1, FLEET_KEY, &message).await;
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(first.json()["in_force"], 3, "{}", first.text());
    let second = fleet.write_record(2, FLEET_KEY, &message).await;
    assert_eq!(second.status, 409, "{}", second.text());
    assert_eq!(second.json()["base"], base);
    assert_eq!(second.json()["current"], first.json()["revision"]);
    load.await.expect("no request fails");
}

#[tokio::test(flavor = "multi_thread")]
async fn account_sees_only_its_own_records() {
    let fleet = TestFleet::start(Path::new(DAEMON_PATH), 1).await;
    fleet.put_record(&account_record("samahan", &["samahan.test"])).await;
    fleet.put_record(&account_record("kilang", &["kilang.test"])).await;
    let key_hash = hash_key("kilang-key");
    fleet
        .put_record(&json!({
            "schema": 1, "kind": "operator-key", "account": "kilang", "name": "main",
            "spec": { "key_sha256": key_hash, "scope": "fleet" },
        }))
        .await;
    let operators = fleet.daemons[0].operators;
    let show = |key: &str| {
        let request = CallRequest::get(operators, "test", &format!("/v1/records/{key}"))
            .with_header("authorization", "Bearer kilang-key");
        async move { call(&request).await.expect("the daemon responds") }
    };
    let other = show("samahan/client-account/samahan/1").await;
    let missing = show("kilang/service/nothing/1").await;
    assert_eq!((other.status, other.text()), (missing.status, missing.text()));
    assert_eq!(show("kilang/client-account/kilang/1").await.status, 200);
    let address = operators.to_string();
    let (status, listed) = run_command(&address, "kilang-key", &["list"]);
    assert_eq!(status, Some(0), "{listed}");
    assert!(listed.contains("kilang/client-account/kilang/1") && !listed.contains("samahan"));
    let (status, text) = run_command(&address, "wrong-key", &["list"]);
    assert_eq!(status, Some(3), "{text}");
    let message =
        json!({ "verb": "put", "record": service_record("samahan", "foreign", &Value::Null) });
    assert_eq!(fleet.write_record(0, "kilang-key", &message).await.status, 404);
    let message = json!({ "verb": "put", "record": service_record("kilang", "own", &Value::Null) });
    assert_eq!(fleet.write_record(0, "kilang-key", &message).await.status, 200);
    let conflicting = json!({ "verb": "put", "record": account_record("third", &["kilang.test"]) });
    let refused = fleet.write_record(0, FLEET_KEY, &conflicting).await;
    assert_eq!(refused.status, 422);
    assert!(!refused.text().contains("\"kilang\""), "{}", refused.text());
}

/// Covers the profile file, the environment variable, exit statuses, and repeated writes.
#[tokio::test(flavor = "multi_thread")]
async fn command_line_exit_status_and_output_report_the_result() {
    let fleet = TestFleet::start(Path::new(DAEMON_PATH), 1).await;
    let address = fleet.daemons[0].operators.to_string();
    let directory = std::env::temp_dir().join(format!("mustardrail-cli-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the temporary directory can be written");
    let write = |name: &str, content: &Value| {
        let path = directory.join(name);
        std::fs::write(&path, content.to_string()).expect("the temporary directory can be written");
        path.display().to_string()
    };
    let profile = write("profile.json", &json!({ "address": address, "key": FLEET_KEY }));
    let account = write("account.json", &account_record("shop", &["shop.test"]));
    let invalid = write("invalid.json", &json!({ "schema": 1, "kind": "service", "account": "x" }));
    let run = |arguments: &[&str]| {
        let output = Command::new(COMMAND_PATH)
            .args(arguments)
            .env("MUSTARDRAIL_PROFILE", &profile)
            .output()
            .expect("the command can be started");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    };
    let cases: [(&[&str], i32, &str); 9] = [
        (&["put", &account, "--operation", "00ff"], 0, "accepted as revision 1"),
        (&["put", &account, "--operation", "00ff"], 0, "accepted as revision 1"),
        (&["put", &account], 3, "record is at revision 1"),
        (&["replace", &account, "--base", "7"], 3, "based on revision 7, record is at revision 1"),
        (&["put", &invalid], 3, "$.name: is missing"),
        (&["show", "shop/client-account/shop/1"], 0, "\"shop.test\""),
        (&["show", "shop/client-account/none/1"], 3, "no such record"),
        (&["operation", "00ff"], 0, "accepted as revision 1"),
        (&["unknown"], 2, "command \"unknown\" does not exist"),
    ];
    for (arguments, expected_status, expected_text) in cases {
        let (exit_status, text) = run(arguments);
        assert_eq!(exit_status, expected_status, "{arguments:?}: {text}");
        assert!(text.contains(expected_text), "{arguments:?}: {text}");
    }
    let (status, text) = run(&["--address", "127.0.0.1:1", "list"]);
    assert_eq!(status, 1, "{text}");
    let (status, text) = run(&["list", "--json"]);
    let listed: Value = serde_json::from_str(&text).expect("--json prints JSON");
    assert_eq!((status, &listed["revision"]), (0, &json!(1)));
}

fn hash_key(key: &str) -> String {
    let mut child = Command::new(COMMAND_PATH)
        .arg("hash-key")
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the command can be started");
    let mut input = child.stdin.take().expect("standard input is piped");
    std::io::Write::write_all(&mut input, key.as_bytes()).expect("the command reads its input");
    drop(input);
    let output = child.wait_with_output().expect("the command exits");
    String::from_utf8_lossy(&output.stdout).trim().to_owned()
}
