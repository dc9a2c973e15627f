//! Parses HTTP requests into calls.

use crate::payload::Payload;
use displaydoc::Display;
use rw_core::{Call, Operation};
use rw_http::{Method, Request};
use rw_types::{Config, Millis, fingerprint, prefix_hashes};
use serde::Deserialize;

/// Estimated number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of tokens to generate if the request sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;
/// Highest limit on generated tokens that a request may set.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
/// Deadline of a request if neither the request nor its kind of work sets one.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 200;

/// Why a request could not be parsed. The message names the field and the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// field '{path}' of the JSON body is invalid: {error}; correct that field
    Json {
        /// Path of the field; a dot stands for the body itself.
        path: String,
        /// Error of the JSON parser, with line and column.
        error: String,
    },
    /// header '{0}' is not a whole number of milliseconds; correct it
    InvalidDeadline(String),
    /// field 'prompt' or 'messages' is missing or empty; send the text to complete
    MissingText,
    /// field 'max_tokens' is above the limit of 1000000; use a lower value
    TooManyTokens,
    /// header 'idempotency-key' is empty, longer than 200 bytes or contains characters other than visible ASCII; correct it
    InvalidKey,
    /// header 'x-work-kind' names '{0}', which is not declared; use a declared kind or leave it out
    UnknownKind(String),
}

impl std::error::Error for ParseError {}

#[derive(Debug, Deserialize)]
struct GenerateBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Parses a generation request in the common JSON format; `chat` selects messages over a prompt.
pub fn parse_generate(
    request: &Request,
    body: &[u8],
    chat: bool,
    caller: &str,
    config: &Config,
    now: Millis,
) -> Result<(Call, Payload), ParseError> {
    let parsed: GenerateBody = serde_json::from_slice(body).map_err(|_| json_error(body))?;
    let text = if chat {
        join_messages(&parsed.messages)
    } else {
        parsed.prompt
    };
    if text.is_empty() {
        return Err(ParseError::MissingText);
    }
    let output = parsed.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if output > MAX_OUTPUT_TOKENS {
        return Err(ParseError::TooManyTokens);
    }
    let operation = Operation::Generate {
        model: parsed.model,
        prompt: text.len().div_ceil(BYTES_PER_TOKEN) as u64,
        output,
        blocks: prefix_hashes(&text),
    };
    let call = call(request, body, operation, caller, config, now)?;
    let payload = Payload::Generate {
        text,
        stream: parsed.stream,
        chat,
    };
    Ok((call, payload))
}

/// Parses an invalid body again with path tracking, to name the field in the error.
fn json_error(body: &[u8]) -> ParseError {
    let mut reader = serde_json::Deserializer::from_slice(body);
    match serde_path_to_error::deserialize::<_, GenerateBody>(&mut reader) {
        Ok(_) => ParseError::Json {
            path: ".".to_owned(),
            error: "extra bytes after the JSON object".to_owned(),
        },
        Err(error) => ParseError::Json {
            path: error.path().to_string(),
            error: error.inner().to_string(),
        },
    }
}

/// Parses a call to a plain service under `/services/<name>/…`.
pub fn parse_plain(
    request: &Request,
    body: Vec<u8>,
    name: &str,
    rest: &str,
    caller: &str,
    config: &Config,
    now: Millis,
) -> Result<(Call, Payload), ParseError> {
    let method = request.method();
    let safe = matches!(method, Method::Get | Method::Head | Method::Options);
    let declared = config
        .service(name)
        .is_some_and(|s| s.idempotent.iter().any(|prefix| rest.starts_with(prefix)));
    let operation = Operation::Service {
        name: name.to_owned(),
        idempotent: safe || declared,
    };
    let call = call(request, &body, operation, caller, config, now)?;
    let query = request
        .url()
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    let payload = Payload::Plain {
        method,
        path: format!("{rest}{query}"),
        content_type: header(request, "content-type").map(str::to_owned),
        body,
    };
    Ok((call, payload))
}

fn call(
    request: &Request,
    body: &[u8],
    operation: Operation,
    caller: &str,
    config: &Config,
    now: Millis,
) -> Result<Call, ParseError> {
    let kind = header(request, "x-work-kind").unwrap_or_default();
    let declared = config.kind(kind);
    if !kind.is_empty() && declared.is_none() {
        return Err(ParseError::UnknownKind(kind.to_owned()));
    }
    let explicit = header(request, "x-deadline-ms");
    let deadline_ms = match explicit {
        Some(text) => text
            .parse()
            .map_err(|_| ParseError::InvalidDeadline("x-deadline-ms".to_owned()))?,
        None => declared.map_or(DEFAULT_DEADLINE_MS, |k| k.deadline_ms),
    };
    let key = header(request, "idempotency-key");
    if key.is_some_and(|k| {
        k.is_empty() || k.len() > MAX_KEY_BYTES || !k.bytes().all(|b| b.is_ascii_graphic())
    }) {
        return Err(ParseError::InvalidKey);
    }
    // The fingerprint covers the path, so that a key can't be reused for another path.
    let mut hashed = request.url().path().as_bytes().to_vec();
    hashed.push(b'\n');
    hashed.extend_from_slice(body);
    Ok(Call {
        caller: caller.to_owned(),
        kind: kind.to_owned(),
        operation,
        key: key.map(str::to_owned),
        fingerprint: fingerprint(&hashed),
        deadline: now.plus(deadline_ms),
        explicit_deadline: explicit.is_some() || declared.is_some(),
    })
}

/// Returns the value of a request header, the last one if it is repeated.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|v| v.last().as_str())
}

fn join_messages(messages: &[Message]) -> String {
    let lines = messages
        .iter()
        .map(|m| format!("{}: {}\n", m.role, m.content));
    lines.collect()
}
