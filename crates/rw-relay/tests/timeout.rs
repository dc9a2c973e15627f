//! Timeouts for the other side of a connection while this process stands still.

use rw_relay::running_timeout;
use smol::{LocalExecutor, Timer, future};
use std::{
    thread,
    time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_millis(400);
/// Time from a timer that is due to the next poll of the reactor, and more.
const SECOND_LOOK: Duration = Duration::from_millis(5);

#[test]
fn a_stall_of_this_process_does_not_pass_for_one_of_the_other_side() {
    struct Case {
        name: &'static str,
        /// Time for which the thread stands still after the work has begun.
        stall: Duration,
        /// Time that the work takes.
        work: Duration,
        is_done: bool,
    }
    let cases = [
        Case {
            name: "done during a stall of more than the limit",
            stall: Duration::from_millis(600),
            work: Duration::from_millis(10),
            is_done: true,
        },
        Case {
            name: "not done in time, with a stall",
            stall: Duration::from_millis(600),
            work: Duration::from_secs(10),
            is_done: false,
        },
        Case {
            name: "not done in time, without one",
            stall: Duration::ZERO,
            work: Duration::from_millis(800),
            is_done: false,
        },
        Case {
            name: "done in time",
            stall: Duration::ZERO,
            work: Duration::from_millis(200),
            is_done: true,
        },
    ];
    for case in cases {
        let executor = LocalExecutor::new();
        let work = async {
            Timer::after(case.work).await;
            // As an event of a socket, it is noticed only once the reactor is polled again.
            Timer::after(SECOND_LOOK).await;
        };
        let started = Instant::now();
        let running = executor.spawn(running_timeout(LIMIT, work));
        executor
            .spawn(async move { thread::sleep(case.stall) })
            .detach();
        let done = future::block_on(executor.run(running));
        assert_eq!(done.is_some(), case.is_done, "{}", case.name);
        let took = started.elapsed();
        let is_early = done.is_none() && took < LIMIT;
        assert!(!is_early, "{}: given up after {took:?}", case.name);
    }
}
