//! On a hosting platform: callers that close their connections while their requests wait for a
//! server. Such a request must not reach one any more; those of the others are served whole.

use std::path::Path;
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use testkit::{HostedBehaviour, HostedFleet, RawCaller, call, request_id, request_text};
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Drawn histories, unless the variable gives another number of them.
const SEEDS: u64 = 2;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_DEPARTED_SEEDS";

/// Requests that keep the server busy.
const BUSY_REQUESTS: usize = 8;

/// Time for which they do.
const RUN_TIME: Duration = Duration::from_secs(3);

/// Time in which they reach the server.
const START_TIME: Duration = Duration::from_millis(300);

/// Time for which a caller sends before it leaves.
const SEND_TIME: Duration = Duration::from_millis(600);

/// Time after which a VM has noticed that a caller left (GONE).
const NOTICE_TIME: Duration = Duration::from_millis(500);

const UPLOADS: usize = 24;

const MIB: usize = 1 << 20;

/// Sizes of bodies: on both sides of what is buffered, and of what else a socket takes, up to what a
/// VM reads of a request that waits.
const BODY_BYTES: [usize; 9] =
    [1, 70_000, MIB - 1, MIB, MIB + 1, MIB + 70_000, 2 * MIB, 3 * MIB, 5 * MIB];

/// What a caller does after it has sent its upload, or a part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Stay,
    Close,
    Reset,
}

/// An upload that waits for a server.
#[derive(Debug, Clone, Copy)]
struct Upload {
    method: &'static str,
    version: &'static str,
    is_chunked: bool,
    body_bytes: usize,
    unsent_bytes: usize,
    end: End,
}

impl Upload {
    fn draw(rng: &mut StdRng) -> Self {
        let version = ["HTTP/1.0", "HTTP/1.1", "HTTP/1.1"].choose(rng).expect("not empty");
        let body_bytes = *BODY_BYTES.choose(rng).expect("not empty");
        let end = *[End::Stay, End::Close, End::Close, End::Reset].choose(rng).expect("not empty");
        let unsent_share = *[0.0, 0.0, 0.1, 0.5].choose(rng).expect("not empty");
        let unsent_bytes = match end {
            End::Stay => 0,
            End::Close | End::Reset => (unsent_share * body_bytes as f64) as usize,
        };
        Self {
            method: ["POST /order/1", "GET /read/1"].choose(rng).expect("not empty"),
            version,
            is_chunked: *version == "HTTP/1.1" && rng.random_bool(0.4),
            body_bytes,
            unsent_bytes,
            end,
        }
    }

    fn body(&self) -> String {
        let numbers = (0..).map(|number| format!("{number:07} "));
        let mut body: String = numbers.take(self.body_bytes / 8 + 1).collect();
        body.truncate(self.body_bytes);
        body
    }

    /// Sends the request. Returns its status if the caller stays.
    async fn play(self, fleet: &HostedFleet) -> Option<(Box<str>, u16)> {
        let (method, path) = self.method.split_once(' ').expect("a method and a path");
        let request = fleet.request(method.parse().expect("a method"), path);
        let head = request_text(&request).replace("HTTP/1.1", self.version);
        let head = head.trim_end_matches("\r\n");
        let (length, body) = (self.body_bytes, self.body());
        let text = match self.is_chunked {
            true => {
                format!(
                    "{head}\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
                )
            }
            false => format!("{head}\r\ncontent-length: {length}\r\n\r\n{body}"),
        };
        let bytes = &text.as_bytes()[..text.len() - self.unsent_bytes];
        let mut caller = RawCaller::connect(fleet.daemon.callers).await;
        if self.end == End::Stay {
            caller.stream.write_all(bytes).await.expect("the daemon reads");
            let response = caller.next_response().await.expect("the daemon responds");
            return Some((request_id(&request), response.status));
        }
        // What the VM doesn't read in time stays in this caller's socket.
        let sent = timeout(SEND_TIME, caller.stream.write_all(bytes)).await;
        if sent.is_ok() {
            sleep(SEND_TIME / 2).await;
        }
        if self.end == End::Reset {
            caller.stream.set_zero_linger().expect("the option is supported");
        }
        None
    }
}

async fn check_departures(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let behaviour = HostedBehaviour::Run(RUN_TIME);
    let fleet = HostedFleet::start(Path::new(DAEMON_PATH), 1, behaviour).await;
    // Until the VM knows the size of the fleet, it opens one connection to each server.
    sleep(Duration::from_secs(2)).await;
    let mut busy = JoinSet::new();
    for _ in 0..BUSY_REQUESTS {
        let request = fleet.order_request("one stone");
        busy.spawn(async move { call(&request).await.expect("the daemon responds").status });
    }
    sleep(START_TIME).await;
    fleet.set_behaviour(HostedBehaviour::Run(Duration::from_millis(5)));
    let uploads: Vec<Upload> = (0..UPLOADS).map(|_| Upload::draw(&mut rng)).collect();
    let count_before = async {
        sleep(2 * SEND_TIME + NOTICE_TIME).await;
        fleet.servers[0].request_count()
    };
    let played = join_all(uploads.iter().map(|upload| upload.play(&fleet)));
    let (served, before) = tokio::join!(played, count_before);
    assert_eq!(before, BUSY_REQUESTS as u64, "seed {seed}: all uploads wait");
    for status in busy.join_all().await {
        assert_eq!(status, 200, "seed {seed}");
    }
    let runs = fleet.runs();
    let mut served_count = 0;
    for (upload, (id, status)) in
        uploads.iter().zip(&served).filter_map(|(upload, served)| Some((upload, served.as_ref()?)))
    {
        assert_eq!(*status, 200, "seed {seed}: {upload:?}");
        let bodies: Vec<_> = runs.iter().filter(|run| run.id == *id).map(|run| &run.body).collect();
        let lengths: Vec<_> = bodies.iter().map(|body| body.len()).collect();
        assert!(bodies == [upload.body().as_bytes()], "seed {seed}: {upload:?} as {lengths:?}");
        served_count += 1;
    }
    // One that waits behind those that are gone.
    assert_eq!(fleet.send_requests(1).await, 1);
    let late = fleet.servers[0].request_count() - before - served_count - 1;
    assert_eq!(late, 0, "seed {seed}: of {uploads:#?}");
}

/// Guards against uploads of over 1 MiB whose caller's close is unseen, since nobody reads them.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_caller_has_left_reaches_no_server() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        check_departures(seed).await;
    }
}
