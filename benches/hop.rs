//! Measures the throughput of one node and the latency that it adds between callers and engines.
//!
//! Run with `cargo bench --bench hop`, or with the number of threads to give the node, for example
//! `cargo bench --bench hop -- 1 3`. Rates depend on the machine; compare figures of one run.

use hdrhistogram::Histogram;
use rw_http::{Client, Pooling, Workers, post_json};
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings};
use smol::{Timer, future};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
/// Duration of one measurement.
const DURATION: Duration = Duration::from_secs(2);
/// Times that the paced measurement alternates between direct requests and requests to the node.
const ROUNDS: usize = 2;
/// Concurrent callers per thread of the node.
const CALLERS: usize = 32;
/// Engines; enough that they are not the bottleneck.
const ENGINES: usize = 4;
/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;

/// An endpoint to measure, with the request to send.
#[derive(Clone)]
struct Endpoint {
    addr: String,
    path: &'static str,
    body: Arc<String>,
    bearer: Arc<String>,
    client: Client,
    streamed: bool,
}

/// Result of a measurement.
struct Measured {
    rate: f64,
    first: Histogram<u64>,
    failed: u64,
}

impl Endpoint {
    /// Sends one request and returns the microseconds to its first event or to its complete response.
    async fn send(&self, start: Instant) -> Option<u64> {
        let body = self.body.as_bytes().to_vec();
        let mut request = post_json(&self.addr, self.path, body).ok()?;
        request.insert_header("authorization", self.bearer.as_str());
        let sent = self
            .client
            .send(&self.addr, request, Pooling::Reuse, TIMEOUT);
        let response = sent.await.ok()?;
        if response.status() != 200 {
            return None;
        }
        if !self.streamed {
            response.bytes(TIMEOUT).await.ok()?;
            return Some(start.elapsed().as_micros() as u64);
        }
        let mut lines = response.lines();
        lines.next(TIMEOUT).await.ok()??;
        let first = start.elapsed().as_micros() as u64;
        while lines.next(TIMEOUT).await.ok()?.is_some() {}
        Some(first)
    }
}

/// Sends requests for [`DURATION`] from `callers` concurrent callers, paced so that all together send
/// `pace` requests a second, or without pauses if `pace` is `None`.
async fn measure(
    workers: &Workers,
    endpoints: &[Endpoint],
    callers: usize,
    pace: Option<f64>,
) -> Measured {
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|n| {
            let endpoint = endpoints[n % endpoints.len()].clone();
            let interval = pace.map(|p| Duration::from_secs_f64(callers as f64 / p));
            workers.spawn(call_until(
                endpoint,
                start,
                interval,
                n as f64 / callers as f64,
            ))
        })
        .collect();
    let mut total = Measured {
        rate: 0.0,
        first: histogram(),
        failed: 0,
    };
    for task in tasks {
        let (first, failed) = task.await;
        total.first.add(first).expect("equal bounds");
        total.failed += failed;
    }
    total.rate = total.first.len() as f64 / start.elapsed().as_secs_f64();
    total
}

async fn call_until(
    endpoint: Endpoint,
    start: Instant,
    interval: Option<Duration>,
    offset: f64,
) -> (Histogram<u64>, u64) {
    let (mut first, mut failed) = (histogram(), 0);
    let mut next_send = start + interval.unwrap_or_default().mul_f64(offset);
    while start.elapsed() < DURATION {
        if let Some(interval) = interval {
            Timer::at(next_send).await;
            next_send += interval;
        }
        match endpoint.send(Instant::now()).await {
            Some(micros) => first.record(micros).expect("in bounds"),
            None => failed += 1,
        }
    }
    (first, failed)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

/// CPU seconds that a process has used.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS
}

/// Seconds for which the threads of a process were runnable but waited for a core.
fn run_delay(id: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task"))
        .into_iter()
        .flatten();
    let waited = tasks.flatten().filter_map(|t| {
        let stat = std::fs::read_to_string(t.path().join("schedstat")).ok()?;
        stat.split_whitespace().nth(1)?.parse::<f64>().ok()
    });
    waited.sum::<f64>() / 1e9
}

fn endpoints(fleet: &Fleet, output: u64, streamed: bool) -> (Vec<Endpoint>, Vec<Endpoint>) {
    let client = Client::default();
    let path = |addr: String, path, body: String, streamed| Endpoint {
        addr,
        path,
        body: Arc::new(body),
        bearer: Arc::new(format!("Bearer {ACCOUNT_KEY}")),
        client: client.clone(),
        streamed,
    };
    let engine = |output| {
        format!(
            "{{\"attempt\":1,\"model\":\"small\",\"prompt\":2,\"text\":\"hello\",\"output\":{output},\"resume\":0,\"priority\":0}}"
        )
    };
    let completion = format!(
        "{{\"model\":\"small\",\"prompt\":\"hello\",\"max_tokens\":{output},\"stream\":{streamed}}}"
    );
    let engines = fleet.engines.iter();
    let direct = engines.map(|e| path(e.addr(""), "/generate", engine(output), true));
    let node = fleet.nodes[0].addr("callers");
    let through = vec![path(node, "/v1/completions", completion, streamed)];
    (direct.collect(), through)
}

async fn start(threads: usize) -> io::Result<Fleet> {
    let flags = |pairs: &[&str]| pairs.iter().map(|f| (*f).to_owned()).collect::<Vec<_>>();
    let engine = flags(&[
        "--decode-rate",
        "1000000000",
        "--prefill-rate",
        "1000000000",
        "--slots",
        "100000",
    ]);
    let plan = FleetSettings {
        nodes: 1,
        engines: vec![engine; ENGINES],
        node_flags: flags(&["--threads", &threads.to_string()]),
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, plan).await
}

async fn bench(threads: usize, workers: &Workers) -> io::Result<()> {
    let fleet = start(threads).await?;
    let node = fleet.nodes[0].id();
    let (direct, through) = endpoints(&fleet, 1, false);
    let callers = CALLERS * threads;
    let alone = measure(workers, &direct, callers, None).await;
    let before = cpu(node);
    let peak = measure(workers, &through, callers, None).await;
    let used = (cpu(node) - before) / DURATION.as_secs_f64();
    println!("threads {threads}: small unstreamed requests, {callers} concurrent callers");
    println!("  direct  {:>7.0}/s  failed {}", alone.rate, alone.failed);
    println!(
        "  node    {:>7.0}/s  failed {}  {:.2} cores  {:.0}/s a core used  {:.0}/s a thread given",
        peak.rate,
        peak.failed,
        used,
        peak.rate / used,
        peak.rate / threads as f64
    );
    let (direct, through) = endpoints(&fleet, 4, true);
    let before = cpu(node);
    let peak = measure(workers, &through, callers, None).await;
    let used = (cpu(node) - before) / DURATION.as_secs_f64();
    println!(
        "threads {threads}: streams of four tokens\n  node    {:>7.0}/s  failed {}  {used:.2} cores",
        peak.rate, peak.failed
    );
    let pace = peak.rate / 2.0;
    let (mut a, mut b) = (histogram(), histogram());
    let (before, ready) = (cpu(node), run_delay(node));
    for _ in 0..ROUNDS {
        let alone = measure(workers, &direct, callers, Some(pace)).await;
        let node = measure(workers, &through, callers, Some(pace)).await;
        a.add(alone.first).expect("equal bounds");
        b.add(node.first).expect("equal bounds");
    }
    let used = (cpu(node) - before) / (DURATION.as_secs_f64() * ROUNDS as f64);
    let waited = (run_delay(node) - ready) / (DURATION.as_secs_f64() * ROUNDS as f64);
    println!(
        "threads {threads}: time to first token at half of that peak, ms; {used:.2} cores, waited for a core {:.1}% of the time",
        waited * 100.0
    );
    for (name, q) in [("median", 0.5), ("90th", 0.9), ("99th", 0.99)] {
        let ms = |h: &Histogram<u64>| h.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "  {name:<7} direct {:.3}  node {:.3}  added {:.3}",
            ms(&a),
            ms(&b),
            ms(&b) - ms(&a)
        );
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let given = std::env::args().filter_map(|a| a.parse().ok());
    let threads: Vec<usize> = given.collect();
    let threads = if threads.is_empty() {
        vec![1, 3]
    } else {
        threads
    };
    let workers = Workers::start(3)?;
    smol::block_on(async {
        for n in threads {
            future::yield_now().await;
            bench(n, &workers).await?;
        }
        Ok(())
    })
}
