//! What a node knows of the store's latest return from a copy.

use rw_types::Millis;

/// A copy lacks what was written last, until it is written again. A node that was running at the return
/// keeps what it knew; one that starts afterwards knows only the copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum StoreReturn {
    /// It isn't known whether there was one, as the store hasn't been read.
    #[default]
    Unknown,
    /// What the store had lost is written again, or it has lost nothing.
    Past,
    /// This node was running when it noticed the return at the time `at`.
    Witnessed { at: Millis },
    /// It may have been shortly before this node first read the store, at the time `at`.
    Missed { at: Millis },
}

impl StoreReturn {
    /// The store's rows were read; `is_confirmed` if a node has confirmed them since the latest return.
    pub(crate) fn rows_read(&mut self, now: Millis, is_confirmed: bool) {
        *self = match (*self, is_confirmed) {
            (Self::Unknown | Self::Missed { .. }, true) => Self::Past,
            (Self::Unknown, false) => Self::Missed { at: now },
            (known, _) => known,
        };
    }

    /// The store came back from a copy.
    pub(crate) fn restored(&mut self, now: Millis, return_ms: u64) {
        *self = match self.knows_rows(now, return_ms) {
            true => Self::Witnessed { at: now },
            false => Self::Missed { at: now },
        };
    }

    /// Time by which rows that the copy lacks are written again, if that isn't over.
    pub(crate) fn deadline(self, now: Millis, return_ms: u64) -> Option<Millis> {
        let deadline = self.time()?.plus(return_ms);
        (now < deadline).then_some(deadline)
    }

    /// Whether rows that are read now may be older than what the store had before its return.
    pub(crate) fn may_read_old(self, now: Millis, return_ms: u64) -> bool {
        self == Self::Unknown || self.deadline(now, return_ms).is_some()
    }

    /// Whether this node knows the rows that the store had before its return, or those written since.
    pub(crate) fn knows_rows(self, now: Millis, return_ms: u64) -> bool {
        match self {
            Self::Unknown => false,
            Self::Past | Self::Witnessed { .. } => true,
            Self::Missed { .. } => self.deadline(now, return_ms).is_none(),
        }
    }

    /// When this node noticed the return, or may have missed it.
    pub(crate) fn time(self) -> Option<Millis> {
        match self {
            Self::Unknown | Self::Past => None,
            Self::Witnessed { at } | Self::Missed { at } => Some(at),
        }
    }
}
