//! What an entry VM knows of one server.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use model::{ServerId, ZoneName};

use crate::eject::FailureHistory;

/// Weight of the newest report in a server's usual slowness.
const NEWEST_REPORT_WEIGHT: f64 = 0.1;

/// What a server says of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// How many times longer than usual work takes at this moment; 1 is usual.
    pub slowness: f64,
}

/// A server as the list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementServer {
    /// Its identity.
    pub id: ServerId,
    /// Start of this life, as the list tells it. Invariant: differs between two lives of one id.
    pub started_at_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it stays slow after its start.
    pub slow_start_remaining: Duration,
}

impl PlacementServer {
    /// Whether both name the same life of a server.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_at_ms == other.started_at_ms
            && self.address == other.address
    }
}

/// The last report of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastReport {
    /// Requests of other entry VMs that it counted.
    pub(crate) remote_in_flight: f64,
    pub(crate) slowness: f64,
    pub(crate) received_at: Instant,
}

/// The state of one server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) listed: PlacementServer,
    /// Requests that this entry VM has sent and that have not ended.
    pub(crate) local_in_flight: u32,
    pub(crate) report: Option<LastReport>,
    /// Smoothed slowness over the reports of this life.
    pub(crate) typical_slowness: f64,
    pub(crate) failures: FailureHistory,
    pub(crate) slow_start_until: Instant,
    /// Whether this entry VM looks at it before others.
    pub(crate) is_preferred: bool,
}

impl ServerState {
    pub(crate) fn new(listed: PlacementServer, typical_slowness: f64, now: Instant) -> Self {
        let slow_start_until = now + listed.slow_start_remaining;
        Self {
            listed,
            local_in_flight: 0,
            report: None,
            typical_slowness,
            failures: FailureHistory::new(),
            slow_start_until,
            is_preferred: true,
        }
    }

    /// Takes over a newer entry of the list; tells whether it is of the same life.
    pub(crate) fn update_listing(&mut self, listed: &PlacementServer, now: Instant) -> bool {
        if !self.listed.is_same_incarnation(listed) {
            return false;
        }
        self.slow_start_until = self.slow_start_until.min(now + listed.slow_start_remaining);
        self.listed = listed.clone();
        true
    }

    /// Takes in a report. The server counts requests that this entry VM has under way, too.
    pub(crate) fn apply_report(&mut self, load: ServerLoad, now: Instant) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        let remote_in_flight = (total - f64::from(self.local_in_flight)).max(0.0);
        self.typical_slowness += (load.slowness - self.typical_slowness) * NEWEST_REPORT_WEIGHT;
        self.listed.slots = load.slots.max(1);
        self.report =
            Some(LastReport { remote_in_flight, slowness: load.slowness, received_at: now });
    }

    /// Age of the last report; `None` before the first.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.map(|report| now.saturating_duration_since(report.received_at))
    }
}
