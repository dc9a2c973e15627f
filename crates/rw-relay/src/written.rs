//! What was written of a response.

/// Counts of what was written to a caller as the response to one call.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Written {
    /// Number of heads.
    pub heads: u32,
    /// Length of the body in bytes that the first head declared, if it declared one.
    pub declared: Option<u64>,
    /// Bytes of the body, without the framing of chunks.
    pub body: u64,
}

impl Written {
    /// Counts a head, which declares the length of its body in bytes or none.
    pub fn add_head(&mut self, declared: Option<u64>) {
        if self.heads == 0 {
            self.declared = declared;
        }
        self.heads += 1;
    }

    /// Counts bytes of the body.
    pub fn add_body(&mut self, bytes: usize) {
        self.body += bytes as u64;
    }

    /// Whether more than one response was written.
    #[must_use]
    pub fn is_overwritten(&self) -> bool {
        self.heads > 1 || self.declared.is_some_and(|n| self.body > n)
    }
}
