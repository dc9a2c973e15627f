//! Kinds of work whose speed is measured separately.

/// A kind of work of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Prefill of a prompt.
    Prefill,
    /// Generation of tokens after the prefill.
    Decode,
    /// Call to a plain service.
    Plain,
}

impl WorkKind {
    /// All kinds, in the order of [`WorkKind::index`].
    pub const ALL: [Self; 3] = [Self::Prefill, Self::Decode, Self::Plain];

    /// Name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Plain => "plain",
        }
    }

    /// Position in [`WorkKind::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}
