//! VMs of the system, from the platform's lagging list.

use rw_types::Vm;

/// Known VMs, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Members {
    vms: Vec<Vm>,
}

impl Members {
    /// Takes over a newly read list; whether it differs from the last.
    pub fn replace(&mut self, mut vms: Vec<Vm>) -> bool {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let changed = vms != self.vms;
        self.vms = vms;
        changed
    }

    /// All VMs, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[Vm] {
        &self.vms
    }

    /// The VM of that name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Vm> {
        let i = self
            .vms
            .binary_search_by(|v| v.name.as_str().cmp(name))
            .ok()?;
        Some(&self.vms[i])
    }
}
