//! A small fleet of separate processes.

use crate::{Output, Process, TextRequest, get, run, send_request};
use rw_http::{Client, Method};
use rw_platform::{HttpPlatform, Row, Table as _, accept_config, read_head};
use rw_types::{
    Account, Config, Model, Role, Service, ServiceKind, Target, TargetKind, Version, Vm, WorkKind,
    hash_key,
};
use std::{io, time::Duration};

/// Token of peers and operators.
pub const TOKEN: &str = "test-token-for-loopback";
/// Secret under which keys are hashed.
pub const SECRET_HEX: &str = "0707070707070707070707070707070707070707070707070707070707070707";
/// Bearer key of the one account.
pub const ACCOUNT_KEY: &str = "test-key-for-loopback";
/// Longest wait for a fleet to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(20);

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Entry nodes.
    pub nodes: usize,
    /// Engines, each with extra flags.
    pub engines: Vec<Vec<String>>,
    /// Plain services.
    pub services: usize,
    /// Extra flags of every node.
    pub node_flags: Vec<String>,
    /// Extra flags of the platform stand-in.
    pub platform_flags: Vec<String>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: vec![Vec::new(), Vec::new()],
            services: 1,
            node_flags: Vec::new(),
            platform_flags: Vec::new(),
        }
    }
}

/// Running processes.
#[derive(Debug)]
pub struct Fleet {
    /// Path of the binary.
    pub binary: String,
    /// Platform stand-in.
    pub platform: Process,
    /// Engines, named `engine-1` and so on.
    pub engines: Vec<Process>,
    /// Plain services, named `service-1` and so on.
    pub services: Vec<Process>,
    /// Entry nodes, named `vm-1` and so on.
    pub nodes: Vec<Process>,
    /// Configuration accepted last.
    pub config: Config,
    settings: FleetSettings,
}

impl Fleet {
    /// Starts all processes and waits until every node is ready and knows the others.
    ///
    /// # Errors
    ///
    /// The error of the operating system, or a time-out.
    pub async fn start(binary: &str, settings: FleetSettings) -> io::Result<Self> {
        let platform = fake(binary, "platform", &settings.platform_flags)?;
        let engines: io::Result<Vec<_>> =
            settings.engines.iter().map(|f| engine(binary, f)).collect();
        let services: io::Result<Vec<_>> = (0..settings.services)
            .map(|_| fake(binary, "service", &[]))
            .collect();
        let mut fleet = Self {
            binary: binary.to_owned(),
            platform,
            engines: engines?,
            services: services?,
            nodes: Vec::new(),
            config: Config::default(),
            settings,
        };
        fleet.config = fleet.first_config();
        fleet.accept(fleet.config.clone()).await?;
        for n in 1..=fleet.settings.nodes {
            let node = fleet.start_node(n)?;
            fleet.nodes.push(node);
        }
        fleet.publish_vms().await?;
        for n in 0..fleet.nodes.len() {
            fleet.wait_ready(n).await?;
        }
        fleet.wait_vm_list().await?;
        Ok(fleet)
    }

    /// Starts the node `vm-n` without adding it to the fleet.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start_node(&self, n: usize) -> io::Result<Process> {
        let args = self.node_args(n);
        let env = [
            ("REDWINGWEIR_TOKEN", TOKEN),
            ("REDWINGWEIR_SECRET", SECRET_HEX),
        ];
        Process::start(&self.binary, &args, &env)
    }

    /// Arguments of the node `vm-n`.
    #[must_use]
    pub fn node_args(&self, n: usize) -> Vec<String> {
        let centre = if n.is_multiple_of(3) {
            "centre-b"
        } else {
            "centre-a"
        };
        let mut args: Vec<String> = ["serve", "--centre", centre, "--listen", "127.0.0.1:0"]
            .into_iter()
            .chain([
                "--peer-listen",
                "127.0.0.1:0",
                "--operator-listen",
                "127.0.0.1:0",
            ])
            .chain([
                "--poll-ms",
                "100",
                "--report-poll-ms",
                "100",
                "--log",
                "warn",
            ])
            .map(str::to_owned)
            .collect();
        args.extend(["--vm".to_owned(), format!("vm-{n}")]);
        args.extend(["--platform".to_owned(), self.platform.addr("")]);
        args.extend(self.settings.node_flags.iter().cloned());
        args
    }

    /// Runs a command of the binary as an operator at node `i`.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn command(&self, i: usize, args: &[&str]) -> io::Result<Output> {
        let operator = self.nodes[i].addr("operators");
        let env = [
            ("REDWINGWEIR_OPERATOR", operator.as_str()),
            ("REDWINGWEIR_TOKEN", TOKEN),
            ("REDWINGWEIR_SECRET", SECRET_HEX),
        ];
        run(&self.binary, args, &env)
    }

    /// Puts the running nodes into the platform's list.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn publish_vms(&self) -> io::Result<()> {
        let named = self.nodes.iter().enumerate();
        let vms: Vec<Vm> = named
            .map(|(i, p)| Vm {
                name: format!("vm-{}", i + 1),
                centre: if (i + 1).is_multiple_of(3) {
                    "centre-b"
                } else {
                    "centre-a"
                }
                .to_owned(),
                peer: p.addr("peers"),
                leaving: false,
            })
            .collect();
        let body = serde_json::to_string(&vms).map_err(io::Error::other)?;
        let put = TextRequest {
            method: Method::Put,
            path: "/vms",
            body: &body,
            headers: &[],
        };
        send_request(&self.platform.addr(""), put)
            .await
            .map_err(io::Error::other)?;
        Ok(())
    }

    /// Waits until node `i` is ready.
    ///
    /// # Errors
    ///
    /// A time-out.
    pub async fn wait_ready(&self, i: usize) -> io::Result<()> {
        let tries = READY_LIMIT.as_millis() / PAUSE.as_millis();
        for _ in 0..tries {
            let answer = get(&self.nodes[i].addr("callers"), "/readyz").await;
            if answer.is_ok_and(|a| a.status == 200) {
                return Ok(());
            }
            smol::Timer::after(PAUSE).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Accepts a configuration with the next version.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn accept(&mut self, mut config: Config) -> io::Result<()> {
        let limit = Duration::from_secs(5);
        let table = HttpPlatform::new(Client::default(), self.platform.addr(""), limit);
        let (version, head) = read_head(&table).await.map_err(io::Error::other)?;
        config.version = Version(version.0 + 1);
        accept_config(&table, &config, &head)
            .await
            .map_err(io::Error::other)?;
        self.config = config;
        Ok(())
    }

    /// Kills engine `i` and starts it anew at the same address, with nothing of its past.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn restart_engine(&mut self, i: usize) -> io::Result<()> {
        let addr = self.engines[i].addr("");
        self.engines[i].kill();
        let mut flags = self.settings.engines[i].clone();
        flags.extend(["--listen".to_owned(), addr]);
        self.engines[i] = engine(&self.binary, &flags)?;
        Ok(())
    }

    /// The rows of `keys` in the table.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn rows(&self, keys: &[&str]) -> io::Result<Vec<Row>> {
        let limit = Duration::from_secs(5);
        let table = HttpPlatform::new(Client::default(), self.platform.addr(""), limit);
        let keys = keys.iter().map(|k| (*k).to_owned()).collect();
        Ok(table.get(keys).await.map_err(io::Error::other)?.rows)
    }

    /// Sets the faults of a stand-in, a JSON list as `POST /fault` takes it.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn set_faults(&self, process: &Process, faults: &str) -> io::Result<()> {
        let post = TextRequest {
            method: Method::Post,
            path: "/fault",
            body: faults,
            headers: &[],
        };
        let answer = send_request(&process.addr(""), post)
            .await
            .map_err(io::Error::other)?;
        assert_eq!(
            answer.status, 200,
            "the fault was not taken: {}",
            answer.body
        );
        Ok(())
    }

    fn first_config(&self) -> Config {
        let engines = self.engines.iter().enumerate().map(|(i, p)| {
            let checks = !self.settings.engines[i]
                .iter()
                .any(|f| f == "--ignores-fence");
            target(format!("engine-{}", i + 1), p, TargetKind::Engine, checks)
        });
        let services = self.services.iter().enumerate();
        let services = services
            .map(|(i, p)| target(format!("service-{}", i + 1), p, TargetKind::Plain, false));
        let service = |name: &str, kind| Service {
            name: name.to_owned(),
            kind,
            idempotent: vec!["/lookup".to_owned()],
        };
        let mut config = Config {
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
            targets: engines.chain(services).collect(),
            accounts: vec![Account {
                name: "tester".to_owned(),
                keys: vec![hash_key(&[7; 32], ACCOUNT_KEY)],
                share: 1,
            }],
            kinds: vec![WorkKind {
                name: "quick".to_owned(),
                priority: 5,
                deadline_ms: 5_000,
                objective: 0.99,
            }],
            ..Config::default()
        };
        config.sort();
        config
    }
}

fn target(name: String, process: &Process, kind: TargetKind, checks_fence: bool) -> Target {
    let engine = kind == TargetKind::Engine;
    Target {
        name,
        addr: process.addr(""),
        centre: "centre-a".to_owned(),
        kind,
        service: if engine { "chat" } else { "reservations" }.to_owned(),
        group: String::new(),
        models: if engine {
            vec!["small".to_owned()]
        } else {
            Vec::new()
        },
        role: Role::Mixed,
        checks_fence,
        leaving: false,
    }
}

fn engine(binary: &str, flags: &[String]) -> io::Result<Process> {
    let mut all = vec!["--model".to_owned(), "small".to_owned()];
    all.extend_from_slice(flags);
    fake(binary, "engine", &all)
}

fn fake(binary: &str, what: &str, flags: &[String]) -> io::Result<Process> {
    let mut args = vec!["fake".to_owned(), what.to_owned()];
    args.extend_from_slice(flags);
    Process::start(binary, &args, &[])
}
