//! Decides whether this VM's configuration may still be served.
//!
//! While any member reaches the table, a new revision may be accepted there. An entry VM therefore
//! needs a recent confirmation: its own read of the table, or that of a peer with no newer
//! revision. When a majority of the members reports that none of them reaches the table, the last
//! configuration stays in use. An entry VM that reaches neither the table nor a majority can't
//! distinguish the two cases, so it stops serving.

use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, RevisionNumber, VmId};

/// The last report of a peer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerReport {
    /// Time as of which the report counts, by this VM's clock.
    pub reported_at: Instant,
    /// Start of the peer's last read of the table, by this VM's clock; `None` if there was none.
    pub confirmed_at: Option<Instant>,
    /// Revision of the configuration in force at the peer.
    pub revision: RevisionNumber,
}

/// Whether and until when requests may be served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServingState {
    /// The configuration is confirmed and may be served until this time.
    Fresh(Instant),
    /// A majority can't reach the table; the last configuration may be served until this time.
    Outage(Instant),
    /// A newer configuration may be in force, so requests may not be served.
    Stale,
}

/// Tracks when the configuration was confirmed by the table or by peers.
#[derive(Debug)]
pub struct FreshnessTracker {
    max_age: Duration,
    local_confirmed_at: Option<Instant>,
    /// Invariant: contains only peers that the last call of `retain_peers` kept and peers that
    /// reported since.
    reports: FastMap<VmId, PeerReport>,
}

impl FreshnessTracker {
    /// Creates a tracker in which a confirmation is valid for `max_age`.
    pub fn new(max_age: Duration) -> Self {
        Self { max_age, local_confirmed_at: None, reports: FastMap::default() }
    }

    /// Records that this VM read the table and holds the newest revision. `started_at` is the time
    /// before the read was sent.
    pub fn record_table_read(&mut self, started_at: Instant) {
        self.local_confirmed_at = self.local_confirmed_at.max(Some(started_at));
    }

    /// Returns the start of this VM's last recorded read of the table, if any.
    pub fn local_confirmed_at(&self) -> Option<Instant> {
        self.local_confirmed_at
    }

    /// Records a peer's report in place of its previous one.
    pub fn record_report(&mut self, peer: VmId, report: PeerReport) {
        self.reports.insert(peer, report);
    }

    /// Removes the reports of peers that are no longer members.
    pub fn retain_peers(&mut self, is_member: impl Fn(&VmId) -> bool) {
        self.reports.retain(|peer, _| is_member(peer));
    }

    /// Returns the highest revision that a peer reported.
    pub fn highest_peer_revision(&self) -> RevisionNumber {
        self.reports.values().map(|report| report.revision).max().unwrap_or_default()
    }

    /// Returns the serving state at `now`, with `revision` in force on this VM and `member_count`
    /// entry VMs in the fleet, including this one.
    pub fn serving_state(
        &self,
        now: Instant,
        revision: RevisionNumber,
        member_count: usize,
    ) -> ServingState {
        let peer_confirmed_at = self
            .reports
            .values()
            .filter(|report| report.revision <= revision)
            .filter_map(|report| report.confirmed_at)
            .max();
        if let Some(confirmed_at) = self.local_confirmed_at.max(peer_confirmed_at) {
            let until = confirmed_at + self.max_age;
            if now < until {
                return ServingState::Fresh(until);
            }
        }
        self.outage_state(now, revision, member_count)
    }

    fn outage_state(
        &self,
        now: Instant,
        revision: RevisionNumber,
        member_count: usize,
    ) -> ServingState {
        let mut recent: Vec<&PeerReport> = self
            .reports
            .values()
            .filter(|report| now < report.reported_at + self.max_age)
            .collect();
        let is_table_reachable = recent
            .iter()
            .any(|report| report.confirmed_at.is_some_and(|at| now < at + self.max_age));
        if is_table_reachable || self.highest_peer_revision() > revision {
            return ServingState::Stale;
        }
        if member_count == 0 {
            // The size of the fleet is unknown, so a majority can't be determined.
            return ServingState::Stale;
        }
        let peers_needed = member_count / 2;
        if peers_needed == 0 {
            return ServingState::Outage(now + self.max_age);
        }
        recent.sort_by_key(|report| std::cmp::Reverse(report.reported_at));
        match recent.get(peers_needed - 1) {
            Some(report) => ServingState::Outage(report.reported_at + self.max_age),
            None => ServingState::Stale,
        }
    }
}
