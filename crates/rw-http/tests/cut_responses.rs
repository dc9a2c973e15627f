//! Responses that end at any byte of them, as the client sees them.

use rw_http::{Client, Method, Pooling, Request, SendError, Url};
use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(10);
const LAST_LINE: &str = "\r\n";
const BODY: &str = "{\"rows\":[]}";

/// How a server ends a connection.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    /// With a reset, because a part of the request is unread.
    Reset,
}

/// Starts a server that responds to each request with the next of `responses`, and then ends the
/// connection.
fn start(responses: mpsc::Receiver<(Vec<u8>, End)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (stream, (bytes, end)) in listener.incoming().flatten().zip(responses) {
            thread::spawn(move || respond(stream, &bytes, end));
        }
    });
    addr
}

fn respond(mut stream: TcpStream, bytes: &[u8], end: End) {
    let mut buf = [0; 4_096];
    let n = match end {
        End::Close => buf.len(),
        End::Reset => 1,
    };
    stream.set_nodelay(true).expect("a connection");
    let _request = stream.read(&mut buf[..n]).expect("a request");
    stream.write_all(bytes).expect("it is sent");
    if let End::Close = end {
        let _closed_already = stream.shutdown(Shutdown::Write);
        // The client closes its side.
        let _closed = stream.read(&mut buf);
    }
}

/// The body that a client gets.
async fn get(client: &Client, addr: SocketAddr) -> Result<Vec<u8>, SendError> {
    let addr = addr.to_string();
    let url = Url::parse(&format!("http://{addr}/")).expect("a URL");
    let request = Request::new(Method::Get, url);
    let response = client.send(&addr, request, Pooling::Fresh, TIMEOUT).await?;
    response.bytes(TIMEOUT).await
}

/// Guards against a response that was cut in its head or body and passes for a whole one.
#[test]
fn a_response_cut_at_any_byte_is_no_response() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nstore-era: 10\r\n";
    let length = BODY.len();
    let (first, second) = BODY.split_at(4);
    let responses = [
        format!("{head}content-length: {length}\r\n\r\n{BODY}"),
        format!(
            "{head}transfer-encoding: chunked\r\n\r\n4\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
            length - 4
        ),
        // Without framing, its end can't be told from a cut, so that it is never whole.
        format!("{head}\r\n{BODY}"),
    ];
    let (sender, receiver) = mpsc::channel();
    let addr = start(receiver);
    let client = Client::default();
    let mut passed = Vec::new();
    for (i, whole) in responses.iter().enumerate() {
        for end in [End::Close, End::Reset] {
            // A body in chunks is complete with its empty chunk, before the end of the trailers.
            for cut in 0..whole.len() - LAST_LINE.len() {
                let part = whole.as_bytes()[..cut].to_vec();
                sender.send((part, end)).expect("a server");
                if let Ok(body) = smol::block_on(get(&client, addr)) {
                    passed.push(format!("{i}, {end:?} after {cut} bytes: {body:?}"));
                }
            }
        }
    }
    for whole in &responses[..2] {
        let bytes = whole.clone().into_bytes();
        sender.send((bytes, End::Close)).expect("a server");
        let body = smol::block_on(get(&client, addr));
        assert_eq!(body.expect("a response"), BODY.as_bytes());
    }
    assert!(passed.is_empty(), "{passed:#?}");
}
