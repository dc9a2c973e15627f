//! HTTP/1.1 messages as the stand-ins read and write them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
    time::Duration,
};

/// Head of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    pub fn call_id(&self) -> &str {
        self.header("redwingweir-attempt-id").unwrap_or_default()
    }
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &addr,
            Duration::from_secs(1),
        )?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }

    /// Reads a head up to and including its empty line.
    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(parse_head(&String::from_utf8_lossy(&bytes)));
            }
            self.fill()?;
        }
    }

    /// Reads exactly `n` bytes.
    pub fn read_exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.fill()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }

    /// Reads at most `n` bytes and at least one.
    pub fn read_some(&mut self, n: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let n = n.min(self.buffer.len());
        Ok(self.buffer.drain(..n).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body that `head` declares, with a length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    format!("no chunk size where one is due, but {line:?}"),
                ));
            };
            let chunk = self.read_exact(size)?;
            body.extend_from_slice(&chunk);
            if !self.read_line()?.is_empty() {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "a chunk without its end",
                ));
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const IPPROTO_TCP: i32 = 6;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;
const TCP_MAXSEG: i32 = 2;

fn set_option(fd: i32, level: i32, name: i32, value: &[i32]) {
    // SAFETY: the pointer and the length describe `value`, which outlives the call.
    unsafe { setsockopt(fd, level, name, value.as_ptr(), size_of_val(value) as u32) };
}

/// Gives the connections of a listener a small window, and segments as on Ethernet.
pub fn small_window(listener: &impl AsRawFd, bytes: i32) {
    set_option(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &[bytes]);
    set_option(listener.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &[1_460]);
}

/// Resets a connection.
pub fn reset(stream: &TcpStream) {
    set_option(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0]);
    // A socket with linger 0 sends its reset when its last handle is closed; shutting it down for
    // reading wakes its readers, which then drop theirs.
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// Sends a signal to a process that this run has started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: the call has no effect on this process' memory.
    unsafe { kill(pid as i32, number) };
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
    Head {
        first,
        headers: headers.collect(),
    }
}
