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
    has_servers: AtomicBool,
    /// Tells those that wait for the first configuration and list.
    learned: Notify,
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
        self.learned.notify_waiters();
        true
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<RevisionNumber> {
        self.routes.load().as_ref().map(|table| table.version)
    }

    /// Notes that the first list of backend servers has come.
    pub fn note_servers(&self) {
        self.has_servers.store(true, Ordering::Release);
        self.learned.notify_waiters();
    }

    /// The configuration in force. Right after the start this waits, for at most `patience`, until
    /// there is one and a list of servers.
    pub async fn first_routes(&self, patience: Duration) -> Option<Arc<RouteTable>> {
        if !self.knows_enough() {
            // Without both in time the caller answers that nothing is known.
            let _ = timeout(patience, self.learn()).await;
        }
        self.routes()
    }

    /// Waits until there is a configuration and a list of servers.
    pub async fn learn(&self) {
        loop {
            let learned = self.learned.notified();
            tokio::pin!(learned);
            learned.as_mut().enable();
            if self.knows_enough() {
                return;
            }
            learned.await;
        }
    }

    fn knows_enough(&self) -> bool {
        self.has_servers.load(Ordering::Acquire) && self.routes.load().is_some()
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
        self.knows_enough() && !self.is_draining()
    }
}
