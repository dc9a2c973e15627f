//! A node of the system: the program of the deploy file, started as a process of its own.

use crate::{
    http::{Conn, signal},
    record,
    store::Store,
};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Processes that this run has started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this run has started.
pub fn end_all() {
    CHILDREN
        .lock()
        .expect("the list")
        .drain(..)
        .for_each(|pid| signal(pid, SIGKILL));
}

pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    name: String,
}

fn free_addr() -> SocketAddr {
    // The same port must be free for TCP and UDP.
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        if UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Node {
    /// Starts a node with the settings of the template for a small deployment. Its log goes to the
    /// temporary folder `dir`.
    pub fn start(name: &str, store: &Store, dir: &Path) -> Self {
        Self::start_with(name, store, dir, "")
    }

    /// The same with further lines in the settings.
    pub fn start_with(name: &str, store: &Store, dir: &Path, lines: &str) -> Self {
        let [front, ready, control, digests, metrics] = [(); 5].map(|()| free_addr());
        let settings = format!(
            "vm = \"{name}\"\ncentre = \"vidzeme-a\"\nfront = \"{front}\"\nready = \"{ready}\"\n\
             control = \"{control}\"\ndigests = \"{digests}\"\nmetrics = \"{metrics}\"\n\
             seeds = [\"{control}\"]\nstore = \"{}\"\ndescriptors = 4100\nlink-mbps = 1000.0\n\
             grace-s = 8\ndrain-ms = 2000\nretry-ratio = 0.2\nretry-slack = 58\nretry-window-s = 10\n\
             {lines}duties.address = \"\"\nduties.rate-per-s = \"\"\nduties.names = \"\"\n\
             duties.duties-per-s = \"\"\nduties.require-fencing = \"false\"\n\
             duties.report-window-s = \"\"\nduties.usage-late-s = \"\"\n",
            store.addr
        );
        let file = dir.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("the settings file");
        let log = File::create(dir.join(format!("{name}.log"))).expect("the log");
        let child = Command::new(program())
            .args(["relay", "--settings"])
            .arg(&file)
            .env("REDWINGWEIR_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        CHILDREN.lock().expect("the list").push(child.id());
        record!("node {name}: started, front {front}");
        Self {
            front,
            ready,
            child,
            name: name.to_owned(),
        }
    }

    /// Waits until the node answers the platform's readiness check with 200.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                record!("node {}: ready", self.name);
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the readiness check is answered with 200 within a second.
    pub fn answers_ready(&self) -> bool {
        self.is_ready()
    }

    fn is_ready(&self) -> bool {
        let Ok(mut conn) = Conn::open(self.ready) else {
            return false;
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request =
            b"GET /redwingweir/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        conn.write(request).is_ok() && conn.read_head().is_ok_and(|h| h.status() == 200)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, number: i32) {
        record!("node {}: gets signal {number}", self.name);
        signal(self.child.id(), number);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            CHILDREN
                .lock()
                .expect("the list")
                .retain(|pid| *pid != self.child.id());
        }
        has_ended
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            CHILDREN
                .lock()
                .expect("the list")
                .retain(|pid| *pid != self.child.id());
        }
    }
}

/// The program that the deploy file names.
pub fn program() -> PathBuf {
    PathBuf::from("target/release/redwingweir")
}
