//! `relay` as a process: its settings, its signals and its logs.

use std::{
    fs,
    io::{BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const LIMIT: Duration = Duration::from_secs(10);
const TRIES: usize = 20;

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A settings file and a relay that runs with it, before a store that nobody serves.
struct Relay {
    child: Child,
    front: SocketAddr,
    file: PathBuf,
}

fn settings(front: SocketAddr, grace: &str) -> String {
    format!(
        "vm = \"vm-1\"\ncentre = \"x\"\nfront = \"{front}\"\nready = \"{}\"\ndigests = \"{}\"\nmetrics = \"{}\"\nstore = \"{}\"\ngrace-s = {grace}\n",
        free(),
        free(),
        free(),
        free()
    )
}

fn file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("rw-relay-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join(name);
    fs::write(&file, text).expect("a file");
    file
}

impl Relay {
    fn start(name: &str) -> Self {
        // Another test may take a port between the look for a free one and the bind.
        let mut tries = (0..TRIES).filter_map(|_| Self::try_start(name));
        tries.next().expect("free ports")
    }

    /// A relay that listens; nothing if a port was taken meanwhile.
    fn try_start(name: &str) -> Option<Self> {
        let front = free();
        let file = file(name, &settings(front, "4"));
        let child = Command::new(BINARY)
            .args(["relay", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut relay = Self { child, front, file };
        let end = Instant::now() + LIMIT;
        while TcpStream::connect(front).is_err() {
            assert!(Instant::now() < end, "it does not listen");
            if !relay.is_running() {
                return None;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        relay.is_running().then_some(relay)
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.is_ok_and(|s| s.success()));
    }

    fn lines(&mut self) -> BufReader<ChildStdout> {
        BufReader::new(self.child.stdout.take().expect("its output"))
    }

    fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn code(&mut self) -> Option<i32> {
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Reads lines until one holds `text`.
fn wait_for(lines: &mut impl std::io::BufRead, text: &str) -> String {
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        if line.contains(text) {
            return line;
        }
        line.clear();
    }
    panic!("no line with {text}");
}

#[test]
fn wrong_settings_end_in_one_line_before_it_listens() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        told: &'static str,
    }
    let cases = [
        Case {
            name: "word.toml",
            from: "grace-s = 4",
            to: "grace-s = \"long\"",
            told: "grace-s",
        },
        Case {
            name: "negative.toml",
            from: "grace-s = 4",
            to: "grace-s = -1.0",
            told: "grace-s is -1",
        },
        Case {
            name: "empty.toml",
            from: "vm = \"vm-1\"",
            to: "vm = \"\"",
            told: "vm is empty",
        },
        Case {
            name: "typo.toml",
            from: "centre = ",
            to: "center = ",
            told: "center",
        },
    ];
    for case in cases {
        // Taken, so that a process that went on to listen would say so instead.
        let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let front = taken.local_addr().expect("an address");
        let text = settings(front, "4").replace(case.from, case.to);
        let path = file(case.name, &text);
        for args in [["relay", "--settings"], ["check", "--relay"]] {
            let run = Command::new(BINARY).args(args).arg(&path).output();
            let run = run.expect("a run");
            let told = String::from_utf8_lossy(&run.stderr).into_owned();
            assert_eq!(run.status.code(), Some(2), "{}: {told}", case.name);
            assert_eq!(told.lines().count(), 1, "{}: {told}", case.name);
            assert!(told.contains(case.told), "{}: {told}", case.name);
            assert!(!told.contains("can't be bound"), "{}: {told}", case.name);
        }
    }
}

#[test]
fn settings_are_reread_on_a_signal_and_when_the_file_changes() {
    let mut relay = Relay::start("reload.toml");
    let mut lines = relay.lines();
    wait_for(&mut lines, "started");
    relay.signal("HUP");
    wait_for(&mut lines, "settings reloaded");
    fs::write(&relay.file, "grace-s = 1").expect("written");
    relay.signal("HUP");
    wait_for(&mut lines, "the settings in force stay");
    assert!(relay.is_running());
    // Without a signal this time.
    fs::write(&relay.file, settings(relay.front, "3")).expect("written");
    let line = wait_for(&mut lines, "settings reloaded");
    assert!(line.contains("3000"), "{line}");
}

#[test]
fn a_reader_of_logs_that_stops_reading_slows_no_request() {
    let mut relay = Relay::start("logs.toml");
    let mut stream = TcpStream::connect(relay.front).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let request = format!(
        "GET /{} HTTP/1.1\r\nhost: a\r\n\r\n",
        "long-path".repeat(60)
    );
    // The pipe and the lines that wait hold less than this.
    let end = Instant::now() + Duration::from_secs(9);
    let mut answered = 0;
    let mut slowest = Duration::ZERO;
    while Instant::now() < end {
        let begun = Instant::now();
        stream.write_all(request.as_bytes()).expect("sent");
        let mut buf = [0; 1_024];
        let n = stream.read(&mut buf).expect("an answer");
        assert!(buf[..n].starts_with(b"HTTP/1.1 503"));
        answered += 1;
        slowest = slowest.max(begun.elapsed());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(answered > 2_500, "{answered}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    relay.signal("TERM");
    assert_eq!(relay.code(), Some(0));
}
