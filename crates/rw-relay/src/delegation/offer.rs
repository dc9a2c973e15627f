//! What a node says about a call that it passes on.

use rw_gate::DelegatedCall;
use serde::{Deserialize, Serialize};

/// A call that is passed on, and the room that its body needs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Offer {
    #[serde(flatten)]
    pub(crate) call: DelegatedCall,
    /// Length of the body in bytes, which follows in chunks. Nodes of earlier versions don't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) body_bytes: Option<u64>,
}
