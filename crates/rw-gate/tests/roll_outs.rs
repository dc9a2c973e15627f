//! Random roll-outs and returns of the store from copies: no stream goes on at another software version than
//! the one that began it.

mod support;

use rw_gate::{
    CallRequest, Digest, DispatchOutcome, Effect, Event, GateSettings, RecordChange, RefusalKind,
    Role, TargetSpec, VersionRecord,
};
use rw_types::{Millis, RequestId};
use support::*;

const TICK_MS: u64 = 50;
const SECONDS: u64 = 60;
/// Number of fleets that are played.
const FLEETS: u64 = 40;
/// Callers take up streams that began within this time, in milliseconds.
const RETURN_MS: u64 = 4_000;
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];
const TARGETS: usize = 8;
/// Time after which a node notices that the store's answers don't arrive, in milliseconds.
const NOTICED_MS: u64 = 2_800;
/// Interval between releases, in milliseconds. Between them, the nodes forget the version before.
const RELEASE_MS: u64 = 15_000;
/// Interval at which a release replaces targets, in milliseconds.
const REPLACE_MS: u64 = 500;
/// Interval between copies of the store, and the maximum age of the one that it comes back from, in milliseconds.
const COPY_MS: u64 = 500;
const MAX_COPY_AGE_MS: u64 = 6_000;
/// Time for which a fleet runs before the store comes back from a copy, in milliseconds.
const DRILL_AFTER_MS: u64 = 12_000;
/// Time within which targets write their entries again after a return, in milliseconds.
const REWRITE_MS: u64 = 2_000;

/// A stream as its caller sees it.
#[derive(Clone)]
struct Stream {
    call_id: String,
    /// Version of its first event.
    version: String,
    begun_at: u64,
}

/// A node, and what it is cut off from.
struct Node {
    world: World,
    is_cut: bool,
    /// Latest era of the store that it knows.
    era: u64,
    /// Since when the store's answers don't arrive, which the node hasn't noticed.
    hangs_since: Option<u64>,
    /// Changes of records that it writes to the store, until they arrive.
    writes: Vec<RecordChange>,
    /// Updates from the store that are on their way, with the time of their arrival.
    updates: Vec<(u64, Event)>,
}

/// The rows of the store.
#[derive(Clone)]
struct Store {
    era: u64,
    targets: Vec<TargetSpec>,
    records: Vec<VersionRecord>,
    /// Era in which the rows are confirmed, and the time since which the records are complete.
    confirmed: (u64, i64),
}

impl Store {
    fn rows_read(&self, now: u64) -> Event {
        let (era, since_ms) = self.confirmed;
        let known_ms = u64::try_from(now as i64 - since_ms).unwrap_or_default();
        Event::RowsRead {
            confirmed_ms: (era == self.era).then_some(known_ms),
        }
    }

    fn replace(&mut self, old: &str, new: TargetSpec) {
        self.targets.retain(|t| t.name != old);
        self.targets.push(new);
    }
}

#[derive(Default)]
struct Tally {
    begun: usize,
    resumed: usize,
    unknown: usize,
    other_refusals: usize,
}

struct Fleet {
    rng: fastrand::Rng,
    now: u64,
    nodes: Vec<Node>,
    /// The processes that run.
    targets: Vec<TargetSpec>,
    store: Store,
    /// Copies of the store, the oldest first, each with its time.
    copies: Vec<(u64, Store)>,
    /// When the store comes back from a copy next.
    drill_at: u64,
    /// Entries that are to be written again, with the times.
    rewrites: Vec<(u64, TargetSpec)>,
    streams: Vec<Stream>,
    started: u64,
    /// Fraction of datagrams that are lost.
    loss: f64,
    tally: Tally,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(1..=7);
        let loss = rng.f64() * 0.3;
        let mut fleet = Self {
            rng,
            now: 1_000,
            nodes: Vec::new(),
            targets: Vec::new(),
            store: Store {
                era: 1,
                targets: Vec::new(),
                records: Vec::new(),
                confirmed: (1, -(DAY_MS as i64)),
            },
            copies: Vec::new(),
            drill_at: 0,
            rewrites: Vec::new(),
            streams: Vec::new(),
            started: 0,
            loss,
            tally: Tally::default(),
        };
        for n in 0..TARGETS {
            let spec = fleet.target(n, VERSIONS[0]);
            fleet.targets.push(spec);
        }
        fleet.store.targets = fleet.targets.clone();
        for n in 0..count {
            let node = fleet.node(n);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn target(&mut self, n: usize, version: &str) -> TargetSpec {
        self.started += 1;
        TargetSpec {
            incarnation: self.started,
            software: version.to_owned(),
            ..target(&format!("e{n}-{}", self.started), ENGINES, Role::Decode)
        }
    }

    /// A node that has just started and read the store.
    fn node(&mut self, n: usize) -> Node {
        let mut world = World::starting(GateSettings {
            vm: format!("vm-{n}"),
            seed: n as u64,
            ..GateSettings::default()
        });
        world.now = self.now;
        world.step(nodes_listed(1));
        self.read(&mut world);
        Node {
            world,
            is_cut: false,
            era: self.store.era,
            hangs_since: None,
            writes: Vec::new(),
            updates: Vec::new(),
        }
    }

    /// The first target with another version comes, and then the store comes back from a copy.
    fn release_and_drill(&mut self) {
        if self.now == DRILL_AFTER_MS {
            self.replace_target(0, VERSIONS[2]);
            self.drill_at = self.now + self.rng.u64(500..4_000) / TICK_MS * TICK_MS;
        }
        if self.now == self.drill_at {
            self.drill();
        }
    }

    /// Lets a node read the store.
    fn read(&self, world: &mut World) {
        let store = &self.store;
        world.step(Event::TargetsListed(store.targets.clone()));
        confirm(world);
        world.step(store.rows_read(self.now));
        world.step(Event::VersionsRead(store.records.clone()));
    }

    /// The store comes back from a copy. Some nodes are killed with it, or all, and some targets are lost.
    fn drill(&mut self) {
        let age_ms = self.rng.u64(..MAX_COPY_AGE_MS);
        let (kept, _) = self.copies.split_at(
            self.copies
                .partition_point(|(at, _)| at + age_ms <= self.now),
        );
        let Some((_, copy)) = kept.last().cloned() else {
            return;
        };
        self.copies.clear();
        self.store = Store {
            era: self.store.era + 1,
            ..copy
        };
        if self.rng.bool() {
            // The newest target is lost, and one like the others comes for it.
            let newest = (0..TARGETS).max_by_key(|i| self.targets[*i].incarnation);
            let newest = newest.unwrap_or_default();
            let version = self.targets[(newest + 1) % TARGETS].software.clone();
            self.targets[newest] = self.target(newest, &version);
        }
        let is_lost = |t: &TargetSpec| !self.store.targets.contains(t);
        let lost: Vec<TargetSpec> = self
            .targets
            .iter()
            .filter(|t| is_lost(t))
            .cloned()
            .collect();
        for spec in lost {
            self.rewrites
                .push((self.now + self.rng.u64(..REWRITE_MS), spec));
        }
        let killed = [0.0, 0.5, 1.0][self.rng.usize(..3)];
        for n in 0..self.nodes.len() {
            if self.rng.f64() < killed {
                self.restart(n);
                continue;
            }
            self.nodes[n].updates.clear();
            self.nodes[n].writes.clear();
        }
    }

    /// A node that reaches the store notices that it came back from a copy.
    fn notice_return(&mut self, n: usize) {
        let node = &self.nodes[n];
        if node.is_cut || node.hangs_since.is_some() || node.era == self.store.era {
            return;
        }
        let mut node = self.nodes.remove(n);
        node.era = self.store.era;
        node.updates.clear();
        node.writes.clear();
        node.world.now = self.now;
        node.world.step(Event::StoreRestored);
        self.read(&mut node.world);
        self.nodes.insert(n, node);
    }

    /// Takes copies of the store, and lets targets write entries again that it has lost, or drops those of
    /// targets that are gone.
    fn tick_store(&mut self) {
        if self.now.is_multiple_of(COPY_MS) {
            self.copies.push((self.now, self.store.clone()));
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.rewrites.drain(..).partition(|(at, _)| *at <= now);
        self.rewrites = later;
        for (_, spec) in due {
            if !self.targets.contains(&spec) {
                continue;
            }
            self.store.replace("", spec.clone());
            self.tell(&Event::TargetUpdated(spec));
        }
        let gone = self
            .store
            .targets
            .iter()
            .find(|t| !self.targets.contains(t));
        let gone = gone.map(|t| t.name.clone());
        if let Some(name) = gone.filter(|_| self.rng.f64() < 0.02) {
            self.store.targets.retain(|t| t.name != name);
            self.tell(&Event::TargetRemoved { name });
        }
    }

    /// Sends an event of the store to the nodes that reach it.
    fn tell(&mut self, event: &Event) {
        for n in 0..self.nodes.len() {
            let at = self.now + self.rng.u64(..250);
            if !self.nodes[n].is_cut {
                self.nodes[n].updates.push((at, event.clone()));
            }
        }
    }

    /// Sends a call to the targets that its node chooses, until one runs; returns that one's version. A stream
    /// that began at the version `began` is sent nowhere else, whether or not the target runs.
    fn run(
        &mut self,
        n: usize,
        id: RequestId,
        mut effects: Vec<Effect>,
        began: Option<&Stream>,
    ) -> Option<String> {
        loop {
            let dispatch = dispatch(&effects)?;
            if let Some(stream) = began {
                assert_eq!(dispatch.software, stream.version, "{}", stream.call_id);
            }
            let name = dispatch.target.clone();
            if let Some(target) = self.targets.iter().find(|t| t.name == name) {
                return Some(target.software.clone());
            }
            effects = self.nodes[n].world.end(id, DispatchOutcome::NotSent);
        }
    }

    /// Replaces any target by one with any version.
    fn replace_any(&mut self) {
        let i = self.rng.usize(..self.targets.len());
        let version = VERSIONS[self.rng.usize(..VERSIONS.len())];
        self.replace_target(i, version);
    }

    /// Replaces all targets one after the other by those with the next version, every [`RELEASE_MS`].
    fn release(&mut self) {
        let step = self.now % RELEASE_MS / REPLACE_MS;
        let version = VERSIONS[(self.now / RELEASE_MS) as usize % VERSIONS.len()];
        let next = self.targets.get(step as usize);
        if next.is_some_and(|t| t.software != version) {
            self.replace_target(step as usize, version);
        }
    }

    /// Replaces a target by one with another version, as the store tells the nodes that reach it.
    fn replace_target(&mut self, i: usize, version: &str) {
        let new = self.target(i, version);
        let old = std::mem::replace(&mut self.targets[i], new.clone());
        self.store.replace(&old.name, new.clone());
        for node in self.nodes.iter_mut().filter(|n| !n.is_cut) {
            let at = self.now + self.rng.u64(..250);
            let removed = Event::TargetRemoved {
                name: old.name.clone(),
            };
            node.updates.push((at, Event::TargetUpdated(new.clone())));
            node.updates.push((at, removed));
        }
    }

    fn restart(&mut self, n: usize) {
        self.nodes[n] = self.node(n);
    }

    fn toggle_cut(&mut self, n: usize) {
        let mut node = self.nodes.remove(n);
        node.is_cut = !node.is_cut;
        node.hangs_since = None;
        node.updates.clear();
        if node.is_cut {
            node.world.step(Event::StoreDisconnected);
        } else {
            node.world.step(Event::StoreConnected);
            self.read(&mut node.world);
        }
        self.nodes.insert(n, node);
        self.notice_return(n);
    }

    /// The store's answers to a node begin or cease to hang.
    fn toggle_hang(&mut self, n: usize) {
        let (now, node) = (self.now, &mut self.nodes[n]);
        node.hangs_since = match node.hangs_since {
            None if !node.is_cut => Some(now),
            _ => None,
        };
    }

    /// Lets a node read the changes of targets now.
    fn refresh(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if node.is_cut || node.hangs_since.is_some() {
            return;
        }
        for (_, event) in std::mem::take(&mut node.updates) {
            node.world.step(event);
        }
        confirm(&mut node.world);
    }

    fn begin(&mut self) {
        let n = self.rng.usize(..self.nodes.len());
        self.started += 1;
        let call_id = format!("c{}", self.started);
        let request = stream(&call_id);
        let world = &mut self.nodes[n].world;
        let (id, effects) = world.arrive(request);
        let Some(version) = self.run(n, id, effects, None) else {
            return;
        };
        let world = &mut self.nodes[n].world;
        world.step(Event::FirstEvent { id });
        world.step(Event::StreamBegun { id });
        world.end(id, DispatchOutcome::Delivered);
        self.tally.begun += 1;
        self.streams.push(Stream {
            call_id,
            version,
            begun_at: self.now,
        });
    }

    /// A caller takes up a stream at any node.
    fn take_up(&mut self) {
        let oldest = self.now.saturating_sub(RETURN_MS);
        self.streams.retain(|s| s.begun_at >= oldest);
        if self.streams.is_empty() {
            return;
        }
        let i = self.rng.usize(..self.streams.len());
        let n = self.rng.usize(..self.nodes.len());
        self.started += 1;
        let request = CallRequest {
            last_event: Some(3),
            resumes: Some(self.streams[i].call_id.clone()),
            ..stream(&format!("r{}", self.started))
        };
        self.ask_others(n, &request);
        let (id, effects) = self.nodes[n].world.arrive(request);
        match refused(&effects) {
            Some(RefusalKind::UnknownOrigin) => self.tally.unknown += 1,
            Some(_) => self.tally.other_refusals += 1,
            None => {}
        }
        let began = self.streams[i].clone();
        if let Some(version) = self.run(n, id, effects, Some(&began)) {
            assert_eq!(version, began.version, "{}", began.call_id);
            self.tally.resumed += 1;
            self.nodes[n].world.end(id, DispatchOutcome::Delivered);
        }
    }

    /// A node asks all others where a stream began; questions and answers may be lost.
    fn ask_others(&mut self, n: usize, request: &CallRequest) {
        let now = Millis(self.now);
        let Some(stream) = self.nodes[n].world.gate.missing_origin(now, request) else {
            return;
        };
        if self.nodes[n].world.gate.needs_versions(now, request) {
            self.refresh(n);
        }
        let question = self.nodes[n].world.gate.ask_origins(now, vec![stream]);
        for other in (0..self.nodes.len()).filter(|other| *other != n) {
            if self.rng.f64() < self.loss {
                continue;
            }
            self.refresh(other);
            let answer = self.nodes[other].world.gate.answer_origins(now, &question);
            self.nodes[n].world.step(Event::DigestReceived(answer));
        }
    }

    fn exchange(&mut self) {
        let digests: Vec<(usize, Digest)> = (0..self.nodes.len())
            .filter_map(|n| Some((n, self.nodes[n].world.gate.publish(Millis(self.now))?)))
            .collect();
        for (from, digest) in digests {
            for n in (0..self.nodes.len()).filter(|n| *n != from) {
                if self.rng.f64() >= self.loss {
                    let event = Event::DigestReceived(digest.clone());
                    self.nodes[n].world.step(event);
                }
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        self.tick_store();
        for n in 0..self.nodes.len() {
            let hangs_since = self.nodes[n].hangs_since;
            if hangs_since.is_some_and(|at| self.now - at >= NOTICED_MS) {
                self.toggle_cut(n);
            }
            self.notice_return(n);
            self.tick_node(n);
        }
        self.exchange();
    }

    fn tick_node(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.world.now = self.now;
        if node.hangs_since.is_none() {
            let (due, left) = node.updates.drain(..).partition(|(at, _)| *at <= self.now);
            node.updates = left;
            let due: Vec<(u64, Event)> = due;
            for (_, event) in due {
                node.world.step(event);
            }
        }
        for effect in node.world.step(Event::Tick) {
            if let Effect::RecordVersions(request) = effect {
                node.writes.push(request.change);
            }
        }
        if node.hangs_since.is_some() || node.is_cut || node.era < self.store.era {
            return;
        }
        for change in node.writes.drain(..) {
            match change {
                RecordChange::Replace(record) => {
                    self.store.records.retain(|r| r.service != record.service);
                    self.store.records.push(record);
                }
                RecordChange::Confirm { known_ms } => {
                    let since_ms = self.now as i64 - known_ms as i64;
                    self.store.confirmed = (self.store.era, since_ms);
                }
            }
        }
    }
}

/// Lets the store confirm that a node knows all targets.
fn confirm(world: &mut World) {
    let at = Millis(world.now);
    world.step(Event::TargetsConfirmed { at });
}

fn stream(call_id: &str) -> CallRequest {
    CallRequest {
        call_id: call_id.to_owned(),
        ..generation("/brief/1", (1, 100), (2, 10))
    }
}

/// What happens to the targets and to the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Plot {
    /// Targets are replaced at random times.
    Random,
    /// Targets are replaced one after the other.
    Release,
    /// The store comes back from a copy while a new version comes.
    Drill,
}

/// Plays a fleet in which targets are replaced, and nodes restart and are cut off.
fn play(seed: u64, plot: Plot) -> Tally {
    let mut fleet = Fleet::new(seed);
    let seconds = match plot {
        Plot::Random | Plot::Release => SECONDS,
        Plot::Drill => SECONDS / 3,
    };
    for _ in 0..seconds * 1_000 / TICK_MS {
        fleet.tick();
        fleet.begin();
        fleet.begin();
        fleet.take_up();
        match plot {
            Plot::Release => fleet.release(),
            Plot::Random if fleet.rng.f64() < 0.08 => fleet.replace_any(),
            Plot::Drill => fleet.release_and_drill(),
            Plot::Random => {}
        }
        // A fleet that loses its nodes all the time knows nothing that a return could take.
        let is_calm = plot == Plot::Drill && fleet.now < DRILL_AFTER_MS;
        if !is_calm && fleet.rng.f64() < 0.01 {
            let n = fleet.rng.usize(..fleet.nodes.len());
            fleet.restart(n);
        }
        if fleet.rng.f64() < 0.01 {
            let n = fleet.rng.usize(..fleet.nodes.len());
            fleet.toggle_cut(n);
        }
        if fleet.rng.f64() < 0.02 {
            let n = fleet.rng.usize(..fleet.nodes.len());
            fleet.toggle_hang(n);
        }
    }
    fleet.tally
}

fn play_all(plot: Plot, fleets: u64) -> Tally {
    let mut all = Tally::default();
    for seed in 0..fleets {
        let tally = play(seed, plot);
        all.begun += tally.begun;
        all.resumed += tally.resumed;
        all.unknown += tally.unknown;
        all.other_refusals += tally.other_refusals;
    }
    println!(
        "{} begun, {} resumed, {} refused as unknown, {} otherwise",
        all.begun, all.resumed, all.unknown, all.other_refusals
    );
    all
}

fn assert_none_crosses(plot: Plot) {
    let all = play_all(plot, FLEETS);
    // Most callers go on although versions mix all the time.
    assert!(
        all.resumed > 4 * all.unknown,
        "{} and {}",
        all.resumed,
        all.unknown
    );
}

#[test]
fn no_stream_crosses_versions_in_random_roll_outs() {
    assert_none_crosses(Plot::Random);
}

#[test]
fn no_stream_crosses_versions_when_one_replaces_the_other() {
    assert_none_crosses(Plot::Release);
}

/// Guards against nodes that take a copy of the store for all there was.
#[test]
fn no_stream_crosses_versions_when_the_store_comes_back_from_copies() {
    let all = play_all(Plot::Drill, 3 * FLEETS);
    // In a third of the returns, no node is left that knows where streams began.
    let refused = all.unknown + all.other_refusals;
    assert!(all.resumed > refused, "{} and {refused}", all.resumed);
}
