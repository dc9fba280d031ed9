//! On a hosting platform: servers that answer uploads before these are in, with odd heads, framings and
//! ends. What a caller takes for a success is a whole response that a server sent.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use testkit::{
    CallRequest, CompleteResponse, HostedFleet, RawConnection, RawRequest, RawServer,
    exchange_bytes, load_header, request_id, request_text,
};
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Seeds that are played, unless the environment sets another number.
const SEEDS: u64 = 3;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_ODD_ANSWER_SEEDS";

const SERVERS: u64 = 3;
const CALLERS: u64 = 6;
const REQUESTS_PER_CALLER: usize = 25;

/// Bytes of bodies up to which both directions are buffered.
const BUFFERED_BYTES: usize = 1 << 20;

/// Deadline of requests. A server that neither answers nor closes holds them for so long.
const DEADLINE_MS: &str = "1500";

/// What a server sends in response to a request.
#[derive(Debug, Clone)]
struct OddResponse {
    status_line: &'static str,
    framing: Framing,
    body: String,
    /// Bytes of the upload that the server reads before it responds.
    read_before: usize,
    /// Bytes that it sends, of head and body with their framing.
    sent: usize,
    /// Bytes of head and body with their framing.
    length: usize,
    pause: Duration,
    end: End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// The body ends with the connection.
    Unframed,
    Length,
    Chunked,
    /// Two lengths that differ.
    TwoLengths,
    /// A length that is no number.
    OddLength,
    /// A length and chunks.
    LengthAndChunks,
    /// A chunk whose size is no number.
    OddChunk,
}

const FRAMINGS: [Framing; 7] = [
    Framing::Unframed,
    Framing::Length,
    Framing::Chunked,
    Framing::TwoLengths,
    Framing::OddLength,
    Framing::LengthAndChunks,
    Framing::OddChunk,
];

/// How the connection ends after the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// It stays open.
    Open,
}

const GOOD_LINES: [&str; 4] =
    ["HTTP/1.1 200 OK", "HTTP/1.1 201 Created", "HTTP/1.0 200 OK", "HTTP/1.1 404 Not Found"];

const ODD_LINES: [&str; 18] = [
    "HTTP/1.1 000 ",
    "HTTP/1.1 000 Unknown",
    "HTTP/1.0 000",
    "HTTP/1.1 001 Low",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 Odd",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 1000 Long",
    "HTTP/1.1 20 Short",
    "HTTP/1.1 2x0 No Number",
    "HTTP/1.1 -20 Negative",
    "HTTP/1.1 ",
    "HTTP/2.0 200 OK",
    "HTTP/0.9 200 OK",
    "ICY 200 OK",
    "200 OK",
];

type SentResponses = Arc<Mutex<HashMap<String, Vec<OddResponse>>>>;

impl OddResponse {
    fn draw(rng: &mut StdRng, request: &RawRequest) -> (Self, String) {
        let is_odd_line = rng.random_bool(0.3);
        let lines: &[&str] = if is_odd_line { &ODD_LINES } else { &GOOD_LINES };
        let status_line = lines.choose(rng).expect("there are lines");
        let framing = match rng.random_bool(0.5) {
            true => Framing::Unframed,
            false => *FRAMINGS.choose(rng).expect("there are framings"),
        };
        let bytes = match rng.random_range(0..8) {
            0 => 0,
            1 => BUFFERED_BYTES - 1,
            2 => BUFFERED_BYTES,
            3 => BUFFERED_BYTES + 1,
            4 => BUFFERED_BYTES + 500_000,
            _ => rng.random_range(1..3_000),
        };
        let body: String = request.id().chars().cycle().take(bytes).collect();
        let text = encode(status_line, framing, request, &body);
        let head = text.find("\r\n\r\n").map_or(text.len(), |start| start + 4);
        let sent = match rng.random_range(0..10) {
            0 => rng.random_range(0..=head),
            1..5 => rng.random_range(head..=text.len()),
            _ => text.len(),
        };
        let read_before = match rng.random_range(0..3) {
            0 => 0,
            1 => rng.random_range(0..=request.content_length()),
            _ => request.content_length(),
        };
        let end = match rng.random_range(0..8) {
            0 => End::Open,
            1..4 => End::Close,
            _ => End::Reset,
        };
        let pause = Duration::from_millis([0, 0, 2, 30, 200][rng.random_range(0..5)]);
        let length = text.len();
        let response = Self { status_line, framing, body, read_before, sent, length, pause, end };
        (response, text)
    }

    fn status(&self) -> &str {
        self.status_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Whether a receiver may take what was sent for a whole response.
    fn may_be_whole(&self) -> bool {
        let is_valid_line = GOOD_LINES.contains(&self.status_line);
        let is_all_sent = self.sent == self.length;
        match self.framing {
            // The end of the connection is the end of the body, whether the server meant it or not.
            Framing::Unframed => is_valid_line && self.end == End::Close,
            Framing::Length | Framing::Chunked => is_valid_line && is_all_sent,
            // A receiver may go by the chunks.
            Framing::LengthAndChunks => is_valid_line && is_all_sent,
            Framing::TwoLengths | Framing::OddLength | Framing::OddChunk => false,
        }
    }

    /// Whether a success with this body can be the response.
    fn matches(&self, response: &CompleteResponse) -> bool {
        let is_body = match self.framing {
            Framing::Unframed => self.body.as_bytes().starts_with(&response.body),
            _ => self.body.as_bytes() == response.body,
        };
        self.may_be_whole() && is_body && self.status() == response.status
    }
}

/// Returns the bytes of a response.
fn encode(status_line: &str, framing: Framing, request: &RawRequest, body: &str) -> String {
    let headers = request.response_headers() + &load_header("0,0,4,100");
    let length = body.len();
    let chunks = match length {
        0 => "0\r\n\r\n".to_owned(),
        _ => format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
    };
    let (framing, body) = match framing {
        Framing::Unframed => (String::new(), body.to_owned()),
        Framing::Length => (format!("content-length: {length}\r\n"), body.to_owned()),
        Framing::Chunked => ("transfer-encoding: chunked\r\n".to_owned(), chunks),
        Framing::TwoLengths => {
            let lengths = format!("content-length: {length}\r\ncontent-length: {}\r\n", length + 1);
            (lengths, body.to_owned())
        }
        Framing::OddLength => (format!("content-length: {length}x\r\n"), body.to_owned()),
        Framing::LengthAndChunks => {
            (format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n"), chunks)
        }
        Framing::OddChunk => {
            ("transfer-encoding: chunked\r\n".to_owned(), format!("zz\r\n{body}\r\n0\r\n\r\n"))
        }
    };
    format!("{status_line}\r\n{headers}{framing}\r\n{body}")
}

fn record(sent: &SentResponses, id: &str, response: OddResponse) {
    let mut sent = sent.lock().expect("response lock is never poisoned");
    sent.entry(id.to_owned()).or_default().push(response);
}

async fn serve_odd_responses(
    mut connection: RawConnection,
    sent: SentResponses,
    rng: Arc<Mutex<StdRng>>,
) -> Option<()> {
    loop {
        let request = connection.next_head().await?;
        if request.is_probe() {
            connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
            continue;
        }
        let (response, text) =
            OddResponse::draw(&mut rng.lock().expect("rng lock is never poisoned"), &request);
        record(&sent, request.id(), response.clone());
        connection.read_body(response.read_before).await?;
        connection.send(&text[..response.sent]).await?;
        sleep(response.pause).await;
        match response.end {
            End::Close => return None,
            End::Reset => {
                connection.reset();
                return None;
            }
            End::Open => connection.wait_for_end().await,
        }
    }
}

/// Returns the bytes of a request of a random kind, which asks for the end of the connection.
fn draw_request(rng: &mut StdRng, fleet: &HostedFleet) -> (CallRequest, Vec<u8>) {
    let bytes = match rng.random_range(0..6) {
        0 => None,
        1 => Some(rng.random_range(0..2_000)),
        2 => Some(BUFFERED_BYTES),
        3 => Some(BUFFERED_BYTES + 1),
        _ => Some(rng.random_range(BUFFERED_BYTES..3 * BUFFERED_BYTES)),
    };
    let request = match bytes {
        None => fleet.idempotent_request(),
        Some(_) => fleet.order_request(""),
    };
    let deadline_name = platform::wire_interface().headers.deadline_ms;
    let mut head_request = request.clone();
    for (name, value) in &mut head_request.headers {
        if **name == *deadline_name.as_str() {
            *value = DEADLINE_MS.into();
        }
    }
    let mut text = request_text(&head_request);
    let is_http10 = rng.random_bool(0.3);
    let is_chunked = !is_http10 && rng.random_bool(0.4);
    if is_http10 {
        text = text.replacen("HTTP/1.1", "HTTP/1.0", 1);
    }
    let body = "u".repeat(bytes.unwrap_or(0));
    let framing = match (bytes, is_chunked) {
        (None, _) => String::new(),
        (Some(_), true) => "transfer-encoding: chunked\r\n".to_owned(),
        (Some(length), false) => format!("content-length: {length}\r\n"),
    };
    let head = text.trim_end().to_owned() + "\r\nconnection: close\r\n" + &framing + "\r\n";
    let framed_body = match (bytes, is_chunked) {
        (Some(length), true) if length > 0 => format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        (Some(_), true) => "0\r\n\r\n".to_owned(),
        _ => body,
    };
    (request, (head + &framed_body).into_bytes())
}

/// What is wrong with a response that looks complete.
fn fault_of(
    response: &CompleteResponse,
    id: &str,
    head: &str,
    sent: &SentResponses,
) -> Option<String> {
    let sent = sent.lock().expect("response lock is never poisoned");
    let responses = sent.get(id).cloned().unwrap_or_default();
    let status: u16 = response.status.parse().unwrap_or(0);
    let is_forwarded = (200..300).contains(&status) || response.is_signed;
    let fault = if !(200..600).contains(&status) || response.status.len() != 3 {
        "an invalid status"
    } else if is_forwarded && response.id != id {
        "the response to another request"
    } else if is_forwarded && !responses.iter().any(|sent| sent.matches(response)) {
        "not a whole response of a server"
    } else {
        return None;
    };
    let summary: Vec<_> =
        responses.iter().map(|sent| OddResponse { body: String::new(), ..sent.clone() }).collect();
    let (status, length) = (&response.status, response.body.len());
    Some(format!("{id} ({head}): {fault}, status {status}, {length} bytes; sent were {summary:?}"))
}

async fn play(seed: u64) {
    let sent = SentResponses::default();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed * 100 + number)));
        let server_sent = Arc::clone(&sent);
        let script = move |connection: RawConnection| {
            serve_odd_responses(connection, Arc::clone(&server_sent), Arc::clone(&rng))
        };
        servers.push(RawServer::start(&format!("s-{number}"), script).await);
    }
    let mut fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), &servers).await;
    let callers = (0..CALLERS).map(|caller| {
        let (fleet, sent) = (&fleet, &sent);
        async move {
            let mut rng = StdRng::seed_from_u64(seed * 100 + 50 + caller);
            let (mut successes, mut faults) = (0, Vec::new());
            for _ in 0..REQUESTS_PER_CALLER {
                let (request, bytes) = draw_request(&mut rng, fleet);
                let start = String::from_utf8_lossy(&bytes[..bytes.len().min(400)]).into_owned();
                let head = start.split("\r\n\r\n").next().unwrap_or_default().replace("\r\n", "; ");
                if let Some(response) = exchange_bytes(request.address, bytes).await {
                    successes += usize::from(response.status.starts_with('2'));
                    faults.extend(fault_of(&response, &request_id(&request), &head, sent));
                }
            }
            (successes, faults)
        }
    });
    let (successes, faults): (Vec<usize>, Vec<_>) = join_all(callers).await.into_iter().unzip();
    let faults: Vec<String> = faults.into_iter().flatten().collect();
    assert!(faults.is_empty(), "seed {seed}: {}", faults.join("\n"));
    let served: usize = successes.iter().sum();
    println!("seed {seed}: {served} successes");
    assert!(served > 0, "seed {seed}: no request was served");
    assert_eq!(fleet.daemon.exit_status(), None, "seed {seed}: the daemon has ended");
    assert!(!fleet.daemon.log_text().contains("panicked"), "seed {seed}");
}

/// Guards against MIXED: a part of a response to an upload that is still being written, or a response
/// with an invalid status, reaches the caller as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn odd_responses_to_uploads_never_look_like_a_success() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        play(seed).await;
    }
}

/// A server that answers a request when it has read its head, before the body is in, with bytes whose
/// last part it leaves out, and resets the connection.
async fn start_resetting_server(status_line: &'static str, sent_bytes: usize) -> RawServer {
    RawServer::start("s-0", move |mut connection: RawConnection| async move {
        loop {
            let request = connection.next_head().await?;
            if request.is_probe() {
                connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
                continue;
            }
            let body = "x".repeat(sent_bytes + 1_000);
            let text = encode(status_line, Framing::Unframed, &request, &body);
            connection.send(&text[..text.len() - 1_000]).await?;
            // The first bytes reach the caller before the end.
            sleep(Duration::from_millis(200)).await;
            connection.reset();
            return None;
        }
    })
    .await
}

/// Guards against MIXED: a server resets the connection in the middle of a body without a length, while
/// the upload is still being written, and the caller takes the part for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn part_of_an_unframed_response_to_an_upload_is_no_success() {
    for status_line in ["HTTP/1.0 200 OK", "HTTP/1.1 200 OK"] {
        for sent_bytes in [1_000, BUFFERED_BYTES - 1, BUFFERED_BYTES + 1, 2 * BUFFERED_BYTES] {
            let server = start_resetting_server(status_line, sent_bytes).await;
            let servers = std::slice::from_ref(&server);
            let fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), servers).await;
            for version in ["HTTP/1.0", "HTTP/1.1"] {
                let order = fleet.order_request("");
                let text = request_text(&order).replace("HTTP/1.1", version);
                let length = 6 * BUFFERED_BYTES;
                let head = format!("connection: close\r\ncontent-length: {length}\r\n\r\n");
                let mut bytes = (text.trim_end().to_owned() + "\r\n" + &head).into_bytes();
                bytes.resize(bytes.len() + length, b'u');
                let response = exchange_bytes(order.address, bytes).await;
                let success = response.filter(|response| response.status == "200");
                let length = success.map(|success| success.body.len());
                let case = format!("{sent_bytes} bytes of {status_line}, caller with {version}");
                assert_eq!(length, None, "{case}");
            }
        }
    }
}
