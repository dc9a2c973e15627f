//! Servers that send bytes without end, as the client sees them.

use rw_http::{Client, Method, Pooling, Request, SendError, Url};
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Far more than any line or body that a client accepts.
const MAX_SENT_BYTES: usize = 200 << 20;

/// Starts a server that responds to one request with `head` and then repeats `part`, until the client
/// closes the connection or [`MAX_SENT_BYTES`] are sent. Returns its address and the bytes it sent.
fn start(head: &'static str, part: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _request = stream.read(&mut [0; 4_096]).expect("a request");
        let mut bytes = head.as_bytes().to_vec();
        while counter.load(Ordering::Relaxed) < MAX_SENT_BYTES {
            bytes.extend_from_slice(&part);
            if stream.write_all(&bytes).is_err() {
                return;
            }
            counter.fetch_add(bytes.len(), Ordering::Relaxed);
            bytes.clear();
        }
    });
    (addr, sent)
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", bytes.len());
    [size.as_bytes(), bytes, b"\r\n"].concat()
}

async fn send(addr: SocketAddr) -> Result<rw_http::ClientResponse, SendError> {
    let addr = addr.to_string();
    let url = Url::parse(&format!("http://{addr}/")).expect("a URL");
    let request = Request::new(Method::Get, url);
    let client = Client::default();
    client.send(&addr, request, Pooling::Fresh, TIMEOUT).await
}

const EVENTS: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[test]
fn a_line_without_end_breaks_the_stream() {
    let (addr, sent) = start(EVENTS, chunk(&[b'x'; 64 << 10]));
    let error = smol::block_on(async {
        let mut lines = send(addr).await.expect("a response").lines();
        lines.next(TIMEOUT).await.map(|_| ())
    });
    assert!(matches!(error, Err(SendError::Broken)), "{error:?}");
    assert!(sent.load(Ordering::Relaxed) < MAX_SENT_BYTES / 4);
}

#[test]
fn a_body_over_the_limit_is_no_complete_response() {
    let (addr, _) = start(CHUNKED, chunk(&[b'x'; 1 << 20]));
    let body = smol::block_on(async {
        let response = send(addr).await.expect("a response");
        response.bytes(TIMEOUT).await.map(|b| b.len())
    });
    assert!(matches!(body, Err(SendError::Broken)), "{body:?}");
}

#[test]
fn a_head_without_end_is_no_response() {
    let (addr, sent) = start("HTTP/1.1 200 OK\r\nx: ", vec![b'x'; 64 << 10]);
    let response = smol::block_on(send(addr)).map(|r| r.status());
    assert!(response.is_err(), "{response:?}");
    assert!(sent.load(Ordering::Relaxed) < MAX_SENT_BYTES / 4);
}
