//! The entries of the blackboard.

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

/// Notices of leaving that may wait for a slow reader; older ones are lost, and the platform's list
/// brings them later.
const NOTICE_QUEUE_CAPACITY: usize = 256;

/// The configuration in force.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// All records.
    pub snapshot: ConfigSnapshot,
    /// The routes made of them. Invariant: of the same revision as `snapshot`.
    pub routing: RoutingTable,
}

/// What this entry VM knows of the fleet.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Live members, in order of slot.
    pub members: Vec<MemberEntry>,
    /// The slot that this entry VM holds.
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

/// A notice that a backend server is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainNotice {
    /// The backend server.
    pub server: ServerId,
    /// Whether this entry VM saw it itself; only then it is told to peers.
    pub is_local: bool,
}

/// What controllers write and the request path reads.
#[derive(Debug)]
pub struct Blackboard {
    config: ArcSwap<ActiveConfig>,
    fleet: ArcSwap<FleetView>,
    servers: watch::Sender<Arc<Vec<ServerEntry>>>,
    notices: broadcast::Sender<DrainNotice>,
    /// Until when the configuration in force may be served.
    config_expiry: AtomicInstant,
    /// Whether this entry VM has begun to shut down.
    draining: AtomicBool,
}

impl Blackboard {
    /// An empty blackboard for a fleet of `slots` slots.
    pub fn new(slot_count: u32, now: Instant) -> Self {
        Self {
            config: ArcSwap::default(),
            fleet: ArcSwap::from_pointee(FleetView { slot_count, ..FleetView::default() }),
            servers: watch::Sender::new(Arc::default()),
            notices: broadcast::Sender::new(NOTICE_QUEUE_CAPACITY),
            config_expiry: AtomicInstant::new(now),
            draining: AtomicBool::new(false),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ActiveConfig> {
        self.config.load_full()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn set_config(&self, config: ActiveConfig) -> bool {
        if config.snapshot.revision() < self.revision() {
            return false;
        }
        self.config.store(Arc::new(config));
        true
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> RevisionNumber {
        self.config.load().snapshot.revision()
    }

    /// The fleet as last seen.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.fleet.load_full()
    }

    /// Replaces what is known of the fleet.
    pub fn set_fleet(&self, view: FleetView) {
        self.fleet.store(Arc::new(view));
    }

    /// Follows the platform's list of backend servers.
    pub fn watch_servers(&self) -> watch::Receiver<Arc<Vec<ServerEntry>>> {
        self.servers.subscribe()
    }

    /// Replaces the list of backend servers.
    pub fn set_servers(&self, servers: Vec<ServerEntry>) {
        self.servers.send_if_modified(|current| {
            if **current == servers {
                return false;
            }
            *current = Arc::new(servers);
            true
        });
    }

    /// Follows notices that backend servers leave.
    pub fn watch_notices(&self) -> broadcast::Receiver<DrainNotice> {
        self.notices.subscribe()
    }

    /// Passes on that a backend server leaves.
    pub fn send_notice(&self, notice: DrainNotice) {
        // Without a reader there is nobody to tell.
        let _ = self.notices.send(notice);
    }

    /// Sets until when the configuration in force may be served.
    pub fn set_config_expiry(&self, until: Instant) {
        self.config_expiry.set(until);
    }

    /// Whether the configuration in force may be served at `now`. The request path asks this for
    /// each request, so that a process that was frozen serves nothing old when it wakes.
    pub fn has_valid_config(&self, now: Instant) -> bool {
        now < self.config_expiry.get()
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
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.is_draining() && self.has_valid_config(now)
    }
}
