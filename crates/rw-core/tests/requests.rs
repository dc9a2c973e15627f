//! Every way in which a request can end, as a table: what its caller is told, how often it was
//! dispatched, and what is recorded.

use rw_core::{
    AttemptOutcome, Call, Claim, ClaimResult, ClaimState, ClaimStatus, CoreSettings, Effect, Event,
    Handover, Node, Operation, RecordedResponse, Suspect, Ticket, TicketRun,
};
use rw_types::{
    BootId, Config, Millis, Model, Outcome, RefusalKind, RequestId, Role, Service, ServiceKind,
    Target, TargetKind, Version, Vm,
};
use std::sync::Arc;

use Ask::{Generate, Keyed, Lookup, OldTicket, OwnTicket, RivalTicket, StrangeTicket, Unkeyed};
use Outcome::{NotRun, Unknown};
use RefusalKind::{
    InProgress, KeyReused, Leaving, NoTarget, Overloaded, Poison, ResponseLost, RunLost, StoreDown,
    TicketExpired, TooLate,
};
use Told::{Delivered, Nothing, Refused, Replayed};

const DEADLINE: u64 = 10_000;
const BODY: u64 = 77;
const BOOT: BootId = BootId(1);
const RIVAL: BootId = BootId(2);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Ask {
    Generate,
    Lookup,
    Keyed,
    Unkeyed,
    OwnTicket,
    OldTicket,
    RivalTicket,
    StrangeTicket,
}

/// What the world does next.
#[derive(Debug, Clone)]
enum Step {
    Claim(ClaimResult),
    Standing(ClaimStatus),
    End(AttemptOutcome),
    Forwarded(bool),
    Left(Option<Handover>),
    Shared,
    Tell(Suspect),
    Wait(u64),
    Close,
    Spend(u32),
    Resend(u64),
}

#[derive(Debug, PartialEq)]
enum Told {
    Delivered,
    Replayed,
    Refused(RefusalKind, Outcome),
    Nothing,
}

struct Case {
    name: &'static str,
    ask: Ask,
    steps: Vec<Step>,
    told: Told,
    dispatches: usize,
    recorded: Option<ClaimState>,
}

fn target(name: &str, kind: TargetKind) -> Target {
    let engine = kind == TargetKind::Engine;
    Target {
        name: name.to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        centre: String::new(),
        kind,
        service: if engine { "chat" } else { "orders" }.to_owned(),
        group: String::new(),
        models: if engine {
            vec!["small".to_owned()]
        } else {
            Vec::new()
        },
        role: Role::Mixed,
        checks_fence: true,
        leaving: false,
    }
}

fn node() -> Node {
    let settings = CoreSettings {
        vm: "vm-1".to_owned(),
        boot: BOOT,
        cooldown_ms: 0,
        max_retries: 3,
        ..CoreSettings::default()
    };
    let mut node = Node::new(settings);
    let mut config = Config {
        version: Version(1),
        models: vec![Model {
            name: "small".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            bytes: 1,
            replicas: 1,
        }],
        services: vec![Service {
            name: "orders".to_owned(),
            kind: ServiceKind::Plain,
            idempotent: Vec::new(),
        }],
        targets: vec![
            target("engine-1", TargetKind::Engine),
            target("engine-2", TargetKind::Engine),
            target("engine-3", TargetKind::Engine),
            target("service-1", TargetKind::Plain),
            target("service-2", TargetKind::Plain),
        ],
        ..Config::default()
    };
    config.sort();
    let vm = |name: &str| Vm {
        name: name.to_owned(),
        centre: String::new(),
        peer: "127.0.0.1:2".to_owned(),
        leaving: false,
    };
    node.step(Millis(0), Event::ConfigRead(Arc::new(config)));
    node.step(Millis(0), Event::VmsRead(vec![vm("vm-1"), vm("vm-2")]));
    node
}

fn ticket(vm: &str, boot: BootId, minted: u64) -> String {
    let minted = Millis(minted);
    let vm = vm.to_owned();
    Ticket { vm, boot, minted }.key(9)
}

fn call(ask: Ask) -> Call {
    let service = |idempotent| Operation::Service {
        name: "orders".to_owned(),
        idempotent,
    };
    let (operation, key) = match ask {
        Ask::Generate => {
            let operation = Operation::Generate {
                model: "small".to_owned(),
                prompt: 10,
                output: 10,
                blocks: Vec::new(),
            };
            (operation, None)
        }
        Ask::Lookup => (service(true), None),
        Ask::Keyed => (service(false), Some("k".to_owned())),
        Ask::Unkeyed => (service(false), None),
        Ask::OwnTicket => (service(false), Some(ticket("vm-1", BOOT, 0))),
        Ask::OldTicket => (service(false), Some(ticket("vm-1", RIVAL, 0))),
        Ask::RivalTicket => (service(false), Some(ticket("vm-2", RIVAL, 0))),
        Ask::StrangeTicket => (service(false), Some(ticket("vm-9", RIVAL, 0))),
    };
    Call {
        caller: "c".to_owned(),
        kind: String::new(),
        operation,
        key,
        fingerprint: BODY,
        deadline: Millis(DEADLINE),
        explicit_deadline: true,
    }
}

fn claim(vm: &str, boot: BootId, fingerprint: u64, state: ClaimState) -> Claim {
    Claim {
        vm: vm.to_owned(),
        boot,
        request: RequestId(1),
        fingerprint,
        state,
    }
}

fn mine() -> Claim {
    claim("vm-1", BOOT, BODY, ClaimState::Held)
}

fn held(state: ClaimState) -> Step {
    let row = claim("vm-2", RIVAL, BODY, state);
    Step::Claim(ClaimResult::Found(Some((row, Version(5)))))
}

fn found(row: Claim) -> Step {
    Step::Claim(ClaimResult::Found(Some((row, Version(5)))))
}

fn written() -> Step {
    Step::Claim(ClaimResult::Written(Version(6)))
}

fn answer() -> RecordedResponse {
    RecordedResponse {
        status: 201,
        kind: "text/plain".to_owned(),
        body: vec![0xff, 0x00, b'a'],
    }
}

fn whole() -> Step {
    let RecordedResponse { status, kind, body } = answer();
    Step::End(AttemptOutcome::Complete { status, kind, body })
}

fn broken(tokens: u64) -> Step {
    Step::End(AttemptOutcome::Broken {
        tokens,
        crashed: false,
    })
}

fn crashed() -> Step {
    Step::End(AttemptOutcome::Broken {
        tokens: 0,
        crashed: true,
    })
}

fn suspect(targets: &[&str]) -> Step {
    Step::Tell(Suspect {
        fingerprint: BODY,
        targets: targets.iter().map(|t| (*t).to_owned()).collect(),
        age_ms: 0,
    })
}

/// What the VM of a [`Ask::StrangeTicket`] left behind.
fn left(state: ClaimState, fingerprint: u64) -> Step {
    left_of("vm-9", state, fingerprint)
}

fn left_of(vm: &str, state: ClaimState, fingerprint: u64) -> Step {
    let run = TicketRun {
        minted: Millis(0),
        caller: "c".to_owned(),
        key: ticket(vm, RIVAL, 0),
        fingerprint,
        state,
    };
    left_at(0, vec![run])
}

fn left_at(stopped: u64, runs: Vec<TicketRun>) -> Step {
    let stopped = Millis(stopped);
    Step::Left(Some(Handover { stopped, runs }))
}

/// Runs a case and returns what the last caller was told, the dispatches and the last record.
fn run(case: &Case) -> (Told, usize, Option<ClaimState>) {
    let mut node = node();
    let (mut now, mut id, mut attempt) = (1, 1, None);
    let (mut told, mut dispatches, mut recorded) = (Told::Nothing, 0, None);
    let arrival = Step::Resend(BODY);
    let starts = |s: &&Step| matches!(s, Step::Close | Step::Spend(_) | Step::Tell(_));
    let first = case.steps.iter().take_while(starts).count();
    let (before, after) = case.steps.split_at(first);
    for step in before.iter().chain([&arrival]).chain(after) {
        let request = RequestId(id);
        let event = match step.clone() {
            Step::Claim(read) => Event::ClaimRead { id: request, read },
            Step::Standing(standing) => Event::ClaimStanding {
                id: request,
                standing,
            },
            Step::End(outcome) => Event::AttemptEnded {
                id: request,
                attempt: attempt.expect(case.name),
                outcome,
            },
            Step::Forwarded(answered) => Event::Forwarded {
                id: request,
                answered,
            },
            Step::Left(handover) => Event::HandoverRead {
                id: request,
                handover,
            },
            Step::Shared => Event::SuspectsShared { id: request },
            Step::Tell(suspect) => Event::SuspectsRead(vec![suspect]),
            Step::Close => Event::Close,
            Step::Wait(ms) => {
                now += ms;
                continue;
            }
            Step::Spend(retries) => {
                spend(&mut node, retries);
                continue;
            }
            Step::Resend(fingerprint) => {
                id += 1;
                told = Told::Nothing;
                let call = Call {
                    fingerprint,
                    deadline: Millis(now + DEADLINE),
                    explicit_deadline: true,
                    ..call(case.ask)
                };
                Event::Arrived {
                    id: RequestId(id),
                    call,
                }
            }
        };
        for effect in node.step(Millis(now), event) {
            match effect {
                Effect::Dispatch { attempt: n, .. } => {
                    dispatches += 1;
                    attempt = Some(n);
                }
                Effect::Deliver { .. } => told = Told::Delivered,
                Effect::Replay { answer: given, .. } => {
                    assert_eq!(given, answer(), "{}", case.name);
                    told = Told::Replayed;
                }
                Effect::Refuse { refusal, .. } => {
                    told = Told::Refused(refusal.kind, refusal.outcome);
                }
                Effect::SettleClaim { claim, .. } => recorded = Some(claim.state),
                Effect::ReleaseClaim { .. } => recorded = Some(ClaimState::Released),
                _ => {}
            }
        }
    }
    (told, dispatches, recorded)
}

/// Uses up retries by requests of another body.
fn spend(node: &mut Node, retries: u32) {
    for n in 0..retries {
        let id = RequestId(1_000 + u64::from(n));
        let call = Call {
            fingerprint: 1,
            ..call(Ask::Lookup)
        };
        let effects = node.step(Millis(0), Event::Arrived { id, call });
        let [Effect::Dispatch { attempt, .. }] = effects[..] else {
            panic!("not dispatched: {effects:?}");
        };
        let outcome = AttemptOutcome::Rejected;
        node.step(
            Millis(0),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
            },
        );
        node.step(Millis(0), Event::CallerDisconnected { id });
    }
}

fn case(name: &'static str, ask: Ask, steps: Vec<Step>, told: Told, dispatches: usize) -> Case {
    Case {
        name,
        ask,
        steps,
        told,
        dispatches,
        recorded: None,
    }
}

fn recorded(case: Case, state: ClaimState) -> Case {
    Case {
        recorded: Some(state),
        ..case
    }
}

fn check(cases: Vec<Case>) {
    for case in cases {
        let (told, dispatches, record) = run(&case);
        assert_eq!(told, case.told, "{}", case.name);
        assert_eq!(dispatches, case.dispatches, "{}: dispatches", case.name);
        assert_eq!(record, case.recorded, "{}: record", case.name);
    }
}

const UNSENT: Step = Step::End(AttemptOutcome::NotSent);
const DECLINED: Step = Step::End(AttemptOutcome::Rejected);
const LOST: Step = Step::Claim(ClaimResult::Unknown);
const UNTAKEN: Step = Step::Claim(ClaimResult::NotApplied);
const UNREADABLE: Step = Step::Claim(ClaimResult::Unreadable);
const ABSENT: Step = Step::Claim(ClaimResult::Found(None));

#[test]
#[rustfmt::skip]
fn claimed_requests_run_at_most_once_and_say_what_is_known() {
    let done = || ClaimState::Done(answer());
    let released = || ClaimState::Released;
    check(vec![
        recorded(case("runs", Keyed, vec![written(), whole()], Delivered, 1), done()),
        recorded(case("unsent", Keyed, vec![written(), UNSENT, whole()], Delivered, 2), done()),
        recorded(case("declined", Keyed, vec![written(), DECLINED, whole()], Delivered, 2), done()),
        recorded(case("declined by all", Keyed, vec![written(), DECLINED, DECLINED, DECLINED], Refused(NoTarget, NotRun), 3), released()),
        recorded(case("broken", Keyed, vec![written(), broken(0)], Refused(ResponseLost, Unknown), 1), ClaimState::Lost),
        recorded(case("crashed", Keyed, vec![written(), crashed()], Refused(ResponseLost, Unknown), 1), ClaimState::Lost),
        recorded(case("written too late", Keyed, vec![Step::Wait(DEADLINE), written()], Refused(TooLate, NotRun), 0), released()),
        case("store down", Keyed, vec![UNTAKEN], Refused(StoreDown, Unknown), 0),
        case("write lost, found", Keyed, vec![LOST, found(claim_of(2))], Nothing, 1),
        case("write lost, absent, written", Keyed, vec![LOST, ABSENT, written()], Nothing, 1),
        recorded(case("write and read lost", Keyed, vec![LOST, UNREADABLE], Refused(StoreDown, Unknown), 0), released()),
        recorded(case("late table answer to an abandoned claim", Keyed, vec![LOST, UNREADABLE, written(), found(claim_of(2))], Refused(StoreDown, Unknown), 0), released()),
        case("held, running", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Running)], Refused(InProgress, Unknown), 0),
        case("held, silent", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Unreachable)], Refused(InProgress, Unknown), 0),
        case("held, gone", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Terminated)], Refused(RunLost, Unknown), 0),
        case("held, lost", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Lost)], Refused(RunLost, Unknown), 0),
        case("held, done", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Done(answer()))], Replayed, 0),
        case("held, released", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Released), written()], Nothing, 1),
        case("held, released, taken over by another meanwhile", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Released), held(ClaimState::Held), Step::Standing(ClaimStatus::Running)], Refused(InProgress, Unknown), 0),
        case("held, settled, done", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Settled), held(done())], Replayed, 0),
        case("held, settled, still held", Keyed, vec![held(ClaimState::Held), Step::Standing(ClaimStatus::Settled), held(ClaimState::Held), Step::Standing(ClaimStatus::Settled)], Refused(RunLost, Unknown), 0),
        case("held by an earlier boot of this VM", Keyed, vec![found(claim("vm-1", RIVAL, BODY, ClaimState::Held))], Refused(RunLost, Unknown), 0),
        case("held by a VM not listed", Keyed, vec![found(claim("vm-9", RIVAL, BODY, ClaimState::Held))], Refused(InProgress, Unknown), 0),
        case("recorded", Keyed, vec![held(done())], Replayed, 0),
        case("recorded as lost", Keyed, vec![held(ClaimState::Lost)], Refused(RunLost, Unknown), 0),
        case("recorded as released", Keyed, vec![held(released()), written()], Nothing, 1),
        case("another body", Keyed, vec![found(claim("vm-2", RIVAL, 1, done()))], Refused(KeyReused, NotRun), 0),
        case("closing", Keyed, vec![Step::Close], Refused(Leaving, Unknown), 0),
        case("unkeyed broken", Unkeyed, vec![broken(0), whole()], Refused(ResponseLost, Unknown), 1),
        case("unkeyed declined", Unkeyed, vec![DECLINED, whole()], Delivered, 2),
        case("unkeyed closing", Unkeyed, vec![Step::Close], Refused(Leaving, NotRun), 0),
    ]);
}

/// The claim that the node wrote for its request `id`.
fn claim_of(id: u64) -> Claim {
    Claim {
        request: RequestId(id),
        ..mine()
    }
}

#[test]
#[rustfmt::skip]
fn tickets_run_only_where_they_were_minted() {
    check(vec![
        case("runs", OwnTicket, vec![whole()], Delivered, 1),
        case("replayed", OwnTicket, vec![whole(), Step::Resend(BODY)], Replayed, 1),
        case("another body", OwnTicket, vec![whole(), Step::Resend(1)], Refused(KeyReused, NotRun), 1),
        case("running", OwnTicket, vec![Step::Resend(BODY)], Refused(InProgress, Unknown), 1),
        case("lost", OwnTicket, vec![broken(0), Step::Resend(BODY)], Refused(RunLost, Unknown), 1),
        case("lost now", OwnTicket, vec![broken(0)], Refused(ResponseLost, Unknown), 1),
        case("declined by all", OwnTicket, vec![DECLINED, DECLINED, DECLINED], Refused(NoTarget, NotRun), 3),
        case("run after not-run", OwnTicket, vec![DECLINED, DECLINED, DECLINED, Step::Resend(BODY), whole()], Delivered, 4),
        case("old, but remembered", OwnTicket, vec![whole(), Step::Wait(600_000), Step::Resend(BODY)], Replayed, 1),
        case("closing, unused", OwnTicket, vec![Step::Close], Refused(Leaving, NotRun), 0),
        case("closing, used", OwnTicket, vec![whole(), Step::Close, Step::Resend(BODY)], Replayed, 1),
        case("earlier boot", OldTicket, vec![Step::Left(None)], Refused(RunLost, Unknown), 0),
        case("VM gone", StrangeTicket, vec![Step::Left(None)], Refused(RunLost, Unknown), 0),
        case("VM stopped, done", StrangeTicket, vec![left(ClaimState::Done(answer()), BODY)], Replayed, 0),
        case("VM stopped, lost", StrangeTicket, vec![left(ClaimState::Lost, BODY)], Refused(RunLost, Unknown), 0),
        case("VM stopped, another body", StrangeTicket, vec![left(ClaimState::Done(answer()), 1)], Refused(KeyReused, NotRun), 0),
        case("VM stopped, unused", StrangeTicket, vec![left_at(0, Vec::new())], Refused(TicketExpired, NotRun), 0),
        case("VM stopped, forgotten", StrangeTicket, vec![left_at(600_000, Vec::new())], Refused(RunLost, Unknown), 0),
        case("earlier boot, done", OldTicket, vec![left_of("vm-1", ClaimState::Done(answer()), BODY)], Replayed, 0),
        case("other VM just stopped", RivalTicket, vec![Step::Forwarded(false), left_of("vm-2", ClaimState::Done(answer()), BODY)], Replayed, 0),
        case("other VM", RivalTicket, vec![Step::Forwarded(true)], Delivered, 0),
        case("other VM out of reach", RivalTicket, vec![Step::Forwarded(false), Step::Left(None)], Refused(ResponseLost, Unknown), 0),
    ]);
}

#[test]
fn an_expired_ticket_never_runs() {
    let mut node = node();
    let call = call(OwnTicket);
    let later = Millis(CoreSettings::default().ticket_ttl_ms);
    let effects = node.step(
        later,
        Event::Arrived {
            id: RequestId(1),
            call,
        },
    );
    let [Effect::Refuse { refusal, .. }] = effects[..] else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!((refusal.kind, refusal.outcome), (RunLost, Unknown));
}

#[test]
#[rustfmt::skip]
fn idempotent_requests_are_repeated_within_their_budget() {
    check(vec![
        case("whole", Generate, vec![whole()], Delivered, 1),
        case("resumed", Generate, vec![broken(4), whole()], Delivered, 2),
        case("broken thrice", Generate, vec![broken(0), broken(0), broken(0)], Refused(NoTarget, Unknown), 3),
        // No byte went out last, but an earlier attempt may have run.
        case("broken, then unsent", Generate, vec![broken(0), UNSENT, UNSENT], Refused(NoTarget, Unknown), 3),
        case("unsent thrice", Generate, vec![UNSENT, UNSENT, UNSENT], Refused(NoTarget, NotRun), 3),
        case("no budget", Generate, vec![Step::Spend(3), DECLINED], Refused(Overloaded, NotRun), 1),
        case("no budget, ran", Lookup, vec![Step::Spend(3), broken(0)], Refused(Overloaded, Unknown), 1),
        case("late", Lookup, vec![Step::Wait(DEADLINE), broken(0)], Refused(TooLate, Unknown), 1),
        case("late stream", Generate, vec![Step::Wait(DEADLINE), broken(3), whole()], Delivered, 2),
        case("closing", Lookup, vec![Step::Close], Refused(Leaving, NotRun), 0),
        case("running while closing", Generate, vec![Step::Wait(1), whole(), Step::Wait(1)], Delivered, 1),
    ]);
}

#[test]
#[rustfmt::skip]
fn a_body_that_crashes_two_targets_is_refused() {
    check(vec![
        case("one crash", Generate, vec![crashed(), Step::Shared, whole()], Delivered, 2),
        case("two crashes", Generate, vec![crashed(), Step::Shared, crashed()], Refused(Poison, Unknown), 2),
        case("a peer saw another", Generate, vec![crashed(), suspect(&["engine-9"]), Step::Shared], Refused(Poison, Unknown), 1),
        case("known from peers", Generate, vec![suspect(&["engine-1", "engine-2"])], Refused(Poison, NotRun), 0),
        case("one known, asked first", Generate, vec![suspect(&["engine-1"])], Nothing, 0),
        case("one known, dispatched", Generate, vec![suspect(&["engine-1"]), Step::Shared], Nothing, 1),
        case("same target twice", Generate, vec![suspect(&["engine-9"]), suspect(&["engine-9"]), Step::Shared], Nothing, 1),
        case("aged out", Generate, vec![crashed(), Step::Shared, crashed(), Step::Wait(300_000), Step::Resend(BODY)], Nothing, 3),
        case("resent", Generate, vec![crashed(), Step::Shared, crashed(), Step::Resend(BODY)], Refused(Poison, NotRun), 2),
        case("down, known meanwhile", Generate, vec![crashed(), Step::Shared, suspect(&["engine-9"]), Step::End(AttemptOutcome::NotSent)], Refused(Poison, Unknown), 2),
        case("all down, peers know why", Generate, vec![crashed(), Step::Shared, Step::End(AttemptOutcome::NotSent), Step::End(AttemptOutcome::NotSent), suspect(&["engine-9"]), Step::Shared], Refused(Poison, Unknown), 3),
        case("all down, nobody knows why", Generate, vec![crashed(), Step::Shared, Step::End(AttemptOutcome::NotSent), Step::End(AttemptOutcome::NotSent), Step::Shared], Refused(NoTarget, Unknown), 3),
        case("keyed, known", Keyed, vec![suspect(&["engine-1", "engine-2"])], Refused(Poison, Unknown), 0),
    ]);
}

#[test]
fn retries_never_amplify_an_outage() {
    let mut node = node();
    let (requests, mut dispatches) = (1_000, 0);
    for id in 0..requests {
        let id = RequestId(id);
        let call = call(Generate);
        let mut effects = node.step(Millis(0), Event::Arrived { id, call });
        while let [Effect::Dispatch { attempt, .. }] = effects[..] {
            dispatches += 1;
            let outcome = AttemptOutcome::Rejected;
            effects = node.step(
                Millis(0),
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                },
            );
        }
    }
    // The budget of three retries, once.
    assert_eq!(dispatches, requests + 3);
}
