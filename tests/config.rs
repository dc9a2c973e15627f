//! The configuration in force on separate processes that boot, pause and lose access to the table.

use rw_http::Client;
use rw_node::{Status, call_rpc};
use rw_platform::{
    HttpPlatform, SNAPSHOT_INTERVAL, Table as _, accept_config, read_changes, read_config,
    read_head, version_key, write_snapshot,
};
use rw_test::{Fleet, FleetSettings, Process, TOKEN, get};
use rw_types::{Config, Version};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
/// Required bound on the time until an accepted configuration is in force on all nodes.
const IN_FORCE: Duration = Duration::from_secs(18);
/// Number of changes that the documentation promises to keep for nodes that lag behind.
const KEPT_CHANGES: u64 = 256;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn start(nodes: usize) -> Fleet {
    let plan = FleetSettings {
        nodes,
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, plan).await.expect("the fleet starts")
}

async fn status(process: &Process) -> Option<Status> {
    let addr = process.addr("operators");
    let limit = Duration::from_secs(2);
    let client = Client::default();
    call_rpc(&client, &addr, TOKEN, "status", &(), limit)
        .await
        .ok()
}

/// The version in force at a node; zero if it doesn't respond.
async fn version(process: &Process) -> Version {
    status(process)
        .await
        .map(|s| s.vm.version)
        .unwrap_or_default()
}

async fn ready(process: &Process) -> bool {
    let response = get(&process.addr("callers"), "/readyz").await;
    response.is_ok_and(|a| a.status == 200)
}

/// Waits until every process has `expected` in force and returns how long that took.
async fn wait_version(processes: &[&Process], expected: Version) -> Duration {
    let start = Instant::now();
    loop {
        let mut behind = 0;
        for process in processes {
            behind += usize::from(version(process).await < expected);
        }
        if behind == 0 {
            return start.elapsed();
        }
        assert!(start.elapsed() < IN_FORCE, "{behind} nodes are behind");
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

async fn accept_change(fleet: &mut Fleet) -> Version {
    let mut config = fleet.config.clone();
    config.accounts[0].share += 1;
    fleet.accept(config).await.expect("accepted");
    fleet.config.version
}

async fn set_outage(fleet: &Fleet, paths: &[&str]) {
    let faults: Vec<_> = paths
        .iter()
        .map(|path| format!(r#"{{"fault":"outage","path":"{path}"}}"#))
        .collect();
    let text = format!("[{}]", faults.join(","));
    fleet
        .set_faults(&fleet.platform, &text)
        .await
        .expect("the fault is set");
}

#[test]
fn an_accepted_configuration_is_in_force_everywhere_in_time() {
    smol::block_on(async {
        for nodes in [3, 6, 8] {
            let mut fleet = start(nodes).await;
            let mut longest = Duration::ZERO;
            for _ in 0..5 {
                let expected = accept_change(&mut fleet).await;
                let all: Vec<_> = fleet.nodes.iter().collect();
                longest = longest.max(wait_version(&all, expected).await);
            }
            println!("{nodes} nodes, longest {longest:?}");
        }
    });
}

#[test]
fn a_node_that_boots_in_an_outage_takes_the_highest_version_of_its_peers() {
    smol::block_on(async {
        let mut fleet = start(3).await;
        let expected = accept_change(&mut fleet).await;
        let all: Vec<_> = fleet.nodes.iter().collect();
        wait_version(&all, expected).await;
        set_outage(&fleet, &["/table", "/objects"]).await;
        let node = fleet.start_node(4).expect("the node starts");
        fleet.nodes.push(node);
        fleet.wait_ready(3).await.expect("ready without the table");
        assert_eq!(version(&fleet.nodes[3]).await, expected);
    });
}

#[test]
fn a_node_without_a_configuration_is_not_ready() {
    smol::block_on(async {
        let mut fleet = start(1).await;
        set_outage(&fleet, &["/table", "/objects"]).await;
        fleet.nodes[0].kill();
        let node = fleet.start_node(2).expect("the node starts");
        for _ in 0..100 {
            assert!(!ready(&node).await);
            smol::Timer::after(POLL_INTERVAL).await;
        }
        set_outage(&fleet, &[]).await;
        fleet.nodes[0] = node;
        fleet.wait_ready(0).await.expect("ready with the table");
    });
}

#[test]
fn a_paused_node_never_serves_a_lower_version_than_it_has_served() {
    smol::block_on(async {
        let mut fleet = start(3).await;
        for round in 0..4 {
            let seen = version(&fleet.nodes[1]).await;
            fleet.nodes[1].signal("STOP");
            let mut expected = seen;
            for _ in 0..3 {
                expected = accept_change(&mut fleet).await;
            }
            // In every second round it resumes with only its peers reachable.
            let down: &[&str] = if round % 2 == 1 {
                &["/table", "/objects"]
            } else {
                &[]
            };
            let others = [&fleet.nodes[0], &fleet.nodes[2]];
            wait_version(&others, expected).await;
            set_outage(&fleet, down).await;
            fleet.nodes[1].signal("CONT");
            let start = Instant::now();
            let mut last = seen;
            while last < expected {
                let now = version(&fleet.nodes[1]).await;
                assert!(now >= last || now == Version(0), "{now} after {last}");
                last = last.max(now);
                assert!(start.elapsed() < IN_FORCE, "still behind after a pause");
            }
            set_outage(&fleet, &[]).await;
        }
    });
}

#[test]
fn a_node_that_reaches_neither_table_nor_peers_is_not_ready_but_serves() {
    smol::block_on(async {
        let mut fleet = start(4).await;
        set_outage(&fleet, &["/table", "/objects"]).await;
        // A node that reaches its peers stays ready during an outage of the table.
        smol::Timer::after(IN_FORCE + Duration::from_secs(3)).await;
        assert!(ready(&fleet.nodes[0]).await, "ready with its peers");
        for node in &mut fleet.nodes[1..] {
            node.kill();
        }
        let start = Instant::now();
        while ready(&fleet.nodes[0]).await {
            assert!(
                start.elapsed() < 2 * IN_FORCE,
                "still ready without table and peers"
            );
            smol::Timer::after(POLL_INTERVAL).await;
        }
        let response = get(&fleet.nodes[0].addr("callers"), "/v1/models").await;
        assert_eq!(
            response.expect("a response").status,
            401,
            "it still serves requests"
        );
        assert_eq!(version(&fleet.nodes[0]).await, Version(1));
        set_outage(&fleet, &[]).await;
        fleet.wait_ready(0).await.expect("ready with the table");
    });
}

#[test]
fn snapshots_bound_the_changes_that_a_boot_reads() {
    smol::block_on(async {
        let mut fleet = start(1).await;
        let store = HttpPlatform::new(
            Client::default(),
            fleet.platform.addr(""),
            Duration::from_secs(5),
        );
        let mut expected = Version(0);
        for _ in 0..=SNAPSHOT_INTERVAL {
            expected = accept_change(&mut fleet).await;
        }
        let stored = read_config(&store, expected).await.expect("read");
        rw_platform::write_snapshot(&store, stored.as_ref().expect("a configuration"))
            .await
            .expect("written");
        // A boot needs no change older than the snapshot.
        let mut txn = rw_platform::Txn::new();
        for n in 1..=SNAPSHOT_INTERVAL {
            txn = txn.put(version_key(Version(n)), "");
        }
        store.txn(&txn).await.expect("cleared");
        assert_eq!(read_config(&store, expected).await.expect("read"), stored);
        let node = fleet.start_node(2).expect("the node starts");
        wait_version(&[&node], expected).await;
    });
}

#[test]
fn old_changes_are_dropped_and_lagging_nodes_still_find_theirs() {
    smol::block_on(async {
        let fleet = start(0).await;
        let store = HttpPlatform::new(
            Client::default(),
            fleet.platform.addr(""),
            Duration::from_secs(5),
        );
        let mut config = fleet.config.clone();
        let last = 8 * SNAPSHOT_INTERVAL;
        for n in 2..=last {
            config.version = Version(n);
            config.accounts[0].share = n as u32;
            let (_, head) = read_head(&store).await.expect("the head");
            accept_config(&store, &config, &head)
                .await
                .expect("accepted");
            write_snapshot(&store, &config).await.expect("written");
        }
        let head = Version(last);
        // The documentation promises the changes of the latest 256 versions.
        for (since, kept) in [(1, false), (last - KEPT_CHANGES, true), (last, true)] {
            let changes = read_changes(&store, Version(since), head).await;
            assert_eq!(changes.expect("read").is_some(), kept, "since {since}");
        }
        let stored = read_config(&store, head).await.expect("read");
        assert_eq!(stored, Some(config));
    });
}

#[test]
fn a_large_configuration_is_stored_in_the_object_store() {
    smol::block_on(async {
        let mut fleet = start(2).await;
        let mut config: Config = fleet.config.clone();
        for n in 0..5_000 {
            let mut account = config.accounts[0].clone();
            account.name = format!("account-{n}");
            account.keys = vec![format!("{n:064x}")];
            config.accounts.push(account);
        }
        config.sort();
        fleet.accept(config).await.expect("accepted");
        let all: Vec<_> = fleet.nodes.iter().collect();
        wait_version(&all, Version(2)).await;
        let store = HttpPlatform::new(
            Client::default(),
            fleet.platform.addr(""),
            Duration::from_secs(5),
        );
        let row = store
            .get(vec![version_key(Version(2))])
            .await
            .expect("read");
        assert!(row.rows[0].value.starts_with("object "), "not in the row");
        assert!(row.rows[0].value.len() < 200);
    });
}
