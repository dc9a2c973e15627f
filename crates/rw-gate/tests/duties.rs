//! Usage reports under failures of the store, of the platform's API and of the nodes, with two nodes
//! that both believe that they lead.

mod support;

use rw_gate::{
    Account, Credential, DispatchOutcome, DutyOutcome, DutyPacer, DutySettings, DutySubject,
    Effect, Event, Gate, GateSettings, Routing, StoreEra, StoredUsage, UsageCollection, UsageQuery,
    UsageReport,
};
use rw_types::{KeyHash, Millis, RequestId};
use std::{ops::Range, sync::Arc};
use support::*;

const WINDOW_MS: u64 = 5_000;
const LATE_MS: u64 = 10_000;
/// Duration of a lease in the store.
const LEASE_MS: u64 = 8_000;
/// Time of day at the start of the boot clocks: within window 7 of the test.
const START_UNIX_MS: u64 = 7 * WINDOW_MS + 1_300;
const END_MS: u64 = 70_000;
const STEP_MS: u64 = 50;
/// Age of the copy that the store comes back from: it lacks one report or two.
const COPY_AGE_MS: u64 = 6_000;
const NEVER: Range<u64> = 0..0;
const SECRET: [u8; 32] = [7; 32];

fn duties(requires_fencing: bool) -> DutySettings {
    DutySettings {
        usage_window_ms: Some(WINDOW_MS),
        usage_late_ms: LATE_MS,
        sizes_fleet: false,
        calls_per_s: 50.0,
        requires_fencing,
    }
}

struct Case {
    name: &'static str,
    /// The node that holds the lease is killed once, right after its first write from then on.
    killed_after: Option<u64>,
    /// The store gives no answers, but applies writes.
    store_mute: Range<u64>,
    /// The node that holds the lease at the start of this time is suspended for it.
    suspended: Range<u64>,
    /// The API answers nothing and executes nothing.
    api_down: Range<u64>,
    /// The API answers nothing and executes calls 4 s later.
    api_late: Range<u64>,
    api_limited: Range<u64>,
    /// The API tells that it has seen a higher token.
    fenced: Range<u64>,
    /// Error of each node's time of day at its start, in milliseconds.
    clock_errors: [i64; 3],
    requires_fencing: bool,
    /// Times at which the store comes back from a copy that is [`COPY_AGE_MS`] old.
    drills: &'static [u64],
    /// Windows at most that are missing or were reported late.
    max_missing: usize,
}

impl Case {
    const NONE: Self = Self {
        name: "no failure",
        killed_after: None,
        store_mute: NEVER,
        suspended: NEVER,
        api_down: NEVER,
        api_late: NEVER,
        api_limited: NEVER,
        fenced: NEVER,
        clock_errors: [0; 3],
        requires_fencing: false,
        drills: &[],
        max_missing: 0,
    };
}

/// A call that the API executed.
#[derive(Debug, Clone)]
struct Executed {
    at: u64,
    node: usize,
    token: u64,
    report: UsageReport,
}

struct Node {
    gate: Gate,
    pacer: DutyPacer,
    is_dead: bool,
    /// Events that arrive later, with their time.
    inbox: Vec<(u64, Event)>,
}

#[derive(Default)]
struct Lease {
    holder: usize,
    taken: u64,
    version: u64,
}

/// Three nodes that don't hear of each other, so that each believes that it leads.
struct Fleet<'a> {
    case: &'a Case,
    now: u64,
    nodes: Vec<Node>,
    lease: Lease,
    row: StoredUsage,
    /// Rows, with the time from which they were there.
    copies: Vec<(u64, StoredUsage)>,
    /// Reports that were written, each as it was first.
    written: Vec<UsageReport>,
    executed: Vec<Executed>,
    late: Vec<Executed>,
    sent: Vec<u64>,
    /// Node that is suspended, and the one that was killed.
    suspended: Option<usize>,
    killed: Option<usize>,
    /// Calls of the account that ran, by window.
    truth: UsageReport,
    next_call: u64,
}

fn key() -> KeyHash {
    KeyHash::new(&SECRET, "k")
}

fn with_account() -> Routing {
    Routing {
        accounts: vec![Account {
            name: "a".to_owned(),
            keys: vec![key()],
            priority: None,
        }],
        has_accounts: true,
        ..routing(1)
    }
}

impl<'a> Fleet<'a> {
    fn new(case: &'a Case) -> Self {
        let node = |i: usize| {
            let mut gate = Gate::new(GateSettings {
                vm: format!("vm-{i}"),
                duties: duties(case.requires_fencing),
                ..GateSettings::default()
            });
            let unix_ms = START_UNIX_MS.saturating_add_signed(case.clock_errors[i]);
            gate.step(Millis(0), Event::TimeOfDay { unix_ms });
            gate.step(Millis(0), Event::Routing(Arc::new(with_account())));
            gate.step(
                Millis(0),
                Event::RowsRead {
                    confirmed_ms: Some(1_000),
                },
            );
            gate.step(Millis(0), Event::TargetsListed(fleet()));
            Node {
                gate,
                pacer: DutyPacer::default(),
                is_dead: false,
                inbox: Vec::new(),
            }
        };
        Self {
            case,
            now: 0,
            nodes: (0..3).map(node).collect(),
            lease: Lease::default(),
            row: StoredUsage::default(),
            copies: vec![(0, StoredUsage::default())],
            written: Vec::new(),
            executed: Vec::new(),
            late: Vec::new(),
            sent: Vec::new(),
            suspended: None,
            killed: None,
            truth: UsageReport::default(),
            next_call: 1,
        }
    }

    fn run(&mut self) {
        while self.now < END_MS {
            self.now += STEP_MS;
            if self.case.suspended.contains(&self.now) {
                self.suspended.get_or_insert(self.lease.holder);
            } else {
                self.suspended = None;
            }
            if self.case.drills.contains(&self.now) {
                self.drill();
            }
            let (ready, late) = self.late.drain(..).partition(|e| e.at <= self.now);
            self.late = late;
            self.executed.extend::<Vec<Executed>>(ready);
            for i in 0..self.nodes.len() {
                self.run_node(i);
            }
        }
    }

    /// The store comes back from a copy. The lease of its holder lasts on.
    fn drill(&mut self) {
        let is_old = |(at, _): &&(u64, StoredUsage)| at + COPY_AGE_MS <= self.now;
        let (_, copy) = self
            .copies
            .iter()
            .rev()
            .find(is_old)
            .expect("a copy")
            .clone();
        let era = StoreEra(self.row.era.0 + 1);
        self.row = StoredUsage { era, ..copy };
        self.copies = vec![(0, self.row.clone())];
        for i in 0..self.nodes.len() {
            self.step(i, Event::StoreRestored);
        }
    }

    fn run_node(&mut self, i: usize) {
        if self.suspended == Some(i) || self.nodes[i].is_dead {
            return;
        }
        self.run_call(i);
        let now = self.now;
        let inbox = std::mem::take(&mut self.nodes[i].inbox);
        let (due, later): (Vec<_>, Vec<_>) = inbox.into_iter().partition(|(at, _)| *at <= now);
        self.nodes[i].inbox = later;
        for (_, event) in due {
            self.step(i, event);
        }
        if self.now.is_multiple_of(250) {
            self.step(i, Event::Tick);
        }
    }

    /// Runs one plain call of the account.
    fn run_call(&mut self, i: usize) {
        let id = RequestId(self.next_call);
        self.next_call += 1;
        let request = rw_gate::CallRequest {
            credential: Credential::Key(key()),
            ..request("/once/1")
        };
        self.step(i, Event::CallArrived { id, request });
        let outcome = DispatchOutcome::Complete { status: 200 };
        self.step(i, Event::DispatchEnded { id, outcome });
        let window = (START_UNIX_MS + self.now) / WINDOW_MS;
        self.truth.add(&format!("{window:04}"), 1);
    }

    fn step(&mut self, i: usize, event: Event) {
        let effects = self.nodes[i].gate.step(Millis(self.now), event);
        for effect in effects {
            self.perform(i, effect);
        }
    }

    fn answer(&mut self, i: usize, after_ms: u64, event: Event) {
        self.nodes[i].inbox.push((self.now + after_ms, event));
    }

    fn perform(&mut self, i: usize, effect: Effect) {
        let mute = self.case.store_mute.contains(&self.now);
        match effect {
            Effect::AcquireLease => {
                let token = self.acquire(i).filter(|_| !mute);
                self.answer(i, 50, Event::LeaseResult(token));
            }
            Effect::ReadUsage => {
                let row = (!mute).then(|| self.row.clone());
                self.answer(i, 50, Event::UsageRead(row));
            }
            Effect::WriteUsage(stored) => {
                let version = self.write(stored).filter(|_| !mute);
                if version.is_some() && self.killed.is_none() {
                    let is_time = self.case.killed_after.is_some_and(|at| self.now >= at);
                    self.nodes[i].is_dead = is_time;
                    self.killed = is_time.then_some(i);
                }
                self.answer(i, 50, Event::UsageWritten(version));
            }
            Effect::CollectUsage(query) => {
                let collection = self.collect(i, &query);
                self.answer(i, 100, Event::UsageCollected(collection));
            }
            Effect::ReportUsage {
                window,
                counts,
                token,
                until,
            } => {
                assert!(self.now < until.0, "{}: the lease is over", self.case.name);
                let report = UsageReport { window, counts };
                let outcome = self.report(i, report, token);
                let event = Event::UsageReported { window, outcome };
                let after_ms = if outcome == DutyOutcome::Unknown {
                    1_000
                } else {
                    50
                };
                self.answer(i, after_ms, event);
            }
            _ => {}
        }
    }

    fn acquire(&mut self, i: usize) -> Option<u64> {
        let lease = &mut self.lease;
        let is_taken = lease.version > 0 && lease.holder != i && self.now < lease.taken + LEASE_MS;
        if is_taken {
            return None;
        }
        *lease = Lease {
            holder: i,
            taken: self.now,
            version: lease.version + 1,
        };
        Some(lease.version)
    }

    fn write(&mut self, stored: StoredUsage) -> Option<u64> {
        if (stored.era, stored.version) != (self.row.era, self.row.version) {
            return None;
        }
        for report in &stored.record.reports {
            let mut written = self.written.iter();
            match written.find(|w| w.window == report.window) {
                Some(first) => assert_eq!(report, first, "{}: another report", self.case.name),
                None => self.written.push(report.clone()),
            }
        }
        self.row = StoredUsage {
            version: stored.version + 1,
            ..stored
        };
        self.copies.push((self.now, self.row.clone()));
        Some(self.row.version)
    }

    fn collect(&mut self, i: usize, query: &UsageQuery) -> UsageCollection {
        let mut collection = UsageCollection::default();
        collection.report.window = query.window;
        if !self.case.drills.is_empty() && self.written.iter().any(|w| w.window == query.window) {
            // Counts are not the same if they are collected once more.
            collection.report.add("a", 1);
        }
        let now = Millis(self.now);
        let suspended = self.suspended;
        let live = self.nodes.iter_mut().enumerate();
        let live = live.filter(|(j, n)| !n.is_dead && suspended != Some(*j));
        for (j, node) in live {
            let answer = node.gate.answer_usage(now, query);
            for (account, calls) in answer.counts {
                collection.report.add(&account, calls);
            }
            let time_ms = answer.time_ms.expect("a time");
            if j != i {
                let offset = time_ms as i64 - now.0 as i64;
                collection.clocks.push((answer.vm, offset));
            }
        }
        collection
    }

    fn report(&mut self, i: usize, report: UsageReport, token: u64) -> DutyOutcome {
        let (case, now) = (self.case, self.now);
        let node = &mut self.nodes[i];
        let settings = duties(case.requires_fencing);
        let admitted = node
            .pacer
            .admit(Millis(now), &settings, &DutySubject::Usage, token);
        if node.gate.is_token_refused(token) || !admitted {
            return DutyOutcome::NotSent;
        }
        self.sent.push(now);
        let executed = Executed {
            at: now,
            node: i,
            token,
            report,
        };
        let outcome = if case.api_down.contains(&now) {
            DutyOutcome::Unknown
        } else if case.api_late.contains(&now) {
            self.late.push(Executed {
                at: now + 4_000,
                ..executed
            });
            DutyOutcome::Unknown
        } else if case.api_limited.contains(&now) {
            DutyOutcome::RateLimited
        } else if case.fenced.contains(&now) {
            DutyOutcome::Fenced
        } else {
            self.executed.push(executed);
            DutyOutcome::Accepted
        };
        let node = &mut self.nodes[i];
        node.pacer.ended(Millis(now), &DutySubject::Usage, outcome);
        outcome
    }

    /// Windows that ended long enough before the end of the test, without a report in time.
    fn missing(&self) -> Vec<u64> {
        let first = START_UNIX_MS / WINDOW_MS;
        let last = (START_UNIX_MS + END_MS - LATE_MS) / WINDOW_MS - 1;
        let in_time = |window: u64| {
            let due = (window + 1) * WINDOW_MS + LATE_MS - START_UNIX_MS;
            let mut reports = self.executed.iter();
            reports.any(|e| e.report.window == window && e.at < due)
        };
        (first..=last).filter(|w| !in_time(*w)).collect()
    }

    fn true_count(&self, window: u64) -> u64 {
        let name = format!("{window:04}");
        let found = self.truth.counts.iter().find(|(n, _)| *n == name);
        found.map_or(0, |(_, calls)| *calls)
    }
}

const CASES: &[Case] = &[
    Case::NONE,
    Case {
        name: "the holder is killed between writing and sending",
        killed_after: Some(20_000),
        ..Case::NONE
    },
    Case {
        name: "the store gives no answers, but applies writes",
        store_mute: 20_000..24_000,
        ..Case::NONE
    },
    Case {
        name: "the store gives no answers for longer than a report may be late",
        store_mute: 20_000..36_000,
        max_missing: 3,
        ..Case::NONE
    },
    Case {
        name: "the holder is suspended",
        suspended: 20_200..33_000,
        max_missing: 1,
        ..Case::NONE
    },
    Case {
        name: "the API is down for less than a report may be late",
        api_down: 19_000..24_500,
        ..Case::NONE
    },
    Case {
        name: "the API is down for long",
        api_down: 19_000..40_000,
        max_missing: 4,
        ..Case::NONE
    },
    Case {
        name: "the API executes calls late and checks no tokens",
        api_late: 15_000..40_000,
        ..Case::NONE
    },
    Case {
        name: "the API executes calls late and checks tokens",
        api_late: 15_000..40_000,
        requires_fencing: true,
        ..Case::NONE
    },
    Case {
        name: "the limit of calls is exceeded by others",
        api_limited: 19_000..24_000,
        ..Case::NONE
    },
    Case {
        name: "the store comes back from a copy",
        drills: &[22_000],
        ..Case::NONE
    },
    Case {
        name: "the store comes back from a copy at each time of a window, also twice in a row",
        drills: &[20_300, 31_000, 31_500, 42_700, 54_150],
        ..Case::NONE
    },
    Case {
        name: "a higher token was seen",
        fenced: 19_000..22_000,
        ..Case::NONE
    },
    Case {
        name: "one node's time of day is wrong by seconds",
        clock_errors: [4_000, 0, 20],
        ..Case::NONE
    },
];

/// Guards against two different reports for one window, missing or wrong reports, a token that two
/// nodes use, a lower token after a higher one, and storms of calls.
#[test]
fn each_window_is_reported_once_whatever_fails() {
    for case in CASES {
        let mut fleet = Fleet::new(case);
        fleet.run();
        let name = case.name;
        let executed = &fleet.executed;
        for (i, one) in executed.iter().enumerate() {
            for other in &executed[..i] {
                if one.report.window == other.report.window {
                    assert_eq!(one.report, other.report, "{name}: two different reports");
                }
                let same_holder = one.node == other.node;
                assert!(
                    same_holder || one.token != other.token,
                    "{name}: {one:?} {other:?}"
                );
                let is_ordered = case.requires_fencing || other.token <= one.token;
                assert!(is_ordered, "{name}: lower token after {other:?}: {one:?}");
            }
        }
        let missing = fleet.missing();
        assert!(
            missing.len() <= case.max_missing,
            "{name}: missing {missing:?}"
        );
        let has_silence = fleet.killed.is_some() || case.suspended != NEVER;
        for one in executed.iter().filter(|_| !has_silence) {
            let calls: u64 = one.report.counts.iter().map(|(_, calls)| calls).sum();
            let truth = fleet.true_count(one.report.window);
            let error = calls.abs_diff(truth) as f64 / truth.max(1) as f64;
            assert!(
                error <= 0.05,
                "{name}: {calls} of {truth} in {}",
                one.report.window
            );
        }
        let storm = fleet.sent.windows(5).any(|s| s[4] - s[0] < 1_000);
        assert!(
            !storm,
            "{name}: more than 4 calls in a second: {:?}",
            fleet.sent
        );
    }
}

/// Guards against traffic of a deployment that has no duties.
#[test]
fn nothing_is_done_without_duties() {
    let mut world = World::new();
    world.step(Event::TimeOfDay { unix_ms: 1_000_000 });
    for _ in 0..200 {
        world.now += 250;
        let effects = world.step(Event::Tick);
        let is_duty = |e: &Effect| {
            matches!(
                e,
                Effect::ReadUsage | Effect::CollectUsage(_) | Effect::ReportUsage { .. }
            )
        };
        assert!(!effects.iter().any(is_duty), "{effects:?}");
    }
}

/// What is asked of a pacer: a subject, a token, and whether the call may be sent; then how it ended.
struct Asked {
    at: u64,
    subject: DutySubject,
    token: u64,
    admitted: bool,
    outcome: DutyOutcome,
}

fn size(service: &str) -> DutySubject {
    DutySubject::Size {
        service: service.to_owned(),
        centre: "x".to_owned(),
    }
}

/// Guards against a token that is overtaken or falls, and against retries without a pause.
#[test]
fn calls_wait_for_earlier_ones_about_the_same_subject() {
    use DutyOutcome::{Accepted, RateLimited, Unknown};
    let asked = |at, service: &str, token, admitted, outcome| Asked {
        at,
        subject: size(service),
        token,
        admitted,
        outcome,
    };
    let cases: [(&str, bool, Vec<Asked>); 4] = [
        (
            "a lower token is never sent after a higher one",
            true,
            vec![
                asked(0, "s", 5, true, Accepted),
                asked(1_000, "s", 4, false, Accepted),
                asked(1_000, "t", 4, true, Accepted),
                asked(1_100, "s", 5, true, Accepted),
            ],
        ),
        (
            "without fencing, a higher token waits for a call without a response",
            false,
            vec![
                asked(0, "s", 5, true, Unknown),
                asked(600, "s", 6, false, Accepted),
                asked(600, "s", 5, true, Accepted),
                asked(5_400, "s", 6, false, Accepted),
                asked(5_500, "s", 6, true, Accepted),
            ],
        ),
        (
            "with fencing, only the pause counts",
            true,
            vec![
                asked(0, "s", 5, true, Unknown),
                asked(400, "s", 6, false, Accepted),
                asked(500, "s", 6, true, Accepted),
            ],
        ),
        (
            "the limit of calls holds for all subjects of a duty, and the pause doubles",
            true,
            vec![
                asked(0, "s", 5, true, RateLimited),
                asked(400, "t", 5, false, Accepted),
                asked(500, "t", 5, true, RateLimited),
                asked(1_400, "s", 5, false, Accepted),
                asked(1_500, "s", 5, true, Accepted),
            ],
        ),
    ];
    for (name, requires_fencing, steps) in cases {
        let mut pacer = DutyPacer::default();
        let settings = duties(requires_fencing);
        for step in steps {
            let at = Millis(step.at);
            let admitted = pacer.admit(at, &settings, &step.subject, step.token);
            assert_eq!(admitted, step.admitted, "{name}: at {}", step.at);
            if admitted {
                pacer.ended(at, &step.subject, step.outcome);
            }
        }
    }
}

/// Guards against 429: in no second are more calls admitted than the platform accepts, and usage
/// reports pass while size orders exhaust their share.
#[test]
fn size_orders_leave_room_for_usage_reports() {
    let mut pacer = DutyPacer::default();
    let settings = duties(true);
    let mut sent = Vec::new();
    for at in 0..5_000 {
        for n in 0..20 {
            let subject = size(&format!("s{n}"));
            if pacer.admit(Millis(at), &settings, &subject, 1) {
                pacer.ended(Millis(at), &subject, DutyOutcome::Accepted);
                sent.push(at);
            }
        }
        if at % 1_000 == 999 {
            assert!(pacer.admit(Millis(at), &settings, &DutySubject::Usage, 1));
            pacer.ended(Millis(at), &DutySubject::Usage, DutyOutcome::Accepted);
            sent.push(at);
        }
    }
    let most = (0..5_000).map(|from| {
        let in_second = sent.iter().filter(|at| (from..from + 1_000).contains(*at));
        in_second.count()
    });
    assert!(most.max() <= Some(50));
}

/// Guards against calls that no report counts, because their node exits before it is asked.
#[test]
fn a_node_knows_whether_its_calls_are_collected() {
    let case = Case::NONE;
    let mut fleet = Fleet::new(&case);
    let node = &fleet.nodes[0].gate;
    assert!(!node.has_uncollected_usage(), "before any call");
    fleet.now = 1_000;
    fleet.run_call(0);
    assert!(fleet.nodes[0].gate.has_uncollected_usage(), "after a call");
    for (window, age_ms, is_left) in [(6, 11_300, true), (7, 6_300, false)] {
        let query = UsageQuery {
            window,
            age_ms,
            length_ms: WINDOW_MS,
        };
        let gate = &mut fleet.nodes[0].gate;
        gate.answer_usage(Millis(5_000), &query);
        assert_eq!(gate.has_uncollected_usage(), is_left, "window {window}");
    }
}

/// Guards against calls that are counted in two windows or in none, because a node reads a query as late
/// as the query's timeout allows.
#[test]
fn calls_are_counted_once_however_late_queries_are_read() {
    const CALLS: u64 = 100;
    /// End of the first window, at the node.
    const END_MS: u64 = 10_000;
    /// Age of a window when it is asked for.
    const AGE_MS: u64 = WINDOW_MS + 600;
    for delays_ms in [
        [0, 0],
        [300, 0],
        [0, 300],
        [301, 0],
        [0, 301],
        [599, 0],
        [0, 599],
        [599, 200],
    ] {
        let case = Case::NONE;
        let mut fleet = Fleet::new(&case);
        for n in 0..CALLS {
            fleet.now = END_MS - 1_000 + n * 20;
            fleet.run_call(0);
        }
        let mut counted = 0;
        for (window, delay_ms) in (7..).zip(delays_ms) {
            let query = UsageQuery {
                window,
                age_ms: AGE_MS,
                length_ms: WINDOW_MS,
            };
            let start = END_MS + window * WINDOW_MS - 8 * WINDOW_MS;
            let read_at = Millis(start + AGE_MS + delay_ms);
            let answer = fleet.nodes[0].gate.answer_usage(read_at, &query);
            counted += answer.counts.iter().map(|(_, calls)| calls).sum::<u64>();
        }
        assert_eq!(counted, CALLS, "{delays_ms:?}");
    }
}

/// Guards against reports that are missing because the leader alone is cut off from the API, and
/// against a fleet without a leader if all nodes are.
#[test]
fn a_leader_that_does_not_reach_the_api_leaves_its_duties_to_others() {
    use DutyOutcome::{Accepted, NotSent, RateLimited, Unknown};
    for (name, outcomes, leader) in [
        ("no node is cut off", [Accepted, Accepted], 0),
        ("the first node is cut off", [Unknown, Accepted], 1),
        ("all nodes are cut off", [Unknown, Unknown], 0),
        ("calls of the first node wait", [NotSent, Accepted], 0),
        ("the limit is exceeded", [RateLimited, Accepted], 0),
    ] {
        let case = Case::NONE;
        let mut fleet = Fleet::new(&case);
        for at in (0..8_000).step_by(250) {
            fleet.now = at;
            let now = Millis(at);
            for (i, outcome) in outcomes.into_iter().enumerate() {
                let gate = &mut fleet.nodes[i].gate;
                let ended = Event::SizeOrdered {
                    service: ENGINES.to_owned(),
                    centre: "x".to_owned(),
                    spot: false,
                    outcome,
                };
                gate.step(now, ended);
                if let Some(digest) = gate.publish(now) {
                    let other = &mut fleet.nodes[1 - i].gate;
                    other.step(now, Event::DigestReceived(digest));
                }
            }
        }
        for (i, node) in fleet.nodes[..2].iter_mut().enumerate() {
            // A leader reads the record of usage reports.
            let effects = node.gate.step(Millis(8_000), Event::Tick);
            let leads = effects.contains(&Effect::ReadUsage);
            assert_eq!(leads, i == leader, "{name}: node {i}");
        }
    }
}

/// Guards against a second report for a window whose first one the store has lost, with its writer.
#[test]
fn a_window_that_may_have_been_reported_before_a_restore_is_not_collected() {
    struct Case {
        name: &'static str,
        /// What the node has learned 500 ms after its start, in window 7.
        events: Vec<Event>,
        /// The first window that it collects, if the row's last one is window 5.
        first: u64,
    }
    let read = |confirmed_ms| Event::RowsRead { confirmed_ms };
    let cases = [
        Case {
            name: "the rows are confirmed",
            events: vec![read(Some(0))],
            first: 6,
        },
        Case {
            name: "the rows may be from a copy",
            events: vec![read(None)],
            first: 7,
        },
        Case {
            name: "another node led at the return",
            events: vec![read(Some(0)), Event::StoreRestored, read(None)],
            first: 7,
        },
        Case {
            name: "this node led at the return",
            events: vec![
                read(Some(0)),
                Event::Tick,
                Event::UsageRead(Some(StoredUsage::default())),
                Event::StoreRestored,
                read(None),
            ],
            first: 6,
        },
    ];
    for case in cases {
        let mut gate = Gate::new(GateSettings {
            duties: duties(false),
            ..GateSettings::default()
        });
        let unix_ms = START_UNIX_MS;
        gate.step(Millis(0), Event::TimeOfDay { unix_ms });
        gate.step(Millis(0), Event::Routing(Arc::new(with_account())));
        gate.step(Millis(0), Event::TargetsListed(fleet()));
        for event in case.events {
            gate.step(Millis(500), event);
        }
        let reported = UsageReport {
            window: 5,
            counts: Vec::new(),
        };
        let mut row = StoredUsage::default();
        row.record.reports.push(reported);
        gate.step(Millis(6_000), Event::Tick);
        let effects = gate.step(Millis(6_000), Event::UsageRead(Some(row)));
        let mut windows = effects.iter().filter_map(|e| match e {
            Effect::CollectUsage(query) => Some(query.window),
            _ => None,
        });
        assert_eq!(windows.next(), Some(case.first), "{}", case.name);
    }
}
