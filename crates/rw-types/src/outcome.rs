//! How a request ended, as its caller is told.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// What is known of the run, sent as the `x-outcome` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target's whole answer.
    Done,
    /// No target ran any part of it.
    NotRun,
    /// It may have run; the answer is lost.
    Unknown,
}

impl Outcome {
    /// The header's value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request got no answer of a target. The text names the remedy.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// the bearer key is unknown; send a key minted for this service
    UnknownKey,
    /// the model is not served; choose one from /v1/models
    UnknownModel,
    /// the service is not served; choose one the operators declared
    UnknownService,
    /// no target can take the request now; ask again after the time in retry-after
    NoTarget,
    /// the deadline cannot be met; ask again after the time in retry-after
    TooLate,
    /// the fleet is full for this kind of work; ask again after the time in retry-after
    Overloaded,
    /// the store that records keys is out of reach; take a ticket from /tickets, or ask again after the time in retry-after
    StoreDown,
    /// a request with this key is running; ask again after the time in retry-after
    InProgress,
    /// the key was used for another body; use a new key for a new request
    KeyReused,
    /// an earlier run with this key lost its answer; look at the service before using a new key
    RunLost,
    /// the VM that minted the ticket has stopped without running it; take a new ticket from /tickets
    #[serde(rename = "ticket-over")]
    TicketExpired,
    /// the request ended every target that ran it; change it before sending it again
    Poison,
    /// the target's answer was cut or lost; for non-idempotent work look at the service before sending it again
    #[serde(rename = "answer-lost")]
    ResponseLost,
    /// this VM is leaving; send the request again and the balancer picks another
    Leaving,
}

impl RefusalKind {
    /// HTTP status that carries the refusal.
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
            Self::NoTarget | Self::TooLate | Self::StoreDown | Self::Leaving => 503,
        }
    }
}

/// A final answer that is not a target's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// What is known of the run.
    pub outcome: Outcome,
    /// When to come back, in milliseconds; zero when asking again is pointless.
    pub retry_ms: u64,
}
