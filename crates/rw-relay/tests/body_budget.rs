//! Room for the bodies of requests.

use rw_relay::{BodyBudget, BodyRoom};
use smol::future::{block_on, poll_once};
use std::{future::Future, pin::Pin};

const KB: usize = 1 << 10;
/// Large bodies leave a quarter of it to small ones.
const TOTAL: usize = 4_000 * KB;

/// What happens to the budget.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request asks for room; requests are numbered in this order.
    Ask(usize),
    /// The body of a request grows to this size, or can't.
    Grow(usize, usize, bool),
    /// A request ends or leaves the queue.
    End(usize),
    /// The budget is changed.
    Total(usize),
}
use Step::{Ask, End, Grow, Total};

/// State of a request.
enum Request<'a> {
    Waiting(Pin<Box<dyn Future<Output = BodyRoom> + 'a>>),
    Holding(BodyRoom),
    Ended,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Requests that hold room in the end, and those that wait.
    holding: &'static [usize],
    waiting: &'static [usize],
    held: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "bodies fit",
        steps: &[Ask(1_000 * KB), Ask(2_000 * KB), Ask(10 * KB)],
        holding: &[0, 1, 2],
        waiting: &[],
        held: 3_010 * KB,
    },
    Case {
        name: "a large one waits, though the part for small ones is free",
        steps: &[Ask(2_000 * KB), Ask(1_001 * KB)],
        holding: &[0],
        waiting: &[1],
        held: 2_000 * KB,
    },
    Case {
        name: "small ones go on while large ones wait",
        steps: &[Ask(3_000 * KB), Ask(3_000 * KB), Ask(64 * KB), Ask(KB)],
        holding: &[0, 2, 3],
        waiting: &[1],
        held: 3_065 * KB,
    },
    Case {
        name: "a large one doesn't pass a larger one that waits",
        steps: &[Ask(2_000 * KB), Ask(1_500 * KB), Ask(100 * KB)],
        holding: &[0],
        waiting: &[1, 2],
        held: 2_000 * KB,
    },
    Case {
        name: "those that wait get room in their order",
        steps: &[
            Ask(3_000 * KB),
            Ask(1_500 * KB),
            Ask(1_000 * KB),
            Ask(1_000 * KB),
            End(0),
        ],
        holding: &[1, 2],
        waiting: &[3],
        held: 2_500 * KB,
    },
    Case {
        name: "those behind one that leaves move up",
        steps: &[Ask(2_000 * KB), Ask(1_500 * KB), Ask(100 * KB), End(1)],
        holding: &[0, 2],
        waiting: &[],
        held: 2_100 * KB,
    },
    Case {
        name: "no body needs no room",
        steps: &[Ask(4_000 * KB), Ask(KB), Ask(0)],
        holding: &[0, 2],
        waiting: &[1],
        held: 4_000 * KB,
    },
    Case {
        name: "one larger than the part for large ones is held alone",
        steps: &[Ask(3_500 * KB), Ask(100 * KB), End(0)],
        holding: &[1],
        waiting: &[],
        held: 100 * KB,
    },
    Case {
        name: "a body grows within the budget",
        steps: &[Ask(64 * KB), Grow(0, 3_000 * KB, true), Ask(100 * KB)],
        holding: &[0],
        waiting: &[1],
        held: 3_000 * KB,
    },
    Case {
        name: "a body that can't grow keeps its room",
        steps: &[
            Ask(3_000 * KB),
            Ask(64 * KB),
            Grow(1, 128 * KB, false),
            Grow(1, 32 * KB, true),
        ],
        holding: &[0, 1],
        waiting: &[],
        held: 3_064 * KB,
    },
    Case {
        name: "all is free after growth and ends in any order",
        steps: &[
            Ask(64 * KB),
            Ask(64 * KB),
            Grow(0, 2_000 * KB, true),
            Ask(3_000 * KB),
            Ask(3_000 * KB),
            End(1),
            End(3),
            End(0),
            End(2),
        ],
        holding: &[],
        waiting: &[],
        held: 0,
    },
    Case {
        name: "a larger budget admits those that wait",
        steps: &[Ask(3_000 * KB), Ask(3_000 * KB), Total(8_000 * KB)],
        holding: &[0, 1],
        waiting: &[],
        held: 6_000 * KB,
    },
    Case {
        name: "a smaller budget takes nothing away",
        steps: &[Ask(3_000 * KB), Total(1_000 * KB), Ask(KB)],
        holding: &[0],
        waiting: &[1],
        held: 3_000 * KB,
    },
];

fn poll(requests: &mut [Request<'_>]) {
    for request in requests {
        if let Request::Waiting(room) = request
            && let Some(room) = block_on(poll_once(room))
        {
            *request = Request::Holding(room);
        }
    }
}

fn matching(requests: &[Request<'_>], is: impl Fn(&Request<'_>) -> bool) -> Vec<usize> {
    let found = requests.iter().enumerate().filter(|(_, r)| is(r));
    found.map(|(i, _)| i).collect()
}

#[test]
fn bodies_get_room_in_their_order_and_give_it_back() {
    for case in CASES {
        let budget = BodyBudget::new(TOTAL);
        let mut requests = Vec::new();
        for step in case.steps {
            match *step {
                Ask(bytes) => requests.push(Request::Waiting(Box::pin(budget.reserve(bytes)))),
                End(i) => requests[i] = Request::Ended,
                Total(bytes) => budget.set_total(bytes),
                Grow(i, bytes, fits) => {
                    let Request::Holding(room) = &mut requests[i] else {
                        panic!("{}: {i} holds nothing", case.name);
                    };
                    assert_eq!(room.grow_to(bytes), fits, "{}", case.name);
                }
            }
            poll(&mut requests);
        }
        let holding = matching(&requests, |r| matches!(r, Request::Holding(_)));
        let waiting = matching(&requests, |r| matches!(r, Request::Waiting(_)));
        assert_eq!(holding, case.holding, "{}", case.name);
        assert_eq!(waiting, case.waiting, "{}", case.name);
        assert_eq!(budget.waiting(), waiting.len(), "{}", case.name);
        assert_eq!(budget.held(), case.held, "{}", case.name);
        drop(requests);
        let left = (budget.held(), budget.waiting());
        assert_eq!(left, (0, 0), "{}", case.name);
    }
}

/// Guards against a node that holds more than its budget, keeps room of requests that have ended, or
/// leaves a request waiting for ever.
#[test]
fn any_order_of_requests_keeps_the_budget_and_serves_all() {
    const LARGEST: usize = 1_000 * KB;
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let budget = BodyBudget::new(TOTAL);
        let mut requests: Vec<Request<'_>> = Vec::new();
        for _ in 0..200 {
            let i = rng.usize(..=requests.len());
            match requests.get_mut(i) {
                Some(Request::Holding(room)) if rng.bool() => {
                    let _may_not_fit = room.grow_to(rng.usize(..LARGEST));
                }
                Some(request) if rng.bool() => *request = Request::Ended,
                _ => {
                    let largest = if rng.bool() { 64 * KB } else { LARGEST };
                    let bytes = rng.usize(..largest);
                    requests.push(Request::Waiting(Box::pin(budget.reserve(bytes))));
                }
            }
            if rng.bool() {
                poll(&mut requests);
            }
            assert!(budget.held() <= TOTAL, "seed {seed}: {}", budget.held());
        }
        // Requests that hold room end until all were served.
        for _ in 0..requests.len() {
            poll(&mut requests);
            let holding = matching(&requests, |r| matches!(r, Request::Holding(_)));
            if let Some(i) = holding.first() {
                requests[*i] = Request::Ended;
            }
        }
        let waiting = matching(&requests, |r| matches!(r, Request::Waiting(_)));
        assert_eq!(waiting, [0; 0], "seed {seed}");
        assert_eq!((budget.held(), budget.waiting()), (0, 0), "seed {seed}");
    }
}
