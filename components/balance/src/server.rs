//! State that an entry VM keeps about one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use model::{ServerId, ZoneName};

use crate::eject::FailureHistory;

/// Identity, address and zone of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// Identity of the backend server.
    pub id: ServerId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// A load report of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests from all entry VMs that ran or waited at the server.
    pub in_flight: f64,
}

/// State of one backend server.
#[derive(Debug)]
pub(crate) struct BackendServer {
    pub(crate) endpoint: ServerEndpoint,
    /// Unfinished requests of this entry VM.
    pub(crate) local_in_flight: u32,
    /// Requests of other entry VMs, as of the last report.
    pub(crate) remote_in_flight: f64,
    /// Requests from all entry VMs, as of the last report.
    pub(crate) reported_in_flight: f64,
    /// Time of the last report or probe; initially the time at which the server was added.
    pub(crate) reported_at: Instant,
    /// Smoothed service time of a request, without the wait for a slot.
    pub(crate) service_seconds: f64,
    pub(crate) sampled_at: Instant,
    /// Time at which a local request last finished, or started while no other was in flight.
    pub(crate) progress_at: Instant,
    pub(crate) failures: FailureHistory,
    /// Start of the slow start, during which it receives a reduced share of requests.
    pub(crate) joined_at: Instant,
    /// Time until which a leaving signal overrides a list that reports it as live.
    pub(crate) leaving_signal_until: Option<Instant>,
    /// Whether the list reports it as leaving.
    pub(crate) is_listed_leaving: bool,
    /// Whether it is a preferred server of this entry VM.
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

    /// Counts a request that is sent to the server.
    pub(crate) fn start_request(&mut self, now: Instant) {
        if self.local_in_flight == 0 {
            self.progress_at = now;
        }
        self.local_in_flight += 1;
    }

    /// Removes a finished request from the count.
    pub(crate) fn finish_request(&mut self, now: Instant) {
        self.progress_at = now;
        self.local_in_flight = self.local_in_flight.saturating_sub(1);
    }

    /// Time without a finished request while requests are in flight.
    pub(crate) fn stall_time(&self, now: Instant) -> Duration {
        if self.local_in_flight == 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(self.progress_at)
    }

    /// Whether it is leaving, by the list or by a signal, and receives no new requests.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        self.is_listed_leaving || self.leaving_signal_until.is_some_and(|until| now < until)
    }

    /// Applies a load report, which includes `local_in_flight` requests of this entry VM.
    pub(crate) fn apply_report(&mut self, report: LoadReport, local_in_flight: u32, now: Instant) {
        self.reported_in_flight = report.in_flight;
        self.remote_in_flight = (report.in_flight - f64::from(local_in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Share of its usual load that the server receives during slow start, from `SLOW_START_FLOOR`
    /// to 1.
    pub(crate) fn slow_start_share(&self, slow_start: Duration, now: Instant) -> f64 {
        /// Initial share: a server that just joined needs some requests to warm up.
        const SLOW_START_FLOOR: f64 = 0.2;
        let age = now.saturating_duration_since(self.joined_at).as_secs_f64();
        let share = age / slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
        share.clamp(SLOW_START_FLOOR, 1.0)
    }
}
