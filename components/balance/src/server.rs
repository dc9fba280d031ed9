//! What an entry VM knows of one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use model::{ServerId, ZoneName};

use crate::eject::FailureHistory;

/// Identity and place of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
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
    pub(crate) endpoint: ServerEndpoint,
    /// Requests that this entry VM has sent and that have not ended.
    pub(crate) local_in_flight: u32,
    /// Requests of other entry VMs at the time of the last report.
    pub(crate) remote_in_flight: f64,
    /// Requests that the last report counted.
    pub(crate) reported_in_flight: f64,
    /// When the last report came; before the first, when the server became known.
    pub(crate) reported_at: Instant,
    /// Smoothed time that the server takes for a request, without waiting, in seconds.
    pub(crate) service_seconds: f64,
    pub(crate) sampled_at: Instant,
    /// When a request of this entry VM last ended here, or began while none was under way.
    pub(crate) progress_at: Instant,
    pub(crate) failures: FailureHistory,
    /// Since when it counts as new; it gets its full share of requests only after a while.
    pub(crate) joined_at: Instant,
    /// Until when a sign of leaving outweighs a list that says that it is live.
    pub(crate) leaving_signal_until: Option<Instant>,
    /// Whether the list says that it is leaving.
    pub(crate) is_listed_leaving: bool,
    /// Whether this entry VM uses it first.
    pub(crate) is_preferred: bool,
}

impl BackendServer {
    pub(crate) fn new(endpoint: ServerEndpoint, service_seconds: f64, now: Instant) -> Self {
        Self {
            endpoint,
            local_in_flight: 0,
            remote_in_flight: 0.0,
            reported_in_flight: 0.0,
            reported_at: now,
            service_seconds,
            sampled_at: now,
            progress_at: now,
            failures: FailureHistory::new(),
            joined_at: now,
            leaving_signal_until: None,
            is_listed_leaving: false,
            is_preferred: true,
        }
    }

    /// Notes that a request is sent to it.
    pub(crate) fn start_request(&mut self, now: Instant) {
        if self.local_in_flight == 0 {
            self.progress_at = now;
        }
        self.local_in_flight += 1;
    }

    /// Notes that a request that was sent to it has ended.
    pub(crate) fn finish_request(&mut self, now: Instant) {
        self.progress_at = now;
        self.local_in_flight = self.local_in_flight.saturating_sub(1);
    }

    /// Time for which requests under way have brought no answer.
    pub(crate) fn stall_time(&self, now: Instant) -> Duration {
        if self.local_in_flight == 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(self.progress_at)
    }

    /// Whether it takes no new work because it leaves.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        self.is_listed_leaving || self.leaving_signal_until.is_some_and(|until| now < until)
    }

    /// Takes in a report that counts this entry VM's own `own_counted` requests too.
    pub(crate) fn apply_report(&mut self, report: LoadReport, counted_local: u32, now: Instant) {
        self.reported_in_flight = report.in_flight;
        self.remote_in_flight = (report.in_flight - f64::from(counted_local)).max(0.0);
        self.reported_at = now;
    }

    /// Part of its slots that a new server is given, from `SLOW_START_FLOOR` to 1.
    pub(crate) fn slow_start_share(&self, slow_start: Duration, now: Instant) -> f64 {
        /// Part of the slots of a server that just joined; it must get some requests to warm up.
        const SLOW_START_FLOOR: f64 = 0.2;
        let age = now.saturating_duration_since(self.joined_at).as_secs_f64();
        let share = age / slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
        share.clamp(SLOW_START_FLOOR, 1.0)
    }
}
