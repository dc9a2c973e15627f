//! Parsing of request and response heads.

use crate::Framing;
use displaydoc::Display;
use std::ops::RangeInclusive;

/// Statuses that a response can have.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Maximum number of headers in one head.
const MAX_HEADERS: usize = 128;

/// Why a head is rejected.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// the head is not valid HTTP/1.1; send a request line and headers, each line ending in CR LF
    Malformed,
    /// the head exceeds its size limit; send fewer or shorter headers
    TooLarge,
    /// the body length is ambiguous or invalid; send one content-length or chunked encoding
    Framing,
    /// the host header is missing or repeated; send it once
    Host,
}

impl std::error::Error for HeadError {}

/// A header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value without surrounding white space.
    pub value: String,
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Value of the host header as sent.
    pub host: String,
    /// Headers in the order received.
    pub headers: Vec<HeaderField>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the caller reads HTTP/1.1, with chunks and interim responses.
    pub is_http_1_1: bool,
}

impl RequestHead {
    /// Parses a head up to and including its empty line.
    ///
    /// # Errors
    ///
    /// Any [`HeadError`] but `TooLarge`.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        check_lines(bytes)?;
        let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut parsed);
        let status = request.parse(bytes).map_err(|_| HeadError::Malformed)?;
        let (Some(method), Some(target), Some(version)) =
            (request.method, request.path, request.version)
        else {
            return Err(HeadError::Malformed);
        };
        if status.is_partial() || !target.starts_with('/') {
            return Err(HeadError::Malformed);
        }
        let headers = headers(request.headers)?;
        let mut hosts = headers.iter().filter(|f| f.name == "host");
        let host = match (hosts.next(), hosts.next()) {
            (Some(host), None) => host.value.clone(),
            _ => return Err(HeadError::Host),
        };
        let framing = Framing::from_headers(&headers)?.unwrap_or(Framing::Length(0));
        let is_http_1_1 = version == 1;
        let keep_alive = is_http_1_1 && !closes_connection(&headers);
        Ok(Self {
            method: method.to_owned(),
            target: target.to_owned(),
            host,
            headers,
            framing,
            keep_alive,
            is_http_1_1,
        })
    }

    /// Value of the first header with this name, given in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<HeaderField>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may carry another response.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses a head up to and including its empty line, as the response to a request with
    /// `method`.
    ///
    /// # Errors
    ///
    /// [`HeadError::Malformed`] or [`HeadError::Framing`].
    pub fn parse(bytes: &[u8], method: &str) -> Result<Self, HeadError> {
        if has_second_status_line(bytes) {
            return Err(HeadError::Malformed);
        }
        let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut parsed);
        let status = response.parse(bytes).map_err(|_| HeadError::Malformed)?;
        let (Some(code), Some(version)) = (response.code, response.version) else {
            return Err(HeadError::Malformed);
        };
        // Where an empty line ends in a line feed alone, the head ends before `bytes` do.
        let is_whole = status == httparse::Status::Complete(bytes.len());
        if !is_whole || !STATUSES.contains(&code) {
            return Err(HeadError::Malformed);
        }
        let headers = headers(response.headers)?;
        let bodyless = method == "HEAD" || code < 200 || code == 204 || code == 304;
        let framing = match Framing::from_headers(&headers)? {
            _ if bodyless => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::Close,
        };
        let keep_alive = version == 1 && !closes_connection(&headers) && framing != Framing::Close;
        Ok(Self {
            status: code,
            headers,
            framing,
            keep_alive,
        })
    }

    /// Value of the first header with this name, given in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Values of all headers with this name, given in lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let found = self.headers.iter().filter(move |f| f.name == name);
        found.map(|f| f.value.as_str())
    }
}

/// Whether a header is hop-by-hop: it concerns a single connection and is never forwarded.
pub(crate) fn is_hop(name: &str) -> bool {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP_BY_HOP.binary_search(&name).is_ok()
}

/// Whether a status line begins inside the head of a response. The end of one response, without its
/// last bytes, then passes for the beginning of the next.
fn has_second_status_line(bytes: &[u8]) -> bool {
    const LINE_BYTES: usize = b"HTTP/1.1 200".len();
    let rest = bytes.get(1..).unwrap_or_default();
    rest.windows(LINE_BYTES + 1).any(|line| {
        let (start, code) = (&line[..7], &line[9..LINE_BYTES]);
        start == b"HTTP/1."
            && line[7].is_ascii_digit()
            && line[8] == b' '
            && code.iter().all(u8::is_ascii_digit)
            && matches!(line[LINE_BYTES], b' ' | b'\r')
    })
}

/// Checks that every line of a request head ends in CR LF, and that no header is folded over
/// several lines.
fn check_lines(bytes: &[u8]) -> Result<(), HeadError> {
    let ends = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n');
    for (i, _) in ends {
        let bare = i == 0 || bytes[i - 1] != b'\r';
        let folded = matches!(bytes.get(i + 1), Some(b' ' | b'\t'));
        if bare || folded {
            return Err(HeadError::Malformed);
        }
    }
    Ok(())
}

fn headers(parsed: &[httparse::Header<'_>]) -> Result<Vec<HeaderField>, HeadError> {
    let header = |h: &httparse::Header<'_>| {
        let value = std::str::from_utf8(h.value).map_err(|_| HeadError::Malformed)?;
        Ok(HeaderField {
            name: h.name.to_ascii_lowercase(),
            value: value.trim().to_owned(),
        })
    };
    parsed.iter().map(header).collect()
}

fn header<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|f| f.name == name);
    found.map(|f| f.value.as_str())
}

fn closes_connection(headers: &[HeaderField]) -> bool {
    let connection = headers.iter().filter(|f| f.name == "connection");
    let mut words = connection.flat_map(|f| f.value.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case("close"))
}
