//! Several nodes and engines, some of which crash: which calls still reach an engine.

mod support;

use rw_gate::{
    CallRequest, Delivered, Dispatch, DispatchOutcome, Effect, Event, GateSettings, Prompt,
    PromptPart, RefusalKind, Role,
};
use rw_types::{Millis, RequestId};
use support::*;

const ENGINES_COUNT: usize = 8;
/// Time for which an engine is away after a crash.
const RESTART_MS: u64 = 2_000;
/// Time from the dispatch of a call to the crash that it causes.
const CRASH_MS: u64 = 60;
/// Time that a call takes that crashes nothing.
const RUN_MS: u64 = 400;
const TICK_MS: u64 = 10;
const DIGEST_MS: u64 = 50;
const SOUND_GAP_MS: u64 = 30;
/// Number of nodes that one digest is sent to.
const FANOUT: usize = 16;
/// Time after the fifth crash within which all nodes must know the part.
const KNOWN_WITHIN_MS: u64 = 3_000;
/// Sends of calls with the part that are allowed after that time.
const MAX_LATE_SENDS: usize = 3;

const FIRST: u64 = 1;
const SHARED: u64 = 2;
const POISON: u64 = 0xbad;

const CRASHED: DispatchOutcome = DispatchOutcome::Broken {
    crashed: true,
    delivered: Delivered::Nothing,
};

#[derive(Debug, Clone)]
struct OpenCall {
    node: usize,
    id: RequestId,
    target: String,
    ends_at: u64,
    has_poison: bool,
}

/// What became of the calls of one kind.
#[derive(Debug, Default)]
struct Tally {
    /// Times at which a call was sent to an engine.
    sends: Vec<u64>,
    /// Times at which a call was refused because of what it contains.
    poison_refusals: Vec<u64>,
}

struct Fleet {
    nodes: Vec<World>,
    now: u64,
    open: Vec<OpenCall>,
    /// Times at which stopped engines return.
    returns: Vec<u64>,
    started: usize,
    calls: u64,
    /// Time from which calls with the part crash their engines.
    harmful_from: u64,
    crashes: Vec<u64>,
    poison: Tally,
    sound: Tally,
}

fn call_with(parts: [u64; 2], own: u64) -> CallRequest {
    let ids = parts.into_iter().chain([own]);
    let parts = ids.map(|id| PromptPart { id, tokens: 100 });
    CallRequest {
        prompt: Some(Prompt {
            model: "m".to_owned(),
            tokens: 300,
            max_output: 30,
            parts: parts.collect(),
        }),
        fingerprint: own,
        ..request("/brief/1")
    }
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        let node = |n| {
            World::with(GateSettings {
                vm: format!("vm-{n:03}"),
                seed: n as u64,
                ..GateSettings::default()
            })
        };
        let mut fleet = Self {
            nodes: (0..nodes).map(node).collect(),
            now: 1_000,
            open: Vec::new(),
            returns: Vec::new(),
            started: 0,
            calls: 0,
            harmful_from: 0,
            crashes: Vec::new(),
            poison: Tally::default(),
            sound: Tally::default(),
        };
        for node in &mut fleet.nodes {
            node.step(Event::TargetsListed(Vec::new()));
            node.step(nodes_listed(nodes));
        }
        (0..ENGINES_COUNT).for_each(|_| fleet.start_engine());
        fleet
    }

    fn start_engine(&mut self) {
        self.started += 1;
        let spec = target(&format!("e{}", self.started), ENGINES, Role::Decode);
        for node in &mut self.nodes {
            node.step(Event::TargetUpdated(spec.clone()));
        }
    }

    /// Stops an engine, and ends the calls that run on it.
    fn crash(&mut self, target: &str) {
        self.returns.push(self.now + RESTART_MS);
        let (ended, open) = self.open.drain(..).partition(|c| c.target == target);
        self.open = open;
        let ended: Vec<OpenCall> = ended;
        for call in ended {
            self.end(&call, CRASHED);
        }
        for node in &mut self.nodes {
            node.step(Event::TargetRemoved {
                name: target.to_owned(),
            });
        }
    }

    fn arrive(&mut self, n: usize, parts: [u64; 2]) {
        self.calls += 1;
        let request = call_with(parts, 1_000_000 + self.calls);
        let (id, effects) = self.nodes[n].arrive(request);
        self.perform(n, id, parts[1] == POISON, &effects);
    }

    fn end(&mut self, call: &OpenCall, outcome: DispatchOutcome) {
        let effects = self.nodes[call.node].end(call.id, outcome);
        self.perform(call.node, call.id, call.has_poison, &effects);
    }

    fn perform(&mut self, node: usize, id: RequestId, has_poison: bool, effects: &[Effect]) {
        let tally = match has_poison {
            true => &mut self.poison,
            false => &mut self.sound,
        };
        if refused(effects) == Some(RefusalKind::Poison) {
            tally.poison_refusals.push(self.now);
        }
        let Some(Dispatch { target, .. }) = dispatch(effects) else {
            return;
        };
        tally.sends.push(self.now);
        let crashes = has_poison && self.now >= self.harmful_from;
        self.open.push(OpenCall {
            node,
            id,
            target: target.clone(),
            ends_at: self.now + if crashes { CRASH_MS } else { RUN_MS },
            has_poison,
        });
    }

    /// Lets time pass, in which calls end, engines return and digests are exchanged.
    fn tick(&mut self) {
        self.now += TICK_MS;
        for node in &mut self.nodes {
            node.now = self.now;
        }
        while let Some(i) = self.open.iter().position(|c| c.ends_at <= self.now) {
            let call = self.open[i].clone();
            if call.has_poison && self.now >= self.harmful_from {
                self.crashes.push(self.now);
                self.crash(&call.target);
            } else {
                self.open.remove(i);
                self.end(&call, DispatchOutcome::Delivered);
            }
        }
        let now = self.now;
        let back = self.returns.iter().filter(|at| **at <= now).count();
        self.returns.retain(|at| *at > now);
        (0..back).for_each(|_| self.start_engine());
        if self.now.is_multiple_of(DIGEST_MS) {
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let count = self.nodes.len();
        for n in 0..count {
            let now = Millis(self.now);
            let Some(digest) = self.nodes[n].gate.publish(now) else {
                continue;
            };
            for offset in 1..=FANOUT.min(count - 1) {
                let receiver = (n + offset) % count;
                self.nodes[receiver].step(Event::DigestReceived(digest.clone()));
            }
        }
    }

    /// Plays sound calls at all nodes until `until`, and calls with the part each `poison_gap_ms`.
    fn play(&mut self, until: u64, poison_gap_ms: Option<u64>) {
        let mut next = 0;
        while self.now < until {
            self.tick();
            if self.now.is_multiple_of(SOUND_GAP_MS) {
                next += 1;
                self.arrive(next % self.nodes.len(), [FIRST, SHARED]);
            }
            if poison_gap_ms.is_some_and(|gap| self.now.is_multiple_of(gap)) {
                self.arrive((next * 7) % self.nodes.len(), [FIRST, POISON]);
            }
        }
    }
}

#[test]
fn calls_that_share_a_crashing_part_stop_reaching_engines_while_sound_ones_go_on() {
    struct Case {
        name: &'static str,
        nodes: usize,
        gap_ms: u64,
        harmful_from: u64,
    }
    let cases = [
        Case {
            name: "one node",
            nodes: 1,
            gap_ms: 250,
            harmful_from: 0,
        },
        Case {
            name: "six nodes",
            nodes: 6,
            gap_ms: 250,
            harmful_from: 0,
        },
        Case {
            name: "six nodes, calls with the part come seldom",
            nodes: 6,
            gap_ms: 1_500,
            harmful_from: 0,
        },
        Case {
            name: "forty nodes",
            nodes: 40,
            gap_ms: 250,
            harmful_from: 0,
        },
        Case {
            name: "six nodes, calls with the part completed before",
            nodes: 6,
            gap_ms: 250,
            harmful_from: 4_000,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.nodes);
        fleet.harmful_from = case.harmful_from;
        // As long as a disruption of the kind lasts, and longer than one refusal.
        fleet.play(90_000, Some(case.gap_ms));
        let known_from = fleet.crashes[4] + KNOWN_WITHIN_MS;
        let late = fleet.poison.sends.iter().filter(|at| **at > known_from);
        let late = late.count();
        assert!(
            late <= MAX_LATE_SENDS,
            "{}: {late} late sends, {} crashes",
            case.name,
            fleet.crashes.len()
        );
        let refused = &fleet.sound.poison_refusals;
        assert!(
            refused.is_empty(),
            "{}: sound calls refused at {refused:?}",
            case.name
        );
        let first_sends = fleet.sound.sends.iter().filter(|at| **at > known_from);
        let expected = (fleet.now - known_from) / SOUND_GAP_MS;
        assert!(first_sends.count() as u64 >= expected / 2, "{}", case.name);
    }
}

#[test]
fn engines_that_crash_for_another_reason_make_no_part_suspect() {
    struct Case {
        name: &'static str,
        /// Times at which five of the engines crash at once.
        at: &'static [u64],
    }
    let cases = [
        Case {
            name: "once",
            at: &[4_000],
        },
        Case {
            name: "three times, before the calls of the time between have ended",
            at: &[4_000, 4_150, 4_300],
        },
        Case {
            name: "each three seconds",
            at: &[4_000, 7_000, 10_000, 13_000, 16_000, 19_000],
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(6);
        for at in case.at {
            fleet.play(*at, None);
            let names: Vec<String> = fleet.nodes[0]
                .gate
                .targets()
                .all()
                .iter()
                .map(|t| t.spec.name.clone())
                .collect();
            names.iter().take(5).for_each(|name| fleet.crash(name));
        }
        fleet.play(30_000, None);
        let refused = &fleet.sound.poison_refusals;
        assert!(refused.is_empty(), "{}: {refused:?}", case.name);
    }
}

#[test]
fn a_part_in_the_last_position_is_never_suspect() {
    let mut fleet = Fleet::new(1);
    let node = &mut fleet.nodes[0];
    for call in 1..=10 {
        node.now += 500;
        let mut request = call_with([1_000 + call, 2_000 + call], POISON);
        request.fingerprint = call;
        let (id, effects) = node.arrive(request);
        assert!(dispatch(&effects).is_some(), "call {call}: {effects:?}");
        node.end(id, CRASHED);
        node.end(id, CRASHED);
    }
}
