//! Common load balancing policies that the built-in policy of `balance` is compared with.

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

/// A policy that chooses a backend server for each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BalancingPolicy {
    Random,
    RoundRobin,
    /// The server with the fewest requests in flight from this entry VM.
    LeastLocal,
    /// The better of two random servers, by requests in flight from this entry VM.
    BestOfTwoLocal,
    /// The better of two random servers, by reported requests in flight.
    BestOfTwoReported,
    /// The choice of `ProbePool` by recent probe results.
    ProbePool,
    /// The built-in policy without retries and hedged attempts, to separate their effect from
    /// that of the choice of servers.
    BuiltInNoRetries,
    /// The built-in policy with retries and hedged attempts.
    BuiltIn,
}

impl BalancingPolicy {
    pub(crate) const ALL: [Self; 8] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastLocal,
        Self::BestOfTwoLocal,
        Self::BestOfTwoReported,
        Self::ProbePool,
        Self::BuiltInNoRetries,
        Self::BuiltIn,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLocal => "least-own",
            Self::BestOfTwoLocal => "two-own",
            Self::BestOfTwoReported => "two-reports",
            Self::ProbePool => "probe-pool",
            Self::BuiltInNoRetries => "chosen-once",
            Self::BuiltIn => "chosen",
        }
    }

    pub(crate) fn is_baseline(self) -> bool {
        !matches!(self, Self::BuiltIn | Self::BuiltInNoRetries)
    }

    /// Whether retries and hedged attempts are allowed.
    pub(crate) fn has_retries(self) -> bool {
        self == Self::BuiltIn
    }

    /// Returns the policy as a custom choice, or `None` for the built-in policy.
    pub(crate) fn custom_choice(self, pool: Arc<ProbePool>) -> Option<CustomChoice> {
        let mut next_index = rand::rng().random_range(0..1_000);
        Some(match self {
            Self::Random => {
                CustomChoice::new(|candidates| rand::rng().random_range(0..candidates.len()))
            }
            Self::RoundRobin => CustomChoice::new(move |candidates| {
                next_index += 1;
                next_index % candidates.len()
            }),
            Self::LeastLocal => CustomChoice::new(|candidates| {
                index_of_least(candidates, |view| view.local_in_flight.into())
            }),
            Self::BestOfTwoLocal => CustomChoice::new(|candidates| {
                better_of_two(candidates, |view| view.local_in_flight.into())
            }),
            Self::BestOfTwoReported => CustomChoice::new(|candidates| {
                better_of_two(candidates, |view| view.reported_in_flight)
            }),
            Self::ProbePool => {
                CustomChoice::new(move |candidates| pool.choose_candidate(candidates))
            }
            Self::BuiltInNoRetries | Self::BuiltIn => return None,
        })
    }
}

/// Returns the index of the candidate with the lowest load. Ties are broken at random.
fn index_of_least(candidates: &[CandidateView], load: impl Fn(&CandidateView) -> f64) -> usize {
    let start = rand::rng().random_range(0..candidates.len());
    let order = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
    order.min_by(|a, b| load(&candidates[*a]).total_cmp(&load(&candidates[*b]))).unwrap_or(0)
}

/// Returns the index of the less loaded of two random candidates.
fn better_of_two(candidates: &[CandidateView], load: impl Fn(&CandidateView) -> f64) -> usize {
    let first = rand::rng().random_range(0..candidates.len());
    let second = rand::rng().random_range(0..candidates.len());
    if load(&candidates[second]) < load(&candidates[first]) { second } else { first }
}

/// Number of probe results in the pool, as in Prequal (NSDI 2024).
const MAX_POOLED_PROBES: usize = 16;

const PROBES_PER_REQUEST: usize = 2;

/// Age at which a probe result is dropped from the pool.
const MAX_PROBE_AGE: Duration = Duration::from_millis(200);

/// A pool of probe results with the hot-cold rule: servers whose load is at or above a quantile of
/// the pool are hot. The cold server with the lowest latency is chosen, or the least loaded server
/// if all are hot.
pub(crate) struct ProbePool {
    addresses: Vec<SocketAddr>,
    results: Mutex<Vec<ProbeResult>>,
    /// Idle connections for probes, by index of the server.
    idle_connections: Mutex<Vec<Vec<SendRequest<Empty<Bytes>>>>>,
    pub(crate) sent_probes: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct ProbeResult {
    /// Index of the server.
    index: usize,
    load: f64,
    /// Recent request latency as reported by the server.
    latency_ms: f64,
    received_at: Instant,
}

impl ProbePool {
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Arc<Self> {
        let idle_connections = Mutex::new(addresses.iter().map(|_| Vec::new()).collect());
        Arc::new(Self {
            addresses,
            results: Mutex::default(),
            idle_connections,
            sent_probes: AtomicU64::new(0),
        })
    }

    fn choose_candidate(self: &Arc<Self>, candidates: &[CandidateView]) -> usize {
        for _ in 0..PROBES_PER_REQUEST {
            let index = rand::rng().random_range(0..self.addresses.len());
            tokio::spawn(Arc::clone(self).probe_server(index));
        }
        let now = Instant::now();
        let mut results = self.results.lock().expect("pool lock is never poisoned");
        results.retain(|result| result.received_at + MAX_PROBE_AGE > now);
        let Some(position) = choose_hot_cold(&results) else {
            return rand::rng().random_range(0..candidates.len());
        };
        let index = results.remove(position).index;
        candidates.iter().position(|view| view.index == index).unwrap_or(0)
    }

    async fn probe_server(self: Arc<Self>, index: usize) {
        self.sent_probes.fetch_add(1, Ordering::Relaxed);
        let Ok(Some((load, latency_ms))) =
            timeout(Duration::from_millis(100), self.send_probe(index)).await
        else {
            return;
        };
        let result = ProbeResult { index, load, latency_ms, received_at: Instant::now() };
        let mut results = self.results.lock().expect("pool lock is never poisoned");
        results.retain(|other| other.index != index);
        if results.len() >= MAX_POOLED_PROBES {
            results.remove(0);
        }
        results.push(result);
    }

    /// Returns the load and the latency in milliseconds that a server reports.
    async fn send_probe(&self, index: usize) -> Option<(f64, f64)> {
        let idle_connection =
            self.idle_connections.lock().expect("idle lock is never poisoned")[index].pop();
        let mut sender = match idle_connection {
            Some(sender) if sender.is_ready() => sender,
            _ => {
                let stream = TcpStream::connect(self.addresses[index]).await.ok()?;
                let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
                tokio::spawn(connection);
                sender
            }
        };
        let request = Request::get("/load").header("host", "x").body(Empty::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let report = response.headers().get("endpoint-load-metrics")?.to_str().ok()?.to_owned();
        response.into_body().collect().await.ok()?;
        self.idle_connections.lock().expect("idle lock is never poisoned")[index].push(sender);
        let mut numbers = report.split(['=', ',']).filter_map(|field| field.parse().ok());
        Some((numbers.next()?, numbers.next()?))
    }
}

fn choose_hot_cold(results: &[ProbeResult]) -> Option<usize> {
    /// Quantile of the loads in the pool at and above which a server is hot.
    const HOT_QUANTILE: f64 = 0.84;
    let mut loads: Vec<f64> = results.iter().map(|result| result.load).collect();
    loads.sort_by(f64::total_cmp);
    let hot_load = *loads.get((loads.len() as f64 * HOT_QUANTILE) as usize)?;
    let cold = results.iter().enumerate().filter(|(_, result)| result.load < hot_load);
    let fastest =
        cold.min_by(|a, b| a.1.latency_ms.total_cmp(&b.1.latency_ms)).map(|(position, _)| position);
    fastest.or_else(|| {
        let all = results.iter().enumerate();
        all.min_by(|a, b| a.1.load.total_cmp(&b.1.load)).map(|(position, _)| position)
    })
}
