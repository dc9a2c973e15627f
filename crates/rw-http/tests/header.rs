//! The limits of a header hold wherever its bytes are cut.

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

/// Largest header of the listener under test, in bytes.
const LIMIT: usize = 2_000;
/// Most lines of a header, the request line and the empty one left out.
const FIELDS: usize = 127;

/// Sends `bytes` cut after each length of `cuts` in turn, and returns the answer's status line.
async fn status(addr: SocketAddr, bytes: &[u8], cuts: &[usize]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("connects");
    stream.set_nodelay(true).expect("a TCP socket");
    let mut rest = bytes;
    for cut in cuts {
        let (piece, after) = rest.split_at((*cut).min(rest.len()));
        // The listener may have closed already.
        if stream.write_all(piece).await.is_err() {
            break;
        }
        future::yield_now().await;
        rest = after;
    }
    let _ = stream.write_all(rest).await;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn a_header_is_taken_or_refused_by_its_size_alone() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let limits = Limits {
        header_bytes: LIMIT,
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
        let taken = text.len() <= LIMIT && fields.len() + 2 <= FIELDS;
        let wanted = if taken {
            "HTTP/1.1 200"
        } else {
            "HTTP/1.1 431"
        };
        let line = smol::block_on(status(addr, text.as_bytes(), &cuts));
        prop_assert!(line.starts_with(wanted), "{line}, wanted {wanted}");
        Ok(())
    });
    drop(serving);
    tested.expect("the property holds");
}
