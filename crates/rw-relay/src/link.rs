//! One TCP connection with what was read ahead.

use crate::{
    HeadError,
    io_error::{cut, malformed},
};
use rustix::net::sockopt;
use smol::{
    Async, Timer,
    io::{AsyncRead as _, AsyncWriteExt as _},
};
use std::{
    future::poll_fn,
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    pin::Pin,
    rc::Rc,
    task::{Poll, ready},
    time::Duration,
};

/// Bytes asked of the operating system at once.
const READ: usize = 16 << 10;
/// Time after which bytes that the other side doesn't acknowledge break a connection, in ms.
const UNACKED_MS: u32 = 1_500;
/// Time without traffic after which the other side is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer that break a connection.
const PROBES: u32 = 2;
/// Pause between looks at a caller whose next request is already here.
const GONE_POLL: Duration = Duration::from_millis(100);

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: Rc<Async<TcpStream>>,
    ahead: Vec<u8>,
    at: usize,
}

impl Connection {
    /// Takes over an open connection, and sets it so that a silent other side breaks it.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        let tcp = stream.get_ref();
        tcp.set_nodelay(true)?;
        sockopt::set_tcp_user_timeout(tcp, UNACKED_MS)?;
        sockopt::set_socket_keepalive(tcp, true)?;
        sockopt::set_tcp_keepidle(tcp, PROBE_AFTER)?;
        sockopt::set_tcp_keepintvl(tcp, PROBE_AFTER)?;
        sockopt::set_tcp_keepcnt(tcp, PROBES)?;
        Ok(Self {
            stream: Rc::new(stream),
            ahead: Vec::new(),
            at: 0,
        })
    }

    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(addr).await?)
    }

    /// Whether nothing waits to be read and the other side has not closed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        let quiet = matches!(peeked, Err(ref e) if e.kind() == io::ErrorKind::WouldBlock);
        quiet && self.rest().is_empty()
    }

    /// Ready once the other side has closed or the connection broke.
    pub(crate) async fn gone(stream: &Async<TcpStream>) {
        loop {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.get_ref().peek(&mut [0]) {
                Ok(0) => return,
                // The next request is here already; its caller waits for this answer.
                Ok(_) => {
                    Timer::after(GONE_POLL).await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// The connection itself.
    pub(crate) fn stream(&self) -> Rc<Async<TcpStream>> {
        self.stream.clone()
    }

    /// Writes all of `bytes`.
    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes).await
    }

    /// Closes one way or both; a connection that is closed already is fine.
    pub(crate) fn shut(&self, how: Shutdown) {
        let _closed_already = self.stream.get_ref().shutdown(how);
    }

    /// Waits for a first byte; false if the connection ends instead.
    pub(crate) async fn wait(&mut self) -> io::Result<bool> {
        if !self.rest().is_empty() {
            return Ok(true);
        }
        Ok(self.fill().await? > 0)
    }

    /// A head up to and with its empty line.
    ///
    /// # Errors
    ///
    /// An error of the connection; inside, a head over `most` bytes.
    pub(crate) async fn head(&mut self, most: usize) -> io::Result<Result<Vec<u8>, HeadError>> {
        let mut seen = 0;
        loop {
            let rest = self.rest();
            let from = usize::saturating_sub(seen, 3);
            if let Some(end) = find(&rest[from..], b"\r\n\r\n") {
                let end = from + end + 4;
                if end > most {
                    return Ok(Err(HeadError::TooLarge));
                }
                return Ok(Ok(self.cut_off(end)));
            }
            // A head whose lines end in bare line feeds would never seem to end.
            if find(&rest[from..], b"\n\n").is_some() {
                return Ok(Err(HeadError::Malformed));
            }
            seen = rest.len();
            if seen > most {
                return Ok(Err(HeadError::TooLarge));
            }
            if self.fill().await? == 0 {
                return Err(cut());
            }
        }
    }

    /// Some bytes, at most `most`; none at the end.
    pub(crate) async fn some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.rest().is_empty() && self.fill().await? == 0 {
            return Ok(Vec::new());
        }
        let n = self.rest().len().min(most);
        Ok(self.cut_off(n))
    }

    /// A line without its CR LF.
    pub(crate) async fn line(&mut self, most: usize) -> io::Result<Vec<u8>> {
        loop {
            if let Some(end) = find(self.rest(), b"\n") {
                let mut line = self.cut_off(end + 1);
                line.pop();
                if line.pop() != Some(b'\r') {
                    return Err(malformed());
                }
                return Ok(line);
            }
            if self.rest().len() > most {
                return Err(malformed());
            }
            if self.fill().await? == 0 {
                return Err(cut());
            }
        }
    }

    fn rest(&self) -> &[u8] {
        &self.ahead[self.at..]
    }

    fn cut_off(&mut self, n: usize) -> Vec<u8> {
        let bytes = self.ahead[self.at..self.at + n].to_vec();
        self.at += n;
        if self.at == self.ahead.len() {
            // An idle connection holds no buffer.
            self.ahead = Vec::new();
            self.at = 0;
        }
        bytes
    }

    async fn fill(&mut self) -> io::Result<usize> {
        // The buffer lives for one look only, so that a waiting connection holds none.
        let read = poll_fn(|cx| {
            let mut buf = [0; READ];
            let n = ready!(Pin::new(&mut &*self.stream).poll_read(cx, &mut buf))?;
            self.ahead.extend_from_slice(&buf[..n]);
            Poll::Ready(io::Result::Ok(n))
        });
        read.await
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|w| w == wanted)
}
