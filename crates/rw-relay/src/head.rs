//! Heads of requests and answers, as their bytes were.

use crate::Framing;
use displaydoc::Display;

/// Most header fields of one head.
const MAX_HEADERS: usize = 128;

/// Why a head is refused.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// the head isn't HTTP/1.1; send a request line, fields and lines that end in CR LF
    Malformed,
    /// the head is over its limit; send fewer or shorter fields
    TooLarge,
    /// the body's length is given in two ways or wrongly; send one content-length or chunks
    Framing,
    /// the host field is missing or given twice; send it once
    Host,
}

impl std::error::Error for HeadError {}

/// A header field with its name in lower case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Host as sent.
    pub host: String,
    /// Fields in their order.
    pub headers: Vec<HeaderField>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses the bytes up to and with the empty line.
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
        let keep_alive = version == 1 && !says_close(&headers);
        Ok(Self {
            method: method.to_owned(),
            target: target.to_owned(),
            host,
            headers,
            framing,
            keep_alive,
        })
    }

    /// First value of a field, by its name in lower case.
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

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Fields in their order.
    pub headers: Vec<HeaderField>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may carry another answer.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses the bytes up to and with the empty line, as the answer to `method`.
    ///
    /// # Errors
    ///
    /// [`HeadError::Malformed`] or [`HeadError::Framing`].
    pub fn parse(bytes: &[u8], method: &str) -> Result<Self, HeadError> {
        let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut parsed);
        let status = response.parse(bytes).map_err(|_| HeadError::Malformed)?;
        let (Some(code), Some(version)) = (response.code, response.version) else {
            return Err(HeadError::Malformed);
        };
        if status.is_partial() {
            return Err(HeadError::Malformed);
        }
        let headers = headers(response.headers)?;
        let bodyless = method == "HEAD" || code < 200 || code == 204 || code == 304;
        let framing = match Framing::from_headers(&headers)? {
            _ if bodyless => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::Close,
        };
        let keep_alive = version == 1 && !says_close(&headers) && framing != Framing::Close;
        Ok(Self {
            status: code,
            headers,
            framing,
            keep_alive,
        })
    }

    /// First value of a field, by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Whether a field concerns one connection only, and is never passed on.
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

/// Every line of a request's head ends in CR LF, and none continues the one before.
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

fn says_close(headers: &[HeaderField]) -> bool {
    let connection = headers.iter().filter(|f| f.name == "connection");
    let mut words = connection.flat_map(|f| f.value.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case("close"))
}
