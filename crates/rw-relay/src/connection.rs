//! Buffered TCP connection.

use crate::{HeadError, connection_writer::ConnectionWriter, io_error::truncated};
use rustix::net::sockopt::set_socket_linger;
use rw_http::{ReadTurn, UnackedLimit, set_keepalive};
use smol::{Async, Timer, io::AsyncRead as _};
use std::{
    cell::Cell,
    future::poll_fn,
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    pin::Pin,
    rc::Rc,
    task::{Poll, ready},
    time::Duration,
};

/// Maximum size of one read from the socket.
const READ_BYTES: usize = 16 << 10;
/// Number of bytes of further requests that are read while a caller waits for a response. An orderly
/// close behind more than these is noticed only after the response.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// Interval between checks for a failed connection while that many bytes are waiting.
const DISCONNECT_POLL: Duration = Duration::from_millis(100);

/// A TCP connection with a read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    position: usize,
    turn: ReadTurn,
    /// Set on connections that this process has opened. Those that others open take up messages as
    /// slowly as callers read.
    unacked: Option<UnackedLimit>,
    /// Whether a write has found that the other side has reset the connection. The system reports a reset
    /// once, and an end to those who read after that.
    was_reset: Rc<Cell<bool>>,
}

impl Connection {
    /// Takes over a connection that another process has opened. It breaks when it is idle and the other
    /// side stops responding.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn accepted(stream: Async<TcpStream>) -> io::Result<Self> {
        let tcp = stream.get_ref();
        tcp.set_nodelay(true)?;
        set_keepalive(tcp)?;
        Ok(Self {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            position: 0,
            turn: ReadTurn::default(),
            unacked: None,
            was_reset: Rc::default(),
        })
    }

    /// Opens a connection to `addr`. It also breaks when a message is not acknowledged, unless that is a
    /// long one.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let mut conn = Self::accepted(Async::<TcpStream>::connect(addr).await?)?;
        conn.unacked = Some(UnackedLimit::new(conn.stream.get_ref())?);
        Ok(conn)
    }

    /// Prepares for a message of `bytes` bytes; it is not to break off while the other side reads a long
    /// one slowly.
    pub(crate) fn begin_message(&mut self, bytes: usize) {
        if let Some(unacked) = &mut self.unacked {
            unacked.begin_message(self.stream.get_ref(), bytes);
        }
    }

    /// Whether the connection breaks if the latest message is not acknowledged.
    pub(crate) fn is_unacked_limited(&self) -> bool {
        self.unacked.as_ref().is_some_and(UnackedLimit::is_set)
    }

    /// Whether there is no unread data and the other side has not closed the connection.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        let idle = matches!(peeked, Err(ref e) if e.kind() == io::ErrorKind::WouldBlock);
        idle && self.unread().is_empty()
    }

    /// Completes once the other side has closed the connection or it has failed. What arrives before
    /// is kept for the next request.
    pub(crate) async fn closed(&mut self) {
        while self.unread().len() < READ_AHEAD_BYTES {
            if !matches!(self.fill_buffer().await, Ok(n) if n > 0) {
                return;
            }
        }
        loop {
            match self.stream.get_ref().peek(&mut [0]) {
                Ok(0) => return,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                _ => {
                    Timer::after(DISCONNECT_POLL).await;
                }
            }
        }
    }

    /// Whether data has arrived that is not read yet.
    pub(crate) fn has_unread(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Address of the other side.
    pub(crate) fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.get_ref().peer_addr()
    }

    /// The underlying socket.
    pub(crate) fn stream(&self) -> Rc<Async<TcpStream>> {
        self.stream.clone()
    }

    /// Writes to the connection while it is read from.
    pub(crate) fn writer(&self) -> ConnectionWriter {
        ConnectionWriter::new(self.stream.clone(), self.was_reset.clone())
    }

    pub(crate) async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        self.writer().write_message(bytes, &[]).await
    }

    /// Shuts down one or both directions; it is no error if the connection is already closed.
    pub(crate) fn shutdown(&self, how: Shutdown) {
        let _closed_already = self.stream.get_ref().shutdown(how);
    }

    /// Sets whether the connection is reset when it is closed, rather than closed in an orderly way.
    pub(crate) fn set_reset_on_close(&self, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        let _closed_already = set_socket_linger(self.stream.get_ref(), linger);
    }

    /// Waits for data; false if the connection ends instead.
    pub(crate) async fn wait_readable(&mut self) -> io::Result<bool> {
        if !self.unread().is_empty() {
            return Ok(true);
        }
        Ok(self.fill_buffer().await? > 0)
    }

    /// Reads a head up to and including its empty line.
    ///
    /// # Errors
    ///
    /// The outer error is one of the connection; the inner one is a malformed head or one over
    /// `max` bytes.
    pub(crate) async fn read_head(&mut self, max: usize) -> io::Result<Result<Vec<u8>, HeadError>> {
        let mut searched = 0;
        loop {
            let unread = self.unread();
            let from = usize::saturating_sub(searched, 3);
            if let Some(end) = find(&unread[from..], b"\r\n\r\n") {
                let end = from + end + 4;
                if end > max {
                    return Ok(Err(HeadError::TooLarge));
                }
                return Ok(Ok(self.take(end)));
            }
            // The search for CR LF CR LF would never find the end of a head whose lines end in
            // bare LF.
            if find(&unread[from..], b"\n\n").is_some() {
                return Ok(Err(HeadError::Malformed));
            }
            searched = unread.len();
            if searched > max {
                return Ok(Err(HeadError::TooLarge));
            }
            if self.fill_buffer().await? == 0 {
                return Err(truncated());
            }
        }
    }

    /// Reads at least one and at most `max` bytes; none at the end of the connection.
    pub(crate) async fn read_some(&mut self, max: usize) -> io::Result<Vec<u8>> {
        if self.unread().is_empty() && self.fill_buffer().await? == 0 {
            return Ok(Vec::new());
        }
        let n = self.unread().len().min(max);
        Ok(self.take(n))
    }

    /// Data that has arrived and was not taken yet.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buffer[self.position..]
    }

    /// Takes `n` bytes of the unread data.
    pub(crate) fn consume(&mut self, n: usize) {
        self.position += n;
        if self.position == self.buffer.len() {
            // Frees the buffer, so that an idle connection holds none.
            self.buffer = Vec::new();
            self.position = 0;
        }
    }

    fn take(&mut self, n: usize) -> Vec<u8> {
        let bytes = self.unread()[..n].to_vec();
        self.consume(n);
        bytes
    }

    /// Gives way to other tasks if this connection has used up its turn.
    pub(crate) async fn give_way(&mut self) {
        poll_fn(|cx| self.turn.poll(cx)).await;
    }

    async fn fill_buffer(&mut self) -> io::Result<usize> {
        self.give_way().await;
        // What was taken would otherwise stay in memory for as long as each read ends inside a line.
        self.buffer.drain(..self.position);
        self.position = 0;
        // This buffer lives for one poll only, so that a waiting connection holds none.
        let read = poll_fn(|cx| {
            let mut buf = [0; READ_BYTES];
            let polled = Pin::new(&mut &*self.stream).poll_read(cx, &mut buf);
            self.turn.record(&polled);
            let n = ready!(polled)?;
            if n == 0 && self.was_reset.get() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            self.buffer.extend_from_slice(&buf[..n]);
            Poll::Ready(io::Result::Ok(n))
        });
        read.await
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}
