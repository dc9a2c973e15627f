//! Recorded responses, which are replayed to retries of the same idempotency key.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// A target's full response, stored so that a retry with the same idempotency key gets the same
/// bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; empty if there was none.
    #[serde(default, rename = "kind")]
    pub content_type: String,
    /// Body, not necessarily text.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Vec<u8>,
}

/// A response body in JSON: a string if it is UTF-8, else `{"hex": …}` with its hex digits.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Body<'a> {
    Text(std::borrow::Cow<'a, str>),
    Hex { hex: String },
}

fn write_body<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    let body = match std::str::from_utf8(body) {
        Ok(text) => Body::Text(text.into()),
        Err(_) => Body::Hex {
            hex: body.iter().map(|b| format!("{b:02x}")).collect(),
        },
    };
    body.serialize(serializer)
}

fn read_body<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    match Body::deserialize(deserializer)? {
        Body::Text(text) => Ok(text.into_owned().into_bytes()),
        Body::Hex { hex } => from_hex(&hex).ok_or_else(|| {
            D::Error::custom("response body: `hex` must consist of pairs of hex digits")
        }),
    }
}

fn from_hex(hex: &str) -> Option<Vec<u8>> {
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    let pairs = (0..hex.len()).step_by(2);
    pairs
        .map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok())
        .collect()
}
