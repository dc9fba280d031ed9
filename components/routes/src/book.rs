//! The backend servers that are known, from listings and changes of a list that can be away.

use std::time::Duration;

use tokio::time::Instant;

use model::{FastMap, ServerId};

use crate::server::{ServerChange, ServerRecord};
use crate::table::ServiceName;

/// Entries that lapsed while the list was away are back about two seconds after its return, if
/// their servers live. An entry VM that is back later than the list itself has less time: a server
/// that is gone must get no request three seconds after the end of the outage.
const LAPSED_TIME: Duration = Duration::from_millis(1_700);

/// The known servers.
#[derive(Debug, Default)]
pub struct ServerBook {
    servers: FastMap<ServerId, KnownServer>,
    /// Whether the last call to the list failed.
    is_away: bool,
    /// When the list was regained after an outage.
    returned_at: Option<Instant>,
}

#[derive(Debug)]
struct KnownServer {
    record: ServerRecord,
    /// When a server whose entry has lapsed is dropped.
    lapses_at: Option<Instant>,
}

impl ServerBook {
    /// Notes that the list could not be read.
    pub fn note_outage(&mut self) {
        self.is_away = true;
    }

    /// Notes an answer of the list. Called before what it brought is taken in.
    pub fn note_contact(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_away) {
            self.returned_at = Some(now);
        }
    }

    /// Takes in the whole list.
    pub fn take_listing(&mut self, listed: Vec<ServerChange>, now: Instant) {
        let mut missing: Vec<ServerId> = self.servers.keys().cloned().collect();
        for change in listed {
            if let ServerChange::Present(record) = change {
                missing.retain(|id| *id != record.id);
                self.set(record);
            }
        }
        for id in missing {
            self.drop_server(&id, now);
        }
    }

    /// Takes in changes, in their order.
    pub fn take_changes(&mut self, changes: Vec<ServerChange>, now: Instant) {
        for change in changes {
            match change {
                ServerChange::Present(record) => self.set(record),
                ServerChange::Absent(id) => self.drop_server(&id, now),
            }
        }
    }

    /// Drops servers whose entries have lapsed for too long; tells whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.servers.len();
        self.servers.retain(|_, known| known.lapses_at.is_none_or(|at| now < at));
        self.servers.len() != before
    }

    /// When `expire` is due next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.servers.values().filter_map(|known| known.lapses_at).min()
    }

    /// The servers that may get requests. Those whose entries have lapsed count only for a service
    /// that lost most of its entries: where most are there, the missing ones have rather gone.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        let mut balance: FastMap<&ServiceName, i64> = FastMap::default();
        for known in self.servers.values() {
            let vote = if known.lapses_at.is_some() { -1 } else { 1 };
            *balance.entry(&known.record.service).or_default() += vote;
        }
        self.servers
            .values()
            .filter(move |known| known.lapses_at.is_none() || balance[&known.record.service] < 0)
            .map(|known| &known.record)
    }

    /// The servers that the list names.
    pub fn listed(&self) -> impl Iterator<Item = &ServerRecord> {
        let listed = self.servers.values().filter(|known| known.lapses_at.is_none());
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

    fn set(&mut self, record: ServerRecord) {
        let id = record.id.clone();
        let known = self.servers.get(&id);
        if known.is_some_and(|known| record.is_older_than(&known.record)) {
            return;
        }
        self.servers.insert(id, KnownServer { record, lapses_at: None });
    }

    /// An entry that is missing right after an outage may only have lapsed.
    fn drop_server(&mut self, id: &ServerId, now: Instant) {
        let until = self.returned_at.map(|at| at + LAPSED_TIME).filter(|until| now < *until);
        let Some(known) = self.servers.get_mut(id) else {
            return;
        };
        match until.filter(|_| !known.record.is_leaving) {
            Some(until) => known.lapses_at = Some(known.lapses_at.unwrap_or(until)),
            None => {
                self.servers.remove(id);
            }
        }
    }
}
