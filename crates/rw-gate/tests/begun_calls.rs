//! Calls whose response has begun: they end cut off, whatever answers come after.

mod support;

use rw_gate::{Delivered, DispatchOutcome, Effect, RefusalKind};
use support::*;

const BROKEN_IN_STREAM: DispatchOutcome = DispatchOutcome::Broken {
    crashed: false,
    delivered: Delivered::Events(4),
};

const FAILED: DispatchOutcome = DispatchOutcome::Complete { status: 500 };

#[test]
fn no_answer_is_delivered_into_a_response_that_has_begun() {
    struct Case {
        name: &'static str,
        outcomes: &'static [DispatchOutcome],
    }
    let cases = [
        Case {
            name: "a failure of the run that resumes it",
            outcomes: &[BROKEN_IN_STREAM, FAILED],
        },
        Case {
            name: "a failure that isn't retried",
            outcomes: &[BROKEN_IN_STREAM, DispatchOutcome::Complete { status: 404 }],
        },
        Case {
            name: "a whole answer",
            outcomes: &[BROKEN_IN_STREAM, DispatchOutcome::Complete { status: 200 }],
        },
        Case {
            name: "a rejection by all",
            outcomes: &[
                BROKEN_IN_STREAM,
                DispatchOutcome::Rejected { status: 503 },
                DispatchOutcome::Rejected { status: 503 },
                DispatchOutcome::Rejected { status: 503 },
            ],
        },
        Case {
            name: "a failure that was kept before it began",
            outcomes: &[FAILED, BROKEN_IN_STREAM],
        },
        Case {
            name: "a time-out after a failure that was kept",
            outcomes: &[
                FAILED,
                DispatchOutcome::TimedOut {
                    delivered: Delivered::Part,
                },
            ],
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (id, mut effects) = world.arrive(request("/brief/1"));
        for outcome in case.outcomes {
            let is_delivered = effects.iter().any(|e| matches!(e, Effect::Deliver { .. }));
            assert!(!is_delivered, "{}: {outcome:?}", case.name);
            if dispatch(&effects).is_some() {
                effects = world.end(id, outcome.clone());
            }
        }
        let end = refused(&effects);
        assert_eq!(
            end,
            Some(RefusalKind::Truncated),
            "{}: {effects:?}",
            case.name
        );
    }
}
