//! Blackboard of an entry VM in hosted mode.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, Instant, timeout};

use model::RevisionNumber;
use routes::RouteTable;

/// Times of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// When callers have had time to notice that the VM is no longer ready. From then on, only those
    /// requests are accepted that are certain to be complete when the process exits.
    pub limited_from: Instant,
    /// When the process ends the requests in flight, to exit.
    pub exit_at: Instant,
}

/// State of this entry VM that background tasks and the request path share in hosted mode, where
/// the hosting platform supplies the configuration.
#[derive(Debug, Default)]
pub struct HostedBoard {
    routes: ArcSwapOption<RouteTable>,
    /// Whether a list of backend servers has been received.
    has_server_list: AtomicBool,
    /// Whether the evacuated zones have been received, of which there may be none.
    has_evacuations: AtomicBool,
    /// Wakes tasks that wait for the first configuration, evacuations and list of backend servers.
    sync_notify: Notify,
    /// Set once this entry VM is shutting down.
    shutdown: OnceLock<ShutdownTimes>,
    /// Wakes the requests in flight when the process is about to exit.
    exit_notify: Notify,
    /// Whether this entry VM reaches no backend server of any service.
    has_lost_servers: watch::Sender<bool>,
    /// Caller addresses of other entry VMs that reach backend servers.
    helpers: ArcSwap<Vec<SocketAddr>>,
}

impl HostedBoard {
    /// Returns the configuration in force; `None` until the first one is received.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.load_full()
    }

    /// Replaces the configuration in force if `table` has a higher version. Returns whether it was
    /// replaced. The check and the replacement aren't atomic, so only the task that watches the
    /// platform may call this.
    pub fn set_routes(&self, table: RouteTable) -> bool {
        if self.version().is_some_and(|version| table.version <= version) {
            return false;
        }
        self.routes.store(Some(Arc::new(table)));
        self.sync_notify.notify_waiters();
        true
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<RevisionNumber> {
        self.routes.load().as_ref().map(|table| table.version)
    }

    /// Records that a list of backend servers has been received.
    pub fn mark_servers_received(&self) {
        self.has_server_list.store(true, Ordering::Release);
        self.sync_notify.notify_waiters();
    }

    /// Records that the evacuated zones have been received.
    pub fn mark_evacuations_received(&self) {
        self.has_evacuations.store(true, Ordering::Release);
        self.sync_notify.notify_waiters();
    }

    /// Returns the configuration in force. After startup this waits up to `max_wait` for the first
    /// configuration, evacuations and list of backend servers. Returns `None` without evacuations:
    /// a request could be sent to an evacuated zone.
    pub async fn wait_for_routes(&self, max_wait: Duration) -> Option<Arc<RouteTable>> {
        if !self.is_synced() {
            // On a timeout the routes are returned as they are; without any the caller refuses the
            // request.
            let _ = timeout(max_wait, self.wait_until_synced()).await;
        }
        self.routes().filter(|_| self.has_evacuations())
    }

    /// Waits until a configuration, evacuations and a list of backend servers have been received.
    async fn wait_until_synced(&self) {
        loop {
            let notified = self.sync_notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.is_synced() {
                return;
            }
            notified.await;
        }
    }

    fn is_synced(&self) -> bool {
        self.has_server_list.load(Ordering::Acquire)
            && self.has_evacuations()
            && self.routes.load().is_some()
    }

    fn has_evacuations(&self) -> bool {
        self.has_evacuations.load(Ordering::Acquire)
    }

    /// Marks this entry VM as shutting down. Only the first call has an effect.
    pub fn start_drain(&self, times: ShutdownTimes) {
        let _ = self.shutdown.set(times);
    }

    /// Whether this entry VM is shutting down.
    pub fn is_draining(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Whether a request that has its response by `end` may be sent to a backend server at `now`.
    /// Late in a shutdown, the process would exit while the server still runs the others.
    pub fn may_start_request(&self, end: Instant, now: Instant) -> bool {
        self.shutdown.get().is_none_or(|times| now < times.limited_from || end <= times.exit_at)
    }

    /// Ends the requests in flight, since the process is about to exit.
    pub fn end_requests(&self) {
        self.exit_notify.notify_waiters();
    }

    /// Waits until the process is about to exit.
    pub async fn wait_for_exit(&self) {
        self.exit_notify.notified().await;
    }

    /// Whether this entry VM reaches backend servers, as far as it knows.
    pub fn reaches_servers(&self) -> bool {
        !*self.has_lost_servers.borrow()
    }

    /// Records whether this entry VM reaches backend servers. Returns whether that changed.
    pub fn set_reaches_servers(&self, reaches_servers: bool) -> bool {
        self.has_lost_servers.send_if_modified(|has_lost| {
            let has_changed = *has_lost == reaches_servers;
            *has_lost = !reaches_servers;
            has_changed
        })
    }

    /// Returns a receiver of whether this entry VM has lost all backend servers.
    pub fn watch_lost_servers(&self) -> watch::Receiver<bool> {
        self.has_lost_servers.subscribe()
    }

    /// Returns the caller addresses of other entry VMs that reach backend servers.
    pub fn helpers(&self) -> Arc<Vec<SocketAddr>> {
        self.helpers.load_full()
    }

    /// Replaces the caller addresses of other entry VMs that reach backend servers.
    pub fn set_helpers(&self, helpers: Vec<SocketAddr>) {
        self.helpers.store(Arc::new(helpers));
    }

    /// Whether this entry VM should receive new connections.
    pub fn is_ready(&self) -> bool {
        self.is_synced() && !self.is_draining()
    }
}
