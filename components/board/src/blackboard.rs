//! Blackboard of an entry VM with a control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::{broadcast, watch};
use tokio::time::Instant;

use members::{HeldSlot, MemberEntry};
use model::{RevisionNumber, ServerId, VmId};
use records::{ConfigSnapshot, RoutingTable};
use store::ServerEntry;

use crate::atomic_instant::AtomicInstant;

/// Capacity of the channel for drain notices. A subscriber that falls further behind misses the
/// oldest notices; these drains appear later in the platform's list of backend servers.
const NOTICE_QUEUE_CAPACITY: usize = 256;

/// The configuration in force.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// All records.
    pub snapshot: ConfigSnapshot,
    /// The routes built from the records. Invariant: of the same revision as `snapshot`.
    pub routing: RoutingTable,
}

/// The fleet as last read by this entry VM.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Live members, in slot order.
    pub members: Vec<MemberEntry>,
    /// The slot whose lease this entry VM holds.
    pub held_slot: Option<HeldSlot>,
    /// Number of slots in the fleet.
    pub slot_count: u32,
}

impl FleetView {
    /// Whether an entry VM is a live member.
    pub fn is_member(&self, vm: &VmId) -> bool {
        self.members.iter().any(|member| member.row.vm == *vm)
    }
}

/// A notice that a backend server is draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainNotice {
    /// The backend server.
    pub server: ServerId,
    /// Whether this entry VM detected the drain itself. Only such notices are sent to peers.
    pub is_local: bool,
}

/// State of this entry VM that the control thread and the request path share, after the blackboard
/// pattern: controllers replace its entries and the request path reads them.
#[derive(Debug)]
pub struct Blackboard {
    config: ArcSwap<ActiveConfig>,
    fleet: ArcSwap<FleetView>,
    servers: watch::Sender<Arc<Vec<ServerEntry>>>,
    notices: broadcast::Sender<DrainNotice>,
    /// Time from which the configuration in force may no longer be served.
    config_expiry: AtomicInstant,
    /// Whether this entry VM is shutting down.
    is_draining: AtomicBool,
}

impl Blackboard {
    /// Creates a blackboard for a fleet of `slot_count` slots. Its configuration is empty and
    /// already expired.
    pub fn new(slot_count: u32, now: Instant) -> Self {
        Self {
            config: ArcSwap::default(),
            fleet: ArcSwap::from_pointee(FleetView { slot_count, ..FleetView::default() }),
            servers: watch::Sender::new(Arc::default()),
            notices: broadcast::Sender::new(NOTICE_QUEUE_CAPACITY),
            config_expiry: AtomicInstant::new(now),
            is_draining: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<ActiveConfig> {
        self.config.load_full()
    }

    /// Replaces the configuration in force, unless that one has a higher revision. Returns whether
    /// it was replaced.
    pub fn set_config(&self, config: ActiveConfig) -> bool {
        if config.snapshot.revision() < self.revision() {
            return false;
        }
        self.config.store(Arc::new(config));
        true
    }

    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> RevisionNumber {
        self.config.load().snapshot.revision()
    }

    /// Returns the fleet as last read.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.fleet.load_full()
    }

    /// Replaces the view of the fleet.
    pub fn set_fleet(&self, view: FleetView) {
        self.fleet.store(Arc::new(view));
    }

    /// Subscribes to the platform's list of backend servers.
    pub fn watch_servers(&self) -> watch::Receiver<Arc<Vec<ServerEntry>>> {
        self.servers.subscribe()
    }

    /// Replaces the list of backend servers. Subscribers are notified only if it differs.
    pub fn set_servers(&self, servers: Vec<ServerEntry>) {
        self.servers.send_if_modified(|current| {
            if **current == servers {
                return false;
            }
            *current = Arc::new(servers);
            true
        });
    }

    /// Subscribes to drain notices.
    pub fn watch_notices(&self) -> broadcast::Receiver<DrainNotice> {
        self.notices.subscribe()
    }

    /// Sends a drain notice to all subscribers.
    pub fn send_notice(&self, notice: DrainNotice) {
        // Sending fails only if there are no subscribers.
        let _ = self.notices.send(notice);
    }

    /// Sets the time from which the configuration in force may no longer be served.
    pub fn set_config_expiry(&self, expiry: Instant) {
        self.config_expiry.set(expiry);
    }

    /// Whether the configuration in force may be served at `now`. The request path checks this on
    /// each request, so that a process that was paused serves no outdated configuration when it
    /// resumes.
    pub fn has_valid_config(&self, now: Instant) -> bool {
        now < self.config_expiry.get()
    }

    /// Marks this entry VM as shutting down.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    /// Whether this entry VM is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Whether this entry VM should receive new connections.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.is_draining() && self.has_valid_config(now)
    }
}
