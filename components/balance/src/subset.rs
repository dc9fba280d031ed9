//! Deterministic subsetting of backend servers, for services whose servers accept fewer connections
//! than all entry VMs would open.

use siphasher::sip::SipHasher13;

use model::ServerId;

/// Key of the hash that ranks servers. All entry VMs must compute the same ranks across versions,
/// so the key is fixed and the hash, SipHash-1-3, has a published definition.
const RANK_HASH_KEY: u64 = 0x6d75_7374;

/// Returns the servers that the entry VM with lease slot `slot` uses, as indexes into `servers`.
///
/// Each server is used by the `slots_per_server` slots with the highest hash for it (rendezvous
/// hashing), so its connections stay within its limit, and adding or removing a server doesn't
/// affect the assignment of the others. If `slots_per_server` is at least `slots`, all servers are
/// returned.
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
    let slot_hash = rank_hash(server, slot);
    let higher_hashes =
        (0..slots).filter(|other| *other != slot && rank_hash(server, *other) > slot_hash).count();
    higher_hashes < slots_per_server as usize
}

fn rank_hash(server: &ServerId, slot: u32) -> u64 {
    SipHasher13::new_with_keys(RANK_HASH_KEY, u64::from(slot)).hash(server.as_str().as_bytes())
}

/// Returns for each of `servers` whether it is a preferred server of the entry VM at position
/// `member_index` among `member_count` entry VMs.
///
/// The servers form a ring ordered by their hashes, and each entry VM prefers a contiguous range of
/// it, so that every server is preferred by about `members_per_server` entry VMs.
pub fn choose_preferred(
    servers: &[ServerId],
    member_index: usize,
    member_count: usize,
    members_per_server: usize,
) -> Vec<bool> {
    let count = servers.len();
    let mut is_preferred = vec![member_count <= members_per_server; count];
    if count == 0 || member_count <= members_per_server {
        return is_preferred;
    }
    let mut ring: Vec<usize> = (0..count).collect();
    ring.sort_by_key(|index| rank_hash(&servers[*index], 0));
    let length = (count * members_per_server).div_ceil(member_count).max(1);
    let start = member_index * count / member_count;
    for offset in 0..length.min(count) {
        is_preferred[ring[(start + offset) % count]] = true;
    }
    is_preferred
}
