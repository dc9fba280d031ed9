//! Rules of HTTP towards callers and backend servers.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{lookup, setup};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use testkit::{CallRequest, TestFleet, TestService, account_record, call, policy_record};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes and reads until the connection closes or goes quiet.
async fn send_raw(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
    stream.write_all(text.as_bytes()).await.expect("the daemon reads");
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    let quiet = Duration::from_millis(1_500);
    while let Ok(Ok(count)) = tokio::time::timeout(quiet, stream.read(&mut buffer)).await {
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_requests_reach_no_server() {
    let (fleet, service) = setup(1, 1, &json!({})).await;
    let address = fleet.daemons[0].callers;
    let before = service.servers[0].request_count();
    let refused = [
        "GET /a HTTP/1.1\r\nHost: shop.test\r\nHost: other.test\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a/../b HTTP/1.1\r\nHost: shop.test\r\n\r\n",
        "GET /a/%2e%2E/b HTTP/1.1\r\nHost: shop.test\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        "POST /a HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nxx\r\n",
        "CONNECT shop.test:80 HTTP/1.1\r\nHost: shop.test\r\n\r\n",
    ];
    for text in refused {
        let answer = send_raw(address, text).await;
        assert!(!answer.starts_with("HTTP/1.1 200"), "{text:?} got {answer}");
    }
    assert_eq!(service.servers[0].request_count(), before, "a refused request reached a server");
}

/// A request with both lengths is read by its chunks alone, reaches the server as one request, and
/// nothing behind it on its connection is read.
#[tokio::test(flavor = "multi_thread")]
async fn both_lengths_are_one_request_at_the_server_and_close_the_connection() {
    let (fleet, service) = setup(1, 1, &json!({})).await;
    let text = "POST /a HTTP/1.1\r\nHost: shop.test\r\nx-request: both\r\nContent-Length: 4\r\n\
                Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
                GET /hidden HTTP/1.1\r\nHost: shop.test\r\n\r\n";
    let answer = send_raw(fleet.daemons[0].callers, text).await;
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
    let served = service.servers[0].served_requests();
    assert!(served.iter().all(|served| &*served.target != "GET /hidden"));
    assert!(served.iter().filter(|served| &*served.tag == "both").all(|s| s.body == "abc"));
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_callers_get_their_own_answers() {
    let (fleet, _service) = setup(1, 3, &json!({})).await;
    let stream = TcpStream::connect(fleet.daemons[0].callers).await.expect("the daemon listens");
    let (sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("HTTP/2 works");
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
                let answer = sender.send_request(request).await.expect("answered");
                let body = answer.into_body().collect().await.expect("whole").to_bytes();
                assert!(String::from_utf8_lossy(&body).contains(&format!(" {tag} ")));
            })
        })
        .collect();
    for call in calls {
        call.await.expect("the stream got its own answer");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_is_passed_on_and_kept() {
    let (fleet, _service) = common::slow_setup(1, Duration::from_secs(3)).await;
    let request = lookup(&fleet, 0, "late").with_header("mustardrail-deadline-ms", "300");
    let answer = call(&request).await.expect("answered");
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{}", answer.text());
}

/// Two accounts run on different schema versions of the same records, and each moves by itself.
#[tokio::test(flavor = "multi_thread")]
async fn accounts_move_between_schema_versions_one_by_one() {
    let fleet = TestFleet::start(common::DAEMON.as_ref(), 2).await;
    let behaviour = common::serve(Duration::from_millis(1));
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
    let mut moved = account_record("second", &["second.test"]);
    moved["spec"]["runs_schema"] = json!(2);
    let message = json!({ "verb": "replace", "record": moved, "base": 6 });
    let answer = fleet.write_record(0, testkit::FLEET_KEY, &message).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let revision = answer.json()["revision"].as_u64().expect("a revision");
    fleet.wait_revision(revision).await;
    fleet.wait_serving("second.test").await;
    for (host, name) in [("first.test", "first-old-0"), ("second.test", "second-new-0")] {
        for daemon in &fleet.daemons {
            let answer = call(&CallRequest::get(daemon.callers, host, "/x")).await;
            let answer = answer.expect("answered");
            assert!(answer.text().starts_with(name), "{host}: {}", answer.text());
        }
    }
}

/// Random bytes at every listener stop nothing.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_at_every_listener_is_survived() {
    const SEED: u64 = 99;
    let mut random = StdRng::seed_from_u64(SEED);
    let (mut fleet, _service) = setup(1, 1, &json!({})).await;
    let daemon = &fleet.daemons[0];
    for address in [daemon.callers, daemon.operators, daemon.peers] {
        for round in 0..60 {
            let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
            let mut bytes: Vec<u8> = match round % 3 {
                0 => Vec::new(),
                1 => b"GET /peers HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
                      Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
                    .to_vec(),
                _ => b"POST /v1/records HTTP/1.1\r\nHost: shop.test\r\n".to_vec(),
            };
            let length = random.random_range(0..300);
            bytes.extend((0..length).map(|_| random.random::<u8>()));
            // The daemon may close before all is sent.
            let _ = stream.write_all(&bytes).await;
        }
    }
    fleet.wait_serving("shop.test").await;
    let is_ready = fleet.daemons[0].is_ready_within(Duration::from_secs(20)).await;
    assert!(is_ready, "seed {SEED}");
}

/// One account floods; none of the quiet account's requests is refused for it.
#[tokio::test(flavor = "multi_thread")]
async fn flooding_account_gets_no_quiet_request_refused() {
    let mut fleet = TestFleet::without_daemons(common::DAEMON.as_ref()).await;
    fleet.add_daemon(&json!({ "limits": { "in_flight": 100 } }));
    fleet.daemons[0].wait_ready().await;
    let slow = common::serve(Duration::from_millis(400));
    let loud = TestService::start("loud", "work", 2, 100, &slow).await;
    let quick = common::serve(Duration::from_millis(1));
    let quiet = TestService::start("quiet", "work", 2, 4, &quick).await;
    fleet.platform.set_servers([loud.entries.clone(), quiet.entries.clone()].concat());
    fleet.put_account("loud", &loud, &json!({ "connections": 4000 })).await;
    fleet.put_account("quiet", &quiet, &json!({ "connections": 4000 })).await;
    fleet.wait_serving("quiet.test").await;
    fleet.wait_serving("loud.test").await;
    let callers = fleet.daemons[0].callers;
    let flood: Vec<_> = (0..400)
        .map(|_| {
            let request = CallRequest::get(callers, "loud.test", "/work");
            tokio::spawn(async move { call(&request).await.map(|answer| answer.status) })
        })
        .collect();
    for number in 0..40 {
        let answer = call(&CallRequest::get(callers, "quiet.test", "/work")).await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, 200, "quiet request {number}: {}", answer.text());
    }
    let mut refused = 0;
    for request in flood {
        if request.await.expect("the call ends") != Ok(200) {
            refused += 1;
        }
    }
    assert!(refused > 0, "the flood was not limited");
}
