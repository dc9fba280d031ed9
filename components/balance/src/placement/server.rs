//! What an entry VM knows of one server.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use model::{ServerId, ZoneName};

use crate::eject::FailureRecord;

/// Weight of the newest report in a server's usual slowness.
const USUAL_WEIGHT: f64 = 0.1;

/// What a server says of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadFigures {
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
pub struct PlacedServer {
    /// Its identity.
    pub id: ServerId,
    /// Start of this life, as the list tells it. Invariant: differs between two lives of one id.
    pub born_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it stays slow after its start.
    pub warmup_left: Duration,
}

impl PlacedServer {
    /// Whether both name the same life of a server.
    fn is_same_life(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms == other.born_ms && self.address == other.address
    }
}

/// The last report of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastReport {
    /// Requests of other entry VMs that it counted.
    pub(crate) others: f64,
    pub(crate) slowness: f64,
    pub(crate) at: Instant,
}

/// The state of one server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) listed: PlacedServer,
    /// Requests that this entry VM has sent and that have not ended.
    pub(crate) own: u32,
    pub(crate) report: Option<LastReport>,
    /// Smoothed slowness over the reports of this life.
    pub(crate) usual_slowness: f64,
    pub(crate) failures: FailureRecord,
    pub(crate) warm_at: Instant,
    /// Whether this entry VM looks at it before others.
    pub(crate) is_own: bool,
}

impl ServerState {
    pub(crate) fn new(listed: PlacedServer, usual_slowness: f64, now: Instant) -> Self {
        let warm_at = now + listed.warmup_left;
        Self {
            listed,
            own: 0,
            report: None,
            usual_slowness,
            failures: FailureRecord::new(),
            warm_at,
            is_own: true,
        }
    }

    /// Takes over a newer entry of the list; tells whether it is of the same life.
    pub(crate) fn update(&mut self, listed: &PlacedServer, now: Instant) -> bool {
        if !self.listed.is_same_life(listed) {
            return false;
        }
        self.warm_at = self.warm_at.min(now + listed.warmup_left);
        self.listed = listed.clone();
        true
    }

    /// Takes in a report. The server counts requests that this entry VM has under way, too.
    pub(crate) fn take_report(&mut self, figures: LoadFigures, now: Instant) {
        let total = f64::from(figures.running) + f64::from(figures.waiting);
        let others = (total - f64::from(self.own)).max(0.0);
        self.usual_slowness += (figures.slowness - self.usual_slowness) * USUAL_WEIGHT;
        self.listed.slots = figures.slots.max(1);
        self.report = Some(LastReport { others, slowness: figures.slowness, at: now });
    }

    /// Age of the last report; `None` before the first.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.map(|report| now.saturating_duration_since(report.at))
    }
}
