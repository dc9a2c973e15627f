//! Stand-in of a client.

use crate::http::{Conn, Head};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// How a call ended.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is whole by its framing.
    pub is_whole: bool,
}

pub fn get(addr: SocketAddr, path: &str) -> io::Result<u16> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
    let answer = send(addr, &text, Duration::from_millis(500), |_| ())?;
    Ok(answer.status)
}

/// Sends a request on a new connection, and reads the answer. `each` gets the parts of the body.
pub fn send(
    addr: SocketAddr,
    request: &str,
    limit: Duration,
    mut each: impl FnMut(&[u8]),
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut conn = Conn::new(stream);
    conn.stream.write_all(request.as_bytes())?;
    let mut answer = Answer::default();
    let Some(head) = conn.head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    answer.status = head.status();
    let mut body = Vec::new();
    let read = conn.body_parts(&head, |part| {
        body.extend_from_slice(part);
        each(part);
    });
    answer.is_whole = read.is_ok();
    answer.body = body;
    answer.head = head;
    Ok(answer)
}
