//! Servers of a group by availability zone: those that are evacuated, and those that this entry VM
//! prefers.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use model::ZoneName;

use crate::placement::group::PlacementGroup;
use crate::placement::server::ServerIncarnation;

/// Number of preferred servers per entry VM in a large group. Connections to a few servers stay
/// open, and all entry VMs together still use every server.
const PREFERRED_SERVERS: usize = 12;

/// Number of servers beside the preferred ones that an entry VM compares under light load, whatever
/// their zone. Others would cost a new connection for nearly each probe: an entry VM of a large
/// fleet sends a server one request in a minute.
const STANDBY_SERVERS: usize = 12;

/// Number of servers above which an entry VM has preferred servers.
const LARGE_GROUP_THRESHOLD: usize = 24;

impl PlacementGroup {
    /// Replaces the evacuated zones. Their servers get no requests and no probes, and keep their
    /// state. Those that come back may be cold, unless their own responses to later requests show
    /// otherwise.
    pub fn set_evacuated_zones(&mut self, zones: &[ZoneName], now: Instant) {
        self.evacuated_zones = zones.to_vec();
        let warm_up_time = self.cold_limits.map(|limits| limits.duration);
        for (_, state) in &mut self.servers {
            let has_returned = state.set_evacuated(zones.contains(&state.listed.zone));
            if let Some(time) = warm_up_time.filter(|_| has_returned) {
                state.warm_up.suspect(now + time, now);
            }
        }
        self.select_preferred();
    }

    /// Returns the number of servers in zones that aren't evacuated.
    pub fn open_servers(&self) -> usize {
        self.open.len()
    }

    /// Whether the zone of a listed incarnation is evacuated.
    pub fn is_incarnation_evacuated(&self, incarnation: &ServerIncarnation) -> bool {
        let mut states = self.servers.iter().map(|(_, state)| state);
        states.any(|state| state.is_evacuated && state.listed.key() == incarnation.key())
    }

    /// Finds the servers outside of evacuated zones, and selects this entry VM's preferred and standby
    /// servers among them by rendezvous hashing: preferred ones from its own zone first.
    /// When a server joins or leaves, few of them change.
    pub(super) fn select_preferred(&mut self) {
        self.open.clear();
        let servers = self.servers.iter().enumerate();
        self.open
            .extend(servers.filter(|(_, (_, state))| !state.is_evacuated).map(|(index, _)| index));
        let is_large = self.open.len() > LARGE_GROUP_THRESHOLD;
        let mut ranks: Vec<(bool, u64, usize)> = Vec::new();
        for (index, (_, state)) in self.servers.iter_mut().enumerate() {
            state.is_preferred = !is_large;
            if is_large && !state.is_leaving() && !state.is_evacuated {
                let is_other_zone = state.listed.zone != self.options.zone;
                ranks.push((
                    is_other_zone,
                    rendezvous_hash(&self.options.vm, state.listed.id.as_str()),
                    index,
                ));
            }
        }
        ranks.sort_unstable();
        let mut others = ranks.split_off(ranks.len().min(PREFERRED_SERVERS));
        others.sort_unstable_by_key(|(_, hash, _)| *hash);
        self.preferred = sorted_indexes(ranks);
        self.standby = sorted_indexes(others.into_iter().take(STANDBY_SERVERS));
        for index in &self.preferred {
            self.servers[*index].1.is_preferred = true;
        }
    }
}

fn sorted_indexes(ranks: impl IntoIterator<Item = (bool, u64, usize)>) -> Vec<usize> {
    let mut indexes: Vec<usize> = ranks.into_iter().map(|(_, _, index)| index).collect();
    indexes.sort_unstable();
    indexes
}

/// Rendezvous hash of a server for an entry VM; SipHash with a fixed key gives the same value on
/// every machine.
fn rendezvous_hash(vm: &str, server: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(vm.as_bytes());
    hasher.write_u8(0);
    hasher.write(server.as_bytes());
    hasher.finish()
}
