//! Ends of streamed responses, as a client reads them from the socket.

use rw_http::{Limits, Listener, StreamPart, event_stream};
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);
const LAST_CHUNK: &str = "0\r\n\r\n";

/// The response to a request to a listener whose handler sends `parts`, ends the stream or not, and
/// drops the sender.
fn response(parts: &'static [&'static str], is_ended: bool) -> String {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, Limits::default()).expect("a free port");
    let addr = listener.addr().expect("an address");
    let serving = smol::spawn(async move {
        listener
            .run(move |_| async move {
                let (tx, rx) = async_channel::unbounded();
                for part in parts {
                    let data = StreamPart::Data(part.as_bytes().to_vec());
                    tx.try_send(data).expect("it is open");
                }
                if is_ended {
                    tx.try_send(StreamPart::End).expect("it is open");
                }
                event_stream(rx)
            })
            .await;
    });
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).expect("it is sent");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an end");
    drop(serving);
    String::from_utf8(bytes).expect("text")
}

#[test]
fn a_stream_whose_sender_is_dropped_does_not_look_complete() {
    let cases: [&'static [&'static str]; 3] =
        [&[], &["data: 1\n\n"], &["data: 1\n\n", "data: 2\n\n"]];
    for parts in cases {
        for is_ended in [false, true] {
            let response = response(parts, is_ended);
            assert!(parts.iter().all(|p| response.contains(p)), "{response}");
            assert_eq!(response.ends_with(LAST_CHUNK), is_ended, "{response}");
        }
    }
}
