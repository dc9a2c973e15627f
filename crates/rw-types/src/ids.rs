//! Numeric identifiers, versions and instants.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! newtype {
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

newtype!(
    /// Id of a caller's request, unique within one boot of a node.
    RequestId
);
newtype!(
    /// Id of one attempt of a request at a target, unique within one boot of a node.
    AttemptId
);
newtype!(
    /// Random number drawn when a process starts; identifies one boot of a VM.
    BootId
);
newtype!(
    /// Fencing token of a lease; it only increases.
    FencingToken
);
newtype!(
    /// Version of a table row or of the configuration; zero if there is none.
    Version
);
newtype!(
    /// Instant on the process's monotonic clock, in milliseconds since the process started.
    Millis
);

impl Millis {
    /// The instant `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this instant; zero if `earlier` is the later one.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
