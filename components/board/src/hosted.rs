//! What a hosted entry VM's controllers write and its request path reads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;
use tokio::time::{Duration, timeout};

use model::RevisionNumber;
use routes::RouteTable;

/// The blackboard of an entry VM whose configuration comes from the hosting platform.
#[derive(Debug, Default)]
pub struct HostedBoard {
    routes: ArcSwapOption<RouteTable>,
    /// Whether a first list of backend servers has come.
    has_server_list: AtomicBool,
    /// Tells those that wait for the first configuration and list.
    sync_notify: Notify,
    draining: AtomicBool,
}

impl HostedBoard {
    /// The configuration in force, once there is one.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.load_full()
    }

    /// Puts a configuration in force; tells whether it is newer than the one before. Only the task
    /// that follows the platform calls this.
    pub fn set_routes(&self, table: RouteTable) -> bool {
        if self.version().is_some_and(|version| table.version <= version) {
            return false;
        }
        self.routes.store(Some(Arc::new(table)));
        self.sync_notify.notify_waiters();
        true
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<RevisionNumber> {
        self.routes.load().as_ref().map(|table| table.version)
    }

    /// Notes that the first list of backend servers has come.
    pub fn mark_servers_received(&self) {
        self.has_server_list.store(true, Ordering::Release);
        self.sync_notify.notify_waiters();
    }

    /// The configuration in force. Right after the start this waits, for at most `max_wait`, until
    /// there is one and a list of servers.
    pub async fn wait_for_routes(&self, max_wait: Duration) -> Option<Arc<RouteTable>> {
        if !self.is_synced() {
            // Without both in time the caller answers that nothing is known.
            let _ = timeout(max_wait, self.wait_until_synced()).await;
        }
        self.routes()
    }

    /// Waits until there is a configuration and a list of servers.
    pub async fn wait_until_synced(&self) {
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
        self.has_server_list.load(Ordering::Acquire) && self.routes.load().is_some()
    }

    /// Notes that shutdown has begun.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether this entry VM should get new connections.
    pub fn is_ready(&self) -> bool {
        self.is_synced() && !self.is_draining()
    }
}
