//! Runs one case of the review: starts the project's program on loopback addresses, plays the platform, the
//! runners and the clients, and checks one rule. Usage: lab CASE DIRECTORY, from the repository's root.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
//! environment the disruption is left out.

mod cases;
mod http;
mod json;
mod store;

use std::{
    fs::File,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

/// What was sent, answered and run, with times.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub struct Lab {
    pub record: Record,
    pub store: store::Store,
    /// Whether the disruption is played.
    pub trouble: bool,
    folder: PathBuf,
    pub machines: Vec<Machine>,
    /// Settings that follow from the deployment's sheet.
    pub sheet: &'static str,
}

/// Settings of `sites/nilebell-hq.toml`.
pub const NILEBELL: &str = "descriptors = 4100\nlink-mbps = 1000.0\nmemory-mb = 260\ngrace-s = 8\n\
    drain-ms = 2000\nretry-ratio = 0.2\nretry-slack = 56\nretry-window-s = 10\n";
/// Settings of `sites/khabar-saar.toml`.
pub const KHABAR: &str = "descriptors = 4200\nlink-mbps = 1000.0\nmemory-mb = 260\ngrace-s = 8\n\
    drain-ms = 2000\nretry-ratio = 0.2\nretry-slack = 52\nretry-window-s = 10\n";
/// Settings of `demands/ubt-lending-grown.toml`.
pub const UBT: &str = "descriptors = 4100\nlink-mbps = 200.0\nmemory-mb = 160\ngrace-s = 8\n\
    drain-ms = 3000\nretry-ratio = 0.2\nretry-slack = 196\nretry-window-s = 10\n\
    fail-closed = true\nrevoke-ms = 5000\n";

/// A machine that runs the role `relay` of the deploy file.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Machine {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
    }

    /// Exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            let _ = machine.child.kill();
            let _ = machine.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A free port below those that the system gives to outgoing connections, so that none of them takes it
/// before the machine does.
fn free_port() -> u16 {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let n = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST + n % COUNT) as u16;
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A port that is free for TCP and UDP.
fn free_digest_port() -> u16 {
    loop {
        let port = free_port();
        if std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Lab {
    /// Starts machines that know each other as seeds, with the settings of a small deployment.
    pub fn start(&mut self, count: usize) -> Result<(), String> {
        let addr = |port: u16| format!("127.0.0.1:{port}");
        let controls: Vec<String> = (0..count).map(|_| addr(free_port())).collect();
        let seeds: Vec<String> = controls.iter().take(3).map(|c| format!("\"{c}\"")).collect();
        for i in 0..count {
            let store = self.store.open(i);
            let (front, ready) = (addr(free_port()), addr(free_port()));
            let name = format!("frontend-a-{}", i + 1);
            let settings = format!(
                "vm = \"{name}\"\ncentre = \"zone-a\"\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{}\"\n\
                 digests = \"{}\"\nmetrics = \"{}\"\nseeds = [{}]\nstore = \"{store}\"\n{}\
                 duties.address = \"\"\nduties.rate-per-s = \"\"\n\
                 duties.names = \"\"\nduties.duties-per-s = \"\"\nduties.require-fencing = \"true\"\n\
                 duties.report-window-s = \"\"\nduties.usage-late-s = \"\"\n",
                controls[i],
                addr(free_digest_port()),
                addr(free_port()),
                seeds.join(","),
                self.sheet,
            );
            let path = self.folder.join(format!("{name}.toml"));
            std::fs::write(&path, settings).map_err(|e| e.to_string())?;
            let child = spawn(&path)?;
            self.record.note(&format!("{name} starts, front {front}, store at {store}"));
            let parse = |text: &str| text.parse().expect("an address");
            self.machines.push(Machine { name, front: parse(&front), ready: parse(&ready), settings: path, child });
        }
        self.wait_ready()
    }

    /// Kills all machines.
    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            let _ = machine.child.kill();
            let _ = machine.child.wait();
        }
        self.record.note("all machines lose power");
    }

    /// Starts all machines again.
    pub fn restart_all(&mut self) -> Result<(), String> {
        for machine in &mut self.machines {
            machine.child = spawn(&machine.settings)?;
        }
        self.record.note("all machines start again");
        self.wait_ready()
    }

    fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.machines.iter().all(|m| is_ready(m.ready)) {
            if Instant::now() > until {
                return Err("not all machines became ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.note("all machines are ready");
        Ok(())
    }

    /// Copies the log of a machine beside the record.
    pub fn keep_log(&self, machine: usize, to: &Path) {
        let name = &self.machines[machine].name;
        let _ = std::fs::copy(self.folder.join(format!("{name}.log")), to.join(format!("{name}.log")));
    }
}

/// Starts the program as the deploy file does, with its log beside its settings.
fn spawn(settings: &Path) -> Result<Child, String> {
    let path = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(path).map_err(|e| e.to_string())?;
    let errors = log.try_clone().map_err(|e| e.to_string())?;
    Command::new("target/release/redwingweir")
        .args(["relay", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|e| format!("target/release/redwingweir doesn't start: {e}"))
}

fn is_ready(addr: SocketAddr) -> bool {
    let answered = || -> Option<u16> {
        let mut conn = http::Conn::open(addr, Duration::from_millis(500)).ok()?;
        conn.write(b"GET /redwingweir/readiness HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n").ok()?;
        Some(conn.read().ok()??.status())
    };
    answered() == Some(200)
}

fn run() -> Result<bool, String> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        return Err("usage: lab CASE DIRECTORY".to_owned());
    };
    let file = File::create(Path::new(folder).join("record.txt")).map_err(|e| e.to_string())?;
    let record = Record { file: Arc::new(Mutex::new(file)), started: Instant::now() };
    let temporary = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    std::fs::create_dir_all(&temporary).map_err(|e| e.to_string())?;
    let mut lab = Lab {
        record: record.clone(),
        store: store::Store::new(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        folder: temporary,
        machines: Vec::new(),
        sheet: NILEBELL,
    };
    record.note(if lab.trouble { "with the disruption" } else { "without the disruption" });
    let (sender, receiver) = mpsc::channel();
    let case = case.clone();
    let folder = PathBuf::from(folder);
    thread::spawn(move || {
        let ended = cases::play(&case, &mut lab);
        if std::env::var("KEEP_LOGS").is_ok() {
            (0..lab.machines.len()).for_each(|i| lab.keep_log(i, &folder));
        }
        drop(lab);
        let _ = sender.send(ended);
    });
    let ended = receiver.recv_timeout(Duration::from_secs(115));
    let ended = ended.map_err(|_| "the case took too long".to_owned())?;
    match &ended {
        Ok(broken) => record.note(if *broken { "the rule was broken" } else { "the rule held" }),
        Err(error) => record.note(&format!("the case couldn't run: {error}")),
    }
    ended
}

fn main() {
    std::process::exit(match run() {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    });
}
