//! Headers of the way between nodes. A header of the same name that a caller or a target has sent
//! follows behind and is passed on.

use crate::HeaderField;
use rw_gate::{Refusal, RefusalKind, ResponseSource};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Request header: what the delegate must know of the call.
pub(crate) const DELEGATION_HEADER: &str = "rw-delegation";
/// Response header: whose response it is.
pub(crate) const DELEGATE_HEADER: &str = "rw-delegate";

/// Whose response a delegate returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum DelegateNote {
    /// A target's.
    Target(ResponseSource),
    /// The delegate's own: it has refused the call.
    Refused {
        /// Name of the reason.
        kind: String,
        /// Milliseconds after which the caller should retry; zero if a retry makes no sense.
        retry_ms: u64,
    },
}

impl DelegateNote {
    /// The note on a refusal.
    pub(crate) fn refused(refusal: &Refusal) -> Self {
        Self::Refused {
            kind: refusal.kind.as_str().to_owned(),
            retry_ms: refusal.retry_ms,
        }
    }

    /// The refusal that a note names. A reason that this node doesn't know, because the delegate runs
    /// another build, concerns that node alone if its status promises that the call has not run.
    pub(crate) fn refusal(kind: &str, retry_ms: u64, status: u16) -> Refusal {
        let unknown = match status {
            503 => RefusalKind::NotReady,
            _ => RefusalKind::ResponseLost,
        };
        Refusal {
            kind: RefusalKind::parse(kind).unwrap_or(unknown),
            retry_ms,
            estimate_ms: 0,
        }
    }

    /// Value of the header.
    pub(crate) fn to_value(&self) -> String {
        to_value(self)
    }
}

/// Serializes the value of a header; the types of this module can't fail.
pub(crate) fn to_value(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Removes the first header with this name and parses its value; `None` if it is missing or malformed.
pub(crate) fn take_json<T: DeserializeOwned>(
    headers: &mut Vec<HeaderField>,
    name: &str,
) -> Option<T> {
    let i = headers.iter().position(|f| f.name == name)?;
    serde_json::from_str(&headers.remove(i).value).ok()
}
