//! VMs of the system, from the platform's list, which lags behind.

use rw_types::Vm;

/// Known VMs, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Members {
    vms: Vec<Vm>,
    /// Number of VMs that are not leaving; counted once per list, not per request.
    active: usize,
}

impl Members {
    /// Replaces the list and returns whether it has changed.
    pub fn replace(&mut self, mut vms: Vec<Vm>) -> bool {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let changed = vms != self.vms;
        self.active = vms.iter().filter(|v| !v.leaving).count();
        self.vms = vms;
        changed
    }

    /// All VMs, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[Vm] {
        &self.vms
    }

    /// Number of VMs that are not leaving, at least one.
    #[must_use]
    pub fn active_count(&self) -> f64 {
        self.active.max(1) as f64
    }

    /// Finds a VM by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Vm> {
        let i = self
            .vms
            .binary_search_by(|v| v.name.as_str().cmp(name))
            .ok()?;
        Some(&self.vms[i])
    }
}
