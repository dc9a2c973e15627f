//! Streams taken up at a node that doesn't know of a software version which other nodes serve.

mod support;

use rw_gate::{
    CallRequest, Digest, DispatchOutcome, Event, GateSettings, Role, TargetSpec, VersionRecord,
};
use rw_types::Millis;
use support::*;

/// Time for which all nodes have known the first version, in milliseconds.
const KNOWN_MS: u64 = 60_000;
/// Time for which new versions get streams only if no other can, and a little more, in milliseconds.
const SETTLED_MS: u64 = 1_100;
const TICK_MS: u64 = 50;

fn spec(name: &str, software: &str) -> TargetSpec {
    TargetSpec {
        software: software.to_owned(),
        ..target(name, ENGINES, Role::Decode)
    }
}

fn world(vm: &str) -> World {
    World::with(GateSettings {
        vm: vm.to_owned(),
        ..GateSettings::default()
    })
}

fn stream(call_id: &str) -> CallRequest {
    CallRequest {
        call_id: call_id.to_owned(),
        ..generation("/brief/1", (1, 100), (2, 10))
    }
}

fn resumed(began: &str) -> CallRequest {
    CallRequest {
        last_event: Some(3),
        resumes: Some(began.to_owned()),
        ..stream("r")
    }
}

/// Lets the store confirm that a node knows all targets.
fn confirm(world: &mut World) {
    let at = Millis(world.now);
    world.step(Event::TargetsConfirmed { at });
}

fn nothing(_: &mut Release) {}

/// A release of which one node of four hears nothing.
struct Release {
    /// The node at which streams are taken up.
    behind: World,
    /// A node that is cut off together with it.
    also_behind: World,
    /// The node at which streams begin.
    in_step: World,
}

impl Release {
    /// All nodes know one version, and have read the records.
    fn start() -> Self {
        let mut release = Self {
            behind: world("a"),
            also_behind: world("b"),
            in_step: world("c"),
        };
        release.each(|w| {
            w.step(nodes_listed(4));
            w.step(Event::TargetsListed(vec![spec("0", "v1")]));
            confirm(w);
            w.step(Event::VersionsRead(vec![VersionRecord {
                service: ENGINES.to_owned(),
                versions: vec!["v1".to_owned()],
            }]));
        });
        release.pass(KNOWN_MS);
        release.each(confirm);
        release
    }

    fn each(&mut self, step: impl Fn(&mut World)) {
        [&mut self.behind, &mut self.also_behind, &mut self.in_step]
            .into_iter()
            .for_each(step);
    }

    /// Time passes for all nodes.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.each(|w| {
                w.now += TICK_MS;
                w.step(Event::Tick);
            });
        }
    }

    /// Runners of another version join, and a stream begins there.
    fn join_second_version(&mut self, is_suspended: bool) {
        self.in_step.step(Event::TargetUpdated(spec("1", "v2")));
        match is_suspended {
            true => {
                self.each(|w| w.now += SETTLED_MS);
                self.in_step.step(Event::Tick);
            }
            false => self.pass(SETTLED_MS),
        }
        let leaving = TargetSpec {
            leaving: true,
            ..spec("0", "v1")
        };
        self.in_step.step(Event::TargetUpdated(leaving));
        let (id, effects) = self.in_step.arrive(stream("c"));
        assert_eq!(sent_to(&effects), "1");
        self.in_step.step(Event::FirstEvent { id });
        self.in_step.step(Event::StreamBegun { id });
        self.in_step.end(id, DispatchOutcome::Delivered);
    }

    /// The answer of `from` to what the node that is behind asks about the stream `began`.
    fn answer(behind: &World, from: &World, began: &str) -> Option<Digest> {
        let now = Millis(behind.now);
        let missing = behind.gate.missing_origin(now, &resumed(began))?;
        let question = behind.gate.ask_origins(now, vec![missing]);
        Some(from.gate.answer_origins(Millis(from.now), &question))
    }

    /// Lets the other node that is behind answer.
    fn ask_also_behind(&mut self) {
        if let Some(answer) = Self::answer(&self.behind, &self.also_behind, "c") {
            self.behind.step(Event::DigestReceived(answer));
        }
    }
}

#[test]
fn a_stream_never_goes_on_at_the_version_that_a_node_out_of_step_knows() {
    struct Case {
        name: &'static str,
        /// What happens before the second version joins.
        before: fn(&mut Release),
        is_suspended: bool,
        /// What happens before the stream is taken up.
        after: fn(&mut Release),
    }
    let hangs = Case {
        name: "its feed hangs",
        before: nothing,
        is_suspended: false,
        after: nothing,
    };
    let cases = [
        Case {
            name: "it was suspended, and the clock of the others goes on",
            is_suspended: true,
            ..hangs
        },
        Case {
            name: "its feed hangs for longer",
            after: |r| r.pass(1_500),
            ..hangs
        },
        Case {
            name: "its feed hangs, and digests of the others come",
            after: |r| {
                // The digest with the stream's origin was lost.
                let now = Millis(r.in_step.now);
                let _lost = r.in_step.gate.publish(now);
                r.pass(1_000);
                let next = r.in_step.gate.publish(Millis(r.in_step.now));
                let next = next.expect("a digest each second");
                r.behind.step(Event::DigestReceived(next));
            },
            ..hangs
        },
        Case {
            name: "its feed hangs, as that of the node that answers",
            after: Release::ask_also_behind,
            ..hangs
        },
        Case {
            name: "it is cut off, and the node that answers has a feed that hangs",
            before: |r| {
                r.behind.step(Event::StoreDisconnected);
            },
            after: Release::ask_also_behind,
            ..hangs
        },
        Case {
            name: "it is cut off with the only node that it hears",
            before: |r| {
                for w in [&mut r.behind, &mut r.also_behind] {
                    w.step(Event::StoreDisconnected);
                }
            },
            after: |r| {
                let digest = Digest {
                    vm: "b".to_owned(),
                    ..Digest::default()
                };
                r.behind.step(Event::DigestReceived(digest));
                r.ask_also_behind();
            },
            ..hangs
        },
        Case {
            name: "no node reaches the store, and the one that heard last is gone after a digest",
            before: |r| {
                r.each(|w| {
                    w.step(nodes_listed(3));
                    w.step(Event::StoreDisconnected);
                });
            },
            after: |r| {
                // The digest with the stream's origin was lost.
                let now = Millis(r.in_step.now);
                let _lost = r.in_step.gate.publish(now);
                r.pass(1_000);
                let next = r.in_step.gate.publish(Millis(r.in_step.now));
                let next = next.expect("a digest each second");
                r.behind.step(Event::DigestReceived(next));
                r.ask_also_behind();
            },
            ..hangs
        },
        Case {
            name: "it has restarted with the targets of a node whose feed hangs",
            after: |r| {
                let now = r.behind.now;
                r.behind = World::starting(GateSettings {
                    vm: "a".to_owned(),
                    ..GateSettings::default()
                });
                r.behind.now = now;
                r.behind.step(nodes_listed(4));
                r.behind.step(Event::TargetsReported(vec![spec("0", "v1")]));
                r.ask_also_behind();
            },
            ..hangs
        },
        hangs,
    ];
    let mut crossed = Vec::new();
    for case in cases {
        let mut release = Release::start();
        (case.before)(&mut release);
        release.join_second_version(case.is_suspended);
        (case.after)(&mut release);
        let (_, effects) = release.behind.arrive(resumed("c"));
        if dispatch(&effects).is_some_and(|d| d.software != "v2") {
            crossed.push(case.name);
        }
    }
    assert!(crossed.is_empty(), "at another version: {crossed:#?}");
}
