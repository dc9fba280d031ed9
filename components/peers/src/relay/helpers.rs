//! Which VMs reach backend servers, as a relay knows from its connections.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use rand::seq::SliceRandom;

use model::FastMap;

/// Maximum number of VMs that reach backend servers in one message.
const MAX_HELPERS: usize = 8;

/// Where a relay knows VMs from that reach backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum HelperSource {
    /// The relay itself.
    Own,
    /// A connection from a subscriber.
    Subscriber(u64),
    /// A connection from another relay.
    Relay(u64),
    /// A connection to another relay.
    DialedRelay(SocketAddr),
}

impl HelperSource {
    /// Whether no other relay told of the VMs.
    pub(super) fn is_own(&self) -> bool {
        matches!(self, Self::Own | Self::Subscriber(_))
    }
}

/// Caller addresses of VMs that reach backend servers.
#[derive(Debug, Default)]
pub(super) struct HelperSet(Mutex<HelperState>);

#[derive(Debug, Default)]
struct HelperState {
    callers: FastMap<HelperSource, Vec<SocketAddr>>,
    next_connection: u64,
}

/// A connection whose other end tells which VMs reach backend servers. What it told is forgotten
/// when this is dropped.
pub(super) struct HelperConnection<'a> {
    helpers: &'a HelperSet,
    source: HelperSource,
}

impl HelperConnection<'_> {
    /// Replaces the VMs that the other end told of.
    pub(super) fn set(&self, callers: Vec<SocketAddr>) {
        self.helpers.set(self.source, callers);
    }
}

impl Drop for HelperConnection<'_> {
    fn drop(&mut self) {
        self.helpers.state().callers.remove(&self.source);
    }
}

impl HelperSet {
    /// Replaces the VMs that a source told of.
    pub(super) fn set(&self, source: HelperSource, mut callers: Vec<SocketAddr>) {
        callers.truncate(MAX_HELPERS);
        self.state().callers.insert(source, callers);
    }

    /// Adds a connection; `source` makes its source from a number of its own.
    pub(super) fn connect(&self, source: impl Fn(u64) -> HelperSource) -> HelperConnection<'_> {
        let mut state = self.state();
        let number = state.next_connection;
        state.next_connection += 1;
        HelperConnection { helpers: self, source: source(number) }
    }

    /// Returns some of the VMs, at random.
    pub(super) fn sample(&self, is_included: impl Fn(&HelperSource) -> bool) -> Vec<SocketAddr> {
        let state = self.state();
        let included = state.callers.iter().filter(|(source, _)| is_included(source));
        let mut sampled: Vec<SocketAddr> =
            included.flat_map(|(_, callers)| callers).copied().collect();
        drop(state);
        sampled.shuffle(&mut rand::rng());
        sampled.truncate(MAX_HELPERS);
        sampled
    }

    fn state(&self) -> MutexGuard<'_, HelperState> {
        self.0.lock().expect("helper lock is never poisoned")
    }
}
