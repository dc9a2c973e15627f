//! Index of targets by model and service, so that a routing decision need not scan all of them.

use crate::{Operation, TargetState};
use rw_types::TargetKind;

#[derive(Debug, Clone)]
struct Entry {
    name: String,
    targets: Vec<u32>,
}

/// Positions of watched targets by model and by plain service.
#[derive(Debug, Clone, Default)]
pub struct ModelIndex {
    /// Sorted by model.
    models: Vec<Entry>,
    /// Sorted by service.
    services: Vec<Entry>,
}

impl ModelIndex {
    /// Builds the index of the watched targets in `targets`.
    #[must_use]
    pub fn build(targets: &[TargetState]) -> Self {
        let mut index = Self::default();
        for (i, target) in (0..).zip(targets).filter(|(_, t)| t.watched) {
            for model in &target.report.models {
                add(&mut index.models, model, i);
            }
            if target.spec.kind == TargetKind::Plain {
                add(&mut index.services, &target.spec.service, i);
            }
        }
        index
    }

    /// Positions of the targets that can run `operation`.
    #[must_use]
    pub fn find(&self, operation: &Operation) -> &[u32] {
        let (list, name) = match operation {
            Operation::Generate { model, .. } => (&self.models, model),
            Operation::Service { name, .. } => (&self.services, name),
        };
        match list.binary_search_by(|e| e.name.cmp(name)) {
            Ok(i) => &list[i].targets,
            Err(_) => &[],
        }
    }

    /// Each model with the positions of the targets that have it loaded.
    pub fn models(&self) -> impl Iterator<Item = (&str, &[u32])> {
        let entries = self.models.iter();
        entries.map(|e| (e.name.as_str(), e.targets.as_slice()))
    }
}

fn add(list: &mut Vec<Entry>, name: &str, target: u32) {
    match list.binary_search_by(|e| e.name.as_str().cmp(name)) {
        Ok(i) => list[i].targets.push(target),
        Err(i) => {
            let entry = Entry {
                name: name.to_owned(),
                targets: vec![target],
            };
            list.insert(i, entry);
        }
    }
}
