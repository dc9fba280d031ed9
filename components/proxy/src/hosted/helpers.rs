//! Other entry VMs that serve requests for this one, and connections to them.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::Instant;

use model::FastMap;

use crate::pool::ConnectionPool;

/// Time for which a VM is avoided after it didn't respond: it may be frozen.
const FAILED_TIME: Duration = Duration::from_secs(3);

/// Idle connections kept to each VM.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// What this VM knows of others that serve requests for it.
pub(crate) struct Helpers {
    pub(crate) pool: ConnectionPool,
    states: Mutex<FastMap<SocketAddr, HelperState>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct HelperState {
    /// Requests without a response.
    in_flight: u32,
    failed_until: Option<Instant>,
}

impl HelperState {
    fn is_failed(&self, now: Instant) -> bool {
        self.failed_until.is_some_and(|until| now < until)
    }
}

/// Counts a request as in flight at a VM until this is dropped.
pub(crate) struct HelperLease<'a> {
    helpers: &'a Helpers,
    helper: SocketAddr,
}

impl Drop for HelperLease<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.helpers.states().get_mut(&self.helper) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

impl Default for Helpers {
    fn default() -> Self {
        let pool = ConnectionPool::with_idle_limit(MAX_IDLE_CONNECTIONS);
        Self { pool, states: Mutex::default() }
    }
}

impl Helpers {
    /// Returns up to `count` of the VMs in `known`: those with the fewest requests in flight first,
    /// in random order, so that one that is frozen gets few, and those that have failed last.
    pub(crate) fn choose(&self, known: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut chosen = known.to_vec();
        chosen.shuffle(&mut rand::rng());
        let states = self.states();
        chosen.sort_by_key(|helper| {
            let state = states.get(helper).copied().unwrap_or_default();
            (state.is_failed(now), state.in_flight)
        });
        chosen.truncate(count);
        chosen
    }

    /// Counts a request as in flight at a VM.
    pub(crate) fn lease(&self, helper: SocketAddr) -> HelperLease<'_> {
        let now = Instant::now();
        let mut states = self.states();
        states.retain(|_, state| state.in_flight > 0 || state.is_failed(now));
        states.entry(helper).or_default().in_flight += 1;
        HelperLease { helpers: self, helper }
    }

    /// Avoids a VM for some time, since it didn't respond.
    pub(crate) fn record_failure(&self, helper: SocketAddr) {
        let until = Instant::now() + FAILED_TIME;
        self.states().entry(helper).or_default().failed_until = Some(until);
    }

    fn states(&self) -> MutexGuard<'_, FastMap<SocketAddr, HelperState>> {
        self.states.lock().expect("helper lock is never poisoned")
    }
}
