//! Blocking HTTP/1.1 for stand-ins: one thread a connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let n = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn bytes(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }

    /// Reads a head; `None` if the connection ends before one begins.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message { first, ..Message::default() };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads one chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let bytes = self.bytes(size)?;
        self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(bytes)
    }

    /// Reads a whole message; `None` if the connection ends before one begins.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        } else if let Ok(n) = message.header("content-length").parse::<usize>() {
            message.body = self.bytes(n)?;
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A whole response with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves each connection of `listener` on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Conn) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let addr = listener.local_addr().expect("a bound address");
    (listener, addr)
}

/// Sockets with a small receive buffer, which the standard library can't open.
mod small {
    use std::{
        io,
        net::{SocketAddr, TcpStream},
        os::fd::FromRawFd,
    };

    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;

    #[repr(C)]
    struct SockAddr {
        family: u16,
        port: u16,
        ip: u32,
        zero: [u8; 8],
    }

    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, addr: *const SockAddr, length: u32) -> i32;
    }

    pub fn open(addr: SocketAddr, buffer: i32) -> io::Result<TcpStream> {
        let SocketAddr::V4(addr) = addr else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let to = SockAddr {
            family: AF_INET as u16,
            port: addr.port().to_be(),
            ip: u32::from_ne_bytes(addr.ip().octets()),
            zero: [0; 8],
        };
        // SAFETY: the arguments are valid for the length of the calls, and the descriptor is owned by
        // the stream at once.
        unsafe {
            let fd = socket(AF_INET, SOCK_STREAM, 0);
            if fd < 0 {
                return Err(io::Error::last_os_error());
            }
            let stream = TcpStream::from_raw_fd(fd);
            if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, 4) != 0 || connect(fd, &to, 16) != 0 {
                return Err(io::Error::last_os_error());
            }
            Ok(stream)
        }
    }
}

impl Conn {
    /// Opens a connection whose window is small: it takes about `buffer` bytes that aren't read.
    pub fn open_small(addr: SocketAddr, buffer: i32, timeout: Duration) -> io::Result<Self> {
        let stream = small::open(addr, buffer)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }
}
