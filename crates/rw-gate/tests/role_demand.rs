//! Split of the engines as it follows from the demand.

mod support;

use rw_gate::{
    DispatchMode, DispatchOutcome, Effect, Event, KvHandle, OrderOutcome, Role, TargetLoad,
    TargetSpec,
};
use rw_types::RequestId;
use support::{ENGINES, World, generation, target};

/// Slots that engines report.
const SLOTS: u32 = 48;
/// Calls, one after another.
const CALLS: u64 = 200;
/// Time that a prefill takes, in milliseconds.
const PREFILL_MS: u64 = 60;
/// Nodes that share the load; this one hears of no other.
const NODES: usize = 20;
/// Length of a prompt in tokens.
const TOKENS: u32 = 6_000;
/// Engines, of which half decode at first.
const ENGINES_EACH: usize = 10;

fn world() -> World {
    let mut world = World::new();
    let engine = |role, letter| move |n| target(&format!("{letter}{n:02}"), ENGINES, role);
    let decode = (0..ENGINES_EACH).map(engine(Role::Decode, "d"));
    let prefill = (0..ENGINES_EACH).map(engine(Role::Prefill, "f"));
    world.step(Event::TargetsListed(decode.chain(prefill).collect()));
    world.step(Event::StoreConnected);
    world.step(Event::NodeCount(NODES));
    world
}

/// Roles of the orders that `world` gives while a prompt arrives `pause_ms` after the previous one, and
/// engines that decode report `running` streams.
fn orders(world: &mut World, pause_ms: u64, running: u32) -> Vec<Role> {
    let mut orders = Vec::new();
    for n in 0..CALLS {
        world.now += pause_ms;
        serve(world, n, running);
        let effects = world.step(Event::Tick);
        for effect in effects {
            match effect {
                Effect::AcquireLease => {
                    world.step(Event::LeaseResult(Some(world.now)));
                }
                Effect::Order { target, role, .. } => {
                    orders.push(role);
                    let known = world.gate.targets().find(&target).expect("a target");
                    let spec = TargetSpec {
                        role,
                        ..known.spec.clone()
                    };
                    let outcome = OrderOutcome::Accepted;
                    world.step(Event::OrderEnded { target, outcome });
                    world.step(Event::TargetUpdated(spec));
                }
                _ => {}
            }
        }
    }
    orders
}

/// Serves one call.
fn serve(world: &mut World, n: u64, running: u32) {
    let (id, effects) = world.arrive(generation("/chat/1", (1, 10), (n + 10, TOKENS)));
    let mut decodes = false;
    for effect in effects {
        if let Effect::Dispatch { dispatch, .. } = effect {
            decodes = dispatch.mode != DispatchMode::Prefill;
        }
    }
    world.now += PREFILL_MS;
    if !decodes {
        let handle = KvHandle {
            addr: "127.0.0.1:1".to_owned(),
            name: n.to_string(),
        };
        end(world, id, DispatchOutcome::Prefilled(handle));
    }
    let load = Some(TargetLoad {
        running,
        waiting: 0,
        slots: SLOTS,
    });
    world.step(Event::ResponseStarted { id, load });
    world.step(Event::FirstEvent { id });
    end(world, id, DispatchOutcome::Delivered);
}

fn end(world: &mut World, id: RequestId, outcome: DispatchOutcome) {
    world.step(Event::DispatchEnded { id, outcome });
}

#[test]
fn the_split_follows_the_demand_that_is_seen() {
    struct Case {
        name: &'static str,
        /// Time from the end of a call to the next, in milliseconds.
        pause_ms: u64,
        /// Streams that an engine runs.
        running: u32,
        role: Option<Role>,
    }
    for case in [
        Case {
            name: "many prompts, few streams",
            pause_ms: 10,
            running: 4,
            role: Some(Role::Prefill),
        },
        Case {
            name: "many prompts, slots half taken",
            pause_ms: 10,
            running: 24,
            role: None,
        },
        Case {
            name: "few prompts, few streams",
            pause_ms: 400,
            running: 4,
            role: None,
        },
        Case {
            name: "few prompts, slots taken",
            pause_ms: 400,
            running: 46,
            role: Some(Role::Decode),
        },
    ] {
        let mut world = world();
        let orders = orders(&mut world, case.pause_ms, case.running);
        assert_eq!(orders.first().copied(), case.role, "{}", case.name);
        assert!(
            orders.iter().all(|r| Some(*r) == case.role),
            "{}",
            case.name
        );
        assert!(orders.len() <= ENGINES_EACH, "{}: {orders:?}", case.name);
    }
}

#[test]
fn a_node_that_starts_among_busy_engines_keeps_their_roles() {
    let mut world = world();
    // The calls that it knew before its restart are forgotten, and the engines happen to be idle.
    serve(&mut world, 0, 20);
    for _ in 0..40 {
        world.now += 250;
        let effects = world.step(Event::Tick);
        assert!(!effects.contains(&Effect::AcquireLease));
    }
}
