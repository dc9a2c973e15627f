//! Mistakes in the description of a deployment.

use super::deployment::Deployment;
use displaydoc::Display;

/// A mistake in a sheet, with its remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum SheetError {
    /// `nodes` is 0; set it to 1 or more
    Nodes,
    /// `engine.count` is less than 2; set it to 2 or more
    Engines,
    /// `engine.step_factors` is empty; write [1.0] if all engines are alike
    StepFactors,
    /// `kinds` is empty; describe at least one kind of call
    Kinds,
    /// shared part of kind `{0}`: set `distinct` to 1 or more and `skew` from 0 to less than 1
    SharedPart(String),
    /// `scaling.centres` is empty; name at least one data centre
    Centres,
    /// a surge names kind {0}; use a position in `kinds`, from 0
    Surge(usize),
}

impl std::error::Error for SheetError {}

impl Deployment {
    /// Checks a deployment that was read from a sheet.
    pub fn check(&self) -> Result<(), SheetError> {
        if self.nodes == 0 {
            return Err(SheetError::Nodes);
        }
        if self.engine.count < 2 {
            return Err(SheetError::Engines);
        }
        if self.engine.step_factors.is_empty() {
            return Err(SheetError::StepFactors);
        }
        if self.kinds.is_empty() {
            return Err(SheetError::Kinds);
        }
        if self.scaling.centres.is_empty() {
            return Err(SheetError::Centres);
        }
        for kind in &self.kinds {
            let mut parts = kind.shared_parts.iter();
            if parts.any(|p| p.distinct == 0 || !(0.0..1.0).contains(&p.skew)) {
                return Err(SheetError::SharedPart(kind.name.clone()));
            }
        }
        let unknown = self.surges.iter().find(|s| s.kind >= self.kinds.len());
        unknown.map_or(Ok(()), |s| Err(SheetError::Surge(s.kind)))
    }
}
