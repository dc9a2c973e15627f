//! Rendezvous hashing: all VMs compute the same ranking of candidates without communication.

use rw_types::Vm;

/// Number of VMs that watch a group's lease and may take it over.
const MAX_CANDIDATES: usize = 3;

/// Rank of `vm` among the candidates for `group`, zero for the first; `None` if it is not a
/// candidate.
///
/// `vm` itself is ranked even if it is not in the list, because the list lags.
#[must_use]
pub fn candidate_rank(vms: &[Vm], vm: &str, group: &str) -> Option<usize> {
    let own = weight(vm, group);
    let ahead = vms
        .iter()
        .filter(|v| !v.leaving && v.name != vm)
        .filter(|v| (weight(&v.name, group), v.name.as_str()) > (own, vm))
        .count();
    let leaving = vms.iter().any(|v| v.name == vm && v.leaving);
    (ahead < MAX_CANDIDATES && !leaving).then_some(ahead)
}

/// Weight of `vm` in the ranking for `group`; the highest comes first.
#[must_use]
pub fn weight(vm: &str, group: &str) -> u64 {
    mix(hash(vm), hash(group))
}

/// FNV-1a hash of a name. A fast hash suffices: names aren't chosen by an adversary, and each
/// decision hashes thousands.
#[must_use]
pub fn hash(text: &str) -> u64 {
    let bytes = text.bytes().map(u64::from);
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ byte).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Mixes two hashes into a uniformly distributed score.
#[must_use]
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
