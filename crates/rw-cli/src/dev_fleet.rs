//! A small fleet in one process, on loopback ports assigned by the kernel.

use crate::CliError;
use rw_fakes::{EngineSettings, FakeEngine, FakePlatform, FakeService, PlatformSettings};
use rw_http::Client;
use rw_node::{BoundNode, NodeSettings};
use rw_platform::{HttpPlatform, accept_config, read_head};
use rw_types::{
    Account, Config, Model, Role, Service, ServiceKind, Target, TargetKind, Version, WorkKind,
    hash_key,
};
use std::{net::SocketAddr, time::Duration};

/// Loopback address with a port assigned by the kernel.
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Number of entry nodes.
const NODE_COUNT: usize = 3;
/// Secret with which the key of the only account is hashed. It need not be secret, because the
/// fleet stores nothing beyond its process.
const SECRET: [u8; 32] = [7; 32];
/// Time limit of a platform call.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Addresses of a running fleet, and the key to call it with.
#[derive(Debug)]
pub struct DevFleet {
    /// Addresses of the nodes' listeners for callers.
    pub callers: Vec<SocketAddr>,
    /// Addresses of the nodes' listeners for operators.
    pub operators: Vec<SocketAddr>,
    /// Bearer key of the only account.
    pub key: &'static str,
}

/// Starts the fleet on the global executor.
///
/// # Errors
///
/// [`CliError::Bind`], [`CliError::Serve`], or [`CliError::Failed`] if the configuration can't be
/// stored in the fake platform.
pub async fn start_fleet() -> Result<DevFleet, CliError> {
    let platform = FakePlatform::bind(PlatformSettings {
        listen: LOOPBACK,
        list_lag_ms: 0,
        weight_rate: 1 << 30,
    })
    .map_err(CliError::Bind)?;
    let platform_addr = platform.addr().map_err(CliError::Bind)?;
    smol::spawn(platform.run()).detach();
    let mut targets = Vec::new();
    for name in ["engine-1", "engine-2"] {
        targets.push(start_engine(name)?);
    }
    targets.push(start_service()?);
    let key = "dev-key-for-loopback-only";
    let config = dev_config(targets, key);
    store_config(&platform_addr.to_string(), &config).await?;
    let mut fleet = DevFleet {
        callers: Vec::new(),
        operators: Vec::new(),
        key,
    };
    for n in 1..=NODE_COUNT {
        start_node(n, platform_addr, &mut fleet)?;
    }
    Ok(fleet)
}

fn start_engine(name: &str) -> Result<Target, CliError> {
    let settings = EngineSettings {
        listen: LOOPBACK,
        models: vec!["small".to_owned()],
        change_ms: 500,
        ..EngineSettings::default()
    };
    let engine = FakeEngine::bind(settings).map_err(CliError::Bind)?;
    let addr = engine.addr().map_err(CliError::Bind)?;
    smol::spawn(engine.run()).detach();
    Ok(target(name, addr, TargetKind::Engine, "chat", &["small"]))
}

fn start_service() -> Result<Target, CliError> {
    let service = FakeService::bind(LOOPBACK).map_err(CliError::Bind)?;
    let addr = service.addr().map_err(CliError::Bind)?;
    smol::spawn(service.run()).detach();
    Ok(target(
        "service-1",
        addr,
        TargetKind::Plain,
        "reservations",
        &[],
    ))
}

fn target(
    name: &str,
    addr: SocketAddr,
    kind: TargetKind,
    service: &str,
    models: &[&str],
) -> Target {
    Target {
        name: name.to_owned(),
        addr: addr.to_string(),
        centre: "centre-a".to_owned(),
        kind,
        service: service.to_owned(),
        group: String::new(),
        models: models.iter().map(|m| (*m).to_owned()).collect(),
        role: Role::Mixed,
        checks_fence: true,
        leaving: false,
    }
}

fn dev_config(targets: Vec<Target>, key: &str) -> Config {
    let service = |name: &str, kind| Service {
        name: name.to_owned(),
        kind,
        idempotent: vec!["/lookup".to_owned()],
    };
    let mut config = Config {
        version: Version(1),
        models: vec![Model {
            name: "small".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            bytes: 1 << 20,
            replicas: 1,
        }],
        services: vec![
            service("chat", ServiceKind::Engine),
            service("reservations", ServiceKind::Plain),
        ],
        targets,
        accounts: vec![Account {
            name: "dev".to_owned(),
            keys: vec![hash_key(&SECRET, key)],
            share: 1,
        }],
        kinds: vec![WorkKind {
            name: "quick".to_owned(),
            priority: 5,
            deadline_ms: 5_000,
            objective: 0.99,
        }],
        change_weight: 1.0,
    };
    config.sort();
    config
}

async fn store_config(platform: &str, config: &Config) -> Result<(), CliError> {
    let client = HttpPlatform::new(Client::default(), platform, PLATFORM_TIMEOUT);
    let failed = |e: rw_platform::PlatformError| CliError::Failed(e.to_string());
    let (_, head) = read_head(&client).await.map_err(failed)?;
    accept_config(&client, config, &head)
        .await
        .map_err(failed)?;
    Ok(())
}

fn start_node(n: usize, platform: SocketAddr, fleet: &mut DevFleet) -> Result<(), CliError> {
    let centre = if n == NODE_COUNT {
        "centre-b"
    } else {
        "centre-a"
    };
    let settings = NodeSettings::loopback(&format!("vm-{n}"), centre, platform);
    let bound = BoundNode::bind(settings)?;
    let [callers, _, operators] = bound.addrs().map_err(CliError::Bind)?;
    fleet.callers.push(callers);
    fleet.operators.push(operators);
    smol::spawn(async move {
        if let Err(error) = bound.run(std::future::pending()).await {
            log::error!("node stopped with an error: {error}");
        }
    })
    .detach();
    Ok(())
}
