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
pub fn choose_subset(
    servers: &[ServerId],
    slot: u32,
    slots: u32,
    slots_per_server: u32,
) -> Vec<usize> {
    (0..servers.len())
        .filter(|index| is_selected(&servers[*index], slot, slots, slots_per_server))
        .collect()
}

fn is_selected(server: &ServerId, slot: u32, slots: u32, slots_per_server: u32) -> bool {
    if slots_per_server >= slots {
        return true;
    }
    let own_rank = rank_hash(server, slot);
    let higher_ranked =
        (0..slots).filter(|other| *other != slot && rank_hash(server, *other) > own_rank).count();
    higher_ranked < slots_per_server as usize
}

fn rank_hash(server: &ServerId, slot: u32) -> u64 {
    SipHasher13::new_with_keys(RANK_SEED, u64::from(slot)).hash(server.as_str().as_bytes())
}

/// The preferred servers of one of `members` entry VMs, by position in `servers`.
///
/// The servers stand on a ring in the order of their hashes, and each entry VM takes a stretch of
/// it, so that every server is the preferred server of about `members_per_server` entry VMs.
pub fn choose_preferred(
    servers: &[ServerId],
    rank: usize,
    members: usize,
    members_per_server: usize,
) -> Vec<bool> {
    let count = servers.len();
    let mut is_preferred = vec![members <= members_per_server; count];
    if count == 0 || members <= members_per_server {
        return is_preferred;
    }
    let mut ring: Vec<usize> = (0..count).collect();
    ring.sort_by_key(|index| rank_hash(&servers[*index], 0));
    let length = (count * members_per_server).div_ceil(members).max(1);
    let start = rank * count / members;
    for offset in 0..length.min(count) {
        is_preferred[ring[(start + offset) % count]] = true;
    }
    is_preferred
}
