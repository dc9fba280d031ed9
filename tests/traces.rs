//! Trace spans of caller, entry VM and backend server form one trace.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{DAEMON_PATH, idempotent_request, serve_behaviour};
use serde_json::{Value, json};
use testkit::{FakeCollector, TestFleet, TestService, call};
use tokio::time::{Instant, sleep};

#[tokio::test(flavor = "multi_thread")]
async fn spans_of_one_request_share_a_trace_and_link_to_their_parents() {
    let spans: Arc<Mutex<Vec<Value>>> = Arc::default();
    let collector = FakeCollector::start(Arc::clone(&spans)).await;
    let mut fleet = TestFleet::without_daemons(DAEMON_PATH.as_ref()).await;
    let endpoint = format!("http://{}", collector.address());
    fleet.add_daemon(&json!({ "trace_collector": endpoint }));
    fleet.daemons[0].wait_ready().await;
    fleet.wait_members(1).await;
    let service =
        TestService::start("shop", "orders", 1, 2, &serve_behaviour(Duration::from_millis(1)))
            .await;
    fleet.platform.set_servers(service.entries.clone());
    fleet.put_account("shop", &service, &json!({})).await;
    fleet.wait_serving("shop.test").await;
    let trace_id = "0af7651916cd43dd8448eb211c80319c";
    let request = idempotent_request(&fleet, 0, "traced")
        .with_header("traceparent", &format!("00-{trace_id}-b7ad6b7169203331-01"));
    assert_eq!(call(&request).await.expect("the daemon responds").status, 200);
    let received_traceparent = service.servers[0]
        .served_requests()
        .into_iter()
        .find(|served| &*served.tag == "traced")
        .expect("the server ran the request")
        .traceparent;
    fleet.daemons[0].terminate();
    fleet.daemons[0].wait_exit().await;
    let deadline = Instant::now() + Duration::from_secs(30);
    let (entry, backend) = loop {
        let collected = spans.lock().expect("the lock is not poisoned").clone();
        let find = |name: &str| {
            collected
                .iter()
                .find(|span| span["traceId"] == trace_id && span["name"] == name)
                .cloned()
        };
        if let (Some(entry), Some(backend)) = (find("entry"), find("backend")) {
            break (entry, backend);
        }
        assert!(Instant::now() < deadline, "spans are missing: {collected:?}");
        sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(entry["parentSpanId"], "b7ad6b7169203331");
    assert_eq!(backend["parentSpanId"], entry["spanId"]);
    let expected = format!("00-{trace_id}-{}-01", backend["spanId"].as_str().unwrap_or_default());
    assert_eq!(&*received_traceparent, expected);
}
