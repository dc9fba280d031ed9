//! The callers of a soak test.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

use crate::caller::{CallError, CallRequest, CallResponse, CallerConnection, call};
use crate::hosted::hosted_request;
use crate::soak::fleet::CRASH_TEXT;

/// Mean pause between two calls.
const MEAN_CALL_PAUSE: Duration = Duration::from_millis(8);

/// Number of callers that reuse a connection until it fails or a response asks to close it.
const PERSISTENT_CALLERS: u64 = 4;

/// Number of callers that repeat a call which crashes the server that runs it.
pub(crate) const HARMFUL_CALLERS: u64 = 2;

/// Mean pause between two harmful calls.
const MEAN_HARMFUL_CALL_PAUSE: Duration = Duration::from_millis(500);

/// Mean pause between two calls on a reused connection.
const MEAN_PERSISTENT_CALL_PAUSE: Duration = Duration::from_millis(40);

/// Deadline of a call, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 3_000;

/// A call and its result.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) id: Box<str>,
    pub(crate) is_order: bool,
    pub(crate) daemon: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// Status of the response; `None` if there was none.
    pub(crate) status: Option<u16>,
    pub(crate) error: Option<CallError>,
    pub(crate) body: Box<str>,
}

/// Sends calls to random daemons for a time: most on new connections, some on reused ones.
pub(crate) fn send_calls(
    caller_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    seed: u64,
    duration: Duration,
) -> JoinHandle<Vec<CallRecord>> {
    let deadline = Instant::now() + duration;
    let persistent_callers: Vec<_> = (0..PERSISTENT_CALLERS)
        .map(|number| {
            tokio::spawn(send_on_connections(Arc::clone(&caller_addresses), seed, number, deadline))
        })
        .collect();
    for number in 0..HARMFUL_CALLERS {
        tokio::spawn(send_harmful_calls(Arc::clone(&caller_addresses), seed, number, deadline));
    }
    tokio::spawn(async move {
        let mut random = StdRng::seed_from_u64(seed ^ 1);
        let mut calls = JoinSet::new();
        let mut number = 0;
        while Instant::now() < deadline {
            sleep(MEAN_CALL_PAUSE.mul_f64(random.random_range(0.0..2.0))).await;
            let daemon = draw_daemon(&caller_addresses, &mut random);
            number += 1;
            let planned = PlannedCall::new(format!("soak-{number}"), daemon, &mut random);
            calls.spawn(async move { planned.to_record(call(&planned.request).await) });
        }
        let mut records = calls.join_all().await;
        for caller in persistent_callers {
            records.extend(caller.await.unwrap_or_default());
        }
        records
    })
}

/// Sends calls one after the other on a reused connection, and opens a new one when it must close.
async fn send_on_connections(
    caller_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    seed: u64,
    number: u64,
    deadline: Instant,
) -> Vec<CallRecord> {
    let mut random = StdRng::seed_from_u64(seed ^ (number + 2));
    let mut records = Vec::new();
    while Instant::now() < deadline {
        let daemon = draw_daemon(&caller_addresses, &mut random);
        let Ok(mut connection) = CallerConnection::connect(daemon).await else {
            sleep(MEAN_PERSISTENT_CALL_PAUSE).await;
            continue;
        };
        let mut is_reusable = true;
        while is_reusable && Instant::now() < deadline {
            let id = format!("kept-{number}-{}", records.len());
            let planned = PlannedCall::new(id, daemon, &mut random);
            let result = connection.send(&planned.request).await;
            is_reusable =
                result.as_ref().is_ok_and(|response| response.header("connection") != "close");
            records.push(planned.to_record(result));
            sleep(MEAN_PERSISTENT_CALL_PAUSE.mul_f64(random.random_range(0.0..2.0))).await;
        }
    }
    records
}

/// Repeats a call that crashes the server which runs it: a look-up by its path, an order by its body.
async fn send_harmful_calls(
    caller_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    seed: u64,
    number: u64,
    deadline: Instant,
) {
    let mut random = StdRng::seed_from_u64(seed ^ (number + 100));
    while Instant::now() < deadline {
        sleep(MEAN_HARMFUL_CALL_PAUSE.mul_f64(random.random_range(0.0..2.0))).await;
        let daemon = draw_daemon(&caller_addresses, &mut random);
        let text = harmful_text(number);
        let id = format!("{text}-{}", random.random_range(0..u64::MAX));
        let request = match number.is_multiple_of(2) {
            true => soak_request(daemon, &id, Method::GET, &format!("/read/{text}"), ""),
            false => soak_request(daemon, &id, Method::POST, "/order/1", &text),
        };
        // Its result is of no interest.
        let _ = call(&request).await;
    }
}

/// Text in the target or body of a harmful call.
pub(crate) fn harmful_text(number: u64) -> String {
    format!("{CRASH_TEXT}-{number}")
}

fn draw_daemon(caller_addresses: &Mutex<Vec<SocketAddr>>, random: &mut StdRng) -> SocketAddr {
    let addresses = caller_addresses.lock().expect("caller lock is never poisoned");
    addresses[random.random_range(0..addresses.len())]
}

fn soak_request(
    daemon: SocketAddr,
    id: &str,
    method: Method,
    path: &str,
    body: &str,
) -> CallRequest {
    let mut request = hosted_request(daemon, id, method, path, DEADLINE_MS);
    request.timeout = Duration::from_millis(DEADLINE_MS);
    request.body = Bytes::copy_from_slice(body.as_bytes());
    request
}

/// A call to send.
struct PlannedCall {
    id: Box<str>,
    is_order: bool,
    request: CallRequest,
    sent_at: Instant,
}

impl PlannedCall {
    fn new(id: String, daemon: SocketAddr, random: &mut StdRng) -> Self {
        let is_order = random.random_bool(0.5);
        let request = match is_order {
            true => soak_request(daemon, &id, Method::POST, "/order/1", "one stone"),
            false => soak_request(daemon, &id, Method::GET, "/read/1", ""),
        };
        Self { id: id.into(), is_order, request, sent_at: Instant::now() }
    }

    /// Returns the record of the call, which ended now with this result.
    fn to_record(&self, result: Result<CallResponse, CallError>) -> CallRecord {
        CallRecord {
            id: self.id.clone(),
            is_order: self.is_order,
            daemon: self.request.address,
            sent_at: self.sent_at,
            ended_at: Instant::now(),
            status: result.as_ref().ok().map(|response| response.status),
            error: result.as_ref().err().cloned(),
            body: result.map(|response| response.text().into()).unwrap_or_default(),
        }
    }
}
