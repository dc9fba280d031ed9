//! Registry of backend servers, built from listings and changes of the hosting platform's list,
//! which can be unreachable at times.
//!
//! An entry that is older than the one held has arrived late: a write without an answer may be
//! performed seconds later. A live server corrects that with its next heartbeat. If it doesn't, or the
//! number of the entry held is larger than a server's can be, then that one was not the server's own,
//! and the late one replaces it.
//!
//! A lapsed entry is one that expired because its server could not renew it during an outage. The
//! list may also be replaced by an older copy of itself, which lacks new servers and contains those
//! that have been removed since.

use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, ServerId};

use crate::server::{ServerChange, ServerRecord};
use crate::table::ServiceName;

/// How long removed entries are remembered, so that an older copy of the list doesn't bring them
/// back.
const REMOVED_ENTRY_MEMORY: Duration = Duration::from_secs(60);

/// Sequence numbers by which a late entry can be behind the one held; a server that writes its entry
/// once a second takes a quarter of an hour for them.
const MAX_LATE_NUMBERS: u64 = 1_000;

/// Time by which the start of a server can be later than that of the incarnation before it, in
/// milliseconds: ten years.
const MAX_START_LEAD_MS: u64 = 10 * 365 * 24 * 3_600 * 1_000;

/// Factor on the time in which a live server corrects a late entry, for servers that are leaving: a
/// late entry must not bring them back.
const LEAVING_FACTOR: u32 = 10;

/// Backend servers by identity, and whether the platform's list is reachable.
#[derive(Debug)]
pub struct ServerRegistry {
    /// How long lapsed entries are retained after this entry VM reaches the list again.
    lapsed_retention: Duration,
    servers: FastMap<ServerId, RegisteredServer>,
    /// Whether the last call to the list failed.
    is_unreachable: bool,
    /// When the list became reachable again after the last outage.
    recovered_at: Option<Instant>,
    /// When the list was last replaced by an older copy.
    restored_at: Option<Instant>,
    /// Last records of removed servers, and when they were removed.
    removed: FastMap<ServerId, (ServerRecord, Instant)>,
}

#[derive(Debug)]
struct RegisteredServer {
    record: ServerRecord,
    /// Older record that the list has instead.
    late: Option<LateRecord>,
    /// When a server whose entry is missing is removed; `None` while it is listed.
    retained_until: Option<Instant>,
    /// Whether the entry is missing from an older copy of the list, which says nothing about the
    /// server.
    is_missing_in_copy: bool,
}

/// A record that is older than the one held.
#[derive(Debug)]
struct LateRecord {
    record: ServerRecord,
    /// Since when the list has it, or one before it.
    since: Instant,
}

impl RegisteredServer {
    fn new(record: ServerRecord) -> Self {
        Self { record, late: None, retained_until: None, is_missing_in_copy: false }
    }

    /// Records an older record, which counts from the first one on if several arrive in their order.
    fn record_late(&mut self, record: ServerRecord, now: Instant) {
        let is_next = |late: &LateRecord| !record.is_older_than(&late.record);
        let since = self.late.as_ref().filter(|late| is_next(late)).map_or(now, |late| late.since);
        self.late = Some(LateRecord { record, since });
    }

    /// Returns when the late record replaces the one held, if the server hasn't corrected it by then.
    fn late_due_at(&self, correction_time: Duration) -> Option<Instant> {
        let factor = if self.record.is_leaving { LEAVING_FACTOR } else { 1 };
        self.late.as_ref().map(|late| late.since + correction_time * factor)
    }

    /// Whether a number of the record is larger than that of any record after `older` can be.
    fn is_too_far_ahead_of(&self, older: &ServerRecord) -> bool {
        match self.record.is_same_incarnation(older) {
            true => self.record.sequence.saturating_sub(older.sequence) > MAX_LATE_NUMBERS,
            false => {
                let lead = self.record.started_at_ms.saturating_sub(older.started_at_ms);
                lead > MAX_START_LEAD_MS
            }
        }
    }

    /// Whether the entry is missing because the server could not renew it, or has stopped.
    fn is_lapsed(&self) -> bool {
        self.retained_until.is_some() && !self.is_missing_in_copy
    }
}

impl ServerRegistry {
    /// Creates an empty registry. Lapsed entries are retained for `lapsed_retention` after this
    /// entry VM reaches the list again: longer than live servers need to renew their entries, and
    /// shorter than the time from which a server that has stopped must receive no requests.
    pub fn new(lapsed_retention: Duration) -> Self {
        Self {
            lapsed_retention,
            servers: FastMap::default(),
            is_unreachable: false,
            recovered_at: None,
            restored_at: None,
            removed: FastMap::default(),
        }
    }

    /// Changes how long lapsed entries are retained.
    pub fn set_lapsed_retention(&mut self, lapsed_retention: Duration) {
        self.lapsed_retention = lapsed_retention;
    }

    /// Records that the list could not be read.
    pub fn mark_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Records a response of the list. Must be called before the content of the response is
    /// applied.
    pub fn mark_reachable(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_unreachable) {
            self.recovered_at = Some(now);
        }
    }

    /// Records that the list was replaced by an older copy. Must be called before the content of
    /// the copy is applied.
    pub fn mark_restored(&mut self, now: Instant) {
        self.is_unreachable = false;
        self.recovered_at = Some(now);
        self.restored_at = Some(now);
    }

    /// Applies a complete listing: servers that it doesn't contain are missing.
    pub fn apply_listing(&mut self, listing: Vec<ServerChange>, now: Instant) {
        let mut missing: Vec<ServerId> = self.servers.keys().cloned().collect();
        for change in listing {
            if let ServerChange::Present(record) = change {
                missing.retain(|id| *id != record.id);
                self.upsert(record, now);
            }
        }
        for id in missing {
            self.remove_or_retain(&id, now);
        }
    }

    /// Applies changes in their order.
    pub fn apply_changes(&mut self, changes: Vec<ServerChange>, now: Instant) {
        for change in changes {
            match change {
                ServerChange::Present(record) => self.upsert(record, now),
                ServerChange::Absent(id) => self.remove_or_retain(&id, now),
            }
        }
    }

    /// Removes servers whose retention has ended, and applies late records that were not corrected;
    /// returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let has_applied = self.apply_uncorrected(now);
        let is_expired =
            |server: &RegisteredServer| server.retained_until.is_some_and(|at| now >= at);
        let expired: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| is_expired(server))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id, now);
        }
        has_applied || !expired.is_empty()
    }

    /// Replaces records by late ones that their servers had the time to correct. Returns whether
    /// there were any.
    fn apply_uncorrected(&mut self, now: Instant) -> bool {
        let mut has_applied = false;
        for server in self.servers.values_mut() {
            let is_due = server.late_due_at(self.lapsed_retention).is_some_and(|at| now >= at);
            let Some(mut late) = server.late.take_if(|_| is_due) else {
                continue;
            };
            if self.is_unreachable {
                // Servers may not reach the list either.
                late.since = now;
                server.late = Some(late);
            } else {
                *server = RegisteredServer::new(late.record);
                has_applied = true;
            }
        }
        has_applied
    }

    /// Returns when `remove_expired` is due next; `None` if no entry has lapsed or is late.
    pub fn next_expiry(&self) -> Option<Instant> {
        let correction_time = self.lapsed_retention;
        let late_due = |server: &RegisteredServer| server.late_due_at(correction_time);
        self.servers
            .values()
            .flat_map(|server| [server.retained_until, late_due(server)])
            .flatten()
            .min()
    }

    /// Returns the servers that may receive requests. Those that an older copy lacks are included
    /// until their retention ends, those with lapsed entries are included only
    /// if more than half of the entries of their service have lapsed: otherwise the missing
    /// servers have more likely stopped.
    pub fn eligible_servers(&self) -> impl Iterator<Item = &ServerRecord> {
        let mut listed_surplus: FastMap<&ServiceName, i64> = FastMap::default();
        for server in self.servers.values() {
            let delta = if server.is_lapsed() { -1 } else { 1 };
            *listed_surplus.entry(&server.record.service).or_default() += delta;
        }
        self.servers
            .values()
            .filter(move |server| !server.is_lapsed() || listed_surplus[&server.record.service] < 0)
            .map(|server| &server.record)
    }

    /// Returns the servers that the list contains.
    pub fn listed_servers(&self) -> impl Iterator<Item = &ServerRecord> {
        let listed = self.servers.values().filter(|server| server.retained_until.is_none());
        listed.map(|server| &server.record)
    }

    /// Returns the number of servers, including those with lapsed entries.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the registry contains no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Adds or updates a server, unless the record arrived later than the one held, or an older copy
    /// of the list contains it although the server was removed since.
    fn upsert(&mut self, record: ServerRecord, now: Instant) {
        let id = record.id.clone();
        if self.is_removed_in_copy(&record, now) {
            return;
        }
        self.removed.remove(&id);
        if let Some(server) = self.servers.get_mut(&id)
            && record.is_older_than(&server.record)
            && !server.is_too_far_ahead_of(&record)
        {
            server.record_late(record, now);
            return;
        }
        self.servers.insert(id, RegisteredServer::new(record));
    }

    fn is_removed_in_copy(&self, record: &ServerRecord, now: Instant) -> bool {
        let is_restored = self.restored_at.is_some_and(|at| now < at + REMOVED_ENTRY_MEMORY);
        is_restored
            && self.removed.get(&record.id).is_some_and(|(removed, _)| {
                removed.is_same_incarnation(record) && record.sequence <= removed.sequence
            })
    }

    fn remove(&mut self, id: &ServerId, now: Instant) {
        self.removed.retain(|_, (_, removed_at)| now < *removed_at + REMOVED_ENTRY_MEMORY);
        if let Some(server) = self.servers.remove(id) {
            self.removed.insert(id.clone(), (server.record, now));
        }
    }

    /// Handles a missing entry: right after an outage it may only have lapsed, so its server is
    /// retained for some time unless it was leaving. Otherwise the server is removed.
    fn remove_or_retain(&mut self, id: &ServerId, now: Instant) {
        let until =
            self.recovered_at.map(|at| at + self.lapsed_retention).filter(|until| now < *until);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.late = None;
        match until.filter(|_| !server.record.is_leaving) {
            Some(until) => {
                server.retained_until = Some(server.retained_until.unwrap_or(until));
                server.is_missing_in_copy = self.restored_at == self.recovered_at;
            }
            None => self.remove(id, now),
        }
    }
}
