//! Heads and bodies of HTTP/1.1 messages.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        let target = self.first.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.first.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or_default()
    }
}

/// A connection with what was read from it and not taken.
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

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            let found = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&bytes);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok(Some(Head {
            first,
            headers: headers.collect(),
        }))
    }

    /// Reads exactly `n` bytes.
    fn exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Passes the parts of a body to `each` as they arrive; an error if the body is not whole.
    pub fn body_parts(&mut self, head: &Head, mut each: impl FnMut(&[u8])) -> io::Result<()> {
        let coding = head.header("transfer-encoding").unwrap_or_default();
        if coding.eq_ignore_ascii_case("chunked") {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let part = self.exact(size)?;
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
                each(&part);
            }
        }
        if let Some(length) = head.header("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let body = self.exact(length)?;
            each(&body);
            return Ok(());
        }
        if head.first.starts_with("HTTP/") {
            // The body ends with the connection.
            loop {
                let rest = std::mem::take(&mut self.buffer);
                each(&rest);
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut all = Vec::new();
        self.body_parts(head, |part| all.extend_from_slice(part))?;
        Ok(all)
    }

    pub fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status} S\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }
}

/// Accepts connections on threads of their own.
pub fn serve(addr: SocketAddr, handle: impl Fn(Conn) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
    Ok(addr)
}
