//! Conformance to HTTP rules towards callers and backend servers, and isolation between accounts.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use common::{idempotent_request, start_fleet};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{
    BackendBehaviour, CallRequest, HostedBehaviour, HostedFleet, RawCaller, TestFleet, TestService,
    account_record, call, call_with_http10, policy_record, request_text,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes and returns what is read until the connection closes or is idle.
async fn send_raw(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
    stream.write_all(text.as_bytes()).await.expect("the daemon reads the request");
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    let idle_timeout = Duration::from_millis(1_500);
    while let Ok(Ok(count)) = tokio::time::timeout(idle_timeout, stream.read(&mut buffer)).await {
        if count == 0 {
            break;
        }
        response.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_requests_reach_no_server() {
    let (fleet, service) = start_fleet(1, 1, &json!({})).await;
    let address = fleet.daemons[0].callers;
    let before = service.servers[0].request_count();
    let ambiguous_requests = [
        "GET /a HTTP/1.1\r\nHost: shop.test\r\nHost: other.test\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a/../b HTTP/1.1\r\nHost: shop.test\r\n\r\n",
        "GET /a/%2e%2E/b HTTP/1.1\r\nHost: shop.test\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        "POST /a HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nxx\r\n",
        "CONNECT shop.test:80 HTTP/1.1\r\nHost: shop.test\r\n\r\n",
    ];
    for text in ambiguous_requests {
        let response = send_raw(address, text).await;
        assert!(!response.starts_with("HTTP/1.1 200"), "{text:?} got {response}");
    }
    assert_eq!(service.servers[0].request_count(), before, "a refused request reached a server");
}

/// Returns a request with a chunked body, with the method in place of its own one.
fn with_chunked_body(request: &CallRequest, method: &str, body: &str) -> String {
    let text = request_text(request);
    let (_, rest) = text.split_once(' ').expect("a request has a method");
    let head = rest.trim_end_matches("\r\n");
    let length = body.len();
    format!(
        "{method} {head}\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
    )
}

/// Guards against chunked bodies that are left out, since few requests of a method have one. The sizes
/// are on both sides of what is buffered.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_body_of_any_method_reaches_its_server() {
    let (fleet, service) = start_fleet(1, 1, &json!({})).await;
    let behaviour = HostedBehaviour::Run(Duration::from_millis(1));
    let hosted = HostedFleet::start(Path::new(common::DAEMON_PATH), 1, behaviour).await;
    for method in ["GET", "HEAD", "OPTIONS", "DELETE", "PUT", "POST"] {
        for bytes in [3, (1 << 20) - 1, 1 << 20, (1 << 20) + 1, 2 << 20] {
            let body = "x".repeat(bytes);
            let request = CallRequest::get(fleet.daemons[0].callers, "shop.test", "/a");
            send_raw(request.address, &with_chunked_body(&request, method, &body)).await;
            let served = service.servers[0].served_requests();
            let last = served.last().expect("the request was served");
            assert_eq!(last.body.len(), bytes, "own interface: {method}, {}", last.target);
            let request = hosted.idempotent_request();
            send_raw(request.address, &with_chunked_body(&request, method, &body)).await;
            let last = hosted.runs().pop().expect("the request was served");
            assert_eq!(last.body.len(), bytes, "hosted: {method}, {}", last.target);
        }
    }
}

/// A request with both `Content-Length` and `Transfer-Encoding` is read by its chunks alone and
/// reaches the server as one request. To prevent request smuggling, bytes after it on the
/// connection are not read as a request.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_both_framing_headers_stays_one_request_and_closes_the_connection() {
    let (fleet, service) = start_fleet(1, 1, &json!({})).await;
    let text = "POST /a HTTP/1.1\r\nHost: shop.test\r\nx-request: both\r\nContent-Length: 4\r\n\
                Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
                GET /smuggled HTTP/1.1\r\nHost: shop.test\r\n\r\n";
    let response = send_raw(fleet.daemons[0].callers, text).await;
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    assert!(response.to_ascii_lowercase().contains("connection: close"), "{response}");
    let served = service.servers[0].served_requests();
    assert!(served.iter().all(|served| &*served.target != "GET /smuggled"));
    assert!(
        served.iter().filter(|served| &*served.tag == "both").all(|served| served.body == "abc")
    );
}

/// Guards against responses that are lost to the reset of a connection, which the daemon closed while
/// further requests arrived.
#[tokio::test(flavor = "multi_thread")]
async fn responses_survive_the_close_of_their_connection() {
    const REQUESTS: usize = 400;
    let (fleet, _service) = start_fleet(1, 1, &json!({})).await;
    let address = fleet.daemons[0].callers;
    // What is sent doesn't fit into this buffer, and waits at the daemon's end.
    let mut caller = RawCaller::connect_with_receive_buffer(address, 4 << 10).await;
    let read = request_text(&idempotent_request(&fleet, 0, "read"));
    let chunked =
        "POST /a HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    caller.send(&(read.repeat(REQUESTS) + chunked)).await;
    for _ in 0..40 {
        // A caller may send until it reads that the connection closes.
        let _ = caller.stream.write_all(read.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for index in 0..=REQUESTS {
        let response = caller.next_response().await;
        let response = response.unwrap_or_else(|| panic!("response {index} was lost"));
        assert_eq!(response.closes, index == REQUESTS);
    }
}

/// Guards against truncated responses that look complete: to a caller with HTTP/1.0, a body without a
/// length ends with the connection.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_ends_with_a_reset_for_old_callers() {
    let (fleet, service) = start_fleet(1, 1, &json!({ "retry_percent": 0 })).await;
    service.servers[0].set_behaviour(BackendBehaviour::Truncate);
    for _ in 0..6 {
        let response = call_with_http10(&idempotent_request(&fleet, 0, "read")).await;
        assert!(response.is_none_or(|(status, _)| status != 200), "it looks complete");
    }
    assert_eq!(service.servers[0].run_count("read"), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_streams_get_their_own_responses() {
    let (fleet, _service) = start_fleet(1, 3, &json!({})).await;
    let stream = TcpStream::connect(fleet.daemons[0].callers).await.expect("the daemon listens");
    let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("the HTTP/2 handshake succeeds");
    tokio::spawn(connection);
    let calls: Vec<_> = (0..50)
        .map(|number| {
            let mut sender = sender.clone();
            tokio::spawn(async move {
                let tag = format!("stream-{number}");
                let request = Request::get("http://shop.test/records")
                    .header("x-request", &tag)
                    .body(Full::new(Bytes::new()))
                    .expect("the request is valid");
                let response = sender.send_request(request).await.expect("the daemon responds");
                let body =
                    response.into_body().collect().await.expect("the body is complete").to_bytes();
                assert!(String::from_utf8_lossy(&body).contains(&format!(" {tag} ")));
            })
        })
        .collect();
    for task in calls {
        task.await.expect("each stream gets its own response");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_past_its_deadline_returns_504_with_unknown_outcome() {
    let (fleet, _service) = common::start_slow_fleet(1, Duration::from_secs(3)).await;
    let request =
        idempotent_request(&fleet, 0, "late").with_header("mustardrail-deadline-ms", "300");
    let response = call(&request).await.expect("the daemon responds");
    assert_eq!((response.status, response.outcome()), (504, "unknown"), "{}", response.text());
}

/// Two accounts use different schema versions of the same records, and each migrates independently.
#[tokio::test(flavor = "multi_thread")]
async fn accounts_migrate_between_schema_versions_independently() {
    let fleet = TestFleet::start(common::DAEMON_PATH.as_ref(), 2).await;
    let behaviour = common::serve_behaviour(Duration::from_millis(1));
    let mut entries = Vec::new();
    let mut services = Vec::new();
    for account in ["first", "second"] {
        for group in ["old", "new"] {
            let service = TestService::start(account, group, 1, 2, &behaviour).await;
            entries.extend(service.entries.clone());
            services.push(service);
        }
    }
    fleet.platform.set_servers(entries);
    let mut newest = 0;
    for account in ["first", "second"] {
        let host = format!("{account}.test");
        let mut record = account_record(account, &[&host]);
        record["spec"]["runs_schema"] = json!(1);
        fleet.put_record(&record).await;
        for (schema, group) in [(1, "old"), (2, "new")] {
            fleet
                .put_record(&json!({
                    "schema": schema, "kind": "service", "account": account, "name": "orders",
                    "spec": { "group": group, "slots": 2, "connections": 90, "timeout_ms": 5000 },
                }))
                .await;
        }
        let rules = json!([{ "host": host, "path_prefix": "/", "service": "orders" }]);
        fleet
            .put_record(&json!({
                "schema": 1, "kind": "routing-policy", "account": account, "name": "front",
                "spec": rules[0],
            }))
            .await;
        newest = fleet.put_record(&policy_record(account, "front", &rules)).await;
    }
    fleet.wait_revision(newest).await;
    fleet.wait_serving("first.test").await;
    fleet.wait_serving("second.test").await;
    let mut migrated_account = account_record("second", &["second.test"]);
    migrated_account["spec"]["runs_schema"] = json!(2);
    // The account record of "second" was the sixth write.
    let message = json!({ "verb": "replace", "record": migrated_account, "base": 6 });
    let response = fleet.write_record(0, testkit::FLEET_KEY, &message).await;
    assert_eq!(response.status, 200, "{}", response.text());
    let revision = response.json()["revision"].as_u64().expect("accepted writes have a revision");
    fleet.wait_revision(revision).await;
    fleet.wait_serving("second.test").await;
    for (host, name) in [("first.test", "first-old-0"), ("second.test", "second-new-0")] {
        for daemon in &fleet.daemons {
            let response = call(&CallRequest::get(daemon.callers, host, "/x")).await;
            let response = response.expect("the daemon responds");
            assert!(response.text().starts_with(name), "{host}: {}", response.text());
        }
    }
}

/// The daemon keeps serving while its listeners receive random bytes.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_stays_ready_after_random_bytes_at_every_listener() {
    const SEED: u64 = 99;
    let mut random = StdRng::seed_from_u64(SEED);
    let (mut fleet, _service) = start_fleet(1, 1, &json!({})).await;
    let daemon = &fleet.daemons[0];
    for address in [daemon.callers, daemon.operators, daemon.peers] {
        for round in 0..60 {
            let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
            let mut bytes: Vec<u8> = match round % 3 {
                0 => Vec::new(),
                1 => b"GET /peers HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n\
                      Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                      Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
                    .to_vec(),
                _ => b"POST /v1/records HTTP/1.1\r\nHost: shop.test\r\n".to_vec(),
            };
            let length = random.random_range(0..300);
            bytes.extend((0..length).map(|_| random.random::<u8>()));
            // The daemon may close the connection before all bytes are sent.
            let _ = stream.write_all(&bytes).await;
        }
    }
    fleet.wait_serving("shop.test").await;
    let is_ready = fleet.daemons[0].is_ready_within(Duration::from_secs(20)).await;
    assert!(is_ready, "seed {SEED}");
}

/// One account floods the VM beyond its limit of requests in flight. No request of the other
/// account is refused because of it.
#[tokio::test(flavor = "multi_thread")]
async fn flood_by_one_account_does_not_refuse_requests_of_another() {
    let mut fleet = TestFleet::without_daemons(common::DAEMON_PATH.as_ref()).await;
    fleet.add_daemon(&json!({ "limits": { "in_flight": 100 } }));
    fleet.daemons[0].wait_ready().await;
    let slow_behaviour = common::serve_behaviour(Duration::from_millis(400));
    let noisy_service = TestService::start("noisy", "work", 2, 100, &slow_behaviour).await;
    let fast_behaviour = common::serve_behaviour(Duration::from_millis(1));
    let quiet_service = TestService::start("quiet", "work", 2, 4, &fast_behaviour).await;
    fleet
        .platform
        .set_servers([noisy_service.entries.clone(), quiet_service.entries.clone()].concat());
    fleet.put_account("noisy", &noisy_service, &json!({ "connections": 4000 })).await;
    fleet.put_account("quiet", &quiet_service, &json!({ "connections": 4000 })).await;
    fleet.wait_serving("quiet.test").await;
    fleet.wait_serving("noisy.test").await;
    let callers = fleet.daemons[0].callers;
    let noisy_calls: Vec<_> = (0..400)
        .map(|_| {
            let request = CallRequest::get(callers, "noisy.test", "/work");
            tokio::spawn(async move { call(&request).await.map(|response| response.status) })
        })
        .collect();
    for number in 0..40 {
        let response = call(&CallRequest::get(callers, "quiet.test", "/work")).await;
        let response = response.expect("the daemon responds");
        assert_eq!(
            response.status,
            200,
            "request {number} of the quiet account: {}",
            response.text()
        );
    }
    let mut refused_count = 0;
    for task in noisy_calls {
        if task.await.expect("the call task completes") != Ok(200) {
            refused_count += 1;
        }
    }
    assert!(refused_count > 0, "no request of the noisy account was refused");
}
