//! Deterministic subsets of backend servers, for services whose servers accept too few
//! connections for every entry VM.

use siphasher::sip::SipHasher13;

use model::ServerId;

/// Seed of the hash that ranks servers. Hash and seed must be the same on every entry VM, whatever
/// its version, so the hash is one with a published definition.
const RANK_SEED: u64 = 0x6d75_7374;

/// The servers that the holder of `slot` uses, as indexes into `servers`.
///
/// Each server is used by the `per_server` slots that rank it highest (rendezvous hashing), so its
/// connections stay within its limit, and a server that comes or goes moves only its own. With
/// `per_server` at or above `slots` all servers are chosen.
pub fn choose_subset(servers: &[ServerId], slot: u32, slots: u32, per_server: u32) -> Vec<usize> {
    (0..servers.len()).filter(|index| uses(&servers[*index], slot, slots, per_server)).collect()
}

fn uses(server: &ServerId, slot: u32, slots: u32, per_server: u32) -> bool {
    if per_server >= slots {
        return true;
    }
    let own = rank(server, slot);
    let better = (0..slots).filter(|other| *other != slot && rank(server, *other) > own).count();
    better < per_server as usize
}

fn rank(server: &ServerId, slot: u32) -> u64 {
    SipHasher13::new_with_keys(RANK_SEED, u64::from(slot)).hash(server.as_str().as_bytes())
}
