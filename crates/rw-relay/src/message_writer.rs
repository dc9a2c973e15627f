//! Writes a head and a body without copying them together.

use smol::{Async, io::AsyncWriteExt as _};
use std::{
    io::{self, IoSlice},
    net::TcpStream,
};

/// Writes `head` and then `body`, in one system call where the socket takes both.
pub(crate) async fn write_message(
    mut stream: &Async<TcpStream>,
    head: &[u8],
    body: &[u8],
) -> io::Result<()> {
    let mut written = 0;
    while written < head.len() {
        let parts = [IoSlice::new(&head[written..]), IoSlice::new(body)];
        match stream.write_vectored(&parts).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            n => written += n,
        }
    }
    stream.write_all(&body[written - head.len()..]).await
}
