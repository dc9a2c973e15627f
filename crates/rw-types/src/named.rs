//! Items of a configuration's lists.

use crate::{Account, Model, Service, Target, WorkKind};

/// An item of a list that is sorted by name.
pub trait Named {
    /// Name, unique within the list.
    fn name(&self) -> &str;
}

macro_rules! impl_named {
    ($($item:ident),*) => {
        $(impl Named for $item {
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}

impl_named!(Account, Model, Service, Target, WorkKind);
