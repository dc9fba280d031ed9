//! What an entry VM knows of one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use model::{ServerId, ZoneName};

use crate::eject::FailureRecord;

/// Identity and place of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerAddress {
    /// The backend server.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// A load report of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that the server ran or had waiting, from all entry VMs.
    pub in_flight: f64,
}

/// The state of one backend server.
#[derive(Debug)]
pub(crate) struct BackendServer {
    pub(crate) place: ServerAddress,
    /// Requests that this entry VM has sent and that have not ended.
    pub(crate) own_in_flight: u32,
    /// Requests of other entry VMs at the time of the last report.
    pub(crate) others: f64,
    /// Requests that the last report counted.
    pub(crate) reported: f64,
    /// When the last report came; before the first, when the server became known.
    pub(crate) reported_at: Instant,
    /// Smoothed time that the server takes for a request, without waiting, in seconds.
    pub(crate) service_seconds: f64,
    pub(crate) sampled_at: Instant,
    /// When a request of this entry VM last ended here, or began while none was under way.
    pub(crate) progress_at: Instant,
    pub(crate) failures: FailureRecord,
    /// Since when it counts as new; it gets its full share of requests only after a while.
    pub(crate) joined_at: Instant,
    /// Until when a sign of leaving outweighs a list that says that it is live.
    pub(crate) leaving_until: Option<Instant>,
    /// Whether the list says that it is leaving.
    pub(crate) listed_leaving: bool,
    /// Whether this entry VM uses it first.
    pub(crate) is_preferred: bool,
}

impl BackendServer {
    pub(crate) fn new(place: ServerAddress, service_seconds: f64, now: Instant) -> Self {
        Self {
            place,
            own_in_flight: 0,
            others: 0.0,
            reported: 0.0,
            reported_at: now,
            service_seconds,
            sampled_at: now,
            progress_at: now,
            failures: FailureRecord::new(),
            joined_at: now,
            leaving_until: None,
            listed_leaving: false,
            is_preferred: true,
        }
    }

    /// Notes that a request is sent to it.
    pub(crate) fn begin(&mut self, now: Instant) {
        if self.own_in_flight == 0 {
            self.progress_at = now;
        }
        self.own_in_flight += 1;
    }

    /// Notes that a request that was sent to it has ended.
    pub(crate) fn end(&mut self, now: Instant) {
        self.progress_at = now;
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Time for which requests under way have brought no answer.
    pub(crate) fn stalled(&self, now: Instant) -> Duration {
        if self.own_in_flight == 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(self.progress_at)
    }

    /// Whether it takes no new work because it leaves.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        self.listed_leaving || self.leaving_until.is_some_and(|until| now < until)
    }

    /// Takes in a report that counts this entry VM's own `own_counted` requests too.
    pub(crate) fn take_report(&mut self, report: LoadReport, own_counted: u32, now: Instant) {
        self.reported = report.in_flight;
        self.others = (report.in_flight - f64::from(own_counted)).max(0.0);
        self.reported_at = now;
    }

    /// Part of its slots that a new server is given, from `SLOW_START_FLOOR` to 1.
    pub(crate) fn ramp(&self, slow_start: Duration, now: Instant) -> f64 {
        /// Part of the slots of a server that just joined; it must get some requests to warm up.
        const SLOW_START_FLOOR: f64 = 0.2;
        let age = now.saturating_duration_since(self.joined_at).as_secs_f64();
        let ramp = age / slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
        ramp.clamp(SLOW_START_FLOOR, 1.0)
    }
}
