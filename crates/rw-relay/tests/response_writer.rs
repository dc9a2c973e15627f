//! What the writer of a response lets through to a caller.

use rw_gate::{Delivered, Refusal, RefusalKind};
use rw_relay::{Framing, ResponseEnd, ResponseHead, ResponseWriter};

type Writer = ResponseWriter<Vec<u8>>;

fn head(status: u16, framing: Framing) -> ResponseHead {
    ResponseHead {
        status,
        headers: Vec::new(),
        framing,
        keep_alive: true,
    }
}

const REFUSAL: Refusal = Refusal {
    kind: RefusalKind::NoTarget,
    retry_ms: 100,
    estimate_ms: 0,
};

/// Something that may be written of a response.
#[derive(Debug, Clone, Copy)]
enum Step {
    Full,
    Refusal,
    /// A body of `declared` bytes, or in chunks, of which `sent` bytes are written.
    Body {
        declared: Option<u64>,
        sent: usize,
        is_finished: bool,
    },
    /// Events with this status, after which another run may go on.
    Events {
        status: u16,
        last: Option<u64>,
        is_finished: bool,
    },
}

/// Writes a step; an error or a refused writer ends the response.
async fn write(out: &mut Writer, step: Step) {
    let framing = match step {
        Step::Body {
            declared: Some(n), ..
        } => Framing::Length(n),
        _ => Framing::Chunked,
    };
    let status = match step {
        Step::Events { status, .. } => status,
        _ => 200,
    };
    let head = head(status, framing);
    let _may_be_refused = match step {
        Step::Full => out.write_full(&head, b"text").await,
        Step::Refusal => out.write_refusal(503, &REFUSAL).await,
        Step::Body {
            sent, is_finished, ..
        } => match out.body(&head) {
            Some(mut body) => {
                let written = body.write(&vec![b'b'; sent]).await;
                match is_finished && written.is_ok() {
                    true => body.finish().await,
                    false => written,
                }
            }
            None => Ok(()),
        },
        Step::Events {
            last, is_finished, ..
        } => match out.events(&head) {
            Some(mut events) => {
                let written = events.write(b"data: d\n\n", last).await;
                match is_finished {
                    true => events.finish(b"").await,
                    false => written,
                }
            }
            None => Ok(()),
        },
    };
}

const STREAM: Step = Step::Events {
    status: 200,
    last: Some(1),
    is_finished: false,
};
const LAST_EVENTS: Step = Step::Events {
    status: 200,
    last: Some(2),
    is_finished: true,
};
const PART: Step = Step::Body {
    declared: Some(9),
    sent: 4,
    is_finished: false,
};
const CHUNKS: Step = Step::Body {
    declared: None,
    sent: 4,
    is_finished: false,
};
const WHOLE: Step = Step::Body {
    declared: Some(9),
    sent: 9,
    is_finished: true,
};

#[test]
fn a_caller_gets_bytes_of_one_response_only() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        end: ResponseEnd,
        delivered: Delivered,
        body: u64,
    }
    let case = |name, steps, end, delivered, body| Case {
        name,
        steps,
        end,
        delivered,
        body,
    };
    let (cut, conflict) = (ResponseEnd::Cut, ResponseEnd::Conflict);
    let (nothing, part) = (Delivered::Nothing, Delivered::Part);
    let cases = [
        case("nothing", &[], ResponseEnd::Unwritten, nothing, 0),
        case("the whole length", &[WHOLE], ResponseEnd::Complete, part, 9),
        case("a part of the length", &[PART], cut, part, 4),
        case("chunks without a last one", &[CHUNKS], cut, part, 4),
        case("events", &[STREAM], cut, Delivered::Events(1), 9),
        case(
            "events of two runs",
            &[STREAM, LAST_EVENTS],
            ResponseEnd::Complete,
            part,
            18,
        ),
        case(
            "a second response",
            &[Step::Full, Step::Full],
            conflict,
            part,
            4,
        ),
        case(
            "a refusal after a response",
            &[Step::Full, Step::Refusal],
            conflict,
            part,
            4,
        ),
        case(
            "a full response inside events",
            &[STREAM, Step::Full],
            conflict,
            part,
            9,
        ),
        case(
            "a refusal inside a body",
            &[PART, Step::Refusal],
            conflict,
            part,
            4,
        ),
        case("the body of another run", &[PART, WHOLE], cut, part, 4),
        case(
            "a body inside events",
            &[STREAM, WHOLE],
            cut,
            Delivered::Events(1),
            9,
        ),
        case("events inside a body", &[CHUNKS, LAST_EVENTS], cut, part, 4),
        case(
            "events of another status",
            &[
                STREAM,
                Step::Events {
                    status: 201,
                    last: Some(2),
                    is_finished: true,
                },
            ],
            cut,
            Delivered::Events(1),
            9,
        ),
        case(
            "events after one that no run may go on from",
            &[
                Step::Events {
                    status: 200,
                    last: None,
                    is_finished: false,
                },
                LAST_EVENTS,
            ],
            cut,
            part,
            9,
        ),
        case(
            "more than the length",
            &[Step::Body {
                declared: Some(3),
                sent: 4,
                is_finished: true,
            }],
            conflict,
            part,
            0,
        ),
        case(
            "less than the length, said to be all",
            &[Step::Body {
                declared: Some(9),
                sent: 4,
                is_finished: true,
            }],
            conflict,
            part,
            4,
        ),
    ];
    for case in cases {
        let mut out = Writer::new(Vec::new(), "GET", false);
        smol::block_on(async {
            for step in case.steps {
                write(&mut out, *step).await;
            }
        });
        let seen = (out.end(), out.delivered(), out.written().body);
        assert_eq!(seen, (case.end, case.delivered, case.body), "{}", case.name);
    }
}
