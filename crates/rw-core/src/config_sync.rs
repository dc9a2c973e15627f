//! Configuration synchronization: when to read the head row, which peers to exchange digests
//! with, where to fetch changes from, and whether the version in force is current.

use crate::{Effect, Node};
use rw_types::{Digest, Millis, Suspect, Version, Vm, fingerprint};
use std::collections::VecDeque;

/// Peers that a node exchanges digests with at each tick.
pub const FANOUT: usize = 2;
/// Nodes that read the table's head row at each tick.
pub const HEAD_READERS: usize = 3;
/// Lowest-ranked nodes that may read the head, which bounds the reads during a table outage.
/// Includes the [`HEAD_READERS`].
const READER_CANDIDATES: usize = 24;
/// Takeover interval in milliseconds: once the last confirmed head is older than two intervals, the
/// next [`HEAD_READERS`] nodes in rank read it too, and as many more with each further interval.
const TAKEOVER_MS: u64 = 3_000;
/// Interval between head reads of a node that reaches no peer, in milliseconds.
const ISOLATED_READ_MS: u64 = 5_000;
/// Time within which an accepted configuration must be in force, in milliseconds.
pub const CONVERGENCE_LIMIT_MS: u64 = 18_000;
/// Peers that must have responded before a node relies on them while the table is unavailable.
const MIN_PEERS: usize = 3;
/// A high burn rate on one peer out of this many is enough to pause changes that reduce capacity.
const BURNING_DIVISOR: usize = 4;
/// Maximum number of suspect requests in one digest.
const MAX_DIGEST_SUSPECTS: usize = 16;
/// Time after which a fetch that has not ended is repeated from another source, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 3_000;

/// Input of configuration synchronization, from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum SyncEvent {
    /// The periodic timer fired.
    Tick,
    /// A read of the table's head row ended.
    HeadRead {
        /// When the read was sent; the head may have changed since.
        sent: Millis,
        /// Version in the head row; `None` if the table did not respond.
        head: Option<Version>,
    },
    /// A digest exchange started by this node ended.
    ExchangeEnded {
        /// When the exchange was sent; dates the peer's digest.
        sent: Millis,
        /// `ip:port` of the peer.
        addr: String,
        /// Digest of the peer; `None` if it did not respond.
        digest: Option<Digest>,
    },
    /// A digest arrived in an exchange that a peer started.
    DigestReceived(Digest),
    /// Whether the burn rate of this node's own objectives is high.
    Burning(bool),
    /// A fetch ended, successfully or not.
    FetchEnded,
}

/// Output of configuration synchronization, carried out by the shell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncEffect {
    /// Read the table's head row.
    ReadHead,
    /// Exchange digests with a peer.
    Exchange {
        /// `ip:port` of the peer.
        addr: String,
    },
    /// Fetch the changes that follow the version in force.
    Fetch {
        /// `ip:port` of the source; `None` for the table.
        peer: Option<String>,
    },
}

/// One digest exchange that this node started.
#[derive(Debug, Clone, Copy)]
struct PeerExchange {
    at: Millis,
    responded: bool,
    burning: bool,
}

/// State of configuration synchronization on one node.
#[derive(Debug, Clone)]
pub struct ConfigSync {
    /// Latest time at which the table's head was no higher than the version in force.
    confirmed_at: Option<Millis>,
    /// Highest version reported so far, and the `ip:port` of the peer that reported it; `None` if
    /// it was the table.
    highest: (Version, Option<String>),
    /// Since when a version higher than the one in force has been known.
    behind_since: Option<Millis>,
    /// Exchanges within the last [`CONVERGENCE_LIMIT_MS`], oldest first.
    exchanges: VecDeque<PeerExchange>,
    /// Whether the burn rate of this node's own objectives is high.
    burning: bool,
    /// Time of the last head read, or of the first tick if there was none.
    head_requested: Option<Millis>,
    /// Start of the fetch in flight.
    fetch_started: Option<Millis>,
    /// Fetches since the node was last up to date; every second one goes to the table.
    fetches: u32,
    rng: fastrand::Rng,
}

impl ConfigSync {
    /// Creates the initial state; `seed` determines which peers are picked.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            confirmed_at: None,
            highest: (Version(0), None),
            behind_since: None,
            exchanges: VecDeque::new(),
            burning: false,
            head_requested: None,
            fetch_started: None,
            fetches: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Milliseconds since the table's head was last known to be no higher than the version in
    /// force; `None` if it never was.
    #[must_use]
    pub fn head_age(&self, now: Millis) -> Option<u64> {
        self.confirmed_at.map(|at| now.since(at))
    }

    fn age_or_max(&self, now: Millis) -> u64 {
        self.head_age(now).unwrap_or(u64::MAX)
    }

    /// Exchanges within the window.
    fn recent(&self, now: Millis) -> impl Iterator<Item = &PeerExchange> {
        let exchanges = self.exchanges.iter();
        exchanges.filter(move |c| now.since(c.at) <= CONVERGENCE_LIMIT_MS)
    }

    /// Exchanges within the window: all, and those to which the peer responded.
    fn exchange_counts(&self, now: Millis) -> (usize, usize) {
        let responded = self.recent(now).filter(|c| c.responded);
        (self.recent(now).count(), responded.count())
    }

    /// Whether the burn rate is high on this node, or in at least one in four of the digests that
    /// peers returned within the window.
    #[must_use]
    pub fn is_burning(&self, now: Millis) -> bool {
        let (_, responded) = self.exchange_counts(now);
        let burning = self.recent(now).filter(|c| c.burning).count();
        self.burning || (burning > 0 && BURNING_DIVISOR * burning >= responded)
    }

    /// Whether the version in force can be relied on to be the accepted one.
    ///
    /// A recently confirmed head is sufficient. Without one, as during a table outage, most of the
    /// exchanges must have succeeded: a VM that reaches neither the table nor its peers may be the
    /// only one that missed a change.
    #[must_use]
    pub fn is_current(&self, now: Millis, peers: usize) -> bool {
        if self
            .behind_since
            .is_some_and(|since| now.since(since) > CONVERGENCE_LIMIT_MS)
        {
            return false;
        }
        if self.age_or_max(now) <= CONVERGENCE_LIMIT_MS || peers == 0 {
            return true;
        }
        let (all, ok) = self.exchange_counts(now);
        ok >= peers.min(MIN_PEERS) && 2 * ok > all
    }

    /// Whether the node with this reader rank reads the head at `now`.
    fn should_read_head(&self, now: Millis, rank: usize, has_config: bool) -> bool {
        if rank < HEAD_READERS || !has_config {
            return true;
        }
        let age = self.age_or_max(now);
        if rank < READER_CANDIDATES && age > TAKEOVER_MS * (1 + (rank / HEAD_READERS) as u64) {
            return true;
        }
        let (_, ok) = self.exchange_counts(now);
        let due = self
            .head_requested
            .is_some_and(|at| now.since(at) >= ISOLATED_READ_MS);
        ok == 0 && due
    }

    fn record_exchange(&mut self, at: Millis, responded: bool, burning: bool) {
        let expired = |c: &PeerExchange| at.since(c.at) > CONVERGENCE_LIMIT_MS;
        while self.exchanges.front().is_some_and(expired) {
            self.exchanges.pop_front();
        }
        self.exchanges.push_back(PeerExchange {
            at,
            responded,
            burning,
        });
    }

    /// Records that the head was `head` at `at`, while `version` is in force.
    fn record_head(&mut self, at: Millis, head: Version, version: Version) {
        if head <= version && self.confirmed_at.is_none_or(|last| last < at) {
            self.confirmed_at = Some(at);
        }
    }
}

/// Rank of `vm` among `vms` by a hash of the names, so that all nodes agree on the head readers.
///
/// A VM that the list does not contain yet has rank 0 and so is a reader.
#[must_use]
pub fn head_rank(vms: &[Vm], vm: &str) -> usize {
    if !vms.iter().any(|v| v.name == vm) {
        return 0;
    }
    let sort_key = |name: &str| (fingerprint(name.as_bytes()), name.to_owned());
    let own = sort_key(vm);
    let active = vms.iter().filter(|v| !v.leaving);
    active.filter(|v| sort_key(&v.name) < own).count()
}

impl Node {
    /// State of configuration synchronization.
    #[must_use]
    pub fn sync(&self) -> &ConfigSync {
        &self.sync
    }

    /// Whether the node may receive new requests at `now`: it is ready, and it can rely on its
    /// configuration being the accepted one.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        self.is_ready() && self.sync.is_current(now, self.peers().count())
    }

    /// The most recent suspect requests, as many as a digest carries.
    #[must_use]
    pub fn digest_suspects(&self, now: Millis) -> Vec<Suspect> {
        let mut suspects = self.suspects(now);
        suspects.sort_by_key(|s| s.age_ms);
        suspects.truncate(MAX_DIGEST_SUSPECTS);
        suspects
    }

    /// All other VMs that are not leaving.
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
                    self.sync.record_head(sent, head, self.config.version);
                    self.note_version(now, head, None);
                }
            }
            SyncEvent::ExchangeEnded { sent, addr, digest } => {
                let burning = digest.as_ref().is_some_and(|d| d.burning);
                self.sync.record_exchange(now, digest.is_some(), burning);
                if let Some(digest) = digest {
                    // Only the node that sent the exchange can date the digest; a digest that
                    // a peer sent may have waited in a queue.
                    if let Some(age) = digest.age_ms {
                        let at = Millis(sent.0.saturating_sub(age));
                        self.sync
                            .record_head(at, digest.version, self.config.version);
                    }
                    self.merge_digest(now, &digest, Some(addr));
                }
            }
            SyncEvent::DigestReceived(digest) => {
                let addr = self.members.find(&digest.vm).map(|v| v.peer.clone());
                self.merge_digest(now, &digest, addr);
            }
            SyncEvent::Burning(burning) => self.sync.burning = burning,
            SyncEvent::FetchEnded => self.sync.fetch_started = None,
        }
        self.fetch_missing(now, out);
    }

    fn sync_tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let rank = head_rank(self.members.all(), &self.settings.vm);
        self.sync.head_requested.get_or_insert(now);
        if self
            .sync
            .should_read_head(now, rank, self.config.version.0 > 0)
        {
            self.sync.head_requested = Some(now);
            out.push(Effect::Sync(SyncEffect::ReadHead));
        }
        let peers: Vec<_> = self.peers().map(|v| v.peer.clone()).collect();
        let picked = self.sync.rng.choose_multiple(peers, FANOUT);
        let exchanges = picked.into_iter().map(|addr| SyncEffect::Exchange { addr });
        out.extend(exchanges.map(Effect::Sync));
    }

    fn merge_digest(&mut self, now: Millis, digest: &Digest, addr: Option<String>) {
        self.note_version(now, digest.version, addr);
        if !digest.suspects.is_empty() {
            self.merge_suspects(now, &digest.suspects);
        }
    }

    fn note_version(&mut self, now: Millis, version: Version, addr: Option<String>) {
        if version <= self.config.version {
            return;
        }
        if version > self.sync.highest.0 || self.sync.highest.1.is_none() {
            self.sync.highest = (version.max(self.sync.highest.0), addr);
        }
        self.sync.behind_since.get_or_insert(now);
    }

    /// Fetches missing changes, alternating between the peer that reported them and the table.
    fn fetch_missing(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let sync = &mut self.sync;
        if sync.highest.0 <= self.config.version {
            sync.behind_since = None;
            sync.fetches = 0;
            return;
        }
        if sync
            .fetch_started
            .is_some_and(|since| now.since(since) < FETCH_TIMEOUT_MS)
        {
            return;
        }
        let to_peer = sync.fetches.is_multiple_of(2);
        let peer = sync.highest.1.clone().filter(|_| to_peer);
        sync.fetch_started = Some(now);
        sync.fetches += 1;
        out.push(Effect::Sync(SyncEffect::Fetch { peer }));
    }
}
