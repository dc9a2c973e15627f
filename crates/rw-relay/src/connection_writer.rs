//! Writes to a connection that is read from meanwhile.

use smol::{Async, io::AsyncWriteExt as _};
use std::{
    cell::Cell,
    io::{self, ErrorKind, IoSlice},
    net::TcpStream,
    rc::Rc,
};

/// The writing side of a connection.
#[derive(Debug)]
pub(crate) struct ConnectionWriter {
    stream: Rc<Async<TcpStream>>,
    /// Set once a write has found that the other side has reset the connection.
    was_reset: Rc<Cell<bool>>,
}

impl ConnectionWriter {
    pub(crate) fn new(stream: Rc<Async<TcpStream>>, was_reset: Rc<Cell<bool>>) -> Self {
        Self { stream, was_reset }
    }

    /// Writes `head` and then `body`, in one system call where the socket takes both.
    pub(crate) async fn write_message(&self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let written = write_parts(&self.stream, head, body).await;
        // A broken pipe means that the other side had ended its own direction before, in an orderly way.
        let is_reset = |e: &io::Error| e.kind() != ErrorKind::BrokenPipe;
        if written.as_ref().is_err_and(is_reset) {
            self.was_reset.set(true);
        }
        written
    }
}

async fn write_parts(mut stream: &Async<TcpStream>, head: &[u8], body: &[u8]) -> io::Result<()> {
    let mut written = 0;
    while written < head.len() {
        let parts = [IoSlice::new(&head[written..]), IoSlice::new(body)];
        match stream.write_vectored(&parts).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            n => written += n,
        }
    }
    stream.write_all(&body[written - head.len()..]).await
}
