//! When this entry VM last had a response from backend servers of any service.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use tokio::time::Instant;

/// The last responses from two different servers.
#[derive(Debug, Default)]
pub(crate) struct ServerContacts(Mutex<[Option<(SocketAddr, Instant)>; 2]>);

impl ServerContacts {
    /// Records a response from the server at `address`.
    pub(crate) fn record(&self, address: SocketAddr, now: Instant) {
        let mut contacts = self.contacts();
        let is_same = contacts[0].is_some_and(|(last, _)| last == address);
        if !is_same {
            contacts[1] = contacts[0];
        }
        contacts[0] = Some((address, now));
    }

    /// Whether a server at another address has responded since `since`.
    pub(crate) fn has_other_since(&self, address: SocketAddr, since: Instant) -> bool {
        let is_other = |(last, at): (SocketAddr, Instant)| last != address && at >= since;
        self.contacts().into_iter().flatten().any(is_other)
    }

    fn contacts(&self) -> MutexGuard<'_, [Option<(SocketAddr, Instant)>; 2]> {
        self.0.lock().expect("contact lock is never poisoned")
    }
}
