//! Limits of one connection of a listener, shared by its task and the periodic sweep.

use crate::Limits;
use smol::net::TcpStream;
use std::{
    io,
    net::Shutdown,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Maximum number of header lines that `async-h1` reads.
const MAX_HEADER_LINES: u32 = 128;
/// Maximum number of bytes of an unread body that are discarded after the response, so that the
/// peer can read the response.
const MAX_DISCARD_BYTES: usize = 8 << 20;
/// Value of a deadline or time that is not set.
const UNSET: u64 = 0;

/// Which part of a request is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// None; waiting for a request.
    Idle,
    /// The header.
    Header,
    /// The body, which must be complete by the deadline.
    Body { deadline: u64 },
    /// What remains of the body after the response began; it is discarded.
    Discard { bytes: usize },
}

/// How much of the current request has been read.
#[derive(Debug)]
struct Input {
    phase: Phase,
    /// Bytes of the header read so far.
    bytes: usize,
    /// Lines of the header read so far.
    lines: u32,
    /// Bytes matched so far of the sequence that ends a header.
    matched: usize,
    /// Bytes read before the header is parsed.
    buffered: Vec<u8>,
}

/// One connection. Times are in milliseconds since `start`, plus one; zero is [`UNSET`].
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) id: u64,
    pub(crate) tcp: TcpStream,
    limits: Limits,
    start: Instant,
    input: Mutex<Input>,
    read_deadline: AtomicU64,
    write_deadline: AtomicU64,
    idle_since: AtomicU64,
    oversize: AtomicBool,
}

impl Conn {
    pub(crate) fn new(id: u64, tcp: TcpStream, limits: Limits, start: Instant) -> Self {
        let input = Input {
            phase: Phase::Idle,
            bytes: 0,
            lines: 0,
            matched: 0,
            buffered: Vec::new(),
        };
        Self {
            id,
            tcp,
            limits,
            start,
            input: Mutex::new(input),
            read_deadline: AtomicU64::new(UNSET),
            write_deadline: AtomicU64::new(UNSET),
            idle_since: AtomicU64::new(UNSET),
            oversize: AtomicBool::new(false),
        }
    }

    /// Resets the state to wait for the next request.
    pub(crate) fn begin(&self) {
        let mut input = self.input();
        input.phase = Phase::Idle;
        input.bytes = 0;
        input.lines = 0;
        input.matched = 0;
        let now = self.now();
        self.idle_since.store(now, Ordering::Relaxed);
        self.read_deadline
            .store(now + millis(self.limits.idle_timeout), Ordering::Relaxed);
    }

    /// Keeps the first bytes of a request for [`Conn::take_buffered`]; the header timeout starts.
    pub(crate) fn buffer(&self, bytes: &[u8]) {
        let mut input = self.input();
        input.phase = Phase::Header;
        input.buffered.extend_from_slice(bytes);
        self.idle_since.store(UNSET, Ordering::Relaxed);
        self.read_deadline.store(
            self.now() + millis(self.limits.header_timeout),
            Ordering::Relaxed,
        );
    }

    /// Moves bytes kept by [`Conn::buffer`] into `buf`, and returns how many.
    pub(crate) fn take_buffered(&self, buf: &mut [u8]) -> usize {
        let mut input = self.input();
        let n = input.buffered.len().min(buf.len());
        buf[..n].copy_from_slice(&input.buffered[..n]);
        input.buffered.drain(..n);
        n
    }

    /// Called when the response begins; from now on the rest of the request is discarded.
    pub(crate) fn begin_response(&self) {
        self.input().phase = Phase::Discard { bytes: 0 };
        self.read_deadline.store(UNSET, Ordering::Relaxed);
    }

    /// Called when a read has to wait for the peer; sets the read deadline.
    pub(crate) fn on_read_pending(&self) {
        let deadline = match self.input().phase {
            // The deadline was set when the phase began.
            Phase::Idle | Phase::Header => return,
            Phase::Body { deadline } => deadline,
            Phase::Discard { .. } => match self.read_deadline.load(Ordering::Relaxed) {
                UNSET => self.now() + millis(self.limits.header_timeout),
                deadline => deadline,
            },
        };
        self.read_deadline.store(deadline, Ordering::Relaxed);
    }

    /// Called when bytes have been read; checks the size limits.
    ///
    /// # Errors
    ///
    /// The header or the discarded part of a body exceeds its limit.
    pub(crate) fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        let mut input = self.input();
        match input.phase {
            Phase::Idle | Phase::Header => self.scan_header(&mut input, bytes),
            Phase::Body { .. } => {
                self.read_deadline.store(UNSET, Ordering::Relaxed);
                Ok(())
            }
            Phase::Discard { bytes: before } => {
                let sum = before + bytes.len();
                input.phase = Phase::Discard { bytes: sum };
                if sum > MAX_DISCARD_BYTES {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                Ok(())
            }
        }
    }

    fn scan_header(&self, input: &mut Input, bytes: &[u8]) -> io::Result<()> {
        const END: &[u8] = b"\r\n\r\n";
        for &byte in bytes {
            input.bytes += 1;
            input.lines += u32::from(byte == b'\n');
            input.matched = match byte {
                _ if byte == END[input.matched] => input.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if input.matched == END.len() {
                let deadline = self.now() + millis(self.limits.body_timeout);
                input.phase = Phase::Body { deadline };
                self.read_deadline.store(UNSET, Ordering::Relaxed);
                break;
            }
            // The request line and the empty line count too.
            if input.bytes >= self.limits.header_bytes || input.lines > MAX_HEADER_LINES {
                self.oversize.store(true, Ordering::Relaxed);
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        Ok(())
    }

    /// Called when a write has to wait for the peer; sets the write deadline unless it is set.
    pub(crate) fn on_write_pending(&self) {
        if self.write_deadline.load(Ordering::Relaxed) == UNSET {
            let deadline = self.now() + millis(self.limits.write_timeout);
            self.write_deadline.store(deadline, Ordering::Relaxed);
        }
    }

    /// Called when a write has ended; clears the write deadline.
    pub(crate) fn on_write(&self) {
        self.write_deadline.store(UNSET, Ordering::Relaxed);
    }

    /// Whether the header exceeded its limit.
    pub(crate) fn is_oversize(&self) -> bool {
        self.oversize.load(Ordering::Relaxed)
    }

    /// Time since which the connection has been waiting for a request; `None` during a request and
    /// after [`Conn::close_idle`].
    pub(crate) fn idle_since(&self) -> Option<u64> {
        match self.idle_since.load(Ordering::Relaxed) {
            UNSET => None,
            since => Some(since),
        }
    }

    /// Ends the task by shutting down reads; a request that has just arrived still gets its
    /// response.
    pub(crate) fn close_idle(&self) {
        self.idle_since.store(UNSET, Ordering::Relaxed);
        // Fails only if the peer has closed the connection, which ends the task too.
        let _ = self.tcp.shutdown(Shutdown::Read);
    }

    /// Shuts the socket down, and so ends the task, if a deadline has passed.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let expired = |deadline: &AtomicU64| {
            let deadline = deadline.load(Ordering::Relaxed);
            deadline != UNSET && deadline <= now
        };
        if expired(&self.write_deadline) {
            let _ = self.tcp.shutdown(Shutdown::Both);
        } else if expired(&self.read_deadline) {
            let _ = self.tcp.shutdown(Shutdown::Read);
        }
    }

    fn now(&self) -> u64 {
        // Zero is `UNSET`.
        1 + millis(self.start.elapsed())
    }

    fn input(&self) -> MutexGuard<'_, Input> {
        self.input.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
