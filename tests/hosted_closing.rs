//! On a hosting platform: a connection that the daemon closes loses none of its responses, although
//! its caller goes on sending.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use testkit::{
    CallRequest, HostedFleet, RawCaller, RawConnection, RawServer, eventually, request_id,
    request_text,
};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Bytes of a response. Eight of them don't fit into the small receive buffer of a caller.
const RESPONSE_BYTES: usize = 60_000;

const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

const RUN_TIME: Duration = Duration::from_millis(150);

/// Time in which the daemon writes its responses and closes the connection, if nobody reads.
const CLOSE_TIME: Duration = Duration::from_millis(500);

async fn start_fleet() -> (HostedFleet, RawServer) {
    let server = RawServer::start("s-0", |mut connection: RawConnection| async move {
        loop {
            let request = connection.next_request().await?;
            if request.is_probe() {
                connection.respond("200 OK", "", "").await?;
                continue;
            }
            sleep(RUN_TIME).await;
            let body = "x".repeat(RESPONSE_BYTES);
            connection.respond("200 OK", &request.response_headers(), &body).await?;
        }
    })
    .await;
    let fleet =
        HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), std::slice::from_ref(&server))
            .await;
    // Until the VM knows the size of the fleet, it opens one connection to each server.
    sleep(Duration::from_secs(2)).await;
    (fleet, server)
}

fn reads(fleet: &HostedFleet, count: usize) -> Vec<CallRequest> {
    (0..count).map(|_| fleet.idempotent_request()).collect()
}

fn texts(requests: &[CallRequest]) -> String {
    requests.iter().map(request_text).collect()
}

async fn connect(fleet: &HostedFleet) -> RawCaller {
    RawCaller::connect_with_receive_buffer(fleet.daemon.callers, RECEIVE_BUFFER_BYTES).await
}

/// Reads the responses of requests, the last of which closes the connection.
async fn expect_all(caller: &mut RawCaller, requests: &[CallRequest], last_status: u16) {
    for (index, request) in requests.iter().enumerate() {
        let response = caller.next_response().await;
        let response = response.unwrap_or_else(|| panic!("response {index} was lost"));
        let is_last = index + 1 == requests.len();
        let status = if is_last { last_status } else { 200 };
        assert_eq!((response.status, response.closes), (status, is_last), "response {index}");
        if status == 200 {
            assert_eq!(response.id, *request_id(request));
        }
    }
    assert_eq!(caller.next_response().await, None);
}

/// Guards against LOST: the reset of a connection that was closed while further requests arrived took
/// responses that servers had finished.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_responses_survive_a_shutdown_while_the_caller_goes_on_sending() {
    let (mut fleet, server) = start_fleet().await;
    let mut caller = connect(&fleet).await;
    let mut requests = reads(&fleet, 8);
    caller.send(&texts(&requests)).await;
    eventually("the requests run", async || server.run_count() == 8).await;
    fleet.daemon.terminate();
    for _ in 0..10 {
        // A caller may send until it reads that the connection closes.
        let further = fleet.idempotent_request();
        let _ = caller.stream.write_all(request_text(&further).as_bytes()).await;
        requests.push(further);
        sleep(CLOSE_TIME / 10).await;
    }
    // Further requests are started until the daemon has handled the signal. All that ran are
    // answered, and the last response closes the connection.
    let run_count = server.run_count() as usize;
    assert!(run_count >= 8, "{run_count} requests ran");
    expect_all(&mut caller, &requests[..run_count], 200).await;
    assert_eq!(server.run_count() as usize, run_count);
    drop(caller);
    eventually("the process has exited", async || fleet.daemon.exit_status().is_some()).await;
    assert_eq!(fleet.daemon.exit_status(), Some(0));
}

/// The same without a shutdown: the response to a chunked body closes the connection, and so does one
/// to a request without HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_responses_survive_a_response_that_closes_the_connection() {
    let (fleet, _server) = start_fleet().await;
    let chunked = fleet.request(Method::POST, "/order/1");
    let chunked_text = request_text(&chunked)
        .replace("\r\n\r\n", "\r\ntransfer-encoding: chunked\r\n\r\n5\r\nstone\r\n0\r\n\r\n");
    let malformed_text = "no request\r\n\r\n".to_owned();
    for (last_text, last_status) in [(chunked_text, 200), (malformed_text, 400)] {
        let mut caller = connect(&fleet).await;
        let mut requests = reads(&fleet, 7);
        caller.send(&(texts(&requests) + &last_text)).await;
        requests.push(chunked.clone());
        for _ in 0..20 {
            let further = request_text(&fleet.idempotent_request());
            let _ = caller.stream.write_all(further.as_bytes()).await;
            sleep(CLOSE_TIME / 10).await;
        }
        expect_all(&mut caller, &requests, last_status).await;
    }
}

/// A refusal before the end of a long body reaches the caller that sends the rest of it.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_body_that_is_too_long_reaches_its_caller() {
    let (fleet, _server) = start_fleet().await;
    let mut caller = connect(&fleet).await;
    let upload = fleet.request(Method::POST, "/order/1");
    let length = 9 << 20;
    let head =
        request_text(&upload).replace("\r\n\r\n", &format!("\r\ncontent-length: {length}\r\n\r\n"));
    caller.send(&head).await;
    let part = vec![b'x'; 64 << 10];
    for _ in 0..20 {
        // The daemon discards the body for some time.
        if caller.stream.write_all(&part).await.is_err() {
            break;
        }
        sleep(CLOSE_TIME / 20).await;
    }
    let response = caller.next_response().await.expect("the refusal was lost");
    assert_eq!(response.status, 413);
}

/// A caller that neither reads nor closes its connection holds it only for some time.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_keeps_a_closed_connection_does_not_hold_up_the_exit() {
    let (mut fleet, server) = start_fleet().await;
    let mut caller = connect(&fleet).await;
    caller.send(&texts(&reads(&fleet, 8))).await;
    eventually("the requests run", async || server.run_count() == 8).await;
    fleet.daemon.terminate();
    let has_exited = timeout(
        Duration::from_secs(15),
        eventually("the process has exited", async || fleet.daemon.exit_status().is_some()),
    );
    has_exited.await.expect("the daemon exits while the connection is open");
    drop(caller);
}
