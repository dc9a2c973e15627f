//! Runs an experiment over loopback sockets, with nodes and fakes of the engines, the services and
//! the platform in one process. Time is compressed by a speed factor.

use crate::{
    Arrival, Experiment, Fault, KindResult, RequestShape, RunResult, arrivals,
    fleet_config::{MODEL, config},
    profile::roles,
};
use displaydoc::Display;
use http_types::{Method, Request, Url};
use rw_core::Policy;
use rw_fakes::{EngineSettings, FakeEngine, FakePlatform, FakeService, PlatformSettings};
use rw_http::{Client, Pooling, SendError, post_json};
use rw_node::{BoundNode, NodeSettings};
use rw_platform::{HttpPlatform, PlatformError, accept_config, read_head};
use rw_types::{Config, TargetKind, Version, Vm, hash_key};
use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Loopback address with a port assigned by the kernel.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Secret with which account keys are hashed; a constant is enough, as nothing outlives the run.
const SECRET: [u8; 32] = [7; 32];
/// Timeout of requests to the platform and to engines' control paths.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the nodes to read the configuration and acquire their leases.
const STARTUP_WAIT: Duration = Duration::from_secs(4);
/// Maximum wait for running requests after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(45);
/// Maximum time without data before a caller, or a node reading from a target, gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes of prompt text per token.
const TOKEN_BYTES: u64 = 4;
/// Bytes of prompt text per KV block.
const BLOCK_BYTES: usize = 4_000;

/// Why a run over sockets failed.
#[derive(Debug, Display)]
pub enum SocketError {
    /// can't bind a fake or a node: {0}; check the limit on open files
    Bind(io::Error),
    /// can't start a node: {0}
    Serve(rw_node::ServeError),
    /// the fake platform did not accept the configuration: {0}
    Platform(PlatformError),
    /// sending the list of VMs to the fake platform failed: {0}
    Send(SendError),
}

impl std::error::Error for SocketError {}

struct Fleet {
    platform: HttpPlatform,
    config: Config,
    node_addrs: Vec<String>,
    engines: Vec<(String, Option<smol::Task<()>>)>,
}

/// What a caller observed of one request. Times are scaled to the experiment's clock.
struct Observation {
    kind: usize,
    first_us: Option<u64>,
    gaps_us: Vec<u64>,
    total_us: u64,
    outcome: CallOutcome,
}

#[derive(Clone, Copy, PartialEq)]
enum CallOutcome {
    Complete,
    Refused,
    Unknown,
}

/// Runs an experiment over sockets, `speed` times faster than real time.
///
/// # Errors
///
/// Any [`SocketError`].
pub async fn run_sockets(experiment: &Experiment, speed: f64) -> Result<RunResult, SocketError> {
    let mut fleet = start(experiment, speed).await?;
    smol::Timer::after(STARTUP_WAIT).await;
    let all = arrivals(&experiment.profile, experiment.load, experiment.seed);
    let mut sent = vec![0; experiment.profile.kinds.len()];
    let observed: Arc<Mutex<Vec<Observation>>> = Arc::default();
    let mut faults = experiment.faults.iter().peekable();
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(all.len());
    for (i, arrival) in all.into_iter().enumerate() {
        while let Some(fault) = faults.next_if(|f| f.at_s * 1e6 <= arrival.at_us as f64) {
            fleet.inject_fault(fault.fault).await?;
        }
        let offset = Duration::from_secs_f64(arrival.at_us as f64 / 1e6 / speed);
        smol::Timer::after(offset.saturating_sub(start.elapsed())).await;
        sent[arrival.kind] += 1;
        let addr =
            fleet.node_addrs[(arrival.node % fleet.node_addrs.len() as u64) as usize].clone();
        let kind = experiment.profile.kinds[arrival.kind].clone();
        let observed = observed.clone();
        tasks.push(smol::spawn(async move {
            let one = send_request(i, &arrival, &kind, &addr, speed).await;
            observed
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(one);
        }));
    }
    let all_done = async {
        for task in &mut tasks {
            task.await;
        }
    };
    let timeout = async {
        smol::Timer::after(DRAIN_TIMEOUT).await;
    };
    smol::future::or(all_done, timeout).await;
    let changes = fleet.count_role_changes().await;
    let observed = observed.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(aggregate(experiment, &sent, &observed, changes))
}

fn aggregate(
    experiment: &Experiment,
    sent: &[u64],
    observed: &[Observation],
    changes: u32,
) -> RunResult {
    let mut result = RunResult {
        changes,
        ..RunResult::default()
    };
    for (i, kind) in experiment.profile.kinds.iter().enumerate() {
        let mut one = KindResult {
            kind: kind.kind.name.clone(),
            sent: sent[i],
            lost: sent[i],
            ..KindResult::default()
        };
        for observed in observed.iter().filter(|s| s.kind == i) {
            one.lost -= 1;
            let on_time = observed.total_us <= kind.kind.deadline_ms * 1_000;
            match observed.outcome {
                CallOutcome::Complete if on_time => one.good += 1,
                CallOutcome::Complete => one.late += 1,
                CallOutcome::Refused => one.refused += 1,
                CallOutcome::Unknown => one.unknown += 1,
            }
            observed
                .first_us
                .into_iter()
                .for_each(|us| one.firsts.record(us));
            observed.gaps_us.iter().for_each(|us| one.gaps.record(*us));
        }
        result.kinds.push(one);
    }
    result.compute_total();
    result
}

async fn start(experiment: &Experiment, speed: f64) -> Result<Fleet, SocketError> {
    let platform = FakePlatform::bind(PlatformSettings {
        listen: LOOPBACK,
        list_lag_ms: 0,
        weight_rate: 1 << 30,
    })
    .map_err(SocketError::Bind)?;
    let addr = platform.addr().map_err(SocketError::Bind)?;
    smol::spawn(platform.run()).detach();
    let profile = &experiment.profile;
    let mut config = config(profile, &roles(&experiment.split));
    config.change_weight /= speed;
    for kind in &mut config.kinds {
        kind.deadline_ms = (kind.deadline_ms as f64 / speed) as u64;
    }
    for account in &mut config.accounts {
        account.keys = vec![hash_key(&SECRET, &account.name)];
    }
    let mut engines = Vec::new();
    engines.resize_with(profile.engines, || (String::new(), None));
    for target in &mut config.targets {
        if target.kind == TargetKind::Plain {
            let service = FakeService::bind(LOOPBACK).map_err(SocketError::Bind)?;
            target.addr = service.addr().map_err(SocketError::Bind)?.to_string();
            smol::spawn(service.run()).detach();
            continue;
        }
        let batch = profile.engine();
        let engine = FakeEngine::bind(EngineSettings {
            models: vec![MODEL.to_owned()],
            role: target.role,
            prefill_rate: (1e6 / batch.token_us) as u64,
            decode_rate: (1e6 / batch.base_us) as u64,
            slots: batch.slots,
            blocks: batch.blocks,
            checks_fence: target.checks_fence,
            change_ms: batch.change_us / 1_000,
            lag_ms: (experiment.lag_ms as f64 / speed) as u64,
            speed,
            ..EngineSettings::default()
        })
        .map_err(SocketError::Bind)?;
        target.addr = engine.addr().map_err(SocketError::Bind)?.to_string();
        let position = target
            .name
            .trim_start_matches("engine-")
            .parse()
            .unwrap_or(0);
        let slot: &mut (String, Option<smol::Task<()>>) = &mut engines[position];
        *slot = (target.addr.clone(), Some(smol::spawn(engine.run())));
    }
    let mut fleet = Fleet {
        platform: HttpPlatform::new(Client::default(), addr.to_string(), PLATFORM_TIMEOUT),
        config,
        node_addrs: Vec::new(),
        engines,
    };
    fleet.publish_config().await?;
    let vms = fleet.start_nodes(experiment, addr, speed)?;
    put_vms(&addr.to_string(), &vms).await?;
    Ok(fleet)
}

async fn put_vms(platform: &str, vms: &[Vm]) -> Result<(), SocketError> {
    let send = SocketError::Send;
    let url =
        Url::parse(&format!("http://{platform}/vms")).map_err(|_| send(SendError::InvalidAddr))?;
    let mut request = Request::new(Method::Put, url);
    request.set_body(serde_json::to_vec(vms).unwrap_or_default());
    let client = Client::default();
    let sent = client
        .send(platform, request, Pooling::Fresh, PLATFORM_TIMEOUT)
        .await;
    sent.map_err(send)?
        .bytes(PLATFORM_TIMEOUT)
        .await
        .map_err(send)?;
    Ok(())
}

impl Fleet {
    fn start_nodes(
        &mut self,
        experiment: &Experiment,
        platform: SocketAddr,
        speed: f64,
    ) -> Result<Vec<Vm>, SocketError> {
        let scaled = |ms: u64| (ms as f64 / speed) as u64;
        let policy = &experiment.policy;
        let policy = Policy {
            plan_interval_ms: scaled(policy.plan_interval_ms),
            horizon_ms: scaled(policy.horizon_ms),
            window_ms: scaled(policy.window_ms),
            role_change_ms: scaled(policy.role_change_ms),
            ..policy.clone()
        };
        let mut vms = Vec::new();
        for n in 0..experiment.nodes {
            let (name, centre) = (format!("vm-{n}"), format!("centre-{}", n % 3));
            let settings = NodeSettings {
                secret: SECRET,
                // A stream sends nothing until its first token.
                read_timeout: READ_TIMEOUT,
                load_poll_interval: Duration::from_millis(scaled(experiment.poll_ms)),
                policy: policy.clone(),
                ..NodeSettings::loopback(&name, &centre, platform)
            };
            let bound = BoundNode::bind(settings).map_err(SocketError::Serve)?;
            let [callers, peer, _] = bound.addrs().map_err(SocketError::Bind)?;
            self.node_addrs.push(callers.to_string());
            vms.push(Vm {
                name,
                centre,
                peer: peer.to_string(),
                leaving: false,
            });
            smol::spawn(async move {
                if let Err(error) = bound.run(std::future::pending()).await {
                    log::error!("node stopped serving: {error}");
                }
            })
            .detach();
        }
        Ok(vms)
    }

    async fn publish_config(&mut self) -> Result<(), SocketError> {
        let (version, head) = read_head(&self.platform)
            .await
            .map_err(SocketError::Platform)?;
        self.config.version = Version(version.0 + 1);
        let accepted = accept_config(&self.platform, &self.config, &head).await;
        accepted.map_err(SocketError::Platform)?;
        Ok(())
    }

    /// Injects withdrawals and kills; the other faults are supported in virtual time only.
    async fn inject_fault(&mut self, fault: Fault) -> Result<(), SocketError> {
        match fault {
            Fault::Withdraw(n) => {
                let name = format!("engine-{n}");
                let targets = self.config.targets.iter_mut();
                targets
                    .filter(|t| t.name == name)
                    .for_each(|t| t.leaving = true);
                self.publish_config().await?;
            }
            Fault::Kill(n) => self.engines[n].1 = None,
            Fault::ReportLag(_) | Fault::TableOutage(_) => {}
        }
        Ok(())
    }

    /// Number of role orders that the engines accepted.
    async fn count_role_changes(&self) -> u32 {
        let mut changes = 0;
        for (addr, _) in &self.engines {
            let held = get(addr, "/held").await.unwrap_or_default();
            changes += String::from_utf8_lossy(&held)
                .matches("\"do\":\"role\"")
                .count();
        }
        changes as u32
    }
}

async fn get(addr: &str, path: &str) -> Result<Vec<u8>, SendError> {
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| SendError::InvalidAddr)?;
    let request = Request::new(Method::Get, url);
    let client = Client::default();
    let response = client
        .send(addr, request, Pooling::Fresh, PLATFORM_TIMEOUT)
        .await?;
    response.bytes(PLATFORM_TIMEOUT).await
}

async fn send_request(
    i: usize,
    arrival: &Arrival,
    kind: &crate::KindProfile,
    addr: &str,
    speed: f64,
) -> Observation {
    let start = Instant::now();
    let mut observed = Observation {
        kind: arrival.kind,
        first_us: None,
        gaps_us: Vec::new(),
        total_us: 0,
        outcome: CallOutcome::Unknown,
    };
    let us = |from: Instant| (from.elapsed().as_secs_f64() * speed * 1e6) as u64;
    observed.outcome =
        match perform_request(i, arrival, kind, addr, start, &us, &mut observed).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::Unknown,
        };
    observed.total_us = us(start);
    observed
}

async fn perform_request(
    i: usize,
    arrival: &Arrival,
    kind: &crate::KindProfile,
    addr: &str,
    start: Instant,
    us: &impl Fn(Instant) -> u64,
    observed: &mut Observation,
) -> Result<CallOutcome, SendError> {
    let streamed = matches!(kind.shape, RequestShape::Generate { .. });
    let mut request = if streamed {
        let body = serde_json::json!({
            "model": MODEL, "prompt": text(arrival), "max_tokens": arrival.output, "stream": true,
        });
        post_json(addr, "/v1/completions", body.to_string().into_bytes())?
    } else {
        let path = match kind.shape {
            RequestShape::Call { idempotent: true } => "lookup",
            _ => "record",
        };
        let body = format!("{{\"n\":{i}}}").into_bytes();
        let mut request = post_json(addr, &format!("/services/calls/{path}"), body)?;
        if path == "record" {
            request.insert_header("idempotency-key", format!("key-{i}"));
        }
        request
    };
    request.insert_header("authorization", format!("Bearer caller-{}", arrival.caller));
    request.insert_header("x-work-kind", kind.kind.name.as_str());
    let client = Client::default();
    let response = client
        .send(addr, request, Pooling::Fresh, READ_TIMEOUT)
        .await?;
    if response.status() != 200 {
        return Ok(match response.header("x-outcome") {
            Some("not-run") => CallOutcome::Refused,
            _ => CallOutcome::Unknown,
        });
    }
    if !streamed {
        response.bytes(READ_TIMEOUT).await?;
        return Ok(CallOutcome::Complete);
    }
    let mut lines = response.lines();
    let mut last = start;
    while let Some(line) = lines.next(READ_TIMEOUT).await? {
        if line == "[DONE]" {
            return Ok(CallOutcome::Complete);
        }
        let gap = us(last);
        match observed.first_us {
            None => observed.first_us = Some(gap),
            Some(_) => observed.gaps_us.push(gap),
        }
        last = Instant::now();
    }
    Ok(CallOutcome::Unknown)
}

/// Prompt text with the arrival's prefixes and number of tokens.
fn text(arrival: &Arrival) -> String {
    let block = |hash: &u64| format!("{hash:016x}").repeat(BLOCK_BYTES / 16);
    let mut text: String = arrival.blocks.iter().map(block).collect();
    let rest = (arrival.prompt * TOKEN_BYTES) as usize - text.len();
    text.extend(std::iter::repeat_n('x', rest));
    text
}
