//! Keeping the configuration in force: whom to ask, when to read the head, when to be ready.

use crate::{Effect, Node};
use rw_types::{Digest, Millis, Suspect, Version, Vm, fingerprint};
use std::collections::VecDeque;

/// Peers asked at each tick.
pub const FANOUT: usize = 2;
/// Nodes that read the head at each tick.
pub const HEAD_READERS: usize = 3;
/// Nodes that may take over from readers that don't report, the first of them included.
const STAND_BY: usize = 24;
/// Time without a fresh head after which the next nodes in rank read it too, in milliseconds.
const TAKE_OVER_MS: u64 = 3_000;
/// Pause between reads of the head by a node that reaches no peer, in milliseconds.
const ALONE_MS: u64 = 5_000;
/// Time within which an accepted configuration must be in force, in milliseconds.
pub const CONVERGENCE_LIMIT_MS: u64 = 18_000;
/// Peers that must have answered before a node trusts them in place of the table.
const ENOUGH_PEERS: usize = 3;
/// One in this many peers that burn is enough to pause changes that take capacity away.
const BURNING_PART: usize = 4;
/// Most suspects in a digest.
const DIGEST_SUSPECTS: usize = 16;
/// Longest wait for a fetch before another source is tried, in milliseconds.
const FETCH_MS: u64 = 3_000;

/// What happens between a node, the table's head and its peers.
#[derive(Debug, Clone, PartialEq)]
pub enum SyncEvent {
    /// Time to ask again.
    Tick,
    /// The table's head was read, or could not be.
    HeadRead {
        /// When the read was sent.
        sent: Millis,
        /// Version accepted; `None` if the table did not answer.
        head: Option<Version>,
    },
    /// A peer answered with its digest, or did not.
    ExchangeEnded {
        /// When the call was sent.
        sent: Millis,
        /// `ip:port` of the peer.
        addr: String,
        /// Its digest.
        digest: Option<Digest>,
    },
    /// A peer called with its digest.
    DigestReceived(Digest),
    /// Whether this node's own objectives burn fast.
    Burning(bool),
    /// A fetch ended, whatever it brought.
    FetchEnded,
}

/// What the shell does to keep the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncEffect {
    /// Read the table's head.
    ReadHead,
    /// Exchange digests with a peer.
    Exchange {
        /// `ip:port` of the peer.
        addr: String,
    },
    /// Fetch the changes after the version in force.
    Fetch {
        /// `ip:port` of the peer to ask; `None` for the table.
        peer: Option<String>,
    },
}

/// A call of a peer.
#[derive(Debug, Clone, Copy)]
struct PeerCall {
    at: Millis,
    answered: bool,
    burning: bool,
}

/// What a node knows of how current its configuration is.
#[derive(Debug, Clone)]
pub struct ConfigSync {
    /// When the table's head was last known to be no higher than the version in force.
    fresh: Option<Millis>,
    /// Highest version heard of, and the peer that told of it.
    heard: (Version, Option<String>),
    /// Since when a higher version than the one in force is known.
    behind: Option<Millis>,
    /// Calls of peers within the last [`CONVERGENCE_LIMIT_MS`], oldest first.
    calls: VecDeque<PeerCall>,
    /// Whether this node's own objectives burn fast.
    burning: bool,
    /// When the head was last asked for, or the first tick.
    head_asked: Option<Millis>,
    /// When the running fetch was started.
    fetching: Option<Millis>,
    /// Fetches so far; every second one of a streak goes to the table.
    fetches: u32,
    rng: fastrand::Rng,
}

impl ConfigSync {
    /// A node that has asked nobody yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            fresh: None,
            heard: (Version(0), None),
            behind: None,
            calls: VecDeque::new(),
            burning: false,
            head_asked: None,
            fetching: None,
            fetches: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Milliseconds since the table's head was at most the version in force.
    #[must_use]
    pub fn head_age(&self, now: Millis) -> Option<u64> {
        self.fresh.map(|fresh| now.since(fresh))
    }

    fn age_or_max(&self, now: Millis) -> u64 {
        self.head_age(now).unwrap_or(u64::MAX)
    }

    /// Calls of peers in the window.
    fn recent(&self, now: Millis) -> impl Iterator<Item = &PeerCall> {
        let calls = self.calls.iter();
        calls.filter(move |c| now.since(c.at) <= CONVERGENCE_LIMIT_MS)
    }

    /// Calls of peers in the window, and those answered.
    fn reached(&self, now: Millis) -> (usize, usize) {
        let answered = self.recent(now).filter(|c| c.answered);
        (self.recent(now).count(), answered.count())
    }

    /// Whether objectives burn fast here or at one in four of the peers heard lately.
    #[must_use]
    pub fn is_burning(&self, now: Millis) -> bool {
        let (_, answered) = self.reached(now);
        let burning = self.recent(now).filter(|c| c.burning).count();
        self.burning || (burning > 0 && BURNING_PART * burning >= answered)
    }

    /// Whether the version in force can be trusted to be the one accepted.
    ///
    /// A fresh head is enough. Without one, as in an outage of the table, most of the peers asked
    /// must have answered; a VM that reaches neither may be the only one that missed a change.
    #[must_use]
    pub fn is_current(&self, now: Millis, peers: usize) -> bool {
        if self
            .behind
            .is_some_and(|since| now.since(since) > CONVERGENCE_LIMIT_MS)
        {
            return false;
        }
        if self.age_or_max(now) <= CONVERGENCE_LIMIT_MS || peers == 0 {
            return true;
        }
        let (all, ok) = self.reached(now);
        ok >= peers.min(ENOUGH_PEERS) && 2 * ok > all
    }

    /// Whether the node at `rank` reads the head at `now`.
    fn wants_head(&self, now: Millis, rank: usize, has_config: bool) -> bool {
        if rank < HEAD_READERS || !has_config {
            return true;
        }
        let age = self.age_or_max(now);
        if rank < STAND_BY && age > TAKE_OVER_MS * (1 + (rank / HEAD_READERS) as u64) {
            return true;
        }
        let (_, ok) = self.reached(now);
        let asked = self.head_asked.is_some_and(|at| now.since(at) >= ALONE_MS);
        ok == 0 && asked
    }

    fn note_call(&mut self, at: Millis, answered: bool, burning: bool) {
        let old = |c: &PeerCall| at.since(c.at) > CONVERGENCE_LIMIT_MS;
        while self.calls.front().is_some_and(old) {
            self.calls.pop_front();
        }
        self.calls.push_back(PeerCall {
            at,
            answered,
            burning,
        });
    }

    /// Takes note that the head was at most `head` at `at`, while `version` is in force.
    fn note_head(&mut self, at: Millis, head: Version, version: Version) {
        if head <= version && self.fresh.is_none_or(|fresh| fresh < at) {
            self.fresh = Some(at);
        }
    }
}

/// Rank of `vm` among `vms` by a hash of the names, so that every node finds the same readers.
///
/// A VM that the list doesn't have yet counts as a reader.
#[must_use]
pub fn head_rank(vms: &[Vm], vm: &str) -> usize {
    if !vms.iter().any(|v| v.name == vm) {
        return 0;
    }
    let place = |name: &str| (fingerprint(name.as_bytes()), name.to_owned());
    let own = place(vm);
    let stays = vms.iter().filter(|v| !v.leaving);
    stays.filter(|v| place(&v.name) < own).count()
}

impl Node {
    /// How current the configuration is.
    #[must_use]
    pub fn sync(&self) -> &ConfigSync {
        &self.sync
    }

    /// Whether the node may be offered new requests at `now`: it is ready, and it can know that
    /// its configuration is the accepted one.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        self.is_ready() && self.sync.is_current(now, self.peers().count())
    }

    /// The latest suspects, as many as a digest carries.
    #[must_use]
    pub fn digest_suspects(&self, now: Millis) -> Vec<Suspect> {
        let mut suspects = self.suspects(now);
        suspects.sort_by_key(|s| s.age_ms);
        suspects.truncate(DIGEST_SUSPECTS);
        suspects
    }

    /// Peers that stay.
    fn peers(&self) -> impl Iterator<Item = &Vm> {
        let own = &self.settings.vm;
        let all = self.members.all().iter();
        all.filter(move |v| !v.leaving && v.name != *own)
    }

    pub(crate) fn sync_step(&mut self, now: Millis, event: SyncEvent, out: &mut Vec<Effect>) {
        match event {
            SyncEvent::Tick => self.sync_tick(now, out),
            SyncEvent::HeadRead { sent, head } => {
                if let Some(head) = head {
                    self.sync.note_head(sent, head, self.config.version);
                    self.hear(now, head, None);
                }
            }
            SyncEvent::ExchangeEnded { sent, addr, digest } => {
                let burning = digest.as_ref().is_some_and(|d| d.burning);
                self.sync.note_call(now, digest.is_some(), burning);
                if let Some(digest) = digest {
                    // Only its own call dates a digest; a received one may have waited unread.
                    if let Some(age) = digest.age_ms {
                        let at = Millis(sent.0.saturating_sub(age));
                        self.sync.note_head(at, digest.version, self.config.version);
                    }
                    self.take_digest(now, &digest, Some(addr));
                }
            }
            SyncEvent::DigestReceived(digest) => {
                let addr = self.members.find(&digest.vm).map(|v| v.peer.clone());
                self.take_digest(now, &digest, addr);
            }
            SyncEvent::Burning(burning) => self.sync.burning = burning,
            SyncEvent::FetchEnded => self.sync.fetching = None,
        }
        self.fetch_missing(now, out);
    }

    fn sync_tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let rank = head_rank(self.members.all(), &self.settings.vm);
        self.sync.head_asked.get_or_insert(now);
        if self.sync.wants_head(now, rank, self.config.version.0 > 0) {
            self.sync.head_asked = Some(now);
            out.push(Effect::Sync(SyncEffect::ReadHead));
        }
        let peers: Vec<_> = self.peers().map(|v| v.peer.clone()).collect();
        let picked = self.sync.rng.choose_multiple(peers, FANOUT);
        let calls = picked.into_iter().map(|addr| SyncEffect::Exchange { addr });
        out.extend(calls.map(Effect::Sync));
    }

    fn take_digest(&mut self, now: Millis, digest: &Digest, addr: Option<String>) {
        self.hear(now, digest.version, addr);
        if !digest.suspects.is_empty() {
            self.merge_suspects(now, &digest.suspects);
        }
    }

    fn hear(&mut self, now: Millis, version: Version, addr: Option<String>) {
        if version <= self.config.version {
            return;
        }
        if version > self.sync.heard.0 || self.sync.heard.1.is_none() {
            self.sync.heard = (version.max(self.sync.heard.0), addr);
        }
        self.sync.behind.get_or_insert(now);
    }

    /// Asks for what is missing, from the peer that told of it and from the table by turns.
    fn fetch_missing(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let sync = &mut self.sync;
        if sync.heard.0 <= self.config.version {
            sync.behind = None;
            sync.fetches = 0;
            return;
        }
        if sync
            .fetching
            .is_some_and(|since| now.since(since) < FETCH_MS)
        {
            return;
        }
        let to_peer = sync.fetches.is_multiple_of(2);
        let peer = sync.heard.1.clone().filter(|_| to_peer);
        sync.fetching = Some(now);
        sync.fetches += 1;
        out.push(Effect::Sync(SyncEffect::Fetch { peer }));
    }
}
