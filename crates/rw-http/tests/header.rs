//! Guards against header limits that depend on how the header is split into reads: a header is
//! accepted exactly if its size and number of fields are within the limits.

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rw_http::{Limits, Listener, raw};
use smol::{
    future,
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use std::net::{Ipv4Addr, SocketAddr};

/// Maximum size of a header at the listener under test.
const MAX_HEADER_BYTES: usize = 2_000;
/// Maximum number of header lines, without the request line and the empty line.
const MAX_FIELDS: usize = 127;

/// Sends `bytes` in pieces of the lengths in `cuts`, then the remainder, and returns the status
/// line of the response.
async fn status(addr: SocketAddr, bytes: &[u8], cuts: &[usize]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("connects");
    stream.set_nodelay(true).expect("a TCP socket");
    let mut remaining = bytes;
    for cut in cuts {
        let (piece, after) = remaining.split_at((*cut).min(remaining.len()));
        // The listener may have closed the connection already.
        if stream.write_all(piece).await.is_err() {
            break;
        }
        future::yield_now().await;
        remaining = after;
    }
    let _ = stream.write_all(remaining).await;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("a response");
    let text = String::from_utf8_lossy(&response).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn a_header_is_taken_or_refused_by_its_size_alone() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let limits = Limits {
        header_bytes: MAX_HEADER_BYTES,
        ..Limits::default()
    };
    let listener = Listener::bind(any, limits).expect("binds");
    let addr = listener.addr().expect("bound");
    let handler = |_| async { raw(200, b"ok".to_vec(), "text/plain") };
    let serving = smol::spawn(async move { listener.run(handler).await });
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let fields = vec("[a-z]{0,30}", 0..200);
    let cuts = vec(1_usize..400, 0..12);
    let tested = runner.run(&(fields, cuts), |(fields, cuts)| {
        let lines = fields.iter().map(|v| format!("x: {}\r\n", v));
        let lines: String = lines.collect();
        let text = format!("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{lines}\r\n");
        let accepted = text.len() <= MAX_HEADER_BYTES && fields.len() + 2 <= MAX_FIELDS;
        let expected = if accepted {
            "HTTP/1.1 200"
        } else {
            "HTTP/1.1 431"
        };
        let line = smol::block_on(status(addr, text.as_bytes(), &cuts));
        prop_assert!(line.starts_with(expected), "{line}, expected {expected}");
        Ok(())
    });
    drop(serving);
    tested.expect("the property holds");
}
