//! The bytes that a caller gets of a call, over generated sequences of what its runs come to.

mod support;

#[path = "../../rw-gate/tests/support/mod.rs"]
mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use rw_gate::{
    Delegation, DelegationOutcome, Delivered, Dispatch, DispatchMode, DispatchOutcome, Effect,
    Event, GateSettings, KvHandle, Refusal, RefusalKind,
};
use rw_relay::{
    EventRun, Framing, HeaderField, ResponseEnd, ResponseHead, ResponseWriter, StreamError,
};
use rw_types::RequestId;
use smol::future::poll_once;
use support::{Received, Wire, read_response};
use world::{World, generation, nodes_listed, request};

/// Events of a whole stream.
const EVENTS: u64 = 5;
/// Bytes that are written of a write that is abandoned.
const HALF_WRITE: usize = 3;
/// Length of the end of a chunked body.
const LAST_CHUNK: usize = 5;
/// Length of a long body.
const LONG_BODY: usize = 20;

/// What a run, or a call that is passed to another node, comes to.
#[derive(Debug, Clone, Copy)]
enum Step {
    NotSent,
    Rejected,
    /// It breaks off before its response begins.
    Broken,
    TimedOut,
    /// A complete response that is held until the gate decides.
    Whole(u16),
    /// A body that is passed on as it arrives: its length if declared, and the bytes that come of it.
    Body {
        declared: bool,
        sent: usize,
    },
    Stream(Stream),
    /// The caller leaves, with a write half done if one was to be made.
    CallerLeaves,
}

/// A stream of events.
#[derive(Debug, Clone, Copy)]
struct Stream {
    status: u16,
    /// Whether it begins after the event that is asked for, rather than with the first one.
    resumes: bool,
    /// Number of its first events that have no identifier.
    unnamed: u64,
    /// Number of events that come.
    count: u64,
    end: StreamEnd,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Broken,
    TimedOut,
    /// Breaks off while an event is written.
    InWrite,
}

fn stream() -> impl Strategy<Value = Stream> {
    let status = prop_oneof![9 => Just(200_u16), 1 => Just(201)];
    let end = prop_oneof![
        3 => Just(StreamEnd::Broken),
        3 => Just(StreamEnd::Complete),
        1 => Just(StreamEnd::TimedOut),
        1 => Just(StreamEnd::InWrite),
    ];
    let resumes = prop::bool::weighted(0.8);
    let unnamed = prop_oneof![3 => Just(0), 1 => 1..=2_u64];
    let events = (unnamed, 0..=EVENTS);
    (status, resumes, events, end).prop_map(|(status, resumes, (unnamed, count), end)| Stream {
        status,
        resumes,
        unnamed,
        count,
        end,
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::NotSent),
        1 => Just(Step::Rejected),
        1 => Just(Step::Broken),
        1 => Just(Step::TimedOut),
        3 => prop::sample::select(vec![200_u16, 404, 500, 503, 504]).prop_map(Step::Whole),
        2 => (any::<bool>(), 0..=LONG_BODY).prop_map(|(declared, sent)| Step::Body { declared, sent }),
        9 => stream().prop_map(Step::Stream),
        1 => Just(Step::CallerLeaves),
    ]
}

/// A call on its way, and what its caller has got.
struct Play {
    world: World,
    id: RequestId,
    wire: Wire,
    out: ResponseWriter<Wire>,
    /// Body of the complete response that is held.
    held: Option<(ResponseHead, Vec<u8>)>,
    /// Number of the run, which is in each of its bodies.
    run: usize,
    has_left: bool,
}

/// What the gate wants next.
enum Next {
    Dispatch(Box<Dispatch>),
    Delegate(Box<Delegation>),
    Deliver,
    Refuse(Refusal),
    End,
}

fn next(effects: Vec<Effect>) -> Next {
    let mut wanted = effects.into_iter().filter_map(|effect| match effect {
        Effect::Dispatch { dispatch, .. } => Some(Next::Dispatch(Box::new(dispatch))),
        Effect::Delegate { delegation, .. } => Some(Next::Delegate(Box::new(delegation))),
        Effect::Deliver { .. } => Some(Next::Deliver),
        Effect::Refuse { refusal, .. } => Some(Next::Refuse(refusal)),
        _ => None,
    });
    wanted.next_back().unwrap_or(Next::End)
}

fn head(status: u16, content_type: &str, framing: Framing) -> ResponseHead {
    ResponseHead {
        status,
        headers: vec![HeaderField {
            name: "content-type".to_owned(),
            value: content_type.to_owned(),
        }],
        framing,
        keep_alive: true,
    }
}

/// How a run ended, for the gate.
enum RunEnd {
    Whole(u16),
    Delivered,
    Broken,
    TimedOut,
    NotSent,
    Rejected,
    Prefilled,
}

impl Play {
    fn start(path: &str) -> (Self, Next) {
        let mut world = World::with(GateSettings {
            vm: "vm-000".to_owned(),
            centre: "x".to_owned(),
            retry_slack: 1_000.0,
            ..GateSettings::default()
        });
        world.step(nodes_listed(3));
        for vm in ["vm-001", "vm-002"] {
            world.step(Event::DigestReceived(rw_gate::Digest {
                vm: vm.to_owned(),
                connected_ms: 5_000,
                ..rw_gate::Digest::default()
            }));
        }
        let call = match path.starts_with("/brief/long") {
            true => generation(path, (1, 5_000), (2, 8_000)),
            false => request(path),
        };
        let (id, effects) = world.arrive(call);
        let wire = Wire::default();
        let play = Self {
            world,
            id,
            out: ResponseWriter::new(wire.clone(), "GET", false),
            wire,
            held: None,
            run: 0,
            has_left: false,
        };
        (play, next(effects))
    }

    /// Plays one step.
    fn play(&mut self, wanted: &Next, step: Step) -> Next {
        let (is_prefill, resumable, after) = match wanted {
            Next::Dispatch(d) => (d.mode == DispatchMode::Prefill, d.resumable, d.resume_after),
            Next::Delegate(d) => (false, d.resumable, d.call.resume_after),
            _ => return Next::End,
        };
        let begun = self.wire.bytes.borrow().len();
        let end = match is_prefill {
            true => prefill(step),
            false => smol::block_on(self.respond(step, resumable, after)),
        };
        if begun > 0 && matches!(end, RunEnd::Delivered) {
            let added = self.wire.bytes.borrow().len() - begun;
            assert!(added > LAST_CHUNK, "a stream ends without a new event");
        }
        if self.has_left {
            return next(self.world.step(Event::CallerDisconnected { id: self.id }));
        }
        let event = match wanted {
            Next::Delegate(_) => Event::DelegationEnded {
                id: self.id,
                outcome: delegation_outcome(&end, self.out.delivered()),
            },
            _ => Event::DispatchEnded {
                id: self.id,
                outcome: dispatch_outcome(&end, self.out.delivered()),
            },
        };
        next(self.world.step(event))
    }

    async fn respond(&mut self, step: Step, resumable: bool, after: Option<u64>) -> RunEnd {
        self.run += 1;
        match step {
            Step::NotSent => RunEnd::NotSent,
            Step::Rejected => RunEnd::Rejected,
            Step::Broken => RunEnd::Broken,
            Step::TimedOut => RunEnd::TimedOut,
            Step::CallerLeaves => {
                self.has_left = true;
                RunEnd::Broken
            }
            Step::Whole(status) => {
                let head = head(status, "text/plain", Framing::Length(4));
                self.held = Some((head, format!("run{}", self.run).into_bytes()));
                RunEnd::Whole(status)
            }
            Step::Body { declared, sent } => self.body(declared, sent).await,
            Step::Stream(stream) => self.stream(stream, resumable, after).await,
        }
    }

    async fn body(&mut self, declared: bool, sent: usize) -> RunEnd {
        let framing = match declared {
            true => Framing::Length(LONG_BODY as u64),
            false => Framing::Chunked,
        };
        let head = head(200, "text/plain", framing);
        let Some(mut body) = self.out.body(&head) else {
            return RunEnd::Whole(200);
        };
        let letter = vec![b'a' + self.run as u8; sent];
        if !letter.is_empty() && body.write(&letter).await.is_err() {
            return RunEnd::Broken;
        }
        match sent == LONG_BODY && body.finish().await.is_ok() {
            true => RunEnd::Delivered,
            false => RunEnd::Broken,
        }
    }

    async fn stream(&mut self, stream: Stream, resumable: bool, after: Option<u64>) -> RunEnd {
        let head = head(stream.status, "text/event-stream", Framing::Chunked);
        let Some(mut run) = EventRun::new(&mut self.out, &head, resumable, after) else {
            return RunEnd::Whole(stream.status);
        };
        let first = after.filter(|_| stream.resumes).unwrap_or(0) + 1;
        let all = (first..=EVENTS).take(stream.count as usize);
        for id in all {
            let event = match id >= first + stream.unnamed {
                true => format!("id: {id}\ndata: d\n\n"),
                false => "data: d\n\n".to_owned(),
            };
            let Ok(events) = run.take(event.as_bytes()) else {
                return RunEnd::Whole(stream.status);
            };
            if !events.is_empty() {
                self.world.gate.step(
                    rw_types::Millis(self.world.now),
                    Event::StreamBegun { id: self.id },
                );
                let is_last = id + 1 == first + stream.count;
                if is_last && stream.end == StreamEnd::InWrite {
                    self.wire.room.set(Some(HALF_WRITE));
                    let abandoned = poll_once(run.write(&events)).await;
                    self.wire.room.set(None);
                    assert!(abandoned.is_none(), "the write is abandoned");
                    return RunEnd::Broken;
                }
                if run.write(&events).await.is_err() {
                    return RunEnd::Broken;
                }
            }
        }
        match stream.end {
            StreamEnd::Complete => match run.finish().await {
                Ok(()) => RunEnd::Delivered,
                Err(StreamError::Unrelated) => RunEnd::Whole(stream.status),
                Err(_) => RunEnd::Broken,
            },
            StreamEnd::Broken | StreamEnd::InWrite => RunEnd::Broken,
            StreamEnd::TimedOut => RunEnd::TimedOut,
        }
    }

    /// Carries out the gate's last word, as the relay does.
    fn end(&mut self, wanted: &Next) {
        let written = match (wanted, &self.held) {
            (Next::Deliver, Some((head, body))) => smol::block_on(self.out.write_full(head, body)),
            (Next::Refuse(refusal), _) if !self.out.is_started() => {
                let status = refusal.kind.status().unwrap_or(502);
                smol::block_on(self.out.write_refusal(status, refusal))
            }
            _ => Ok(()),
        };
        assert!(
            written.is_ok(),
            "the gate ended a call against its response"
        );
    }
}

fn prefill(step: Step) -> RunEnd {
    match step {
        Step::NotSent => RunEnd::NotSent,
        Step::Rejected => RunEnd::Rejected,
        Step::Broken | Step::CallerLeaves => RunEnd::Broken,
        Step::TimedOut => RunEnd::TimedOut,
        Step::Whole(_) | Step::Body { .. } | Step::Stream(_) => RunEnd::Prefilled,
    }
}

fn dispatch_outcome(end: &RunEnd, delivered: Delivered) -> DispatchOutcome {
    match end {
        RunEnd::Whole(status) => DispatchOutcome::Complete { status: *status },
        RunEnd::Delivered => DispatchOutcome::Delivered,
        RunEnd::Broken => DispatchOutcome::Broken {
            crashed: false,
            delivered,
        },
        RunEnd::TimedOut => DispatchOutcome::TimedOut { delivered },
        RunEnd::NotSent => DispatchOutcome::NotSent,
        RunEnd::Rejected => DispatchOutcome::Rejected { status: 503 },
        RunEnd::Prefilled => DispatchOutcome::Prefilled(KvHandle {
            addr: "127.0.0.1:1".to_owned(),
            name: "h".to_owned(),
        }),
    }
}

fn delegation_outcome(end: &RunEnd, delivered: Delivered) -> DelegationOutcome {
    match end {
        RunEnd::Whole(_) | RunEnd::Prefilled => DelegationOutcome::Complete,
        RunEnd::Delivered => DelegationOutcome::Delivered,
        RunEnd::Broken => DelegationOutcome::Broken { delivered },
        RunEnd::TimedOut => DelegationOutcome::TimedOut { delivered },
        RunEnd::NotSent => DelegationOutcome::NotSent,
        RunEnd::Rejected => DelegationOutcome::Refused(Refusal {
            kind: RefusalKind::NoTarget,
            retry_ms: 100,
            estimate_ms: 0,
        }),
    }
}

/// Whether a complete body is a whole answer, one letter, or events in their order.
fn is_one_body(body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let is_answer = text.starts_with("run") && body.len() == 4;
    let is_letter = body.windows(2).all(|w| w[0] == w[1]);
    is_answer || is_letter || text.starts_with("{\"error\"") || is_one_stream(&text)
}

/// Whether all events are there once, where those without an identifier can only be the first ones.
fn is_one_stream(text: &str) -> bool {
    let events = text.split_terminator("\n\n");
    let ids = events.map(|e| {
        e.strip_suffix("data: d")?
            .trim()
            .strip_prefix("id: ")?
            .parse()
            .ok()
    });
    let named: Vec<Option<u64>> = ids.skip_while(Option::is_none).collect();
    named
        .windows(2)
        .all(|w| w[0].is_some() && w[1] == w[0].map(|id| id + 1))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6_000,
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_caller_gets_one_response_or_one_that_is_visibly_cut(
        path in prop_oneof![
            6 => prop::sample::select(vec!["/brief/1", "/brief/long"]),
            3 => prop::sample::select(vec!["/safe/1", "/once/1", "/chat/1"]),
        ],
        steps in prop::collection::vec(step(), 1..8),
    ) {
        let (mut play, mut wanted) = Play::start(path);
        for step in steps {
            play.world.now += 10;
            if !matches!(wanted, Next::Dispatch(_) | Next::Delegate(_)) {
                break;
            }
            prop_assert!(play.out.delivered() != Delivered::Part, "a run that can't be of use");
            wanted = play.play(&wanted, step);
        }
        play.end(&wanted);
        let is_open = matches!(wanted, Next::Dispatch(_) | Next::Delegate(_));
        let bytes = play.wire.bytes.borrow();
        match (play.out.end(), read_response(&bytes)) {
            (ResponseEnd::Complete, Received::Whole { body, rest: 0, .. }) => {
                prop_assert!(is_one_body(&body), "{}", String::from_utf8_lossy(&body));
            }
            (ResponseEnd::Cut, Received::Cut) => {}
            (ResponseEnd::Unwritten, Received::Nothing) => {
                prop_assert!(is_open || play.has_left, "a call without a response");
            }
            (end, received) => prop_assert!(false, "{end:?}, {received:?}: {}", String::from_utf8_lossy(&bytes)),
        }
    }
}
