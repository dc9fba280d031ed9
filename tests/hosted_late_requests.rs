//! On a hosting platform: requests that arrive at any time of a shutdown, over new, kept and pipelined
//! connections. What is passed on gets its server's answer, and the rest is refused as not run.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use testkit::{
    FakePlatform, HostedDaemon, RawCaller, RawConnection, RawServer, free_address, hosted_config,
    hosted_request, load_header, request_text, standard_routes,
};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Seeds that are played, unless the environment sets another number.
const SEEDS: u64 = 2;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_LATE_SEEDS";
const FIRST_SEED_VARIABLE: &str = "MUSTARDRAIL_LATE_FIRST_SEED";

const SERVERS: u64 = 6;
const CALLERS: u64 = 60;

const GRACE: Duration = Duration::from_secs(6);

/// A request sent up to this time after SIGTERM may be cut if its server still runs it in the last
/// sixth of the grace time.
const EARLY_TIME: Duration = Duration::from_secs(3);

/// Time after the last byte of a request within which its connection may close unanswered, if the
/// request is not passed on.
const CLOSE_SLACK: Duration = Duration::from_millis(200);

/// Time by which events may be recorded late on a busy machine.
const RECORD_DELAY: Duration = Duration::from_millis(100);

/// A run of a request at a server.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// When the server finished it, and the connection took the response.
    finished_at: Option<Instant>,
}

type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

/// How a caller uses its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    /// Opened for the requests.
    New,
    /// Open and idle since before the shutdown.
    Kept,
    /// Kept, with a request in progress since before the shutdown.
    Busy,
}

/// One caller: when it sends requests, and which.
#[derive(Debug, Clone, Copy)]
struct LateCaller {
    daemon: SocketAddr,
    number: u64,
    connection: Connection,
    /// Time after SIGTERM.
    sends_at: Duration,
    /// Number of requests that are sent at once.
    count: u64,
    is_order: bool,
    /// Bytes of the body, which is sent in two parts with a pause between.
    body_bytes: usize,
    body_pause: Duration,
    run_time: Duration,
    deadline: Duration,
}

/// What became of a request.
struct Outcome {
    id: String,
    caller: LateCaller,
    sent_at: Instant,
    status: Option<u16>,
    is_signed: bool,
    /// Whether it was sent behind another request without its response. Such a request need not be
    /// answered unless it is passed on.
    is_behind: bool,
    ended_at: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("locks are never poisoned")
}

/// Runs each request for the time that its ID names.
async fn start_server(number: u64, runs: Runs) -> RawServer {
    RawServer::start(&format!("s-{number}"), move |mut connection: RawConnection| {
        let runs = Arc::clone(&runs);
        async move {
            loop {
                let request = connection.next_request().await?;
                let load = load_header("0,0,64,100");
                if request.is_probe() {
                    connection.respond("200 OK", &load, "").await?;
                    continue;
                }
                let id = request.id().to_owned();
                let index = {
                    let mut runs = lock(&runs);
                    let of_request = runs.entry(id.clone()).or_default();
                    of_request.push(Run { finished_at: None });
                    of_request.len() - 1
                };
                let run_ms: u64 = id.rsplit('-').next()?.parse().ok()?;
                sleep(Duration::from_millis(run_ms)).await;
                connection.respond("200 OK", &(request.response_headers() + &load), "ok").await?;
                if let Some(run) = lock(&runs).get_mut(&id).and_then(|runs| runs.get_mut(index)) {
                    run.finished_at = Some(Instant::now());
                }
            }
        }
    })
    .await
}

impl LateCaller {
    fn draw(rng: &mut StdRng, daemon: SocketAddr, number: u64) -> Self {
        let connection =
            [Connection::New, Connection::Kept, Connection::Busy][rng.random_range(0..3)];
        let is_order = connection != Connection::Busy && rng.random_bool(0.6);
        let has_body = is_order && rng.random_bool(0.5);
        // Most are sent around the times at which the daemon changes its behaviour.
        let sends_at = match rng.random_range(0..4) {
            0 => rng.random_range(0..2_700),
            1 => rng.random_range(2_700..3_600),
            2 => rng.random_range(3_600..5_200),
            _ => rng.random_range(5_200..6_000),
        };
        Self {
            daemon,
            number,
            connection,
            sends_at: Duration::from_millis(sends_at),
            count: if is_order { 1 } else { rng.random_range(1..5) },
            is_order,
            body_bytes: if has_body { rng.random_range(2..2_000_000) } else { 0 },
            body_pause: Duration::from_millis([0, 50, 800][rng.random_range(0..3)]),
            run_time: Duration::from_millis([5, 100, 400, 900, 2_500][rng.random_range(0..5)]),
            deadline: Duration::from_millis(
                [500, 1_000, 2_000, 4_000, 15_000][rng.random_range(0..5)],
            ),
        }
    }

    fn id(&self, index: u64, run_time: Duration) -> String {
        format!("late-{}-{index}-{}", self.number, run_time.as_millis())
    }

    /// Returns the head and the body of a request.
    fn request(&self, id: &str, deadline: Duration) -> (String, String) {
        let (method, path) =
            if self.is_order { (Method::POST, "/order/1") } else { (Method::GET, "/read/1") };
        let deadline_ms = deadline.as_millis() as u64;
        let head = request_text(&hosted_request(self.daemon, id, method, path, deadline_ms));
        match self.body_bytes {
            0 => (head, String::new()),
            bytes => {
                let length = format!("\r\ncontent-length: {bytes}\r\n\r\n");
                (head.trim_end().to_owned() + &length, "u".repeat(bytes))
            }
        }
    }

    async fn run(self, term_at: Instant) -> Vec<Outcome> {
        let mut kept = match self.connection {
            Connection::New => None,
            Connection::Kept | Connection::Busy => Some(RawCaller::connect(self.daemon).await),
        };
        let mut ids = Vec::new();
        if let Some(caller) = &mut kept {
            // A connection counts as kept once it has had a response.
            let id = self.id(100, Duration::from_millis(1));
            let first = hosted_request(self.daemon, &id, Method::GET, "/read/1", 3_000);
            caller.send(&request_text(&first)).await;
            caller.next_response().await.expect("the daemon serves before the shutdown");
            if self.connection == Connection::Busy {
                sleep_until(term_at - Duration::from_millis(300)).await;
                let id = self.id(101, Duration::from_millis(2_500));
                let (head, _) = self.request(&id, Duration::from_secs(15));
                caller.send(&head).await;
                ids.push((id, Instant::now()));
            }
        }
        sleep_until(term_at + self.sends_at).await;
        let caller = match kept {
            Some(caller) => Some(caller),
            None => RawCaller::try_connect_with_receive_buffer(self.daemon, 64 << 10).await,
        };
        // The daemon may have stopped to listen.
        let Some(mut caller) = caller else {
            return Vec::new();
        };
        for index in 0..self.count {
            let id = self.id(index, self.run_time);
            let (head, body) = self.request(&id, self.deadline);
            let mut is_sent = caller.try_send(&head).await;
            let (first, second) = body.split_at(body.len() / 2);
            is_sent = is_sent && caller.try_send(first).await;
            if !second.is_empty() {
                sleep(self.body_pause).await;
                is_sent = is_sent && caller.try_send(second).await;
            }
            if is_sent {
                ids.push((id, Instant::now()));
            }
        }
        self.read_outcomes(caller, ids).await
    }

    /// Reads the responses to requests until the connection ends.
    async fn read_outcomes(
        self,
        mut caller: RawCaller,
        ids: Vec<(String, Instant)>,
    ) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let mut is_open = true;
        for (index, (id, sent_at)) in ids.into_iter().enumerate() {
            let response = if is_open { caller.next_response().await } else { None };
            is_open = response.as_ref().is_some_and(|response| !response.closes);
            outcomes.push(Outcome {
                is_signed: response.as_ref().is_some_and(|response| response.id == id),
                status: response.map(|response| response.status),
                id,
                is_behind: index > 0,
                caller: self,
                sent_at,
                ended_at: Instant::now(),
            });
        }
        outcomes
    }
}

impl Outcome {
    /// What is wrong with the outcome, if anything.
    fn fault(&self, runs: &[Run], term_at: Instant) -> Option<String> {
        let ran = !runs.is_empty();
        if self.caller.is_order && runs.len() > 1 {
            return Some(format!("TWICE: it ran {} times", runs.len()));
        }
        match self.status {
            Some(200) if !self.is_signed => Some("MIXED: the response to another request".into()),
            Some(200) => None,
            Some(status @ (408 | 421 | 429 | 503)) if self.caller.is_order && ran => {
                Some(format!("REFUSED: it ran and was answered {status}"))
            }
            status if ran => {
                let deadline_at = self.sent_at + self.caller.deadline;
                let has_deadline_passed = deadline_at <= self.ended_at + RECORD_DELAY;
                let last_sixth = term_at + GRACE * 5 / 6;
                let is_late_run = runs
                    .iter()
                    .all(|run| run.finished_at.is_none_or(|finished_at| finished_at >= last_sixth));
                let may_be_cut = self.sent_at <= term_at + EARLY_TIME && is_late_run;
                let is_excused = has_deadline_passed || may_be_cut;
                (!is_excused).then(|| format!("LOST: it was passed on, and got {status:?}"))
            }
            None if self.is_behind => None,
            None => {
                let waited = self.ended_at - self.sent_at;
                let is_lost = waited > CLOSE_SLACK + RECORD_DELAY;
                is_lost.then(|| format!("LOST: no answer in {waited:?}, it was not passed on"))
            }
            Some(_) => None,
        }
    }
}

async fn play(seed: u64) {
    let runs = Runs::default();
    let platform = FakePlatform::start().await;
    platform.put_config(&hosted_config(1, standard_routes()));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = start_server(number, Arc::clone(&runs)).await;
        platform.put_server(&server.record);
        servers.push(server);
    }
    let relay = free_address();
    let program = Path::new(DAEMON_PATH);
    let mut daemon =
        HostedDaemon::start_with_grace(program, platform.address(), relay, &[relay], GRACE);
    daemon.wait_ready().await;
    // Until the VM knows the size of the fleet, it opens one connection to each server.
    sleep(Duration::from_secs(2)).await;
    let term_at = Instant::now() + Duration::from_secs(2);
    let mut rng = StdRng::seed_from_u64(seed);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| LateCaller::draw(&mut rng, daemon.callers, number))
        .map(|caller| tokio::spawn(caller.run(term_at)))
        .collect();
    sleep_until(term_at).await;
    daemon.terminate();
    let mut outcomes = Vec::new();
    for caller in callers {
        let ended = timeout(Duration::from_secs(40), caller).await.expect("the caller ends");
        outcomes.extend(ended.expect("the caller completes"));
    }
    // The last caller may end before the process does.
    while daemon.exit_status().is_none() && Instant::now() < term_at + GRACE + RECORD_DELAY {
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(daemon.exit_status(), Some(0), "seed {seed}: the exit");
    let runs = lock(&runs);
    let faults: Vec<String> = outcomes
        .iter()
        .filter_map(|outcome| {
            let fault = outcome.fault(runs.get(&outcome.id).map_or(&[], Vec::as_slice), term_at)?;
            let sent_ms = (outcome.sent_at - term_at).as_millis();
            let ended_ms = (outcome.ended_at - term_at).as_millis();
            let caller = outcome.caller;
            Some(format!("{fault}; sent at {sent_ms} ms, ended at {ended_ms} ms, {caller:?}"))
        })
        .collect();
    let mut statuses: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    for outcome in &outcomes {
        *statuses.entry(outcome.status).or_default() += 1;
    }
    println!("seed {seed}: {statuses:?}");
    assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    assert!(statuses.contains_key(&Some(200)), "seed {seed}: no request was served");
}

/// Guards against LOST: requests that arrive late in a shutdown are passed on, and cut without an
/// answer when the process exits.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_any_time_of_a_shutdown_are_answered_or_refused() {
    let variable = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first_seed = variable(FIRST_SEED_VARIABLE).unwrap_or(1);
    for seed in first_seed..first_seed + variable(SEEDS_VARIABLE).unwrap_or(SEEDS) {
        play(seed).await;
    }
}
