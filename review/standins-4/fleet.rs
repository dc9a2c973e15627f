//! The nodes of the system as separate processes, and the runners' heartbeats.

use crate::{record::Record, runner::Runner, store::Store};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval of the runners' heartbeats, as in the settings of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A loopback address with a free port below those that the system gives to outgoing connections.
pub fn free_addr() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    // Far from those of a process with the next number, which may run another case.
    let start = 12_000 + (std::process::id() % 17_000 * 331 % 17_000) as u16;
    loop {
        let port = 12_000 + (start - 12_000 + NEXT.fetch_add(1, Ordering::Relaxed)) % 18_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        let is_free = TcpListener::bind(addr).is_ok() && std::net::UdpSocket::bind(addr).is_ok();
        if is_free {
            return addr;
        }
    }
}

/// A node of the system.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    digests: SocketAddr,
    metrics: SocketAddr,
    folder: PathBuf,
    zone: String,
    child: Option<Child>,
    starts: u32,
}

impl Node {
    pub fn new(name: &str, zone: &str, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            front: free_addr(),
            ready: free_addr(),
            control: free_addr(),
            digests: free_addr(),
            metrics: free_addr(),
            folder: folder.to_owned(),
            zone: zone.to_owned(),
            child: None,
            starts: 0,
        }
    }

    /// Writes the settings as the template of the deploy file renders them.
    pub fn write_settings(&self, store: SocketAddr, seeds: &[SocketAddr]) -> io::Result<()> {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "vm = \"{}\"\ncentre = \"{}\"\nfront = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\n\
             digests = \"{}\"\nmetrics = \"{}\"\nseeds = [{}]\nstore = \"{store}\"\n\
             descriptors = 8192\nlink-mbps = 200.0\nmemory-mb = 512\ngrace-s = 8\ndrain-ms = 3000\n\
             retry-ratio = 0.2\nretry-slack = 176\nretry-window-s = 10\n\
             duties.address = \"\"\nduties.rate-per-s = \"\"\nduties.names = \"\"\n\
             duties.duties-per-s = \"\"\nduties.require-fencing = \"false\"\n\
             duties.report-window-s = \"\"\nduties.usage-late-s = \"\"\n",
            self.name,
            self.zone,
            self.front,
            self.ready,
            self.control,
            self.digests,
            self.metrics,
            seeds.join(",")
        );
        fs::write(self.settings(), text)
    }

    fn settings(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name))
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.starts));
        let child = Command::new("target/release/redwingweir")
            .args(["relay", "--settings"])
            .arg(self.settings())
            .stdin(Stdio::null())
            .stdout(File::create(log)?)
            .stderr(Stdio::null())
            .spawn()?;
        track(&child);
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            untrack(child.id());
        }
    }

    /// Tells the process to stop (SIGTERM).
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => return true,
        };
        if ended {
            self.kill();
        }
        ended
    }

    pub fn is_ready(&self) -> bool {
        crate::client::get(self.ready, "/redwingweir/readiness").is_ok_and(|status| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes are ready; false if that takes too long.
pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Writes a runner's entry each [`HEARTBEAT`], first after `delay`.
pub struct Heartbeat {
    stopped: Arc<AtomicBool>,
    beat: Arc<Mutex<Instant>>,
}

impl Heartbeat {
    pub fn start(runner: &Runner, store: &Store) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let beat = Arc::new(Mutex::new(Instant::now()));
        let (runner, store) = (runner.clone(), store.clone());
        let (end, next) = (stopped.clone(), beat.clone());
        thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let due = next.lock().is_ok_and(|at| Instant::now() >= *at);
                if due {
                    store.put("servers", &runner.spec.id, Some(&runner.entry()));
                    if let Ok(mut at) = next.lock() {
                        *at += HEARTBEAT;
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        Self { stopped, beat }
    }

    /// Moves the next heartbeat to `at`.
    pub fn set_next(&self, at: Instant) {
        if let Ok(mut next) = self.beat.lock() {
            *next = at;
        }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

impl Drop for Heartbeat {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The folder of a run for settings and logs; it is removed after the run.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn new(name: &str) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Processes that this one has started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that ends with this one.
pub fn track(child: &Child) {
    if let Ok(mut started) = STARTED.lock() {
        started.push(child.id());
    }
}

/// Notes that a process has ended and was waited for.
pub fn untrack(pid: u32) {
    if let Ok(mut started) = STARTED.lock() {
        started.retain(|p| *p != pid);
    }
}

/// Ends this process and those that it started if a case takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("the case couldn't run: it took too long");
        end_started();
        std::process::exit(2);
    });
}

/// Ends the processes that were started and that still run.
pub fn end_started() {
    let started = STARTED.lock().map(|s| s.clone()).unwrap_or_default();
    for pid in started {
        let _ = Command::new("kill").arg("-9").arg(pid.to_string()).status();
    }
}

/// A record that begins anew.
pub fn new_record(folder: &Path) -> io::Result<Record> {
    let path = folder.join("record.txt");
    fs::write(&path, "")?;
    Record::append_to(&path)
}
