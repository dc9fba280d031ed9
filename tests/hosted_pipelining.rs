//! On a hosting platform: requests that arrive on a connection before the first one is answered.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use testkit::{
    CallRequest, HostedBehaviour, HostedFleet, HostedRun, RESPONSE_TIMEOUT, RawCaller, eventually,
    hosted_request, read_metric, request_id, request_text,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// A run that ends only in tests that wait for its end.
const LONG_RUN: HostedBehaviour = HostedBehaviour::Run(Duration::from_secs(15));
const SLOW_TIME: Duration = Duration::from_millis(1_500);
const SLOW_RUN: HostedBehaviour = HostedBehaviour::Run(SLOW_TIME);
const FAST_RUN: HostedBehaviour = HostedBehaviour::Run(Duration::ZERO);

async fn start_fleet(behaviour: HostedBehaviour) -> HostedFleet {
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 3, behaviour).await;
    // Until the VM knows the size of the fleet, it opens one connection to each server.
    sleep(Duration::from_secs(2)).await;
    fleet
}

fn texts(requests: &[CallRequest]) -> String {
    requests.iter().map(request_text).collect()
}

fn reads(fleet: &HostedFleet, count: usize) -> Vec<CallRequest> {
    (0..count).map(|_| fleet.idempotent_request()).collect()
}

/// Reads responses, which must be successes in the order of the requests.
async fn expect_responses(caller: &mut RawCaller, requests: &[CallRequest]) {
    for request in requests {
        let response = caller.next_response().await.expect("the request is answered");
        assert_eq!((response.status, &*response.id), (200, &*request_id(request)));
    }
}

async fn expect_runs(fleet: &HostedFleet, count: usize) {
    eventually("the requests run", async || fleet.runs().len() == count).await;
}

fn run_of(fleet: &HostedFleet, request: &CallRequest) -> HostedRun {
    let id = request_id(request);
    let mut runs = fleet.runs().into_iter().filter(|run| run.id == id);
    let run = runs.next().expect("the request ran");
    assert_eq!(runs.next(), None, "the request ran once");
    run
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_run_at_once_and_are_answered_in_order() {
    let fleet = start_fleet(SLOW_RUN).await;
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    let requests = reads(&fleet, 7);
    caller.send(&texts(&requests[..1])).await;
    expect_runs(&fleet, 1).await;
    fleet.set_behaviour(FAST_RUN);
    caller.send(&texts(&requests[1..4])).await;
    caller.send(&texts(&requests[4..])).await;
    expect_runs(&fleet, requests.len()).await;
    assert!(caller.has_no_response(), "responses wait for the first one");
    expect_responses(&mut caller, &requests).await;
    let metrics = fleet.daemon.metrics;
    assert_eq!(read_metric(metrics, "mustardrail_pipelined_requests_total").await, 6.0);
    assert_eq!(read_metric(metrics, "mustardrail_early_starts_total").await, 6.0);
    eventually("the requests are logged as pipelined", async || {
        fleet.daemon.log_lines_containing("\"pipelined\":true").len() == 6
    })
    .await;
}

/// All arrive in one segment, the first one included.
#[tokio::test(flavor = "multi_thread")]
async fn reads_of_one_write_run_concurrently() {
    let fleet = start_fleet(SLOW_RUN).await;
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    let requests = reads(&fleet, 6);
    caller.send(&texts(&requests)).await;
    expect_responses(&mut caller, &requests).await;
    let first = run_of(&fleet, &requests[0]);
    for request in &requests {
        let run = run_of(&fleet, request);
        assert!(run.started_at < first.started_at + SLOW_TIME, "it didn't wait for the first");
    }
}

/// The time that its caller allows counts from its arrival, not from the response before it.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_behind_a_slow_read_expires_before_the_response_to_that() {
    let fleet = start_fleet(SLOW_RUN).await;
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    let callers = fleet.daemon.callers;
    let first = fleet.idempotent_request();
    let second = hosted_request(callers, "short", Method::GET, "/read/2", 300);
    caller.send(&texts(&[first.clone(), second])).await;
    expect_responses(&mut caller, &[first]).await;
    assert_eq!(caller.next_response().await.expect("a response").status, 504);
    eventually("both requests are logged", async || {
        fleet.daemon.log_lines_containing("request: ").len() == 2
    })
    .await;
    let lines = fleet.daemon.log_lines_containing("request: ");
    assert_eq!((lines[0]["id"].as_str(), lines[1]["status"].as_u64()), (Some("short"), Some(200)));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_must_not_overlap_waits_for_those_before_it() {
    let fleet = start_fleet(SLOW_RUN).await;
    let requests = [
        (fleet.order_request("one stone"), true),
        (fleet.request(Method::POST, "/read/3"), true),
        (fleet.request(Method::GET, "/order/2"), false),
    ];
    for (order, is_unsafe) in requests {
        let mut caller = RawCaller::connect(fleet.daemon.callers).await;
        let [before, behind] = [reads(&fleet, 2), reads(&fleet, 2)];
        let requests = [&before[..], std::slice::from_ref(&order), &behind[..]].concat();
        caller.send(&texts(&requests)).await;
        expect_responses(&mut caller, &requests).await;
        let started_at = run_of(&fleet, &order).started_at;
        for request in &before {
            assert!(run_of(&fleet, request).started_at + SLOW_TIME <= started_at);
        }
        // Its effect may be expected in the responses behind it.
        for request in behind.iter().filter(|_| is_unsafe) {
            assert!(started_at + SLOW_TIME <= run_of(&fleet, request).started_at);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_may_arrive_in_any_pieces() {
    let fleet = start_fleet(FAST_RUN).await;
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    let length = texts(&reads(&fleet, 2)).len();
    for cut in 0..length + 40 {
        let mut requests = reads(&fleet, 2);
        requests.push(fleet.order_request("\r\n\r\nGET"));
        requests.extend(reads(&fleet, 1));
        let text = texts(&requests);
        let (start, end) = text.split_at(cut);
        caller.send(start).await;
        sleep(Duration::from_millis(1)).await;
        caller.send(end).await;
        expect_responses(&mut caller, &requests).await;
        for request in &requests {
            run_of(&fleet, request);
        }
    }
    let requests = reads(&fleet, 3);
    for byte in texts(&requests).chars() {
        caller.send(&byte.to_string()).await;
    }
    expect_responses(&mut caller, &requests).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn number_of_requests_at_once_is_bounded() {
    const RUN_TIME: Duration = Duration::from_millis(20);
    const MAX_CONCURRENT: usize = 17;
    let fleet = start_fleet(HostedBehaviour::Run(RUN_TIME)).await;
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    let requests = reads(&fleet, 1_000);
    let text = texts(&requests);
    let (mut reader, mut writer) = caller.stream.into_split();
    let writing = tokio::spawn(async move {
        writer.write_all(text.as_bytes()).await.expect("the daemon reads");
        writer
    });
    let mut received = Vec::new();
    while String::from_utf8_lossy(&received).matches("HTTP/1.1 200 OK").count() < requests.len() {
        let reading = reader.read_buf(&mut received);
        let count = timeout(RESPONSE_TIMEOUT, reading).await.expect("the daemon responds");
        assert!(count.expect("the connection is open") > 0, "all requests are answered");
    }
    let writer = writing.await.expect("the writing task completes");
    caller = RawCaller { stream: reader.reunite(writer).expect("one stream"), received };
    expect_responses(&mut caller, &requests).await;
    let runs = fleet.runs();
    assert_eq!(runs.len(), requests.len());
    for run in &runs {
        let at = run.started_at;
        let is_running = |start| start <= at && at < start + RUN_TIME;
        let concurrent = runs.iter().filter(|run| is_running(run.started_at)).count();
        assert!(concurrent <= MAX_CONCURRENT, "{concurrent} requests at once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_for_requests_that_wait_is_bounded() {
    const MAX_GROWTH_BYTES: u64 = 4 << 20;
    let fleet = start_fleet(LONG_RUN).await;
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    caller.send(&texts(&reads(&fleet, 2))).await;
    expect_runs(&fleet, 2).await;
    let before = fleet.daemon.usage().resident_bytes;
    // Ends when neither the daemon nor the kernel accepts any more.
    let text = request_text(&fleet.order_request("one stone")).repeat(1_000);
    while timeout(Duration::from_secs(1), caller.stream.write_all(text.as_bytes())).await.is_ok() {}
    let growth = fleet.daemon.usage().resident_bytes.saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
    assert_eq!(fleet.runs().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_cancels_all_its_requests() {
    let fleet = start_fleet(LONG_RUN).await;
    for further in [0, 200] {
        let started_before = fleet.runs().len();
        let mut caller = RawCaller::connect(fleet.daemon.callers).await;
        let order = fleet.order_request("one stone");
        caller.send(&texts(&reads(&fleet, 5))).await;
        // These wait, most of them outside of the daemon. All fit into the buffer of the socket,
        // behind which the kernel doesn't report that the caller has left.
        caller.send(&request_text(&order).repeat(further)).await;
        expect_runs(&fleet, started_before + 5).await;
        drop(caller);
        // Runs that end by themselves aren't cancelled.
        eventually("all runs are cancelled", async || {
            fleet.runs().iter().all(|run| run.is_cancelled)
        })
        .await;
        assert_eq!(fleet.run_count(&order), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_behind_a_response_that_closes_the_connection() {
    let fleet = start_fleet(SLOW_RUN).await;
    let chunked = request_text(&fleet.request(Method::POST, "/order/1"))
        .replace("\r\n\r\n", "\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n");
    let closing = request_text(&fleet.idempotent_request().with_header("connection", "close"));
    let old = request_text(&fleet.idempotent_request()).replace("HTTP/1.1", "HTTP/1.0");
    for last in [chunked, closing, old] {
        let mut caller = RawCaller::connect(fleet.daemon.callers).await;
        let [before, behind] = [reads(&fleet, 2), reads(&fleet, 2)];
        caller.send(&(texts(&before) + &last + &texts(&behind))).await;
        expect_responses(&mut caller, &before).await;
        assert_eq!(caller.next_response().await.expect("a response").status, 200);
        assert_eq!(caller.next_response().await, None);
        for request in &behind {
            assert_eq!(fleet.run_count(request), 0);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_run_at_sigterm_are_all_answered() {
    let mut fleet = start_fleet(HostedBehaviour::Run(Duration::from_secs(4))).await;
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    let requests = reads(&fleet, 5);
    caller.send(&texts(&requests)).await;
    expect_runs(&fleet, 5).await;
    fleet.daemon.terminate();
    eventually("readiness fails", async || fleet.daemon.readiness_status().await != Some(200))
        .await;
    let late = fleet.idempotent_request();
    caller.send(&request_text(&late)).await;
    expect_responses(&mut caller, &requests[..4]).await;
    let last = caller.next_response().await.expect("the last request is answered");
    assert_eq!((last.status, last.closes), (200, true));
    assert_eq!(caller.next_response().await, None);
    assert_eq!(fleet.run_count(&late), 0, "it was not read");
    eventually("the process has exited", async || fleet.daemon.exit_status().is_some()).await;
    assert_eq!(fleet.daemon.exit_status(), Some(0));
}

/// Sends requests, and returns the statuses until the connection ends.
async fn exchange(fleet: &HostedFleet, requests: &[String], is_pipelined: bool) -> Vec<u16> {
    let mut caller = RawCaller::connect(fleet.daemon.callers).await;
    let mut statuses = Vec::new();
    if is_pipelined {
        caller.send(&requests.concat()).await;
    }
    for request in requests {
        if !is_pipelined && caller.stream.write_all(request.as_bytes()).await.is_err() {
            break;
        }
        match caller.next_response().await {
            Some(response) => statuses.push(response.status),
            None => break,
        }
    }
    statuses
}

/// Whatever stands between two requests, the answers and runs are those without pipelining.
#[tokio::test(flavor = "multi_thread")]
async fn unusual_heads_have_the_same_effect_as_without_pipelining() {
    let fleet = start_fleet(FAST_RUN).await;
    let long = "a".repeat(20_000);
    let many: String = (0..110).map(|number| format!("x-{number}: 1\r\n")).collect();
    let unusual_lines = [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /read/9 HTTP/1.1\r\n",
        "content-length: 1\r\ncontent-length: 2\r\n",
        "content-length: 0\r\n",
        "content-length: +0\r\n",
        "content-length : 0\r\n",
        "transfer-encoding: chunked, x\r\n",
        "x-text: one\r\n two\r\n",
        "x-text: one\n",
        "x-text: one\rtwo\r\n",
        "x-text: one\0two\r\n",
        "x-text one\r\n",
        "host: other.test\r\n",
        "upgrade: websocket\r\nconnection: upgrade\r\n",
        "connection: close\r\n",
        "expect: 100-continue\r\n",
        &format!("x-long: {long}\r\n"),
        &many,
        "\r\n\r\n",
        "\n\n",
    ];
    for lines in unusual_lines {
        let mut outcomes = Vec::new();
        for is_pipelined in [false, true] {
            let runs_before = fleet.runs().len();
            let unusual = request_text(&fleet.idempotent_request());
            let unusual = unusual.replacen("\r\n", &format!("\r\n{lines}"), 1);
            let close = fleet.idempotent_request().with_header("connection", "close");
            let requests =
                [request_text(&fleet.idempotent_request()), unusual, request_text(&close)];
            let statuses = exchange(&fleet, &requests, is_pipelined).await;
            outcomes.push((statuses, fleet.runs().len() - runs_before));
        }
        assert_eq!(outcomes[0], outcomes[1], "{:?}", &lines[..lines.len().min(60)]);
    }
}
