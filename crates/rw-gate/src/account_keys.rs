//! Keys of client accounts, and whether this node knows which of them are valid.

use crate::{Account, Routing};
use rw_types::{KeyHash, KeyIndex, Millis};

/// What a node knows of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// It belongs to the account at this position in the configuration.
    Of(usize),
    /// No account has it.
    Unknown,
    /// This node can't know.
    Unverifiable,
}

/// The keys of the configuration in force, and how recent it is.
#[derive(Debug, Clone, Default)]
pub(crate) struct AccountKeys {
    /// Positions of the accounts in the configuration.
    index: KeyIndex<u32>,
    /// Version that the keys are of.
    version: u64,
    /// Whether the accounts are missing, because another node gave the configuration to this one.
    is_missing: bool,
    /// Latest time at which the configuration was asked for that the store then gave or confirmed.
    confirmed_at: Option<Millis>,
    /// The same while it isn't known whether the store may have lost a newer configuration.
    unproved_at: Option<Millis>,
    /// Highest version of the configuration that another node has named, and when it was first named.
    heard_version: u64,
    heard_at: Millis,
}

impl AccountKeys {
    /// Takes over the keys of a configuration that comes into force.
    pub(crate) fn index(&mut self, routing: &Routing) {
        let accounts = (0..).zip(&routing.accounts);
        let keys = accounts.flat_map(|(i, a): (u32, &Account)| a.keys.iter().map(move |k| (*k, i)));
        self.index = keys.collect();
        self.version = routing.version;
        self.is_missing = routing.lacks_accounts();
    }

    /// The store confirmed the configuration when it was asked at `asked_at`. If another node had a
    /// newer one before, the store has lost that, and what it confirms may have keys that were removed.
    pub(crate) fn confirm(&mut self, asked_at: Millis) {
        if self.heard_version > self.version && self.heard_at <= asked_at {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Like [`AccountKeys::confirm`], but the store may have lost a newer configuration: it counts once that
    /// is ruled out.
    pub(crate) fn confirm_later(&mut self, asked_at: Millis) {
        self.unproved_at = self.unproved_at.max(Some(asked_at));
    }

    /// It is known whether the store may have lost a configuration that was newer than those confirmed.
    pub(crate) fn settle(&mut self, may_be_lost: bool) {
        let unproved = self.unproved_at.take();
        if let Some(asked_at) = unproved.filter(|_| !may_be_lost) {
            self.confirm(asked_at);
        }
    }

    /// Another node named the version of its configuration.
    pub(crate) fn version_heard(&mut self, now: Millis, version: u64) {
        if version > self.heard_version {
            self.heard_version = version;
            self.heard_at = now;
        }
    }

    /// Whether this node knows the accounts, as of `max_age_ms` ago at most if that is set.
    pub(crate) fn is_current(&self, now: Millis, max_age_ms: Option<u64>) -> bool {
        let is_recent = |max_ms| self.confirmed_at.is_some_and(|at| now.since(at) < max_ms);
        !self.is_missing && max_age_ms.is_none_or(is_recent)
    }

    /// What this node knows of a key.
    pub(crate) fn check(&self, now: Millis, max_age_ms: Option<u64>, key: &KeyHash) -> KeyState {
        if !self.is_current(now, max_age_ms) {
            return KeyState::Unverifiable;
        }
        match self.index.find(key) {
            Some(i) => KeyState::Of(*i as usize),
            // The newer configuration of another node may have it.
            None if self.heard_version > self.version => KeyState::Unverifiable,
            None => KeyState::Unknown,
        }
    }
}
