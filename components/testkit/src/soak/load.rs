//! Callers of a soak.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::wire_interface;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

use crate::caller::{CallFault, CallRequest, call};
use crate::hosted::HOSTED_HOST;

/// Mean pause between two calls.
const MEAN_PAUSE: Duration = Duration::from_millis(8);

/// Milliseconds that a caller waits.
pub(crate) const DEADLINE_MS: u64 = 3_000;

/// One call and its end.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) id: Box<str>,
    pub(crate) is_order: bool,
    pub(crate) daemon: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// Status of the answer; `None` when there was none.
    pub(crate) status: Option<u16>,
    pub(crate) fault: Option<CallFault>,
    pub(crate) body: Box<str>,
}

/// Sends calls to random daemons for a time.
pub(crate) fn send_calls(
    callers: Arc<Mutex<Vec<SocketAddr>>>,
    seed: u64,
    time: Duration,
) -> JoinHandle<Vec<CallRecord>> {
    tokio::spawn(async move {
        let mut random = StdRng::seed_from_u64(seed ^ 1);
        let until = Instant::now() + time;
        let mut calls = JoinSet::new();
        let mut number = 0;
        while Instant::now() < until {
            sleep(MEAN_PAUSE.mul_f64(random.random_range(0.0..2.0))).await;
            let daemon = {
                let known = callers.lock().expect("caller lock is never poisoned");
                known[random.random_range(0..known.len())]
            };
            number += 1;
            calls.spawn(send(daemon, number, random.random_bool(0.5)));
        }
        calls.join_all().await
    })
}

async fn send(daemon: SocketAddr, number: usize, is_order: bool) -> CallRecord {
    let names = wire_interface().headers;
    let id = format!("soak-{number}");
    let path = if is_order { "/order/1" } else { "/read/1" };
    let mut request = CallRequest::get(daemon, HOSTED_HOST, path)
        .with(names.request_id.as_str(), &id)
        .with(names.deadline_ms.as_str(), &DEADLINE_MS.to_string());
    request.patience = Duration::from_millis(DEADLINE_MS);
    if is_order {
        request.method = hyper::Method::POST;
        request.body = "one stone".into();
    }
    let sent_at = Instant::now();
    let answer = call(&request).await;
    CallRecord {
        id: id.into(),
        is_order,
        daemon,
        sent_at,
        ended_at: Instant::now(),
        status: answer.as_ref().ok().map(|answer| answer.status),
        fault: answer.as_ref().err().cloned(),
        body: answer.map(|answer| answer.text().into()).unwrap_or_default(),
    }
}
