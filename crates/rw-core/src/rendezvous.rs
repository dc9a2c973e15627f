//! Rendezvous hashing: every VM ranks the candidates of a group alike without a message.

use rw_types::Vm;

/// VMs that watch one group's lease and may take it over.
const CANDIDATES: usize = 3;

/// Place of `vm` among the candidates for `group`, zero for the first; `None` if it is none.
///
/// A VM that the list does not know comes after the listed ones, because the list lags.
#[must_use]
pub fn candidate_rank(vms: &[Vm], vm: &str, group: &str) -> Option<usize> {
    let mine = weight(vm, group);
    let ahead = vms
        .iter()
        .filter(|v| !v.leaving && v.name != vm)
        .filter(|v| (weight(&v.name, group), v.name.as_str()) > (mine, vm))
        .count();
    let leaving = vms.iter().any(|v| v.name == vm && v.leaving);
    (ahead < CANDIDATES && !leaving).then_some(ahead)
}

fn weight(vm: &str, group: &str) -> u64 {
    mix(hash(vm), hash(group))
}

/// FNV-1a: names aren't chosen by an adversary, and each choice hashes thousands.
#[must_use]
pub fn hash(text: &str) -> u64 {
    let bytes = text.bytes().map(u64::from);
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ byte).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A score of a pair, evenly spread.
#[must_use]
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
