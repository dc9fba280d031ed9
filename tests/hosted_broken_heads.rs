//! On a hosting platform: servers that break off their response, in the head or in the body.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use testkit::{
    CallRequest, HostedFleet, RawConnection, RawRequest, RawServer, call, call_with_http10,
    load_header, not_run_header, request_id,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Servers of the fleet, and callers that send requests one after the other.
const SERVERS: u64 = 3;
const CALLERS: u64 = 6;
const REQUESTS_PER_CALLER: usize = 50;

/// Seed of the draws, unless the environment sets another.
const SEED: u64 = 48;
const SEED_VARIABLE: &str = "MUSTARDRAIL_CUT_SEED";

/// Bytes of a body that is streamed; shorter ones are buffered.
const STREAMED_BYTES: usize = 1_500_000;

/// How a response is framed.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunked,
    ChunkedWithTrailer,
    /// The body ends with the connection.
    Unframed,
    /// An older version of the protocol, with a length.
    Http10,
    /// Behind an interim response.
    Interim,
    /// A refusal of a request that did not run.
    Refusal,
}

const FRAMINGS: [Framing; 7] = [
    Framing::Length,
    Framing::Chunked,
    Framing::ChunkedWithTrailer,
    Framing::Unframed,
    Framing::Http10,
    Framing::Interim,
    Framing::Refusal,
];

/// What a server sent in response to a request.
#[derive(Debug, Clone)]
struct SentResponse {
    framing: Framing,
    /// Bytes that were sent, of all.
    cut: usize,
    length: usize,
    is_reset: bool,
    body: String,
    /// Whether a receiver can take what was sent for a whole response.
    is_whole: bool,
}

type SentResponses = Arc<Mutex<HashMap<String, Vec<SentResponse>>>>;

/// Returns the head and the body of a response, with its framing.
fn encode(framing: Framing, request: &RawRequest, body: &str) -> (String, String) {
    let headers = request.response_headers() + &load_header("0,0,4,100");
    let length = format!("content-length: {}\r\n\r\n", body.len());
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let chunk = match body.len() {
        0 => "0\r\n".to_owned(),
        length => format!("{length:x}\r\n{body}\r\n0\r\n"),
    };
    let ok = format!("HTTP/1.1 200 OK\r\n{headers}");
    match framing {
        Framing::Length => (ok + &length, body.to_owned()),
        Framing::Chunked => (ok + chunked, chunk + "\r\n"),
        Framing::ChunkedWithTrailer => (ok + chunked, chunk + "x-trailer: 1\r\n\r\n"),
        Framing::Unframed => (ok + "\r\n", body.to_owned()),
        Framing::Http10 => (format!("HTTP/1.0 200 OK\r\n{headers}{length}"), body.to_owned()),
        Framing::Interim => {
            let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
            (format!("{interim}{ok}{length}"), body.to_owned())
        }
        Framing::Refusal => {
            let not_run = not_run_header();
            (format!("HTTP/1.1 503 Service Unavailable\r\n{headers}{not_run}{length}"), body.into())
        }
    }
}

/// Draws a response and where it breaks off.
fn draw_response(rng: &mut StdRng, request: &RawRequest) -> (String, SentResponse) {
    let framing = FRAMINGS[rng.random_range(0..FRAMINGS.len())];
    let bytes = match rng.random_range(0..8) {
        0 => STREAMED_BYTES,
        1 => 0,
        _ => rng.random_range(1..400),
    };
    let body: String = request.id().chars().cycle().take(bytes).collect();
    let (head, framed_body) = encode(framing, request, &body);
    let text = head.clone() + &framed_body;
    let cut = match rng.random_range(0..10) {
        // Most cuts are within the head.
        0..6 => rng.random_range(0..head.len()),
        6 => head.len(),
        7..9 => rng.random_range(head.len()..=text.len()),
        _ => text.len(),
    };
    let is_reset = rng.random_bool(0.3);
    let is_whole = match framing {
        // The end of the connection is the end of the body, whether the server meant it or not.
        Framing::Unframed => cut >= head.len() && !(is_reset && cut < text.len()),
        Framing::Refusal => false,
        _ => cut == text.len(),
    };
    let body = match framing {
        Framing::Unframed => text[head.len().min(cut)..cut].to_owned(),
        _ => body,
    };
    let length = text.len();
    (text, SentResponse { framing, cut, length, is_reset, body, is_whole })
}

fn record(sent: &SentResponses, id: &str, response: SentResponse) {
    let mut sent = sent.lock().expect("response lock is never poisoned");
    sent.entry(id.to_owned()).or_default().push(response);
}

async fn serve_broken_responses(
    mut connection: RawConnection,
    sent: SentResponses,
    rng: Arc<Mutex<StdRng>>,
) -> Option<()> {
    loop {
        let request = connection.next_request().await?;
        if request.is_probe() {
            connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
            continue;
        }
        let drawn = draw_response(&mut rng.lock().expect("rng lock is never poisoned"), &request);
        let (text, response) = drawn;
        let (cut, is_reset) = (response.cut, response.is_reset);
        let is_last = matches!(response.framing, Framing::Unframed | Framing::Http10);
        record(&sent, request.id(), response);
        connection.send(&text[..cut]).await?;
        if is_reset {
            connection.reset();
        }
        if is_reset || is_last || cut < text.len() {
            return None;
        }
    }
}

/// Returns the status and body of what a caller takes for a whole response; `None` if it broke off.
async fn call_with_http11(request: &CallRequest) -> Option<(u16, Vec<u8>)> {
    let response = call(request).await.ok()?;
    Some((response.status, response.body.to_vec()))
}

/// Guards against MIXED: a response that its server broke off never looks complete to the caller,
/// wherever and however it was broken off.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_breaks_off_never_looks_complete() {
    let seed = std::env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(SEED);
    let sent = SentResponses::default();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed * 100 + number)));
        let server_sent = Arc::clone(&sent);
        let script = move |connection: RawConnection| {
            serve_broken_responses(connection, Arc::clone(&server_sent), Arc::clone(&rng))
        };
        servers.push(RawServer::start(&format!("s-{number}"), script).await);
    }
    let fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), &servers).await;
    let callers = (0..CALLERS).map(|caller| {
        let (fleet, sent) = (&fleet, &sent);
        async move {
            let mut rng = StdRng::seed_from_u64(seed * 100 + 50 + caller);
            let mut complete = 0;
            for _ in 0..REQUESTS_PER_CALLER {
                let request = match rng.random_bool(0.5) {
                    true => fleet.order_request("one stone"),
                    false => fleet.idempotent_request(),
                };
                let is_http10 = rng.random_bool(0.3);
                let response = match is_http10 {
                    true => call_with_http10(&request).await,
                    false => call_with_http11(&request).await,
                };
                if let Some((200, body)) = response {
                    complete += 1;
                    check_success(&body, &request_id(&request), sent, is_http10);
                }
            }
            complete
        }
    });
    let complete: usize = join_all(callers).await.into_iter().sum();
    assert!(complete > 0, "no request was served");
}

/// A success is one of the whole responses that servers sent.
fn check_success(body: &[u8], id: &str, sent: &SentResponses, is_http10: bool) {
    let all_sent = sent.lock().expect("response lock is never poisoned");
    let responses = all_sent.get(id).cloned().unwrap_or_default();
    let is_sent = responses.iter().any(|sent| sent.is_whole && sent.body.as_bytes() == body);
    let summary: Vec<_> = responses
        .iter()
        .map(|sent| (sent.framing, sent.cut, sent.length, sent.is_reset, sent.is_whole))
        .collect();
    let length = body.len();
    assert!(is_sent, "{id}: success with {length} bytes, HTTP/1.0: {is_http10}, sent: {summary:?}");
}

/// Guards against MIXED: to a caller with HTTP/1.0, a body without a length ends with the connection,
/// so a long one that breaks off has to end with a reset.
#[tokio::test(flavor = "multi_thread")]
async fn broken_long_response_ends_with_a_reset_for_old_callers() {
    let server = RawServer::start("s-0", |mut connection: RawConnection| async move {
        loop {
            let request = connection.next_request().await?;
            if request.is_probe() {
                connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
                continue;
            }
            let body = "x".repeat(STREAMED_BYTES);
            let (head, body) = encode(Framing::Chunked, &request, &body);
            connection.send(&(head + &body[..body.len() - 1_000])).await?;
            return None;
        }
    })
    .await;
    let fleet =
        HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), std::slice::from_ref(&server))
            .await;
    let order = fleet.order_request("one stone");
    let response = call_with_http10(&order).await;
    assert!(response.is_none_or(|(status, _)| status != 200), "it looks complete");
    assert_eq!(server.run_count(), 1);
}
