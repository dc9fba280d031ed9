//! Callers of a soak.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::wire_interface;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

use crate::caller::{CallAnswer, CallFault, CallRequest, KeptCaller, call};
use crate::hosted::HOSTED_HOST;

/// Mean pause between two calls.
const MEAN_PAUSE: Duration = Duration::from_millis(8);

/// Callers that keep their connections until they break or are told to close them.
const KEPT_CALLERS: u64 = 4;

/// Mean pause of such a caller between two calls.
const KEPT_PAUSE: Duration = Duration::from_millis(40);

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

/// Sends calls to random daemons for a time, most on connections of their own.
pub(crate) fn send_calls(
    callers: Arc<Mutex<Vec<SocketAddr>>>,
    seed: u64,
    time: Duration,
) -> JoinHandle<Vec<CallRecord>> {
    let until = Instant::now() + time;
    let kept: Vec<_> = (0..KEPT_CALLERS)
        .map(|number| tokio::spawn(keep_calling(Arc::clone(&callers), seed, number, until)))
        .collect();
    tokio::spawn(async move {
        let mut random = StdRng::seed_from_u64(seed ^ 1);
        let mut calls = JoinSet::new();
        let mut number = 0;
        while Instant::now() < until {
            sleep(MEAN_PAUSE.mul_f64(random.random_range(0.0..2.0))).await;
            let daemon = draw_daemon(&callers, &mut random);
            number += 1;
            let planned = PlannedCall::new(format!("soak-{number}"), daemon, &mut random);
            calls.spawn(async move { planned.record(call(&planned.request).await) });
        }
        let mut records = calls.join_all().await;
        for caller in kept {
            records.extend(caller.await.unwrap_or_default());
        }
        records
    })
}

/// Sends calls one after the other on a kept connection, and opens another when it has to.
async fn keep_calling(
    callers: Arc<Mutex<Vec<SocketAddr>>>,
    seed: u64,
    number: u64,
    until: Instant,
) -> Vec<CallRecord> {
    let mut random = StdRng::seed_from_u64(seed ^ (number + 2));
    let mut records = Vec::new();
    while Instant::now() < until {
        let daemon = draw_daemon(&callers, &mut random);
        let Ok(mut kept) = KeptCaller::connect(daemon).await else {
            sleep(KEPT_PAUSE).await;
            continue;
        };
        let mut may_go_on = true;
        while may_go_on && Instant::now() < until {
            let id = format!("kept-{number}-{}", records.len());
            let planned = PlannedCall::new(id, daemon, &mut random);
            let answer = kept.send(&planned.request).await;
            may_go_on = answer.as_ref().is_ok_and(|answer| answer.header("connection") != "close");
            records.push(planned.record(answer));
            sleep(KEPT_PAUSE.mul_f64(random.random_range(0.0..2.0))).await;
        }
    }
    records
}

fn draw_daemon(callers: &Mutex<Vec<SocketAddr>>, random: &mut StdRng) -> SocketAddr {
    let known = callers.lock().expect("caller lock is never poisoned");
    known[random.random_range(0..known.len())]
}

/// A call that is about to be sent.
struct PlannedCall {
    id: Box<str>,
    is_order: bool,
    request: CallRequest,
    sent_at: Instant,
}

impl PlannedCall {
    fn new(id: String, daemon: SocketAddr, random: &mut StdRng) -> Self {
        let is_order = random.random_bool(0.5);
        let names = wire_interface().headers;
        let path = if is_order { "/order/1" } else { "/read/1" };
        let mut request = CallRequest::get(daemon, HOSTED_HOST, path)
            .with(names.request_id.as_str(), &id)
            .with(names.deadline_ms.as_str(), &DEADLINE_MS.to_string());
        request.patience = Duration::from_millis(DEADLINE_MS);
        if is_order {
            request.method = hyper::Method::POST;
            request.body = "one stone".into();
        }
        Self { id: id.into(), is_order, request, sent_at: Instant::now() }
    }

    /// The call with how it ended just now.
    fn record(&self, answer: Result<CallAnswer, CallFault>) -> CallRecord {
        CallRecord {
            id: self.id.clone(),
            is_order: self.is_order,
            daemon: self.request.address,
            sent_at: self.sent_at,
            ended_at: Instant::now(),
            status: answer.as_ref().ok().map(|answer| answer.status),
            fault: answer.as_ref().err().cloned(),
            body: answer.map(|answer| answer.text().into()).unwrap_or_default(),
        }
    }
}
