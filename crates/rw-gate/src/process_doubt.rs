//! Doubt whether the process at a target's address is the one of its entry.

use rw_types::Millis;

/// Time after which the entry of a target that sends no heartbeats has expired, in milliseconds. If the
/// registry is reached without interruption for so long, it has the entry of the process that runs now.
pub(crate) const ENTRY_LIFE_MS: u64 = 5_000;
/// Number of digests that carry a doubt, since one may be lost.
const SENDS: u32 = 2;

/// Set once nothing listened at a target's address, or while its entry may be from a copy of the registry.
/// The process that is found there may be another one, with other software, that the registry doesn't
/// know of yet. The entry of a new incarnation brings a target without doubt.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessDoubt {
    since: Option<Millis>,
    /// Whether this node has found so while it reached other targets.
    is_witnessed: bool,
    /// Number of digests that are still to carry it.
    sends: u32,
    /// Whether the entry may be an old one, from a copy of the registry.
    is_entry_old: bool,
}

impl ProcessDoubt {
    /// Whether the target's software isn't known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.since.is_some() || self.is_entry_old
    }

    /// Whether a process of the target is known to have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.since.is_some() && self.is_witnessed
    }

    /// Whether only this node has found that the process may have ended, and its own links may be the cause.
    pub(crate) fn is_unwitnessed(&self) -> bool {
        self.since.is_some() && !self.is_witnessed
    }

    /// The entry may be from before the process that runs now.
    pub(crate) fn begin_for_entry(&mut self) {
        self.is_entry_old = true;
    }

    /// The entry is the latest one that a process has written. Returns whether that was in doubt.
    pub(crate) fn entry_proved(&mut self) -> bool {
        std::mem::take(&mut self.is_entry_old)
    }

    /// Records that this node has found that the process has ended; returns whether this is news. It tells
    /// others only if `is_witnessed`: its own links may be the cause otherwise.
    pub(crate) fn begin(&mut self, now: Millis, is_witnessed: bool) -> bool {
        let is_news = is_witnessed && !self.is_witnessed;
        if is_news {
            self.sends = SENDS;
        }
        self.is_witnessed |= is_witnessed;
        self.since = Some(now);
        is_news
    }

    /// Records that another node has found so. It isn't passed on, as a doubt that nodes end and begin
    /// again for each other might never end.
    pub(crate) fn begin_elsewhere(&mut self, now: Millis) {
        self.since.get_or_insert(now);
        self.is_witnessed = true;
    }

    /// A call that was sent at `sent_at` has ended well, on a connection that the end of the process would
    /// have broken.
    pub(crate) fn call_completed(&mut self, sent_at: Millis) {
        if self.since.is_some_and(|since| sent_at < since) {
            self.end();
        }
    }

    /// Ends the doubt if the registry has been reached since `connected_since`, for long enough that the
    /// entry would have expired or been replaced.
    pub(crate) fn check_registry(&mut self, now: Millis, connected_since: Option<Millis>) {
        let proof = self.since.max(connected_since);
        let is_proved = proof.is_some_and(|at| now.since(at) >= ENTRY_LIFE_MS);
        if connected_since.is_some() && is_proved {
            self.end();
        }
    }

    fn end(&mut self) {
        *self = Self {
            is_entry_old: self.is_entry_old,
            ..Self::default()
        };
    }

    /// Whether the next digest is to carry the doubt; counts it as carried.
    pub(crate) fn take_send(&mut self) -> bool {
        let is_due = self.since.is_some() && self.sends > 0;
        self.sends -= u32::from(is_due);
        is_due
    }
}
