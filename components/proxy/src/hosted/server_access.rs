//! Whether this entry VM reaches backend servers at all.
//!
//! A VM can be partitioned from all servers while its callers and other VMs reach it. Open
//! connections may live on meanwhile, so only new ones tell. Other VMs then serve its callers'
//! requests, see `forward`.
//!
//! Several failures in a row are a suspicion only: where a third of the servers of a service have
//! crashed, every VM soon meets three of them. `access_check` then tries the servers that responded
//! last, and only if none of them does, this VM counts as partitioned.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use board::HostedBoard;
use observe::{HostedMetrics, Logger, info, warn};

/// Number of servers that must have failed in a row for a suspicion; all, if there are fewer.
const MIN_FAILED_SERVERS: usize = 3;

/// Interval at which a VM without servers looks for one.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Knowledge of whether this VM reaches servers, from new connections to those of all services.
pub(crate) struct ServerAccess {
    board: Arc<HostedBoard>,
    /// Number of servers of all services.
    server_count: AtomicUsize,
    state: Mutex<AccessState>,
    /// Notified when a check is needed.
    suspected: Notify,
    metrics: HostedMetrics,
    log: Logger,
}

#[derive(Default)]
struct AccessState {
    /// Different servers to which new connections have failed since the last success.
    failed: Vec<SocketAddr>,
    checked_at: Option<Instant>,
}

impl ServerAccess {
    pub(crate) fn new(board: Arc<HostedBoard>, metrics: HostedMetrics, log: Logger) -> Self {
        metrics.server_access.set(1);
        Self {
            board,
            server_count: AtomicUsize::new(0),
            state: Mutex::default(),
            suspected: Notify::new(),
            metrics,
            log,
        }
    }

    /// Sets the number of servers of all services.
    pub(crate) fn set_server_count(&self, count: usize) {
        self.server_count.store(count, Ordering::Relaxed);
    }

    /// Whether this VM reaches no server.
    pub(crate) fn is_lost(&self) -> bool {
        !self.board.reaches_servers()
    }

    /// Records that a server responded on a new connection.
    pub(crate) fn record_success(&self) {
        self.state().failed.clear();
        if self.board.set_reaches_servers(true) {
            self.metrics.server_access.set(1);
            info!(self.log, "servers: reachable again; serving requests without other VMs");
        }
    }

    /// Records that a new connection to a server failed, or brought no response.
    pub(crate) fn record_failure(&self, address: SocketAddr) {
        let mut state = self.state();
        if state.failed.len() < MIN_FAILED_SERVERS && !state.failed.contains(&address) {
            state.failed.push(address);
        }
        let required = self.server_count.load(Ordering::Relaxed).clamp(1, MIN_FAILED_SERVERS);
        let is_suspected = state.failed.len() >= required;
        drop(state);
        if is_suspected && !self.is_lost() {
            self.suspected.notify_one();
        }
    }

    /// Waits until so many servers have failed in a row that this VM may reach none.
    pub(crate) async fn suspicion(&self) {
        self.suspected.notified().await;
    }

    /// Records that none of the servers that were checked because of a suspicion has responded.
    /// Returns without effect if a server responded on a new connection meanwhile.
    pub(crate) fn confirm_loss(&self) {
        let failed = self.state().failed.len();
        if failed > 0 && self.board.set_reaches_servers(false) {
            self.metrics.server_access.set(0);
            warn!(self.log, "servers: none is reachable; forwarding requests to other VMs";
                "failed" => failed, "helpers" => self.board.helpers().len());
        }
    }

    /// Whether it is time to look for a server again. Returns `true` once per interval.
    pub(crate) fn is_check_due(&self, now: Instant) -> bool {
        let mut state = self.state();
        let is_due = state.checked_at.is_none_or(|at| now >= at + CHECK_INTERVAL);
        if is_due {
            state.checked_at = Some(now);
        }
        is_due
    }

    fn state(&self) -> MutexGuard<'_, AccessState> {
        self.state.lock().expect("access lock is never poisoned")
    }
}
