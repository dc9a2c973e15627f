//! The `relay` command as a process: its settings, signals and logs.

use std::{
    fs,
    io::{BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const TIMEOUT: Duration = Duration::from_secs(10);
const ATTEMPTS: usize = 20;

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A running relay and its settings file, which names a store address where nothing listens.
struct Relay {
    child: Child,
    front: SocketAddr,
    file: PathBuf,
}

fn settings(front: SocketAddr, grace: &str) -> String {
    format!(
        "vm = \"vm-1\"\ncentre = \"x\"\nfront = \"{front}\"\nready = \"{}\"\ndigests = \"{}\"\nmetrics = \"{}\"\nstore = \"{}\"\ngrace-s = {grace}\n",
        free_addr(),
        free_addr(),
        free_addr(),
        free_addr()
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
        // Another test may bind a port between its choice and its use.
        let mut attempts = (0..ATTEMPTS).filter_map(|_| Self::try_start(name));
        attempts.next().expect("free ports")
    }

    /// Starts a relay and waits until it listens; `None` if a port was taken in the meantime.
    fn try_start(name: &str) -> Option<Self> {
        let front = free_addr();
        let file = file(name, &settings(front, "4"));
        let child = Command::new(BINARY)
            .args(["relay", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut relay = Self { child, front, file };
        let end = Instant::now() + TIMEOUT;
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

    fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + TIMEOUT;
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
        // The process may have exited already.
        let _ended = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Reads lines until one contains `text`.
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
fn invalid_settings_exit_with_one_line_before_listening() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "word.toml",
            from: "grace-s = 4",
            to: "grace-s = \"long\"",
            expected: "grace-s",
        },
        Case {
            name: "negative.toml",
            from: "grace-s = 4",
            to: "grace-s = -1.0",
            expected: "grace-s is -1",
        },
        Case {
            name: "speeds.toml",
            from: "grace-s = 4",
            to: "target-speeds = \"fast\"",
            expected: "give 'auto', 'learned' or 'fixed'",
        },
        Case {
            name: "empty.toml",
            from: "vm = \"vm-1\"",
            to: "vm = \"\"",
            expected: "vm is empty",
        },
        Case {
            name: "revoke.toml",
            from: "grace-s = 4",
            to: "fail-closed = true\nrevoke-ms = 500",
            expected: "revoke-ms is 500",
        },
        Case {
            name: "no-body-memory.toml",
            from: "grace-s = 4",
            to: "body-memory-mb = 0",
            expected: "body-memory-mb is 0; give a number above 0 and up to memory-mb",
        },
        Case {
            name: "body-memory.toml",
            from: "grace-s = 4",
            to: "memory-mb = 260\nbody-memory-mb = 261",
            expected: "body-memory-mb is 261; give a number above 0 and up to memory-mb, which is 260",
        },
        Case {
            name: "default-memory.toml",
            from: "grace-s = 4",
            to: "body-memory-mb = 300",
            expected: "up to memory-mb, which is 256",
        },
        Case {
            name: "memory.toml",
            from: "grace-s = 4",
            to: "memory-mb = -1",
            expected: "memory-mb is -1",
        },
        Case {
            name: "typo.toml",
            from: "centre = ",
            to: "center = ",
            expected: "center",
        },
    ];
    for case in cases {
        // In use, so that a process that goes on to listen reports the port instead.
        let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let front = taken.local_addr().expect("an address");
        let text = settings(front, "4").replace(case.from, case.to);
        let path = file(case.name, &text);
        for args in [["relay", "--settings"], ["check", "--relay"]] {
            let run = Command::new(BINARY).args(args).arg(&path).output();
            let run = run.expect("a run");
            let printed = String::from_utf8_lossy(&run.stderr).into_owned();
            assert_eq!(run.status.code(), Some(2), "{}: {printed}", case.name);
            assert_eq!(printed.lines().count(), 1, "{}: {printed}", case.name);
            assert!(printed.contains(case.expected), "{}: {printed}", case.name);
            assert!(
                !printed.contains("can't be bound"),
                "{}: {printed}",
                case.name
            );
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
fn a_stalled_log_reader_slows_no_request() {
    let mut relay = Relay::start("logs.toml");
    let mut stream = TcpStream::connect(relay.front).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let request = format!(
        "GET /{} HTTP/1.1\r\nhost: a\r\n\r\n",
        "long-path".repeat(60)
    );
    // The pipe and the queue of log lines together hold fewer lines than are logged in this time.
    let end = Instant::now() + Duration::from_secs(9);
    let mut responses = 0;
    let mut slowest = Duration::ZERO;
    while Instant::now() < end {
        let start = Instant::now();
        stream.write_all(request.as_bytes()).expect("sent");
        let mut buf = [0; 1_024];
        let n = stream.read(&mut buf).expect("a response");
        assert!(buf[..n].starts_with(b"HTTP/1.1 503"));
        responses += 1;
        slowest = slowest.max(start.elapsed());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(responses > 2_500, "{responses}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    relay.signal("TERM");
    assert_eq!(relay.exit_code(), Some(0));
}
