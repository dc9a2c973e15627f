//! The project's own program, as separate processes.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A process of the role `relay` of the deploy file.
#[derive(Debug)]
pub struct Node {
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts nodes and waits until all say that they are ready; `None` if they don't. Another program may
/// take a port first, so that it tries a few times.
pub fn start_ready(count: usize, store: SocketAddr, dir: &Path) -> Option<Vec<Node>> {
    const TRIES: usize = 3;
    (0..TRIES).find_map(|_| {
        let nodes = start_nodes(count, store, dir);
        wait_ready(&nodes, Duration::from_secs(6)).then_some(nodes)
    })
}

/// Starts nodes with settings as the template of the deploy file gives them.
fn start_nodes(count: usize, store: SocketAddr, dir: &Path) -> Vec<Node> {
    let addrs: Vec<[SocketAddr; 5]> = (0..count)
        .map(|_| [tcp_port(), tcp_port(), tcp_port(), both_port(), tcp_port()])
        .collect();
    let seeds: Vec<String> = addrs.iter().map(|a| format!("\"{}\"", a[2])).collect();
    let start = |(n, a): (usize, &[SocketAddr; 5])| {
        let name = format!("frontend-a-{}", n + 1);
        let text = format!(
            "vm = \"{name}\"\ncentre = \"zone-a\"\nfront = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\ndigests = \"{}\"\nmetrics = \"{}\"\nseeds = [{}]\nstore = \"{store}\"\ndescriptors = 4200\nlink-mbps = 1000.0\nmemory-mb = 260\ngrace-s = 8\ndrain-ms = 2000\nretry-ratio = 0.2\nretry-slack = 52\nretry-window-s = 10\n",
            a[0],
            a[1],
            a[2],
            a[3],
            a[4],
            seeds.join(", ")
        );
        let path = dir.join(format!("{name}.toml"));
        fs::write(&path, text).expect("the settings can be written");
        let log = fs::File::create(dir.join(format!("{name}.log"))).expect("a log");
        let mut command = Command::new(program());
        command
            .args(["relay", "--settings"])
            .arg(&path)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .stdin(Stdio::null());
        // SAFETY: the call only sets an attribute of the new process.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().expect("the program starts");
        Node {
            child,
            front: a[0],
            ready: a[1],
        }
    };
    addrs.iter().enumerate().map(start).collect()
}

/// Waits until all nodes say that they are ready.
fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(|n| is_ready(n.ready)) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return false;
    };
    let request =
        format!("GET /redwingweir/readiness HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    let _ = stream.write_all(request.as_bytes());
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && head.ends_with(b"200")
}

/// Has the operating system end this process with the one that started it, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, argument: u64, ...) -> i32;
    }
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    const KILL: u64 = 9;
    // SAFETY: this option reads one number.
    unsafe { prctl(SET_PARENT_DEATH_SIGNAL, KILL) };
    Ok(())
}

fn program() -> PathBuf {
    let root = std::env::var("REPOSITORY").unwrap_or_else(|_| ".".to_owned());
    Path::new(&root).join("target/release/redwingweir")
}

/// A free port below those that the system gives to outgoing connections, so that none of them takes it
/// before the node does.
fn tcp_port() -> SocketAddr {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let n = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST + n % COUNT) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// A port that is free for TCP and UDP.
fn both_port() -> SocketAddr {
    loop {
        let addr = tcp_port();
        if UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
