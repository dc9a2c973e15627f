//! Which targets can run what, so that a decision need not look at all of them.

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
    /// The index of `targets`.
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

    /// Positions of those that can run `work`.
    #[must_use]
    pub fn find(&self, work: &Operation) -> &[u32] {
        let (list, name) = match work {
            Operation::Generate { model, .. } => (&self.models, model),
            Operation::Service { name, .. } => (&self.services, name),
        };
        match list.binary_search_by(|e| e.name.cmp(name)) {
            Ok(i) => &list[i].targets,
            Err(_) => &[],
        }
    }

    /// Models with the positions of the targets that hold them.
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
