//! What the shell is to do.

use crate::KvHandle;
use rw_types::{Millis, RequestId, Role};

/// What a dispatch asks of its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchMode {
    /// To run the call.
    Run,
    /// To fill the prompt and keep it.
    Prefill,
    /// To go on from a prompt filled elsewhere.
    Decode(KvHandle),
}

/// A call on its way to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Target name.
    pub target: String,
    /// Life of the target that is meant.
    pub incarnation: u64,
    /// `ip:port` of the target.
    pub addr: String,
    /// What is asked.
    pub mode: DispatchMode,
    /// `ip:port` of another target from which the beginning of the prompt is fetched.
    pub fetch_from: Option<String>,
    /// Milliseconds that are left to the call.
    pub left_ms: u64,
    /// Milliseconds after which a prompt is filled elsewhere instead; only where it doesn't run.
    pub stall_timeout_ms: Option<u64>,
    /// Rank among the target's work, zero first.
    pub priority: u8,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// Whether it is a generation, which its target ranks by priority.
    pub generation: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether the call's stream may be resumed.
    pub resumable: bool,
    /// Connections that this node may open to the target.
    pub max_connections: u32,
    /// What decided it, for the log: estimates in milliseconds, tokens to fill, work of others.
    pub reason: String,
}

/// Why a call gets no target's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// No configuration is known yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// No target can run it now.
    NoTarget,
    /// It can't be answered in time.
    TooLate,
    /// The retry budget is spent.
    Overloaded,
    /// It ended the targets that ran it.
    Poison,
    /// This node stops before the call could end.
    ShuttingDown,
    /// It may have run, and its answer is lost.
    ResponseLost,
    /// Its time ran out; it may have run.
    TimedOut,
    /// The stream broke after its beginning was delivered.
    Truncated,
}

impl RefusalKind {
    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::TooLate => "too-late",
            Self::Overloaded => "overloaded",
            Self::Poison => "poison",
            Self::ShuttingDown => "leaving",
            Self::ResponseLost => "answer-lost",
            Self::TimedOut => "timed-out",
            Self::Truncated => "cut",
        }
    }

    /// HTTP status; `None` where the answer has begun and can only be cut.
    #[must_use]
    pub fn status(self) -> Option<u16> {
        match self {
            Self::NotReady
            | Self::NoTarget
            | Self::TooLate
            | Self::Overloaded
            | Self::Poison
            | Self::ShuttingDown => Some(503),
            Self::NoRoute => Some(404),
            Self::ResponseLost => Some(502),
            Self::TimedOut => Some(504),
            Self::Truncated => None,
        }
    }
}

/// A final answer that is not a target's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// When to come back, in milliseconds; zero where that makes no sense.
    pub retry_ms: u64,
    /// Estimated milliseconds to the answer that decided it; zero for none.
    pub estimate_ms: u64,
}

/// An effect, as data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a call to a target.
    Dispatch {
        /// Call.
        id: RequestId,
        /// How.
        dispatch: Dispatch,
    },
    /// Give the caller the answer that is here.
    Deliver {
        /// Call.
        id: RequestId,
    },
    /// Give the caller a final answer that is not a target's.
    Refuse {
        /// Call.
        id: RequestId,
        /// Which.
        refusal: Refusal,
    },
    /// Ask the store for the lease on role changes.
    AcquireLease,
    /// Order a target to change its role.
    Order {
        /// Target name.
        target: String,
        /// Life of the target that is meant.
        incarnation: u64,
        /// `ip:port` of the target.
        addr: String,
        /// Role that it is to take.
        role: Role,
        /// Fencing token.
        token: u64,
        /// Not sent from this time on.
        until: Millis,
    },
    /// Free a prefilled prompt that nobody will take.
    ReleaseHandle(KvHandle),
    /// Tell the other nodes at once; a call crashed its target.
    PublishDigest,
}
