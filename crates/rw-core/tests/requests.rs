//! Every way in which a request can end, as tables: the response to the caller, the number of
//! dispatches and the recorded state.

use rw_core::{
    AttemptOutcome, Call, Claim, ClaimResult, ClaimState, ClaimStatus, CoreSettings, Effect, Event,
    Handover, Node, Operation, RecordedResponse, Suspect, Ticket, TicketRun,
};
use rw_types::{
    BootId, Config, Millis, Model, Outcome, RefusalKind, RequestId, Role, Service, ServiceKind,
    Target, TargetKind, Version, Vm,
};
use std::sync::Arc;

use Outcome::{NotRun, Unknown};
use RefusalKind::{
    InProgress, KeyReused, NoTarget, Overloaded, Poison, ResponseLost, RunLost, ShuttingDown,
    StoreDown, TicketExpired, TooLate,
};
use Reply::{Delivered, Nothing, Refused, Replayed};
use RequestKind::{
    EarlierBootTicket, Generate, Keyed, Lookup, OtherVmTicket, OwnTicket, Unkeyed, UnlistedVmTicket,
};

const DEADLINE: u64 = 10_000;
const BODY: u64 = 77;
const BOOT: BootId = BootId(1);
const OTHER_BOOT: BootId = BootId(2);

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestKind {
    Generate,
    Lookup,
    Keyed,
    Unkeyed,
    OwnTicket,
    EarlierBootTicket,
    OtherVmTicket,
    UnlistedVmTicket,
}

/// What happens to the node next.
#[derive(Debug, Clone)]
enum Step {
    Claim(ClaimResult),
    ClaimStatus(ClaimStatus),
    End(AttemptOutcome),
    Forwarded(bool),
    Handover(Option<Handover>),
    SuspectsShared,
    PeerSuspect(Suspect),
    Wait(u64),
    Close,
    SpendRetries(u32),
    Retry(u64),
}

#[derive(Debug, PartialEq)]
enum Reply {
    Delivered,
    Replayed,
    Refused(RefusalKind, Outcome),
    Nothing,
}

struct Case {
    name: &'static str,
    kind: RequestKind,
    steps: Vec<Step>,
    reply: Reply,
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
        backoff_ms: 0,
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

fn call(kind: RequestKind) -> Call {
    let service = |idempotent| Operation::Service {
        name: "orders".to_owned(),
        idempotent,
    };
    let (operation, key) = match kind {
        RequestKind::Generate => {
            let operation = Operation::Generate {
                model: "small".to_owned(),
                prompt: 10,
                output: 10,
                blocks: Vec::new(),
            };
            (operation, None)
        }
        RequestKind::Lookup => (service(true), None),
        RequestKind::Keyed => (service(false), Some("k".to_owned())),
        RequestKind::Unkeyed => (service(false), None),
        RequestKind::OwnTicket => (service(false), Some(ticket("vm-1", BOOT, 0))),
        RequestKind::EarlierBootTicket => (service(false), Some(ticket("vm-1", OTHER_BOOT, 0))),
        RequestKind::OtherVmTicket => (service(false), Some(ticket("vm-2", OTHER_BOOT, 0))),
        RequestKind::UnlistedVmTicket => (service(false), Some(ticket("vm-9", OTHER_BOOT, 0))),
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

fn own_claim() -> Claim {
    claim("vm-1", BOOT, BODY, ClaimState::Held)
}

fn held(state: ClaimState) -> Step {
    let row = claim("vm-2", OTHER_BOOT, BODY, state);
    Step::Claim(ClaimResult::Found(Some((row, Version(5)))))
}

fn found(row: Claim) -> Step {
    Step::Claim(ClaimResult::Found(Some((row, Version(5)))))
}

fn written() -> Step {
    Step::Claim(ClaimResult::Written(Version(6)))
}

fn response() -> RecordedResponse {
    RecordedResponse {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: vec![0xff, 0x00, b'a'],
    }
}

fn complete() -> Step {
    let RecordedResponse {
        status,
        content_type,
        body,
    } = response();
    Step::End(AttemptOutcome::Complete {
        status,
        content_type,
        body,
    })
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
    Step::PeerSuspect(Suspect {
        fingerprint: BODY,
        targets: targets.iter().map(|t| (*t).to_owned()).collect(),
        age_ms: 0,
    })
}

/// The handover of the VM of a [`RequestKind::UnlistedVmTicket`].
fn handover(state: ClaimState, fingerprint: u64) -> Step {
    handover_of("vm-9", state, fingerprint)
}

fn handover_of(vm: &str, state: ClaimState, fingerprint: u64) -> Step {
    let run = TicketRun {
        minted: Millis(0),
        caller: "c".to_owned(),
        key: ticket(vm, OTHER_BOOT, 0),
        fingerprint,
        state,
    };
    handover_at(0, vec![run])
}

fn handover_at(stopped: u64, runs: Vec<TicketRun>) -> Step {
    let stopped = Millis(stopped);
    Step::Handover(Some(Handover { stopped, runs }))
}

/// Runs a case and returns the response to the last caller, the number of dispatches and the last
/// recorded state.
fn run(case: &Case) -> (Reply, usize, Option<ClaimState>) {
    let mut node = node();
    let (mut now, mut id, mut attempt) = (1, 1, None);
    let (mut reply, mut dispatches, mut recorded) = (Reply::Nothing, 0, None);
    let arrival = Step::Retry(BODY);
    let precedes = |s: &&Step| {
        matches!(
            s,
            Step::Close | Step::SpendRetries(_) | Step::PeerSuspect(_)
        )
    };
    let first = case.steps.iter().take_while(precedes).count();
    let (before, after) = case.steps.split_at(first);
    for step in before.iter().chain([&arrival]).chain(after) {
        let request = RequestId(id);
        let event = match step.clone() {
            Step::Claim(result) => Event::ClaimResult {
                id: request,
                result,
            },
            Step::ClaimStatus(status) => Event::ClaimStatus {
                id: request,
                status,
            },
            Step::End(outcome) => Event::AttemptEnded {
                id: request,
                attempt: attempt.expect(case.name),
                outcome,
            },
            Step::Forwarded(responded) => Event::Forwarded {
                id: request,
                responded,
            },
            Step::Handover(handover) => Event::HandoverRead {
                id: request,
                handover,
            },
            Step::SuspectsShared => Event::SuspectsShared { id: request },
            Step::PeerSuspect(suspect) => Event::SuspectsRead(vec![suspect]),
            Step::Close => Event::Close,
            Step::Wait(ms) => {
                now += ms;
                continue;
            }
            Step::SpendRetries(retries) => {
                spend_retries(&mut node, retries);
                continue;
            }
            Step::Retry(fingerprint) => {
                id += 1;
                reply = Reply::Nothing;
                let call = Call {
                    fingerprint,
                    deadline: Millis(now + DEADLINE),
                    explicit_deadline: true,
                    ..call(case.kind)
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
                Effect::Deliver { .. } => reply = Reply::Delivered,
                Effect::Replay {
                    response: given, ..
                } => {
                    assert_eq!(given, response(), "{}", case.name);
                    reply = Reply::Replayed;
                }
                Effect::Refuse { refusal, .. } => {
                    reply = Reply::Refused(refusal.kind, refusal.outcome);
                }
                Effect::SettleClaim { claim, .. } => recorded = Some(claim.state),
                Effect::ReleaseClaim { .. } => recorded = Some(ClaimState::Released),
                _ => {}
            }
        }
    }
    (reply, dispatches, recorded)
}

/// Spends retries of the budget on requests with another body.
fn spend_retries(node: &mut Node, retries: u32) {
    for n in 0..retries {
        let id = RequestId(1_000 + u64::from(n));
        let call = Call {
            fingerprint: 1,
            ..call(RequestKind::Lookup)
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

fn case(
    name: &'static str,
    kind: RequestKind,
    steps: Vec<Step>,
    reply: Reply,
    dispatches: usize,
) -> Case {
    Case {
        name,
        kind,
        steps,
        reply,
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
        let (reply, dispatches, record) = run(&case);
        assert_eq!(reply, case.reply, "{}", case.name);
        assert_eq!(dispatches, case.dispatches, "{}: dispatches", case.name);
        assert_eq!(record, case.recorded, "{}: record", case.name);
    }
}

const NOT_SENT: Step = Step::End(AttemptOutcome::NotSent);
const REJECTED: Step = Step::End(AttemptOutcome::Rejected);
const UNKNOWN: Step = Step::Claim(ClaimResult::Unknown);
const NOT_APPLIED: Step = Step::Claim(ClaimResult::NotApplied);
const UNREADABLE: Step = Step::Claim(ClaimResult::Unreadable);
const ABSENT: Step = Step::Claim(ClaimResult::Found(None));

#[test]
#[rustfmt::skip]
fn claimed_requests_run_at_most_once_and_report_their_outcome() {
    let done = || ClaimState::Done(response());
    let released = || ClaimState::Released;
    check(vec![
        recorded(case("runs", Keyed, vec![written(), complete()], Delivered, 1), done()),
        recorded(case("not sent", Keyed, vec![written(), NOT_SENT, complete()], Delivered, 2), done()),
        recorded(case("rejected", Keyed, vec![written(), REJECTED, complete()], Delivered, 2), done()),
        recorded(case("rejected by all", Keyed, vec![written(), REJECTED, REJECTED, REJECTED], Refused(NoTarget, NotRun), 3), released()),
        recorded(case("broken", Keyed, vec![written(), broken(0)], Refused(ResponseLost, Unknown), 1), ClaimState::Lost),
        recorded(case("crashed", Keyed, vec![written(), crashed()], Refused(ResponseLost, Unknown), 1), ClaimState::Lost),
        recorded(case("written too late", Keyed, vec![Step::Wait(DEADLINE), written()], Refused(TooLate, NotRun), 0), released()),
        case("store down", Keyed, vec![NOT_APPLIED], Refused(StoreDown, Unknown), 0),
        case("write unknown, found", Keyed, vec![UNKNOWN, found(claim_of(2))], Nothing, 1),
        case("write unknown, absent, written", Keyed, vec![UNKNOWN, ABSENT, written()], Nothing, 1),
        recorded(case("write unknown, row unreadable", Keyed, vec![UNKNOWN, UNREADABLE], Refused(StoreDown, Unknown), 0), released()),
        recorded(case("late table response to an abandoned claim", Keyed, vec![UNKNOWN, UNREADABLE, written(), found(claim_of(2))], Refused(StoreDown, Unknown), 0), released()),
        case("held, running", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Running)], Refused(InProgress, Unknown), 0),
        case("held, claimant unreachable", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Unreachable)], Refused(InProgress, Unknown), 0),
        case("held, claimant terminated", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Terminated)], Refused(RunLost, Unknown), 0),
        case("held, response lost", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Lost)], Refused(RunLost, Unknown), 0),
        case("held, done", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Done(response()))], Replayed, 0),
        case("held, released", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Released), written()], Nothing, 1),
        case("held, released, claimed by another VM meanwhile", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Released), held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Running)], Refused(InProgress, Unknown), 0),
        case("held, settled, done", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Settled), held(done())], Replayed, 0),
        case("held, settled, still held", Keyed, vec![held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Settled), held(ClaimState::Held), Step::ClaimStatus(ClaimStatus::Settled)], Refused(RunLost, Unknown), 0),
        case("held by an earlier boot of this VM", Keyed, vec![found(claim("vm-1", OTHER_BOOT, BODY, ClaimState::Held))], Refused(RunLost, Unknown), 0),
        case("held by a VM not listed", Keyed, vec![found(claim("vm-9", OTHER_BOOT, BODY, ClaimState::Held))], Refused(InProgress, Unknown), 0),
        case("recorded", Keyed, vec![held(done())], Replayed, 0),
        case("recorded as lost", Keyed, vec![held(ClaimState::Lost)], Refused(RunLost, Unknown), 0),
        case("recorded as released", Keyed, vec![held(released()), written()], Nothing, 1),
        case("another body", Keyed, vec![found(claim("vm-2", OTHER_BOOT, 1, done()))], Refused(KeyReused, NotRun), 0),
        case("closing", Keyed, vec![Step::Close], Refused(ShuttingDown, Unknown), 0),
        case("unkeyed broken", Unkeyed, vec![broken(0), complete()], Refused(ResponseLost, Unknown), 1),
        case("unkeyed rejected", Unkeyed, vec![REJECTED, complete()], Delivered, 2),
        case("unkeyed closing", Unkeyed, vec![Step::Close], Refused(ShuttingDown, NotRun), 0),
    ]);
}

/// The claim that the node wrote for its request `id`.
fn claim_of(id: u64) -> Claim {
    Claim {
        request: RequestId(id),
        ..own_claim()
    }
}

#[test]
#[rustfmt::skip]
fn tickets_run_only_on_the_vm_that_minted_them() {
    check(vec![
        case("runs", OwnTicket, vec![complete()], Delivered, 1),
        case("replayed", OwnTicket, vec![complete(), Step::Retry(BODY)], Replayed, 1),
        case("another body", OwnTicket, vec![complete(), Step::Retry(1)], Refused(KeyReused, NotRun), 1),
        case("running", OwnTicket, vec![Step::Retry(BODY)], Refused(InProgress, Unknown), 1),
        case("lost", OwnTicket, vec![broken(0), Step::Retry(BODY)], Refused(RunLost, Unknown), 1),
        case("lost now", OwnTicket, vec![broken(0)], Refused(ResponseLost, Unknown), 1),
        case("rejected by all", OwnTicket, vec![REJECTED, REJECTED, REJECTED], Refused(NoTarget, NotRun), 3),
        case("run after outcome not-run", OwnTicket, vec![REJECTED, REJECTED, REJECTED, Step::Retry(BODY), complete()], Delivered, 4),
        case("expired, but recorded", OwnTicket, vec![complete(), Step::Wait(600_000), Step::Retry(BODY)], Replayed, 1),
        case("closing, unused", OwnTicket, vec![Step::Close], Refused(ShuttingDown, NotRun), 0),
        case("closing, used", OwnTicket, vec![complete(), Step::Close, Step::Retry(BODY)], Replayed, 1),
        case("earlier boot", EarlierBootTicket, vec![Step::Handover(None)], Refused(RunLost, Unknown), 0),
        case("VM terminated", UnlistedVmTicket, vec![Step::Handover(None)], Refused(RunLost, Unknown), 0),
        case("VM stopped, done", UnlistedVmTicket, vec![handover(ClaimState::Done(response()), BODY)], Replayed, 0),
        case("VM stopped, lost", UnlistedVmTicket, vec![handover(ClaimState::Lost, BODY)], Refused(RunLost, Unknown), 0),
        case("VM stopped, another body", UnlistedVmTicket, vec![handover(ClaimState::Done(response()), 1)], Refused(KeyReused, NotRun), 0),
        case("VM stopped, unused", UnlistedVmTicket, vec![handover_at(0, Vec::new())], Refused(TicketExpired, NotRun), 0),
        case("VM stopped, record pruned", UnlistedVmTicket, vec![handover_at(600_000, Vec::new())], Refused(RunLost, Unknown), 0),
        case("earlier boot, done", EarlierBootTicket, vec![handover_of("vm-1", ClaimState::Done(response()), BODY)], Replayed, 0),
        case("other VM just stopped", OtherVmTicket, vec![Step::Forwarded(false), handover_of("vm-2", ClaimState::Done(response()), BODY)], Replayed, 0),
        case("other VM", OtherVmTicket, vec![Step::Forwarded(true)], Delivered, 0),
        case("other VM unreachable", OtherVmTicket, vec![Step::Forwarded(false), Step::Handover(None)], Refused(ResponseLost, Unknown), 0),
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
fn idempotent_requests_are_retried_within_the_retry_budget() {
    check(vec![
        case("complete", Generate, vec![complete()], Delivered, 1),
        case("resumed", Generate, vec![broken(4), complete()], Delivered, 2),
        case("broken three times", Generate, vec![broken(0), broken(0), broken(0)], Refused(NoTarget, Unknown), 3),
        // The last attempt was not sent, but an earlier one may have run.
        case("broken, then not sent", Generate, vec![broken(0), NOT_SENT, NOT_SENT], Refused(NoTarget, Unknown), 3),
        case("not sent three times", Generate, vec![NOT_SENT, NOT_SENT, NOT_SENT], Refused(NoTarget, NotRun), 3),
        case("budget exhausted", Generate, vec![Step::SpendRetries(3), REJECTED], Refused(Overloaded, NotRun), 1),
        case("budget exhausted, may have run", Lookup, vec![Step::SpendRetries(3), broken(0)], Refused(Overloaded, Unknown), 1),
        case("late", Lookup, vec![Step::Wait(DEADLINE), broken(0)], Refused(TooLate, Unknown), 1),
        case("late stream", Generate, vec![Step::Wait(DEADLINE), broken(3), complete()], Delivered, 2),
        case("closing", Lookup, vec![Step::Close], Refused(ShuttingDown, NotRun), 0),
        case("running while closing", Generate, vec![Step::Wait(1), complete(), Step::Wait(1)], Delivered, 1),
    ]);
}

#[test]
#[rustfmt::skip]
fn a_body_that_crashes_two_targets_is_refused() {
    check(vec![
        case("one crash", Generate, vec![crashed(), Step::SuspectsShared, complete()], Delivered, 2),
        case("two crashes", Generate, vec![crashed(), Step::SuspectsShared, crashed()], Refused(Poison, Unknown), 2),
        case("a peer recorded another crash", Generate, vec![crashed(), suspect(&["engine-9"]), Step::SuspectsShared], Refused(Poison, Unknown), 1),
        case("known from peers", Generate, vec![suspect(&["engine-1", "engine-2"])], Refused(Poison, NotRun), 0),
        case("one crash known, suspects exchanged first", Generate, vec![suspect(&["engine-1"])], Nothing, 0),
        case("one crash known, dispatched", Generate, vec![suspect(&["engine-1"]), Step::SuspectsShared], Nothing, 1),
        case("same target twice", Generate, vec![suspect(&["engine-9"]), suspect(&["engine-9"]), Step::SuspectsShared], Nothing, 1),
        case("expired", Generate, vec![crashed(), Step::SuspectsShared, crashed(), Step::Wait(300_000), Step::Retry(BODY)], Nothing, 3),
        case("retried", Generate, vec![crashed(), Step::SuspectsShared, crashed(), Step::Retry(BODY)], Refused(Poison, NotRun), 2),
        case("target down, peer crash known meanwhile", Generate, vec![crashed(), Step::SuspectsShared, suspect(&["engine-9"]), Step::End(AttemptOutcome::NotSent)], Refused(Poison, Unknown), 2),
        case("all targets down, peers know of a crash", Generate, vec![crashed(), Step::SuspectsShared, Step::End(AttemptOutcome::NotSent), Step::End(AttemptOutcome::NotSent), suspect(&["engine-9"]), Step::SuspectsShared], Refused(Poison, Unknown), 3),
        case("all targets down, no peer knows of a crash", Generate, vec![crashed(), Step::SuspectsShared, Step::End(AttemptOutcome::NotSent), Step::End(AttemptOutcome::NotSent), Step::SuspectsShared], Refused(NoTarget, Unknown), 3),
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
    // The budget allows three retries in total.
    assert_eq!(dispatches, requests + 3);
}
