//! Outcomes and refusals, as reported to the caller.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Whether a target ran the request, as sent in the `x-outcome` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller gets the target's complete response.
    Done,
    /// No target ran any part of it.
    NotRun,
    /// A target may have run it, but the response was lost.
    Unknown,
}

impl Outcome {
    /// Value of the `x-outcome` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request got no response from a target. The message names the remedy.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// the bearer key is unknown; send a key issued for this service
    UnknownKey,
    /// the model is not served; choose one from /v1/models
    UnknownModel,
    /// the service is not served; choose one that the operators have declared
    UnknownService,
    /// no target can accept the request now; retry after the time given in retry-after
    NoTarget,
    /// the deadline cannot be met; retry after the time given in retry-after
    TooLate,
    /// the fleet has no capacity left for this kind of work; retry after the time given in retry-after
    Overloaded,
    /// the store that records idempotency keys is unreachable; take a ticket from /tickets, or retry after the time given in retry-after
    StoreDown,
    /// a request with this idempotency key is in progress; retry after the time given in retry-after
    InProgress,
    /// the idempotency key was used with a different body; use a new key for a new request
    KeyReused,
    /// the response of an earlier run with this idempotency key was lost; check the state of the service before using a new key
    RunLost,
    /// the VM that issued the ticket stopped before it ran the request; take a new ticket from /tickets
    #[serde(rename = "ticket-over")]
    TicketExpired,
    /// the request crashed every target that ran it; change it before sending it again
    Poison,
    /// the target's response was truncated or lost; for non-idempotent work check the state of the service before sending the request again
    #[serde(rename = "answer-lost")]
    ResponseLost,
    /// this VM is shutting down; send the request again so that the load balancer picks another VM
    #[serde(rename = "leaving")]
    ShuttingDown,
}

impl RefusalKind {
    /// HTTP status code of the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownKey => 401,
            Self::UnknownModel | Self::UnknownService => 404,
            Self::KeyReused | Self::Poison => 422,
            Self::InProgress => 409,
            Self::TicketExpired => 410,
            Self::Overloaded => 429,
            Self::ResponseLost | Self::RunLost => 502,
            Self::NoTarget | Self::TooLate | Self::StoreDown | Self::ShuttingDown => 503,
        }
    }
}

/// A final response that does not come from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason.
    pub kind: RefusalKind,
    /// Whether a target ran the request.
    pub outcome: Outcome,
    /// Time after which to retry, in milliseconds; zero if a retry is pointless.
    pub retry_ms: u64,
}
