//! Detects crashes of backend servers, and the requests that may have caused them.
//!
//! A connection that breaks while a request may be running says little: it can be reset on the way,
//! and a VM that is partitioned from the servers loses all of them at once. So the server counts as
//! crashed only if it refuses or ends new connections while another server is reachable, or if
//! another incarnation has taken its place in the list.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use balance::ServerIncarnation;
use model::FastMap;
use observe::{HostedMetrics, Logger, info, warn};
use quarantine::{CrashBoard, Decision, Fingerprint, IncarnationKey};
use routes::WireInterface;

use crate::hosted::selection::{is_from_server, probe_request};
use crate::hosted::service::{HostedService, HostedServices};

/// Pauses before the first and each further check of a server. A server at its limit of connections
/// refuses some of them too.
const CHECK_PAUSES: [Duration; 3] =
    [Duration::from_millis(20), Duration::from_millis(80), Duration::from_millis(200)];

/// Time after which a check without a result ends.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after the checks until the list must show another incarnation, for a server whose checks
/// had no result or that is back already.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(5);

/// Time between two looks at the list.
const REPLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Other servers that are tried to find out whether this VM reaches any.
const MAX_REACHABILITY_CHECKS: usize = 4;

/// Largest number of requests that are suspected of one crash at this VM.
const MAX_SUSPECTS: usize = 64;

/// Detects crashes of servers and records which requests they ran.
pub(crate) struct CrashDetector {
    board: Arc<CrashBoard>,
    services: Arc<HostedServices>,
    wire: Arc<WireInterface>,
    /// Requests whose connection to a server broke, while the server is checked.
    pending: Mutex<FastMap<IncarnationKey, Vec<Fingerprint>>>,
    metrics: HostedMetrics,
    log: Logger,
}

/// A server whose connection broke.
pub(crate) struct BrokenServer {
    pub(crate) service: Arc<HostedService>,
    pub(crate) incarnation: ServerIncarnation,
    /// Path of its health checks.
    pub(crate) health_path: Option<Box<str>>,
}

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckResult {
    /// The server responds.
    Alive,
    /// Another server has its address.
    Replaced,
    /// It refuses connections, or ends them without a response.
    Refused,
    Unknown,
}

impl CrashDetector {
    pub(crate) fn new(
        board: Arc<CrashBoard>,
        services: Arc<HostedServices>,
        wire: Arc<WireInterface>,
        metrics: HostedMetrics,
        log: Logger,
    ) -> Self {
        Self { board, services, wire, pending: Mutex::default(), metrics, log }
    }

    /// Whether no request is suspected, so that fingerprints aren't needed.
    pub(crate) fn is_idle(&self) -> bool {
        self.board.is_empty()
    }

    /// Returns how long a request is still quarantined; `None` if it isn't.
    pub(crate) fn quarantine_left(&self, content: Fingerprint) -> Option<Duration> {
        let now = Instant::now();
        if let Some(decisions) = self.board.decide(now) {
            self.record_decisions(&decisions, now);
        }
        let until = self.board.quarantined_until(content, now)?;
        Some(until.saturating_duration_since(now))
    }

    /// Whether a server has crashed while it may have run the request.
    pub(crate) fn is_suspected(&self, content: Fingerprint) -> bool {
        self.board.crash_count(content) > 0
    }

    /// Records that a server responded to a request.
    pub(crate) fn record_response(&self, content: Fingerprint) {
        self.board.record_response(content, Instant::now());
    }

    /// Checks whether a server has crashed, and records the request as a suspect if so.
    pub(crate) fn check_crash(self: &Arc<Self>, content: Fingerprint, server: BrokenServer) {
        let key = IncarnationKey::new(&server.incarnation.id, server.incarnation.started_at_ms);
        let mut pending = self.pending();
        if let Some(contents) = pending.get_mut(&key) {
            if contents.len() < MAX_SUSPECTS && !contents.contains(&content) {
                contents.push(content);
            }
            return;
        }
        pending.insert(key, vec![content]);
        drop(pending);
        let detector = Arc::clone(self);
        tokio::spawn(async move { detector.run_checks(&server, key).await });
    }

    /// Checks a server until it has crashed, or no connection to it broke during the last check.
    async fn run_checks(&self, server: &BrokenServer, key: IncarnationKey) {
        loop {
            let mut contents = std::mem::take(self.pending().entry(key).or_default());
            let has_crashed = self.has_crashed(server).await;
            let mut pending = self.pending();
            let added = pending.get(&key).map_or(0, Vec::len);
            let is_last = has_crashed || added == 0;
            if is_last {
                contents.extend(pending.remove(&key).unwrap_or_default());
            }
            drop(pending);
            self.record_check(server, has_crashed, key, &contents);
            if is_last {
                return;
            }
        }
    }

    fn record_check(
        &self,
        server: &BrokenServer,
        has_crashed: bool,
        key: IncarnationKey,
        contents: &[Fingerprint],
    ) {
        info!(self.log, "servers: checked a server whose connection broke";
            "server" => server.incarnation.id.as_str(), "crashed" => has_crashed,
            "incarnation" => %key, "suspects" => contents.len());
        if !has_crashed {
            return;
        }
        self.metrics.server_crashes.inc();
        self.board.record_crash(contents, key, Instant::now());
    }

    async fn has_crashed(&self, server: &BrokenServer) -> bool {
        let broken_at = Instant::now();
        let mut result = CheckResult::Unknown;
        for pause in CHECK_PAUSES {
            sleep(pause).await;
            result = self.check_server(server).await;
            if matches!(result, CheckResult::Alive | CheckResult::Replaced) {
                break;
            }
        }
        match result {
            CheckResult::Replaced => return true,
            CheckResult::Refused => {
                return self.reaches_other_server(server.incarnation.address, broken_at).await;
            }
            CheckResult::Alive | CheckResult::Unknown => {}
        }
        let is_replaced = || server.service.group().is_replaced(&server.incarnation);
        let wait_until = Instant::now() + REPLACEMENT_WAIT;
        while !is_replaced() && Instant::now() < wait_until {
            sleep(REPLACEMENT_CHECK_INTERVAL).await;
        }
        is_replaced()
    }

    async fn check_server(&self, server: &BrokenServer) -> CheckResult {
        if server.service.group().is_incarnation_evacuated(&server.incarnation) {
            // Only the list tells whether it was replaced.
            return CheckResult::Unknown;
        }
        let (service, address) = (&server.service, server.incarnation.address);
        let opening = service.pool.open(address, service.connection_limit());
        let mut connection = match timeout(CHECK_TIMEOUT, opening).await {
            Ok(Ok(connection)) => connection,
            // The error is `ResourceBusy` if requests of this VM use all of its connections.
            Ok(Err(error))
                if !matches!(error.kind(), ErrorKind::ResourceBusy | ErrorKind::TimedOut) =>
            {
                return CheckResult::Refused;
            }
            _ => return CheckResult::Unknown,
        };
        if server.service.group().is_incarnation_evacuated(&server.incarnation) {
            return CheckResult::Unknown;
        }
        let path = server.health_path.as_deref();
        let Some(request) = path.and_then(|path| probe_request(address, path)) else {
            return CheckResult::Unknown;
        };
        let response = timeout(CHECK_TIMEOUT, connection.sender.send_request(request)).await;
        let response = match response {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => return CheckResult::Refused,
            Err(_) => return CheckResult::Unknown,
        };
        match is_from_server(&self.wire, response.headers(), &server.incarnation.id) {
            Some(true) => CheckResult::Alive,
            Some(false) => CheckResult::Replaced,
            None => CheckResult::Unknown,
        }
    }

    /// Whether this VM has reached a server at another address since `since`, or reaches one now.
    async fn reaches_other_server(&self, address: SocketAddr, since: Instant) -> bool {
        if self.services.contacts().has_other_since(address, since) {
            return true;
        }
        for (service, other) in self.services.other_servers(address, MAX_REACHABILITY_CHECKS) {
            let opening = service.pool.open(other, service.connection_limit());
            if matches!(timeout(CHECK_TIMEOUT, opening).await, Ok(Ok(_))) {
                return true;
            }
        }
        self.services.contacts().has_other_since(address, since)
    }

    fn record_decisions(&self, decisions: &[Decision], now: Instant) {
        for decision in decisions {
            match decision {
                Decision::Quarantined(content, crashes) => {
                    warn!(self.log, "quarantine: request crashes its servers; refused from now on";
                        "content" => %content, "crashes" => *crashes);
                }
                Decision::Released(content) => {
                    info!(self.log, "quarantine: request released, a server has responded to it";
                        "content" => %content);
                }
            }
        }
        self.metrics.quarantined.set(self.board.quarantined_count(now) as i64);
    }

    fn pending(&self) -> MutexGuard<'_, FastMap<IncarnationKey, Vec<Fingerprint>>> {
        self.pending.lock().expect("check lock is never poisoned")
    }
}
