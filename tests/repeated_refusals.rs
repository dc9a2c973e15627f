//! Engines that write an earlier refusal once more on a kept connection, on separate processes.

use rw_http::Method;
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings, TextRequest, send_request};
use smol::Timer;
use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-outcome: not-run\r\nRETRYcontent-length: 0\r\n\r\n";
/// Text of the prompts before whose response a copy of a refusal is written.
const COPIED: &str = "copied";
/// Times that a case is tried until its call comes on a kept connection.
const TRIES: usize = 20;
/// Time within which an engine whose response was not believed gets calls again; less than the pause of
/// a copy.
const SERVED_TIME: Duration = Duration::from_millis(2_500);
/// Time for a node to read a configuration.
const CONFIG_TIME: Duration = Duration::from_millis(500);

/// Stands between a node and an engine.
struct Repeater {
    addr: SocketAddr,
    /// Number of copies that were written.
    copies: Arc<AtomicUsize>,
}

impl Repeater {
    /// Writes `copy` before the response to each [`COPIED`] prompt on a kept connection.
    fn start(engine: String, copy: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let copies = Arc::new(AtomicUsize::new(0));
        let counter = copies.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, copy, counter) = (engine.clone(), copy.clone(), counter.clone());
                thread::spawn(move || serve(&stream, &engine, &copy, &counter));
            }
        });
        Self { addr, copies }
    }
}

/// Passes the requests of a connection on until it ends.
fn serve(stream: &TcpStream, engine: &str, copy: &str, copies: &AtomicUsize) {
    let mut reader = BufReader::new(stream);
    for n in 0.. {
        let Some(request) = read(&mut reader) else {
            return;
        };
        let upstream = TcpStream::connect(engine).expect("an engine");
        (&upstream).write_all(&request).expect("a request is sent");
        if n > 0 && String::from_utf8_lossy(&request).contains(COPIED) {
            copies.fetch_add(1, Ordering::Relaxed);
            (&mut &*stream).write_all(copy.as_bytes()).ok();
        }
        let mut response = BufReader::new(&upstream);
        if read_response(&mut response, stream).is_none() {
            return;
        }
    }
}

/// Reads a request; `None` if the connection has ended.
fn read(reader: &mut BufReader<&TcpStream>) -> Option<Vec<u8>> {
    let (mut bytes, length, _) = read_head(reader)?;
    let start = bytes.len();
    bytes.resize(start + length, 0);
    reader.read_exact(&mut bytes[start..]).ok()?;
    Some(bytes)
}

/// Passes a response on; `None` if a connection has ended.
fn read_response(reader: &mut BufReader<&TcpStream>, mut to: &TcpStream) -> Option<()> {
    let (head, length, is_chunked) = read_head(reader)?;
    to.write_all(&head).ok()?;
    if !is_chunked {
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        return to.write_all(&body).ok();
    }
    loop {
        let mut line = Vec::new();
        reader
            .read_until(b'\n', &mut line)
            .ok()
            .filter(|n| *n > 0)?;
        let size = std::str::from_utf8(&line).ok()?.trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        let start = line.len();
        line.resize(start + size + 2, 0);
        reader.read_exact(&mut line[start..]).ok()?;
        to.write_all(&line).ok()?;
        if size == 0 {
            return Some(());
        }
    }
}

/// Reads a head; returns it with the length of its body, and whether that has chunks.
fn read_head(reader: &mut BufReader<&TcpStream>) -> Option<(Vec<u8>, usize, bool)> {
    let (mut head, mut length, mut is_chunked) = (Vec::new(), 0, false);
    loop {
        let start = head.len();
        reader
            .read_until(b'\n', &mut head)
            .ok()
            .filter(|n| *n > 0)?;
        let line = String::from_utf8_lossy(&head[start..]).to_ascii_lowercase();
        match line.trim().split_once(": ") {
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(("transfer-encoding", _)) => is_chunked = true,
            None if line.trim().is_empty() => return Some((head, length, is_chunked)),
            _ => {}
        }
    }
}

#[test]
fn a_refusal_written_again_does_not_tell_a_caller_that_its_call_has_not_run() {
    struct Case {
        name: &'static str,
        /// Further headers of the copy.
        extra: &'static str,
    }
    let cases = [
        Case {
            name: "plain",
            extra: "",
        },
        Case {
            name: "with a pause",
            extra: "retry-after: 4\r\n",
        },
        Case {
            name: "of another attempt",
            extra: "x-attempt: 999999\r\n",
        },
        Case {
            name: "of two attempts",
            extra: "x-attempt: 999999\r\nx-attempt: 999998\r\n",
        },
    ];
    for case in cases {
        smol::block_on(check_copy(case.name, &REFUSAL.replace("RETRY", case.extra)));
    }
}

async fn check_copy(name: &str, copy: &str) {
    let plan = FleetSettings {
        nodes: 1,
        engines: vec![Vec::new()],
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::start(BINARY, plan).await.expect("the fleet starts");
    let repeater = Repeater::start(fleet.engines[0].addr(""), copy.to_owned());
    let mut config = fleet.config.clone();
    let engine = config.targets.iter_mut().find(|t| t.name == "engine-1");
    engine.expect("an engine").addr = repeater.addr.to_string();
    fleet.accept(config).await.expect("it is accepted");
    Timer::after(CONFIG_TIME).await;
    for _ in 0..TRIES {
        let first = generate(&fleet, "first").await;
        assert_eq!(first.status, 200, "{name}: {first:?}");
        Timer::after(Duration::from_millis(20)).await;
        let second = generate(&fleet, COPIED).await;
        if repeater.copies.load(Ordering::Relaxed) > 0 {
            assert_ne!(second.outcome, "not-run", "{name}: {second:?}");
            // The pause that the copy names holds nothing back.
            let copied = Instant::now();
            while generate(&fleet, "third").await.status != 200 {
                assert!(copied.elapsed() < SERVED_TIME, "{name}: still refused");
                Timer::after(Duration::from_millis(100)).await;
            }
            return;
        }
    }
    panic!("{name}: no call came on a kept connection");
}

async fn generate(fleet: &Fleet, prompt: &str) -> rw_test::TextResponse {
    let body = format!(r#"{{"model":"small","max_tokens":5,"prompt":"{prompt}","stream":false}}"#);
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let request = TextRequest {
        method: Method::Post,
        path: "/v1/completions",
        body: &body,
        headers: &[("authorization", &bearer)],
    };
    let sent = send_request(&fleet.nodes[0].addr("callers"), request).await;
    sent.expect("a response")
}
