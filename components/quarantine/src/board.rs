//! Crash reports that the tasks of an entry VM share.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::Instant;

use limits::TokenBucket;
use model::FastSet;

use crate::fingerprint::Fingerprint;
use crate::ledger::{CrashLedger, CrashLimits, Decision, MAX_REPORTS};
use crate::report::{CrashReport, IncarnationKey};

/// Capacity of the queue of new reports to one receiver. A receiver that falls further behind takes
/// a snapshot.
const UPDATE_QUEUE_CAPACITY: usize = 64;

/// New reports of other VMs that are added at once, as many as a ledger holds.
const REMOTE_BURST: f64 = MAX_REPORTS as f64;

/// New reports of other VMs that are added per second. A crash leads to a few at each VM, and whoever
/// reaches a relay's port can send any number.
const REMOTE_RATE: f64 = 500.0;

/// Crash reports that the tasks of an entry VM share: the request path, and the exchange with other
/// VMs.
#[derive(Debug)]
pub struct CrashBoard {
    ledger: Mutex<CrashLedger>,
    /// Limits new reports of other VMs. Locked after `ledger`.
    remote_bucket: Mutex<TokenBucket>,
    updates: broadcast::Sender<Vec<CrashReport>>,
    /// Requests about which this VM itself made a report.
    own_reports: broadcast::Sender<Fingerprint>,
}

impl Default for CrashBoard {
    fn default() -> Self {
        Self::new(CrashLimits::default())
    }
}

impl CrashBoard {
    /// Creates a board without reports.
    pub fn new(limits: CrashLimits) -> Self {
        let updates = broadcast::Sender::new(UPDATE_QUEUE_CAPACITY);
        let own_reports = broadcast::Sender::new(UPDATE_QUEUE_CAPACITY);
        let bucket = TokenBucket::new(REMOTE_RATE, REMOTE_BURST, Instant::now());
        Self {
            ledger: Mutex::new(CrashLedger::new(limits)),
            remote_bucket: Mutex::new(bucket),
            updates,
            own_reports,
        }
    }

    /// Changes when a request that crashes its servers is refused, and for how long.
    pub fn set_limits(&self, limits: CrashLimits) {
        self.ledger().set_limits(limits);
    }

    /// Adds reports of other VMs, and passes on those that are new. Too many new ones are ignored.
    pub fn merge(&self, reports: &[CrashReport], now: Instant) {
        let mut ledger = self.ledger();
        let mut bucket = self.remote_bucket.lock().expect("bucket lock is never poisoned");
        let mut merge = |report: &CrashReport| {
            let is_allowed = ledger.holds(report) || bucket.try_take(now).is_ok();
            is_allowed && ledger.merge(report, now)
        };
        let new = reports.iter().copied().filter(|report| merge(report)).collect();
        self.pass_on(new);
    }

    /// Records that a server crashed while it may have run these requests of this VM, and passes that
    /// on.
    pub fn record_crash(&self, contents: &[Fingerprint], server: IncarnationKey, now: Instant) {
        let mut ledger = self.ledger();
        let reports = contents
            .iter()
            .flat_map(|content| ledger.record_crash(*content, server, now))
            .collect();
        self.pass_on_own(reports);
    }

    /// Records that a server has responded to a request of this VM, and passes on what that clears.
    pub fn record_response(&self, content: Fingerprint, now: Instant) {
        let mut ledger = self.ledger();
        let cleared = ledger.record_response(content, now);
        self.pass_on_own(cleared);
    }

    /// Returns the decisions that have become due since the last call; `None` if nothing was due.
    pub fn decide(&self, now: Instant) -> Option<Vec<Decision>> {
        let mut ledger = self.ledger();
        let is_due = ledger.next_decision_at().is_some_and(|at| at <= now);
        is_due.then(|| ledger.decide(now))
    }

    /// Whether no report is held, so that no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.ledger().is_empty()
    }

    /// Returns the end of a request's quarantine; `None` if it isn't quarantined.
    pub fn quarantined_until(&self, content: Fingerprint, now: Instant) -> Option<Instant> {
        self.ledger().quarantined_until(content, now)
    }

    /// Number of crashes of which a request is suspected.
    pub fn crash_count(&self, content: Fingerprint) -> usize {
        self.ledger().crash_count(content)
    }

    /// Whether a report is so old that it no longer counts.
    pub fn is_expired(&self, report: &CrashReport) -> bool {
        self.ledger().is_expired(report)
    }

    /// Number of requests that are quarantined.
    pub fn quarantined_count(&self, now: Instant) -> usize {
        self.ledger().quarantined_count(now)
    }

    /// Returns the reports about a request.
    pub fn reports_of(&self, content: Fingerprint, now: Instant) -> Vec<CrashReport> {
        self.ledger().reports_of(content, now)
    }

    /// Returns all reports.
    pub fn snapshot(&self, now: Instant) -> Vec<CrashReport> {
        self.ledger().snapshot(now)
    }

    /// Returns a feed of all reports, those held first.
    pub fn feed(self: &Arc<Self>) -> CrashFeed {
        CrashFeed { board: Arc::clone(self), updates: self.updates.subscribe(), is_behind: true }
    }

    /// Returns a receiver of the requests about which this VM itself makes reports.
    pub fn own_reports(&self) -> broadcast::Receiver<Fingerprint> {
        self.own_reports.subscribe()
    }

    fn pass_on_own(&self, reports: Vec<CrashReport>) {
        let contents: FastSet<Fingerprint> = reports.iter().map(|report| report.content).collect();
        self.pass_on(reports);
        for content in contents {
            // The send fails only if there is no receiver.
            let _ = self.own_reports.send(content);
        }
    }

    fn pass_on(&self, reports: Vec<CrashReport>) {
        if !reports.is_empty() {
            // The send fails only if there is no receiver.
            let _ = self.updates.send(reports);
        }
    }

    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("ledger lock is never poisoned")
    }
}

/// Feed of the reports on a board.
pub struct CrashFeed {
    board: Arc<CrashBoard>,
    updates: broadcast::Receiver<Vec<CrashReport>>,
    /// Whether the next reports are all that the board holds.
    is_behind: bool,
}

impl CrashFeed {
    /// Waits for the next reports. The first ones are those that the board holds, possibly none.
    /// Cancel-safe: no report is lost.
    pub async fn next(&mut self) -> Vec<CrashReport> {
        loop {
            if self.is_behind {
                self.is_behind = false;
                return self.board.snapshot(Instant::now());
            }
            match self.updates.recv().await {
                Ok(reports) => return reports,
                Err(RecvError::Lagged(_)) => self.is_behind = true,
                // The board, which this feed holds, has the sender.
                Err(RecvError::Closed) => std::future::pending().await,
            }
        }
    }
}
