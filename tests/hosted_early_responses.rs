//! On a hosting platform: servers that respond to an upload before they have read it, keep the
//! connection and read on. The upload must arrive whole.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use testkit::{
    HostedFleet, RawCaller, RawConnection, RawServer, load_header, request_id, request_text,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Drawn histories, unless the variable gives another number of them.
const SEEDS: u64 = 2;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_EARLY_SEEDS";

const UPLOADS: usize = 60;

/// Longest pause between the starts of two uploads.
const MAX_START_PAUSE_MS: u64 = 60;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Sizes of request bodies: on both sides of what is buffered, and small ones between them, whose
/// connections fill the pool.
const BODY_BYTES: [usize; 8] = [0, 60_000, 60_000, 500_000, MIB - 1, MIB, MIB + 1, 3 * MIB];

/// Bytes that a server reads before it responds.
const READ_BYTES: [usize; 3] = [0, 128 * KIB, 400 * KIB];

/// Sizes of response bodies: on both sides of what is buffered.
const RESPONSE_BYTES: [usize; 4] = [2, 2, 100_000, MIB + 500_000];

/// Longest time over which a caller sends or a server reads.
const MAX_TRANSFER_MS: u64 = 1_500;

/// Number of parts in which they do.
const PARTS: usize = 10;

/// Bytes of each upload that a server has read, by request ID.
type ReadBytes = Arc<Mutex<HashMap<String, usize>>>;

async fn serve(
    mut connection: RawConnection,
    rng: Arc<Mutex<StdRng>>,
    read_bytes: ReadBytes,
) -> Option<()> {
    let add = |id: &str, bytes: usize| {
        let mut read_bytes = read_bytes.lock().expect("map lock is never poisoned");
        *read_bytes.entry(id.to_owned()).or_default() += bytes;
    };
    let load = load_header("0,0,64,100");
    loop {
        let request = connection.next_head().await?;
        if request.is_probe() {
            connection.respond("200 OK", &load, "").await?;
            continue;
        }
        let (first, response_bytes, pause) = {
            let mut rng = rng.lock().expect("rng lock is never poisoned");
            let first = *READ_BYTES.choose(&mut rng).expect("not empty");
            let response_bytes = *RESPONSE_BYTES.choose(&mut rng).expect("not empty");
            (first, response_bytes, draw_pause(&mut rng))
        };
        let first = first.min(request.content_length());
        connection.read_body(first).await?;
        add(request.id(), first);
        let headers = request.response_headers() + &load;
        connection.respond("200 OK", &headers, &"x".repeat(response_bytes)).await?;
        for bytes in parts(request.content_length() - first) {
            sleep(pause).await;
            connection.read_body(bytes).await?;
            add(request.id(), bytes);
        }
    }
}

fn draw_pause(rng: &mut StdRng) -> Duration {
    let pause = Duration::from_millis(rng.random_range(0..MAX_TRANSFER_MS)) / PARTS as u32;
    if rng.random_bool(0.5) { pause } else { Duration::ZERO }
}

fn parts(bytes: usize) -> impl Iterator<Item = usize> {
    (0..PARTS).map(move |part| bytes * (part + 1) / PARTS - bytes * part / PARTS)
}

/// An upload that was sent whole.
struct SentUpload {
    id: Box<str>,
    body_bytes: usize,
    status_line: String,
    /// Kept open, as by a caller that sends further requests.
    _caller: RawCaller,
}

/// Sends an upload and reads its response meanwhile.
async fn upload(
    head: String,
    id: Box<str>,
    body_bytes: usize,
    pause: Duration,
    mut caller: RawCaller,
) -> SentUpload {
    let head = format!("{head}content-length: {body_bytes}\r\n\r\n");
    let (mut reader, mut writer) = caller.stream.split();
    let writing = async {
        writer.write_all(head.as_bytes()).await.expect("the daemon reads");
        for bytes in parts(body_bytes) {
            sleep(pause).await;
            let part = "x".repeat(bytes);
            writer.write_all(part.as_bytes()).await.expect("the daemon reads");
        }
    };
    let reading = async {
        let mut received = Vec::new();
        loop {
            let count = reader.read_buf(&mut received).await.expect("the daemon responds");
            if let Some((head, rest)) = split_head(&received) {
                let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
                let length: usize = length.and_then(|text| text.parse().ok()).expect("a length");
                if rest >= length {
                    return head.lines().next().unwrap_or_default().to_owned();
                }
            }
            assert!(count > 0, "the response broke off");
        }
    };
    let ((), status_line) = tokio::join!(writing, reading);
    SentUpload { id, body_bytes, status_line, _caller: caller }
}

/// Returns the head of a response and the number of bytes after it.
fn split_head(received: &[u8]) -> Option<(String, usize)> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    Some((head, received.len() - end))
}

async fn check_uploads(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let read_bytes = ReadBytes::default();
    let mut servers = Vec::new();
    for number in 0..2 {
        let server_rng = Arc::new(Mutex::new(StdRng::seed_from_u64(rng.random())));
        let read_bytes = Arc::clone(&read_bytes);
        let script =
            move |connection| serve(connection, Arc::clone(&server_rng), Arc::clone(&read_bytes));
        servers.push(RawServer::start(&format!("s-{number}"), script).await);
    }
    let fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), &servers).await;
    // Until the VM knows the size of the fleet, it opens one connection to each server.
    sleep(Duration::from_secs(2)).await;
    let mut uploads = JoinSet::new();
    for _ in 0..UPLOADS {
        let request = fleet.request(Method::POST, "/order/1");
        let head = request_text(&request);
        let head = head.trim_end_matches("\r\n").to_owned() + "\r\n";
        let body_bytes = *BODY_BYTES.choose(&mut rng).expect("not empty");
        let caller = RawCaller::connect(fleet.daemon.callers).await;
        let pause = draw_pause(&mut rng);
        uploads.spawn(upload(head, request_id(&request), body_bytes, pause, caller));
        sleep(Duration::from_millis(rng.random_range(0..MAX_START_PAUSE_MS))).await;
    }
    let sent = uploads.join_all().await;
    let served: Vec<_> =
        sent.iter().filter(|upload| upload.status_line.starts_with("http/1.1 200")).collect();
    println!("seed {seed}: {} of {UPLOADS} uploads have 200", served.len());
    assert!(served.len() * 2 > UPLOADS, "seed {seed}: {} uploads have 200", served.len());
    let cut = || {
        let read_bytes = read_bytes.lock().expect("map lock is never poisoned");
        let read = |upload: &SentUpload| read_bytes.get(&*upload.id).copied().unwrap_or(0);
        let cut = served.iter().filter(|upload| read(upload) != upload.body_bytes);
        cut.map(|upload| format!("{}: {} of {}", upload.id, read(upload), upload.body_bytes))
            .collect::<Vec<_>>()
    };
    // The last parts are still on their way.
    sleep(Duration::from_millis(2 * MAX_TRANSFER_MS)).await;
    assert_eq!(cut(), Vec::<String>::new(), "seed {seed}");
}

/// Guards against UNASKED: the connection to the server is closed after the response, while the rest of
/// the request is on its way.
#[tokio::test(flavor = "multi_thread")]
async fn upload_with_an_early_response_arrives_whole() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        check_uploads(seed).await;
    }
}
