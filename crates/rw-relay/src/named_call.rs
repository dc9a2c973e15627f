//! Which call a response names.

/// Identifier of the call that a response names.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum NamedCall {
    /// None, or an empty identifier.
    #[default]
    Missing,
    /// Exactly one.
    One(String),
    /// Several that differ, so that the response can't be attributed to any call.
    Conflicting,
}

impl NamedCall {
    /// The call that a response names whose headers hold the identifiers `ids`.
    #[must_use]
    pub fn from_ids<'a>(mut ids: impl Iterator<Item = &'a str>) -> Self {
        let Some(first) = ids.next() else {
            return Self::Missing;
        };
        match ids.all(|id| id == first) {
            true if first.is_empty() => Self::Missing,
            true => Self::One(first.to_owned()),
            false => Self::Conflicting,
        }
    }
}
