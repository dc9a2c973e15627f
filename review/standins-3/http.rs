//! Minimal HTTP/1.1 messages over blocking sockets, a JSON reader and base64.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response head with its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends.
pub fn read_head(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a head and a body with a length or in chunks.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(from)?;
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(from)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        from.read_exact(&mut body).ok()?;
        message.body = body;
    }
    Some(message)
}

/// Reads a chunk; the inner `None` is the end of the body, the outer one a broken connection.
pub fn read_chunk(from: &mut BufReader<TcpStream>) -> Option<Option<Vec<u8>>> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut bytes = vec![0; size + 2];
    from.read_exact(&mut bytes).ok()?;
    bytes.truncate(size);
    Some((size > 0).then_some(bytes))
}

pub fn respond(to: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    to.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }
}

fn blank(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    blank(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            let mut map = BTreeMap::new();
            *at += 1;
            loop {
                blank(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(bytes, at)?;
                        blank(bytes, at);
                        *at += 1;
                        map.insert(key, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                blank(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| !matches!(b, b',' | b'}' | b']') && !b.is_ascii_whitespace())
            {
                *at += 1;
            }
            match &bytes[start..*at] {
                b"null" => Some(Json::Null),
                b"true" => Some(Json::Bool(true)),
                b"false" => Some(Json::Bool(false)),
                number => std::str::from_utf8(number)
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number),
            }
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    let mut out = Vec::new();
    *at += 1;
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend(c.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let b = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            out.push(match i <= part.len() {
                true => DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char,
                false => '=',
            });
        }
    }
    out
}
