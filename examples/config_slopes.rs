//! Measures the cost for a node of keeping the configuration in force: at three fleet sizes and at
//! three configuration sizes.
//!
//! All nodes of a size run in this process, on loopback, on ports chosen by the kernel:
//!
//! ```text
//! cargo run --release --example config_slopes
//! cargo run --release --example config_slopes items
//! ```

use rw_core::{CoreSettings, Event, Node};
use rw_fakes::{FakePlatform, PlatformSettings};
use rw_http::Client;
use rw_node::{BoundNode, NodeSettings, Shell};
use rw_platform::{HttpPlatform, accept_config, read_head};
use rw_test::{TextRequest, get, send_request};
use rw_types::{Account, Config, ConfigChange, Millis, Role, Target, TargetKind, Version, Vm};
use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Nodes at each size.
const NODE_COUNTS: [usize; 3] = [8, 32, 100];
/// Accounts and targets of a configuration at each size.
const CONFIG_SIZES: [(usize, usize); 3] = [(470, 100), (4_700, 1_000), (47_000, 10_000)];
/// Changes timed at each size.
const CHANGES: u64 = 10;
/// Time from one change to the next: 23,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3_750);
/// Time over which bytes and CPU time are counted.
const COUNT_TIME: Duration = Duration::from_secs(10);
/// Clock ticks a second in `/proc/self/stat`.
const TICKS: f64 = 100.0;
/// Bytes of the HTTP headers of one call and its response, as `async-h1` writes them.
const HEAD_BYTES: u64 = 400;

struct Fleet {
    shells: Vec<Arc<Shell>>,
    callers: Vec<String>,
    store: HttpPlatform,
    platform: String,
}

fn main() {
    let only_items = std::env::args().nth(1).is_some_and(|word| word == "items");
    smol::block_on(async {
        for nodes in NODE_COUNTS.into_iter().filter(|_| !only_items) {
            measure_nodes(nodes).await;
        }
        CONFIG_SIZES.iter().for_each(|items| measure_items(*items));
    });
}

async fn start(nodes: usize, config: Config) -> Fleet {
    let settings = PlatformSettings {
        listen: LOOPBACK,
        list_lag_ms: 0,
        weight_rate: 1,
    };
    let platform = FakePlatform::bind(settings).expect("the platform binds");
    let addr = platform.addr().expect("an address");
    smol::spawn(platform.run()).detach();
    let limit = Duration::from_secs(10);
    let store = HttpPlatform::new(Client::default(), addr.to_string(), limit);
    let (_, head) = read_head(&store).await.expect("the head");
    accept_config(&store, &config, &head)
        .await
        .expect("accepted");
    let mut fleet = Fleet {
        shells: Vec::new(),
        callers: Vec::new(),
        store,
        platform: addr.to_string(),
    };
    let mut vms = Vec::new();
    let mut bound = Vec::new();
    for n in 0..nodes {
        let mut settings = NodeSettings::loopback(&format!("vm-{n}"), "centre-a", addr);
        settings.poll_interval = Duration::from_secs(1);
        let node = BoundNode::bind(settings).expect("the node binds");
        let [callers, peers, _] = node.addrs().expect("addresses");
        vms.push(Vm {
            name: format!("vm-{n}"),
            centre: "centre-a".to_owned(),
            peer: peers.to_string(),
            leaving: false,
        });
        fleet.callers.push(callers.to_string());
        fleet.shells.push(node.shell().clone());
        bound.push(node);
    }
    let body = serde_json::to_string(&vms).expect("JSON");
    let put = TextRequest {
        method: rw_http::Method::Put,
        path: "/vms",
        body: &body,
        headers: &[],
    };
    send_request(&fleet.platform, put).await.expect("listed");
    for node in bound {
        // Nodes of a real fleet don't start within the same millisecond.
        smol::Timer::after(Duration::from_millis(1_000 / nodes as u64)).await;
        smol::spawn(async move { node.run(std::future::pending()).await }).detach();
    }
    fleet
}

async fn wait_version(fleet: &Fleet, version: Version) -> Duration {
    let start = Instant::now();
    while fleet.shells.iter().any(|s| s.config().version < version) {
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

async fn rpc_bytes(fleet: &Fleet) -> (u64, u64) {
    let (mut bytes, mut calls) = (0, 0);
    for addr in &fleet.callers {
        let text = get(addr, "/metrics").await.expect("metrics").body;
        let value = |prefix: &str| -> u64 {
            let lines = text.lines().filter(|l| l.starts_with(prefix));
            let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok());
            values.sum()
        };
        bytes += value("rw_rpc_bytes_total");
        calls += value("rw_rpc_calls_total");
    }
    (bytes, calls)
}

fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("stat");
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .expect("fields")
        .split(' ')
        .collect();
    let ticks: f64 = fields[12..14]
        .iter()
        .filter_map(|f| f.parse::<f64>().ok())
        .sum();
    ticks / TICKS
}

async fn measure_nodes(nodes: usize) {
    let mut config = config(100, 0);
    config.version = Version(1);
    let fleet = start(nodes, config.clone()).await;
    wait_version(&fleet, Version(1)).await;
    // After this time the nodes have read the VM list.
    smol::Timer::after(Duration::from_secs(5)).await;
    let mut times = Vec::new();
    for n in 2..2 + CHANGES {
        config.accounts[0].share = n as u32;
        config.version = Version(n);
        let (_, head) = read_head(&fleet.store).await.expect("the head");
        accept_config(&fleet.store, &config, &head)
            .await
            .expect("accepted");
        times.push(wait_version(&fleet, Version(n)).await);
        smol::Timer::after(CHANGE_INTERVAL.saturating_sub(times[times.len() - 1])).await;
    }
    times.sort();
    let (before, calls) = rpc_bytes(&fleet).await;
    let cpu = cpu_seconds();
    let start = Instant::now();
    smol::Timer::after(COUNT_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let cpu = cpu_seconds() - cpu;
    let (after, more) = rpc_bytes(&fleet).await;
    let per_node = seconds * nodes as f64;
    // Each call is sent by one node and received by another, so its bytes count twice.
    let bytes = 2 * (after - before + HEAD_BYTES * (more - calls));
    println!(
        "nodes {nodes}: in force everywhere, median {:?}, longest {:?}; {:.0} bytes and {:.2} ms of CPU a node and second",
        times[times.len() / 2],
        times[times.len() - 1],
        bytes as f64 / per_node,
        cpu * 1_000.0 / per_node,
    );
}

fn config(accounts: usize, targets: usize) -> Config {
    let account = |n| Account {
        name: format!("account-{n:06}"),
        keys: vec![format!("{n:064x}")],
        share: 1,
    };
    let target = |n| Target {
        name: format!("target-{n:06}"),
        addr: format!("10.0.{}.{}:9000", n / 250, n % 250),
        centre: "centre-a".to_owned(),
        kind: TargetKind::Engine,
        service: "chat".to_owned(),
        group: String::new(),
        models: vec!["small".to_owned()],
        role: Role::Mixed,
        checks_fence: true,
        leaving: false,
    };
    Config {
        accounts: (0..accounts).map(account).collect(),
        targets: (0..targets).map(target).collect(),
        ..Config::default()
    }
}

/// Measures the cost of one change for a node with a configuration of this size in force.
fn measure_items((accounts, targets): (usize, usize)) {
    let old = config(accounts, targets);
    let mut new = old.clone();
    new.accounts[accounts / 2].share = 2;
    let change = ConfigChange::between(&old, &new);
    let before = resident();
    let start = Instant::now();
    let mut applied = old.clone();
    assert!(applied.apply(&change));
    let apply = start.elapsed();
    let resident = resident().saturating_sub(before);
    let start = Instant::now();
    let same = old.targets == applied.targets && old.kinds == applied.kinds;
    let compared = start.elapsed();
    assert!(same);
    let start = Instant::now();
    let index = rw_node::Accounts::index(&applied);
    let indexed = start.elapsed();
    assert!(index.find(&[0; 32], "none").is_none());
    let accounts_step = step(&old, &applied);
    let mut moved = applied.clone();
    moved.targets[targets / 2].leaving = true;
    let targets_step = step(&applied, &moved);
    let sizes = [
        serde_json::to_vec(&change).expect("JSON").len(),
        serde_json::to_vec(&applied).expect("JSON").len(),
    ];
    println!(
        "accounts {accounts}, targets {targets}: copy and apply {apply:?}, compare targets {compared:?}, index {indexed:?}, the reducer is blocked for {accounts_step:?} by a change of an account and {targets_step:?} by one of a target, one copy {resident} bytes; change {} bytes, configuration {} bytes",
        sizes[0], sizes[1],
    );
}

/// Resident memory of this process in bytes.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.expect("a number") * 4_096
}

/// Time for which applying a version blocks the reducer.
fn step(old: &Config, new: &Config) -> Duration {
    let mut node = Node::new(CoreSettings::default());
    let versions = [(1, old), (2, new)].map(|(version, config)| {
        Arc::new(Config {
            version: Version(version),
            ..config.clone()
        })
    });
    let mut last = Duration::ZERO;
    // The shell also holds the previous version and drops it outside the reducer.
    for config in &versions {
        let start = Instant::now();
        node.step(Millis(0), Event::ConfigRead(config.clone()));
        last = start.elapsed();
    }
    last
}
