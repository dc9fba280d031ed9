//! On a hosting platform: servers that send a refusal once more on a kept connection.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use testkit::{
    CallResponse, HostedFleet, RawConnection, RawRequest, RawServer, call, hosted_config,
    load_header, not_run_header, request_id, standard_routes,
};
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Callers that send requests one after the other.
const CALLERS: usize = 12;
const ORDERS_PER_CALLER: usize = 4;

/// Time in which a request that was refused could still be run.
const LAST_RUN_WAIT: Duration = Duration::from_millis(200);

/// Seeds that are played, each with one, two and three servers, unless the environment sets more.
const SEEDS: u64 = 3;
const SEEDS_VARIABLE: &str = "MUSTARDRAIL_COPY_SEEDS";

/// How often each request was run, by request ID.
#[derive(Clone, Default)]
struct RunCounts {
    counts: Arc<Mutex<HashMap<String, usize>>>,
}

impl RunCounts {
    fn record(&self, request: &RawRequest) {
        *self.lock().entry(request.id().to_owned()).or_default() += 1;
    }

    fn of(&self, id: &str) -> usize {
        self.lock().get(id).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.counts.lock().expect("count lock is never poisoned")
    }
}

fn seeds() -> u64 {
    std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// A refusal of a request.
fn refusal(request: &RawRequest) -> String {
    let headers = request.response_headers() + &load_header("0,0,4,100") + &not_run_header();
    format!("HTTP/1.1 503 Service Unavailable\r\n{headers}content-length: 0\r\n\r\n")
}

/// Guards against REFUSED: a second attempt on the connection of the first one takes a late copy of
/// the refusal, which has the same request ID, for its own answer.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_refusal_is_no_answer_to_the_next_attempt() {
    let runs = RunCounts::default();
    let has_refused = Arc::new(AtomicBool::new(false));
    let (server_runs, server_has_refused) = (runs.clone(), Arc::clone(&has_refused));
    let server = RawServer::start("s-0", move |mut connection: RawConnection| {
        let (runs, has_refused) = (server_runs.clone(), Arc::clone(&server_has_refused));
        async move {
            let mut copy = String::new();
            loop {
                let request = connection.next_request().await?;
                if request.is_probe() {
                    connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
                    continue;
                }
                connection.send(&std::mem::take(&mut copy)).await?;
                if has_refused.swap(true, Ordering::SeqCst) {
                    runs.record(&request);
                    connection.respond("200 OK", &request.response_headers(), "answer").await?;
                } else {
                    copy = refusal(&request);
                    connection.send(&copy).await?;
                }
            }
        }
    })
    .await;
    let fleet =
        HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), std::slice::from_ref(&server))
            .await;
    let order = fleet.order_request("one stone");
    let response = call(&order).await.expect("the daemon responds");
    assert!(has_refused.load(Ordering::SeqCst), "the first attempt was refused");
    assert_eq!((response.status, runs.of(&request_id(&order))), (200, 1));
}

/// When a server sends a copy of a refusal.
#[derive(Debug, Clone, Copy)]
enum CopyTime {
    /// Directly behind the refusal.
    AtOnce,
    /// While the connection is idle, or with the next request if that arrives before.
    Idle(Duration),
    /// When the next request has arrived, before it is run.
    BeforeRun,
    /// After the next request was run, in place of its answer.
    AfterRun,
}

/// What a faulty server does with one request, drawn at random.
struct DrawnFault {
    /// Whether it refuses the request.
    is_refused: bool,
    status: &'static str,
    body: &'static str,
    is_chunked: bool,
    /// Pause for which the refusal says that the server wants no request.
    rest: Option<Duration>,
    /// When a copy follows; `None` if none does.
    copy: Option<CopyTime>,
    /// Whether the copy is of the first refusal on the connection rather than of the last.
    is_of_first: bool,
    run_time: Duration,
}

impl DrawnFault {
    fn draw(rng: &mut StdRng) -> Self {
        let copy = match rng.random_range(0..6) {
            0 => Some(CopyTime::AtOnce),
            1 => Some(CopyTime::Idle(Duration::from_millis(rng.random_range(0..60)))),
            // Past the time for which a connection with a response is left alone.
            2 => Some(CopyTime::Idle(Duration::from_millis(rng.random_range(1_900..2_300)))),
            3 => Some(CopyTime::BeforeRun),
            4 => Some(CopyTime::AfterRun),
            _ => None,
        };
        let rest = [None, Some(0), Some(30), Some(2_100)][rng.random_range(0..4)];
        Self {
            is_refused: rng.random_bool(0.4),
            status: ["503 Service Unavailable", "429 Too Many Requests"][rng.random_range(0..2)],
            body: ["", "busy", "try again later"][rng.random_range(0..3)],
            is_chunked: rng.random_bool(0.3),
            rest: rest.map(Duration::from_millis),
            copy,
            is_of_first: rng.random_bool(0.3),
            run_time: Duration::from_millis(rng.random_range(0..30)),
        }
    }

    fn refusal(&self, request: &RawRequest) -> String {
        let headers = request.response_headers() + &load_header("0,0,4,100") + &not_run_header();
        let rest = self
            .rest
            .map_or(String::new(), |rest| format!("retry-after: {:.3}\r\n", rest.as_secs_f64()));
        let (status, body, length) = (self.status, self.body, self.body.len());
        let framed = match (self.is_chunked, length) {
            (true, 0) => "transfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
            (true, _) => {
                format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
            (false, _) => format!("content-length: {length}\r\n\r\n{body}"),
        };
        format!("HTTP/1.1 {status}\r\n{headers}{rest}{framed}")
    }
}

/// Serves a connection and draws what it does with each request.
async fn serve_with_copies(
    mut connection: RawConnection,
    runs: RunCounts,
    rng: Arc<Mutex<StdRng>>,
) -> Option<()> {
    let mut refusals: Vec<String> = Vec::new();
    let mut copy: Option<(CopyTime, String)> = None;
    loop {
        if let Some((CopyTime::Idle(pause), text)) = &copy {
            if !connection.wait_for_request(*pause).await {
                connection.send(text).await?;
            }
            copy = None;
        }
        let request = connection.next_request().await?;
        if request.is_probe() {
            connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
            continue;
        }
        let fault = DrawnFault::draw(&mut rng.lock().expect("rng lock is never poisoned"));
        let due = copy.take();
        if let Some((CopyTime::BeforeRun, text)) = &due {
            connection.send(text).await?;
        }
        if fault.is_refused {
            let refusal = fault.refusal(&request);
            refusals.push(refusal.clone());
            connection.send(&refusal).await?;
        } else {
            runs.record(&request);
            sleep(fault.run_time).await;
            if let Some((CopyTime::AfterRun, text)) = &due {
                connection.send(text).await?;
            }
            let answer = format!("{} ran", request.id());
            connection.respond("200 OK", &request.response_headers(), &answer).await?;
        }
        let copied = if fault.is_of_first { refusals.first() } else { refusals.last() };
        copy = fault.copy.zip(copied.cloned());
        if let Some((_, text)) = copy.take_if(|(time, _)| matches!(time, CopyTime::AtOnce)) {
            connection.send(&text).await?;
        }
    }
}

/// Sends requests to servers that repeat refusals, and checks what callers are told.
async fn check_copies(seed: u64, server_count: usize, max_attempts: u32) {
    let runs = RunCounts::default();
    let mut servers = Vec::new();
    for number in 0..server_count {
        let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed * 10 + number as u64)));
        let server_runs = runs.clone();
        let script = move |connection: RawConnection| {
            serve_with_copies(connection, server_runs.clone(), Arc::clone(&rng))
        };
        servers.push(RawServer::start(&format!("s-{number}"), script).await);
    }
    let fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), &servers).await;
    let mut routes = standard_routes();
    routes.iter_mut().for_each(|route| route.max_attempts = max_attempts);
    fleet.platform.put_config(&hosted_config(2, routes));
    let callers = (0..CALLERS).map(|_| async {
        let mut answers = Vec::new();
        for _ in 0..ORDERS_PER_CALLER {
            let order = fleet.order_request("one stone");
            answers.push((request_id(&order), true, call(&order).await));
            let read = fleet.idempotent_request();
            answers.push((request_id(&read), false, call(&read).await));
        }
        answers
    });
    let answers = join_all(callers).await;
    sleep(LAST_RUN_WAIT).await;
    let mut served = 0;
    for (id, is_order, response) in answers.into_iter().flatten() {
        let response = response.expect("the daemon responds");
        check_answer(&response, &id, &runs);
        assert!(!is_order || runs.of(&id) <= 1, "{id} ran {} times", runs.of(&id));
        served += usize::from(response.status == 200);
    }
    assert!(served > 0, "no request was served");
}

/// An answer that promises that the request did not run is true, and a success is the request's own.
fn check_answer(response: &CallResponse, id: &str, runs: &RunCounts) {
    match response.status {
        200 => assert_eq!(response.text(), format!("{id} ran")),
        408 | 421 | 429 | 503 => {
            assert_eq!(runs.of(id), 0, "{id} was answered {}", response.status);
        }
        status => assert!(status == 502 || status == 504, "{id} was answered {status}"),
    }
}

/// Guards against REFUSED and TWICE: copies of refusals at any time, of any earlier refusal on the
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn copies_of_refusals_at_any_time_cause_no_false_promise_and_no_second_run() {
    let checks = (1..=seeds()).flat_map(|seed| (1..=3).map(move |servers| (seed, servers)));
    join_all(checks.map(|(seed, servers)| check_copies(seed, servers, 2 + (seed % 2) as u32)))
        .await;
}
