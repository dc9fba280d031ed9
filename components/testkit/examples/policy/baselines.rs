//! The usual choices that ours is compared with.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balance::{CandidateView, CustomChoice};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// A way to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PolicyName {
    Random,
    RoundRobin,
    LeastOwn,
    TwoOwn,
    TwoReports,
    ProbePool,
    /// Ours without second tries, to tell the two apart.
    ChosenOnce,
    /// Ours.
    Chosen,
}

impl PolicyName {
    pub(crate) const ALL: [Self; 8] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastOwn,
        Self::TwoOwn,
        Self::TwoReports,
        Self::ProbePool,
        Self::ChosenOnce,
        Self::Chosen,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastOwn => "least-own",
            Self::TwoOwn => "two-own",
            Self::TwoReports => "two-reports",
            Self::ProbePool => "probe-pool",
            Self::ChosenOnce => "chosen-once",
            Self::Chosen => "chosen",
        }
    }

    pub(crate) fn is_baseline(self) -> bool {
        !matches!(self, Self::Chosen | Self::ChosenOnce)
    }

    /// Whether second tries are part of it.
    pub(crate) fn may_retry(self) -> bool {
        self == Self::Chosen
    }

    /// The choice as a closure; `None` for ours.
    pub(crate) fn custom(self, pool: Arc<ProbePool>) -> Option<CustomChoice> {
        let mut turn = rand::rng().random_range(0..1_000);
        Some(match self {
            Self::Random => CustomChoice::new(|all| rand::rng().random_range(0..all.len())),
            Self::RoundRobin => CustomChoice::new(move |all| {
                turn += 1;
                turn % all.len()
            }),
            Self::LeastOwn => {
                CustomChoice::new(|all| least(all, |view| view.local_in_flight.into()))
            }
            Self::TwoOwn => CustomChoice::new(|all| two(all, |view| view.local_in_flight.into())),
            Self::TwoReports => CustomChoice::new(|all| two(all, |view| view.reported_in_flight)),
            Self::ProbePool => CustomChoice::new(move |all| pool.choose(all)),
            Self::ChosenOnce | Self::Chosen => return None,
        })
    }
}

/// The least by a measure, ties at random.
fn least(all: &[CandidateView], measure: impl Fn(&CandidateView) -> f64) -> usize {
    let start = rand::rng().random_range(0..all.len());
    let order = (0..all.len()).map(|offset| (start + offset) % all.len());
    order.min_by(|a, b| measure(&all[*a]).total_cmp(&measure(&all[*b]))).unwrap_or(0)
}

/// The better of two random ones.
fn two(all: &[CandidateView], measure: impl Fn(&CandidateView) -> f64) -> usize {
    let first = rand::rng().random_range(0..all.len());
    let second = rand::rng().random_range(0..all.len());
    if measure(&all[second]) < measure(&all[first]) { second } else { first }
}

/// Probes in the pool, as in published work on probing (Prequal, NSDI 2024).
const POOL_PROBES: usize = 16;

/// Probes sent for each request.
const PROBES_PER_REQUEST: usize = 2;

/// Age at which a probe is dropped.
const PROBE_AGE: Duration = Duration::from_millis(200);

/// A pool of probe answers with the hot-cold choice: servers whose load is above a quantile of the
/// pool are hot; among cold ones the fastest is chosen, and among hot ones the least loaded.
pub(crate) struct ProbePool {
    addresses: Vec<SocketAddr>,
    answers: Mutex<Vec<ProbeAnswer>>,
    idle: Mutex<Vec<Vec<SendRequest<Empty<Bytes>>>>>,
    pub(crate) sent: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct ProbeAnswer {
    index: usize,
    load: f64,
    /// What the server says that requests take lately, in milliseconds.
    latency: f64,
    at: Instant,
}

impl ProbePool {
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Arc<Self> {
        let idle = Mutex::new(addresses.iter().map(|_| Vec::new()).collect());
        Arc::new(Self { addresses, answers: Mutex::default(), idle, sent: AtomicU64::new(0) })
    }

    fn choose(self: &Arc<Self>, all: &[CandidateView]) -> usize {
        for _ in 0..PROBES_PER_REQUEST {
            let index = rand::rng().random_range(0..self.addresses.len());
            tokio::spawn(Arc::clone(self).probe(index));
        }
        let now = Instant::now();
        let mut answers = self.answers.lock().expect("pool lock is never poisoned");
        answers.retain(|answer| answer.at + PROBE_AGE > now);
        let Some(position) = hot_cold(&answers) else {
            return rand::rng().random_range(0..all.len());
        };
        let index = answers.remove(position).index;
        all.iter().position(|view| view.index == index).unwrap_or(0)
    }

    async fn probe(self: Arc<Self>, index: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let Ok(Some((load, latency))) =
            timeout(Duration::from_millis(100), self.exchange(index)).await
        else {
            return;
        };
        let answer = ProbeAnswer { index, load, latency, at: Instant::now() };
        let mut answers = self.answers.lock().expect("pool lock is never poisoned");
        answers.retain(|known| known.index != index);
        if answers.len() >= POOL_PROBES {
            answers.remove(0);
        }
        answers.push(answer);
    }

    async fn exchange(&self, index: usize) -> Option<(f64, f64)> {
        let kept = self.idle.lock().expect("idle lock is never poisoned")[index].pop();
        let mut sender = match kept {
            Some(sender) if sender.is_ready() => sender,
            _ => {
                let stream = TcpStream::connect(self.addresses[index]).await.ok()?;
                let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
                tokio::spawn(connection);
                sender
            }
        };
        let request = Request::get("/load").header("host", "x").body(Empty::new()).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let text = answer.headers().get("endpoint-load-metrics")?.to_str().ok()?.to_owned();
        answer.into_body().collect().await.ok()?;
        self.idle.lock().expect("idle lock is never poisoned")[index].push(sender);
        let mut numbers = text.split(['=', ',']).filter_map(|part| part.parse().ok());
        Some((numbers.next()?, numbers.next()?))
    }
}

fn hot_cold(answers: &[ProbeAnswer]) -> Option<usize> {
    /// Quantile of the load from which a server is hot.
    const HOT_QUANTILE: f64 = 0.84;
    let mut loads: Vec<f64> = answers.iter().map(|answer| answer.load).collect();
    loads.sort_by(f64::total_cmp);
    let hot = *loads.get((loads.len() as f64 * HOT_QUANTILE) as usize)?;
    let cold = answers.iter().enumerate().filter(|(_, answer)| answer.load < hot);
    let fastest =
        cold.min_by(|a, b| a.1.latency.total_cmp(&b.1.latency)).map(|(position, _)| position);
    fastest.or_else(|| {
        let all = answers.iter().enumerate();
        all.min_by(|a, b| a.1.load.total_cmp(&b.1.load)).map(|(position, _)| position)
    })
}
