//! Invalid input and slow, silent or too many callers, while other requests get complete responses.

use rw_http::Method;
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings, TextRequest, get, send_request};
use smol::{
    Timer, future,
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
/// Longest wait of these tests; the limits under test are far shorter.
const TIMEOUT: Duration = Duration::from_secs(30);
const VALID: &str = r#"{"model":"small","prompt":"hello","max_tokens":20}"#;

/// Limits short enough to be reached in a test.
const FLAGS: &[&str] = &[
    "--max-body",
    "4096",
    "--header-ms",
    "400",
    "--body-ms",
    "400",
    "--idle-ms",
    "600",
    "--write-ms",
    "400",
];

/// Expected end of a connection.
#[derive(Debug, Clone, Copy)]
enum End {
    /// A response with this status that contains this text.
    Response(u16, &'static str),
    /// Closed by the node without a successful response.
    Closed,
}

struct Case {
    name: &'static str,
    /// Bytes sent, in which `@` stands for the key and `#` for 9,000 bytes.
    bytes: &'static str,
    end: End,
}

const CASES: &[Case] = &[
    Case {
        name: "body over its limit, declared",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 9000\r\n\r\n#",
        end: End::Response(413, "over the limit"),
    },
    Case {
        name: "body over its limit, declared and never sent",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 99999999999\r\n\r\n",
        end: End::Response(413, "over the limit"),
    },
    Case {
        name: "body over its limit, in chunks",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ntransfer-encoding: chunked\r\n\r\n2328\r\n#\r\n0\r\n\r\n",
        end: End::Response(413, "over the limit"),
    },
    Case {
        name: "header over its limit",
        bytes: "GET /v1/models HTTP/1.1\r\nhost: a\r\nx-long: #\r\n\r\n",
        end: End::Response(431, "header is over its limit"),
    },
    Case {
        name: "request line over its limit",
        bytes: "GET /# HTTP/1.1\r\nhost: a\r\n\r\n",
        end: End::Response(431, "header is over its limit"),
    },
    Case {
        name: "no HTTP at all",
        bytes: "hello\r\n\r\n",
        end: End::Response(400, "header can't be read"),
    },
    Case {
        name: "no host",
        bytes: "GET /v1/models HTTP/1.1\r\n\r\n",
        end: End::Response(400, "header can't be read"),
    },
    Case {
        name: "length and chunks",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
        end: End::Response(400, "header can't be read"),
    },
    Case {
        name: "broken JSON",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 9\r\n\r\n{\"model\":",
        end: End::Response(400, "field 'model'"),
    },
    Case {
        name: "field of the wrong type",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 36\r\n\r\n{\"model\":\"small\",\"max_tokens\":\"many\"}",
        end: End::Response(400, "field 'max_tokens'"),
    },
    Case {
        name: "field of the wrong type inside a list",
        bytes: "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 60\r\n\r\n{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":true}]}",
        end: End::Response(400, "field 'messages[0].content'"),
    },
    Case {
        name: "missing field",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 14\r\n\r\n{\"prompt\":\"a\"}",
        end: End::Response(400, "missing field `model`"),
    },
    Case {
        name: "unknown model",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 30\r\n\r\n{\"model\":\"large\",\"prompt\":\"a\"}",
        end: End::Response(404, "choose one of: small"),
    },
    Case {
        name: "silent from the start",
        bytes: "",
        end: End::Closed,
    },
    Case {
        name: "silent inside the header",
        bytes: "GET /v1/models HTTP/1.1\r\nhost:",
        end: End::Closed,
    },
    Case {
        name: "silent inside the body",
        bytes: "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer @\r\ncontent-length: 30\r\n\r\n{\"mod",
        end: End::Closed,
    },
];

fn plan(flags: &[&str]) -> FleetSettings {
    FleetSettings {
        nodes: 1,
        engines: vec![vec!["--decode-rate".to_owned(), "1000000000".to_owned()]],
        node_flags: flags.iter().map(|f| (*f).to_owned()).collect(),
        ..FleetSettings::default()
    }
}

/// Sends a valid request, which must get its complete response.
async fn send_valid(addr: &str) {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let sent = TextRequest {
        method: Method::Post,
        path: "/v1/completions",
        body: VALID,
        headers: &[("authorization", &bearer)],
    };
    let response = send_request(addr, sent)
        .await
        .expect("a response to the valid request");
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(response.body.contains("\"completion_tokens\":20"));
}

/// Everything that the node sends until it closes, and whether it closes within the time limit.
async fn read_until_closed(stream: &mut TcpStream) -> (String, bool) {
    let mut text = Vec::new();
    let read = async { stream.read_to_end(&mut text).await.is_ok() };
    let timer = async {
        Timer::after(TIMEOUT).await;
        false
    };
    let closed = future::or(read, timer).await;
    (String::from_utf8_lossy(&text).into_owned(), closed)
}

async fn check(case: &Case, addr: &str) {
    let mut stream = TcpStream::connect(addr).await.expect(case.name);
    let bytes = case
        .bytes
        .replace('@', ACCOUNT_KEY)
        .replace('#', &"x".repeat(9_000));
    stream.write_all(bytes.as_bytes()).await.expect(case.name);
    let (text, closed) = read_until_closed(&mut stream).await;
    assert!(closed, "{}: still open, after {text}", case.name);
    match case.end {
        End::Closed => assert!(!text.contains("HTTP/1.1 200"), "{}: {text}", case.name),
        End::Response(status, expected) => {
            let head = format!("HTTP/1.1 {status} ");
            assert!(text.starts_with(&head), "{}: {text}", case.name);
            assert!(text.contains(expected), "{}: {text}", case.name);
            assert!(text.contains("not-run"), "{}: {text}", case.name);
        }
    }
}

#[test]
fn bad_input_is_rejected_or_closed_while_others_are_served() {
    smol::block_on(async {
        let fleet = Fleet::start(BINARY, plan(FLAGS)).await.expect("starts");
        let addr = fleet.nodes[0].addr("callers");
        for case in CASES {
            future::zip(check(case, &addr), send_valid(&addr)).await;
        }
    });
}

#[test]
fn a_caller_that_reads_nothing_is_disconnected() {
    smol::block_on(async {
        let fleet = Fleet::start(BINARY, plan(FLAGS)).await.expect("starts");
        let addr = fleet.nodes[0].addr("callers");
        let mut stream = TcpStream::connect(&addr).await.expect("connects");
        let body = r#"{"model":"small","prompt":"a","max_tokens":1000000,"stream":true}"#;
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ACCOUNT_KEY}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.expect("sends");
        stream.write_all(body.as_bytes()).await.expect("sends");
        let disconnected = |text: &str| {
            text.lines()
                .any(|l| l.starts_with("rw_attempts_total{end=\"caller-gone\"}"))
        };
        let mut closed = false;
        for _ in 0..300 {
            send_valid(&addr).await;
            let metrics = get(&addr, "/metrics").await.expect("metrics");
            closed |= disconnected(&metrics.body);
            if closed {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        assert!(
            closed,
            "the node did not disconnect a caller that reads nothing"
        );
    });
}

#[test]
fn new_callers_are_served_beside_idle_connections() {
    struct Idle {
        name: &'static str,
        idle: usize,
        limit: &'static str,
    }
    const TABLE: &[Idle] = &[
        Idle {
            name: "10,000 idle connections below the limit",
            idle: 10_000,
            limit: "16000",
        },
        Idle {
            name: "more idle connections than the limit: the oldest are closed",
            idle: 300,
            limit: "100",
        },
    ];
    smol::block_on(async {
        for case in TABLE {
            let flags = ["--connections", case.limit, "--idle-ms", "600000"];
            let fleet = Fleet::start(BINARY, plan(&flags)).await.expect("starts");
            let addr = fleet.nodes[0].addr("callers");
            let mut held = Vec::with_capacity(case.idle);
            for n in 0..case.idle {
                held.push(TcpStream::connect(&addr).await.expect(case.name));
                if n % 1_000 == 0 {
                    send_valid(&addr).await;
                }
            }
            send_valid(&addr).await;
            // The newest connection has been idle for the shortest time, so it is still open.
            let newest = held.last_mut().expect(case.name);
            let request = b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
            newest.write_all(request).await.expect(case.name);
            let (text, closed) = read_until_closed(newest).await;
            assert!(closed && text.ends_with("ok\n"), "{}: {text}", case.name);
        }
    });
}
