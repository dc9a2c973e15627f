//! Items that a configuration lists by name.

use crate::{Account, Model, Service, Target, WorkKind};

/// An item of a list that is sorted by name.
pub trait Named {
    /// Unique name within its list.
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($item:ident),*) => {
        $(impl Named for $item {
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}

named!(Account, Model, Service, Target, WorkKind);
