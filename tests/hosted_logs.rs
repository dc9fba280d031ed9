//! On a hosting platform: the log alone is enough to find the cause of a failed request by its ID.

use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use testkit::{CallRequest, HostedBehaviour, HostedFleet, call, eventually, request_id};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

async fn start_fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON_PATH), count, HostedBehaviour::Run(Duration::ZERO)).await
}

/// Waits for the log line about the end of a request, which must be the only one of the request.
async fn wait_for_request_log(fleet: &HostedFleet, request: &CallRequest) -> Value {
    let text = format!("\"id\":\"{}\"", request_id(request));
    eventually("the log line of the request is written", async || {
        !fleet.daemon.log_lines_containing(&text).is_empty()
    })
    .await;
    let lines = fleet.daemon.log_lines_containing(&text);
    assert_eq!(lines.len(), 1, "each request has one log line");
    lines[0].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn log_states_the_cause_of_each_kind_of_failure() {
    let fleet = start_fleet(2).await;

    let served = fleet.order_request("one stone");
    assert_eq!(call(&served).await.expect("the daemon responds").status, 200);
    let line = wait_for_request_log(&fleet, &served).await;
    assert_eq!(
        (line["msg"].as_str(), line["status"].as_u64()),
        (Some("request: answered"), Some(200))
    );
    assert!(line["server"].as_str().is_some_and(|server| server.starts_with("s-")));

    let mut unrouted = fleet.idempotent_request();
    unrouted.path = "/nowhere/1".into();
    assert_eq!(call(&unrouted).await.expect("the daemon responds").status, 404);
    let line = wait_for_request_log(&fleet, &unrouted).await;
    assert_eq!(line["config"].as_u64(), Some(1), "the version that has no such route");

    fleet.set_behaviour(HostedBehaviour::Shed);
    let shed = fleet.order_request("one stone");
    assert_eq!(call(&shed).await.expect("the daemon responds").status, 503);
    let line = wait_for_request_log(&fleet, &shed).await;
    assert_eq!(
        (line["msg"].as_str(), line["not_run"].as_str()),
        (Some("request: refused"), Some("shed"))
    );

    fleet.set_behaviour(HostedBehaviour::RunAndDisconnect);
    let broken = fleet.order_request("one stone");
    assert_eq!(call(&broken).await.expect("the daemon responds").status, 502);
    let line = wait_for_request_log(&fleet, &broken).await;
    assert_eq!((line["unknown"].as_str(), line["sends"].as_u64()), (Some("broken-off"), Some(1)));

    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(60)));
    let mut abandoned = fleet.idempotent_request();
    abandoned.timeout = Duration::from_millis(300);
    assert!(call(&abandoned).await.is_err());
    assert_eq!(
        wait_for_request_log(&fleet, &abandoned).await["msg"].as_str(),
        Some("request: caller left")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn log_reports_start_store_outage_reload_and_stop() {
    let fleet = start_fleet(1).await;
    fleet.platform.set_behaviour(testkit::StoreBehaviour::Refuse(503));
    let wait_for_line = |text: &'static str| {
        let daemon = &fleet.daemon;
        async move {
            eventually(text, async || !daemon.log_lines_containing(text).is_empty()).await;
        }
    };
    wait_for_line("daemon: started").await;
    wait_for_line("config: in force").await;
    wait_for_line("store: unreachable").await;
    fleet.platform.set_behaviour(testkit::StoreBehaviour::Serve);
    wait_for_line("store: reachable again").await;
    fleet.daemon.reload_settings();
    wait_for_line("settings: reloaded, nothing changed").await;
    fleet.daemon.terminate();
    wait_for_line("daemon: shutdown begins").await;
    wait_for_line("daemon: stopped").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_at_both_addresses_count_requests() {
    let fleet = start_fleet(1).await;
    assert_eq!(call(&fleet.idempotent_request()).await.expect("the daemon responds").status, 200);
    for address in [fleet.daemon.readiness, fleet.daemon.metrics] {
        let response = call(&CallRequest::get(address, "test", "/metrics")).await;
        let text = response.expect("the metrics endpoint responds").text();
        assert!(text.contains("mustardrail_requests_total{outcome=\"answered\"} 1"), "{text}");
        assert!(text.contains("mustardrail_request_seconds_count 1"), "{text}");
    }
}

/// Repeats of a request have new IDs and reach several VMs; the log shows that they are the same.
#[tokio::test(flavor = "multi_thread")]
async fn log_identifies_repeats_of_a_request_whose_connection_broke() {
    let fleet = start_fleet(3).await;
    fleet.set_behaviour(HostedBehaviour::RunAndDisconnect);
    let repeats = [fleet.order_request("one stone"), fleet.order_request("one stone")];
    let other = fleet.order_request("two stones");
    let mut contents = Vec::new();
    for request in repeats.iter().chain([&other]) {
        assert_eq!(call(request).await.expect("the daemon responds").status, 502);
        let text = format!("\"request\":\"{}\"", request_id(request));
        eventually("the broken attempt is logged", async || {
            !fleet.daemon.log_lines_containing(&text).is_empty()
        })
        .await;
        let line = fleet.daemon.log_lines_containing(&text).remove(0);
        assert!(line["server"].as_str().is_some_and(|server| server.starts_with("s-")));
        assert_eq!(line["started_at_ms"].as_u64(), Some(1));
        contents.push(line["content"].as_str().expect("the content is a text").to_owned());
    }
    assert_eq!(contents[0], contents[1], "repeats of one request");
    assert_ne!(contents[0], contents[2], "another request");
}

/// Guards against a refusal whose cause can't be found: the account, the version that has no such
/// key, and whether the request had one.
#[tokio::test(flavor = "multi_thread")]
async fn log_and_metrics_name_accounts_and_the_causes_of_401() {
    let fleet = start_fleet(1).await;
    let accounts = [testkit::account_entry("anna", &["rjvz48wuakn2ftimaj3n"])];
    let config = testkit::hosted_config(2, testkit::standard_routes());
    fleet.platform.put_config_with_accounts(&config, &accounts);
    eventually("the configuration is in force", async || {
        let lines = fleet.daemon.log_lines_containing("config: in force");
        lines.iter().any(|line| line["version"] == 2 && line["accounts"] == 1)
    })
    .await;
    let with_key = |key: &str| {
        fleet.order_request("one stone").with_header("authorization", &format!("Token {key}"))
    };
    let cases = [
        (with_key("rjvz48wuakn2ftimaj3n"), 200, "answered", "anna", ""),
        (with_key("another"), 401, "refused", "", "no known key: no client account has it"),
        (
            fleet.order_request("one stone"),
            401,
            "refused",
            "",
            "no known key: the request has none, or more than one Authorization field",
        ),
    ];
    for (request, status, end, account, reason) in cases {
        assert_eq!(call(&request).await.expect("the daemon responds").status, status);
        let line = wait_for_request_log(&fleet, &request).await;
        assert_eq!(line["msg"], format!("request: {end}"));
        assert_eq!(line["account"].as_str().unwrap_or_default(), account);
        assert_eq!(line["reason"].as_str().unwrap_or_default(), reason);
        assert_eq!(line["config"], 2);
    }
    let metrics = fleet.daemon.metrics;
    let answered = "mustardrail_account_requests_total{account=\"anna\",outcome=\"answered\"}";
    assert_eq!(testkit::read_metric(metrics, answered).await, 1.0);
    assert_eq!(testkit::read_metric(metrics, "mustardrail_unauthorized_total").await, 2.0);
}
