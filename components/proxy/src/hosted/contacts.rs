//! When this entry VM last had a response from backend servers of any service.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use tokio::time::Instant;

/// Number of different servers whose last response is remembered.
const CAPACITY: usize = 4;

/// The last responses from a few different servers, the newest first.
#[derive(Debug, Default)]
pub(crate) struct ServerContacts(Mutex<[Option<(SocketAddr, Instant)>; CAPACITY]>);

impl ServerContacts {
    /// Records a response from the server at `address`.
    pub(crate) fn record(&self, address: SocketAddr, now: Instant) {
        let mut contacts = self.contacts();
        let is_same = |entry: &Option<(SocketAddr, Instant)>| {
            entry.is_some_and(|(known, _)| known == address)
        };
        let replaced = contacts.iter().position(is_same).unwrap_or(CAPACITY - 1);
        contacts[..=replaced].rotate_right(1);
        contacts[0] = Some((address, now));
    }

    /// Returns the addresses of the servers that responded last, the newest first.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.contacts().into_iter().flatten().map(|(address, _)| address).collect()
    }

    /// Whether a server at another address has responded since `since`.
    pub(crate) fn has_other_since(&self, address: SocketAddr, since: Instant) -> bool {
        let is_other = |(last, at): (SocketAddr, Instant)| last != address && at >= since;
        self.contacts().into_iter().flatten().any(is_other)
    }

    fn contacts(&self) -> MutexGuard<'_, [Option<(SocketAddr, Instant)>; CAPACITY]> {
        self.0.lock().expect("contact lock is never poisoned")
    }
}
