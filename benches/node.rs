//! Measures CPU time and memory of one node process: idle with a fleet of a given size, and for
//! each token relayed.
//!
//! Run with `cargo bench --bench node`.

use rw_http::{Client, Method, Pooling, Workers, post_json};
use rw_test::{
    ACCOUNT_KEY, Fleet, FleetSettings, Process, SECRET_HEX, TOKEN, TextRequest, send_request,
};
use rw_types::{Account, Config, Target, Vm};
use smol::{Timer, net::TcpStream};
use std::{
    io,
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
/// Duration of one measurement.
const DURATION: Duration = Duration::from_secs(4);
/// Time for a node to apply a configuration and become idle.
const SETTLE: Duration = Duration::from_secs(3);
/// VMs, targets and accounts of each fleet size.
const SIZES: &[(usize, usize, usize)] = &[
    (1, 100, 1_000),
    (1, 1_000, 10_000),
    (1, 10_000, 47_000),
    (13, 100, 1_000),
    (130, 1_000, 10_000),
    (1_300, 10_000, 47_000),
];
/// Idle connections opened at the largest size.
const IDLE_CONNECTIONS: usize = 10_000;
/// Concurrent streams.
const STREAMS: &[usize] = &[90, 180, 360];
/// Tokens a second of a stream; 24 is about one in 42 ms.
const DECODE_RATE: u64 = 24;
/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;

/// CPU seconds that a process has used.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS
}

/// Resident memory of a process in MB.
fn resident(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    number.unwrap_or_default() / 1_024.0
}

/// Starts a fleet with `nodes` nodes and one engine.
async fn start(nodes: usize, engine: &[&str]) -> io::Result<Fleet> {
    let own = |flags: &[&str]| flags.iter().map(|f| (*f).to_owned()).collect::<Vec<_>>();
    let plan = FleetSettings {
        nodes,
        engines: vec![own(engine)],
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, plan).await
}

/// Adds `targets` targets, all at the address of the one engine, and `accounts` accounts.
fn enlarged(config: &Config, targets: usize, accounts: usize) -> Config {
    let mut enlarged = config.clone();
    let engine = &config.targets[0];
    enlarged.targets.extend((0..targets).map(|n| Target {
        name: format!("engine-x{n:05}"),
        group: format!("group-{}", n / 100),
        ..engine.clone()
    }));
    enlarged.accounts.extend((0..accounts).map(|n| Account {
        name: format!("account-{n:05}"),
        keys: vec![format!("{n:064x}")],
        share: 1,
    }));
    enlarged.sort();
    enlarged
}

/// Starts the node `vm-1` with the default poll intervals of `serve`.
fn serve(fleet: &Fleet) -> io::Result<Process> {
    let mut args = fleet.node_args(1);
    for flag in ["--poll-ms", "--report-poll-ms"] {
        if let Some(at) = args.iter().position(|a| a == flag) {
            args.drain(at..at + 2);
        }
    }
    let env = [
        ("REDWINGWEIR_TOKEN", TOKEN),
        ("REDWINGWEIR_SECRET", SECRET_HEX),
    ];
    Process::start(BINARY, &args, &env)
}

/// Publishes a list of `count` unreachable VMs.
async fn publish_vms(fleet: &Fleet, count: usize) -> io::Result<()> {
    let vms = (0..count).map(|n| Vm {
        name: format!("vm-{}", n + 1),
        centre: "centre-a".to_owned(),
        peer: "127.0.0.1:1".to_owned(),
        leaving: false,
    });
    let vms: Vec<_> = vms.collect();
    let put = TextRequest {
        method: Method::Put,
        path: "/vms",
        body: &serde_json::to_string(&vms)?,
        headers: &[],
    };
    let put = send_request(&fleet.platform.addr(""), put).await;
    put.map(|_| ()).map_err(io::Error::other)
}

async fn measure_idle() -> io::Result<()> {
    println!("an idle node");
    for &(vms, targets, accounts) in SIZES {
        let mut fleet = start(0, &[]).await?;
        publish_vms(&fleet, vms).await?;
        let config = enlarged(&fleet.config, targets, accounts);
        fleet.accept(config).await?;
        let process = serve(&fleet)?;
        Timer::after(SETTLE).await;
        let node = process.id();
        let before = cpu(node);
        Timer::after(DURATION).await;
        let used = (cpu(node) - before) / DURATION.as_secs_f64();
        println!(
            "  VMs {vms:>5}  targets {targets:>6}  accounts {accounts:>6}  {:>6.1} MB  {:.1}% of a core",
            resident(node),
            used * 100.0
        );
        if vms < SIZES[SIZES.len() - 1].0 {
            continue;
        }
        let addr = process.addr("callers");
        let mut held = Vec::with_capacity(IDLE_CONNECTIONS);
        for _ in 0..IDLE_CONNECTIONS {
            held.push(TcpStream::connect(&addr).await?);
        }
        Timer::after(Duration::from_secs(1)).await;
        println!(
            "  with {IDLE_CONNECTIONS} idle connections  {:>6.1} MB",
            resident(node)
        );
    }
    Ok(())
}

/// Reads one stream to its end and returns its number of events.
async fn read_stream(client: Client, addr: String, tokens: u64) -> Option<u64> {
    let body = format!(
        "{{\"model\":\"small\",\"prompt\":\"hello\",\"max_tokens\":{tokens},\"stream\":true}}"
    );
    let mut request = post_json(&addr, "/v1/completions", body.into_bytes()).ok()?;
    request.insert_header("authorization", format!("Bearer {ACCOUNT_KEY}"));
    let sent = client.send(&addr, request, Pooling::Reuse, TIMEOUT);
    let mut lines = sent.await.ok()?.lines();
    let mut events = 0;
    while lines.next(TIMEOUT).await.ok()?.is_some() {
        events += 1;
    }
    Some(events)
}

async fn measure_relay(workers: &Workers) -> io::Result<()> {
    println!("a node that relays streams of {DECODE_RATE} tokens a second");
    let decode = DECODE_RATE.to_string();
    let engine = ["--decode-rate", &decode, "--slots", "100000"];
    let fleet = start(1, &engine).await?;
    let (node, addr) = (fleet.nodes[0].id(), fleet.nodes[0].addr("callers"));
    let tokens = DECODE_RATE * DURATION.as_secs();
    for &streams in STREAMS {
        let (before, started) = (cpu(node), Instant::now());
        let client = Client::default();
        let tasks: Vec<_> = (0..streams)
            .map(|_| workers.spawn(read_stream(client.clone(), addr.clone(), tokens)))
            .collect();
        let mut events = 0;
        let mut failed = 0;
        for task in tasks {
            match task.await {
                Some(n) => events += n,
                None => failed += 1,
            }
        }
        let used = cpu(node) - before;
        println!(
            "  streams {streams:>4}  {:>6.0} tokens/s  failed {failed}  {:.1}% of a core  {:.1} us a token",
            events as f64 / started.elapsed().as_secs_f64(),
            used / started.elapsed().as_secs_f64() * 100.0,
            used / events as f64 * 1e6
        );
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let workers = Workers::start(2)?;
    smol::block_on(async {
        measure_idle().await?;
        measure_relay(&workers).await
    })
}
