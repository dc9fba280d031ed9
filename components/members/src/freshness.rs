//! Decides whether the configuration held here may still be served.
//!
//! While any member reaches the table, a new revision may be accepted there, so an entry VM needs
//! a recent confirmation: its own read of the table, or a peer's that holds no newer revision.
//! When a majority of the members says that none of them reaches the table, the last
//! configuration goes on. An entry VM that hears neither the table nor a majority can't tell
//! which case it is in, so it stops serving.

use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, RevisionNumber, VmId};

/// What a peer last said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerReport {
    /// When it was heard.
    pub reported_at: Instant,
    /// When the peer last read the table, by this VM's clock; `None` if never.
    pub confirmed_at: Option<Instant>,
    /// The revision that the peer holds.
    pub revision: RevisionNumber,
}

/// Whether requests may be served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServingState {
    /// The configuration is confirmed and may be served until then.
    Fresh(Instant),
    /// The table is down for a majority; the last configuration may be served until then.
    Outage(Instant),
    /// A newer configuration may be in force; nothing may be served.
    Stale,
}

/// Collects confirmations.
#[derive(Debug)]
pub struct FreshnessTracker {
    max_age: Duration,
    local_confirmed_at: Option<Instant>,
    /// Invariant: holds only peers that the last call of `retain` named, plus those heard since.
    reports: FastMap<VmId, PeerReport>,
}

impl FreshnessTracker {
    /// A tracker for which a confirmation is good for `bound`.
    pub fn new(max_age: Duration) -> Self {
        Self { max_age, local_confirmed_at: None, reports: FastMap::default() }
    }

    /// Notes that this VM read the table and holds the newest revision. `begun_at` is the time
    /// before the read was sent.
    pub fn record_table_read(&mut self, started_at: Instant) {
        self.local_confirmed_at = self.local_confirmed_at.max(Some(started_at));
    }

    /// When this VM last read the table.
    pub fn local_confirmed_at(&self) -> Option<Instant> {
        self.local_confirmed_at
    }

    /// Notes what a peer said.
    pub fn record_report(&mut self, peer: VmId, report: PeerReport) {
        self.reports.insert(peer, report);
    }

    /// Forgets peers that are no longer members.
    pub fn retain_peers(&mut self, is_member: impl Fn(&VmId) -> bool) {
        self.reports.retain(|peer, _| is_member(peer));
    }

    /// The highest revision heard of.
    pub fn highest_peer_revision(&self) -> RevisionNumber {
        self.reports.values().map(|report| report.revision).max().unwrap_or_default()
    }

    /// Decides at `now`, with `revision` in force here and `members` entry VMs, this one included.
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
            // Nothing is known of the fleet, so a majority can't be told.
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
