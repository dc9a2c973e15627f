//! In a drill the store comes back from a copy some seconds old, and the holder of the lease on the
//! runners' roles goes on with a lower fencing token.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    json::Json,
    node::Node,
    record,
    runner::Runner,
    store::Store,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Slots of a model runner, as on the sheet of `loan-llm`.
const SLOTS: u32 = 12;
/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_secs(9);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(800);
/// Time that a runner takes to change its stage, as the configuration says.
const SWITCH: Duration = Duration::from_secs(3);
/// Time for which an order is waited for.
const PATIENCE: Duration = Duration::from_secs(12);

/// An order that a runner has accepted.
#[derive(Debug, Clone)]
struct Order {
    runner: String,
    holder: String,
    token: u64,
    stage: String,
}

type Orders = Arc<Mutex<Vec<Order>>>;

fn handle(
    runner: &Runner,
    conn: &mut Conn,
    head: &Head,
    store: &Store,
    count: &AtomicU64,
    orders: &Orders,
) -> bool {
    let stage = runner
        .entry
        .lock()
        .expect("the entry")
        .stage
        .clone()
        .unwrap_or_default();
    if fleet::answer_own_calls(conn, head, &stage, count.load(Ordering::Relaxed)) {
        return true;
    }
    let Ok(body) = conn.read_body(head) else {
        return false;
    };
    if head.path() != "/redwingweir/order" {
        return false;
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    let Some(order) = Json::parse(&text) else {
        return false;
    };
    let accepted = count.load(Ordering::Relaxed);
    let stage = order.get("stage").text().to_owned();
    record!(
        "runner {}: order {text}, expected instance {:?}",
        runner.id,
        head.header("redwingweir-expected-instance")
    );
    let is_stale = order
        .get("expected-revision")
        .number()
        .is_some_and(|n| n != accepted);
    let status = if is_stale { 409 } else { 202 };
    if status == 202 {
        count.fetch_add(1, Ordering::Relaxed);
        orders.lock().expect("the orders").push(Order {
            runner: runner.id.clone(),
            holder: order.get("holder").text().to_owned(),
            token: order.get("fencing-token").number().unwrap_or_default(),
            stage: stage.clone(),
        });
        let (runner, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(SWITCH);
            runner.entry.lock().expect("the entry").stage = Some(stage.clone());
            runner.write_entry(&store);
            record!("runner {}: its stage is {stage}", runner.id);
        });
    }
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    conn.write(text.as_bytes()).is_ok()
}

fn start(name: &str, stage: &str, store: &Store, orders: &Orders) -> Runner {
    let (noted, kept, count) = (store.clone(), orders.clone(), Arc::new(AtomicU64::new(0)));
    let handler = move |r: &Runner, conn: &mut Conn, head: &Head| {
        handle(r, conn, head, &noted, &count, &kept)
    };
    Runner::start(
        name,
        fleet::llm_entry(SLOTS, stage),
        None,
        Arc::new(handler),
    )
}

/// Waits until the number of accepted orders is `n`.
fn wait_orders(orders: &Orders, n: usize) -> bool {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if orders.lock().expect("the orders").len() >= n {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    let orders = Orders::default();
    fleet::configure(&store, 7, SLOTS);
    // Two that decode and one that prefills: with this number no role has to change.
    let first: Vec<Runner> = [("i-3b", "decode"), ("i-4c", "decode"), ("i-5d", "prefill")]
        .map(|(name, stage)| start(name, stage, &store, &orders))
        .into();
    let ignored =
        |_: &Runner, conn: &mut Conn, head: &Head| fleet::answer_own_calls(conn, head, "", 0);
    let plain = ["i-6e", "i-7f", "i-8a"]
        .map(|name| Runner::start(name, fleet::plain_entry(), None, Arc::new(ignored)));
    first.iter().chain(&plain).for_each(|r| r.register(&store));
    let node = Node::start("frontend-vidzeme-a-1", &store, &run.temp);
    if !node.wait_ready() {
        run.cannot("the node is not ready");
    }
    thread::sleep(Duration::from_secs(10));
    // A runner is added, so that one more has to prefill.
    let added = start("i-2a", "decode", &store, &orders);
    added.register(&store);
    if !wait_orders(&orders, 1) {
        run.cannot("no order was given after a runner was added");
    }
    // Its stage has changed, and its entry says so.
    thread::sleep(SWITCH + Duration::from_millis(300));
    if run.trouble {
        store.leave();
        thread::sleep(AWAY);
        store.come_back(Some(COPY_AGE));
        // What the operator and the runners wrote is written again.
        fleet::configure(&store, 7, SLOTS);
    } else {
        thread::sleep(AWAY);
    }
    // Planned work: a runner that decodes leaves, so that one more has to decode.
    thread::sleep(Duration::from_millis(400));
    first[0].entry.lock().expect("the entry").state = "draining".to_owned();
    first[0].write_entry(&store);
    record!("runner {}: draining", first[0].id);
    let has_second = wait_orders(&orders, 2);
    let orders = orders.lock().expect("the orders").clone();
    orders.iter().for_each(|o| {
        record!(
            "accepted by {}: stage {}, holder {}, fencing token {}",
            o.runner,
            o.stage,
            o.holder,
            o.token
        )
    });
    if !has_second {
        record!("no second order within {PATIENCE:?}");
    }
    let lower = orders.iter().enumerate().find(|(i, later)| {
        let earlier = orders[..*i].iter().filter(|o| o.runner == later.runner);
        earlier
            .map(|o| o.token)
            .max()
            .is_some_and(|highest| later.token < highest)
    });
    match lower {
        Some((_, order)) => record!(
            "ONE: runner {} got fencing token {} after a higher one",
            order.runner,
            order.token
        ),
        None => record!("ONE: no runner got a lower fencing token after a higher one"),
    }
    lower.is_some()
}
