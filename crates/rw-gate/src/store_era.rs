//! Eras of the store.

/// Number that rises whenever the store comes back from a copy, which lacks what was written last and
/// gives its versions out again. Versions of different eras say nothing about each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreEra(pub u64);
