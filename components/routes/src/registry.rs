//! Registry of backend servers, built from listings and changes of the hosting platform's list,
//! which can be unreachable at times.
//!
//! An entry that seems to be older than the one held has arrived late: a write without an answer may
//! be performed seconds later. If a server goes on writing such entries, and nobody renews the one
//! held, that one was not the server's own, for example one with a number that is too large.
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

/// Older entries in order after which the entry held was not the server's own.
const DENIALS: u32 = 2;

/// The same for a server that is leaving: a late entry must not bring it back.
const LEAVING_DENIALS: u32 = 3;

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
    /// When the record was received.
    received_at: Instant,
    /// The last of the older records that arrived since then, and how many did in their order.
    denial: Option<(ServerRecord, u32)>,
    /// When a server whose entry is missing is removed; `None` while it is listed.
    retained_until: Option<Instant>,
    /// Whether the entry is missing from an older copy of the list, which says nothing about the
    /// server.
    is_missing_in_copy: bool,
}

impl RegisteredServer {
    /// Counts a record that is older than the one held. Returns whether the one held was not the
    /// server's own; `renewal_time` is the longest time in which a server writes its entry again.
    fn is_denied_by(&mut self, older: &ServerRecord, renewal_time: Duration, now: Instant) -> bool {
        let count = match &self.denial {
            Some((last, count)) if last.is_older_than(older) => count + 1,
            // The same record may be received again.
            Some((last, count)) if last == older => *count,
            _ => 1,
        };
        self.denial = Some((older.clone(), count));
        let required = if self.record.is_leaving { LEAVING_DENIALS } else { DENIALS };
        count >= required && now >= self.received_at + renewal_time
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

    /// Removes servers whose retention has ended; returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
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
        !expired.is_empty()
    }

    /// Returns when `remove_expired` is due next; `None` if no entry has lapsed.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.servers.values().filter_map(|server| server.retained_until).min()
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
        let renewal_time = self.lapsed_retention;
        if let Some(server) = self.servers.get_mut(&id)
            && record.is_older_than(&server.record)
            && !server.is_denied_by(&record, renewal_time, now)
        {
            return;
        }
        let server = RegisteredServer {
            record,
            received_at: now,
            denial: None,
            retained_until: None,
            is_missing_in_copy: false,
        };
        self.servers.insert(id, server);
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
        match until.filter(|_| !server.record.is_leaving) {
            Some(until) => {
                server.retained_until = Some(server.retained_until.unwrap_or(until));
                server.is_missing_in_copy = self.restored_at == self.recovered_at;
            }
            None => self.remove(id, now),
        }
    }
}
