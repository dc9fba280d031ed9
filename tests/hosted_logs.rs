//! On a hosting platform: from the identity of a failed request to its cause, by the log alone.

use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use testkit::{CallRequest, HostedBehaviour, HostedFleet, call, eventually, request_id};

const DAEMON: &str = env!("CARGO_BIN_EXE_mustardraild");

async fn fleet(count: usize) -> HostedFleet {
    HostedFleet::start(Path::new(DAEMON), count, HostedBehaviour::Run(Duration::ZERO)).await
}

/// The log line of a request's end.
async fn line_of(fleet: &HostedFleet, request: &CallRequest) -> Value {
    let text = format!("\"id\":\"{}\"", request_id(request));
    eventually("the line is written", async || {
        !fleet.daemon.log_lines_containing(&text).is_empty()
    })
    .await;
    let lines = fleet.daemon.log_lines_containing(&text);
    assert_eq!(lines.len(), 1, "one line for each decision");
    lines[0].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_names_the_cause_of_each_kind_of_failure() {
    let fleet = fleet(2).await;

    let served = fleet.order_request("one stone");
    assert_eq!(call(&served).await.expect("answered").status, 200);
    let line = line_of(&fleet, &served).await;
    assert_eq!(
        (line["msg"].as_str(), line["status"].as_u64()),
        (Some("request: answered"), Some(200))
    );
    assert!(line["server"].as_str().is_some_and(|server| server.starts_with("s-")));

    fleet.set_behaviour(HostedBehaviour::Shed);
    let shed = fleet.order_request("one stone");
    assert_eq!(call(&shed).await.expect("answered").status, 503);
    let line = line_of(&fleet, &shed).await;
    assert_eq!(
        (line["msg"].as_str(), line["not_run"].as_str()),
        (Some("request: refused"), Some("shed"))
    );

    fleet.set_behaviour(HostedBehaviour::RunAndDisconnect);
    let broken = fleet.order_request("one stone");
    assert_eq!(call(&broken).await.expect("answered").status, 502);
    let line = line_of(&fleet, &broken).await;
    assert_eq!((line["unknown"].as_str(), line["sends"].as_u64()), (Some("broken-off"), Some(1)));

    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_secs(60)));
    let mut left = fleet.idempotent_request();
    left.timeout = Duration::from_millis(300);
    assert!(call(&left).await.is_err());
    assert_eq!(line_of(&fleet, &left).await["msg"].as_str(), Some("request: caller left"));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_of_start_reload_and_lost_and_regained_dependencies() {
    let fleet = fleet(1).await;
    fleet.platform.set_behaviour(testkit::StoreBehaviour::Refuse(503));
    let has = |text: &'static str| {
        let daemon = &fleet.daemon;
        async move {
            eventually(text, async || !daemon.log_lines_containing(text).is_empty()).await;
        }
    };
    has("daemon: started").await;
    has("config: in force").await;
    has("store: unreachable").await;
    fleet.platform.set_behaviour(testkit::StoreBehaviour::Serve);
    has("store: reachable again").await;
    fleet.daemon.reload_settings();
    has("settings: reloaded, nothing changed").await;
    fleet.daemon.terminate();
    has("daemon: shutdown begins").await;
    has("daemon: stopped").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_read_at_both_addresses_and_count_requests() {
    let fleet = fleet(1).await;
    assert_eq!(call(&fleet.idempotent_request()).await.expect("answered").status, 200);
    for address in [fleet.daemon.readiness, fleet.daemon.metrics] {
        let answer = call(&CallRequest::get(address, "test", "/metrics")).await;
        let text = answer.expect("metrics are answered").text();
        assert!(text.contains("mustardrail_requests_total{outcome=\"answered\"} 1"), "{text}");
        assert!(text.contains("mustardrail_request_seconds_count 1"), "{text}");
    }
}
