//! What callers and targets call things in their headers and bodies.

use crate::{AnswerHead, RequestHead};
use rw_gate::{Ask, Dispatch, Handle, Load};

/// What an answer's head says of the answer.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AnswerNotes {
    /// The call that it answers, if it says so.
    pub call: Option<String>,
    /// Whether the target says that it did not run the call.
    pub declined: bool,
    /// Whether the target signed it as its own.
    pub signed: bool,
    /// Load told with it.
    pub load: Option<Load>,
}

/// Translates between the product and one platform's callers and targets.
pub trait Dialect: 'static {
    /// The caller's identity of a call; empty if it has none.
    fn call_name<'a>(&self, head: &'a RequestHead) -> &'a str;

    /// What a caller asks for.
    fn ask(&self, head: &RequestHead, body: &[u8]) -> Ask;

    /// Whether a caller's field goes on to the target.
    fn passes(&self, name: &str) -> bool;

    /// Fields that tell the target what a dispatch asks of it, each line with its end.
    fn fields(&self, dispatch: &Dispatch) -> String;

    /// What an answer's head says.
    fn notes(&self, head: &AnswerHead) -> AnswerNotes;

    /// The handle in the answer to a prefill.
    fn handle(&self, addr: &str, body: &[u8]) -> Option<Handle>;

    /// Method and path of the call that frees a handle.
    fn free(&self, handle: &Handle) -> (&'static str, String);

    /// Path at which the balancer asks whether this node takes calls.
    fn ready_path(&self) -> &'static str;
}
