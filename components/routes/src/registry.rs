//! The backend servers that are known, from listings and changes of a list that can be away.

use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, ServerId};

use crate::server::{ServerChange, ServerRecord};
use crate::table::ServiceName;

/// Entries that lapsed while the list was away are back about two seconds after its return, if
/// their servers live. An entry VM that is back later than the list itself has less time: a server
/// that is gone must get no request three seconds after the end of the outage.
const LAPSED_ENTRY_RETENTION: Duration = Duration::from_millis(1_700);

/// The known servers.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    servers: FastMap<ServerId, KnownServer>,
    /// Whether the last call to the list failed.
    is_unreachable: bool,
    /// When the list was regained after an outage.
    recovered_at: Option<Instant>,
}

#[derive(Debug)]
struct KnownServer {
    record: ServerRecord,
    /// When a server whose entry has lapsed is dropped.
    retained_until: Option<Instant>,
}

impl ServerRegistry {
    /// Notes that the list could not be read.
    pub fn mark_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Notes an answer of the list. Called before what it brought is taken in.
    pub fn mark_reachable(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_unreachable) {
            self.recovered_at = Some(now);
        }
    }

    /// Takes in the whole list.
    pub fn apply_listing(&mut self, listed: Vec<ServerChange>, now: Instant) {
        let mut missing: Vec<ServerId> = self.servers.keys().cloned().collect();
        for change in listed {
            if let ServerChange::Present(record) = change {
                missing.retain(|id| *id != record.id);
                self.upsert(record);
            }
        }
        for id in missing {
            self.remove_or_retain(&id, now);
        }
    }

    /// Takes in changes, in their order.
    pub fn apply_changes(&mut self, changes: Vec<ServerChange>, now: Instant) {
        for change in changes {
            match change {
                ServerChange::Present(record) => self.upsert(record),
                ServerChange::Absent(id) => self.remove_or_retain(&id, now),
            }
        }
    }

    /// Drops servers whose entries have lapsed for too long; tells whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let before = self.servers.len();
        self.servers.retain(|_, known| known.retained_until.is_none_or(|at| now < at));
        self.servers.len() != before
    }

    /// When `expire` is due next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.servers.values().filter_map(|known| known.retained_until).min()
    }

    /// The servers that may get requests. Those whose entries have lapsed count only for a service
    /// that lost most of its entries: where most are there, the missing ones have rather gone.
    pub fn eligible_servers(&self) -> impl Iterator<Item = &ServerRecord> {
        let mut listed_surplus: FastMap<&ServiceName, i64> = FastMap::default();
        for known in self.servers.values() {
            let delta = if known.retained_until.is_some() { -1 } else { 1 };
            *listed_surplus.entry(&known.record.service).or_default() += delta;
        }
        self.servers
            .values()
            .filter(move |known| {
                known.retained_until.is_none() || listed_surplus[&known.record.service] < 0
            })
            .map(|known| &known.record)
    }

    /// The servers that the list names.
    pub fn listed_servers(&self) -> impl Iterator<Item = &ServerRecord> {
        let listed = self.servers.values().filter(|known| known.retained_until.is_none());
        listed.map(|known| &known.record)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn upsert(&mut self, record: ServerRecord) {
        let id = record.id.clone();
        let known = self.servers.get(&id);
        if known.is_some_and(|known| record.is_older_than(&known.record)) {
            return;
        }
        self.servers.insert(id, KnownServer { record, retained_until: None });
    }

    /// An entry that is missing right after an outage may only have lapsed.
    fn remove_or_retain(&mut self, id: &ServerId, now: Instant) {
        let until =
            self.recovered_at.map(|at| at + LAPSED_ENTRY_RETENTION).filter(|until| now < *until);
        let Some(known) = self.servers.get_mut(id) else {
            return;
        };
        match until.filter(|_| !known.record.is_leaving) {
            Some(until) => known.retained_until = Some(known.retained_until.unwrap_or(until)),
            None => {
                self.servers.remove(id);
            }
        }
    }
}
