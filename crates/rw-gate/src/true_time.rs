//! Time of day that the nodes agree on.

use rw_types::Millis;

/// The time of day, as an offset to this node's boot clock.
///
/// Each node reads its time of day once, when it starts, and advances it by its boot clock, so that
/// later jumps have no effect. A VM whose time of day was wrong then is corrected by the median of
/// what the nodes state.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrueTime {
    /// Milliseconds since the start of 1970 at the start of the boot clock, as read by this node.
    own_offset: Option<i64>,
    /// The same by what other nodes stated last, sorted by VM name.
    statements: Vec<(String, i64)>,
}

impl TrueTime {
    /// Sets the time of day that was read at `now`; only the first reading counts.
    pub(crate) fn set(&mut self, now: Millis, unix_ms: u64) {
        let offset = unix_ms as i64 - now.0 as i64;
        self.own_offset.get_or_insert(offset);
    }

    /// Another node stated its time of day; `offset` is that minus this node's boot clock.
    pub(crate) fn hear(&mut self, vm: String, offset: i64) {
        match self.statements.binary_search_by(|(name, _)| name.cmp(&vm)) {
            Ok(i) => self.statements[i].1 = offset,
            Err(i) => self.statements.insert(i, (vm, offset)),
        }
    }

    /// This node's own time in milliseconds since the start of 1970; `None` before it was read.
    pub(crate) fn own(&self, now: Millis) -> Option<u64> {
        Some((now.0 as i64 + self.own_offset?).max(0) as u64)
    }

    /// Median of the offsets of all nodes. Of an even number, it is the lower one, so that all nodes
    /// find the same.
    pub(crate) fn offset(&self) -> Option<i64> {
        let own = self.own_offset?;
        let others = self.statements.iter().map(|(_, offset)| *offset);
        let mut all: Vec<i64> = others.chain([own]).collect();
        all.sort_unstable();
        Some(all[(all.len() - 1) / 2])
    }
}
