//! The state of one connection, shared by its task and the sweeper.

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

/// Most header lines that `async-h1` reads.
const MAX_LINES: u32 = 128;
/// Most bytes of an unread body taken after the answer, so that the peer can read the answer.
const MAX_DISCARD: usize = 8 << 20;
/// No time set.
const NEVER: u64 = 0;

/// What the bytes that arrive belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing yet.
    Idle,
    /// A header.
    Header,
    /// A body, to be whole at this time.
    Body { due: u64 },
    /// What is left of a body after its answer began.
    Rest { bytes: usize },
}

#[derive(Debug)]
struct Input {
    phase: Phase,
    /// Bytes of the header so far.
    bytes: usize,
    /// Lines of the header so far.
    lines: u32,
    /// How much of the empty line that ends a header was seen.
    matched: usize,
    /// Bytes read before the header was looked at.
    early: Vec<u8>,
}

/// One connection. Times are milliseconds since `start`.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) id: u64,
    pub(crate) tcp: TcpStream,
    limits: Limits,
    start: Instant,
    input: Mutex<Input>,
    read_due: AtomicU64,
    write_due: AtomicU64,
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
            early: Vec::new(),
        };
        Self {
            id,
            tcp,
            limits,
            start,
            input: Mutex::new(input),
            read_due: AtomicU64::new(NEVER),
            write_due: AtomicU64::new(NEVER),
            idle_since: AtomicU64::new(NEVER),
            oversize: AtomicBool::new(false),
        }
    }

    /// The next request may come.
    pub(crate) fn begin(&self) {
        let mut input = self.input();
        input.phase = Phase::Idle;
        input.bytes = 0;
        input.lines = 0;
        input.matched = 0;
        let now = self.now();
        self.idle_since.store(now, Ordering::Relaxed);
        self.read_due
            .store(now + millis(self.limits.idle_timeout), Ordering::Relaxed);
    }

    /// The first bytes of a request came and are kept for its reader.
    pub(crate) fn keep_early(&self, bytes: &[u8]) {
        let mut input = self.input();
        input.phase = Phase::Header;
        input.early.extend_from_slice(bytes);
        self.idle_since.store(NEVER, Ordering::Relaxed);
        self.read_due.store(
            self.now() + millis(self.limits.header_timeout),
            Ordering::Relaxed,
        );
    }

    /// Takes bytes kept by [`Conn::keep_early`] into `buf`.
    pub(crate) fn take_early(&self, buf: &mut [u8]) -> usize {
        let mut input = self.input();
        let n = input.early.len().min(buf.len());
        buf[..n].copy_from_slice(&input.early[..n]);
        input.early.drain(..n);
        n
    }

    /// The answer begins; what is left of the body is read only to get rid of it.
    pub(crate) fn answer(&self) {
        self.input().phase = Phase::Rest { bytes: 0 };
        self.read_due.store(NEVER, Ordering::Relaxed);
    }

    /// Nothing could be read now.
    pub(crate) fn read_waits(&self) {
        let due = match self.input().phase {
            // Set when the phase began.
            Phase::Idle | Phase::Header => return,
            Phase::Body { due } => due,
            Phase::Rest { .. } => match self.read_due.load(Ordering::Relaxed) {
                NEVER => self.now() + millis(self.limits.header_timeout),
                due => due,
            },
        };
        self.read_due.store(due, Ordering::Relaxed);
    }

    /// Counts what was read.
    ///
    /// # Errors
    ///
    /// The header or the rest of a body is over its limit.
    pub(crate) fn read_got(&self, bytes: &[u8]) -> io::Result<()> {
        let mut input = self.input();
        match input.phase {
            Phase::Idle | Phase::Header => self.scan_header(&mut input, bytes),
            Phase::Body { .. } => {
                self.read_due.store(NEVER, Ordering::Relaxed);
                Ok(())
            }
            Phase::Rest { bytes: before } => {
                let sum = before + bytes.len();
                input.phase = Phase::Rest { bytes: sum };
                if sum > MAX_DISCARD {
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
                let due = self.now() + millis(self.limits.body_timeout);
                input.phase = Phase::Body { due };
                self.read_due.store(NEVER, Ordering::Relaxed);
                break;
            }
            // The request line and the empty line count as lines too.
            if input.bytes >= self.limits.header_bytes || input.lines > MAX_LINES {
                self.oversize.store(true, Ordering::Relaxed);
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        Ok(())
    }

    /// The peer took nothing now.
    pub(crate) fn write_waits(&self) {
        if self.write_due.load(Ordering::Relaxed) == NEVER {
            let due = self.now() + millis(self.limits.write_timeout);
            self.write_due.store(due, Ordering::Relaxed);
        }
    }

    /// The peer took some bytes.
    pub(crate) fn write_got(&self) {
        self.write_due.store(NEVER, Ordering::Relaxed);
    }

    /// Whether the header was over its limit.
    pub(crate) fn is_oversize(&self) -> bool {
        self.oversize.load(Ordering::Relaxed)
    }

    /// Since when the connection has waited for a request.
    pub(crate) fn idle_since(&self) -> Option<u64> {
        match self.idle_since.load(Ordering::Relaxed) {
            NEVER => None,
            since => Some(since),
        }
    }

    /// Lets the task end unless a request has come meanwhile, which still gets its answer.
    pub(crate) fn close_idle(&self) {
        self.idle_since.store(NEVER, Ordering::Relaxed);
        // Fails only if the peer has closed, which ends the task too.
        let _ = self.tcp.shutdown(Shutdown::Read);
    }

    /// Ends the task if a limit has run out.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let over = |due: &AtomicU64| {
            let due = due.load(Ordering::Relaxed);
            due != NEVER && due <= now
        };
        if over(&self.write_due) {
            let _ = self.tcp.shutdown(Shutdown::Both);
        } else if over(&self.read_due) {
            let _ = self.tcp.shutdown(Shutdown::Read);
        }
    }

    fn now(&self) -> u64 {
        // Zero stands for no time.
        1 + millis(self.start.elapsed())
    }

    fn input(&self) -> MutexGuard<'_, Input> {
        self.input.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
