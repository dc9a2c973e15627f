//! Batching of the fake engine, on a simulated clock.

use rw_fakes::{Batch, BatchSettings, Job, TokenEvent};
use rw_types::Role;

fn settings(role: Role) -> BatchSettings {
    BatchSettings {
        role,
        base_us: 40_000.0,
        token_us: 50.0,
        stream_us: 250.0,
        slots: 16,
        chunk: 1_000,
        blocks: 40,
        change_us: 3_000_000,
    }
}

fn job(id: u64, prompt: u64, output: u64) -> Job {
    Job {
        id,
        prompt,
        output,
        ..Job::default()
    }
}

/// Advances the batch until it is idle and returns the emitted tokens with their times.
fn drain(batch: &mut Batch) -> Vec<(u64, TokenEvent)> {
    let mut out = Vec::new();
    while let Some(deadline) = batch.next_deadline() {
        out.extend(batch.advance(deadline).into_iter().map(|e| (deadline, e)));
    }
    out
}

fn ended(out: &[(u64, TokenEvent)], id: u64) -> u64 {
    let end = out.iter().find(|(_, e)| e.id == id && e.end);
    end.expect("the stream has ended").0
}

struct Shape {
    name: &'static str,
    prompt: u64,
    output: u64,
    best: Role,
}

const SHAPES: &[Shape] = &[
    Shape {
        name: "long prompts",
        prompt: 16_000,
        output: 4,
        best: Role::Prefill,
    },
    Shape {
        name: "long outputs",
        prompt: 200,
        output: 200,
        best: Role::Decode,
    },
];

#[test]
fn each_role_is_fastest_for_its_kind_of_work() {
    for shape in SHAPES {
        let times = [Role::Prefill, Role::Mixed, Role::Decode].map(|role| {
            let mut batch = Batch::new(BatchSettings {
                blocks: 10_000,
                ..settings(role)
            });
            for id in 1..=64 {
                assert!(
                    batch.submit(0, job(id, shape.prompt, shape.output)),
                    "{}",
                    shape.name
                );
            }
            let out = drain(&mut batch);
            assert_eq!(
                out.iter().filter(|(_, e)| e.end).count(),
                64,
                "{}",
                shape.name
            );
            (out.last().expect("tokens").0, role)
        });
        let best = times.iter().min().expect("three roles");
        assert_eq!(best.1, shape.best, "{}: {times:?}", shape.name);
    }
}

#[test]
fn a_prompt_delays_streams_in_the_same_iterations() {
    let mut alone = Batch::new(settings(Role::Mixed));
    assert!(alone.submit(0, job(1, 100, 50)));
    let mut delayed = alone.clone();
    assert!(delayed.submit(0, job(2, 8_000, 1)));
    assert!(ended(&drain(&mut delayed), 1) > ended(&drain(&mut alone), 1));
}

#[test]
fn a_cached_prefix_is_not_computed_again_and_the_oldest_is_evicted() {
    let mut batch = Batch::new(settings(Role::Mixed));
    let long = |id, seed: u64| Job {
        blocks: (0..10).map(|n| seed * 100 + n).collect(),
        ..job(id, 10_000, 1)
    };
    let times: Vec<u64> = [1, 1, 2, 3, 4, 1]
        .into_iter()
        .zip(1..)
        .map(|(seed, id)| {
            let start = id * 10_000_000;
            assert!(batch.submit(start, long(id, seed)));
            ended(&drain(&mut batch), id) - start
        })
        .collect();
    assert!(
        times[1] < times[0] / 5,
        "a hit skips the prefill: {times:?}"
    );
    assert_eq!(times[5], times[0], "the first prefix was evicted");
}

#[test]
fn a_stream_of_higher_priority_runs_first() {
    let mut batch = Batch::new(settings(Role::Prefill));
    for id in 1..=20 {
        let priority = u8::from(id == 20);
        assert!(batch.submit(
            0,
            Job {
                priority,
                ..job(id, 4_000, 20)
            }
        ));
    }
    let out = drain(&mut batch);
    let last = (9..20)
        .map(|id| ended(&out, id))
        .min()
        .expect("queued streams");
    assert!(ended(&out, 20) <= last);
}

#[test]
fn a_role_change_finishes_accepted_streams_and_takes_seconds() {
    let mut batch = Batch::new(settings(Role::Prefill));
    assert!(batch.submit(0, job(1, 4_000, 20)));
    batch.change_role(1, Role::Decode);
    assert!(
        !batch.submit(2, job(2, 10, 1)),
        "rejected while the role changes"
    );
    let out = drain(&mut batch);
    assert_eq!(out.len(), 21);
    assert!(batch.is_accepting() && batch.role() == Role::Decode);
    assert!(batch.submit(20_000_000, job(3, 10, 1)));
}

#[test]
fn a_resumed_stream_starts_with_the_requested_token() {
    let mut batch = Batch::new(settings(Role::Mixed));
    assert!(batch.submit(
        0,
        Job {
            resume: 7,
            ..job(1, 100, 10)
        }
    ));
    let numbers: Vec<u64> = drain(&mut batch).iter().map(|(_, e)| e.n).collect();
    assert_eq!(numbers, [7, 8, 9, 10]);
}
