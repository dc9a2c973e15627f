//! Small numeric identities.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number!(
    /// One request of a caller, unique within one boot of a node.
    RequestId
);
number!(
    /// One dispatch of a request to a target, unique within one boot of a node.
    AttemptId
);
number!(
    /// A random number drawn when a process starts.
    BootId
);
number!(
    /// Fencing token of a lease; it only grows.
    FencingToken
);
number!(
    /// Version of a table row or of the configuration; zero means absent.
    Version
);
number!(
    /// Milliseconds of the process's own monotonic clock, from its start.
    Millis
);

impl Millis {
    /// The instant `ms` milliseconds later, saturating.
    #[must_use]
    pub fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this instant, zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
