//! On a hosting platform: several servers at once send bytes without end, in place of an answer, in its
//! head, its body or behind it. The memory of the VM stays bounded, and others are served.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use routes::ExecutionSemantics;
use testkit::{
    HostedBehaviour, HostedFleet, HostedServer, RawConnection, RawRequest, RawServer, call,
    hosted_config, hosted_request, hosted_route, load_header, request_text, standard_routes,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Seeds that are played, unless the environment sets another number.
const SEEDS: u64 = 1;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_ENDLESS_SEEDS";

const FAULTY_SERVERS: u64 = 8;

/// Callers of the faulty servers that send requests at the same time.
const CALLERS: u64 = 600;

/// Bytes that a server sends at once.
const PART_BYTES: usize = 8 << 10;

const DEADLINE_MS: u64 = 8_000;

const PLAYED_TIME: Duration = Duration::from_secs(10);

/// Memory of the smallest entry VMs.
const MEMORY_BYTES: u64 = 160_000_000;

/// Bytes without end: what they start with, and what is repeated.
struct Endless {
    start: &'static str,
    repeated: &'static str,
}

/// In place of an answer, or within a head. `{}` stands for the header lines of a response.
const ENDLESS_HEADS: [Endless; 9] = [
    Endless { start: "", repeated: "\0" },
    Endless { start: "", repeated: "no answer " },
    Endless { start: "", repeated: "no answer\r\n" },
    Endless { start: "", repeated: "\r\n" },
    Endless { start: "HTTP/1.1 200 ", repeated: "OK" },
    Endless { start: "HTTP/1.1 200 OK\r\n{}", repeated: "x-filler: 0123456789\r\n" },
    Endless { start: "HTTP/1.1 200 OK\r\n{}x-filler: ", repeated: "0123456789" },
    Endless { start: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n" },
    Endless { start: "", repeated: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" },
];

/// Within a body or behind it.
const ENDLESS_BODIES: [Endless; 9] = [
    Endless { start: "HTTP/1.1 200 OK\r\n{}\r\n", repeated: "0123456789" },
    Endless { start: "HTTP/1.0 200 OK\r\n{}\r\n", repeated: "0123456789" },
    Endless {
        start: "HTTP/1.1 200 OK\r\n{}content-length: 1000000000000\r\n\r\n",
        repeated: "0123456789",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\n{}transfer-encoding: chunked\r\n\r\n",
        repeated: "10\r\n0123456789abcdef\r\n",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\n{}transfer-encoding: chunked\r\n\r\n1;x=",
        repeated: "0123456789",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\n{}transfer-encoding: chunked\r\n\r\n",
        repeated: "0000000000",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\n{}transfer-encoding: chunked\r\n\r\n0\r\n",
        repeated: "x-trailer: 0123456789\r\n",
    },
    Endless { start: "HTTP/1.1 500 Internal Server Error\r\n{}\r\n", repeated: "0123456789" },
    Endless {
        start: "HTTP/1.1 200 OK\r\n{}content-length: 2\r\n\r\nok",
        repeated: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    },
];

async fn serve_endless(mut connection: RawConnection, rng: Arc<Mutex<StdRng>>) -> Option<()> {
    loop {
        let request = connection.next_head().await?;
        let (endless, is_endless, pause) = {
            let mut rng = rng.lock().expect("rng lock is never poisoned");
            let all = [&ENDLESS_HEADS, &ENDLESS_BODIES];
            let kinds = all.choose(&mut rng).expect("there are two kinds");
            let endless = kinds.choose(&mut rng).expect("there are some");
            // At the speed of a link that several connections share, or slower.
            let pause = Duration::from_millis([32, 64, 64, 500][rng.random_range(0..4)]);
            (endless, !request.is_probe() || rng.random_bool(0.2), pause)
        };
        if !is_endless {
            connection.respond("200 OK", &load_header("0,0,64,100"), "").await?;
            continue;
        }
        let start = endless.start.replace("{}", &header_lines(&request));
        let part = endless.repeated.repeat(PART_BYTES / endless.repeated.len());
        connection.send_without_end(&start, &part, pause).await?;
    }
}

fn header_lines(request: &RawRequest) -> String {
    let load = load_header("0,0,64,100");
    if request.is_probe() { load } else { request.response_headers() + &load }
}

/// A caller of the faulty servers, which reads its responses or lets them wait.
struct FaultyCaller {
    daemon: SocketAddr,
    number: u64,
    rng: StdRng,
    requests: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
}

impl FaultyCaller {
    async fn run(mut self) {
        while !self.is_over.load(Ordering::SeqCst) {
            let is_upload = self.rng.random_bool(0.05);
            let (method, path) = match is_upload {
                true => (Method::POST, "/order/1"),
                false => (Method::GET, "/read/1"),
            };
            let sent = self.requests.fetch_add(1, Ordering::SeqCst);
            let id = format!("caller-{}-{sent}", self.number);
            let request = hosted_request(self.daemon, &id, method, path, DEADLINE_MS);
            let head = request_text(&request);
            let text = match is_upload {
                true => {
                    let body = "u".repeat(self.rng.random_range(0..1_500_000));
                    let length = format!("content-length: {}\r\n\r\n", body.len());
                    head.trim_end().to_owned() + "\r\n" + &length + &body
                }
                false => head,
            };
            let patience = Duration::from_millis(self.rng.random_range(100..10_000));
            let reads = self.rng.random_bool(0.7);
            // The caller leaves when its patience is over.
            let _ = timeout(patience, exchange(self.daemon, &text, reads)).await;
        }
    }
}

/// Sends a request, and reads until the connection ends, if at all.
async fn exchange(address: SocketAddr, text: &str, reads: bool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(text.as_bytes()).await?;
    if !reads {
        std::future::pending::<()>().await;
    }
    let mut buffer = vec![0; 64 << 10];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

async fn play(seed: u64) {
    let mut faulty = Vec::new();
    for number in 0..FAULTY_SERVERS {
        let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed * 100 + number)));
        let script = move |connection: RawConnection| serve_endless(connection, Arc::clone(&rng));
        faulty.push(RawServer::start(&format!("s-{number}"), script).await);
    }
    let behaviour = HostedBehaviour::Run(Duration::ZERO);
    let sound = vec![
        HostedServer::start("t-0", "sound", behaviour).await,
        HostedServer::start("t-1", "sound", behaviour).await,
    ];
    let mut fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), sound, &faulty).await;
    let mut routes = standard_routes();
    routes.push(hosted_route("/sound/", ExecutionSemantics::Idempotent, &[("sound", 1)]));
    fleet.platform.put_config(&hosted_config(2, routes));
    fleet.daemon.wait_for_version(2).await;
    // Until the VM knows the size of the fleet, it opens one connection to each server.
    sleep(Duration::from_secs(2)).await;
    let (is_over, requests) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = FaultyCaller {
                daemon: fleet.daemon.callers,
                number,
                rng: StdRng::seed_from_u64(seed * 1_000 + number),
                requests: Arc::clone(&requests),
                is_over: Arc::clone(&is_over),
            };
            tokio::spawn(caller.run())
        })
        .collect();
    let watch_memory = async {
        let mut peak = 0;
        while !is_over.load(Ordering::SeqCst) {
            peak = peak.max(fleet.daemon.usage().resident_bytes);
            sleep(Duration::from_millis(20)).await;
        }
        peak
    };
    let call_others = async {
        let started_at = Instant::now();
        let (mut served, mut sent) = (0, 0);
        while started_at.elapsed() < PLAYED_TIME {
            sent += 1;
            let response = call(&fleet.request(Method::GET, "/sound/1")).await;
            served += usize::from(response.is_ok_and(|response| response.status == 200));
            sleep(Duration::from_millis(50)).await;
        }
        is_over.store(true, Ordering::SeqCst);
        (served, sent)
    };
    let (peak, (served, sent)) = tokio::join!(watch_memory, call_others);
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let count = requests.load(Ordering::SeqCst);
    println!("seed {seed}: {count} requests, peak {peak} bytes, {served} of {sent} others served");
    assert_eq!(fleet.daemon.exit_status(), None, "seed {seed}: the daemon has ended");
    assert!(!fleet.daemon.log_text().contains("panicked"), "seed {seed}");
    assert!(peak < MEMORY_BYTES, "seed {seed}: {peak} bytes");
    assert_eq!(served, sent, "seed {seed}: requests of others were not served");
}

/// Guards against LOST: a VM keeps all the bytes that faulty servers send, runs out of memory, and the
/// requests of all its callers end with it.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_of_several_servers_leave_memory_bounded() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        play(seed).await;
    }
}
