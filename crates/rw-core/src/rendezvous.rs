//! Rendezvous hashing: every VM ranks the candidates of a group alike without a message.

use rw_types::{Vm, fingerprint};

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
    fingerprint(format!("{group}\n{vm}").as_bytes())
}
